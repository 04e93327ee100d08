/**
 * @file fleet_record.h
 * @brief The manager's records in the platform's key-value store, as JSON.
 *
 * Prefix: fleet_record_. An intent is written ahead of an action on a VM; wave
 * records and decision records explain the state of the fleet. Builders return
 * strings that are freed with g_free().
 */
#ifndef FLEET_RECORD_H
#define FLEET_RECORD_H

#include <glib.h>
#include <stddef.h>

#include "err.h"
#include "planner.h"
#include "maintenance.h"

/** Number of decision records; a new one overwrites the oldest. */
#define FLEET_RECORD_DECISIONS_MAX 256
/** Maximum changes listed in a decision record; the rest is only counted. */
#define FLEET_RECORD_CHANGES_MAX 64

/** Intent to maintain a VM, a write-ahead record. */
struct fleet_record_intent {
	char *id;
	char *vm;
	char *wave;
	/** number of the placement written in the same transaction */
	uint64_t number;
	/** wall-clock milliseconds since 1970 */
	uint64_t at_ms;
	/** inputs of the disruption budget at that time */
	struct disruption_verdict budget;
};

/** @brief Frees an intent. @param intent may be NULL */
void fleet_record_intent_destroy(struct fleet_record_intent *intent);

/** @brief Builds the value of an intent. */
char *fleet_record_intent_build(const struct fleet_record_intent *intent);

/** @brief Parses the value of an intent. @return ERR_NONE or ERR_MALFORMED */
enum err_kind fleet_record_intent_parse(const char *text, size_t len,
					struct fleet_record_intent **out);

/** @brief Builds the value of a wave record. */
char *fleet_record_wave_build(const struct bundle *bundle,
			      const struct maintenance_record *record,
			      uint64_t at_ms);

/** @brief Parses the value of a wave record.
 *  @return ERR_NONE or ERR_MALFORMED */
enum err_kind fleet_record_wave_parse(const char *text, size_t len,
				      const struct bundle *bundle,
				      struct maintenance_record *out);

/** Size of a pool chosen by demand, with the inputs of the choice. */
struct fleet_record_pool_size {
	/** stable name of the reason, NULL if the bundle's target applies */
	const char *reason;
	uint32_t current_vms;
	uint32_t target_vms;
	/** demand in thousandths of a slot */
	uint64_t demand_milli;
	/** dead band, within which the size is not changed */
	uint32_t band_low_vms;
	uint32_t band_high_vms;
	uint32_t min_vms;
};

/** Reasons for the changes of one placement. */
struct fleet_record_decision {
	/** size of each pool chosen by demand; may be NULL */
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

/** @brief Builds the key of the decision record of a placement. */
char *fleet_record_decision_key(uint64_t number);

#endif
