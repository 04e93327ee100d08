/**
 * @file test_faults.c
 * @brief Single faults of the job service, each the replay of one that broke a
 *        rule or is easily got wrong.
 */
#include <check.h>

#include "emu.h"

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

static const struct emu_job lasting = {
	.steps = 1,
	.tasks_per_step = 3,
	.cpu_milli = 1000,
	.task_ms = 600,
	.long_running = true,
	.max_unavailable = 1,
};

/* Submits a batch job every 100 ms at each process in turn. */
static void load(struct emu *emu, uint32_t count, const struct emu_job *job)
{
	for (uint32_t i = 0; i < count; i++) {
		struct emu_job next = *job;

		next.pool = i % fleet.pools;
		emu_submit(emu, i % fleet.nodes, &next);
		emu_advance(emu, 100);
	}
}

/* Waits until everything has ended and asks for each job's state. */
static void settle(struct emu *emu, uint32_t jobs, uint32_t ms)
{
	emu_advance(emu, ms);
	for (uint32_t i = 0; i < jobs; i++)
		emu_state_query(emu, i % fleet.nodes, i);
	emu_advance(emu, 500);
	ck_assert_msg(emu_violation_count(emu) == 0, "%s",
		      emu_first_violation(emu));
}

static void expect_all_ended(struct emu *emu)
{
	struct emu_stats tally;

	emu_stats(emu, &tally);
	ck_assert_uint_gt(tally.accepted, 0);
	ck_assert_uint_eq(tally.unfinished, 0);
}

START_TEST(test_owner_killed_among_ends)
{
	struct emu *emu = emu_create(&fleet);

	emu_advance(emu, 2000);
	load(emu, 20, &batch);
	emu_node_kill(emu, emu_owner(emu));
	emu_advance(emu, 3000);
	settle(emu, 20, 15000);
	expect_all_ended(emu);
	emu_destroy(emu);
}
END_TEST

/* A new owner reads the jobs before it looks at workers: their ends and runs
 * would else be taken as those of unknown jobs. */
START_TEST(test_takeover_reads_jobs_before_workers)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats before;
	struct emu_stats after;

	emu_advance(emu, 2000);
	load(emu, 4, &lasting);
	emu_advance(emu, 3000);
	emu_stats(emu, &before);
	emu_store_set_slowdown(emu, 20);
	emu_node_resign(emu, emu_owner(emu));
	settle(emu, 4, 6000);
	emu_stats(emu, &after);
	ck_assert_uint_eq(before.runs, after.runs);
	emu_destroy(emu);
}
END_TEST

/* A lease of one second is kept although each renewal takes 0.4 s. */
START_TEST(test_slow_store_does_not_end_leases)
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

/* VMs that the owner before has given no orders to are free at once: a burst
 * need not wait for the gap between the orders of two owners, three seconds. */
START_TEST(test_next_owner_moves_vms_within_the_gap)
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
	load(emu, 8, &wide);
	emu_advance(emu, 700);
	emu_stats(emu, &after);
	ck_assert_uint_eq(before.vm_moves, 0);
	ck_assert_uint_gt(after.vm_moves, 0);
	ck_assert_msg(emu_violation_count(emu) == 0, "%s",
		      emu_first_violation(emu));
	emu_destroy(emu);
}
END_TEST

/* Failed runs whose ends were not stored count once each, in whatever order
 * the next owner reads them. */
START_TEST(test_failures_count_in_any_order)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		struct emu_config config = fleet;
		struct emu_job poison = batch;
		struct emu *emu;

		config.seed = seed;
		poison.always_fails = true;
		poison.steps = 1;
		emu = emu_create(&config);
		emu_advance(emu, 2000);
		emu_submit(emu, 0, &poison);
		emu_advance(emu, 100 + seed * 20);
		emu_store_set_mode(emu, emu_owner(emu), EMU_STORE_UNAVAILABLE);
		emu_advance(emu, 4000);
		for (uint32_t i = 0; i < fleet.nodes; i++)
			emu_store_set_mode(emu, i, EMU_STORE_OK);
		settle(emu, 1, 15000);
		expect_all_ended(emu);
		emu_destroy(emu);
	}
}
END_TEST

