/**
 * @file placement.h
 * @brief Placement: which pool each VM serves.
 *
 * Prefix: placement_. A VM has exactly one row, so it cannot be in two pools.
 * The functions operate on plain data and do no I/O.
 */
#ifndef PLACEMENT_H
#define PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "bundle.h"
#include "err.h"
#include "quorum.h"

/** Stage of a VM on its way from one pool to another. */
enum placement_state {
	/** accepts new work of its pool */
	PLACEMENT_STATE_SERVING,
	/** finishes its work; accepts no new work */
	PLACEMENT_STATE_DRAINING,
	/** holds no work; may be rebooted or assigned to another pool */
	PLACEMENT_STATE_STOPPED,
	PLACEMENT_STATE_COUNT
};

/** Reason for the last change to a VM's row. */
enum placement_reason {
	PLACEMENT_REASON_NONE,
	/** the pool had fewer VMs than its target and the VM was free */
	PLACEMENT_REASON_FILL,
	/** the pool needed more VMs for its demand */
	PLACEMENT_REASON_DEMAND,
	/** the bundle no longer allows the VM to serve the pool */
	PLACEMENT_REASON_NOT_ALLOWED,
	/** a maintenance wave has selected the VM */
	PLACEMENT_REASON_WAVE,
	/** maintenance of the VM has ended */
	PLACEMENT_REASON_WAVE_DONE,
	/** the VM failed, or replaces one that failed */
	PLACEMENT_REASON_FAILURE,
	/** the pool had more VMs than it needs and gave this one up */
	PLACEMENT_REASON_RETURN,
	PLACEMENT_REASON_COUNT
};

/** The row of one VM. */
struct placement_row {
	/** index of the pool, BUNDLE_INDEX_NONE if the VM is in no pool */
	uint32_t pool;
	/** index of the pool that the VM serves once it has stopped,
	 *  BUNDLE_INDEX_NONE if it was assigned to no other pool */
	uint32_t next_pool;
	enum placement_state state;
	enum placement_reason reason;
	/** placement number at which the row last changed */
	uint64_t changed;
	/** minute since 1970 (UTC) at which maintenance last ended, 0 for
	 *  never */
	uint64_t maintained_min;
};

/** A placement: one row for each VM of the bundle, by index. */
struct placement {
	/** incremented with each placement that is written */
	uint64_t number;
	/** roll number of the bundle that the rows refer to */
	uint64_t roll;
	/** processes whose votes confirm this placement */
	struct quorum_electorate electorate;
	struct placement_row *rows;
	uint32_t row_count;
};

/**
 * @brief Creates a placement in which every VM is free.
 * @return the placement, freed by placement_destroy()
 */
struct placement *placement_create(const struct bundle *bundle);

/** @brief Copies a placement. @return the copy, freed by
 *  placement_destroy() */
struct placement *placement_copy(const struct placement *placement);

/** @brief Frees a placement. @param placement may be NULL */
void placement_destroy(struct placement *placement);

/** @brief Returns the wire name of a state, such as "serving". */
const char *placement_state_name(enum placement_state state);

/** @brief Returns the stable name of a reason, such as "fill". */
const char *placement_reason_name(enum placement_reason reason);

/** @brief Returns the number of VMs of a pool that are in a state. */
uint32_t placement_count(const struct placement *placement, uint32_t pool,
			 enum placement_state state);

/**
 * @brief Returns whether the VM of a row is free: in no pool, not assigned to
 * one and not under maintenance.
 */
bool placement_row_is_free(const struct placement_row *row);

#endif
