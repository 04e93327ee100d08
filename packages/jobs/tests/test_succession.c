/**
 * @file test_succession.c
 * @brief Tests of the leases of workers while several owners may act, or none
 * has a valid lease.
 */
#include <check.h>
#include <stdlib.h>

#include "emu_expect.h"

#define MOMENTS 20

static const struct emu_config fleet = {
	.seed = 5,
	.nodes = 2,
	.pools = 2,
	.vms_per_pool = 2,
	.vm_cpu_milli = 8000,
	.attempts = 3,
	.pausable = true,
};

/* A task on a worker, its owner, and the other process. */
struct scene {
	struct emu *emu;
	uint32_t job;
	uint32_t vm;
	uint32_t owner;
	uint32_t other;
};

static struct scene scene_create(uint32_t task_ms)
{
	const struct emu_job job = {
		.steps = 1,
		.tasks_per_step = 1,
		.cpu_milli = 4000,
		.task_ms = task_ms,
	};
	struct scene scene = { .emu = emu_create(&fleet) };

	emu_advance(scene.emu, 3000);
	scene.job = emu_submit(scene.emu, 0, &job);
	emu_advance(scene.emu, 1500);
	scene.owner = emu_owner(scene.emu);
	ck_assert_uint_lt(scene.owner, fleet.nodes);
	scene.other = 1 - scene.owner;
	scene.vm = emu_vm_running(scene.emu, scene.job);
	ck_assert_uint_lt(scene.vm, emu_vm_count(scene.emu));
	return scene;
}

static void others_set_cut(const struct scene *scene, uint32_t node, bool cut)
{
	for (uint32_t i = 0; i < emu_vm_count(scene->emu); i++) {
		if (i != scene->vm)
			emu_link_set_cut(scene->emu, node, i, cut);
	}
}

static void scene_finish(struct scene *scene)
{
	for (uint32_t i = 0; i < fleet.nodes; i++) {
		emu_store_set_mode(scene->emu, i, EMU_STORE_OK);
		emu_node_start(scene->emu, i);
		others_set_cut(scene, i, false);
		emu_link_set_cut(scene->emu, i, scene->vm, false);
	}
	emu_settle(scene->emu, scene->job + 1, 60000);
	emu_destroy(scene->emu);
}

/* The successor reaches the workers that both reach some time after its first
 * polls, so the old owner goes on until then. */
START_TEST(test_witness_reached_late_prolongs_takeover)
{
	struct scene scene = scene_create(30000);

	emu_link_set_cut(scene.emu, scene.other, scene.vm, true);
	others_set_cut(&scene, scene.other, true);
	emu_store_set_mode(scene.emu, scene.owner, EMU_STORE_UNAVAILABLE);
	emu_advance(scene.emu, 2500 + 250 * (uint32_t)_i);
	others_set_cut(&scene, scene.other, false);
	emu_advance(scene.emu, 12000);
	scene_finish(&scene);
}
END_TEST

/* The old owner reaches no worker for some time. When it reaches them again,
 * one that its successor does not reach may answer first. */
START_TEST(test_isolated_owner_does_nothing_more)
{
	struct scene scene = scene_create(30000);

	emu_link_set_cut(scene.emu, scene.other, scene.vm, true);
	emu_store_set_mode(scene.emu, scene.owner, EMU_STORE_UNAVAILABLE);
	emu_advance(scene.emu, 1000);
	others_set_cut(&scene, scene.owner, true);
	emu_advance(scene.emu, 600);
	emu_link_set_cut(scene.emu, scene.owner, scene.vm, true);
	emu_advance(scene.emu, 3400 + 50 * (uint32_t)_i);
	emu_link_set_cut(scene.emu, scene.owner, scene.vm, false);
	others_set_cut(&scene, scene.owner, false);
	emu_advance(scene.emu, 12000);
	scene_finish(&scene);
}
END_TEST

/* The old owner is paused in the middle of a pass, between two starts. */
START_TEST(test_owner_paused_within_pass_starts_nothing_more)
{
	struct scene scene = scene_create(30000);
	const struct emu_job job = {
		.steps = 1,
		.tasks_per_step = 4,
		.cpu_milli = 1000,
		.task_ms = 30000,
	};

	emu_link_set_cut(scene.emu, scene.other, scene.vm, true);
	emu_node_pause_at_start(scene.emu, scene.owner, (uint32_t)_i % 3,
				3500 + 100 * (uint32_t)_i);
	emu_submit(scene.emu, scene.owner, &job);
	emu_advance(scene.emu, 14000);
	scene_finish(&scene);
}
END_TEST

