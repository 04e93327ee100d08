/* Tests of demand_, rebalance_ and domain_. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "domain.h"
#include "rebalance.h"

#define POOLS 5u
#define VMS 50u
#define SPARE 4u
#define ZONES 3u
#define MINUTE_MS (60u * 1000u)
#define SECOND_MS 1000u

static const uint32_t pool_targets[POOLS] = { 10, 10, 12, 10, 8 };

static const struct bundle_weights churn_averse = {
	.buffer = 1,
	.moves = 5,
	.roll_out = 4,
};

static const struct bundle_weights buffer_averse = {
	.buffer = 5,
	.moves = 2,
	.roll_out = 1,
};

/* A fleet with its placement and the other input of the planner. */
struct fleet {
	struct bundle *bundle;
	struct placement *placement;
	bool available[VMS];
	uint64_t since_ms[VMS];
	struct demand_average demand[POOLS];
	uint64_t now_ms;
};

static struct bundle *bundle_build(const struct bundle_weights *weights)
{
	struct bundle *bundle = bundle_create_empty();

	bundle->weights = *weights;
	bundle->vm_count = VMS;
	bundle->vms = g_new0(struct bundle_vm, VMS);
	for (uint32_t i = 0; i < VMS; i++) {
		struct bundle_vm *vm = &bundle->vms[i];

		vm->name = g_strdup_printf("vm%u", i);
		vm->availability_zone = g_strdup_printf("z%u", i % ZONES);
		vm->rack = g_strdup_printf("z%ur%u", i % ZONES, i / 12);
		vm->slots = 8;
	}
	bundle->pool_count = POOLS;
	bundle->pools = g_new0(struct bundle_pool, POOLS);
	for (uint32_t i = 0; i < POOLS; i++) {
		struct bundle_pool *pool = &bundle->pools[i];

		pool->name = g_strdup_printf("pool%u", i);
		pool->spare = i == SPARE;
		pool->vm_count = VMS;
		pool->vms = g_new0(uint32_t, VMS);
		for (uint32_t k = 0; k < VMS; k++)
			pool->vms[k] = k;
		pool->target_vms = pool_targets[i];
		pool->floor_vms = i == SPARE ? 2 : 4;
		pool->survive = BUNDLE_SURVIVE_ZONE;
	}
	return bundle;
}

static void fleet_init(struct fleet *fleet,
		       const struct bundle_weights *weights)
{
	uint32_t pool = 0;
	uint32_t end = pool_targets[0];

	memset(fleet, 0, sizeof(*fleet));
	fleet->bundle = bundle_build(weights);
	fleet->placement = placement_create(fleet->bundle);
	for (uint32_t i = 0; i < VMS; i++) {
		while (i >= end)
			end += pool_targets[++pool];
		fleet->placement->rows[i].pool = pool;
		fleet->placement->rows[i].state = PLACEMENT_STATE_SERVING;
		fleet->available[i] = true;
	}
}

static void fleet_clear(struct fleet *fleet)
{
	placement_destroy(fleet->placement);
	bundle_unref(fleet->bundle);
}

static struct rebalance_plan *fleet_plan(const struct fleet *fleet)
{
	const struct rebalance_input input = {
		.bundle = fleet->bundle,
		.placement = fleet->placement,
		.available = fleet->available,
		.since_ms = fleet->since_ms,
		.demand = fleet->demand,
		.now_ms = fleet->now_ms,
	};

	return rebalance_plan_create(&input);
}

/* Plans moves and applies them immediately; returns their number. */
static uint32_t fleet_rebalance(struct fleet *fleet)
{
	struct rebalance_plan *plan = fleet_plan(fleet);
	uint32_t count = plan->move_count;

	for (uint32_t i = 0; i < count; i++) {
		fleet->placement->rows[plan->moves[i].vm].pool =
			plan->moves[i].to;
		fleet->since_ms[plan->moves[i].vm] = fleet->now_ms;
	}
	rebalance_plan_destroy(plan);
	return count;
}

/* Simulates constant demand and plans every 10 s; returns the moves made. */
static uint32_t fleet_run(struct fleet *fleet, const uint32_t *slots,
			  uint64_t span_ms)
{
	uint64_t end_ms = fleet->now_ms + span_ms;
	uint32_t moves = 0;

	while (fleet->now_ms < end_ms) {
		fleet->now_ms += SECOND_MS;
		for (uint32_t i = 0; i < POOLS; i++)
			demand_sample_add(&fleet->demand[i], slots[i],
					  fleet->now_ms);
		if (fleet->now_ms % (10 * SECOND_MS) == 0)
			moves += fleet_rebalance(fleet);
	}
	return moves;
}

