/**
 * @file test_capacity.c
 * @brief Who gives a VM to whom.
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
	uint32_t found = 0;

	for (uint32_t i = 0; i < count; i++)
		found += moves[i].from == from && moves[i].to == to;
	return found;
}

START_TEST(test_short_pool_takes_spare_first)
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

START_TEST(test_giver_keeps_a_part)
{
	struct capacity_pool pools[] = { pool(8, 0, 68000), pool(8, 8, 0) };
	struct capacity_move moves[MOVES_MAX];
	uint32_t count;

	pools[0].waiting_milli = 500000;
	count = capacity_moves_choose(pools, 2, moves, MOVES_MAX);
	ck_assert_uint_eq(moves_to(moves, count, 1, 0), 4);
}
END_TEST

START_TEST(test_vms_on_their_way_count)
{
	struct capacity_pool pools[] = { pool(4, 0, 34000), pool(8, 8, 0) };
	struct capacity_move moves[MOVES_MAX];

	pools[0].waiting_milli = 8000;
	pools[0].arriving = 1;
	ck_assert_uint_eq(capacity_moves_choose(pools, 2, moves, MOVES_MAX), 0);
}
END_TEST

/* A burst that has just begun asks for more than waits so far. */
START_TEST(test_work_that_arrives_counts)
{
	struct capacity_pool pools[] = { pool(4, 1, 20000), pool(8, 8, 0) };
	struct capacity_move moves[MOVES_MAX];

	ck_assert_uint_eq(capacity_moves_choose(pools, 2, moves, MOVES_MAX), 0);
	pools[0].inflow_milli = 50000;
	ck_assert_uint_ge(capacity_moves_choose(pools, 2, moves, MOVES_MAX), 2);
}
END_TEST

START_TEST(test_idle_for_long_goes_to_spare)
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
	Suite *suite = suite_create("pls");
	TCase *tests = tcase_create("pls");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tests, 60);
	tcase_add_test(tests, test_short_pool_takes_spare_first);
	tcase_add_test(tests, test_giver_keeps_a_part);
	tcase_add_test(tests, test_vms_on_their_way_count);
	tcase_add_test(tests, test_work_that_arrives_counts);
	tcase_add_test(tests, test_idle_for_long_goes_to_spare);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