/* The first report of a worker arrives after the lease of the new owner has
 * ended, which thus grants the worker none, and the worker is silent then. Its
 * lease is of the earlier owner. */
START_TEST(test_lease_of_earlier_owner_counts_without_own_grant)
{
	struct scene scene = scene_create(30000);
	uint32_t witness = (scene.vm + 1) % emu_vm_count(scene.emu);

	emu_link_set_cut(scene.emu, scene.other, scene.vm, true);
	emu_node_kill(scene.emu, scene.owner);
	emu_advance(scene.emu, 1300);
	ck_assert_uint_eq(emu_owner(scene.emu), scene.other);
	emu_store_set_mode(scene.emu, scene.other, EMU_STORE_UNAVAILABLE);
	emu_advance(scene.emu, 650);
	emu_link_set_cut(scene.emu, scene.other, witness, true);
	emu_advance(scene.emu, 50 + 25 * (uint32_t)_i);
	emu_link_set_cut(scene.emu, scene.other, scene.vm, false);
	emu_advance(scene.emu, 600);
	emu_link_set_cut(scene.emu, scene.other, scene.vm, true);
	emu_advance(scene.emu, 500);
	emu_store_set_mode(scene.emu, scene.other, EMU_STORE_OK);
	emu_link_set_cut(scene.emu, scene.other, witness, false);
	emu_advance(scene.emu, 6000);
	scene_finish(&scene);
}
END_TEST

/* The store is away for all processes, and some answers of workers are slow.
 * What runs goes on. */
START_TEST(test_store_outage_ends_nothing_beside_slow_answers)
{
	const struct emu_job job = {
		.steps = 1,
		.tasks_per_step = 4,
		.cpu_milli = 1000,
		.long_running = true,
		.max_unavailable = 1,
	};
	struct emu_config config = fleet;
	struct emu_stats stats;
	struct emu *emu;

	config.vms_per_pool = 40;
	emu = emu_create(&config);
	emu_advance(emu, 3000);
	emu_submit(emu, 0, &job);
	emu_advance(emu, 3000);
	for (uint32_t i = 0; i < fleet.nodes; i++)
		emu_store_set_mode(emu, i, EMU_STORE_UNAVAILABLE);
	emu_answers_set_slow(emu, 100 * (uint32_t)_i);
	emu_advance(emu, 30000);
	emu_answers_set_slow(emu, 0);
	for (uint32_t i = 0; i < fleet.nodes; i++)
		emu_store_set_mode(emu, i, EMU_STORE_OK);
	emu_advance(emu, 10000);
	emu_stats(emu, &stats);
	ck_assert_uint_eq(stats.runs, job.tasks_per_step);
	emu_destroy(emu);
}
END_TEST

/* A fleet of one pool whose workers the owner and the other process share out:
 * the owner, which loses the store, keeps some from the first one on. */
struct split {
	struct emu *emu;
	uint32_t owner;
	uint32_t other;
	uint32_t vms;
	uint32_t first;
	uint32_t kept;
};

#define SPLIT_VMS 5
#define SPLIT_SEEDS 10

static struct split split_create(uint32_t seed, uint32_t vms, uint32_t kept)
{
	struct emu_config config = fleet;
	struct split split = { .vms = vms, .kept = kept };

	config.seed = seed;
	config.pools = 1;
	config.vms_per_pool = vms;
	split.emu = emu_create(&config);
	emu_advance(split.emu, 3000);
	split.owner = emu_owner(split.emu);
	ck_assert_uint_lt(split.owner, fleet.nodes);
	split.other = 1 - split.owner;
	return split;
}

static void split_links_set_cut(const struct split *split, bool cut)
{
	for (uint32_t i = 0; i < split->vms; i++)
		emu_link_set_cut(split->emu,
				 i < split->kept ? split->other : split->owner,
				 (split->first + i) % split->vms, cut);
}

