/**
 * @file test_capacity_moves.c
 * @brief Tests of workers whose capacity changes while they run, and which
 * start whatever they are ordered to.
 */
#include <check.h>
#include <glib.h>
#include <stdlib.h>

#include "emu_expect.h"

#define STEPS 100
#define STEP_MS 100
#define SETTLE_MS 15000
/* Number of seeds with which each case is run, unless CAPACITY_SEEDS sets it.
 */
#define SEEDS 4

static const struct emu_config fleet = {
	.seed = 21,
	.nodes = 3,
	.pools = 2,
	.vms_per_pool = 6,
	.spare_vms = 2,
	.vm_cpu_milli = 8000,
	.attempts = 3,
	.unguarded = true,
	/* longer than the owner waits after other refusals */
	.stop_ms = 900,
};

/* Called in each step, at some moment of it. */
typedef void (*disturb_cb)(struct emu *emu, uint32_t step);

static void owner_kill(struct emu *emu, uint32_t step)
{
	uint32_t owner = emu_owner(emu);

	for (uint32_t i = 0; i < fleet.nodes; i++)
		emu_node_start(emu, i);
	if (step % 25 == 10 && owner < EMU_NODES_MAX)
		emu_node_kill(emu, owner);
}

static void orders_delay(struct emu *emu, uint32_t step)
{
	emu_orders_set_delayed(emu, step < STEPS - 1 ? 100 : 0);
}

static void jobs_cancel(struct emu *emu, uint32_t step)
{
	if (step > 2)
		emu_cancel(emu, step, step - 2);
}

static void owner_kill_and_cancel(struct emu *emu, uint32_t step)
{
	owner_kill(emu, step);
	jobs_cancel(emu, step);
}

static const struct capacity_case {
	const char *name;
	disturb_cb disturb;
	bool gang;
} cases[] = {
	{ .name = "load" },
	{ .name = "gangs", .gang = true },
	{ .name = "owner killed", .disturb = owner_kill },
	{ .name = "orders delayed", .disturb = orders_delay },
	{ .name = "jobs cancelled", .disturb = jobs_cancel },
	{ .name = "owner killed, jobs cancelled",
	  .disturb = owner_kill_and_cancel },
};

/* Shrinks a worker to less than what it runs, also to nothing, or lets one grow
 * to its full size. */
static void capacity_change(struct emu *emu)
{
	static const int64_t sizes[] = { 0, 1500, 4000, 8000, 8000 };

	int64_t cpu_milli = sizes[emu_random(emu, G_N_ELEMENTS(sizes))];
	uint32_t vm = emu_random(emu, emu_vm_count(emu));

	emu_worker_set_cpu(emu, vm, cpu_milli);
}

START_TEST(test_no_start_exceeds_the_capacity)
{
	const struct capacity_case *run = &cases[_i % G_N_ELEMENTS(cases)];
	struct emu_config config = fleet;
	struct emu_stats stats;
	struct emu *emu;

	config.seed += _i;
	emu = emu_create(&config);
	emu_advance(emu, 2000);
	for (uint32_t step = 0; step < STEPS; step++) {
		struct emu_job job = {
			.pool = step % fleet.pools,
			.steps = 1 + step % 2,
			.tasks_per_step = 1 + emu_random(emu, 6),
			.cpu_milli = 500 + emu_random(emu, 2500),
			.task_ms = 300 + emu_random(emu, 1500),
			.gang = run->gang && step % 3 == 0,
		};
		uint32_t wait_ms = emu_random(emu, STEP_MS);

		emu_submit(emu, step, &job);
		if (step % 10 == 0)
			capacity_change(emu);
		emu_advance(emu, wait_ms);
		if (run->disturb)
			run->disturb(emu, step);
		emu_advance(emu, STEP_MS - wait_ms);
	}
	for (uint32_t i = 0; i < emu_vm_count(emu); i++)
		emu_worker_set_cpu(emu, i, fleet.vm_cpu_milli);
	for (uint32_t i = 0; i < fleet.nodes; i++)
		emu_node_start(emu, i);
	emu_advance(emu, SETTLE_MS);
	for (uint32_t i = 0; i < STEPS; i++)
		emu_state_query(emu, i, i);
	emu_advance(emu, 500);
	emu_stats(emu, &stats);
	ck_assert_msg(emu_violation_count(emu) == 0, "%s, seed %u: %s",
		      run->name, config.seed, emu_first_violation(emu));
	ck_assert_msg(stats.unfinished == 0,
		      "%s, seed %u: %u jobs have not ended", run->name,
		      config.seed, stats.unfinished);
	emu_destroy(emu);
}
END_TEST

