#include "sim_moves.h"

#include <math.h>
#include <string.h>

#include "rebalance.h"

#define DAY_S (24u * 3600u)
#define VMS_MAX 64u
#define SLOTS 8u
#define PLAN_INTERVAL_S 10u
/* Time for which a VM serves no pool while it moves. */
#define MOVE_S 60u
#define BURST_S 8u
#define TROUGH_S 34u
#define BURST_INTERVAL_S 60u
#define BURST_RATIO 5.0
#define TROUGH_RATIO 0.05
/* Demand counts running and queued requests; the queue limit caps it. */
#define DEMAND_CAP_RATIO 4u
#define MAINTENANCE_INTERVAL_S 900u
#define MAINTENANCE_S 300u
#define FAILURE_INTERVAL_S 7200u
#define FAILURE_S 1200u
#define RACK_LOSS_S (10u * 3600u)
#define RACK_RECOVERY_S (11u * 3600u)
#define ZONE_LOSS_S (16u * 3600u)
#define ZONE_RECOVERY_S (ZONE_LOSS_S + 1800u)
#define THRESHOLD_HEADROOM 1.25

/* Simulation of a fleet over one day. */
struct day {
	const struct sim_deployment *fleet;
	enum sim_sizing sizing;
	struct bundle *bundle;
	struct placement *placement;
	GRand *rand;
	uint64_t now_s;
	bool ready[VMS_MAX];
	uint64_t since_ms[VMS_MAX];
	uint64_t moving_until_s[VMS_MAX];
	uint64_t maintained_until_s[VMS_MAX];
	uint64_t failed_until_s[VMS_MAX];
	struct demand_average demand[SIM_POOLS];
	uint32_t wanted[SIM_POOLS];
	bool in_burst[SIM_POOLS];
	double idle_slot_s;
	double wanted_slot_s;
	double missing_slot_s;
	struct sim_moves *result;
};

/*
 * Load follows a daily sine wave with a two-hour peak at a different time of
 * day for each pool.
 */
static double pool_load(const struct day *day, uint32_t pool)
{
	double hour = (double)day->now_s / 3600.0;
	double wave = 1.0 + 0.4 * sin((hour - 3.0 * pool) * 2.0 * G_PI / 24.0);
	double from_peak = fabs(hour - (6.0 + 3.0 * pool));
	double peak = from_peak < 1.0 ? 1.0 + 0.9 * (1.0 - from_peak) : 1.0;

	return day->fleet->vms[pool] * SLOTS * day->fleet->utilisation * wave *
	       peak;
}

static double burst_ratio(const struct day *day, uint32_t pool, bool *in_burst)
{
	uint64_t cycle_s = BURST_INTERVAL_S * SIM_POOLS;
	uint64_t offset_s =
		(day->now_s + cycle_s - pool * BURST_INTERVAL_S) % cycle_s;

	*in_burst = offset_s < BURST_S;
	if (*in_burst)
		return BURST_RATIO;
	return offset_s < BURST_S + TROUGH_S ? TROUGH_RATIO : 1.0;
}

static uint32_t ready_vms(const struct day *day, uint32_t pool)
{
	uint32_t count = 0;

	for (uint32_t vm = 0; vm < day->bundle->vm_count; vm++)
		count +=
			day->ready[vm] && day->placement->rows[vm].pool == pool;
	return count;
}

static void demand_update(struct day *day)
{
	for (uint32_t pool = 0; pool < SIM_POOLS; pool++) {
		uint32_t slots = ready_vms(day, pool) * SLOTS;
		double mean = pool_load(day, pool) *
			      burst_ratio(day, pool, &day->in_burst[pool]);
		double noise = 0.8 + 0.4 * g_rand_double(day->rand);
		uint32_t wanted = (uint32_t)(mean * noise + 0.5);
		bool spare = day->bundle->pools[pool].spare;

		day->wanted[pool] = MIN(wanted, slots * DEMAND_CAP_RATIO);
		demand_sample_add(&day->demand[pool], day->wanted[pool],
				  day->now_s * 1000);
		if (!spare && slots > wanted)
			day->idle_slot_s += slots - wanted;
		if (day->in_burst[pool])
			continue;
		day->wanted_slot_s += wanted;
		if (wanted > slots)
			day->missing_slot_s += wanted - slots;
	}
}

