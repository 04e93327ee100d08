/**
 * @file test_delayed_orders.c
 * @brief Delayed orders that reach a worker restarted under its identity.
 *
 * A restarted worker knows neither the fencing token nor the runs that have
 * ended there, so an order delayed in the network could run a completed task
 * again. Orders held by the worker itself are dropped when it restarts; with
 * LATE_ORDERS_OUTLIVE set they survive, which is unsolved, see KNOWN-RED.txt.
 */
#include <check.h>
#include <stdlib.h>

#include "emu_expect.h"

/* Number of seeds, starting at the seed of the fleet. */
#define SEED_COUNT 20

static const struct emu_config fleet = {
	.seed = 3,
	.nodes = 3,
	.pools = 1,
	.vms_per_pool = 4,
	.vm_cpu_milli = 8000,
	.attempts = 3,
};

static const struct emu_job batch = {
	.steps = 1,
	.tasks_per_step = 4,
	.cpu_milli = 1000,
	.task_ms = 400,
};

static void delayed_orders_run(bool outlive_worker, uint32_t seed)
{
	struct emu_config config = fleet;
	struct emu *emu;

	config.seed = seed;
	emu = emu_create(&config);
	if (outlive_worker)
		emu_orders_outlive_worker(emu);
	emu_advance(emu, 2000);
	emu_orders_set_delayed(emu, 300);
	for (int i = 0; i < 40; i++) {
		emu_submit(emu, (uint32_t)i % fleet.nodes, &batch);
		emu_advance(emu, 150);
		if (i % 4 == 3)
			emu_worker_restart(emu, (uint32_t)i / 4 % 4);
	}
	emu_orders_set_delayed(emu, 0);
	for (int i = 0; i < 40; i++) {
		emu_advance(emu, 300);
		emu_worker_restart(emu, (uint32_t)i % 4);
	}
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}

START_TEST(test_delayed_order_does_not_rerun_completed_task)
{
	delayed_orders_run(getenv("LATE_ORDERS_OUTLIVE") != NULL,
			   fleet.seed + (uint32_t)_i);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("delayed_orders");
	TCase *tests = tcase_create("delayed_orders");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tests, 60);
	tcase_add_loop_test(tests,
			    test_delayed_order_does_not_rerun_completed_task, 0,
			    SEED_COUNT);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
