/**
 * @file test_crashes.c
 * @brief Tests of tasks that crash the workers that start them.
 *
 * Jobs whose tasks crash their workers run beside others that do no harm. The
 * emulator checks that no task crashes too many workers, and that no job is
 * reported as failed that did not.
 */
#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "emu_expect.h"
#include "emu_private.h"

/* Number of harmless jobs, one every 100 ms; the first job that crashes workers
 * comes among them. */
#define HARMLESS_JOBS 60
#define CRASHING_JOB_AT 20
#define JOB_INTERVAL_MS 100
/* Number of seeds with which each case is run, unless CRASH_SEEDS sets it. */
#define SEEDS 4
/* Until a crashed worker is back and everything that waits has run. */
#define SETTLE_MS 15000

static const struct emu_config fleet = {
	.seed = 11,
	.nodes = 3,
	.pools = 1,
	.vms_per_pool = 10,
	.spare_vms = 2,
	.vm_cpu_milli = 8000,
	.attempts = 3,
};

static const struct emu_job harmless = {
	.steps = 1,
	.tasks_per_step = 6,
	.cpu_milli = 1000,
	.task_ms = 600,
};

/* Called every JOB_INTERVAL_MS while the jobs are submitted. */
typedef void (*disturb_cb)(struct emu *emu, uint32_t step);

struct crash_case {
	const char *name;
	/** a job that crashes workers, and the number of such jobs; the other
	 *  fields of the job are those of `crashing` */
	uint32_t jobs;
	uint32_t tasks;
	uint32_t crashing_tasks;
	uint32_t crash_after_ms;
	bool gang;
	bool long_running;
	/** the workers end without resetting their connections */
	bool silent;
	disturb_cb disturb;
	/** bound on the workers that all of them crash: two for a task that is
	 *  alone, three for each of several, since the other crashes are not
	 *  explained yet */
	uint32_t crashes_max;
};

static const struct emu_job crashing = {
	.steps = 1,
	.cpu_milli = 1000,
	.task_ms = 1000,
	.max_unavailable = 1,
};

/* Kills the owner whenever another worker has crashed, and starts all other
 * processes. */
static void owner_kill_after_crash(struct emu *emu, uint32_t step)
{
	static uint32_t crashes_before;
	uint32_t owner = emu_owner(emu);
	struct emu_stats stats;

	if (step == 0)
		crashes_before = 0;
	emu_stats(emu, &stats);
	for (uint32_t i = 0; i < fleet.nodes; i++)
		emu_node_start(emu, i);
	if (stats.worker_crashes > crashes_before && owner < EMU_NODES_MAX)
		emu_node_kill(emu, owner);
	crashes_before = stats.worker_crashes;
}

static void store_lose_answers(struct emu *emu, uint32_t step)
{
	emu_store_set_write_faults(emu, step < HARMLESS_JOBS - 1 ? 300 : 0,
				   step < HARMLESS_JOBS - 1 ? 100 : 0);
}

static void store_stop(struct emu *emu, uint32_t step)
{
	bool away = step >= CRASHING_JOB_AT && step < CRASHING_JOB_AT + 30;

	for (uint32_t i = 0; i < fleet.nodes; i++)
		emu_store_set_mode(emu, i,
				   away && step > CRASHING_JOB_AT
					   ? EMU_STORE_UNAVAILABLE
					   : EMU_STORE_OK);
}

/* Crashes single workers, and four at once in between: each worker about every
 * nine seconds. */
static void workers_crash(struct emu *emu, uint32_t step)
{
	emu_advance(emu, emu_random(emu, JOB_INTERVAL_MS));
	uint32_t count = step % 60 == 33 ? 4 : step % 14 == 0;

	for (uint32_t i = 0; i < count; i++)
		emu_vm_crash(emu, emu_random(emu, emu_vm_count(emu)), 1500);
}

static void workers_restart(struct emu *emu, uint32_t step)
{
	emu_advance(emu, emu_random(emu, JOB_INTERVAL_MS));
	if (step % 10 == 0)
		emu_worker_restart(emu, emu_random(emu, emu_vm_count(emu)));
}

