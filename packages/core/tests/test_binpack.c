/**
 * @file test_binpack.c
 * @brief Tests of the choice of a worker for a task.
 */
#include <check.h>

#include "binpack.h"

static struct binpack_candidate candidate(int64_t cpu_free_milli)
{
	return (struct binpack_candidate){
		.cpu_free_milli = cpu_free_milli,
		.memory_free_mb = 1000,
		.accelerators_free = 1,
		.has_label = true,
	};
}

START_TEST(test_least_free_cpu_is_preferred)
{
	const struct binpack_candidate candidates[] = { candidate(9000),
							candidate(1000),
							candidate(3000) };
	const struct binpack_request request = { .cpu_milli = 2000 };

	ck_assert_int_eq(binpack_choose(candidates, 3, &request), 2);
}
END_TEST

START_TEST(test_no_candidate_fits)
{
	const struct binpack_candidate candidates[] = { candidate(1000) };
	const struct binpack_request request = { .cpu_milli = 2000 };

	ck_assert_int_eq(binpack_choose(candidates, 1, &request), -1);
}
END_TEST

START_TEST(test_best_effort_needs_no_cpu_and_avoids_latency_sensitive)
{
	struct binpack_candidate candidates[] = { candidate(0),
						  candidate(5000) };
	const struct binpack_request request = { .cpu_milli = 2000,
						 .best_effort = true };

	candidates[0].latency_sensitive_tasks = 0;
	candidates[1].latency_sensitive_tasks = 2;
	ck_assert_int_eq(binpack_choose(candidates, 2, &request), 0);
	candidates[0].latency_sensitive_tasks = 3;
	ck_assert_int_eq(binpack_choose(candidates, 2, &request), 1);
}
END_TEST

START_TEST(test_worker_limit_label_and_rack)
{
	struct binpack_candidate candidates[] = { candidate(3000),
						  candidate(4000),
						  candidate(5000) };
	const struct binpack_request request = { .cpu_milli = 1000,
						 .max_per_worker = 1,
						 .has_data_rack = true };

	candidates[0].same_group = 1;
	candidates[1].has_label = false;
	ck_assert_int_eq(binpack_choose(candidates, 3, &request), 2);
	candidates[0].same_group = 0;
	candidates[2].on_data_rack = true;
	ck_assert_int_eq(binpack_choose(candidates, 3, &request), 2);
}
END_TEST

START_TEST(test_worker_with_penalty_comes_last)
{
	struct binpack_candidate candidates[] = { candidate(3000),
						  candidate(9000) };
	const struct binpack_request request = { .cpu_milli = 1000 };

	candidates[0].penalty = 1;
	ck_assert_int_eq(binpack_choose(candidates, 2, &request), 1);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("binpack");
	TCase *tests = tcase_create("binpack");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tests, 60);
	tcase_add_test(tests, test_least_free_cpu_is_preferred);
	tcase_add_test(tests, test_no_candidate_fits);
	tcase_add_test(
		tests,
		test_best_effort_needs_no_cpu_and_avoids_latency_sensitive);
	tcase_add_test(tests, test_worker_limit_label_and_rack);
	tcase_add_test(tests, test_worker_with_penalty_comes_last);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
