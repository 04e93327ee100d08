/**
 * @file maintenance.h
 * @brief Maintenance waves: which VM is maintained next, and when a wave halts.
 *
 * Prefix: maintenance_. A wave is a rolling maintenance of the VMs of some
 * pools, spread over availability zones, while its window is open. Its state is
 * in its record and in the rows of the placement, so that a new manager can
 * continue it.
 */
#ifndef MAINTENANCE_H
#define MAINTENANCE_H

#include <glib.h>

#include "planner.h"

/** Limit on the failed VMs in a record; a wave halts long before. */
#define MAINTENANCE_FAILED_MAX 32
/** Limit on the VMs whose maintenance one step starts. */
#define MAINTENANCE_STARTS_MAX 32

/** State of a wave. */
enum maintenance_status {
	MAINTENANCE_STATUS_IDLE,
	MAINTENANCE_STATUS_RUNNING,
	MAINTENANCE_STATUS_HALTED,
	MAINTENANCE_STATUS_DONE,
	MAINTENANCE_STATUS_COUNT
};

/** Reason for the status, or for starting no further VM at the moment. */
enum maintenance_reason {
	MAINTENANCE_REASON_NONE,
	/** the window is closed */
	MAINTENANCE_REASON_WINDOW_CLOSED,
	/** the allowed number of VMs is under maintenance */
	MAINTENANCE_REASON_MAX_PARALLEL,
	/** the disruption budget allows none of the remaining VMs now */
	MAINTENANCE_REASON_BUDGET,
	/** the remaining VMs are not in service or not healthy */
	MAINTENANCE_REASON_NOT_READY,
	/** too many VMs failed; a new roll restarts the wave */
	MAINTENANCE_REASON_MAX_FAILURES,
	/** every VM was maintained in this window */
	MAINTENANCE_REASON_ALL_MAINTAINED,
	MAINTENANCE_REASON_COUNT
};

/** Persistent state of a wave. */
struct maintenance_record {
	/** number of the roll under which it runs or was halted */
	uint64_t roll;
	/** minute since 1970 (UTC) at which its window opened */
	uint64_t window_min;
	enum maintenance_status status;
	enum maintenance_reason reason;
	/** number of VMs maintained in this window */
	uint32_t maintained;
	/** number of VMs that the wave covers */
	uint32_t total;
	/** VMs (indexes of the bundle) that failed in this window */
	uint32_t failed[MAINTENANCE_FAILED_MAX];
	uint32_t failed_count;
};

/** Input of maintenance_step(). */
struct maintenance_input {
	const struct bundle *bundle;
	/** index of the wave in the bundle */
	uint32_t wave;
	/** number of the roll in force */
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
 * @brief Returns whether the window of a wave is open.
 * @param now_min minutes since 1970 (UTC)
 * @param opened_min filled with the minute at which it last opened
 */
bool maintenance_window_is_open(const struct bundle_wave *wave,
				uint64_t now_min, uint64_t *opened_min);

/**
 * @brief Advances a wave and starts the maintenance of VMs that may start.
 *
 * It changes their rows to draining, with PLACEMENT_REASON_WAVE. The caller
 * records an intent for each of them in the same write as the placement.
 *
 * @param placement modified in place; changed rows carry number + 1
 * @param changes array of struct planner_change, appended to
 * @param record updated
 */
void maintenance_step(const struct maintenance_input *input,
		      struct placement *placement, GArray *changes,
		      struct maintenance_record *record);

/** @brief Returns a VM to service after its maintenance. */
void maintenance_vm_done(const struct bundle *bundle,
			 struct placement *placement, uint32_t vm,
			 uint64_t now_min, GArray *changes);

/** @brief Abandons the maintenance of a VM, which counts as failed then. */
void maintenance_vm_give_up(struct placement *placement, uint32_t vm,
			    GArray *changes);

/** @brief Returns whether the VM of a row is under maintenance. */
bool maintenance_is_in_progress(const struct placement_row *row);

/**
 * @brief Returns whether a wave covers the VM of a row, by its pool.
 *
 * A failed VM that was taken out of service is not covered.
 */
bool maintenance_covers(const struct bundle_wave *wave,
			const struct placement_row *row);

/** @brief Returns whether two records are equal. */
bool maintenance_record_equals(const struct maintenance_record *a,
			       const struct maintenance_record *b);

/** @brief Adds a failed VM to a record unless it is there already. */
void maintenance_record_add_failure(struct maintenance_record *record,
				    uint32_t vm);

#endif