static const struct crash_case cases[] = {
	{ "at once", 1, 1, 1, 10, .crashes_max = 2 },
	{ "after a while", 1, 1, 1, 400, .crashes_max = 4 },
	{ "one of a step", 1, 6, 1, 10, .crashes_max = 2 },
	{ "a whole step", 1, 4, 4, 10, .crashes_max = 8 },
	{ "five jobs", 5, 1, 1, 10, .crashes_max = 15 },
	{ "many jobs", 12, 3, 1, 10, .crashes_max = 36 },
	{ "gang", 1, 4, 1, 10, .gang = true, .crashes_max = 4 },
	{ "long running", 1, 2, 1, 600, .long_running = true,
	  .crashes_max = 4 },
	{ "silent workers", 2, 1, 1, 10, .silent = true, .crashes_max = 6 },
	{ "owner killed", 3, 1, 1, 10, .disturb = owner_kill_after_crash,
	  .crashes_max = 15 },
	{ "answers of the store lost", 2, 1, 1, 10,
	  .disturb = store_lose_answers, .crashes_max = 6 },
	{ "store away", 2, 1, 1, 10, .disturb = store_stop, .crashes_max = 6 },
	{ "workers crash", 2, 1, 1, 10, .disturb = workers_crash,
	  .crashes_max = 8 },
	{ "harmless while workers crash", 0, .disturb = workers_crash },
	{ "harmless while workers restart", 0, .disturb = workers_restart },
};

/* Runs the harmless jobs beside those of a case and queries all of them. */
static struct emu_stats case_run(struct emu *emu, const struct crash_case *run)
{
	struct emu_job job = crashing;
	struct emu_stats stats;

	job.tasks_per_step = run->tasks;
	job.crashing_tasks = run->crashing_tasks;
	job.crash_after_ms = run->crash_after_ms;
	job.gang = run->gang;
	job.long_running = run->long_running;
	emu_advance(emu, 2000);
	for (uint32_t i = 0; i < HARMLESS_JOBS; i++) {
		emu_submit(emu, i, &harmless);
		if (i >= CRASHING_JOB_AT && i < CRASHING_JOB_AT + run->jobs)
			emu_submit(emu, i, &job);
		if (run->disturb)
			run->disturb(emu, i);
		emu_advance(emu, JOB_INTERVAL_MS);
	}
	for (uint32_t i = 0; i < fleet.nodes; i++)
		emu_node_start(emu, i);
	emu_advance(emu, SETTLE_MS);
	for (uint32_t i = 0; i < HARMLESS_JOBS + run->jobs; i++)
		emu_state_query(emu, i, i);
	emu_advance(emu, 500);
	emu_stats(emu, &stats);
	return stats;
}

/* A task that crashes its workers is given up, others are not, and all that
 * were accepted end. */
START_TEST(test_tasks_that_crash_workers_are_given_up)
{
	const struct crash_case *run = &cases[_i % G_N_ELEMENTS(cases)];
	struct emu_config config = fleet;
	struct emu_stats stats;
	struct emu *emu;

	config.seed += _i;
	config.silent_crashes = run->silent;
	emu = emu_create(&config);
	stats = case_run(emu, run);
	ck_assert_msg(emu_violation_count(emu) == 0, "%s, seed %u: %s",
		      run->name, config.seed, emu_first_violation(emu));
	ck_assert_msg(stats.unfinished == 0, "%s: %u of %u jobs have not ended",
		      run->name, stats.unfinished, stats.accepted);
	ck_assert_msg(stats.harmless_failed == 0,
		      "%s, seed %u: %u harmless jobs were given up", run->name,
		      config.seed, stats.harmless_failed);
	/* A job whose submission had no answer may be unknown to its caller. */
	ck_assert_msg(stats.failed <= run->jobs &&
			      stats.failed + stats.unknown + stats.refused >=
				      run->jobs,
		      "%s: %u jobs failed, %u crash workers", run->name,
		      stats.failed, run->jobs);
	ck_assert_msg(stats.worker_crashes <= run->crashes_max,
		      "%s, seed %u: %u workers crashed", run->name, config.seed,
		      stats.worker_crashes);
	emu_destroy(emu);
}
END_TEST

static const struct emu_job lasting = {
	.steps = 1,
	.tasks_per_step = 6,
	.cpu_milli = 500,
	.long_running = true,
	.max_unavailable = 1,
};

/* One worker after the other crashes by itself, each about every seven seconds:
 * none of the tasks is the cause, and a long-running one that waits to run in
 * isolation is alone on the next worker that crashes. */
START_TEST(test_no_task_is_blamed_while_workers_crash_by_turns)
{
	struct emu_config config = fleet;
	struct emu_stats stats;
	struct emu *emu;

	config.seed = 1 + _i;
	config.vms_per_pool = 7;
	config.spare_vms = 0;
	emu = emu_create(&config);
	emu_advance(emu, 3000);
	emu_submit(emu, 0, &lasting);
	for (uint32_t i = 0; i < 44 * 1000 / JOB_INTERVAL_MS; i++) {
		if (i % 4 == 0)
			emu_submit(emu, i, &harmless);
		if (i % 10 == 0)
			emu_vm_crash(emu, emu_random(emu, emu_vm_count(emu)),
				     1000);
		emu_advance(emu, JOB_INTERVAL_MS);
	}
	for (uint32_t i = 0; i < 111; i++)
		emu_state_query(emu, i, i);
	emu_advance(emu, 500);
	emu_stats(emu, &stats);
	ck_assert_msg(emu_violation_count(emu) == 0, "seed %u: %s", config.seed,
		      emu_first_violation(emu));
	ck_assert_msg(stats.harmless_failed == 0,
		      "seed %u: %u harmless jobs were given up", config.seed,
		      stats.harmless_failed);
	emu_destroy(emu);
}
END_TEST

