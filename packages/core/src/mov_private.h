/**
 * @file mov_private.h
 * @brief Shared by the files of mov_ only.
 */
#ifndef MOV_PRIVATE_H
#define MOV_PRIVATE_H

#include "domain.h"
#include "mov.h"

/* Counted VMs, by pool and by the domains of each pool. */
struct mov_counts {
	uint32_t *vms;
	/* by [pool * zone_count + zone], and by rack */
	uint32_t *zone_vms;
	uint32_t *rack_vms;
};

/* What the planner counts while it works. */
struct mov_work {
	const struct mov_input *input;
	struct mov_plan *plan;
	struct domain_index *domains;
	/* VMs that a pool has, with those on their way to it */
	struct mov_counts held;
	/* of these the ones that serve it now, which keep its floor */
	struct mov_counts serving;
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
static inline uint32_t mov_pool_of(const struct plc_row *row)
{
	return row->next_pool != BUNDLE_INDEX_NONE ? row->next_pool : row->pool;
}

/* Adds change to the counts of a VM's pool and domains. */
void mov_counts_add(struct mov_counts *counts,
		    const struct domain_index *domains, uint32_t pool,
		    uint32_t vm, int32_t change);

/* Chooses the moves that bring the pools towards their wanted sizes. */
void mov_steps_choose(struct mov_work *work);

#endif
