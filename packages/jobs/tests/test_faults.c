/**
 * @file test_faults.c
 * @brief Tests of the job service under single faults.
 *
 * Each test reproduces a fault that once broke a rule of the emulator, or one
 * that is easily handled wrongly.
 */
#include <check.h>

#include "emu_expect.h"

static const struct emu_config fleet = {
	.seed = 7,
	.nodes = 3,
	.pools = 2,
	.vms_per_pool = 4,
	.spare_vms = 2,
	.vm_cpu_milli = 8000,
	.attempts = 3,
};

static const struct emu_job batch = {
	.steps = 2,
	.tasks_per_step = 6,
	.cpu_milli = 1000,
	.task_ms = 600,
};

static const struct emu_job long_running_job = {
	.steps = 1,
	.tasks_per_step = 3,
	.cpu_milli = 1000,
	.task_ms = 600,
	.long_running = true,
	.max_unavailable = 1,
};

/* Submits a job every 100 ms, to the processes and pools in rotation. */
static void jobs_submit(struct emu *emu, uint32_t count,
			const struct emu_job *job)
{
	for (uint32_t i = 0; i < count; i++) {
		struct emu_job next = *job;

		next.pool = i % fleet.pools;
		emu_submit(emu, i % fleet.nodes, &next);
		emu_advance(emu, 100);
	}
}

static void expect_all_finished(struct emu *emu)
{
	struct emu_stats stats;

	emu_stats(emu, &stats);
	ck_assert_uint_gt(stats.accepted, 0);
	ck_assert_uint_eq(stats.unfinished, 0);
}

START_TEST(test_owner_killed_while_runs_end)
{
	struct emu *emu = emu_create(&fleet);

	emu_advance(emu, 2000);
	jobs_submit(emu, 20, &batch);
	emu_node_kill(emu, emu_owner(emu));
	emu_advance(emu, 3000);
	emu_settle(emu, 20, 15000);
	expect_all_finished(emu);
	emu_destroy(emu);
}
END_TEST

/* A new owner that polled workers before it had read the jobs would treat their
 * runs as orphaned. */
START_TEST(test_takeover_reads_jobs_before_workers)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats before;
	struct emu_stats after;

	emu_advance(emu, 2000);
	jobs_submit(emu, 4, &long_running_job);
	emu_advance(emu, 3000);
	emu_stats(emu, &before);
	emu_store_set_slowdown(emu, 20);
	emu_node_resign(emu, emu_owner(emu));
	emu_settle(emu, 4, 6000);
	emu_stats(emu, &after);
	ck_assert_uint_eq(before.runs, after.runs);
	emu_destroy(emu);
}
END_TEST

/* A lease of one second is renewed in time although a renewal takes 0.4 s. */
START_TEST(test_slow_store_does_not_expire_leases)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats before;
	struct emu_stats after;
	uint32_t owner;

	emu_advance(emu, 3000);
	owner = emu_owner(emu);
	emu_stats(emu, &before);
	emu_store_set_slowdown(emu, 130);
	emu_advance(emu, 10000);
	emu_stats(emu, &after);
	ck_assert_uint_eq(after.leases_expired, before.leases_expired);
	ck_assert_uint_eq(emu_owner(emu), owner);
	emu_destroy(emu);
}
END_TEST

/* VM actions of two owners are kept three seconds apart on each VM. VMs on
 * which the previous owner has not acted are available to a burst at once. */
START_TEST(test_new_owner_moves_untouched_vms_at_once)
{
	struct emu_job wide = batch;
	struct emu_config config = fleet;
	struct emu_stats before;
	struct emu_stats after;
	struct emu *emu;

	config.pools = 2;
	wide.tasks_per_step = 12;
	wide.task_ms = 2000;
	emu = emu_create(&config);
	emu_advance(emu, 5000);
	emu_stats(emu, &before);
	emu_node_kill(emu, emu_owner(emu));
	emu_advance(emu, 1800);
	jobs_submit(emu, 8, &wide);
	emu_advance(emu, 700);
	emu_stats(emu, &after);
	ck_assert_uint_eq(before.vm_moves, 0);
	ck_assert_uint_gt(after.vm_moves, 0);
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}
END_TEST