/* The platform says that it has done what an earlier owner had ordered; the
 * worker runs on all the while. */
START_TEST(test_maintenance_done_before_keeps_tasks)
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
		load(emu, 10, &longer);
		emu_node_kill(emu, emu_owner(emu));
		emu_advance(emu, 2500);
		load(emu, 10, &longer);
		settle(emu, 20, 60000);
		ck_assert(emu_wave_succeeded(emu));
		emu_destroy(emu);
	}
}
END_TEST

START_TEST(test_orders_carried_out_late)
{
	struct emu *emu = emu_create(&fleet);

	emu_advance(emu, 2000);
	emu_orders_set_delayed(emu, 200);
	load(emu, 30, &batch);
	emu_node_kill(emu, emu_owner(emu));
	emu_advance(emu, 4000);
	emu_orders_set_delayed(emu, 0);
	settle(emu, 30, 20000);
	expect_all_ended(emu);
	emu_destroy(emu);
}
END_TEST

/* A silent worker's lease runs out, and its tasks go on elsewhere. */
START_TEST(test_silent_worker_is_given_up)
{
	struct emu *emu = emu_create(&fleet);

	emu_advance(emu, 2000);
	load(emu, 10, &batch);
	for (uint32_t vm = 0; vm < 4; vm++)
		emu_worker_set_partitioned(emu, vm, vm % 2 == 0);
	settle(emu, 10, 15000);
	expect_all_ended(emu);
	emu_destroy(emu);
}
END_TEST

/* An address that answers for another incarnation is not waited for. */
START_TEST(test_crashed_worker_delays_no_takeover)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats tally;

	emu_advance(emu, 2000);
	load(emu, 10, &batch);
	emu_vm_crash(emu, 0, 400);
	emu_vm_crash(emu, 1, 60000);
	emu_advance(emu, 200);
	emu_node_resign(emu, emu_owner(emu));
	settle(emu, 10, 5000);
	emu_stats(emu, &tally);
	ck_assert_uint_eq(tally.unfinished, 0);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_worker_reborn_under_its_name)
{
	struct emu *emu = emu_create(&fleet);

	emu_advance(emu, 2000);
	load(emu, 10, &batch);
	for (uint32_t vm = 0; vm < 4; vm++)
		emu_worker_restart(emu, vm);
	settle(emu, 10, 15000);
	expect_all_ended(emu);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_writes_lost_and_late)
{
	struct emu *emu = emu_create(&fleet);

	emu_advance(emu, 2000);
	emu_store_set_write_faults(emu, 200, 100);
	load(emu, 20, &batch);
	emu_node_kill(emu, emu_owner(emu));
	emu_advance(emu, 5000);
	load(emu, 10, &batch);
	emu_store_set_write_faults(emu, 0, 0);
	settle(emu, 30, 20000);
	expect_all_ended(emu);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_store_away_keeps_work_running)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats before;
	struct emu_stats after;

	emu_advance(emu, 2000);
	load(emu, 4, &lasting);
	emu_advance(emu, 2000);
	emu_stats(emu, &before);
	for (uint32_t i = 0; i < fleet.nodes; i++)
		emu_store_set_mode(emu, i, EMU_STORE_UNRESPONSIVE);
	emu_advance(emu, 9000);
	for (uint32_t i = 0; i < fleet.nodes; i++)
		emu_store_set_mode(emu, i, EMU_STORE_OK);
	settle(emu, 4, 8000);
	emu_stats(emu, &after);
	ck_assert_uint_eq(before.runs, after.runs);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_ownership_revoked_in_silence)
{
	struct emu *emu = emu_create(&fleet);
	uint32_t owner;

	emu_advance(emu, 2000);
	load(emu, 10, &batch);
	owner = emu_owner(emu);
	emu_store_set_mode(emu, owner, EMU_STORE_UNRESPONSIVE);
	emu_store_revoke_ownership(emu, owner);
	load(emu, 10, &batch);
	emu_advance(emu, 3000);
	emu_store_set_mode(emu, owner, EMU_STORE_OK);
	settle(emu, 20, 15000);
	expect_all_ended(emu);
	emu_destroy(emu);
}
END_TEST