static void split_set(const struct split *split, bool cut)
{
	split_links_set_cut(split, cut);
	emu_store_set_mode(split->emu, split->owner,
			   cut ? EMU_STORE_UNAVAILABLE : EMU_STORE_OK);
}

static uint32_t split_submit(const struct split *split, uint32_t node,
			     uint32_t tasks, uint32_t cpu_milli,
			     uint32_t task_ms)
{
	const struct emu_job job = {
		.steps = 1,
		.tasks_per_step = tasks,
		.cpu_milli = cpu_milli,
		.task_ms = task_ms,
	};
	uint32_t number = emu_submit(split->emu, node, &job);

	emu_advance(split->emu, 1000);
	return number;
}

static uint32_t split_runs(const struct split *split)
{
	struct emu_stats stats;

	emu_stats(split->emu, &stats);
	return stats.runs;
}

static void split_finish(struct split *split, uint32_t jobs)
{
	split_set(split, false);
	emu_settle(split->emu, jobs, 60000);
	emu_destroy(split->emu);
}

/* The successor starts again what runs on workers that it does not reach. */
START_TEST(test_split_fleet_runs_no_task_twice)
{
	struct split split =
		split_create(100 + (uint32_t)_i, SPLIT_VMS, 1 + _i % 2);

	split_submit(&split, 0, SPLIT_VMS, 8000, 30000);
	split_set(&split, true);
	emu_advance(split.emu, 45000);
	split_finish(&split, 1);
}
END_TEST

/* What waits at the old owner has ended at its successor, which has room for it
 * but not for what runs on the other workers. */
START_TEST(test_split_fleet_starts_no_ended_task)
{
	struct split split =
		split_create(200 + (uint32_t)_i, SPLIT_VMS, 1 + _i % 2);
	uint32_t small = split_submit(&split, 0, 1, 4000, 60000);

	split_submit(&split, 0, 1, 4000, 60000);
	split_submit(&split, 0, SPLIT_VMS - 1, 8000, 14000);
	split.first = emu_vm_running(split.emu, small) + 1;
	split_links_set_cut(&split, true);
	emu_advance(split.emu, 1000);
	split_submit(&split, split.owner, 1, 4000, 300);
	split_set(&split, true);
	emu_advance(split.emu, 3000);
	emu_cancel(split.emu, split.other, small);
	emu_advance(split.emu, 30000);
	split_finish(&split, 4);
}
END_TEST

/* What waits at the old owner is cancelled at its successor. */
START_TEST(test_split_fleet_starts_no_cancelled_task)
{
	struct split split =
		split_create(300 + (uint32_t)_i, SPLIT_VMS, 1 + _i % 2);
	uint32_t job;

	split_submit(&split, 0, SPLIT_VMS, 8000, 8000);
	job = split_submit(&split, 0, SPLIT_VMS, 8000, 300);
	split_set(&split, true);
	emu_advance(split.emu, 2000);
	emu_cancel(split.emu, split.other, job);
	emu_advance(split.emu, 30000);
	split_finish(&split, 2);
}
END_TEST

/* The store is away for all processes, and the owner reaches few workers more
 * than half. What runs there goes on. */
START_TEST(test_store_outage_ends_nothing_beside_half_of_workers)
{
	struct split split = split_create(400 + (uint32_t)_i, SPLIT_VMS, 3);
	uint32_t vm;

	split_submit(&split, 0, 1, 8000, 40000);
	vm = emu_vm_running(split.emu, 0);
	ck_assert_uint_lt(vm, SPLIT_VMS);
	for (uint32_t i = 0; i < fleet.nodes; i++)
		emu_store_set_mode(split.emu, i, EMU_STORE_UNAVAILABLE);
	for (uint32_t i = 1; i <= SPLIT_VMS - split.kept; i++)
		emu_link_set_cut(split.emu, split.owner, (vm + i) % SPLIT_VMS,
				 true);
	emu_advance(split.emu, 25000);
	ck_assert_uint_eq(emu_vm_running(split.emu, 0), vm);
	for (uint32_t i = 0; i < SPLIT_VMS; i++)
		emu_link_set_cut(split.emu, split.owner, i, false);
	emu_store_set_mode(split.emu, split.other, EMU_STORE_OK);
	split_set(&split, false);
	emu_advance(split.emu, 10000);
	ck_assert_uint_eq(split_runs(&split), 1);
	split_finish(&split, 1);
}
END_TEST

