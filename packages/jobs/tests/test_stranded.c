/**
 * @file test_stranded.c
 * @brief Tests that no task waits for ever while a worker could run it.
 *
 * Each test names the reason for which the owner once held work back for good.
 */
#include <check.h>
#include <stdlib.h>

#include "emu_expect.h"

/* One pool that gets no further VMs. */
static const struct emu_config fleet = {
	.seed = 7,
	.nodes = 3,
	.pools = 1,
	.vms_per_pool = 4,
	.vm_cpu_milli = 8000,
	.attempts = 3,
	.fixed_pools = true,
};

/* A long-running job with one task on each worker. */
static const struct emu_job wide_long_running = {
	.steps = 1,
	.tasks_per_step = 4,
	.cpu_milli = 5000,
	.task_ms = 600,
	.long_running = true,
	.max_unavailable = 1,
};

static const struct emu_job batch = {
	.steps = 1,
	.tasks_per_step = 2,
	.cpu_milli = 500,
	.task_ms = 600,
};

static struct emu *fleet_start(void)
{
	struct emu *emu = emu_create(&fleet);

	emu_advance(emu, 3000);
	return emu;
}

/* Advances time, expects that all jobs that end have, and ends the test. */
static void expect_finished(struct emu *emu, uint32_t jobs, uint32_t ms)
{
	struct emu_stats stats;

	emu_settle(emu, jobs, ms);
	emu_stats(emu, &stats);
	ck_assert_uint_eq(stats.accepted, jobs);
	ck_assert_uint_eq(stats.unfinished, 0);
	emu_destroy(emu);
}

/* A worker whose circuit breaker is half open must get a task that can close
 * it, although a long-running task never leaves it. */
START_TEST(test_hopeless_job_beside_long_running_tasks)
{
	struct emu_job hopeless = batch;
	struct emu *emu = fleet_start();
	uint32_t jobs = 0;

	hopeless.tasks_per_step = 16;
	hopeless.always_fails = true;
	emu_submit(emu, 0, &wide_long_running);
	emu_advance(emu, 2000);
	ck_assert_uint_eq(emu_active_run_count(emu), 4);
	emu_submit(emu, 0, &hopeless);
	emu_advance(emu, 4000);
	for (jobs = 2; jobs < 6; jobs++)
		emu_submit(emu, jobs % fleet.nodes, &batch);
	expect_finished(emu, jobs, 3000);
}
END_TEST

/* A long-running task at full speed must close the breaker of its worker, since
 * it never ends with success. */
START_TEST(test_long_running_tasks_close_breaker)
{
	struct emu_job second = wide_long_running;
	struct emu *emu = fleet_start();

	second.cpu_milli = 3000;
	emu_worker_set_failing(emu, 0, true);
	emu_submit(emu, 0, &wide_long_running);
	emu_advance(emu, 4000);
	emu_worker_set_failing(emu, 0, false);
	emu_advance(emu, 8000);
	ck_assert_uint_eq(emu_active_run_count(emu), 4);
	emu_submit(emu, 0, &second);
	emu_advance(emu, 3000);
	ck_assert_uint_eq(emu_active_run_count(emu), 8);
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}
END_TEST

/* A task that only one worker has the capacity for. */
static const struct emu_job large = {
	.steps = 1,
	.tasks_per_step = 1,
	.cpu_milli = 6000,
	.task_ms = 600,
};

/* Submits a large task, which fails once on the first worker. */
static void large_task_fail_once(struct emu *emu)
{
	emu_worker_set_failing(emu, 0, true);
	emu_submit(emu, 0, &large);
	emu_advance(emu, 150);
	emu_worker_set_failing(emu, 0, false);
}

/* A task that failed must be retried on the worker that it failed on if no
 * other one can run it. */
START_TEST(test_failed_task_with_one_suitable_worker)
{
	struct emu *emu = emu_uneven_start(&fleet);

	large_task_fail_once(emu);
	expect_finished(emu, 1, 2000);
}
END_TEST

