#include "rebalance.h"

#include "rebalance_private.h"

/* A pool grows when its slots fall below this share of the average demand. The
 * share decreases as the cost weight of moves increases. */
#define REBALANCE_LOW_MAX_PERMILLE 1150u
#define REBALANCE_LOW_MIN_PERMILLE 1050u
#define REBALANCE_LOW_STEP_PERMILLE 25u
/* Added to low_permille for the size that the pool grows to. */
#define REBALANCE_HEADROOM_PERMILLE 100u
/* Slots that a pool needs, as a share of the demand. A pool may return VMs if
 * its slots exceed the need by more than band_permille of the demand. */
#define REBALANCE_NEED_PERMILLE 1250u
/* Limits of the ratio of the churn weight, which is the mean of the weights of
 * moves and of roll-out, to the buffer weight. */
#define REBALANCE_RATIO_MIN_PERMILLE 125u
#define REBALANCE_RATIO_MAX_PERMILLE 8000u
/* Dead band, minimum stay and move cost at equal weights, with limits. */
#define REBALANCE_BAND_BASE_PERMILLE 50u
#define REBALANCE_BAND_PERMILLE 120u
#define REBALANCE_BAND_MAX_PERMILLE 1000u
#define REBALANCE_MIN_STAY_MS (15u * 60u * 1000u)
#define REBALANCE_MIN_STAY_FLOOR_MS (10u * 60u * 1000u)
#define REBALANCE_MOVE_COST_SLOT_MS (240u * 60u * 1000u)
/* Time for which idle slots are expected to stay idle. */
#define REBALANCE_HORIZON_MS (30u * 60u * 1000u)

static const char *const reason_names[REBALANCE_REASON_COUNT] = {
	[REBALANCE_REASON_IN_BAND] = "in-band",
	[REBALANCE_REASON_WARM_UP] = "warm-up",
	[REBALANCE_REASON_BURST] = "burst",
	[REBALANCE_REASON_RESERVE] = "reserve",
	[REBALANCE_REASON_DEMAND] = "demand",
	[REBALANCE_REASON_IDLE] = "idle",
	[REBALANCE_REASON_MOVE_COST] = "move-cost",
	[REBALANCE_REASON_SPARE] = "spare",
};

const char *rebalance_reason_name(enum rebalance_reason reason)
{
	g_assert(reason < REBALANCE_REASON_COUNT);
	return reason_names[reason];
}

struct rebalance_policy
rebalance_policy_from_weights(const struct bundle_weights *weights)
{
	uint64_t churn = (uint64_t)weights->moves + weights->roll_out;
	uint64_t ratio = churn * 1000 / (2 * MAX(weights->buffer, 1));
	uint64_t step;

	ratio = CLAMP(ratio, REBALANCE_RATIO_MIN_PERMILLE,
		      REBALANCE_RATIO_MAX_PERMILLE);
	step = REBALANCE_LOW_STEP_PERMILLE * ratio / 1000;
	return (struct rebalance_policy){
		.low_permille = (uint32_t)MAX(REBALANCE_LOW_MAX_PERMILLE - step,
					      REBALANCE_LOW_MIN_PERMILLE),
		.band_permille = (uint32_t)MIN(REBALANCE_BAND_BASE_PERMILLE +
						       REBALANCE_BAND_PERMILLE *
							       ratio / 1000,
					       REBALANCE_BAND_MAX_PERMILLE),
		.min_stay_ms = MAX(REBALANCE_MIN_STAY_MS * ratio / 1000,
				   REBALANCE_MIN_STAY_FLOOR_MS),
		.move_cost_slot_ms = REBALANCE_MOVE_COST_SLOT_MS * ratio / 1000,
	};
}

static uint32_t domain_count(const struct rebalance_work *work, uint32_t pool,
			     const uint32_t *domain_of, uint32_t count)
{
	const struct bundle_pool *spec = &work->input->bundle->pools[pool];
	g_autofree bool *seen = g_new0(bool, count + 1);
	uint32_t found = 0;

	for (uint32_t i = 0; i < spec->vm_count; i++) {
		uint32_t domain = domain_of[spec->vms[i]];

		found += seen[domain] ? 0 : 1;
		seen[domain] = true;
	}
	return found;
}

static bool pool_has_wave(const struct bundle *bundle, uint32_t pool)
{
	for (uint32_t i = 0; i < bundle->wave_count; i++) {
		for (uint32_t k = 0; k < bundle->waves[i].pool_count; k++) {
			if (bundle->waves[i].pools[k] == pool)
				return true;
		}
	}
	return false;
}

/*
 * Returns the fewest VMs, spread evenly over the failure domains, that meet the
 * floor after the loss of one domain. The result is limited to the target of
 * the bundle, but is never below the floor.
 */
