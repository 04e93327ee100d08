/**
 * @file test_planner.c
 * @brief Tests of the disruption budget, confirmations, moves between pools and
 * maintenance waves, partly with random sequences of events.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "confirm.h"
#include "maintenance.h"

#define RUNS 400
#define STEPS 150
#define POOLS 4
#define VMS 24
#define DAY_MIN 1440

struct world {
	GRand *rand;
	struct bundle *bundle;
	struct placement *placement;
	struct maintenance_record waves[2];
	struct planner_vm vms[VMS];
	bool healthy[VMS];
	uint32_t wanted[POOLS];
	uint64_t roll;
	uint64_t now_min;
};

static bool chance(struct world *world, double share)
{
	return g_rand_double(world->rand) < share;
}

static uint32_t random_below(struct world *world, uint32_t limit)
{
	return (uint32_t)g_rand_int_range(world->rand, 0, (gint32)limit);
}

static struct bundle *bundle_base(void)
{
	struct bundle *bundle = bundle_create_empty();

	bundle->vm_count = VMS;
	bundle->vms = g_new0(struct bundle_vm, VMS);
	for (uint32_t i = 0; i < VMS; i++) {
		bundle->vms[i].name = g_strdup_printf("vm-%u", i);
		bundle->vms[i].availability_zone =
			g_strdup_printf("z%u", i % 3);
		bundle->vms[i].rack = g_strdup_printf("r%u", i % 6);
	}
	bundle->pool_count = POOLS;
	bundle->pools = g_new0(struct bundle_pool, POOLS);
	for (uint32_t i = 0; i < POOLS; i++)
		bundle->pools[i].name = g_strdup_printf("pool-%u", i);
	bundle->pools[POOLS - 1].spare = true;
	bundle->wave_count = 2;
	bundle->waves = g_new0(struct bundle_wave, 2);
	return bundle;
}

/* The first wave covers pools 0 and 1, the second one pools 2 and 3. */
static struct bundle *bundle_random(struct world *world)
{
	struct bundle *bundle = bundle_base();

	for (uint32_t i = 0; i < POOLS; i++) {
		struct bundle_pool *pool = &bundle->pools[i];

		pool->vms = g_new0(uint32_t, VMS);
		for (uint32_t vm = 0; vm < VMS; vm++) {
			if (pool->spare || chance(world, 0.5))
				pool->vms[pool->vm_count++] = vm;
		}
		pool->target_vms =
			MIN(pool->vm_count, 2 + random_below(world, 6));
		pool->floor_vms = random_below(world, pool->target_vms + 1);
		pool->survive = (enum bundle_survive)random_below(world, 3);
		if (pool->spare)
			pool->floor_vms = 0;
	}
	for (uint32_t i = 0; i < 2; i++) {
		struct bundle_wave *wave = &bundle->waves[i];

		wave->name = g_strdup_printf("wave-%u", i);
		wave->opens_minute = random_below(world, DAY_MIN);
		wave->closes_minute = (wave->opens_minute + 600) % DAY_MIN;
		wave->pool_count = 2;
		wave->pools = g_new0(uint32_t, 2);
		wave->pools[0] = 2 * i;
		wave->pools[1] = 2 * i + 1;
		wave->max_parallel = 1 + random_below(world, 3);
		wave->max_failures = 1 + random_below(world, 3);
	}
	return bundle;
}

static void wanted_reset(struct world *world)
{
	for (uint32_t i = 0; i < POOLS; i++)
		world->wanted[i] = world->bundle->pools[i].target_vms;
}

static void world_init(struct world *world, uint32_t seed)
{
	*world = (struct world){ .rand = g_rand_new_with_seed(seed),
				 .roll = 1,
				 .now_min = 1000 * DAY_MIN };
	world->bundle = bundle_random(world);
	world->placement = placement_create(world->bundle);
	wanted_reset(world);
	for (uint32_t i = 0; i < VMS; i++)
		world->healthy[i] = true;
}

static void world_clear(struct world *world)
{
	placement_destroy(world->placement);
	bundle_unref(world->bundle);
	g_rand_free(world->rand);
}