static const uint32_t quarantined_ms[] = { 2000, 5000, 7000, 9000 };

/* Tasks must not wait for the whole quarantine of the only worker that has room
 * for them and has become sound, nor for the end of the first one there. */
START_TEST(test_quarantine_of_the_only_suitable_worker)
{
	struct emu *emu = emu_uneven_start(&fleet);
	struct emu_job hopeless = large;
	struct emu_job sound = large;
	uint32_t jobs[3];

	hopeless.always_fails = true;
	hopeless.task_ms = 100;
	hopeless.cpu_milli = 2500;
	hopeless.tasks_per_step = 3;
	sound.task_ms = 30000;
	sound.cpu_milli = 2500;
	for (uint32_t vm = 1; vm < fleet.vms_per_pool; vm++)
		emu_worker_set_cpu(emu, vm, 2000);
	emu_advance(emu, 500);
	/* The breaker opens for 1.5, 3 and then 6 s. */
	for (uint32_t i = 0; i < 4; i++)
		emu_submit(emu, 0, &hopeless);
	emu_advance(emu, quarantined_ms[_i]);
	for (uint32_t i = 0; i < G_N_ELEMENTS(jobs); i++) {
		jobs[i] = emu_submit(emu, 0, &sound);
		for (uint32_t waited_ms = 0;
		     emu_vm_running(emu, jobs[i]) == EMU_VMS_MAX;
		     waited_ms += 50) {
			ck_assert_uint_lt(waited_ms, 3000);
			emu_advance(emu, 50);
		}
	}
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}
END_TEST

/* Nor for others that wait for it, too, and that fail there one by one. */
START_TEST(test_jobs_behind_failing_ones_in_quarantine)
{
	struct emu *emu = emu_uneven_start(&fleet);
	struct emu_job hopeless = large;
	struct emu_job sound = large;
	uint32_t jobs = 0;

	hopeless.always_fails = true;
	hopeless.task_ms = 200;
	hopeless.cpu_milli = sound.cpu_milli = 600;
	sound.task_ms = 30000;
	for (uint32_t vm = 1; vm < fleet.vms_per_pool; vm++)
		emu_worker_set_cpu(emu, vm, 500);
	emu_advance(emu, 2000);
	while (jobs < 4)
		emu_submit(emu, jobs++ % fleet.nodes, &hopeless);
	emu_advance(emu, 1000);
	while (jobs < 8)
		emu_submit(emu, jobs++ % fleet.nodes, &sound);
	emu_advance(emu, 3000);
	for (uint32_t job = 4; job < jobs; job++)
		ck_assert_uint_eq(emu_vm_running(emu, job), 0);
	expect_finished(emu, jobs, 60000);
}
END_TEST

/* Nor must it wait for the others for ever if these have no room. */
START_TEST(test_failed_task_beside_busy_workers)
{
	struct emu_job long_running = wide_long_running;
	struct emu *emu = emu_create(&fleet);

	long_running.tasks_per_step = 3;
	emu_worker_set_cpu(emu, 0, 4000);
	emu_advance(emu, 3000);
	emu_submit(emu, 0, &long_running);
	emu_advance(emu, 2000);
	ck_assert_uint_eq(emu_active_run_count(emu), 3);
	emu_worker_set_cpu(emu, 0, 8000);
	emu_advance(emu, 2000);
	large_task_fail_once(emu);
	expect_finished(emu, 2, 3000);
}
END_TEST

/* A task on a worker that crashed must return to that VM if no other one can
 * run it. */
START_TEST(test_suspect_with_one_suitable_vm)
{
	struct emu *emu = emu_uneven_start(&fleet);

	emu_submit(emu, 0, &large);
	emu_advance(emu, 130);
	emu_vm_crash(emu, 0, 400);
	expect_finished(emu, 1, 5000);
}
END_TEST

/* A task that takes one worker for long. */
static const struct emu_job whole_worker = {
	.steps = 1,
	.tasks_per_step = 1,
	.cpu_milli = 8000,
	.task_ms = 30000,
};