/* A task whose worker has crashed is started on the only other one that fits
 * it, which has restarted under its identity before and goes on running it. */
START_TEST(test_run_that_a_restarted_worker_has_received_is_no_suspect)
{
	struct emu_config config = fleet;
	struct emu_job job = harmless;
	struct emu_stats stats;
	struct emu *emu;
	uint32_t vm;

	config.seed = 1 + _i;
	config.spare_vms = 0;
	job.tasks_per_step = 1;
	job.task_ms = 2000;
	emu = emu_create(&config);
	for (uint32_t i = 2; i < emu_vm_count(emu); i++)
		emu_worker_set_cpu(emu, i, job.cpu_milli / 2);
	emu_advance(emu, 10000);
	emu_submit(emu, 0, &job);
	emu_advance(emu, 20);
	vm = emu_vm_running(emu, 0);
	ck_assert_uint_lt(vm, 2);
	emu_worker_entry_delay(emu, 1 - vm, 1000);
	emu_worker_restart(emu, 1 - vm);
	emu_vm_crash(emu, vm, 5000);
	emu_advance(emu, 8000);
	emu_state_query(emu, 0, 0);
	emu_advance(emu, 500);
	emu_stats(emu, &stats);
	ck_assert_msg(emu_violation_count(emu) == 0, "seed %u: %s", config.seed,
		      emu_first_violation(emu));
	ck_assert_uint_eq(stats.succeeded, 1);
	ck_assert_uint_eq(stats.runs, 2);
	emu_destroy(emu);
}
END_TEST

static void owner_replace(struct emu *emu)
{
	uint32_t owner = emu_owner(emu);

	emu_node_kill(emu, owner);
	emu_advance(emu, 5000);
	emu_node_start(emu, owner);
}

/* Suspicions of the log, and how often it clears a task of some jobs. */
#define WATCHED_JOBS 4
static uint32_t suspected_logged;
static uint32_t cleared_logged;
static const char *watched_jobs[WATCHED_JOBS];

static bool log_names_watched_job(const char *text)
{
	for (uint32_t i = 0; i < WATCHED_JOBS; i++) {
		if (watched_jobs[i] && strstr(text, watched_jobs[i]))
			return true;
	}
	return false;
}

static GLogWriterOutput log_observe(GLogLevelFlags level,
				    const GLogField *fields, gsize count,
				    gpointer data)
{
	(void)level;
	(void)data;
	for (gsize i = 0; i < count; i++) {
		cleared_logged += strcmp(fields[i].key, "MESSAGE") == 0 &&
				  log_names_watched_job(fields[i].value) &&
				  strstr(fields[i].value, "is no suspect of");
		suspected_logged += strcmp(fields[i].key, "MESSAGE") == 0 &&
				    strstr(fields[i].value, "suspect") &&
				    strstr(fields[i].value, " ended with ");
	}
	return G_LOG_WRITER_HANDLED;
}

/* All workers have been replaced by others at their addresses, which refuse the
 * orders: no task has run where a worker crashed. */
START_TEST(test_refused_run_is_no_suspect)
{
	struct emu_config config = fleet;
	struct emu_stats stats;
	struct emu *emu;

	g_unsetenv("EMU_LOG");
	g_log_set_writer_func(log_observe, NULL, NULL);
	config.seed = 1 + _i;
	emu = emu_create(&config);
	emu_advance(emu, 3000);
	for (uint32_t i = 0; i < emu_vm_count(emu); i++)
		emu_vm_crash(emu, i, 1);
	emu_advance(emu, 10);
	emu_submit(emu, 0, &harmless);
	emu_advance(emu, 5000);
	emu_state_query(emu, 0, 0);
	emu_advance(emu, 500);
	emu_stats(emu, &stats);
	ck_assert_uint_eq(suspected_logged, 0);
	ck_assert_uint_eq(stats.succeeded, 1);
	ck_assert_uint_eq(stats.runs, harmless.tasks_per_step);
	ck_assert_str_eq(emu_first_violation(emu), "");
	emu_destroy(emu);
}
END_TEST

/* Answers that workers gave before a task crashed them arrive up to 0.8 s late.
 * They do not show that the task has run until then. */