/* A successor that reaches few workers starts new jobs there, and does not
 * start again what may run on the others. */
START_TEST(test_successor_without_majority_starts_new_jobs)
{
	struct split split = split_create(500 + (uint32_t)_i, SPLIT_VMS, 3);

	split_submit(&split, 0, 1, 8000, 20000);
	split_set(&split, true);
	emu_advance(split.emu, 4000);
	ck_assert_uint_eq(emu_store_key_owner(split.emu), split.other);
	split_submit(&split, split.other, 1, 8000, 300);
	ck_assert_uint_eq(split_runs(&split), 2);
	emu_advance(split.emu, 30000);
	split_finish(&split, 2);
}
END_TEST

/* The next owners store the roster before they reach most of the workers that
 * the first one knew, beside workers that only they know. */
START_TEST(test_new_workers_do_not_outvote_those_of_earlier_owner)
{
	struct split split = split_create(600 + (uint32_t)_i, 9, 3);

	for (uint32_t i = SPLIT_VMS; i < split.vms; i++)
		emu_vm_crash(split.emu, i, 14000);
	emu_advance(split.emu, 10000);
	split_submit(&split, 0, 3, 8000, 40000);
	split_set(&split, true);
	emu_advance(split.emu, 6000);
	emu_node_kill(split.emu, split.other);
	emu_advance(split.emu, 100);
	emu_node_start(split.emu, split.other);
	emu_advance(split.emu, 30000);
	split_finish(&split, 1);
}
END_TEST

/* The owner has ended for good, and half of the workers or more are listed but
 * answer nobody. What has not started yet starts on the others. */
START_TEST(test_dead_owner_and_silent_workers_hold_back_no_job_for_good)
{
	static const uint32_t cases[][2] = {
		{ 2, 1 }, { 3, 2 }, { 4, 2 }, { 5, 3 }
	};
	uint32_t vms = cases[_i][0];
	uint32_t silent = cases[_i][1];
	struct split split = split_create(700 + silent, vms, vms);

	split_submit(&split, 0, vms, 8000, 4000);
	split_submit(&split, 0, 1, 8000, 300);
	emu_node_kill(split.emu, split.owner);
	for (uint32_t i = 0; i < silent; i++)
		emu_worker_set_partitioned(split.emu, i, true);
	emu_advance(split.emu, 60000);
	ck_assert_uint_gt(split_runs(&split), vms);
	emu_node_start(split.emu, split.owner);
	for (uint32_t i = 0; i < silent; i++)
		emu_worker_set_partitioned(split.emu, i, false);
	split_finish(&split, 2);
}
END_TEST

/* The successor reaches more than a quarter of the workers, but no half, and
 * counts the leases of the old owner as bounded in the end. */
START_TEST(test_split_fleet_runs_no_task_twice_in_the_end)
{
	struct split split =
		split_create(800 + (uint32_t)_i, SPLIT_VMS, 3 + _i % 2);

	split_submit(&split, 0, SPLIT_VMS, 4000, 90000);
	split_set(&split, true);
	emu_advance(split.emu, 80000);
	split_finish(&split, 1);
}
END_TEST

/* A worker that the owner knows from the roster only has heard of a successor
 * and restarted since. */
START_TEST(test_restarted_worker_never_reached_does_not_vouch)
{
	struct split split =
		split_create(760 + (uint32_t)_i, SPLIT_VMS, SPLIT_VMS);
	uint32_t unreached = (uint32_t)_i % SPLIT_VMS;
	uint32_t first = split.owner;
	uint32_t owner = split.other;
	uint32_t vms[2];

	emu_link_set_cut(split.emu, owner, unreached, true);
	emu_node_kill(split.emu, first);
	emu_advance(split.emu, 2500);
	emu_node_start(split.emu, first);
	emu_advance(split.emu, 14000);
	ck_assert_uint_eq(emu_owner(split.emu), owner);
	for (uint32_t i = 0; i < 2; i++)
		vms[i] = emu_vm_running(
			split.emu, split_submit(&split, owner, 1, 8000, 40000));
	for (uint32_t i = 0; i < SPLIT_VMS; i++) {
		bool is_kept = i == vms[0] || i == vms[1];

		if (i != unreached)
			emu_link_set_cut(split.emu, is_kept ? first : owner, i,
					 true);
	}
	emu_store_set_mode(split.emu, owner, EMU_STORE_UNAVAILABLE);
	emu_advance(split.emu, 15000);
	emu_link_set_cut(split.emu, first, unreached, true);
	emu_worker_restart(split.emu, unreached);
	emu_link_set_cut(split.emu, owner, unreached, false);
	emu_advance(split.emu, 15000);
	emu_store_set_mode(split.emu, owner, EMU_STORE_OK);
	for (uint32_t i = 0; i < SPLIT_VMS; i++) {
		emu_link_set_cut(split.emu, first, i, false);
		emu_link_set_cut(split.emu, owner, i, false);
	}
	emu_settle(split.emu, 2, 60000);
	emu_destroy(split.emu);
}
END_TEST

