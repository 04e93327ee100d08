#include "rebalance_private.h"

/* A VM that may be moved, ordered by candidate_is_better(). */
struct candidate {
	uint32_t vm;
	/* 0 for a VM in no pool, 1 in the spare pool, 2 in another pool */
	uint32_t rank;
	uint32_t zone_vms_receiver;
	uint32_t zone_vms_donor;
	uint64_t since_ms;
};

/* The largest number of VMs of a pool in one failure domain. */
struct largest_domain {
	uint32_t vms;
	/* number of domains with this many VMs */
	uint32_t domains;
};

static struct largest_domain largest_domain_of(const uint32_t *counts,
					       uint32_t count)
{
	struct largest_domain largest = { 0 };

	for (uint32_t i = 0; i < count; i++) {
		if (counts[i] > largest.vms)
			largest = (struct largest_domain){ counts[i], 1 };
		else if (counts[i] == largest.vms)
			largest.domains++;
	}
	return largest;
}

static const uint32_t *pool_zones(const struct rebalance_work *work,
				  const struct rebalance_counts *counts,
				  uint32_t pool)
{
	return &counts->zone_vms[(size_t)pool * work->domains->zone_count];
}

static const uint32_t *pool_racks(const struct rebalance_work *work,
				  const struct rebalance_counts *counts,
				  uint32_t pool)
{
	return &counts->rack_vms[(size_t)pool * work->domains->rack_count];
}

static struct largest_domain
pool_largest_domain(const struct rebalance_work *work, uint32_t pool)
{
	switch (work->input->bundle->pools[pool].survive) {
	case BUNDLE_SURVIVE_ZONE:
		return largest_domain_of(pool_zones(work, &work->serving, pool),
					 work->domains->zone_count);
	case BUNDLE_SURVIVE_RACK:
		return largest_domain_of(pool_racks(work, &work->serving, pool),
					 work->domains->rack_count);
	case BUNDLE_SURVIVE_NONE:
		break;
	}
	return (struct largest_domain){ 0 };
}

static uint32_t domain_vms(const struct rebalance_work *work, uint32_t pool,
			   uint32_t vm)
{
	const struct bundle_pool *spec = &work->input->bundle->pools[pool];

	if (spec->survive == BUNDLE_SURVIVE_RACK)
		return pool_racks(work, &work->serving,
				  pool)[work->domains->rack_of[vm]];
	return pool_zones(work, &work->serving,
			  pool)[work->domains->zone_of[vm]];
}

/*
 * Returns whether a pool without the VM would meet its floor after the loss of
 * its largest domain.
 */
static bool floor_is_met(const struct rebalance_work *work, uint32_t pool,
			 uint32_t vm, const struct largest_domain *largest)
{
	uint32_t floor_vms = work->input->bundle->pools[pool].floor_vms;
	uint32_t lost = largest->vms;

	if (largest->domains == 1 && domain_vms(work, pool, vm) == largest->vms)
		lost--;
	return work->serving.vms[pool] >= 1 + lost + floor_vms;
}

static bool pool_is_donor(const struct rebalance_work *work, uint32_t pool,
			  bool urgent)
{
	uint32_t retained =
		urgent ? work->retained_urgent[pool] : work->retained[pool];

	return work->plan->pools[pool].target > retained;
}

static bool vm_may_leave(const struct rebalance_work *work, uint32_t vm,
			 bool urgent)
{
	const struct rebalance_input *input = work->input;
	const struct placement_row *row = &input->placement->rows[vm];

	if (work->moved[vm] || !input->available[vm] ||
	    row->next_pool != BUNDLE_INDEX_NONE ||
	    (row->pool != BUNDLE_INDEX_NONE &&
	     row->state != PLACEMENT_STATE_SERVING))
		return false;
	if (urgent || row->pool == BUNDLE_INDEX_NONE ||
	    input->bundle->pools[row->pool].spare)
		return true;
	return input->now_ms - input->since_ms[vm] >=
	       work->plan->policy.min_stay_ms;
}

static struct candidate candidate_of(const struct rebalance_work *work,
				     uint32_t vm, uint32_t to)
{
	const struct rebalance_input *input = work->input;
	uint32_t from = input->placement->rows[vm].pool;
	uint32_t zone = work->domains->zone_of[vm];
	struct candidate candidate = {
		.vm = vm,
		.rank = 2,
		.zone_vms_receiver = pool_zones(work, &work->held, to)[zone],
		.since_ms = input->since_ms[vm],
	};

	if (from == BUNDLE_INDEX_NONE) {
		candidate.rank = 0;
		return candidate;
	}
	candidate.zone_vms_donor = pool_zones(work, &work->held, from)[zone];
	if (input->bundle->pools[from].spare)
		candidate.rank = 1;
	return candidate;
}

static bool candidate_is_better(const struct candidate *a,
				const struct candidate *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank;
	if (a->zone_vms_receiver != b->zone_vms_receiver)
		return a->zone_vms_receiver < b->zone_vms_receiver;
	if (a->zone_vms_donor != b->zone_vms_donor)
		return a->zone_vms_donor > b->zone_vms_donor;
	return a->since_ms < b->since_ms;
}

/*
 * Chooses a VM to be moved to a pool, from any donor, or from only_from if it
 * is not BUNDLE_INDEX_NONE. Returns BUNDLE_INDEX_NONE if there is none.
 */
