/**
 * @file plc.h
 * @brief Placement of VMs in pools and the plan that leads there.
 *
 * Prefix: plc_. A VM has exactly one row, so it cannot be in two pools. The
 * functions decide over plain data and have no input or output.
 */
#ifndef PLC_H
#define PLC_H

#include <stdbool.h>
#include <stdint.h>

#include "bundle.h"
#include "err.h"
#include "quorum.h"

/** Where a VM is in its way between pools. */
enum plc_state {
	/** takes new work of its pool */
	PLC_STATE_SERVING,
	/** finishes its work; takes no new work */
	PLC_STATE_DRAINING,
	/** holds no work; may be rebooted or given to another pool */
	PLC_STATE_STOPPED,
	PLC_STATE_COUNT
};

/** Why a VM's row was last changed. */
enum plc_reason {
	PLC_REASON_NONE,
	/** the pool was short of its target and the VM was free */
	PLC_REASON_FILL,
	/** the pool's demand grew for longer than the dead band allows */
	PLC_REASON_DEMAND,
	/** the bundle no longer lets the VM serve the pool */
	PLC_REASON_NOT_ALLOWED,
	/** a maintenance wave is at this VM */
	PLC_REASON_WAVE,
	/** maintenance of the VM has ended */
	PLC_REASON_WAVE_DONE,
	/** the VM failed and another takes its place */
	PLC_REASON_FAILURE,
	/** the pool gave the VM back to the spare pool */
	PLC_REASON_RETURN,
	PLC_REASON_COUNT
};

/** The row of one VM. */
struct plc_row {
	/** index of the pool, BUNDLE_INDEX_NONE when the VM is in no pool */
	uint32_t pool;
	/** pool the VM goes to once stopped, BUNDLE_INDEX_NONE for its own */
	uint32_t next_pool;
	enum plc_state state;
	enum plc_reason reason;
	/** placement number at which the row last changed */
	uint64_t changed;
	/** minute since 1970 (UTC) at which maintenance last ended, 0 for
	 *  never */
	uint64_t maintained_min;
};

/** A placement: one row for each VM of the bundle, by index. */
struct plc_view {
	/** grows by one with each written placement */
	uint64_t number;
	/** roll number of the bundle that the rows refer to */
	uint64_t roll;
	/** processes whose word on this placement counts */
	struct quorum_electorate electorate;
	struct plc_row *rows;
	uint32_t row_count;
};

/**
 * @brief Creates a placement with every VM in no pool.
 * @return the placement, freed by plc_view_destroy()
 */
struct plc_view *plc_view_create(const struct bundle *bundle);

/** @brief Copies a placement. */
struct plc_view *plc_view_copy(const struct plc_view *view);

/** @brief Frees a placement. @param view may be NULL */
void plc_view_destroy(struct plc_view *view);

/** @brief Returns the wire name of a state, such as "serving". */
const char *plc_state_name(enum plc_state state);

/** @brief Returns the stable name of a reason, such as "fill". */
const char *plc_reason_name(enum plc_reason reason);

/** @brief Counts the VMs of a pool that are in a state. */
uint32_t plc_count(const struct plc_view *view, uint32_t pool,
		   enum plc_state state);

/** @brief Tells whether a row stands for a VM that nothing holds. */
bool plc_row_is_free(const struct plc_row *row);

#endif
