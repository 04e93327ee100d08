/**
 * @file rebalance.h
 * @brief Plans moves of VMs between pools by average demand.
 *
 * Prefix: rebalance_. A pool grows when its average demand approaches its
 * number of slots, and returns VMs to the spare pool when they stay idle. The
 * thresholds follow from the cost weights of the bundle. No pool gives up VMs
 * that its availability requires. The plan depends on its input only.
 */
#ifndef REBALANCE_H
#define REBALANCE_H

#include <stdbool.h>
#include <stdint.h>

#include "bundle.h"
#include "demand.h"
#include "placement.h"

/** Reason for the planned size of a pool. */
enum rebalance_reason {
	/** the size is within the dead band around the demand */
	REBALANCE_REASON_IN_BAND,
	/** demand was not observed for long enough to decide by it */
	REBALANCE_REASON_WARM_UP,
	/** a burst of seconds is absorbed by the queue; the pool does not
	 *  grow */
	REBALANCE_REASON_BURST,
	/** the pool has fewer VMs than its availability requires */
	REBALANCE_REASON_RESERVE,
	/** average demand approaches the pool's slots */
	REBALANCE_REASON_DEMAND,
	/** the pool has more VMs than its demand requires */
	REBALANCE_REASON_IDLE,
	/** the pool has idle VMs, but moving them costs more than the idle
	 *  time that it would save */
	REBALANCE_REASON_MOVE_COST,
	/** the spare pool keeps all VMs that no other pool needs */
	REBALANCE_REASON_SPARE,
	REBALANCE_REASON_COUNT
};

/** Thresholds that are derived from the cost weights. */
struct rebalance_policy {
	/** ratio of slots to average demand below which a pool grows */
	uint32_t low_permille;
	/** width of the dead band above the need of a pool, as a share of
	 *  its demand */
	uint32_t band_permille;
	/** time that a VM stays in a pool before demand may move it again */
	uint64_t min_stay_ms;
	/** idle time that moves must save, in ms times slots */
	uint64_t move_cost_slot_ms;
};

/** Input of the planner; not modified, and not used after the call. */
struct rebalance_input {
	const struct bundle *bundle;
	const struct placement *placement;
	/** for each VM whether it has not failed; a VM under maintenance is
	 *  available because it returns soon */
	const bool *available;
	/** for each VM the time at which it joined its pool */
	const uint64_t *since_ms;
	/** for each pool */
	const struct demand_average *demand;
	uint64_t now_ms;
};

/** Planned size of one pool, with the numbers that led to it. */
struct rebalance_pool {
	enum rebalance_reason reason;
	/** available VMs, including those being moved to the pool */
	uint32_t size;
	/** VMs needed to meet the floor after the loss of the failure domain
	 *  that the bundle names; if there are fewer, VMs are moved to the
	 *  pool without regard to their minimum stay */
	uint32_t reserve;
	/** the reserve, plus one VM for maintenance if a wave covers the
	 *  pool; these VMs are never given up */
	uint32_t minimum;
	/** dead band: the pool grows below low and returns VMs above high */
	uint32_t low;
	uint32_t high;
	/** size that demand or the reserve requires */
	uint32_t wanted;
	/** size after the planned moves */
	uint32_t target;
	uint64_t demand_milli;
};

/** One planned move. */
struct rebalance_move {
	uint32_t vm;
	uint32_t from;
	uint32_t to;
	enum placement_reason reason;
};

/** A plan; pools has one entry for each pool of the bundle, by index. */
struct rebalance_plan {
	struct rebalance_policy policy;
	struct rebalance_pool *pools;
	uint32_t pool_count;
	struct rebalance_move *moves;
	uint32_t move_count;
};

/** @brief Derives the thresholds of the planner from the cost weights. */
struct rebalance_policy
rebalance_policy_from_weights(const struct bundle_weights *weights);

/** @brief Plans moves. @return the plan, freed by rebalance_plan_destroy() */
struct rebalance_plan *
rebalance_plan_create(const struct rebalance_input *input);

/** @brief Frees a plan. @param plan may be NULL */
void rebalance_plan_destroy(struct rebalance_plan *plan);

/** @brief Returns the stable name of a reason, such as "demand". */
const char *rebalance_reason_name(enum rebalance_reason reason);

#endif