START_TEST(test_late_answer_clears_no_suspect)
{
	struct emu_config config = fleet;
	struct emu_job others = harmless;
	struct emu_job job = crashing;
	struct emu *emu;

	g_unsetenv("EMU_LOG");
	g_log_set_writer_func(log_observe, NULL, NULL);
	config.seed = 1 + _i;
	config.nodes = 1;
	others.task_ms = 50;
	job.tasks_per_step = 1;
	job.crashing_tasks = 1;
	job.crash_after_ms = 80;
	emu = emu_create(&config);
	emu_advance(emu, 3000);
	emu_answers_set_slow(emu, 800);
	for (uint32_t i = 0; i < WATCHED_JOBS; i++) {
		emu_submit(emu, 0, &job);
		watched_jobs[i] = emu_job_id(emu, i);
	}
	for (uint32_t ms = 0; ms < 10000; ms += 10) {
		emu_submit(emu, 0, &others);
		emu_advance(emu, 10);
	}
	ck_assert_uint_gt(suspected_logged, 0);
	ck_assert_uint_eq(cleared_logged, 0);
	emu_destroy(emu);
}
END_TEST

/* A long-running job of which a task is given up: the others are on sound
 * workers and may be stopped only within their disruption budget, until the job
 * is cancelled, also by the next owners. */
START_TEST(test_budget_holds_when_a_long_running_job_is_given_up)
{
	struct emu_config config = fleet;
	struct emu_job job = lasting;
	g_autofree char *definition = NULL;
	struct emu *emu;

	config.seed = 1 + _i;
	job.crashing_tasks = 1;
	job.crash_after_ms = 10;
	emu = emu_create(&config);
	emu_advance(emu, 3000);
	emu_submit(emu, 0, &job);
	emu_advance(emu, 5000);
	for (uint32_t takeovers = _i >= 2 ? 2 : 0; takeovers > 0; takeovers--)
		owner_replace(emu);
	ck_assert_uint_eq(emu_active_run_count(emu), job.tasks_per_step - 1);
	ck_assert_msg(emu_violation_count(emu) == 0, "seed %u: %s", config.seed,
		      emu_first_violation(emu));
	definition = g_strconcat(JOB_RECORD_PREFIX_DEFINITION,
				 emu_job_id(emu, 0), NULL);
	ck_assert_ptr_nonnull(emu_store_get(emu, definition));
	emu_cancel(emu, emu_owner(emu), 0);
	emu_advance(emu, 100);
	if (_i >= 2)
		owner_replace(emu);
	emu_advance(emu, 5000);
	ck_assert_uint_eq(emu_active_run_count(emu), 0);
	ck_assert_ptr_null(emu_store_get(emu, definition));
	emu_destroy(emu);
}
END_TEST

#define RACK_VMS 4
#define POWER_SEEDS 40

/* A rack loses power for a moment. The order to start the task of a job that
 * is submitted then is cut by the reset of a connection from before, so no
 * worker has started the task, and it has crashed none. */
START_TEST(test_loss_of_power_fails_no_job)
{
	struct emu_config config = fleet;
	struct emu_job job = harmless;
	struct emu_stats stats;
	struct emu *emu;

	config.seed = (uint32_t)_i + 1;
	config.spare_vms = 0;
	emu = emu_create(&config);
	job.tasks_per_step = 1;
	emu_advance(emu, 10000);
	for (uint32_t i = 1; i <= RACK_VMS; i++)
		emu_worker_lose_power(emu, config.vms_per_pool - i,
				      200 + emu_random(emu, 400));
	emu_advance(emu, 30);
	emu_submit(emu, 0, &job);
	emu_settle(emu, 1, SETTLE_MS);
	emu_stats(emu, &stats);
	ck_assert_uint_eq(stats.succeeded, 1);
	emu_destroy(emu);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("crashes");
	TCase *tests = tcase_create("crashes");
	SRunner *runner = srunner_create(suite);
	const char *count = getenv("CRASH_SEEDS");
	int seeds = count ? atoi(count) : SEEDS;
	int failed;

	tcase_set_timeout(tests, 60);
	tcase_add_loop_test(tests, test_tasks_that_crash_workers_are_given_up,
			    0, seeds * (int)G_N_ELEMENTS(cases));
	tcase_add_loop_test(tests,
			    test_no_task_is_blamed_while_workers_crash_by_turns,
			    0, 6);
	tcase_add_loop_test(
		tests,
		test_run_that_a_restarted_worker_has_received_is_no_suspect, 0,
		4);
	tcase_add_loop_test(tests, test_refused_run_is_no_suspect, 0, 2);
	tcase_add_loop_test(tests, test_late_answer_clears_no_suspect, 0, 8);
	tcase_add_loop_test(
		tests, test_budget_holds_when_a_long_running_job_is_given_up, 0,
		4);
	tcase_add_loop_test(tests, test_loss_of_power_fails_no_job, 0,
			    POWER_SEEDS);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