/* A failed run whose end was not stored before a takeover is counted exactly
 * once, in whatever order the new owner reads the ends. */
START_TEST(test_failures_are_counted_once_in_any_order)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		struct emu_config config = fleet;
		struct emu_job failing = batch;
		struct emu *emu;

		config.seed = seed;
		failing.always_fails = true;
		failing.steps = 1;
		emu = emu_create(&config);
		emu_advance(emu, 2000);
		emu_submit(emu, 0, &failing);
		emu_advance(emu, 100 + seed * 20);
		emu_store_set_mode(emu, emu_owner(emu), EMU_STORE_UNAVAILABLE);
		emu_advance(emu, 4000);
		for (uint32_t i = 0; i < fleet.nodes; i++)
			emu_store_set_mode(emu, i, EMU_STORE_OK);
		emu_settle(emu, 1, 15000);
		expect_all_finished(emu);
		emu_destroy(emu);
	}
}
END_TEST

/* The platform accepts a request for maintenance that it has already done for
 * an earlier owner, and does nothing. The worker goes on running, so its tasks
 * must not be treated as lost. */
START_TEST(test_repeated_maintenance_order_keeps_tasks)
{
	for (uint32_t seed = 1; seed <= 10; seed++) {
		struct emu_config config = fleet;
		struct emu_job longer = batch;
		struct emu *emu;

		config.seed = seed;
		longer.task_ms = 5000;
		longer.steps = 1;
		emu = emu_create(&config);
		emu_advance(emu, 5000);
		emu_wave_request(emu, 100, 3, 30000);
		emu_advance(emu, 1000);
		jobs_submit(emu, 10, &longer);
		emu_node_kill(emu, emu_owner(emu));
		emu_advance(emu, 2500);
		jobs_submit(emu, 10, &longer);
		emu_settle(emu, 20, 60000);
		ck_assert(emu_wave_succeeded(emu));
		emu_destroy(emu);
	}
}
END_TEST

START_TEST(test_delayed_orders_during_owner_failure)
{
	struct emu *emu = emu_create(&fleet);

	emu_advance(emu, 2000);
	emu_orders_set_delayed(emu, 200);
	jobs_submit(emu, 30, &batch);
	emu_node_kill(emu, emu_owner(emu));
	emu_advance(emu, 4000);
	emu_orders_set_delayed(emu, 0);
	emu_settle(emu, 30, 20000);
	expect_all_finished(emu);
	emu_destroy(emu);
}
END_TEST

/* The lease of a partitioned worker expires, and its tasks run elsewhere. */
START_TEST(test_tasks_of_unreachable_worker_are_rescheduled)
{
	struct emu *emu = emu_create(&fleet);

	emu_advance(emu, 2000);
	jobs_submit(emu, 10, &batch);
	for (uint32_t vm = 0; vm < 4; vm++)
		emu_worker_set_partitioned(emu, vm, vm % 2 == 0);
	emu_settle(emu, 10, 15000);
	expect_all_finished(emu);
	emu_destroy(emu);
}
END_TEST

/* A takeover does not wait for a worker whose address another incarnation
 * answers. */