static void events_simulate(struct world *world)
{
	world->now_min += random_below(world, 20);
	for (uint32_t i = 0; i < VMS; i++) {
		if (chance(world, 0.02))
			world->vms[i].failed = !world->vms[i].failed;
		world->vms[i].within_min_stay = (i + world->now_min) % 4 == 0;
		world->healthy[i] =
			!world->vms[i].failed && !chance(world, 0.05);
		world->vms[i].drained = world->placement->rows[i].state ==
						PLACEMENT_STATE_DRAINING &&
					chance(world, 0.5);
	}
	for (uint32_t i = 0; i < POOLS && chance(world, 0.1); i++)
		world->wanted[i] = random_below(world, 9);
	if (chance(world, 0.02)) {
		bundle_unref(world->bundle);
		world->bundle = bundle_random(world);
		world->roll++;
		wanted_reset(world);
	}
}

static uint32_t in_progress(const struct world *world,
			    const struct bundle_wave *wave)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < VMS; i++) {
		if (maintenance_covers(wave, &world->placement->rows[i]) &&
		    maintenance_is_in_progress(&world->placement->rows[i]))
			count++;
	}
	return count;
}

static void maintenance_end(struct world *world, GArray *changes)
{
	for (uint32_t i = 0; i < VMS; i++) {
		const struct placement_row *row = &world->placement->rows[i];

		if (!maintenance_is_in_progress(row))
			continue;
		if (row->state == PLACEMENT_STATE_STOPPED && chance(world, 0.3))
			maintenance_vm_done(world->bundle, world->placement, i,
					    world->now_min, changes);
		else if (chance(world, 0.02))
			maintenance_vm_give_up(world->placement, i, changes);
	}
}

/* Advances a wave and checks that it respects its limits. */
static void wave_step_check(struct world *world, uint32_t index,
			    GArray *changes)
{
	const struct maintenance_input input = {
		world->bundle,	index,	    world->roll,
		world->now_min, world->vms, world->healthy
	};
	const struct bundle_wave *wave = &world->bundle->waves[index];
	struct maintenance_record before = world->waves[index];
	guint previous_len = changes->len;

	maintenance_step(&input, world->placement, changes,
			 &world->waves[index]);
	if (before.status == MAINTENANCE_STATUS_HALTED &&
	    before.roll == world->roll) {
		ck_assert_int_eq(world->waves[index].status,
				 MAINTENANCE_STATUS_HALTED);
		ck_assert_uint_eq(changes->len, previous_len);
	}
	if (changes->len > previous_len)
		ck_assert_uint_le(in_progress(world, wave), wave->max_parallel);
	for (guint i = previous_len; i < changes->len; i++)
		ck_assert(g_array_index(changes, struct planner_change, i)
				  .verdict.allowed);
}

static uint32_t serving(const struct placement *placement, uint32_t pool)
{
	return placement_count(placement, pool, PLACEMENT_STATE_SERVING);
}

static void change_check(const struct world *world, bool settled,
			 const struct planner_change *change)
{
	const struct placement_row *before = &change->before;
	const struct placement_row *after = &change->after;

	if (before->state == PLACEMENT_STATE_DRAINING &&
	    after->state != PLACEMENT_STATE_DRAINING)
		ck_assert(world->vms[change->vm].drained);
	if (before->pool != after->pool)
		ck_assert_int_eq(before->state, PLACEMENT_STATE_STOPPED);
	if (before->state == PLACEMENT_STATE_SERVING)
		ck_assert(after->state == PLACEMENT_STATE_DRAINING &&
			  after->pool == before->pool);
	if (before->state == PLACEMENT_STATE_SERVING &&
	    after->reason == PLACEMENT_REASON_RETURN)
		ck_assert(!world->vms[change->vm].within_min_stay);
	if (placement_row_is_free(before))
		ck_assert(settled);
	if (after->state == PLACEMENT_STATE_SERVING)
		ck_assert(bundle_pool_allows(&world->bundle->pools[after->pool],
					     change->vm));
	if (change->budget_checked)
		ck_assert(change->verdict.allowed);
}

static void step_check(struct world *world, const struct placement *before,
		       bool settled, const GArray *changes)
{
	bool seen[VMS] = { false };

	for (guint i = 0; i < changes->len; i++) {
		const struct planner_change *change =
			&g_array_index(changes, struct planner_change, i);

		ck_assert(!seen[change->vm]);
		seen[change->vm] = true;
		change_check(world, settled, change);
	}
	for (uint32_t i = 0; i < POOLS; i++) {
		uint32_t floor = world->bundle->pools[i].floor_vms;

		ck_assert_uint_ge(serving(world->placement, i),
				  MIN(serving(before, i), floor));
	}
}

