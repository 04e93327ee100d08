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
#include <string.h>

#include "emu_expect.h"

/* More tasks than the pool runs at once. */
#define TASKS 36
#define OCCURRENCES 3
#define FIRST_RUN_MS 1000
/* The owner is replaced this long after the first occurrence is due, in each
 * test at several moments. */
#define REPLACED_AFTER_MS(i) (100 + 150 * (uint32_t)(i))
#define MOMENTS 10
#define CLOCK_STEP_MS 3000
/* Less than members of a gang wait for the others after a takeover. */
#define GANG_RESTART_MS 2000

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

	emu_settle(emu, 1, OCCURRENCES * nightly.interval_ms + 20000);
	emu_stats(emu, &stats);
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

static const struct emu_config two_pools = {
	.seed = 5,
	.nodes = 2,
	.pools = 2,
	.vms_per_pool = 2,
	.vm_cpu_milli = 8000,
	.attempts = 3,
};

static uint32_t tasks_submit(struct emu *emu, uint32_t node, uint32_t pool,
			     uint32_t tasks, uint32_t task_ms)
{
	const struct emu_job job = {
		.pool = pool,
		.steps = 1,
		.tasks_per_step = tasks,
		.cpu_milli = 4000,
		.task_ms = task_ms,
	};
	uint32_t number = emu_submit(emu, node, &job);

	emu_advance(emu, 200);
	return number;
}

/* The store turns the owner away, and another process becomes the owner. A
 * worker whose task ends reaches only the new owner, which may move its VM; a
 * worker with room reaches only the old one. */
static void deposed_owner_run(bool revoked, bool vm_moves, uint32_t task_ms)
{
	struct emu *emu = emu_create(&two_pools);
	struct emu_stats stats;
	uint32_t moves_before;
	uint32_t old_owner;
	uint32_t jobs[2];
	uint32_t vms[2];

	emu_advance(emu, 3000);
	jobs[0] = tasks_submit(emu, 0, 0, 1, 40000);
	tasks_submit(emu, 0, 0, 1, 800);
	jobs[1] = tasks_submit(emu, 0, 0, 1, task_ms);
	emu_advance(emu, 1200);
	old_owner = emu_owner(emu);
	for (uint32_t i = 0; i < 2; i++)
		vms[i] = emu_vm_running(emu, jobs[i]);
	ck_assert_uint_lt(old_owner, two_pools.nodes);
	ck_assert_uint_lt(vms[1], emu_vm_count(emu));
	ck_assert_uint_ne(vms[0], vms[1]);
	emu_stats(emu, &stats);
	moves_before = stats.vm_moves;
	emu_link_set_cut(emu, old_owner, vms[1], true);
	emu_link_set_cut(emu, 1 - old_owner, vms[0], true);
	if (revoked)
		emu_advance(emu, 900);
	emu_store_set_mode(emu, old_owner, EMU_STORE_UNAVAILABLE);
	if (revoked)
		emu_store_revoke_ownership(emu, old_owner);
	emu_advance(emu, revoked ? 150 : 1600);
	/* More than its own pool can run. */
	if (vm_moves)
		tasks_submit(emu, 1 - old_owner, 1, 20, 3000);
	emu_advance(emu, 5000);
	emu_stats(emu, &stats);
	ck_assert_uint_eq(stats.vm_moves > moves_before, vm_moves);
	emu_link_set_cut(emu, old_owner, vms[1], false);
	emu_link_set_cut(emu, 1 - old_owner, vms[0], false);
	emu_store_set_mode(emu, old_owner, EMU_STORE_OK);
	emu_settle(emu, jobs[1] + 1, 60000);
	emu_destroy(emu);
}

/* An owner without a valid lease must not start a task again because its worker
 * is gone, which its successor may have caused, or its lease has expired. */
START_TEST(test_deposed_owner_restarts_nothing)
{
	deposed_owner_run(false, _i % 2, 2500 + 300 * (uint32_t)_i);
}
END_TEST

/* The lease is revoked without notice: the owner believes in it for up to its
 * whole duration. */
START_TEST(test_owner_with_revoked_lease_restarts_nothing)
{
	deposed_owner_run(true, _i % 2, 1500 + 40 * (uint32_t)_i);
}
END_TEST

