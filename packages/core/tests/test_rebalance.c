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

static const struct bundle_weights officials = {
	.buffer = 1,
	.moves = 5,
	.roll_out = 4,
};

static const struct bundle_weights tsurugi = {
	.buffer = 5,
	.moves = 2,
	.roll_out = 1,
};

/* A fleet with its placement and what the planner is told about it. */
struct fleet {
	struct bundle *bundle;
	struct placement *view;
	bool ready[VMS];
	uint64_t since_ms[VMS];
	struct demand_average demand[POOLS];
	uint64_t now_ms;
};

static struct bundle *bundle_make(const struct bundle_weights *weights)
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
	fleet->bundle = bundle_make(weights);
	fleet->view = placement_create(fleet->bundle);
	for (uint32_t i = 0; i < VMS; i++) {
		while (i >= end)
			end += pool_targets[++pool];
		fleet->view->rows[i].pool = pool;
		fleet->view->rows[i].state = PLACEMENT_STATE_SERVING;
		fleet->ready[i] = true;
	}
}

static void fleet_clear(struct fleet *fleet)
{
	placement_destroy(fleet->view);
	bundle_unref(fleet->bundle);
}

static struct rebalance_plan *fleet_plan(const struct fleet *fleet)
{
	const struct rebalance_input input = {
		.bundle = fleet->bundle,
		.placement = fleet->view,
		.available = fleet->ready,
		.since_ms = fleet->since_ms,
		.demand = fleet->demand,
		.now_ms = fleet->now_ms,
	};

	return rebalance_plan_create(&input);
}

/* Plans and carries the moves out at once; returns their number. */
static uint32_t fleet_move(struct fleet *fleet)
{
	struct rebalance_plan *plan = fleet_plan(fleet);
	uint32_t count = plan->move_count;

	for (uint32_t i = 0; i < count; i++) {
		fleet->view->rows[plan->moves[i].vm].pool = plan->moves[i].to;
		fleet->since_ms[plan->moves[i].vm] = fleet->now_ms;
	}
	rebalance_plan_destroy(plan);
	return count;
}

/* Lets time pass with constant demand, planning every ten seconds. */
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
			moves += fleet_move(fleet);
	}
	return moves;
}

static uint32_t pool_size(const struct fleet *fleet, uint32_t pool)
{
	return placement_count(fleet->view, pool, PLACEMENT_STATE_SERVING);
}

START_TEST(demand_is_a_mean_until_it_is_warm)
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

START_TEST(burst_ends_by_itself_or_becomes_demand)
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