static uint32_t vm_choose(const struct rebalance_work *work, uint32_t to,
			  uint32_t only_from, bool urgent)
{
	const struct rebalance_input *input = work->input;
	uint32_t pools = work->plan->pool_count;
	g_autofree struct largest_domain *largest =
		g_new0(struct largest_domain, pools + 1);
	g_autofree bool *is_donor = g_new0(bool, pools + 1);
	struct candidate best = { .vm = BUNDLE_INDEX_NONE };

	for (uint32_t i = 0; i < pools; i++) {
		is_donor[i] = i != to && pool_is_donor(work, i, urgent);
		if (is_donor[i])
			largest[i] = pool_largest_domain(work, i);
	}
	for (uint32_t vm = 0; vm < input->placement->row_count; vm++) {
		uint32_t from = input->placement->rows[vm].pool;
		struct candidate candidate;

		if (!work->allowed[(size_t)to * input->bundle->vm_count + vm] ||
		    (only_from != BUNDLE_INDEX_NONE && from != only_from) ||
		    !vm_may_leave(work, vm, urgent))
			continue;
		if (from != BUNDLE_INDEX_NONE &&
		    (!is_donor[from] ||
		     !floor_is_met(work, from, vm, &largest[from])))
			continue;
		candidate = candidate_of(work, vm, to);
		if (best.vm == BUNDLE_INDEX_NONE ||
		    candidate_is_better(&candidate, &best))
			best = candidate;
	}
	return best.vm;
}

static void move_add(struct rebalance_work *work, uint32_t vm, uint32_t to,
		     enum placement_reason reason)
{
	struct rebalance_move move = {
		.vm = vm,
		.from = work->input->placement->rows[vm].pool,
		.to = to,
		.reason = reason,
	};

	work->moved[vm] = true;
	if (move.from != BUNDLE_INDEX_NONE) {
		rebalance_counts_add(&work->held, work->domains, move.from, vm,
				     -1);
		rebalance_counts_add(&work->serving, work->domains, move.from,
				     vm, -1);
		work->plan->pools[move.from].target--;
	}
	rebalance_counts_add(&work->held, work->domains, to, vm, 1);
	work->plan->pools[to].target++;
	g_array_append_val(work->moves, move);
}

static bool pool_has_shortage(const struct rebalance_pool *pool)
{
	return (pool->reason == REBALANCE_REASON_DEMAND ||
		pool->reason == REBALANCE_REASON_RESERVE) &&
	       pool->target < pool->wanted;
}

/* Share of its wanted size that a pool lacks. The pool with the largest share
 * grows first. */
static uint64_t shortage_permille(const struct rebalance_pool *pool)
{
	return (uint64_t)(pool->wanted - pool->target) * 1000 / pool->wanted;
}

static uint32_t pool_with_largest_shortage(const struct rebalance_work *work,
					   const bool *done, bool urgent)
{
	uint32_t best = BUNDLE_INDEX_NONE;

	for (uint32_t i = 0; i < work->plan->pool_count; i++) {
		const struct rebalance_pool *pool = &work->plan->pools[i];
		bool pool_urgent = pool->reason == REBALANCE_REASON_RESERVE;

		if (done[i] || pool_urgent != urgent ||
		    !pool_has_shortage(pool))
			continue;
		if (best == BUNDLE_INDEX_NONE ||
		    shortage_permille(pool) >
			    shortage_permille(&work->plan->pools[best]))
			best = i;
	}
	return best;
}

static void pools_grow(struct rebalance_work *work, bool urgent)
{
	g_autofree bool *done = g_new0(bool, work->plan->pool_count + 1);
	enum placement_reason reason =
		urgent ? PLACEMENT_REASON_FAILURE : PLACEMENT_REASON_DEMAND;
	uint32_t pool = pool_with_largest_shortage(work, done, urgent);

	while (pool != BUNDLE_INDEX_NONE) {
		uint32_t vm = vm_choose(work, pool, BUNDLE_INDEX_NONE, urgent);

		if (vm == BUNDLE_INDEX_NONE)
			done[pool] = true;
		else
			move_add(work, vm, pool, reason);
		pool = pool_with_largest_shortage(work, done, urgent);
	}
}

static uint32_t spare_pool(const struct bundle *bundle)
{
	for (uint32_t i = 0; i < bundle->pool_count; i++) {
		if (bundle->pools[i].spare)
			return i;
	}
	return BUNDLE_INDEX_NONE;
}

static void pool_return(struct rebalance_work *work, uint32_t index,
			uint32_t spare)
{
	const struct rebalance_pool *pool = &work->plan->pools[index];

	while (pool->reason == REBALANCE_REASON_IDLE &&
	       pool->target > pool->wanted) {
		uint32_t vm = vm_choose(work, spare, index, false);

		if (vm == BUNDLE_INDEX_NONE)
			return;
		move_add(work, vm, spare, PLACEMENT_REASON_RETURN);
	}
}

/*
 * Returns idle VMs to the spare pool. Neither pool of a move may be in a burst:
 * a donor has REBALANCE_REASON_IDLE, and the spare pool is checked here.
 */
static void pools_return(struct rebalance_work *work)
{
	uint32_t spare = spare_pool(work->input->bundle);

	if (spare == BUNDLE_INDEX_NONE ||
	    work->plan->pools[spare].reason == REBALANCE_REASON_BURST)
		return;
	for (uint32_t i = 0; i < work->plan->pool_count; i++)
		pool_return(work, i, spare);
}

void rebalance_moves_choose(struct rebalance_work *work)
{
	pools_grow(work, true);
	pools_grow(work, false);
	pools_return(work);
}