/* An owner that the store turns away must learn of its successor from a worker
 * that runs nothing, or it renews the lease of one that its successor does not
 * reach for longer than the successor expects. */
START_TEST(test_deposed_owner_renews_no_leases)
{
	struct emu *emu = emu_create(&two_pools);
	uint32_t old_owner;
	uint32_t job;
	uint32_t vm;

	emu_advance(emu, 3000);
	job = tasks_submit(emu, 0, 0, 1, 20000);
	emu_advance(emu, 1000 + 100 * (uint32_t)_i);
	old_owner = emu_owner(emu);
	vm = emu_vm_running(emu, job);
	emu_link_set_cut(emu, 1 - old_owner, vm, true);
	emu_store_set_mode(emu, old_owner, EMU_STORE_UNAVAILABLE);
	emu_advance(emu, 12000);
	emu_store_set_mode(emu, old_owner, EMU_STORE_OK);
	emu_link_set_cut(emu, 1 - old_owner, vm, false);
	job_finish(emu, 0);
}
END_TEST

#define DOWN_VMS 4

/* The store takes the owner's key away while a worker is down, and a job
 * becomes due for the owner as well as for its successor. The worker is back
 * before the owner's lease has ended by its own clock, and has not seen the
 * successor's token. */
START_TEST(test_worker_down_in_takeover_obeys_no_earlier_owner)
{
	const uint32_t vm = (uint32_t)_i % DOWN_VMS;
	const uint32_t due_ms = 1100 + 50 * ((uint32_t)_i / DOWN_VMS);
	struct emu_config config = fleet;
	struct emu_job job = nightly;
	struct emu *emu;
	uint32_t owner;

	config.nodes = 2;
	config.vms_per_pool = DOWN_VMS;
	config.cuts_watches = true;
	job.tasks_per_step = 1;
	job.task_ms = 1500;
	job.occurrences = 1;
	job.first_run_ms = due_ms;
	emu = emu_create(&config);
	emu_advance(emu, 3000);
	owner = emu_owner(emu);
	emu_submit(emu, 0, &job);
	emu_advance(emu, 250);
	emu_worker_crash(emu, vm, 750);
	emu_advance(emu, 250);
	emu_store_set_mode(emu, owner, EMU_STORE_UNAVAILABLE);
	emu_store_revoke_ownership(emu, owner);
	emu_advance(emu, 4500);
	emu_store_set_mode(emu, owner, EMU_STORE_OK);
	job_finish(emu, 1);
}
END_TEST

/* The owner is paused while another process replaces it. A worker with a task
 * reaches only the old one, which must not renew the lease there once it goes
 * on, nor start what waits: its successor takes the lease for expired then. */
START_TEST(test_paused_owner_does_nothing_more)
{
	struct emu_config config = two_pools;
	struct emu *emu;
	uint32_t old_owner;
	uint32_t job;
	uint32_t vm;

	config.pausable = true;
	emu = emu_create(&config);
	emu_advance(emu, 3000);
	job = tasks_submit(emu, 0, 0, 1, 20000);
	/* More than the pool can run. */
	tasks_submit(emu, 0, 0, 8, 2500);
	emu_advance(emu, 1000);
	old_owner = emu_owner(emu);
	vm = emu_vm_running(emu, job);
	emu_link_set_cut(emu, 1 - old_owner, vm, true);
	emu_store_set_mode(emu, old_owner, EMU_STORE_UNAVAILABLE);
	emu_node_pause(emu, old_owner, 2500 + 250 * ((uint32_t)_i % MOMENTS),
		       _i >= MOMENTS);
	emu_advance(emu, 12000);
	emu_store_set_mode(emu, old_owner, EMU_STORE_OK);
	emu_link_set_cut(emu, 1 - old_owner, vm, false);
	emu_settle(emu, job + 2, 60000);
	emu_destroy(emu);
}
END_TEST

/* A caller that was told of the end of a job asks an owner that stood still
 * meanwhile and does not know its successor. */