START_TEST(test_crashed_worker_does_not_delay_takeover)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats stats;

	emu_advance(emu, 2000);
	jobs_submit(emu, 10, &batch);
	emu_vm_crash(emu, 0, 400);
	emu_vm_crash(emu, 1, 60000);
	emu_advance(emu, 200);
	emu_node_resign(emu, emu_owner(emu));
	emu_settle(emu, 10, 5000);
	emu_stats(emu, &stats);
	ck_assert_uint_eq(stats.unfinished, 0);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_worker_restarts_under_same_identity)
{
	struct emu *emu = emu_create(&fleet);

	emu_advance(emu, 2000);
	jobs_submit(emu, 10, &batch);
	for (uint32_t vm = 0; vm < 4; vm++)
		emu_worker_restart(emu, vm);
	emu_settle(emu, 10, 15000);
	expect_all_finished(emu);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_lost_answers_and_delayed_writes)
{
	struct emu *emu = emu_create(&fleet);

	emu_advance(emu, 2000);
	emu_store_set_write_faults(emu, 200, 100);
	jobs_submit(emu, 20, &batch);
	emu_node_kill(emu, emu_owner(emu));
	emu_advance(emu, 5000);
	jobs_submit(emu, 10, &batch);
	emu_store_set_write_faults(emu, 0, 0);
	emu_settle(emu, 30, 20000);
	expect_all_finished(emu);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_store_outage_keeps_tasks_running)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats before;
	struct emu_stats after;

	emu_advance(emu, 2000);
	jobs_submit(emu, 4, &long_running_job);
	emu_advance(emu, 2000);
	emu_stats(emu, &before);
	for (uint32_t i = 0; i < fleet.nodes; i++)
		emu_store_set_mode(emu, i, EMU_STORE_UNRESPONSIVE);
	emu_advance(emu, 9000);
	for (uint32_t i = 0; i < fleet.nodes; i++)
		emu_store_set_mode(emu, i, EMU_STORE_OK);
	emu_settle(emu, 4, 8000);
	emu_stats(emu, &after);
	ck_assert_uint_eq(before.runs, after.runs);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_ownership_revoked_from_partitioned_owner)
{
	struct emu *emu = emu_create(&fleet);
	uint32_t owner;

	emu_advance(emu, 2000);
	jobs_submit(emu, 10, &batch);
	owner = emu_owner(emu);
	emu_store_set_mode(emu, owner, EMU_STORE_UNRESPONSIVE);
	emu_store_revoke_ownership(emu, owner);
	jobs_submit(emu, 10, &batch);
	emu_advance(emu, 3000);
	emu_store_set_mode(emu, owner, EMU_STORE_OK);
	emu_settle(emu, 20, 15000);
	expect_all_finished(emu);
	emu_destroy(emu);
}
END_TEST

/* A process and a stale owner have both lost the store but still reach each
 * other. The stale owner does not know that it was replaced; calls forwarded to
 * it must be refused at once instead of timing out. */
START_TEST(test_partitioned_with_stale_owner_refuses_at_once)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats stats;
	uint32_t owner;
	uint32_t other;

	emu_advance(emu, 2000);
	jobs_submit(emu, 4, &long_running_job);
	owner = emu_owner(emu);
	other = (owner + 1) % fleet.nodes;
	emu_store_set_mode(emu, owner, EMU_STORE_UNRESPONSIVE);
	emu_store_set_mode(emu, other, EMU_STORE_UNRESPONSIVE);
	emu_store_revoke_ownership(emu, owner);
	emu_advance(emu, 3000);
	emu_submit(emu, other, &batch);
	emu_advance(emu, 1500);
	for (int i = 0; i < 5; i++)
		emu_submit(emu, other, &batch);
	emu_advance(emu, 50);
	emu_stats(emu, &stats);
	ck_assert_uint_ge(stats.refused, 5);
	ck_assert_uint_eq(stats.unknown, 0);
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}
END_TEST

/* A caller reconnects and resubmits a job while its first call is pending. The
 * second call must not be refused, since the first one may still be accepted.
 */
