/**
 * @file rebalance.h
 * @brief Plans moves of VMs between pools by smoothed demand.
 *
 * Prefix: rebalance_. A pool grows when its average demand nears its slots and
 * gives VMs back to the spare pool when they stay idle. How soon follows
 * from the bundle's cost weights. No pool goes below what its availability
 * asks for. The plan is a function of its input alone.
 */
#ifndef REBALANCE_H
#define REBALANCE_H

#include <stdbool.h>
#include <stdint.h>

#include "bundle.h"
#include "demand.h"
#include "placement.h"

/** Why a pool is to hold the number of VMs that was planned. */
enum rebalance_reason {
	/** the size is within the dead band around the demand */
	REBALANCE_REASON_IN_BAND,
	/** too little was observed to decide by demand */
	REBALANCE_REASON_WARM_UP,
	/** a burst of seconds is carried by the queue */
	REBALANCE_REASON_BURST,
	/** VMs are fewer than the availability asks for */
	REBALANCE_REASON_RESERVE,
	/** average demand nears the pool's slots */
	REBALANCE_REASON_DEMAND,
	/** the pool holds VMs that its demand does not need */
	REBALANCE_REASON_IDLE,
	/** idle VMs cost less over the minimum stay than moving them */
	REBALANCE_REASON_MOVE_COST,
	/** the spare pool takes what the others leave */
	REBALANCE_REASON_SPARE,
	REBALANCE_REASON_COUNT
};

/** Bounds that follow from the cost weights. */
struct rebalance_policy {
	/** slots per average demand below which a pool grows */
	uint32_t low_permille;
	/** share of the demand by which a pool may exceed its need */
	uint32_t band_permille;
	/** time that a VM stays in a pool before demand moves it again */
	uint64_t min_stay_ms;
	/** idle slot time that a move has to save to be worth its cost */
	uint64_t move_cost_slot_ms;
};

/** What the planner reads; nothing is modified or kept. */
struct rebalance_input {
	const struct bundle *bundle;
	const struct placement *placement;
	/** for each VM whether it is to be counted on: it has not failed; a
	 *  VM under maintenance counts, since it comes back soon */
	const bool *available;
	/** for each VM since when it is in its pool */
	const uint64_t *since_ms;
	/** for each pool */
	const struct demand_average *demand;
	uint64_t now_ms;
};

/** The decision on one pool and its inputs. */
struct rebalance_pool {
	enum rebalance_reason reason;
	/** ready VMs held now, with those on their way to the pool */
	uint32_t size;
	/** VMs that keep the floor through the loss that the bundle names;
	 *  with fewer, others are moved here at once */
	uint32_t reserve;
	/** the reserve and a VM for maintenance; never given away */
	uint32_t minimum;
	/** dead band: below low the pool grows, above high it gives back */
	uint32_t low;
	uint32_t high;
	/** size that the demand asks for */
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

/** A plan; pools has one entry for each pool of the bundle. */
struct rebalance_plan {
	struct rebalance_policy policy;
	struct rebalance_pool *pools;
	uint32_t pool_count;
	struct rebalance_move *moves;
	uint32_t move_count;
};

/** @brief Derives the planner's bounds from the cost weights. */
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