START_TEST(test_paused_owner_reports_no_ended_job_as_open)
{
	struct emu_config config = two_pools;
	struct emu *emu;
	uint32_t old_owner;
	uint32_t job;

	config.pausable = true;
	emu = emu_create(&config);
	emu_advance(emu, 3000);
	job = tasks_submit(emu, 0, 0, 1, 3000);
	emu_advance(emu, 1000);
	old_owner = emu_owner(emu);
	emu_store_set_mode(emu, old_owner, EMU_STORE_UNAVAILABLE);
	emu_node_pause(emu, old_owner, 5000, _i > 0);
	emu_advance(emu, 4900);
	emu_state_query(emu, 1 - old_owner, job);
	emu_advance(emu, 101);
	for (uint32_t i = 0; i < 100; i++) {
		emu_state_query(emu, old_owner, job);
		emu_advance(emu, 1 + i);
	}
	emu_store_set_mode(emu, old_owner, EMU_STORE_OK);
	job_finish(emu, 0);
}
END_TEST

/* An operation ends a worker, which an earlier owner would take for a loss as
 * long as it believes in its lease, whose time-to-live the store may raise. */
START_TEST(test_vm_operations_wait_for_revoked_owner)
{
	const uint32_t lease_ms = 1000 + 2000 * (uint32_t)_i;
	struct emu_config config = two_pools;
	struct emu_stats stats;
	uint32_t old_owner;
	struct emu *emu;

	config.lease_ttl_min_s = lease_ms / 1000;
	emu = emu_create(&config);
	emu_advance(emu, 5000);
	old_owner = emu_owner(emu);
	emu_store_set_mode(emu, old_owner, EMU_STORE_UNAVAILABLE);
	emu_store_revoke_ownership(emu, old_owner);
	emu_advance(emu, 150);
	tasks_submit(emu, 1 - old_owner, 1, 20, 3000);
	emu_advance(emu, lease_ms - 400);
	emu_stats(emu, &stats);
	ck_assert_uint_eq(stats.accepted, 1);
	ck_assert_uint_eq(stats.vm_moves, 0);
	emu_advance(emu, 600);
	emu_stats(emu, &stats);
	ck_assert_uint_gt(stats.vm_moves, 0);
	emu_destroy(emu);
}
END_TEST

/* Requests of the old owner about VMs are on the way while it is cut off from
 * everything, and arrive after its successor could have operated on these VMs:
 * a platform that checks no token would carry out the older request after the
 * newer one. */
START_TEST(test_late_vm_order_follows_no_newer_one)
{
	static const struct emu_job long_running = {
		.steps = 1,
		.tasks_per_step = 20,
		.cpu_milli = 8000,
		.task_ms = 20000,
	};
	const uint32_t held_ms = 2500 + 1000 * (uint32_t)(_i % MOMENTS);
	const bool is_wave = _i >= MOMENTS;
	struct emu_config config = two_pools;
	struct emu_stats stats;
	struct emu *emu;
	uint32_t old_owner;

	config.vms_per_pool = 4;
	config.spare_vms = 2;
	emu = emu_create(&config);
	emu_advance(emu, 5000);
	old_owner = emu_owner(emu);
	ck_assert_uint_lt(old_owner, config.nodes);
	emu_vm_requests_set_held(emu, old_owner, held_ms);
	if (is_wave)
		emu_wave_request(emu, 100, 2, 30000);
	else
		emu_submit(emu, 1 - old_owner, &long_running);
	emu_advance(emu, 250);
	emu_store_set_mode(emu, old_owner, EMU_STORE_UNRESPONSIVE);
	for (uint32_t i = 0; i < emu_vm_count(emu); i++)
		emu_link_set_cut(emu, old_owner, i, true);
	emu_advance(emu, held_ms);
	ck_assert_uint_gt(emu_vm_requests_late(emu), 0);
	emu_vm_requests_set_held(emu, old_owner, 0);
	emu_store_set_mode(emu, old_owner, EMU_STORE_OK);
	for (uint32_t i = 0; i < emu_vm_count(emu); i++)
		emu_link_set_cut(emu, old_owner, i, false);
	emu_settle(emu, is_wave ? 0 : 1, 60000);
	emu_stats(emu, &stats);
	ck_assert(is_wave ? emu_wave_succeeded(emu) : stats.vm_moves > 0);
	emu_destroy(emu);
}
END_TEST

