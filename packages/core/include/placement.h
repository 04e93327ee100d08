/**
 * @file placement.h
 * @brief Placement of VMs in pools and the plan that leads there.
 *
 * Prefix: placement_. A VM has exactly one row, so it cannot be in two pools.
 * The functions decide over plain data and have no input or output.
 */
#ifndef PLACEMENT_H
#define PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "bundle.h"
#include "err.h"
#include "quorum.h"

/** Where a VM is in its way between pools. */
enum placement_state {
	/** takes new work of its pool */
	PLACEMENT_STATE_SERVING,
	/** finishes its work; takes no new work */
	PLACEMENT_STATE_DRAINING,
	/** holds no work; may be rebooted or given to another pool */
	PLACEMENT_STATE_STOPPED,
	PLACEMENT_STATE_COUNT
};

/** Why a VM's row was last changed. */
enum placement_reason {
	PLACEMENT_REASON_NONE,
	/** the pool was short of its target and the VM was free */
	PLACEMENT_REASON_FILL,
	/** the pool's demand grew for longer than the dead band allows */
	PLACEMENT_REASON_DEMAND,
	/** the bundle no longer lets the VM serve the pool */
	PLACEMENT_REASON_NOT_ALLOWED,
	/** a maintenance wave is at this VM */
	PLACEMENT_REASON_WAVE,
	/** maintenance of the VM has ended */
	PLACEMENT_REASON_WAVE_DONE,
	/** the VM failed and another takes its place */
	PLACEMENT_REASON_FAILURE,
	/** the pool gave the VM back to the spare pool */
	PLACEMENT_REASON_RETURN,
	PLACEMENT_REASON_COUNT
};

/** The row of one VM. */
struct placement_row {
	/** index of the pool, BUNDLE_INDEX_NONE when the VM is in no pool */
	uint32_t pool;
	/** pool the VM goes to once stopped, BUNDLE_INDEX_NONE for its own */
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
	/** grows by one with each written placement */
	uint64_t number;
	/** roll number of the bundle that the rows refer to */
	uint64_t roll;
	/** processes whose word on this placement counts */
	struct quorum_electorate electorate;
	struct placement_row *rows;
	uint32_t row_count;
};

/**
 * @brief Creates a placement with every VM in no pool.
 * @return the placement, freed by placement_destroy()
 */
struct placement *placement_create(const struct bundle *bundle);

/** @brief Copies a placement. */
struct placement *placement_copy(const struct placement *view);

/** @brief Frees a placement. @param view may be NULL */
void placement_destroy(struct placement *view);

/** @brief Returns the wire name of a state, such as "serving". */
const char *placement_state_name(enum placement_state state);

/** @brief Returns the stable name of a reason, such as "fill". */
const char *placement_reason_name(enum placement_reason reason);

/** @brief Counts the VMs of a pool that are in a state. */
uint32_t placement_count(const struct placement *view, uint32_t pool,
			 enum placement_state state);

/** @brief Tells whether a row stands for a VM that nothing holds. */
bool placement_row_is_free(const struct placement_row *row);

#endif
