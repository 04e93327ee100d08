/**
 * @file rebalance_private.h
 * @brief Declarations shared by rebalance.c and rebalance_moves.c.
 */
#ifndef REBALANCE_PRIVATE_H
#define REBALANCE_PRIVATE_H

#include "domain.h"
#include "rebalance.h"

/* Number of VMs by pool, and by failure domain of each pool. */
struct rebalance_counts {
	uint32_t *vms;
	/* indexed by [pool * zone_count + zone] and
	 * [pool * rack_count + rack] */
	uint32_t *zone_vms;
	uint32_t *rack_vms;
};

/* State of the planner while it makes a plan. */
struct rebalance_work {
	const struct rebalance_input *input;
	struct rebalance_plan *plan;
	struct domain_index *domains;
	/* available VMs, including those being moved to the pool */
	struct rebalance_counts held;
	/* VMs of held that serve the pool now and count for its floor */
	struct rebalance_counts serving;
	/* whether the VM may serve the pool, by [pool * vm_count + vm] */
	bool *allowed;
	/* by VM: moved in this plan */
	bool *moved;
	/* by pool: VMs that it keeps when another grows by demand or
	 * when idle VMs are returned */
	uint32_t *retained;
	/* by pool: VMs that it keeps when another is below its reserve */
	uint32_t *retained_urgent;
	GArray *moves;
};

/* Returns the pool that a VM counts for: the one that it is moved to, else its
 * current one, or BUNDLE_INDEX_NONE. */
static inline uint32_t rebalance_pool_of_row(const struct placement_row *row)
{
	return row->next_pool != BUNDLE_INDEX_NONE ? row->next_pool : row->pool;
}

/* Adds change to the counts of a VM's pool and domains. */
void rebalance_counts_add(struct rebalance_counts *counts,
			  const struct domain_index *domains, uint32_t pool,
			  uint32_t vm, int32_t change);

/* Chooses the moves that bring the pools closer to their wanted sizes. */
void rebalance_moves_choose(struct rebalance_work *work);

#endif