static bool domain_is_lost(const struct day *day, uint32_t vm)
{
	const struct bundle_vm *spec = &day->bundle->vms[vm];

	if (day->now_s >= RACK_LOSS_S && day->now_s < RACK_RECOVERY_S)
		return strcmp(spec->rack, "z1r1") == 0;
	if (day->now_s >= ZONE_LOSS_S && day->now_s < ZONE_RECOVERY_S)
		return strcmp(spec->availability_zone, "z2") == 0;
	return false;
}

/*
 * Starts maintenance of the next VM unless that could leave its pool below the
 * floor if a zone is lost meanwhile.
 */
static void maintenance_update(struct day *day)
{
	uint32_t vm = (uint32_t)(day->now_s / MAINTENANCE_INTERVAL_S) %
		      day->bundle->vm_count;
	uint32_t pool = day->placement->rows[vm].pool;
	uint32_t zones[SIM_ZONES] = { 0 };
	uint32_t left = 0;

	if (day->now_s % MAINTENANCE_INTERVAL_S != 0)
		return;
	for (uint32_t i = 0; i < day->bundle->vm_count; i++) {
		if (!day->ready[i] || i == vm ||
		    day->placement->rows[i].pool != pool)
			continue;
		zones[i % SIM_ZONES]++;
		left++;
	}
	left -= MAX(zones[0], MAX(zones[1], zones[2]));
	if (left >= day->bundle->pools[pool].floor_vms)
		day->maintained_until_s[vm] = day->now_s + MAINTENANCE_S;
}

/* Completes moves and maintenance whose time has passed. */
static void row_update(struct day *day, uint32_t vm)
{
	struct placement_row *row = &day->placement->rows[vm];
	bool moving = day->now_s < day->moving_until_s[vm];
	bool maintained = day->now_s < day->maintained_until_s[vm];

	if (!moving && row->next_pool != BUNDLE_INDEX_NONE) {
		row->pool = row->next_pool;
		row->next_pool = BUNDLE_INDEX_NONE;
	}
	row->state = moving || maintained ? PLACEMENT_STATE_DRAINING
					  : PLACEMENT_STATE_SERVING;
}

static void faults_update(struct day *day)
{
	maintenance_update(day);
	if (day->now_s % FAILURE_INTERVAL_S == FAILURE_INTERVAL_S / 2) {
		uint32_t vm = (uint32_t)g_rand_int_range(
			day->rand, 0, (gint32)day->bundle->vm_count);

		day->failed_until_s[vm] = day->now_s + FAILURE_S;
	}
	for (uint32_t vm = 0; vm < day->bundle->vm_count; vm++) {
		row_update(day, vm);
		day->ready[vm] = day->now_s >= day->moving_until_s[vm] &&
				 day->now_s >= day->maintained_until_s[vm] &&
				 day->now_s >= day->failed_until_s[vm] &&
				 !domain_is_lost(day, vm);
	}
}

static void vm_move(struct day *day, uint32_t vm, uint32_t to,
		    enum placement_reason reason)
{
	uint32_t from = day->placement->rows[vm].pool;

	day->result->moves++;
	if (reason == PLACEMENT_REASON_FAILURE)
		day->result->replacements++;
	else if (day->in_burst[from] || day->in_burst[to])
		day->result->moves_in_burst++;
	day->placement->rows[vm].next_pool = to;
	day->placement->rows[vm].state = PLACEMENT_STATE_DRAINING;
	day->since_ms[vm] = day->now_s * 1000;
	day->moving_until_s[vm] = day->now_s + MOVE_S;
}

/*
 * A VM that is moving counts as available to the planner; its new pool has
 * been set already.
 */