START_TEST(test_resubmission_of_pending_call_is_not_refused)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats stats;
	uint32_t other;
	uint32_t job;

	emu_advance(emu, 2000);
	other = (emu_owner(emu) + 1) % fleet.nodes;
	emu_node_resign(emu, emu_owner(emu));
	emu_advance(emu, 8);
	for (uint32_t i = 0; i < fleet.nodes; i++)
		emu_store_set_mode(emu, i, EMU_STORE_UNRESPONSIVE);
	job = emu_submit(emu, other, &batch);
	emu_advance(emu, 900);
	emu_resubmit(emu, other, job);
	emu_advance(emu, 20);
	emu_stats(emu, &stats);
	ck_assert_uint_eq(stats.refused, 0);
	ck_assert_uint_eq(stats.unknown, 1);
	emu_advance(emu, 3000);
	for (uint32_t i = 0; i < fleet.nodes; i++)
		emu_store_set_mode(emu, i, EMU_STORE_OK);
	emu_advance(emu, 3000);
	emu_resubmit(emu, other, job);
	emu_advance(emu, 3000);
	emu_stats(emu, &stats);
	ck_assert_uint_eq(stats.accepted, 1);
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_cancel_during_takeover)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats stats;

	emu_advance(emu, 2000);
	jobs_submit(emu, 4, &long_running_job);
	emu_advance(emu, 2000);
	emu_node_kill(emu, emu_owner(emu));
	for (uint32_t i = 0; i < 4; i++) {
		for (uint32_t node = 0; node < fleet.nodes; node++)
			emu_cancel(emu, node, i);
	}
	emu_advance(emu, 3000);
	for (uint32_t i = 0; i < 4; i++) {
		for (uint32_t node = 0; node < fleet.nodes; node++)
			emu_cancel(emu, node, i);
	}
	emu_settle(emu, 4, 5000);
	for (uint32_t i = 0; i < 4; i++)
		emu_state_query(emu, (emu_owner(emu) + 1) % 3, i);
	for (uint32_t i = 0; i < 4; i++)
		emu_state_query(emu, emu_owner(emu), i);
	emu_advance(emu, 500);
	emu_stats(emu, &stats);
	ck_assert_uint_eq(stats.cancelled, 4);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_draining_worker_hands_over_long_running_tasks)
{
	struct emu *emu = emu_create(&fleet);

	emu_advance(emu, 2000);
	jobs_submit(emu, 4, &long_running_job);
	emu_advance(emu, 2000);
	for (uint32_t vm = 0; vm < 8; vm += 4)
		emu_worker_drain(emu, vm, 6000);
	emu_settle(emu, 4, 15000);
	emu_destroy(emu);
}
END_TEST

/* A VM that is no longer in the platform's list was removed for good. What ran
 * there is started elsewhere without waiting for the worker's lease to expire,
 * also if the owner changes at that moment. */
START_TEST(test_tasks_of_removed_vm_restart_at_once)
{
	struct emu *emu = emu_create(&fleet);
	uint32_t before;

	emu_advance(emu, 2000);
	jobs_submit(emu, 4, &long_running_job);
	emu_advance(emu, 1000);
	before = emu_active_run_count(emu);
	ck_assert_uint_eq(before, 12);
	emu_vm_remove(emu, 0);
	ck_assert_uint_lt(emu_active_run_count(emu), before);
	if (_i == 1)
		emu_node_resign(emu, emu_owner(emu));
	emu_advance(emu, 3000);
	ck_assert_uint_eq(emu_active_run_count(emu), before);
	emu_settle(emu, 4, 5000);
	emu_destroy(emu);
}
END_TEST

/* The pages of a list of VMs are not a snapshot, so one list may lack a VM. A
 * VM that is down may be missing for seconds until it returns. */
START_TEST(test_wave_maintains_vm_that_lists_lacked)
{
	struct emu *emu = emu_create(&fleet);

	emu_advance(emu, 6000);
	emu_wave_request(emu, 100, 2, 60000);
	if (_i == 1) {
		emu_vm_crash(emu, 3, 7000);
		emu_vm_omit_from_lists(emu, 3, 7000 / 400);
	}
	for (uint32_t i = 0; i < 20; i++) {
		if (_i == 0)
			emu_vm_omit_from_lists(emu, i % emu_vm_count(emu), 1);
		emu_advance(emu, 500);
	}
	emu_advance(emu, 50000);
	ck_assert(emu_wave_succeeded(emu));
	emu_settle(emu, 0, 100);
	emu_destroy(emu);
}
END_TEST

