/**
 * @file test_late_submissions.c
 * @brief Submissions that arrive after their callers have left or have
 *        cancelled the job at another process.
 */
#include <check.h>
#include <stdlib.h>

#include "emu_expect.h"

static const struct emu_config fleet = {
	.seed = 13,
	.nodes = 3,
	.pools = 1,
	.vms_per_pool = 4,
	.vm_cpu_milli = 8000,
	.attempts = 3,
};

static const struct emu_job batch = {
	.steps = 1,
	.tasks_per_step = 2,
	.cpu_milli = 500,
	.task_ms = 500,
};

/* In the second run another process becomes the owner in between, and in the
 * third one two. */
START_TEST(test_submission_after_its_cancellation)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats stats;
	uint32_t job;

	emu_advance(emu, 3000);
	job = emu_job_register(emu, &batch);
	emu_cancel(emu, 1, job);
	emu_advance(emu, 1000);
	for (int i = 0; i < _i; i++) {
		uint32_t owner = emu_owner(emu);

		emu_node_kill(emu, owner);
		emu_advance(emu, 5000);
		ck_assert_uint_lt(emu_owner(emu), fleet.nodes);
		emu_node_start(emu, owner);
	}
	emu_resubmit(emu, 2, job);
	emu_settle(emu, 1, 5000);
	emu_stats(emu, &stats);
	ck_assert_uint_eq(stats.runs, 0);
	ck_assert_uint_eq(stats.refused, 1);
	emu_destroy(emu);
}
END_TEST

/* They share transactions, and repeated ones are not stored again. */
START_TEST(test_many_cancellations_cost_few_calls_of_the_store)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats before;
	struct emu_stats after;

	emu_advance(emu, 3000);
	emu_stats(emu, &before);
	for (uint32_t i = 0; i < 500; i++) {
		uint32_t job = emu_job_register(emu, &batch);

		emu_cancel(emu, i, job);
		emu_advance(emu, 2);
	}
	for (uint32_t i = 0; i < 500; i++) {
		emu_cancel(emu, i, i);
		emu_advance(emu, 2);
	}
	emu_advance(emu, 1000);
	emu_stats(emu, &after);
	ck_assert_uint_lt(after.store_calls - before.store_calls, 200);
	emu_settle(emu, 500, 1000);
	emu_destroy(emu);
}
END_TEST

/* While there is no owner. */
START_TEST(test_submission_whose_caller_has_left)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats stats;
	uint32_t owner;
	uint32_t job;

	emu_advance(emu, 3000);
	owner = emu_owner(emu);
	emu_node_kill(emu, owner);
	job = emu_submit(emu, (owner + 1) % fleet.nodes, &batch);
	emu_advance(emu, 100);
	emu_caller_leave(emu, job);
	emu_settle(emu, 1, 5000);
	emu_stats(emu, &stats);
	ck_assert_uint_eq(stats.runs, 0);
	emu_destroy(emu);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("late_submissions");
	TCase *tests = tcase_create("late_submissions");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_loop_test(tests, test_submission_after_its_cancellation, 0,
			    3);
	tcase_add_test(tests,
		       test_many_cancellations_cost_few_calls_of_the_store);
	tcase_add_test(tests, test_submission_whose_caller_has_left);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