static uint32_t pool_reserve(const struct rebalance_work *work, uint32_t pool)
{
	const struct bundle_pool *spec = &work->input->bundle->pools[pool];
	const struct domain_index *domains = work->domains;
	uint32_t count = 0;
	uint32_t size = spec->floor_vms;

	if (spec->survive == BUNDLE_SURVIVE_ZONE)
		count = domain_count(work, pool, domains->zone_of,
				     domains->zone_count);
	else if (spec->survive == BUNDLE_SURVIVE_RACK)
		count = domain_count(work, pool, domains->rack_of,
				     domains->rack_count);
	if (count > 1)
		size = (spec->floor_vms * count + count - 2) / (count - 1);
	return MAX(spec->floor_vms, MIN(size, spec->target_vms));
}

static uint32_t pool_minimum(const struct rebalance_work *work, uint32_t pool,
			     uint32_t reserve)
{
	const struct bundle *bundle = work->input->bundle;

	if (!pool_has_wave(bundle, pool))
		return reserve;
	return MAX(reserve, MIN(reserve + 1, bundle->pools[pool].target_vms));
}

static uint32_t vms_for(uint64_t demand_milli, uint64_t permille,
			uint64_t slots_per_vm)
{
	uint64_t slot_micro = demand_milli * permille;
	uint64_t vm_micro = slots_per_vm * 1000 * 1000;

	return (uint32_t)((slot_micro + vm_micro - 1) / vm_micro);
}

static uint64_t pool_slots_per_vm(const struct bundle *bundle, uint32_t pool)
{
	const struct bundle_pool *spec = &bundle->pools[pool];
	uint64_t slots = 0;

	for (uint32_t i = 0; i < spec->vm_count; i++)
		slots += bundle->vms[spec->vms[i]].slots;
	return spec->vm_count > 0 ? MAX(slots / spec->vm_count, 1) : 1;
}

/* Sets a pool's wanted size by its demand. A pool that shrinks keeps its
 * minimum. */
static void pool_decide_demand(struct rebalance_work *work, uint32_t index)
{
	const struct bundle *bundle = work->input->bundle;
	const struct rebalance_policy *policy = &work->plan->policy;
	struct rebalance_pool *pool = &work->plan->pools[index];
	uint64_t per_vm = pool_slots_per_vm(bundle, index);
	uint32_t need = vms_for(
		pool->demand_milli,
		policy->low_permille + REBALANCE_HEADROOM_PERMILLE, per_vm);
	uint32_t middle = vms_for(
		pool->demand_milli,
		REBALANCE_NEED_PERMILLE + policy->band_permille / 2, per_vm);
	uint64_t idle_slots;

	pool->low = vms_for(pool->demand_milli, policy->low_permille, per_vm);
	pool->high =
		MAX(vms_for(pool->demand_milli,
			    REBALANCE_NEED_PERMILLE + policy->band_permille,
			    per_vm),
		    pool->minimum);
	if (pool->size < pool->low) {
		pool->reason = REBALANCE_REASON_DEMAND;
		pool->wanted = MAX(MIN(need, bundle->pools[index].vm_count),
				   pool->size);
	} else if (pool->size > pool->high) {
		pool->wanted = MAX(middle, pool->minimum);
		idle_slots = (pool->size - pool->wanted) * per_vm;
		pool->reason = idle_slots * REBALANCE_HORIZON_MS >=
					       policy->move_cost_slot_ms
				       ? REBALANCE_REASON_IDLE
				       : REBALANCE_REASON_MOVE_COST;
	}
}

static void pool_decide(struct rebalance_work *work, uint32_t index)
{
	const struct rebalance_input *input = work->input;
	const struct demand_average *demand = &input->demand[index];
	struct rebalance_pool *pool = &work->plan->pools[index];

	pool->reserve = pool_reserve(work, index);
	pool->minimum = pool_minimum(work, index, pool->reserve);
	pool->demand_milli = demand->average_milli;
	pool->low = pool->reserve;
	pool->high = pool->size;
	pool->wanted = pool->size;
	if (pool->size < pool->reserve) {
		pool->reason = REBALANCE_REASON_RESERVE;
		pool->wanted = pool->reserve;
	} else if (!demand_is_warm(demand)) {
		pool->reason = REBALANCE_REASON_WARM_UP;
	} else if (demand_is_burst(demand, input->now_ms)) {
		pool->reason = REBALANCE_REASON_BURST;
	} else {
		pool_decide_demand(work, index);
	}
	if (input->bundle->pools[index].spare && pool->wanted < pool->size) {
		pool->reason = REBALANCE_REASON_SPARE;
		pool->wanted = pool->size;
	}
}

/*
 * Sets how many VMs a pool keeps. A pool in a burst gives up VMs only to a pool
 * that is below its reserve.
 */