static uint32_t pool_size(const struct fleet *fleet, uint32_t pool)
{
	return placement_count(fleet->placement, pool, PLACEMENT_STATE_SERVING);
}

START_TEST(demand_is_arithmetic_mean_until_warm)
{
	struct demand_average demand = { 0 };

	demand_sample_add(&demand, 200, 1);
	ck_assert(!demand_is_warm(&demand));
	for (uint64_t t = 1; t <= 600; t++)
		demand_sample_add(&demand, t <= 10 ? 200 : 40,
				  1 + t * SECOND_MS);
	ck_assert(demand_is_warm(&demand));
	ck_assert_uint_ge(demand.average_milli, 39000);
	ck_assert_uint_le(demand.average_milli, 43000);
}
END_TEST

START_TEST(burst_ends_or_becomes_demand)
{
	struct demand_average demand = { 0 };
	uint64_t t = 1;

	for (; t < 600; t++)
		demand_sample_add(&demand, 40, t * SECOND_MS);
	ck_assert(!demand_is_burst(&demand, t * SECOND_MS));
	demand_sample_add(&demand, 200, t * SECOND_MS);
	ck_assert(demand_is_burst(&demand, t * SECOND_MS));
	demand_sample_add(&demand, 2, (t + 5) * SECOND_MS);
	ck_assert(!demand_is_burst(&demand, (t + 5) * SECOND_MS));
	demand_sample_add(&demand, 200, (t + 6) * SECOND_MS);
	ck_assert(!demand_is_burst(&demand,
				   (t + 6) * SECOND_MS + DEMAND_BURST_MAX_MS));
}
END_TEST

START_TEST(alternating_bursts_cause_no_move)
{
	const uint32_t mean = 40;
	const struct bundle_weights *weights[] = { &churn_averse,
						   &buffer_averse };

	for (size_t w = 0; w < G_N_ELEMENTS(weights); w++) {
		const uint32_t normal[POOLS] = { mean, mean, mean, mean, 20 };
		struct fleet fleet;

		fleet_init(&fleet, weights[w]);
		fleet_run(&fleet, normal, 120 * MINUTE_MS);
		for (uint32_t burst = 0; burst < 60; burst++) {
			uint32_t high[POOLS];
			uint32_t low[POOLS];

			memcpy(high, normal, sizeof(high));
			memcpy(low, normal, sizeof(low));
			high[burst % POOLS] *= 5;
			low[burst % POOLS] /= 20;
			ck_assert_uint_eq(
				fleet_run(&fleet, high, 8 * SECOND_MS), 0);
			ck_assert_uint_eq(
				fleet_run(&fleet, low, 34 * SECOND_MS), 0);
		}
		fleet_clear(&fleet);
	}
}
END_TEST

START_TEST(sustained_demand_moves_vms_and_returns_them)
{
	const uint32_t normal[POOLS] = { 40, 40, 40, 40, 10 };
	const uint32_t busy[POOLS] = { 96, 40, 40, 40, 10 };
	uint32_t moves[2];
	const struct bundle_weights *weights[] = { &churn_averse,
						   &buffer_averse };

	for (size_t w = 0; w < G_N_ELEMENTS(weights); w++) {
		struct fleet fleet;

		fleet_init(&fleet, weights[w]);
		fleet_run(&fleet, normal, 120 * MINUTE_MS);
		moves[w] = fleet_run(&fleet, busy, 60 * MINUTE_MS);
		ck_assert_uint_ge(pool_size(&fleet, 0), 13);
		moves[w] += fleet_run(&fleet, normal, 240 * MINUTE_MS);
		ck_assert_uint_le(pool_size(&fleet, 0), 11);
		fleet_clear(&fleet);
	}
	ck_assert_uint_gt(moves[0], 0);
	ck_assert_uint_le(moves[0], moves[1]);
}
END_TEST

START_TEST(weights_determine_the_policy)
{
	struct rebalance_policy a =
		rebalance_policy_from_weights(&churn_averse);
	struct rebalance_policy b =
		rebalance_policy_from_weights(&buffer_averse);

	ck_assert_uint_gt(a.band_permille, b.band_permille);
	ck_assert_uint_gt(a.min_stay_ms, b.min_stay_ms);
	ck_assert_uint_gt(a.move_cost_slot_ms, b.move_cost_slot_ms);
}
END_TEST