/* Its entry in the list still describes the earlier incarnation, but its
 * reports do not. */
START_TEST(test_worker_restarts_as_a_smaller_one)
{
	struct emu_config config = fleet;
	const struct emu_job large = {
		.steps = 1,
		.tasks_per_step = 1,
		.cpu_milli = 4000,
		.task_ms = 5000,
	};
	struct emu_job small = large;
	struct emu_worker_view before;
	g_autofree char *entry = NULL;
	struct emu *emu;
	uint32_t job;

	config.pools = 1;
	config.vms_per_pool = 1;
	config.spare_vms = 0;
	emu = emu_create(&config);
	emu_advance(emu, 3000);
	small.cpu_milli = 500;
	emu_submit(emu, 0, &small);
	emu_advance(emu, 1000);
	emu_worker_describe(emu, 0, &before);
	entry = g_strdup_printf("0 0 1 0 %" G_GUINT64_FORMAT
				" %" G_GINT64_FORMAT,
				before.started_ms, before.cpu_milli);
	emu_worker_restart_as(emu, 0, 2000);
	job = emu_submit(emu, 0, &large);
	for (uint32_t ms = 0; ms < 6000; ms += 10) {
		if (ms < 3000)
			emu_operator_write(emu, "workers/w-0-1", entry);
		emu_advance(emu, 10);
		ck_assert_uint_eq(emu_vm_running(emu, job), EMU_VMS_MAX);
	}
	emu_worker_set_cpu(emu, 0, 8000);
	emu_advance(emu, 3000);
	ck_assert_uint_eq(emu_vm_running(emu, job), 0);
	emu_destroy(emu);
}
END_TEST

/* The owner does not reach the store, so it does not learn that the workers
 * have shrunk while jobs wait. */
START_TEST(test_workers_shrink_while_the_store_is_away)
{
	struct emu_config config = fleet;
	const struct emu_job job = {
		.steps = 1,
		.tasks_per_step = 40,
		.cpu_milli = 1500,
		.task_ms = 1000,
	};
	struct emu *emu;

	config.nodes = 1;
	config.pools = 1;
	config.vms_per_pool = 2;
	config.spare_vms = 0;
	emu = emu_create(&config);
	emu_advance(emu, 3000);
	for (uint32_t i = 0; i < 5; i++)
		emu_submit(emu, 0, &job);
	emu_advance(emu, 500);
	emu_store_set_mode(emu, 0, EMU_STORE_UNAVAILABLE);
	for (uint32_t i = 0; i < config.vms_per_pool; i++)
		emu_worker_set_cpu(emu, i, 4000);
	emu_advance(emu, 10000);
	emu_store_set_mode(emu, 0, EMU_STORE_OK);
	emu_settle(emu, 5, 90000);
	emu_destroy(emu);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("capacity moves");
	TCase *tests = tcase_create("capacity moves");
	SRunner *runner = srunner_create(suite);
	const char *count = getenv("CAPACITY_SEEDS");
	int seeds = count ? atoi(count) : SEEDS;
	int failed;

	tcase_set_timeout(tests, 60);
	tcase_add_test(tests, test_worker_restarts_as_a_smaller_one);
	tcase_add_test(tests, test_workers_shrink_while_the_store_is_away);
	tcase_add_loop_test(tests, test_no_start_exceeds_the_capacity, 0,
			    seeds * (int)G_N_ELEMENTS(cases));
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