static void pool_retain(struct rebalance_work *work, uint32_t index)
{
	const struct rebalance_pool *pool = &work->plan->pools[index];
	uint32_t needed = MIN(MAX(pool->minimum, pool->low), pool->size);

	work->retained[index] = MIN(pool->wanted, pool->size);
	work->retained_urgent[index] = MIN(needed, work->retained[index]);
	if (work->input->bundle->pools[index].spare &&
	    pool->reason != REBALANCE_REASON_BURST)
		work->retained[index] = needed;
}

void rebalance_counts_add(struct rebalance_counts *counts,
			  const struct domain_index *domains, uint32_t pool,
			  uint32_t vm, int32_t change)
{
	size_t zone = (size_t)pool * domains->zone_count + domains->zone_of[vm];
	size_t rack = (size_t)pool * domains->rack_count + domains->rack_of[vm];

	counts->vms[pool] += (uint32_t)change;
	counts->zone_vms[zone] += (uint32_t)change;
	counts->rack_vms[rack] += (uint32_t)change;
}

static void counts_init(struct rebalance_counts *counts,
			const struct domain_index *domains, size_t pools)
{
	counts->vms = g_new0(uint32_t, pools + 1);
	counts->zone_vms = g_new0(uint32_t, pools * domains->zone_count + 1);
	counts->rack_vms = g_new0(uint32_t, pools * domains->rack_count + 1);
}

static void counts_clear(struct rebalance_counts *counts)
{
	g_free(counts->vms);
	g_free(counts->zone_vms);
	g_free(counts->rack_vms);
}

static void vms_count(struct rebalance_work *work)
{
	const struct rebalance_input *input = work->input;

	for (uint32_t vm = 0; vm < input->placement->row_count; vm++) {
		const struct placement_row *row = &input->placement->rows[vm];
		uint32_t pool = rebalance_pool_of_row(row);

		if (pool == BUNDLE_INDEX_NONE || !input->available[vm])
			continue;
		rebalance_counts_add(&work->held, work->domains, pool, vm, 1);
		if (row->state == PLACEMENT_STATE_SERVING && pool == row->pool)
			rebalance_counts_add(&work->serving, work->domains,
					     pool, vm, 1);
	}
	for (uint32_t i = 0; i < work->plan->pool_count; i++)
		work->plan->pools[i].size = work->held.vms[i];
}

static void work_init(struct rebalance_work *work,
		      const struct rebalance_input *input,
		      struct rebalance_plan *plan)
{
	const struct bundle *bundle = input->bundle;
	size_t pools = bundle->pool_count;

	work->input = input;
	work->plan = plan;
	work->domains = domain_index_create(bundle);
	counts_init(&work->held, work->domains, pools);
	counts_init(&work->serving, work->domains, pools);
	work->allowed = g_new0(bool, pools * bundle->vm_count + 1);
	work->moved = g_new0(bool, bundle->vm_count + 1);
	work->retained = g_new0(uint32_t, pools + 1);
	work->retained_urgent = g_new0(uint32_t, pools + 1);
	work->moves = g_array_new(FALSE, FALSE, sizeof(struct rebalance_move));
	for (uint32_t i = 0; i < pools; i++) {
		const struct bundle_pool *spec = &bundle->pools[i];

		for (uint32_t k = 0; k < spec->vm_count; k++)
			work->allowed[(size_t)i * bundle->vm_count +
				      spec->vms[k]] = true;
	}
}

static void work_clear(struct rebalance_work *work)
{
	domain_index_destroy(work->domains);
	counts_clear(&work->held);
	counts_clear(&work->serving);
	g_free(work->allowed);
	g_free(work->moved);
	g_free(work->retained);
	g_free(work->retained_urgent);
}

struct rebalance_plan *
rebalance_plan_create(const struct rebalance_input *input)
{
	struct rebalance_plan *plan = g_new0(struct rebalance_plan, 1);
	struct rebalance_work work = { 0 };

	g_assert(input->placement->row_count == input->bundle->vm_count);
	plan->policy = rebalance_policy_from_weights(&input->bundle->weights);
	plan->pool_count = input->bundle->pool_count;
	plan->pools = g_new0(struct rebalance_pool, plan->pool_count + 1);
	work_init(&work, input, plan);
	vms_count(&work);
	for (uint32_t i = 0; i < plan->pool_count; i++) {
		pool_decide(&work, i);
		pool_retain(&work, i);
		plan->pools[i].target = plan->pools[i].size;
	}
	rebalance_moves_choose(&work);
	plan->move_count = work.moves->len;
	plan->moves = (struct rebalance_move *)g_array_free(work.moves, FALSE);
	work_clear(&work);
	return plan;
}

void rebalance_plan_destroy(struct rebalance_plan *plan)
{
	if (!plan)
		return;
	g_free(plan->pools);
	g_free(plan->moves);
	g_free(plan);
}
