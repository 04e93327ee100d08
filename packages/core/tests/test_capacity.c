/**
 * @file test_capacity.c
 * @brief Tests of the distribution of VMs among pools.
 */
#include <check.h>

#include "capacity.h"

#define MOVES_MAX 32

static struct capacity_pool pool(uint32_t up, uint32_t idle, int64_t used_milli)
{
	return (struct capacity_pool){
		.up = up,
		.idle = idle,
		.vm_cpu_milli = 10000,
		.used_milli = used_milli,
	};
}

static uint32_t moves_to(const struct capacity_move *moves, uint32_t count,
			 uint32_t from, uint32_t to)
{
	uint32_t matching = 0;

	for (uint32_t i = 0; i < count; i++)
		matching += moves[i].from == from && moves[i].to == to;
	return matching;
}

START_TEST(test_shortage_is_met_from_spare_pool_first)
{
	struct capacity_pool pools[] = { pool(4, 0, 34000), pool(4, 4, 0),
					 pool(3, 3, 0) };
	struct capacity_move moves[MOVES_MAX];
	uint32_t count;

	pools[0].waiting_milli = 30000;
	pools[2].is_spare = true;
	count = capacity_moves_choose(pools, 3, moves, MOVES_MAX);
	ck_assert_uint_eq(moves_to(moves, count, 2, 0), 3);
	ck_assert_uint_ge(moves_to(moves, count, 1, 0), 1);
}
END_TEST

START_TEST(test_donor_keeps_reserve)
{
	struct capacity_pool pools[] = { pool(8, 0, 68000), pool(8, 8, 0) };
	struct capacity_move moves[MOVES_MAX];
	uint32_t count;

	pools[0].waiting_milli = 500000;
	count = capacity_moves_choose(pools, 2, moves, MOVES_MAX);
	ck_assert_uint_eq(moves_to(moves, count, 1, 0), 4);
}
END_TEST

START_TEST(test_arriving_vms_count)
{
	struct capacity_pool pools[] = { pool(4, 0, 34000), pool(8, 8, 0) };
	struct capacity_move moves[MOVES_MAX];

	pools[0].waiting_milli = 8000;
	pools[0].arriving = 1;
	ck_assert_uint_eq(capacity_moves_choose(pools, 2, moves, MOVES_MAX), 0);
}
END_TEST

/* At most so many tasks of a step may run on one worker: the pool has enough
 * CPU and still no worker for the next task. */
START_TEST(test_unplaced_tasks_bring_vms)
{
	struct capacity_pool pools[] = { pool(3, 0, 3000), pool(8, 8, 0) };
	struct capacity_move moves[MOVES_MAX];
	uint32_t count;

	ck_assert_uint_eq(capacity_moves_choose(pools, 2, moves, MOVES_MAX), 0);
	pools[0].unplaced_vms = 2;
	count = capacity_moves_choose(pools, 2, moves, MOVES_MAX);
	ck_assert_uint_eq(moves_to(moves, count, 1, 0), 2);
	pools[0].arriving = 2;
	ck_assert_uint_eq(capacity_moves_choose(pools, 2, moves, MOVES_MAX), 0);
	pools[0].arriving = 0;
	/* An idle worker that fits none of them shows that VMs do not help. */
	pools[0].idle = 1;
	ck_assert_uint_eq(capacity_moves_choose(pools, 2, moves, MOVES_MAX), 0);
}
END_TEST

/* At the start of a burst more work is forecast than is queued. */
START_TEST(test_forecast_work_counts)
{
	struct capacity_pool pools[] = { pool(4, 1, 20000), pool(8, 8, 0) };
	struct capacity_move moves[MOVES_MAX];

	ck_assert_uint_eq(capacity_moves_choose(pools, 2, moves, MOVES_MAX), 0);
	pools[0].inflow_milli = 50000;
	ck_assert_uint_ge(capacity_moves_choose(pools, 2, moves, MOVES_MAX), 2);
}
END_TEST

START_TEST(test_long_idle_vms_return_to_spare_pool)
{
	struct capacity_pool pools[] = { pool(8, 8, 0), pool(8, 8, 0),
					 pool(0, 0, 0) };
	struct capacity_move moves[MOVES_MAX];
	uint32_t count;

	pools[2].is_spare = true;
	ck_assert_uint_eq(capacity_moves_choose(pools, 3, moves, MOVES_MAX), 0);
	pools[0].idle_long = 8;
	count = capacity_moves_choose(pools, 3, moves, MOVES_MAX);
	ck_assert_uint_eq(moves_to(moves, count, 0, 2), 4);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("capacity");
	TCase *tests = tcase_create("capacity");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tests, 60);
	tcase_add_test(tests, test_shortage_is_met_from_spare_pool_first);
	tcase_add_test(tests, test_donor_keeps_reserve);
	tcase_add_test(tests, test_arriving_vms_count);
	tcase_add_test(tests, test_unplaced_tasks_bring_vms);
	tcase_add_test(tests, test_forecast_work_counts);
	tcase_add_test(tests, test_long_idle_vms_return_to_spare_pool);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
