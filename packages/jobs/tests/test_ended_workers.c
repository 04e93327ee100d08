/**
 * @file test_ended_workers.c
 * @brief Tests that a worker which restarts under its identity is called again.
 *
 * The owner learns of the end and of the restart from lists that arrive in any
 * order, and the entry of the new incarnation may show an earlier start.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "emu_expect.h"
#include "emu_private.h"
#include "hold.h"

/* Time within which a long-running task must run again. */
#define RESTART_MAX_MS 9000
#define STEP_MS 50
/* Moments at which workers end beside a move, by STEP_MS. */
#define DRAIN_ROWS 40

static const struct emu_config fleet = {
	.seed = 12,
	.nodes = 3,
	.pools = 1,
	.vms_per_pool = 4,
	.vm_cpu_milli = 8000,
	.attempts = 3,
	.fixed_pools = true,
};

/* A task that only the first worker has the capacity for. */
static const struct emu_job large = {
	.steps = 1,
	.tasks_per_step = 1,
	.cpu_milli = 6000,
	.task_ms = 600,
	.long_running = true,
	.max_unavailable = 1,
};

/* Orders in which the lists arrive, by how much each takes longer. */
static const uint32_t delays_ms[][EMU_LIST_COUNT] = {
	{ 0, 0, 0 },	 { 0, 200, 600 }, { 0, 600, 200 }, { 200, 0, 600 },
	{ 600, 0, 200 }, { 200, 600, 0 }, { 600, 200, 0 },
};

/* Whether the owner is replaced meanwhile, and by how much the clock of the VM
 * is ahead for the incarnation before the last one. */
static const struct {
	bool takeover;
	int32_t ahead_ms;
} events[] = {
	{ false, 0 },
	{ true, 0 },
	{ false, 60000 },
	{ true, 60000 },
};

#define ROWS ((int)(G_N_ELEMENTS(delays_ms) * G_N_ELEMENTS(events)))

static void lists_delay(struct emu *emu, const uint32_t *ms)
{
	for (uint32_t i = 0; i < EMU_LIST_COUNT; i++)
		emu_list_set_delay(emu, i, ms[i]);
}

/* Expects that a job runs within a time. */
static void expect_running(struct emu *emu, uint32_t job)
{
	for (uint32_t ms = 0; ms < RESTART_MAX_MS; ms += STEP_MS) {
		if (emu_vm_running(emu, job) == 0)
			return;
		emu_advance(emu, STEP_MS);
	}
	ck_abort_msg("the task does not run after %u ms", RESTART_MAX_MS);
}

/* The last incarnation of a worker must be called, in whatever order the lists
 * arrive and whatever they say of its start. */
START_TEST(test_restarted_worker_is_called)
{
	const int event = _i / (int)G_N_ELEMENTS(delays_ms);
	struct emu *emu = emu_uneven_start(&fleet);
	uint32_t job = emu_submit(emu, 0, &large);
	uint32_t owner;

	emu_worker_set_clock(emu, 0, events[event].ahead_ms);
	if (events[event].ahead_ms > 0)
		emu_worker_restart(emu, 0);
	expect_running(emu, job);
	emu_advance(emu, 3000);
	lists_delay(emu, delays_ms[_i % (int)G_N_ELEMENTS(delays_ms)]);
	emu_worker_set_clock(emu, 0, 0);
	emu_worker_crash(emu, 0, 3000);
	emu_advance(emu, 100);
	owner = emu_owner(emu);
	if (events[event].takeover)
		emu_node_kill(emu, owner);
	emu_advance(emu, 500);
	emu_node_start(emu, owner);
	emu_advance(emu, 2400);
	lists_delay(emu, delays_ms[0]);
	expect_running(emu, job);
	emu_advance(emu, 10000);
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}
END_TEST

/* Nor may it matter that the owner sees nothing of the end: a worker without
 * tasks is not polled. */
START_TEST(test_idle_worker_that_restarts_is_called)
{
	struct emu *emu = emu_uneven_start(&fleet);
	uint32_t job;

	emu_worker_set_clock(emu, 0, events[_i].ahead_ms);
	emu_worker_restart(emu, 0);
	emu_advance(emu, 5000);
	emu_worker_set_clock(emu, 0, 0);
	emu_worker_restart(emu, 0);
	emu_advance(emu, 5000);
	job = emu_submit(emu, 0, &large);
	expect_running(emu, job);
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}
END_TEST

/* A worker that was cut off, and whose VM was left out of the list meanwhile,
 * is the same incarnation as before: nothing that it writes changes. */
START_TEST(test_worker_that_never_stopped_is_called)
{
	struct emu *emu = emu_uneven_start(&fleet);
	uint32_t job = emu_submit(emu, 0, &large);

	expect_running(emu, job);
	emu_advance(emu, 3000);
	emu_worker_set_partitioned(emu, 0, true);
	emu_vm_omit_from_lists(emu, 0, 20);
	emu_advance(emu, 6500);
	ck_assert_uint_eq(emu_active_run_count(emu), 0);
	emu_worker_set_partitioned(emu, 0, false);
	expect_running(emu, job);
	emu_advance(emu, 10000);
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}
END_TEST

/* Returns whether the owner gives no tasks to a worker of a pool because an
 * operation on its VM is under way. */
static bool is_cordoned(const struct emu *emu, const char *queue)
{
	g_autoptr(GString) out = g_string_new(NULL);

	jobs_explain(emu->nodes[emu_owner(emu)].service, JOBS_EXPLAIN_REQUEST,
		     queue, out);
	return strstr(out->str, hold_row(HOLD_WORKER_CORDONED)->text) != NULL;
}

/* A worker that ends while its VM is drained for a move, which is refused then,
 * must get tasks again once it is back under its identity. */
START_TEST(test_worker_that_ends_in_a_drain_gets_tasks_again)
{
	static const struct emu_config two_pools = {
		.seed = 14,
		.nodes = 1,
		.pools = 2,
		.vms_per_pool = 4,
		.vm_cpu_milli = 8000,
		.attempts = 3,
	};
	static const struct emu_job batch = {
		.steps = 1,
		.tasks_per_step = 4,
		.cpu_milli = 2000,
		.task_ms = 400,
	};
	struct emu *emu = emu_create(&two_pools);
	struct emu_job wanted = batch;

	emu_advance(emu, 3000);
	for (uint32_t i = 0; i < 4; i++)
		emu_submit(emu, 0, &batch);
	emu_advance(emu, 200 + (uint32_t)_i * STEP_MS);
	wanted.pool = 1;
	for (uint32_t i = 0; i < 60; i++)
		emu_submit(emu, 0, &wanted);
	emu_advance(emu, (uint32_t)_i % 5 * STEP_MS);
	for (uint32_t vm = 0; vm < two_pools.vms_per_pool; vm++)
		emu_worker_crash(emu, vm, 2000);
	emu_advance(emu, 30000);
	ck_assert(!is_cordoned(emu, "queue-0"));
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("ended workers");
	TCase *tests = tcase_create("ended workers");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tests, 60);
	tcase_add_loop_test(tests, test_restarted_worker_is_called, 0, ROWS);
	tcase_add_loop_test(tests, test_idle_worker_that_restarts_is_called, 0,
			    (int)G_N_ELEMENTS(events));
	tcase_add_test(tests, test_worker_that_never_stopped_is_called);
	tcase_add_loop_test(tests,
			    test_worker_that_ends_in_a_drain_gets_tasks_again,
			    0, DRAIN_ROWS);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
