/**
 * @file fleet_record.h
 * @brief The manager's records in the platform's service, as JSON.
 *
 * Prefix: fleet_record_. Intents precede actions on VMs; wave records and
 * decisions tell why the fleet is as it is. Builders return texts freed by
 * g_free().
 */
#ifndef FLEET_RECORD_H
#define FLEET_RECORD_H

#include <glib.h>
#include <stddef.h>

#include "err.h"
#include "planner.h"
#include "maintenance.h"

/** Decision records that are kept; a new one replaces the oldest. */
#define FLEET_RECORD_DECISIONS_MAX 256
/** Changes that one decision record lists; the others are counted. */
#define FLEET_RECORD_CHANGES_MAX 64

/** The recorded intent to maintain a VM. */
struct fleet_record_intent {
	char *id;
	char *vm;
	char *wave;
	/** placement number written together with the intent */
	uint64_t number;
	/** wall-clock milliseconds since 1970 */
	uint64_t at_ms;
	/** the budget's inputs at that time */
	struct disruption_verdict budget;
};

/** @brief Frees an intent. @param intent may be NULL */
void fleet_record_intent_destroy(struct fleet_record_intent *intent);

/** @brief Builds the value of an intent. */
char *fleet_record_intent_build(const struct fleet_record_intent *intent);

/** @brief Parses an intent. @return ERR_NONE or ERR_MALFORMED */
enum err_kind fleet_record_intent_parse(const char *text, size_t len,
					struct fleet_record_intent **out);

/** @brief Builds the value of a wave's record. */
char *fleet_record_wave_build(const struct bundle *bundle,
			      const struct maintenance_record *record,
			      uint64_t at_ms);

/** @brief Parses a wave's record. @return ERR_NONE or ERR_MALFORMED */
enum err_kind fleet_record_wave_parse(const char *text, size_t len,
				      const struct bundle *bundle,
				      struct maintenance_record *out);

/** A pool's size as chosen by demand, and what it was chosen from. */
struct fleet_record_pool_size {
	/** stable name, NULL when the bundle's target holds */
	const char *reason;
	uint32_t current_vms;
	uint32_t target_vms;
	/** thousandths of a slot */
	uint64_t demand_milli;
	/** dead band */
	uint32_t band_low_vms;
	uint32_t band_high_vms;
	uint32_t min_vms;
};

/** What was decided for one placement. */
struct fleet_record_decision {
	/** for each pool the size that demand chose; may be NULL */
	const struct fleet_record_pool_size *pool_sizes;
	const struct bundle *bundle;
	uint64_t number;
	uint64_t roll;
	const char *manager;
	/** wall-clock milliseconds since 1970 */
	uint64_t at_ms;
	/** array of struct planner_change */
	const GArray *changes;
};

/** @brief Builds the value of a decision record. */
char *fleet_record_decision_build(const struct fleet_record_decision *decision);

/** @brief Builds the key of the record of a placement number. */
char *fleet_record_decision_key(uint64_t number);

#endif