/* Gangs of four that do not fit beside what runs on the fleet. */
static const struct {
	const char *name;
	uint32_t cpu_milli;
	bool long_running;
	const struct emu_job *beside;
} waiting_gangs[] = {
	{ "members larger than a worker", 16000, false, NULL },
	{ "lasting members larger than a worker", 16000, true, NULL },
	{ "no room beside lasting tasks", 4000, false, &wide_long_running },
	{ "no room until a long task ends", 8000, false, &whole_worker },
};

/* Capacity must not be reserved for a gang that it never suffices for, nor for
 * long while most of it is free. */
START_TEST(test_jobs_behind_waiting_gang)
{
	struct emu *emu = fleet_start();
	struct emu_job gang = batch;
	struct emu_job job = batch;
	uint32_t jobs[5];

	job.task_ms = gang.task_ms = 30000;
	gang.gang = true;
	gang.tasks_per_step = 4;
	gang.cpu_milli = waiting_gangs[_i].cpu_milli;
	gang.long_running = waiting_gangs[_i].long_running;
	if (waiting_gangs[_i].beside)
		emu_submit(emu, 0, waiting_gangs[_i].beside);
	emu_advance(emu, 1000);
	emu_submit(emu, 0, &gang);
	emu_advance(emu, 2500);
	for (uint32_t i = 0; i < G_N_ELEMENTS(jobs); i++)
		jobs[i] = emu_submit(emu, i % fleet.nodes, &job);
	emu_advance(emu, 3000);
	for (uint32_t i = 0; i < G_N_ELEMENTS(jobs); i++)
		ck_assert_msg(emu_vm_running(emu, jobs[i]) < EMU_VMS_MAX,
			      "%s: a job does not run", waiting_gangs[_i].name);
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}
END_TEST

/* Capacity must be reserved for a gang that needs all workers, so that it is
 * placed before less urgent jobs that fit into each gap. */
START_TEST(test_gang_before_small_jobs)
{
	struct emu *emu = fleet_start();
	struct emu_job gang = batch;
	struct emu_job job = batch;
	uint32_t jobs = 0;
	uint32_t number;

	job.cpu_milli = 2000;
	job.task_ms = gang.task_ms = 3000;
	gang.gang = true;
	gang.tasks_per_step = 4;
	gang.cpu_milli = 8000;
	for (uint32_t i = 0; i < 8; i++)
		emu_submit(emu, 0, &job);
	emu_advance(emu, 500);
	number = emu_submit(emu, 0, &gang);
	emu_advance(emu, 100);
	for (uint32_t i = 0; i < 40; i++)
		jobs = 1 + emu_submit(emu, 1, &job);
	emu_advance(emu, 10000);
	ck_assert_uint_lt(emu_vm_running(emu, number), EMU_VMS_MAX);
	expect_finished(emu, jobs, 40000);
}
END_TEST

/* What happens after a configuration has dropped a queue with jobs. */
static const struct {
	void (*end_owner)(struct emu *emu, uint32_t node);
	/* a submission is repeated at a process that has not read the
	 * configuration yet */
	bool late_submission;
} queue_drops[] = {
	{ NULL, false },
	{ emu_node_kill, false },
	{ emu_node_resign, false },
	{ emu_node_kill, true },
};

START_TEST(test_jobs_of_dropped_queue)
{
	const struct emu_job steps = {
		.steps = 2,
		.tasks_per_step = 4,
		.cpu_milli = 6000,
		.task_ms = 1000,
	};
	const struct emu_job scheduled = {
		.steps = 1,
		.tasks_per_step = 1,
		.cpu_milli = 500,
		.task_ms = 500,
		.occurrences = 2,
		.first_run_ms = 3000,
		.interval_ms = 1000,
	};
	struct emu *emu = fleet_start();
	uint32_t jobs = 0;

	emu_submit(emu, jobs++, &steps);
	/* has not begun when the queue is dropped */
	emu_submit(emu, jobs++, &steps);
	emu_submit(emu, jobs++, &scheduled);
	emu_advance(emu, 500);
	emu_queue_drop(emu, 0);
	if (queue_drops[_i].end_owner)
		queue_drops[_i].end_owner(emu, emu_owner(emu));
	if (queue_drops[_i].late_submission) {
		emu_advance(emu, 3000);
		emu_submit(emu, jobs++, &steps);
	}
	expect_finished(emu, jobs, 20000);
}
END_TEST