/* Some members of a gang have not been started when their owner ends. The
 * others must not wait for them until they time out. */
START_TEST(test_incomplete_gang_of_earlier_owner_starts_anew)
{
	struct emu_config config = fleet;
	const struct emu_job gang = {
		.steps = 1,
		.tasks_per_step = 4,
		.cpu_milli = 6000,
		.task_ms = 500,
		.gang = true,
	};
	struct emu_stats stats;
	struct emu *emu;

	config.seed = (uint32_t)_i + 1;
	emu = emu_create(&config);
	emu_advance(emu, 3000);
	emu_orders_set_delayed(emu, 300);
	emu_submit(emu, 0, &gang);
	emu_advance(emu, 150);
	emu_orders_set_delayed(emu, 0);
	emu_node_kill(emu, emu_owner(emu));
	emu_settle(emu, 1, GANG_RESTART_MS);
	emu_stats(emu, &stats);
	ck_assert_uint_eq(stats.succeeded, 1);
	emu_destroy(emu);
}
END_TEST

/* Events of the log that name the end of a job. */
static uint32_t failures_logged;
static uint32_t restored_failures_logged;

static GLogWriterOutput log_observe(GLogLevelFlags level,
				    const GLogField *fields, gsize count,
				    gpointer data)
{
	const char *event = NULL;
	const char *text = "";

	(void)data;
	for (gsize i = 0; i < count; i++) {
		if (strcmp(fields[i].key, "EVENT") == 0)
			event = fields[i].value;
		if (strcmp(fields[i].key, "MESSAGE") == 0)
			text = fields[i].value;
	}
	if (g_strcmp0(event, "job-ended") == 0 && strstr(text, " failed "))
		failures_logged += level == G_LOG_LEVEL_WARNING;
	if (g_strcmp0(event, "job-end-told") == 0)
		restored_failures_logged +=
			strstr(text, "is failed") &&
			strstr(text, "/job-end/0000000000-");
	return G_LOG_WRITER_HANDLED;
}

/* What callers are told of a job that has failed is in the logs: its end, which
 * no rate limit drops, and once the record that a later owner has read. */
START_TEST(test_told_failure_is_logged)
{
	struct emu_job job = nightly;
	struct emu *emu;
	uint32_t owner;

	g_unsetenv("EMU_LOG");
	g_log_set_writer_func(log_observe, NULL, NULL);
	job.occurrences = 0;
	job.tasks_per_step = 1;
	job.always_fails = true;
	emu = job_start(&job, 20000);
	ck_assert_uint_eq(failures_logged, 1);
	owner = emu_owner(emu);
	emu_node_kill(emu, owner);
	emu_advance(emu, 5000);
	for (uint32_t i = 0; i < 2; i++) {
		emu_state_query(emu, owner + 1, 0);
		emu_advance(emu, 100);
	}
	ck_assert_uint_eq(restored_failures_logged, 1);
	emu_expect_no_violation(emu);
	emu_destroy(emu);
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
	tcase_add_loop_test(tests, test_deposed_owner_restarts_nothing, 0,
			    MOMENTS);
	tcase_add_loop_test(tests,
			    test_owner_with_revoked_lease_restarts_nothing, 0,
			    2 * MOMENTS);
	tcase_add_loop_test(tests, test_deposed_owner_renews_no_leases, 0,
			    MOMENTS);
	tcase_add_loop_test(tests,
			    test_worker_down_in_takeover_obeys_no_earlier_owner,
			    0, DOWN_VMS * MOMENTS);
	tcase_add_loop_test(tests, test_paused_owner_does_nothing_more, 0,
			    2 * MOMENTS);
	tcase_add_loop_test(
		tests, test_paused_owner_reports_no_ended_job_as_open, 0, 2);
	tcase_add_loop_test(tests, test_vm_operations_wait_for_revoked_owner, 0,
			    2);
	tcase_add_loop_test(tests, test_late_vm_order_follows_no_newer_one, 0,
			    2 * MOMENTS);
	tcase_add_loop_test(tests,
			    test_incomplete_gang_of_earlier_owner_starts_anew,
			    0, 2 * MOMENTS);
	tcase_add_test(tests, test_told_failure_is_logged);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