START_TEST(failed_vms_are_replaced_across_zones)
{
	const uint32_t normal[POOLS] = { 24, 24, 24, 24, 4 };
	struct fleet fleet;
	struct rebalance_plan *plan;
	uint32_t failed = 0;

	fleet_init(&fleet, &churn_averse);
	fleet_run(&fleet, normal, 10 * MINUTE_MS);
	for (uint32_t i = 0; i < VMS && failed < 6; i++) {
		if (fleet.placement->rows[i].pool != 0)
			continue;
		fleet.available[i] = false;
		failed++;
	}
	plan = fleet_plan(&fleet);
	ck_assert_int_eq(plan->pools[0].reason, REBALANCE_REASON_RESERVE);
	ck_assert_uint_ge(plan->pools[0].target, plan->pools[0].reserve);
	for (uint32_t i = 0; i < plan->move_count; i++) {
		ck_assert_uint_eq(plan->moves[i].to, 0);
		ck_assert_int_eq(plan->moves[i].reason,
				 PLACEMENT_REASON_FAILURE);
	}
	rebalance_plan_destroy(plan);
	fleet_clear(&fleet);
}
END_TEST

/* Available VMs that remain after the loss of the pool's largest zone. */
static uint32_t survivors(const struct fleet *fleet, uint32_t pool)
{
	uint32_t zones[ZONES] = { 0 };
	uint32_t total = 0;

	for (uint32_t i = 0; i < VMS; i++) {
		if (fleet->placement->rows[i].pool != pool ||
		    !fleet->available[i])
			continue;
		zones[i % ZONES]++;
		total++;
	}
	return total - MAX(zones[0], MAX(zones[1], zones[2]));
}

/*
 * Checks that planning is deterministic, and that a pool that gives up VMs
 * still meets its floor after the loss of its largest zone.
 */
static void donors_check(struct fleet *fleet)
{
	uint32_t before[POOLS];
	struct rebalance_plan *plan = fleet_plan(fleet);
	struct rebalance_plan *repeated = fleet_plan(fleet);

	ck_assert_uint_eq(plan->move_count, repeated->move_count);
	if (plan->move_count > 0)
		ck_assert_mem_eq(plan->moves, repeated->moves,
				 plan->move_count * sizeof(*plan->moves));
	for (uint32_t i = 0; i < POOLS; i++)
		before[i] = survivors(fleet, i);
	fleet_rebalance(fleet);
	for (uint32_t i = 0; i < POOLS; i++) {
		uint32_t after = survivors(fleet, i);

		if (after < before[i])
			ck_assert_uint_ge(after,
					  fleet->bundle->pools[i].floor_vms);
	}
	rebalance_plan_destroy(plan);
	rebalance_plan_destroy(repeated);
}

START_TEST(random_demand_and_failures_never_break_a_floor)
{
	const uint32_t seed = 20261203;
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
	struct fleet fleet;

	g_test_message("seed %u", seed);
	fleet_init(&fleet, &buffer_averse);
	for (uint32_t round = 0; round < 3000; round++) {
		uint32_t vm = (uint32_t)g_rand_int_range(rand, 0, VMS);

		fleet.now_ms += 30 * SECOND_MS;
		for (uint32_t i = 0; i < POOLS; i++)
			demand_sample_add(
				&fleet.demand[i],
				(uint32_t)g_rand_int_range(
					rand, 0,
					1 + (int)(round / 8 + i * 50) % 120),
				fleet.now_ms);
		fleet.available[vm] = g_rand_int_range(rand, 0, 10) > 0;
		donors_check(&fleet);
	}
	fleet_clear(&fleet);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("rebalance");
	TCase *tcase = tcase_create("rebalance");
	SRunner *runner = srunner_create(suite);
	int failed;

	suite_add_tcase(suite, tcase);
	tcase_add_test(tcase, demand_is_arithmetic_mean_until_warm);
	tcase_add_test(tcase, burst_ends_or_becomes_demand);
	tcase_add_test(tcase, alternating_bursts_cause_no_move);
	tcase_add_test(tcase, sustained_demand_moves_vms_and_returns_them);
	tcase_add_test(tcase, weights_determine_the_policy);
	tcase_add_test(tcase, failed_vms_are_replaced_across_zones);
	tcase_add_test(tcase, random_demand_and_failures_never_break_a_floor);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