/* No VM of the pool is large enough for a task, though all together are, and
 * the idle ones of another pool are, also while a job waits that is too large
 * for any VM, and after tasks have failed on all of them. */
START_TEST(test_task_too_large_for_its_pool)
{
	struct emu_config config = fleet;
	struct emu_job job = batch;
	struct emu_job failing = batch;
	struct emu_job hopeless;
	uint32_t jobs = 0;
	struct emu *emu;

	config.fixed_pools = false;
	config.pools = 2;
	emu = emu_create(&config);
	for (uint32_t i = 0; i < config.vms_per_pool; i++)
		emu_worker_set_cpu(emu, i, 7000);
	emu_advance(emu, 3000);
	job.tasks_per_step = 1;
	job.cpu_milli = 7500;
	job.task_ms = 100;
	hopeless = job;
	hopeless.cpu_milli = 9000;
	hopeless.fits_nowhere = true;
	if (_i == 1)
		emu_submit(emu, jobs++, &hopeless);
	failing.pool = 1;
	failing.tasks_per_step = 16;
	failing.always_fails = true;
	failing.cpu_milli = 2500;
	failing.task_ms = 100;
	for (uint32_t i = 0; _i == 2 && i < 4; i++)
		emu_submit(emu, jobs++ % config.nodes, &failing);
	emu_advance(emu, 10000);
	emu_submit(emu, jobs++ % config.nodes, &job);
	expect_finished(emu, jobs, 10000);
}
END_TEST

/* Idle VMs must not be kept for tasks that no VM is large enough for. */
START_TEST(test_hopeless_job_keeps_idle_vms)
{
	struct emu_config config = fleet;
	struct emu_job hopeless = batch;
	struct emu_job gang = batch;
	struct emu *emu;

	config.fixed_pools = false;
	config.pools = 2;
	emu = emu_create(&config);
	emu_advance(emu, 3000);
	hopeless.pool = 1;
	hopeless.tasks_per_step = 16;
	hopeless.cpu_milli = 9000;
	hopeless.fits_nowhere = true;
	emu_submit(emu, 0, &hopeless);
	emu_submit(emu, 0, &wide_long_running);
	emu_advance(emu, 5000);
	gang.gang = true;
	gang.tasks_per_step = 4;
	gang.cpu_milli = 4000;
	emu_submit(emu, 0, &gang);
	expect_finished(emu, 3, 20000);
}
END_TEST

/* Long-running tasks must not take the only VM of another pool that is large
 * enough for its work, while smaller ones fit them. */
START_TEST(test_long_running_tasks_take_large_vm)
{
	struct emu_config config = fleet;
	struct emu_job kept = wide_long_running;
	struct emu_job job = batch;
	struct emu *emu;

	config.fixed_pools = false;
	config.pools = 2;
	emu = emu_create(&config);
	for (uint32_t i = 0; i < 2 * config.vms_per_pool; i++)
		if (i != config.vms_per_pool + (uint32_t)_i)
			emu_worker_set_cpu(emu, i, 4000);
	emu_advance(emu, 3000);
	kept.tasks_per_step = 6;
	kept.cpu_milli = 300;
	emu_submit(emu, 0, &kept);
	emu_advance(emu, 8000);
	ck_assert_uint_eq(emu_active_run_count(emu), 6);
	job.pool = 1;
	job.cpu_milli = 5000;
	emu_submit(emu, 0, &job);
	expect_finished(emu, 2, 10000);
}
END_TEST

/* The number of tasks of a long-running step on four workers, one on each, and
 * how long another job waits that has no room beside them. */
