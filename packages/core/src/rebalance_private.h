/**
 * @file rebalance_private.h
 * @brief Shared by the files of rebalance_ only.
 */
#ifndef REBALANCE_PRIVATE_H
#define REBALANCE_PRIVATE_H

#include "domain.h"
#include "rebalance.h"

/* Counted VMs, by pool and by the domains of each pool. */
struct rebalance_counts {
	uint32_t *vms;
	/* by [pool * zone_count + zone], and by rack */
	uint32_t *zone_vms;
	uint32_t *rack_vms;
};

/* What the planner counts while it works. */
struct rebalance_work {
	const struct rebalance_input *input;
	struct rebalance_plan *plan;
	struct domain_index *domains;
	/* VMs that a pool has, with those on their way to it */
	struct rebalance_counts held;
	/* of these the ones that serve it now, which keep its floor */
	struct rebalance_counts serving;
	/* by [pool * vm_count + vm] */
	bool *allowed;
	/* by VM: taken by a step of this plan */
	bool *moved;
	/* VMs that a pool keeps when it gives to others */
	uint32_t *keep;
	/* the same towards a pool below its minimum */
	uint32_t *keep_urgent;
	GArray *steps;
};

/* Pool that a ready VM counts for, BUNDLE_INDEX_NONE for none. */
static inline uint32_t rebalance_pool_of_row(const struct placement_row *row)
{
	return row->next_pool != BUNDLE_INDEX_NONE ? row->next_pool : row->pool;
}

/* Adds change to the counts of a VM's pool and domains. */
void rebalance_counts_add(struct rebalance_counts *counts,
			  const struct domain_index *domains, uint32_t pool,
			  uint32_t vm, int32_t change);

/* Chooses the moves that bring the pools towards their wanted sizes. */
void rebalance_moves_choose(struct rebalance_work *work);

#endif