static void moves_plan(struct day *day)
{
	bool available[VMS_MAX];
	const struct rebalance_input input = {
		.bundle = day->bundle,
		.placement = day->placement,
		.available = available,
		.since_ms = day->since_ms,
		.demand = day->demand,
		.now_ms = day->now_s * 1000,
	};
	struct rebalance_plan *plan;

	for (uint32_t vm = 0; vm < day->bundle->vm_count; vm++)
		available[vm] = day->now_s >= day->failed_until_s[vm] &&
				!domain_is_lost(day, vm);
	plan = rebalance_plan_create(&input);
	for (uint32_t i = 0; i < plan->move_count; i++)
		vm_move(day, plan->moves[i].vm, plan->moves[i].to,
			plan->moves[i].reason);
	rebalance_plan_destroy(plan);
}

static uint32_t threshold_wanted(const struct day *day, uint32_t pool)
{
	uint32_t need =
		(uint32_t)ceil(day->wanted[pool] * THRESHOLD_HEADROOM / SLOTS);

	return MAX(need, day->bundle->pools[pool].floor_vms);
}

static void pool_resize_by_threshold(struct day *day, uint32_t pool,
				     uint32_t spare)
{
	uint32_t size = ready_vms(day, pool);
	uint32_t wanted = threshold_wanted(day, pool);
	uint32_t spare_size = ready_vms(day, spare);

	for (uint32_t vm = 0; vm < day->bundle->vm_count; vm++) {
		uint32_t at = day->placement->rows[vm].pool;

		if (!day->ready[vm])
			continue;
		if (at == pool && size > wanted) {
			vm_move(day, vm, spare, PLACEMENT_REASON_RETURN);
			size--;
		} else if (at == spare && size < wanted &&
			   spare_size > day->bundle->pools[spare].floor_vms) {
			vm_move(day, vm, pool, PLACEMENT_REASON_DEMAND);
			size++;
			spare_size--;
		}
	}
}

static void pools_resize(struct day *day)
{
	if (day->now_s % PLAN_INTERVAL_S != 0)
		return;
	if (day->sizing == SIM_SIZING_PLANNED)
		moves_plan(day);
	for (uint32_t pool = 0;
	     day->sizing == SIM_SIZING_THRESHOLD && pool < SIM_POOLS - 1;
	     pool++)
		pool_resize_by_threshold(day, pool, SIM_POOLS - 1);
}

static void floors_check(struct day *day)
{
	for (uint32_t pool = 0; pool < SIM_POOLS; pool++) {
		if (ready_vms(day, pool) < day->bundle->pools[pool].floor_vms)
			day->result->floor_violations++;
	}
}

static void pools_init(struct day *day)
{
	for (uint32_t vm = 0; vm < day->bundle->vm_count; vm++) {
		day->placement->rows[vm].pool =
			sim_initial_pool(day->fleet, vm);
		day->placement->rows[vm].state = PLACEMENT_STATE_SERVING;
	}
}

struct sim_moves sim_moves_run(const struct sim_deployment *fleet,
			       const struct bundle_weights *weights,
			       enum sim_sizing sizing, uint32_t seed)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
	struct sim_moves result = { 0 };
	struct day day = {
		.fleet = fleet,
		.sizing = sizing,
		.bundle = sim_bundle_create(fleet),
		.rand = rand,
		.result = &result,
	};

	day.bundle->weights = *weights;
	day.placement = placement_create(day.bundle);
	pools_init(&day);
	g_assert(day.bundle->vm_count <= VMS_MAX);
	for (day.now_s = 1; day.now_s < DAY_S; day.now_s++) {
		faults_update(&day);
		demand_update(&day);
		floors_check(&day);
		pools_resize(&day);
	}
	result.buffer_slots = day.idle_slot_s / DAY_S;
	result.shortfall = day.missing_slot_s / day.wanted_slot_s;
	placement_destroy(day.placement);
	bundle_unref(day.bundle);
	return result;
}
