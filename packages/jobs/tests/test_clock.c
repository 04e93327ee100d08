/**
 * @file test_clock.c
 * @brief The time of day jumps by hours in both directions.
 */
#include <check.h>

#include "emu_expect.h"
#include "job.h"
#include "loop.h"

#define HOUR_MS ((int64_t)3600 * 1000)
#define JUMP_MS (5 * HOUR_MS)
#define INTERVAL_MS 1000
#define JOBS 40

static const struct emu_config fleet = {
	.seed = 3,
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
	.task_ms = 300,
};

/* Submits jobs while the time of day jumps after each by jump_ms, in both
 * directions in turn; the owner is killed in the middle. */
static void fleet_run(int64_t jump_ms, struct emu_stats *stats)
{
	struct emu *emu = emu_create(&fleet);

	emu_advance(emu, 2000);
	for (uint32_t i = 0; i < JOBS; i++) {
		struct emu_job next = batch;

		next.pool = i % fleet.pools;
		emu_submit(emu, i % fleet.nodes, &next);
		emu_advance(emu, 100);
		emu_wall_clock_jump(i % 2 == 0 ? jump_ms : -jump_ms);
		if (i == JOBS / 2)
			emu_node_kill(emu, emu_owner(emu));
	}
	emu_settle(emu, JOBS, 15000);
	emu_stats(emu, stats);
	emu_destroy(emu);
}

START_TEST(test_jobs_end_while_time_of_day_jumps)
{
	static const int64_t jumps_ms[] = { 0, JUMP_MS, -JUMP_MS };
	struct emu_stats stats;

	fleet_run(jumps_ms[_i], &stats);
	ck_assert_uint_gt(stats.accepted, JOBS / 2);
	ck_assert_uint_eq(stats.unfinished, 0);
	ck_assert_uint_eq(stats.failed, 0);
}
END_TEST

static struct job *repeating_job_create(uint32_t tasks, uint32_t times)
{
	struct job_spec *spec = job_spec_create();
	const struct job_step step = { .count = tasks,
				       .need.cpu_milli = 100,
				       .estimate_ms = 10 };

	g_array_append_val(spec->steps, step);
	spec->payload = g_strdup("payload");
	spec->occurrence_count = times;
	spec->first_run_unix_ms = loop_unix_ms();
	spec->interval_ms = INTERVAL_MS;
	return job_create("0123456789abcdef", "queue", spec);
}

/* Begins what is due; returns how many occurrences that were. */
static uint32_t occurrences_begin(struct job *job)
{
	uint32_t count = 0;

	while (job_next_may_begin(job, loop_unix_ms())) {
		job_occurrence_begin(job, loop_now_ms(), loop_unix_ms());
		count++;
	}
	return count;
}

START_TEST(test_no_occurrence_begins_twice)
{
	struct job *job = repeating_job_create(1, 10);

	ck_assert_uint_eq(occurrences_begin(job), 1);
	emu_wall_clock_jump(2 * INTERVAL_MS);
	ck_assert_uint_eq(occurrences_begin(job), 2);
	emu_wall_clock_jump(-JUMP_MS);
	ck_assert_uint_eq(occurrences_begin(job), 0);
	emu_wall_clock_jump(JUMP_MS);
	ck_assert_uint_eq(occurrences_begin(job), 0);
	emu_wall_clock_jump(JUMP_MS);
	ck_assert_uint_eq(occurrences_begin(job), 7);
	ck_assert_uint_eq(job->occurrences_begun, 10);
	for (guint i = 0; i < job->occurrences->len; i++) {
		const struct job_occurrence *occurrence =
			g_ptr_array_index(job->occurrences, i);

		ck_assert_uint_eq(occurrence->number, i);
		ck_assert_uint_le(occurrence->due_ms, loop_now_ms());
	}
	job_destroy(job);
}
END_TEST

START_TEST(test_live_tasks_are_bounded_after_a_jump)
{
	struct job *job =
		repeating_job_create(JOB_TASKS_MAX / 4, JOB_OCCURRENCES_MAX);

	emu_wall_clock_jump(JUMP_MS);
	ck_assert_uint_eq(occurrences_begin(job), 4);
	job_occurrence_end(g_ptr_array_index(job->occurrences, 0));
	ck_assert_uint_eq(occurrences_begin(job), 1);
	job_destroy(job);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("clock");
	TCase *tests = tcase_create("clock");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_loop_test(tests, test_jobs_end_while_time_of_day_jumps, 0, 3);
	tcase_add_test(tests, test_no_occurrence_begins_twice);
	tcase_add_test(tests, test_live_tasks_are_bounded_after_a_jump);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