static void world_step(struct world *world)
{
	g_autoptr(GArray) changes =
		g_array_new(FALSE, FALSE, sizeof(struct planner_change));
	bool settled = world->placement->number == 0 || chance(world, 0.5);
	const struct planner_input input = { world->bundle, world->wanted,
					     world->vms, world->healthy,
					     settled };
	struct placement *before;

	events_simulate(world);
	before = placement_copy(world->placement);
	maintenance_end(world, changes);
	for (uint32_t i = 0; i < 2; i++)
		wave_step_check(world, i, changes);
	planner_run(&(struct planner_input){ world->bundle, world->wanted,
					     world->vms, world->healthy,
					     input.settled },
		    world->placement, changes);
	step_check(world, before, settled, changes);
	world->placement->number++;
	placement_destroy(before);
}

START_TEST(test_random_events)
{
	const char *seed_text = g_getenv("SEED");
	guint32 seed =
		seed_text ? (guint32)atoi(seed_text) : g_random_int() >> 1;

	printf("random events: SEED=%u\n", seed);
	fflush(stdout);
	for (uint32_t run = 0; run < RUNS; run++) {
		struct world world;

		world_init(&world, seed + run);
		for (uint32_t step = 0; step < STEPS; step++)
			world_step(&world);
		world_clear(&world);
	}
}
END_TEST

/* Runs steps without random events; drains and maintenance end at once. */
static void world_run_healthy(struct world *world, uint32_t steps)
{
	for (uint32_t step = 0; step < steps; step++) {
		g_autoptr(GArray) changes = g_array_new(
			FALSE, FALSE, sizeof(struct planner_change));
		const struct planner_input input = { world->bundle,
						     world->wanted, world->vms,
						     world->healthy, true };

		for (uint32_t i = 0; i < VMS; i++) {
			const struct placement_row *row =
				&world->placement->rows[i];

			world->vms[i].drained =
				row->state == PLACEMENT_STATE_DRAINING;
			if (row->state == PLACEMENT_STATE_STOPPED &&
			    row->reason == PLACEMENT_REASON_WAVE)
				maintenance_vm_done(world->bundle,
						    world->placement, i,
						    world->now_min, changes);
		}
		wave_step_check(world, 0, changes);
		planner_run(&input, world->placement, changes);
		world->placement->number++;
	}
}

/* Creates a world in which only pool 0 has VMs, and wave 0 covers it. */
static void world_simple(struct world *world, uint32_t target, uint32_t floor,
			 enum bundle_survive survive)
{
	struct bundle_pool *pool;

	world_init(world, 1);
	for (uint32_t i = 0; i < POOLS; i++)
		world->bundle->pools[i].vm_count = 0;
	pool = &world->bundle->pools[0];
	for (uint32_t i = 0; i < target; i++)
		pool->vms[pool->vm_count++] = i;
	pool->target_vms = target;
	pool->floor_vms = floor;
	pool->survive = survive;
	for (uint32_t i = 1; i < POOLS; i++)
		world->wanted[i] = 0;
	world->wanted[0] = target;
	world->bundle->waves[0].opens_minute = 0;
	world->bundle->waves[0].closes_minute = 600;
	world->bundle->waves[0].max_parallel = 2;
	world->bundle->waves[0].max_failures = 2;
}

START_TEST(test_wave_ends)
{
	struct world world;

	world_simple(&world, 6, 3, BUNDLE_SURVIVE_ZONE);
	world_run_healthy(&world, 60);
	ck_assert_int_eq(world.waves[0].status, MAINTENANCE_STATUS_DONE);
	ck_assert_uint_eq(world.waves[0].maintained, 6);
	world_clear(&world);
}
END_TEST

/*
 * Four VMs in three zones may lose two with a zone, which is too few for a
 * floor of 3. Six VMs are enough, so the regular rule applies to them.
 */
START_TEST(test_small_pool)
{
	struct world world;
	struct disruption_verdict verdict;

	world_simple(&world, 4, 3, BUNDLE_SURVIVE_ZONE);
	world_run_healthy(&world, 1);
	verdict = disruption_check(world.bundle, world.placement, world.healthy,
				   0, 0);
	ck_assert(verdict.undersized && verdict.allowed);
	world.placement->rows[1].state = PLACEMENT_STATE_DRAINING;
	ck_assert(!disruption_check(world.bundle, world.placement,
				    world.healthy, 0, 0)
			   .allowed);
	world_clear(&world);
	world_simple(&world, 6, 3, BUNDLE_SURVIVE_ZONE);
	world_run_healthy(&world, 1);
	world.placement->rows[1].state = PLACEMENT_STATE_DRAINING;
	verdict = disruption_check(world.bundle, world.placement, world.healthy,
				   0, 0);
	ck_assert_uint_eq(verdict.ready, 4);
	ck_assert_uint_eq(verdict.worst_loss, 2);
	ck_assert(!verdict.undersized && !verdict.allowed);
	world_clear(&world);
}
END_TEST

