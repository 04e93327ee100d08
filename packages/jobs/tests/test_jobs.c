/**
 * @file test_jobs.c
 * @brief The job service on a calm day: jobs, cancels, waves and moves.
 */
#include <check.h>

#include "emu.h"

static const struct emu_config calm = {
	.seed = 1,
	.nodes = 3,
	.pools = 2,
	.vms_per_pool = 4,
	.spare_vms = 2,
	.vm_cpu_milli = 8000,
	.attempts = 3,
};

static const struct emu_job small = {
	.steps = 2,
	.tasks_per_step = 3,
	.cpu_milli = 1000,
	.task_ms = 400,
};

static void expect_unbroken(struct emu *emu)
{
	ck_assert_msg(emu_violation_count(emu) == 0, "%s",
		      emu_first_violation(emu));
}

START_TEST(test_job_runs_whole)
{
	struct emu *emu = emu_create(&calm);
	struct emu_stats tally;
	uint32_t job;

	emu_advance(emu, 2000);
	job = emu_submit(emu, 1, &small);
	emu_advance(emu, 3000);
	emu_state_query(emu, 2, job);
	emu_advance(emu, 100);
	emu_stats(emu, &tally);
	ck_assert_uint_eq(tally.accepted, 1);
	ck_assert_uint_eq(tally.succeeded, 1);
	ck_assert_uint_eq(tally.runs, 6);
	expect_unbroken(emu);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_same_submission_is_one_job)
{
	struct emu *emu = emu_create(&calm);
	struct emu_stats tally;
	uint32_t job;

	emu_advance(emu, 2000);
	job = emu_submit(emu, 0, &small);
	emu_resubmit(emu, 1, job);
	emu_advance(emu, 600);
	emu_resubmit(emu, 2, job);
	emu_advance(emu, 3000);
	emu_stats(emu, &tally);
	ck_assert_uint_eq(tally.runs, 6);
	expect_unbroken(emu);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_job_that_cannot_succeed_fails_after_its_attempts)
{
	struct emu *emu = emu_create(&calm);
	struct emu_job poison = small;
	struct emu_stats tally;
	uint32_t job;

	poison.always_fails = true;
	poison.tasks_per_step = 1;
	emu_advance(emu, 2000);
	job = emu_submit(emu, 0, &poison);
	emu_advance(emu, 6000);
	emu_state_query(emu, 0, job);
	emu_advance(emu, 100);
	emu_stats(emu, &tally);
	ck_assert_uint_eq(tally.failed, 1);
	ck_assert_uint_eq(tally.runs, calm.attempts);
	expect_unbroken(emu);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_lasting_job_runs_until_cancelled)
{
	struct emu *emu = emu_create(&calm);
	struct emu_job lasting = small;
	struct emu_stats tally;
	uint32_t job;

	lasting.long_running = true;
	lasting.steps = 1;
	emu_advance(emu, 2000);
	job = emu_submit(emu, 0, &lasting);
	emu_advance(emu, 20000);
	emu_stats(emu, &tally);
	ck_assert_uint_eq(tally.runs, 3);
	emu_cancel(emu, 1, job);
	emu_advance(emu, 1500);
	emu_state_query(emu, 2, job);
	emu_advance(emu, 100);
	emu_stats(emu, &tally);
	ck_assert_uint_eq(tally.cancelled, 1);
	expect_unbroken(emu);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_gang_starts_whole)
{
	struct emu *emu = emu_create(&calm);
	struct emu_job gang = small;
	struct emu_stats tally;

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
	emu_stats(emu, &tally);
	ck_assert_uint_eq(tally.succeeded, 10);
	ck_assert_uint_eq(tally.runs, 60);
	expect_unbroken(emu);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_wave_keeps_lasting_tasks_and_ends)
{
	struct emu *emu = emu_create(&calm);
	struct emu_job lasting = small;
	struct emu_stats tally;

	lasting.long_running = true;
	lasting.steps = 1;
	lasting.max_unavailable = 1;
	emu_advance(emu, 2000);
	for (int i = 0; i < 4; i++) {
		lasting.pool = (uint32_t)i % 2;
		emu_submit(emu, 0, &lasting);
	}
	emu_advance(emu, 3000);
	emu_wave_request(emu, 100, 2, 60000);
	emu_advance(emu, 60000);
	emu_stats(emu, &tally);
	ck_assert(emu_wave_succeeded(emu));
	ck_assert_uint_eq(tally.vm_maintenances, emu_vm_count(emu));
	expect_unbroken(emu);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_burst_takes_idle_vms_of_other_pools)
{
	struct emu *emu = emu_create(&calm);
	struct emu_job wide = small;
	struct emu_stats tally;

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
	emu_stats(emu, &tally);
	ck_assert_uint_ge(tally.vm_moves, 3);
	expect_unbroken(emu);
	emu_destroy(emu);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("calm");
	TCase *tests = tcase_create("calm");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tests, 30);
	tcase_add_test(tests, test_job_runs_whole);
	tcase_add_test(tests, test_same_submission_is_one_job);
	tcase_add_test(tests,
		       test_job_that_cannot_succeed_fails_after_its_attempts);
	tcase_add_test(tests, test_lasting_job_runs_until_cancelled);
	tcase_add_test(tests, test_gang_starts_whole);
	tcase_add_test(tests, test_wave_keeps_lasting_tasks_and_ends);
	tcase_add_test(tests, test_burst_takes_idle_vms_of_other_pools);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