static const struct {
	uint32_t tasks;
	uint32_t waits_ms;
	uint32_t unfinished;
} taken_fleets[] = {
	/* None of five may be stopped while one has no worker. */
	{ 5, 70000, 0 },
	{ 5, 50000, 1 },
	{ 4, 70000, 1 },
};

/* The emulator expects each job to end that could. */
START_TEST(test_job_that_cannot_run_need_not_end)
{
	struct emu *emu = fleet_start();
	struct emu_job kept = wide_long_running;
	struct emu_job job = batch;
	struct emu_stats stats;

	kept.tasks_per_step = taken_fleets[_i].tasks;
	job.cpu_milli = 4000;
	emu_submit(emu, 0, &kept);
	emu_advance(emu, 2000);
	emu_submit(emu, 0, &job);
	emu_settle(emu, 2, taken_fleets[_i].waits_ms);
	emu_stats(emu, &stats);
	ck_assert_uint_eq(stats.unfinished, taken_fleets[_i].unfinished);
	emu_destroy(emu);
}
END_TEST

/* A drain for maintenance must not keep its room for long while others need it:
 * it waits for a task that lasts, and that may not be stopped since another one
 * of its step fits nowhere, or for a task that takes long. */
START_TEST(test_drain_keeps_room_from_others)
{
	struct emu_job kept = wide_long_running;
	struct emu_job others = batch;
	struct emu *emu = emu_create(&fleet);
	uint32_t jobs = 1;

	for (uint32_t vm = 1; vm < fleet.vms_per_pool; vm++)
		emu_worker_set_cpu(emu, vm, 1000);
	kept.tasks_per_step = _i == 0 ? 5 : 1;
	kept.long_running = _i == 0;
	kept.cpu_milli = _i == 0 ? 300 : 2000;
	kept.task_ms = 30000;
	others.tasks_per_step = 1;
	others.cpu_milli = 2500;
	emu_advance(emu, 3000);
	emu_submit(emu, 0, &kept);
	emu_advance(emu, 4000);
	emu_wave_request(emu, 0, 1, 30000);
	emu_operator_write(emu, "waves/1", "1 30000 1 vm-0");
	for (uint32_t ms = 0; ms < 9000; ms += 500) {
		emu_submit(emu, jobs++ % fleet.nodes, &others);
		emu_advance(emu, 500);
	}
	emu_settle(emu, jobs, 15000);
	ck_assert(_i == 0 || emu_wave_succeeded(emu));
	emu_destroy(emu);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("stranded");
	TCase *tests = tcase_create("stranded");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_loop_test(tests, test_task_too_large_for_its_pool, 0, 3);
	tcase_add_test(tests, test_hopeless_job_beside_long_running_tasks);
	tcase_add_test(tests, test_long_running_tasks_close_breaker);
	tcase_add_test(tests, test_failed_task_with_one_suitable_worker);
	tcase_add_loop_test(tests, test_quarantine_of_the_only_suitable_worker,
			    0, G_N_ELEMENTS(quarantined_ms));
	tcase_add_test(tests, test_jobs_behind_failing_ones_in_quarantine);
	tcase_add_test(tests, test_failed_task_beside_busy_workers);
	tcase_add_test(tests, test_suspect_with_one_suitable_vm);
	tcase_add_loop_test(tests, test_jobs_behind_waiting_gang, 0,
			    G_N_ELEMENTS(waiting_gangs));
	tcase_add_test(tests, test_gang_before_small_jobs);
	tcase_add_loop_test(tests, test_jobs_of_dropped_queue, 0,
			    G_N_ELEMENTS(queue_drops));
	tcase_add_test(tests, test_hopeless_job_keeps_idle_vms);
	tcase_add_loop_test(tests, test_long_running_tasks_take_large_vm, 0,
			    (int)fleet.vms_per_pool);
	tcase_add_loop_test(tests, test_job_that_cannot_run_need_not_end, 0,
			    G_N_ELEMENTS(taken_fleets));
	tcase_add_loop_test(tests, test_drain_keeps_room_from_others, 0, 2);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