/* Requests for maintenance are lost, and the VMs crash meanwhile: a restarted
 * worker is no sign that its VM was maintained. */
START_TEST(test_crash_is_not_taken_for_maintenance)
{
	struct emu *emu = emu_create(&fleet);

	emu_advance(emu, 6000);
	emu_vm_requests_set_lost(emu, 1000);
	emu_wave_request(emu, 100, 2, 60000);
	for (uint32_t i = 0; i < emu_vm_count(emu); i++) {
		emu_advance(emu, 300);
		emu_vm_crash(emu, i, 700);
	}
	emu_vm_requests_set_lost(emu, 0);
	emu_advance(emu, 50000);
	ck_assert(emu_wave_succeeded(emu));
	emu_settle(emu, 0, 100);
	emu_destroy(emu);
}
END_TEST

/* The pool has free CPU, but at most one task of the step may run on a worker.
 * When a worker drains, the pool needs another VM for the task. */
START_TEST(test_pool_grows_for_task_that_fits_on_no_worker)
{
	struct emu_config config = fleet;
	struct emu_job job = long_running_job;
	struct emu *emu;

	config.vms_per_pool = 3;
	emu = emu_create(&config);
	emu_advance(emu, 2000);
	job.pool = 0;
	emu_submit(emu, 0, &job);
	emu_advance(emu, 2000);
	ck_assert_uint_eq(emu_active_run_count(emu), 3);
	emu_worker_drain(emu, 0, 30000);
	emu_advance(emu, 4500);
	ck_assert_uint_eq(emu_active_run_count(emu), 3);
	emu_settle(emu, 1, 2000);
	emu_destroy(emu);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("faults");
	TCase *tests = tcase_create("faults");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tests, 60);
	tcase_add_test(tests, test_owner_killed_while_runs_end);
	tcase_add_test(tests, test_takeover_reads_jobs_before_workers);
	tcase_add_test(tests, test_slow_store_does_not_expire_leases);
	tcase_add_test(tests, test_new_owner_moves_untouched_vms_at_once);
	tcase_add_test(tests, test_failures_are_counted_once_in_any_order);
	tcase_add_test(tests, test_repeated_maintenance_order_keeps_tasks);
	tcase_add_test(tests, test_delayed_orders_during_owner_failure);
	tcase_add_test(tests, test_tasks_of_unreachable_worker_are_rescheduled);
	tcase_add_test(tests, test_crashed_worker_does_not_delay_takeover);
	tcase_add_test(tests, test_worker_restarts_under_same_identity);
	tcase_add_test(tests, test_lost_answers_and_delayed_writes);
	tcase_add_test(tests, test_store_outage_keeps_tasks_running);
	tcase_add_test(tests, test_ownership_revoked_from_partitioned_owner);
	tcase_add_test(tests,
		       test_partitioned_with_stale_owner_refuses_at_once);
	tcase_add_test(tests, test_resubmission_of_pending_call_is_not_refused);
	tcase_add_test(tests, test_cancel_during_takeover);
	tcase_add_test(tests,
		       test_draining_worker_hands_over_long_running_tasks);
	tcase_add_loop_test(tests, test_tasks_of_removed_vm_restart_at_once, 0,
			    2);
	tcase_add_loop_test(tests, test_wave_maintains_vm_that_lists_lacked, 0,
			    2);
	tcase_add_test(tests, test_crash_is_not_taken_for_maintenance);
	tcase_add_test(tests, test_pool_grows_for_task_that_fits_on_no_worker);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