/* A process that is cut off from the store together with an old owner still
 * reaches that one, which knows no better: it refuses at once. */
START_TEST(test_cut_off_with_old_owner_refuses_at_once)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats tally;
	uint32_t owner;
	uint32_t other;

	emu_advance(emu, 2000);
	load(emu, 4, &lasting);
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
	emu_stats(emu, &tally);
	ck_assert_uint_ge(tally.refused, 5);
	ck_assert_uint_eq(tally.unknown, 0);
	ck_assert_msg(emu_violation_count(emu) == 0, "%s",
		      emu_first_violation(emu));
	emu_destroy(emu);
}
END_TEST

/* A caller whose connection ended comes again while its first call still waits
 * here: the second one cannot tell that the job will not run. */
START_TEST(test_second_call_for_a_waiting_job_is_not_refused)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats tally;
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
	emu_stats(emu, &tally);
	ck_assert_uint_eq(tally.refused, 0);
	ck_assert_uint_eq(tally.unknown, 1);
	emu_advance(emu, 3000);
	for (uint32_t i = 0; i < fleet.nodes; i++)
		emu_store_set_mode(emu, i, EMU_STORE_OK);
	emu_advance(emu, 3000);
	emu_resubmit(emu, other, job);
	emu_advance(emu, 3000);
	emu_stats(emu, &tally);
	ck_assert_uint_eq(tally.accepted, 1);
	ck_assert_msg(emu_violation_count(emu) == 0, "%s",
		      emu_first_violation(emu));
	emu_destroy(emu);
}
END_TEST

START_TEST(test_cancel_during_takeover)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats tally;

	emu_advance(emu, 2000);
	load(emu, 4, &lasting);
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
	settle(emu, 4, 5000);
	for (uint32_t i = 0; i < 4; i++)
		emu_state_query(emu, (emu_owner(emu) + 1) % 3, i);
	for (uint32_t i = 0; i < 4; i++)
		emu_state_query(emu, emu_owner(emu), i);
	emu_advance(emu, 500);
	emu_stats(emu, &tally);
	ck_assert_uint_eq(tally.cancelled, 4);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_draining_worker_hands_lasting_tasks_on)
{
	struct emu *emu = emu_create(&fleet);

	emu_advance(emu, 2000);
	load(emu, 4, &lasting);
	emu_advance(emu, 2000);
	for (uint32_t vm = 0; vm < 8; vm += 4)
		emu_worker_drain(emu, vm, 6000);
	settle(emu, 4, 15000);
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
	tcase_add_test(tests, test_owner_killed_among_ends);
	tcase_add_test(tests, test_takeover_reads_jobs_before_workers);
	tcase_add_test(tests, test_slow_store_does_not_end_leases);
	tcase_add_test(tests, test_next_owner_moves_vms_within_the_gap);
	tcase_add_test(tests, test_failures_count_in_any_order);
	tcase_add_test(tests, test_maintenance_done_before_keeps_tasks);
	tcase_add_test(tests, test_orders_carried_out_late);
	tcase_add_test(tests, test_silent_worker_is_given_up);
	tcase_add_test(tests, test_crashed_worker_delays_no_takeover);
	tcase_add_test(tests, test_worker_reborn_under_its_name);
	tcase_add_test(tests, test_writes_lost_and_late);
	tcase_add_test(tests, test_store_away_keeps_work_running);
	tcase_add_test(tests, test_ownership_revoked_in_silence);
	tcase_add_test(tests, test_cut_off_with_old_owner_refuses_at_once);
	tcase_add_test(tests,
		       test_second_call_for_a_waiting_job_is_not_refused);
	tcase_add_test(tests, test_cancel_during_takeover);
	tcase_add_test(tests, test_draining_worker_hands_lasting_tasks_on);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
