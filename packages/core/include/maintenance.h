/**
 * @file maintenance.h
 * @brief Maintenance waves: which VM is maintained next, and when to halt.
 *
 * Prefix: maintenance_. A wave takes the VMs of some pools one after another,
 * spread over availability zones, while its window is open. What a wave needs
 * to go on under another manager stands in its record and in the placement's
 * rows.
 */
#ifndef MAINTENANCE_H
#define MAINTENANCE_H

#include <glib.h>

#include "planner.h"

/** Failed VMs that a record names; a wave halts long before. */
#define MAINTENANCE_FAILED_MAX 32
/** VMs whose maintenance one step starts at most. */
#define MAINTENANCE_STARTS_MAX 32

/** Where a wave stands. */
enum maintenance_status {
	MAINTENANCE_STATUS_IDLE,
	MAINTENANCE_STATUS_RUNNING,
	MAINTENANCE_STATUS_HALTED,
	MAINTENANCE_STATUS_DONE,
	MAINTENANCE_STATUS_COUNT
};

/** Why a wave stands there or does not go on at the moment. */
enum maintenance_reason {
	MAINTENANCE_REASON_NONE,
	/** the window is closed */
	MAINTENANCE_REASON_WINDOW_CLOSED,
	/** as many VMs as allowed are under maintenance */
	MAINTENANCE_REASON_MAX_PARALLEL,
	/** no VM left can be spared by its pool now */
	MAINTENANCE_REASON_BUDGET,
	/** the VMs left are not serving or not fit */
	MAINTENANCE_REASON_NOT_READY,
	/** too many VMs failed; a new roll lets the wave start again */
	MAINTENANCE_REASON_MAX_FAILURES,
	/** each VM was maintained in this window */
	MAINTENANCE_REASON_ALL_MAINTAINED,
	MAINTENANCE_REASON_COUNT
};

/** What is kept of a wave. */
struct maintenance_record {
	/** roll under which it runs or halted */
	uint64_t roll;
	/** minute since 1970 (UTC) at which its window opened */
	uint64_t window_min;
	enum maintenance_status status;
	enum maintenance_reason reason;
	/** VMs maintained in this window, and VMs of the wave's pools */
	uint32_t maintained;
	uint32_t total;
	/** VMs (indexes of the bundle) that failed in this window */
	uint32_t failed[MAINTENANCE_FAILED_MAX];
	uint32_t failed_count;
};

/** What a wave is decided from. */
struct maintenance_input {
	const struct bundle *bundle;
	/** index of the wave in the bundle */
	uint32_t wave;
	/** roll in force */
	uint64_t roll;
	/** minutes since 1970 (UTC) */
	uint64_t now_min;
	const struct planner_vm *vms;
	/** for each VM whether it is known to work, see disruption_check() */
	const bool *healthy;
};

/** @brief Returns the wire name of a status, such as "halted". */
const char *maintenance_status_name(enum maintenance_status status);

/** @brief Returns the stable name of a reason, such as "max-failures". */
const char *maintenance_reason_name(enum maintenance_reason reason);

/**
 * @brief Tells whether a wave's window is open.
 * @param opened_min filled with the minute at which it opened
 */
bool maintenance_window_is_open(const struct bundle_wave *wave,
				uint64_t now_min, uint64_t *opened_min);

/**
 * @brief Takes a wave one step further.
 *
 * Rows that it changes to draining carry PLACEMENT_REASON_WAVE; the caller
 * records an intent for each in the same write.
 *
 * @param view modified in place; changed rows carry number + 1
 * @param changes array of struct planner_change, appended to
 * @param record updated
 */
void maintenance_step(const struct maintenance_input *input,
		      struct placement *view, GArray *changes,
		      struct maintenance_record *record);

/** @brief Puts a maintained VM back into service. */
void maintenance_vm_done(const struct bundle *bundle, struct placement *view,
			 uint32_t vm, uint64_t now_min, GArray *changes);

/** @brief Gives up the maintenance of a VM: it counts as failed. */
void maintenance_vm_give_up(struct placement *view, uint32_t vm,
			    GArray *changes);

/** @brief Tells whether a VM is under maintenance. */
bool maintenance_is_in_progress(const struct placement_row *row);

/** @brief Tells whether a wave covers a VM by the pool that it stands in. */
bool maintenance_covers(const struct bundle_wave *wave,
			const struct placement_row *row);

/** @brief Tells whether two records say the same. */
bool maintenance_record_equals(const struct maintenance_record *a,
			       const struct maintenance_record *b);

/** @brief Adds a failed VM to a record once. */
void maintenance_record_add_failure(struct maintenance_record *record,
				    uint32_t vm);

#endif
