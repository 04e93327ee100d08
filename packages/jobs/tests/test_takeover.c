/**
 * @file test_takeover.c
 * @brief Tests of jobs that are under way when their owner is replaced.
 *
 * A start is in no record: the next owner learns from the workers what runs. An
 * occurrence of a scheduled job has no record either before one of its tasks
 * has ended.
 */
#include <check.h>
#include <stdlib.h>

#include "emu.h"

/* More tasks than the pool runs at once. */
#define TASKS 36
#define OCCURRENCES 3
#define FIRST_RUN_MS 1000
/* The owner is replaced this long after the first occurrence is due, in each
 * test at several moments. */
#define REPLACED_AFTER_MS(i) (100 + 150 * (uint32_t)(i))
#define MOMENTS 10
#define CLOCK_STEP_MS 3000

static const struct emu_config fleet = {
	.seed = 3,
	.nodes = 3,
	.pools = 1,
	.vms_per_pool = 4,
	.vm_cpu_milli = 8000,
	.attempts = 3,
	.fixed_pools = true,
};

static const struct emu_job nightly = {
	.steps = 1,
	.tasks_per_step = TASKS,
	.cpu_milli = 1000,
	.task_ms = 800,
	.occurrences = OCCURRENCES,
	.first_run_ms = FIRST_RUN_MS,
	.interval_ms = 6000,
};

static struct emu *job_start(const struct emu_job *job, uint32_t advance_ms)
{
	struct emu *emu = emu_create(&fleet);

	emu_advance(emu, 3000);
	emu_submit(emu, 0, job);
	emu_advance(emu, advance_ms);
	return emu;
}

/* Submits a scheduled job and advances time until its first occurrence has been
 * under way for some time. */
static struct emu *schedule_start(uint32_t under_way_ms)
{
	return job_start(&nightly, FIRST_RUN_MS + under_way_ms);
}

/* Expects that the job succeeds, and how often its tasks run; 0 for any number.
 */
static void job_finish(struct emu *emu, uint32_t runs)
{
	struct emu_stats stats;

	emu_advance(emu, OCCURRENCES * nightly.interval_ms + 20000);
	emu_state_query(emu, 0, 0);
	emu_advance(emu, 500);
	emu_stats(emu, &stats);
	ck_assert_msg(emu_violation_count(emu) == 0, "%s",
		      emu_first_violation(emu));
	ck_assert_uint_eq(stats.accepted, 1);
	ck_assert_uint_eq(stats.succeeded, 1);
	if (runs > 0)
		ck_assert_uint_eq(stats.runs, runs);
	emu_destroy(emu);
}

/* Runs without progress yet must not be stopped as stalled because they are new
 * to this owner. */
START_TEST(test_adopted_tasks_are_not_stalled)
{
	struct emu_job once = nightly;
	struct emu *emu;

	once.occurrences = 0;
	emu = job_start(&once, REPLACED_AFTER_MS(_i));
	emu_node_resign(emu, emu_owner(emu));
	job_finish(emu, TASKS);
}
END_TEST

/* A planned stop of the owner must not run the tasks of an occurrence again. */
START_TEST(test_planned_stop_runs_nothing_twice)
{
	struct emu *emu = schedule_start(REPLACED_AFTER_MS(_i));

	emu_node_resign(emu, emu_owner(emu));
	job_finish(emu, OCCURRENCES * TASKS);
}
END_TEST

/* Nor must a crash of the owner. */
START_TEST(test_owner_crash_runs_nothing_twice)
{
	struct emu *emu = schedule_start(REPLACED_AFTER_MS(_i));

	emu_node_kill(emu, emu_owner(emu));
	job_finish(emu, OCCURRENCES * TASKS);
}
END_TEST

/* By the clock of the next owner the occurrence is not due yet: what runs is
 * kept, and the rest waits until it is due. */
START_TEST(test_clock_behind_runs_nothing_twice)
{
	struct emu *emu = schedule_start(REPLACED_AFTER_MS(_i));

	emu_node_kill(emu, emu_owner(emu));
	emu_wall_clock_jump(-CLOCK_STEP_MS);
	job_finish(emu, OCCURRENCES * TASKS);
	emu_wall_clock_jump(CLOCK_STEP_MS);
}
END_TEST

/* The tasks on a worker that the next owner cannot reach run there until its
 * lease expires. */
START_TEST(test_unreachable_worker_runs_nothing_twice)
{
	struct emu *emu = schedule_start(REPLACED_AFTER_MS(_i));

	emu_worker_set_partitioned(emu, 0, true);
	emu_node_kill(emu, emu_owner(emu));
	emu_advance(emu, 5000);
	emu_worker_set_partitioned(emu, 0, false);
	job_finish(emu, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("takeover");
	TCase *tests = tcase_create("takeover");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_loop_test(tests, test_adopted_tasks_are_not_stalled, 0,
			    MOMENTS);
	tcase_add_loop_test(tests, test_planned_stop_runs_nothing_twice, 0,
			    MOMENTS);
	tcase_add_loop_test(tests, test_owner_crash_runs_nothing_twice, 0,
			    MOMENTS);
	tcase_add_loop_test(tests, test_clock_behind_runs_nothing_twice, 0,
			    MOMENTS);
	tcase_add_loop_test(tests, test_unreachable_worker_runs_nothing_twice,
			    0, MOMENTS);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