START_TEST(bursts_in_turn_cause_no_move)
{
	const uint32_t mean = 40;
	const struct bundle_weights *weights[] = { &officials, &tsurugi };

	for (size_t w = 0; w < G_N_ELEMENTS(weights); w++) {
		const uint32_t quiet[POOLS] = { mean, mean, mean, mean, 20 };
		struct fleet fleet;

		fleet_init(&fleet, weights[w]);
		fleet_run(&fleet, quiet, 120 * MINUTE_MS);
		for (uint32_t burst = 0; burst < 60; burst++) {
			uint32_t high[POOLS];
			uint32_t low[POOLS];

			memcpy(high, quiet, sizeof(high));
			memcpy(low, quiet, sizeof(low));
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

START_TEST(lasting_demand_moves_vms_and_gives_them_back)
{
	const uint32_t quiet[POOLS] = { 40, 40, 40, 40, 10 };
	const uint32_t busy[POOLS] = { 96, 40, 40, 40, 10 };
	uint32_t moves[2];
	const struct bundle_weights *weights[] = { &officials, &tsurugi };

	for (size_t w = 0; w < G_N_ELEMENTS(weights); w++) {
		struct fleet fleet;

		fleet_init(&fleet, weights[w]);
		fleet_run(&fleet, quiet, 120 * MINUTE_MS);
		moves[w] = fleet_run(&fleet, busy, 60 * MINUTE_MS);
		ck_assert_uint_ge(pool_size(&fleet, 0), 13);
		moves[w] += fleet_run(&fleet, quiet, 240 * MINUTE_MS);
		ck_assert_uint_le(pool_size(&fleet, 0), 11);
		fleet_clear(&fleet);
	}
	ck_assert_uint_gt(moves[0], 0);
	ck_assert_uint_le(moves[0], moves[1]);
}
END_TEST

START_TEST(weights_set_the_bounds)
{
	struct rebalance_policy a = rebalance_policy_from_weights(&officials);
	struct rebalance_policy b = rebalance_policy_from_weights(&tsurugi);

	ck_assert_uint_gt(a.band_permille, b.band_permille);
	ck_assert_uint_gt(a.min_stay_ms, b.min_stay_ms);
	ck_assert_uint_gt(a.move_cost_slot_ms, b.move_cost_slot_ms);
}
END_TEST

START_TEST(failed_vms_are_replaced_across_zones)
{
	const uint32_t quiet[POOLS] = { 24, 24, 24, 24, 4 };
	struct fleet fleet;
	struct rebalance_plan *plan;
	uint32_t lost = 0;

	fleet_init(&fleet, &officials);
	fleet_run(&fleet, quiet, 10 * MINUTE_MS);
	for (uint32_t i = 0; i < VMS && lost < 6; i++) {
		if (fleet.view->rows[i].pool != 0)
			continue;
		fleet.ready[i] = false;
		lost++;
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

/* Ready VMs that remain after the loss of the pool's fullest zone. */
static uint32_t survivors(const struct fleet *fleet, uint32_t pool)
{
	uint32_t zones[ZONES] = { 0 };
	uint32_t total = 0;

	for (uint32_t i = 0; i < VMS; i++) {
		if (fleet->view->rows[i].pool != pool || !fleet->ready[i])
			continue;
		zones[i % ZONES]++;
		total++;
	}
	return total - MAX(zones[0], MAX(zones[1], zones[2]));
}

/* A pool that gives must still meet its floor after the worst zone loss. */
static void check_givers(struct fleet *fleet)
{
	uint32_t before[POOLS];
	struct rebalance_plan *plan = fleet_plan(fleet);
	struct rebalance_plan *again = fleet_plan(fleet);

	ck_assert_uint_eq(plan->move_count, again->move_count);
	if (plan->move_count > 0)
		ck_assert_mem_eq(plan->moves, again->moves,
				 plan->move_count * sizeof(*plan->moves));
	for (uint32_t i = 0; i < POOLS; i++)
		before[i] = survivors(fleet, i);
	fleet_move(fleet);
	for (uint32_t i = 0; i < POOLS; i++) {
		uint32_t after = survivors(fleet, i);

		if (after < before[i])
			ck_assert_uint_ge(after,
					  fleet->bundle->pools[i].floor_vms);
	}
	rebalance_plan_destroy(plan);
	rebalance_plan_destroy(again);
}

START_TEST(random_demand_and_failures_never_break_a_floor)
{
	const uint32_t seed = 20261203;
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
	struct fleet fleet;

	g_test_message("seed %u", seed);
	fleet_init(&fleet, &tsurugi);
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
		fleet.ready[vm] = g_rand_int_range(rand, 0, 10) > 0;
		check_givers(&fleet);
	}
	fleet_clear(&fleet);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("mov");
	TCase *tcase = tcase_create("mov");
	SRunner *runner = srunner_create(suite);
	int failed;

	suite_add_tcase(suite, tcase);
	tcase_add_test(tcase, demand_is_a_mean_until_it_is_warm);
	tcase_add_test(tcase, burst_ends_by_itself_or_becomes_demand);
	tcase_add_test(tcase, bursts_in_turn_cause_no_move);
	tcase_add_test(tcase, lasting_demand_moves_vms_and_gives_them_back);
	tcase_add_test(tcase, weights_set_the_bounds);
	tcase_add_test(tcase, failed_vms_are_replaced_across_zones);
	tcase_add_test(tcase, random_demand_and_failures_never_break_a_floor);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
