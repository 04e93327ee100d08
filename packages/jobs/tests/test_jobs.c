/**
 * @file test_jobs.c
 * @brief Tests of the job service without faults.
 */
#include <check.h>

#include "emu_expect.h"

static const struct emu_config fleet = {
	.seed = 1,
	.nodes = 3,
	.pools = 2,
	.vms_per_pool = 4,
	.spare_vms = 2,
	.vm_cpu_milli = 8000,
	.attempts = 3,
};

static const struct emu_job batch = {
	.steps = 2,
	.tasks_per_step = 3,
	.cpu_milli = 1000,
	.task_ms = 400,
};

START_TEST(test_job_completes)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats stats;
	uint32_t job;

	emu_advance(emu, 2000);
	job = emu_submit(emu, 1, &batch);
	emu_advance(emu, 3000);
	emu_state_query(emu, 2, job);
	emu_advance(emu, 100);
	emu_stats(emu, &stats);
	ck_assert_uint_eq(stats.accepted, 1);
	ck_assert_uint_eq(stats.succeeded, 1);
	ck_assert_uint_eq(stats.runs, 6);
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_resubmission_does_not_duplicate_job)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats stats;
	uint32_t job;

	emu_advance(emu, 2000);
	job = emu_submit(emu, 0, &batch);
	emu_resubmit(emu, 1, job);
	emu_advance(emu, 600);
	emu_resubmit(emu, 2, job);
	emu_advance(emu, 3000);
	emu_stats(emu, &stats);
	ck_assert_uint_eq(stats.runs, 6);
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_failing_job_stops_after_max_attempts)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_job failing = batch;
	struct emu_stats stats;
	uint32_t job;

	failing.always_fails = true;
	failing.tasks_per_step = 1;
	emu_advance(emu, 2000);
	job = emu_submit(emu, 0, &failing);
	emu_advance(emu, 6000);
	emu_state_query(emu, 0, job);
	emu_advance(emu, 100);
	emu_stats(emu, &stats);
	ck_assert_uint_eq(stats.failed, 1);
	ck_assert_uint_eq(stats.runs, fleet.attempts);
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_long_running_job_runs_until_cancelled)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_job long_running = batch;
	struct emu_stats stats;
	uint32_t job;

	long_running.long_running = true;
	long_running.steps = 1;
	emu_advance(emu, 2000);
	job = emu_submit(emu, 0, &long_running);
	emu_advance(emu, 20000);
	emu_stats(emu, &stats);
	ck_assert_uint_eq(stats.runs, 3);
	emu_cancel(emu, 1, job);
	emu_advance(emu, 1500);
	emu_state_query(emu, 2, job);
	emu_advance(emu, 100);
	emu_stats(emu, &stats);
	ck_assert_uint_eq(stats.cancelled, 1);
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_gang_members_start_together)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_job gang = batch;
	struct emu_stats stats;

	gang.gang = true;
	gang.steps = 1;
	gang.tasks_per_step = 6;
	gang.cpu_milli = 3000;
	emu_advance(emu, 2000);
	for (int i = 0; i < 10; i++) {
		emu_submit(emu, 0, &gang);
		emu_advance(emu, 100);
	}
	emu_advance(emu, 20000);
	for (uint32_t i = 0; i < 10; i++)
		emu_state_query(emu, 0, i);
	emu_advance(emu, 100);
	emu_stats(emu, &stats);
	ck_assert_uint_eq(stats.succeeded, 10);
	ck_assert_uint_eq(stats.runs, 60);
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_wave_keeps_long_running_tasks_and_completes)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_job long_running = batch;
	struct emu_stats stats;

	long_running.long_running = true;
	long_running.steps = 1;
	long_running.max_unavailable = 1;
	emu_advance(emu, 2000);
	for (int i = 0; i < 4; i++) {
		long_running.pool = (uint32_t)i % 2;
		emu_submit(emu, 0, &long_running);
	}
	emu_advance(emu, 3000);
	emu_wave_request(emu, 100, 2, 60000);
	emu_advance(emu, 60000);
	emu_stats(emu, &stats);
	ck_assert(emu_wave_succeeded(emu));
	ck_assert_uint_eq(stats.vm_maintenances, emu_vm_count(emu));
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_burst_moves_idle_vms_from_other_pools)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_job wide = batch;
	struct emu_stats stats;

	wide.steps = 1;
	wide.tasks_per_step = 8;
	wide.cpu_milli = 2000;
	wide.task_ms = 1000;
	emu_advance(emu, 5000);
	for (int i = 0; i < 20; i++) {
		emu_submit(emu, 0, &wide);
		emu_advance(emu, 150);
	}
	emu_advance(emu, 10000);
	emu_stats(emu, &stats);
	ck_assert_uint_ge(stats.vm_moves, 3);
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}
END_TEST

/* Pages of a list are not a snapshot: a record may be in two of them. */
START_TEST(test_record_that_is_listed_twice_is_restored_once)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats stats;

	emu_advance(emu, 2000);
	for (uint32_t i = 0; i < 10; i++)
		emu_submit(emu, i % fleet.nodes, &batch);
	emu_advance(emu, 300);
	emu_store_set_range_copies(emu, 2);
	emu_node_kill(emu, emu_owner(emu));
	emu_advance(emu, 15000);
	for (uint32_t i = 0; i < 10; i++)
		emu_state_query(emu, i % fleet.nodes, i);
	emu_advance(emu, 500);
	emu_stats(emu, &stats);
	ck_assert_uint_eq(stats.unfinished, 0);
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("jobs");
	TCase *tests = tcase_create("jobs");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tests, 30);
	tcase_add_test(tests, test_job_completes);
	tcase_add_test(tests, test_resubmission_does_not_duplicate_job);
	tcase_add_test(tests, test_failing_job_stops_after_max_attempts);
	tcase_add_test(tests, test_long_running_job_runs_until_cancelled);
	tcase_add_test(tests, test_gang_members_start_together);
	tcase_add_test(tests, test_wave_keeps_long_running_tasks_and_completes);
	tcase_add_test(tests, test_burst_moves_idle_vms_from_other_pools);
	tcase_add_test(tests,
		       test_record_that_is_listed_twice_is_restored_once);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