/* Workers that have restarted in one outage of the store vouch in the next. */
START_TEST(test_workers_of_earlier_outage_vouch_again)
{
	struct split split = split_create(780 + (uint32_t)_i, 6, 6);
	uint32_t vm;

	split_submit(&split, 0, 1, 8000, 80000);
	vm = emu_vm_running(split.emu, 0);
	for (uint32_t outage = 0; outage < 2; outage++) {
		for (uint32_t i = 0; i < fleet.nodes; i++)
			emu_store_set_mode(split.emu, i, EMU_STORE_UNAVAILABLE);
		emu_advance(split.emu, 2000);
		for (uint32_t i = 1; outage == 0 && i <= 4; i++)
			emu_worker_restart(split.emu, (vm + i) % 6);
		emu_advance(split.emu, outage == 0 ? 1000 : 25000);
		ck_assert_uint_eq(emu_vm_running(split.emu, 0), vm);
		for (uint32_t i = 0; i < fleet.nodes; i++)
			emu_store_set_mode(split.emu, i, EMU_STORE_OK);
		emu_advance(split.emu, 12000);
	}
	split_finish(&split, 1);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("succession");
	TCase *tests = tcase_create("succession");
	TCase *votes = tcase_create("votes");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_loop_test(tests, test_witness_reached_late_prolongs_takeover,
			    0, MOMENTS);
	tcase_add_loop_test(tests, test_isolated_owner_does_nothing_more, 0,
			    MOMENTS);
	tcase_add_loop_test(tests,
			    test_owner_paused_within_pass_starts_nothing_more,
			    0, MOMENTS);
	tcase_add_loop_test(
		tests, test_lease_of_earlier_owner_counts_without_own_grant, 0,
		MOMENTS);
	tcase_add_loop_test(tests,
			    test_store_outage_ends_nothing_beside_slow_answers,
			    0, 10);
	tcase_add_loop_test(votes, test_split_fleet_runs_no_task_twice, 0,
			    SPLIT_SEEDS);
	tcase_add_loop_test(votes, test_split_fleet_starts_no_ended_task, 0,
			    SPLIT_SEEDS);
	tcase_add_loop_test(votes, test_split_fleet_starts_no_cancelled_task, 0,
			    SPLIT_SEEDS);
	tcase_add_loop_test(
		votes, test_store_outage_ends_nothing_beside_half_of_workers, 0,
		SPLIT_SEEDS);
	tcase_add_loop_test(votes,
			    test_successor_without_majority_starts_new_jobs, 0,
			    SPLIT_SEEDS);
	tcase_add_loop_test(
		votes, test_new_workers_do_not_outvote_those_of_earlier_owner,
		0, SPLIT_SEEDS);
	tcase_add_loop_test(
		votes,
		test_dead_owner_and_silent_workers_hold_back_no_job_for_good, 0,
		4);
	tcase_add_loop_test(votes,
			    test_split_fleet_runs_no_task_twice_in_the_end, 0,
			    SPLIT_SEEDS);
	tcase_add_loop_test(votes,
			    test_restarted_worker_never_reached_does_not_vouch,
			    0, SPLIT_SEEDS);
	tcase_add_loop_test(votes, test_workers_of_earlier_outage_vouch_again,
			    0, 4);
	suite_add_tcase(suite, tests);
	suite_add_tcase(suite, votes);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