START_TEST(test_wave_halts)
{
	struct world world;

	world_simple(&world, 6, 2, BUNDLE_SURVIVE_NONE);
	world_run_healthy(&world, 2);
	world.vms[4].failed = true;
	world.vms[5].failed = true;
	world_run_healthy(&world, 60);
	ck_assert_int_eq(world.waves[0].status, MAINTENANCE_STATUS_HALTED);
	ck_assert_int_eq(world.waves[0].reason,
			 MAINTENANCE_REASON_MAX_FAILURES);
	world.vms[4].failed = false;
	world.vms[5].failed = false;
	world.now_min += DAY_MIN;
	world_run_healthy(&world, 60);
	ck_assert_int_eq(world.waves[0].status, MAINTENANCE_STATUS_HALTED);
	world.roll++;
	world_run_healthy(&world, 60);
	ck_assert_int_eq(world.waves[0].status, MAINTENANCE_STATUS_DONE);
	world_clear(&world);
}
END_TEST

START_TEST(test_window)
{
	const struct bundle_wave wave = { .opens_minute = 1380,
					  .closes_minute = 120 };
	uint64_t opened;

	ck_assert(maintenance_window_is_open(&wave, 10 * DAY_MIN + 1380,
					     &opened));
	ck_assert_uint_eq(opened, 10 * DAY_MIN + 1380);
	ck_assert(
		maintenance_window_is_open(&wave, 11 * DAY_MIN + 119, &opened));
	ck_assert_uint_eq(opened, 10 * DAY_MIN + 1380);
	ck_assert(!maintenance_window_is_open(&wave, 11 * DAY_MIN + 120,
					      &opened));
	ck_assert(maintenance_window_is_open(
		&(struct bundle_wave){ .closes_minute = DAY_MIN }, 7, &opened));
}
END_TEST

START_TEST(test_confirmations)
{
	struct confirm_process processes[] = {
		{ .applied = 7, .heartbeat_ms = 9000, .listed = true },
		{ .applied = 6, .heartbeat_ms = 9000, .listed = true },
	};

	ck_assert(confirm_is_complete(processes, 2, 6, 9000, 9000, 4000));
	ck_assert(!confirm_is_complete(processes, 2, 7, 9000, 13000, 4000));
	ck_assert(confirm_is_complete(processes, 2, 7, 9000, 13001, 4000));
	/* Until since_ms, here 10000, the first process may have renewed the
	 * dispatch window of the second one, so the window ends later. */
	ck_assert(!confirm_is_complete(processes, 2, 7, 10000, 13001, 4000));
	/* A listed process that has sent no message yet counts as live. */
	processes[1] = (struct confirm_process){ .listed = true };
	ck_assert(!confirm_is_complete(processes, 2, 7, 9000, 13000, 4000));
	/* A process that left the list is ignored once its dispatch window has
	 * expired. */
	processes[1] = (struct confirm_process){ .listed_ms = 9500 };
	ck_assert(!confirm_is_complete(processes, 2, 7, 9600, 13500, 4000));
	ck_assert(confirm_is_complete(processes, 2, 7, 9600, 13501, 4000));
}
END_TEST

START_TEST(test_failure_evidence)
{
	ck_assert(!planner_vm_failed(
		&(struct planner_failure_evidence){ .down_ms = 9 }, 10));
	ck_assert(planner_vm_failed(
		&(struct planner_failure_evidence){ .down_ms = 10 }, 10));
	ck_assert(!planner_vm_failed(
		&(struct planner_failure_evidence){ .ejected_by = 1,
						    .processes = 1 },
		10));
	ck_assert(!planner_vm_failed(
		&(struct planner_failure_evidence){ .ejected_by = 2,
						    .processes = 4 },
		10));
	ck_assert(planner_vm_failed(
		&(struct planner_failure_evidence){ .ejected_by = 3,
						    .processes = 4 },
		10));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("planner");
	TCase *tcase = tcase_create("planner decisions");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 50);
	tcase_add_test(tcase, test_random_events);
	tcase_add_test(tcase, test_wave_ends);
	tcase_add_test(tcase, test_small_pool);
	tcase_add_test(tcase, test_wave_halts);
	tcase_add_test(tcase, test_window);
	tcase_add_test(tcase, test_confirmations);
	tcase_add_test(tcase, test_failure_evidence);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
