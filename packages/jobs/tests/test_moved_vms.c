/**
 * @file test_moved_vms.c
 * @brief Test of the time that a moved VM is idle under overload.
 */
#include <check.h>
#include <stdio.h>

#include "emu_expect.h"

/* Limit of the mean idle time of a moved VM before its first task: a tenth of
 * the move, which takes 1.5 s. */
#define IDLE_AFTER_MOVE_MAX_MS 150

/* Duration of the burst on one pool. */
#define BURST_MS 4500

static const struct emu_config fleet = {
	.seed = 5,
	.nodes = 3,
	.pools = 3,
	.vms_per_pool = 70,
	.spare_vms = 30,
	.vm_cpu_milli = 16000,
	.attempts = 3,
};

static const struct emu_job burst = {
	.steps = 2,
	.tasks_per_step = 6,
	.cpu_milli = 1800,
	.task_ms = 600,
};

START_TEST(test_moved_vms_get_tasks_promptly)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats stats;

	emu_advance(emu, 3000);
	for (uint32_t elapsed_ms = 0; elapsed_ms < 2 * BURST_MS;
	     elapsed_ms += 10) {
		struct emu_job job = burst;

		/* More than all VMs can hold, so that tasks always wait. */
		job.pool = elapsed_ms / BURST_MS;
		for (uint32_t i = 0; i < 4; i++)
			emu_submit(emu, i % fleet.nodes, &job);
		emu_advance(emu, 10);
	}
	emu_stats(emu, &stats);
	emu_expect_no_violation(emu);
	fprintf(stderr, "%u moved VMs got a task after %u ms, %u moves\n",
		stats.moved_vms_used,
		(uint32_t)(stats.moved_vms_idle_ms /
			   MAX(stats.moved_vms_used, 1)),
		stats.vm_moves);
	ck_assert_uint_ge(stats.moved_vms_used, 30);
	ck_assert_uint_le(stats.moved_vms_idle_ms / stats.moved_vms_used,
			  IDLE_AFTER_MOVE_MAX_MS);
	emu_destroy(emu);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("moved_vms");
	TCase *tests = tcase_create("moved_vms");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tests, 60);
	tcase_add_test(tests, test_moved_vms_get_tasks_promptly);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
