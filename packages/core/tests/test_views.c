/*
 * Simulates processes that apply placements, confirm them by a majority of the
 * electorate and dispatch by them (head_, confirm_, quorum_), with random
 * faults.
 */
#include <check.h>
#include <glib.h>
#include <string.h>

#include "confirm.h"
#include "head.h"
#include "quorum.h"

#define TIMEOUT_S 50
#define RUNS 200
#define STEPS 4000
#define STEP_MS 50
#define WINDOW_MS 1000
#define EXPIRY_MS 1200
#define LEASE_MS 5000
#define PROCESSES_MAX 9
#define POLL_PERCENT 7
#define POLL_STABLE_PERCENT 60
#define POOL_NONE 0
/* Long enough for a change of the electorate and some moves of the VM. */
#define STABLE_STEPS 1600
#define ELECTORATE_WAIT_MS 5000

/* A simulated process with its network links. */
struct process {
	char id[8];
	struct head_state head;
	struct quorum_votes *votes;
	bool running;
	bool paused;
	/* network partition; processes reach each other within one group */
	int group;
	bool reaches_platform;
	/* time at which it last renewed its lease with the platform */
	uint64_t renewed_ms;
};

/* Simulated processes, one VM that moves between pools, and the manager. */
struct fleet {
	GRand *rand;
	uint64_t now_ms;
	/* chance per step that a process polls a given peer, in percent */
	int poll_percent;
	/* chance per step that links and processes change, in permille */
	int faults_permille;
	struct process processes[PROCESSES_MAX];
	uint32_t count;
	/* pool that the VM serves, by placement number */
	uint32_t pools[STEPS + STABLE_STEPS];
	/* electorate, by placement number */
	struct quorum_electorate electorates[STEPS + STABLE_STEPS];
	/* number of the newest placement */
	uint64_t newest;
	/* pool of the newest placement in which the VM was in a pool */
	uint32_t last_pool;
	/* process that holds the manager lease */
	uint32_t manager;
	/* state of each process as last seen by the manager */
	struct confirm_process known[PROCESSES_MAX];
	uint64_t term_began_ms;
	uint64_t electorate_due_ms;
	struct confirm_state confirm;
	uint32_t moves;
};

static bool chance(struct fleet *fleet, int percent)
{
	return g_rand_int_range(fleet->rand, 0, 100) < percent;
}

static bool is_active(const struct process *process)
{
	return process->running && !process->paused;
}

static void placement_apply_newer(struct process *process, uint64_t number)
{
	process->head.applied_placement =
		MAX(process->head.applied_placement, number);
}

static void process_start(struct fleet *fleet, struct process *process)
{
	quorum_votes_destroy(process->votes);
	process->votes = quorum_votes_create();
	head_state_init(&process->head, WINDOW_MS);
	head_set_applied_roll(&process->head, 1);
	process->running = true;
	process->renewed_ms = fleet->now_ms;
}

static void platform_poll(struct fleet *fleet, struct process *process)
{
	const struct head head = { .roll = 1,
				   .placement_number = fleet->newest };

	process->renewed_ms = fleet->now_ms;
	if (head_update_from_platform(&process->head, &head, fleet->now_ms)
		    .fetch_placement)
		placement_apply_newer(process, fleet->newest);
}

static void peer_poll(struct fleet *fleet, struct process *process,
		      const struct process *peer)
{
	const struct head_state *head = &peer->head;

	if (head_has_caught_up(head))
		quorum_votes_record(process->votes, peer->id, fleet->now_ms,
				    MAX(head->known.placement_number,
					head->applied_placement));
	if (head_update_from_peer(&process->head, &head->known).fetch_placement)
		placement_apply_newer(process, head->applied_placement);
	head_confirm_from_peer(&process->head, head->applied_placement,
			       fleet->now_ms,
			       head_confirmation_age_ms(head, fleet->now_ms));
}

/* Same decision as sync_may_dispatch(). */
static bool may_dispatch(const struct fleet *fleet, struct process *process)
{
	uint64_t number = process->head.applied_placement;
	bool votes = head_has_caught_up(&process->head);

	if (head_may_dispatch(&process->head, fleet->now_ms))
		return true;
	head_confirm(&process->head,
		     quorum_votes_confirmed_ms(process->votes,
					       &fleet->electorates[number],
					       votes ? process->id : NULL,
					       number, fleet->now_ms));
	return head_may_dispatch(&process->head, fleet->now_ms);
}

static void process_step(struct fleet *fleet, struct process *process)
{
	if (!is_active(process))
		return;
	if (process->reaches_platform && chance(fleet, 20))
		platform_poll(fleet, process);
	for (uint32_t i = 0; i < fleet->count; i++) {
		struct process *peer = &fleet->processes[i];

		if (peer != process && is_active(peer) &&
		    peer->group == process->group &&
		    chance(fleet, fleet->poll_percent))
			peer_poll(fleet, process, peer);
	}
}

/* Changes links at random; pauses, stops, starts and restarts processes. */
static void faults_step(struct fleet *fleet)
{
	bool connected = chance(fleet, 20);
	int groups = g_rand_int_range(fleet->rand, 2, 4);

	if (g_rand_int_range(fleet->rand, 0, 1000) >= fleet->faults_permille)
		return;
	for (uint32_t i = 0; i < fleet->count; i++) {
		struct process *process = &fleet->processes[i];

		process->group =
			connected ? 0
				  : g_rand_int_range(fleet->rand, 0, groups);
		process->reaches_platform = connected || chance(fleet, 50);
		process->paused = chance(fleet, 10);
		if (chance(fleet, 10))
			process->running = false;
		else if (chance(fleet, process->running ? 15 : 50))
			process_start(fleet, process);
	}
}

static bool has_applied(void *data, const char *id)
{
	const struct fleet *fleet = data;
	uint64_t number = fleet->electorates[fleet->newest].since_placement;

	return fleet->known[id[1] - '0'].applied >= number;
}

static bool has_applied_newest(void *data, const char *id)
{
	const struct fleet *fleet = data;

	return fleet->known[id[1] - '0'].applied >= fleet->newest;
}

/* Determines the next change of the electorate; false if there is none. */
static bool electorate_next(struct fleet *fleet, struct quorum_electorate *next)
{
	const struct quorum_electorate *now =
		&fleet->electorates[fleet->newest];
	char *wanted[PROCESSES_MAX + 1] = { NULL };
	uint32_t count = 0;

	for (uint32_t i = 0; i < fleet->count; i++) {
		char *id = fleet->processes[i].id;
		bool member =
			now->members &&
			g_strv_contains((const char *const *)now->members, id);

		if (confirm_is_member(&fleet->known[i], member,
				      fleet->term_began_ms, fleet->now_ms))
			wanted[count++] = id;
	}
	return quorum_electorate_next(
		now, wanted,
		quorum_electorate_has_majority(now, has_applied, fleet),
		fleet->newest + 1, next);
}

static void placement_write(struct fleet *fleet, uint32_t pool)
{
	struct quorum_electorate *next = &fleet->electorates[fleet->newest + 1];

	if (!electorate_next(fleet, next))
		quorum_electorate_copy(&fleet->electorates[fleet->newest],
				       next);
	fleet->newest++;
	fleet->pools[fleet->newest] = pool;
	if (pool != POOL_NONE)
		fleet->last_pool = pool;
	fleet->electorate_due_ms = 0;
}

/* Grants the manager lease to a process that reaches the platform. */
static bool manager_elect(struct fleet *fleet)
{
	const struct process *leader = &fleet->processes[fleet->manager];
	uint32_t next = (uint32_t)g_rand_int_range(fleet->rand, 0,
						   (gint32)fleet->count);

	if (is_active(leader) && leader->reaches_platform)
		return true;
	leader = &fleet->processes[next];
	if (!is_active(leader) || !leader->reaches_platform)
		return false;
	fleet->manager = next;
	memset(fleet->known, 0, sizeof(fleet->known));
	memset(&fleet->confirm, 0, sizeof(fleet->confirm));
	fleet->term_began_ms = fleet->now_ms;
	fleet->electorate_due_ms = 0;
	return true;
}

static void manager_observe(struct fleet *fleet)
{
	const struct process *leader = &fleet->processes[fleet->manager];

	for (uint32_t i = 0; i < fleet->count; i++) {
		const struct process *process = &fleet->processes[i];
		struct confirm_process *known = &fleet->known[i];

		known->listed = process->renewed_ms + LEASE_MS > fleet->now_ms;
		if (known->listed)
			known->listed_ms = fleet->now_ms;
		if (!is_active(process) || process->group != leader->group)
			continue;
		known->heartbeat_ms = fleet->now_ms;
		known->applied = process->head.applied_placement;
	}
}

static bool placement_is_confirmed(struct fleet *fleet)
{
	const struct confirm_input input = {
		.processes = fleet->known,
		.count = fleet->count,
		.majority = quorum_electorate_has_majority(
			&fleet->electorates[fleet->newest], has_applied_newest,
			fleet),
		.now_ms = fleet->now_ms,
		.expiry_ms = EXPIRY_MS,
	};

	return confirm_update(&fleet->confirm, fleet->newest, &input);
}

/* Writes a change of the electorate if no move has written it in time. */
static void electorate_step(struct fleet *fleet)
{
	struct quorum_electorate next = { 0 };

	if (!electorate_next(fleet, &next)) {
		fleet->electorate_due_ms = 0;
		return;
	}
	quorum_electorate_clear(&next);
	if (fleet->electorate_due_ms == 0)
		fleet->electorate_due_ms = fleet->now_ms + ELECTORATE_WAIT_MS;
	if (fleet->now_ms >= fleet->electorate_due_ms)
		placement_write(fleet, fleet->pools[fleet->newest]);
}

static void manager_step(struct fleet *fleet)
{
	if (!manager_elect(fleet) || !chance(fleet, 50))
		return;
	manager_observe(fleet);
	if (fleet->pools[fleet->newest] != POOL_NONE) {
		if (chance(fleet, 5))
			placement_write(fleet, POOL_NONE);
	} else if (placement_is_confirmed(fleet)) {
		placement_write(fleet, fleet->last_pool + 1);
		fleet->moves++;
	}
	electorate_step(fleet);
}

static void safety_check(struct fleet *fleet, guint32 seed, int run)
{
	for (uint32_t i = 0; i < fleet->count; i++) {
		struct process *process = &fleet->processes[i];
		uint64_t number = process->head.applied_placement;
		uint32_t pool = fleet->pools[number];

		if (!is_active(process) || pool == POOL_NONE ||
		    !may_dispatch(fleet, process))
			continue;
		ck_assert_msg(pool == fleet->last_pool,
			      "seed %u run %d at %" G_GUINT64_FORMAT
			      " ms: process %u of %u dispatches on placement "
			      "%" G_GUINT64_FORMAT
			      " (pool %u), the newest is %" G_GUINT64_FORMAT
			      " (pool %u)",
			      seed, run, fleet->now_ms, i, fleet->count, number,
			      pool, fleet->newest, fleet->last_pool);
	}
}

static void fleet_start(struct fleet *fleet, GRand *rand)
{
	memset(fleet, 0, sizeof(*fleet));
	fleet->rand = rand;
	fleet->now_ms = LEASE_MS;
	fleet->poll_percent = POLL_PERCENT;
	fleet->faults_permille = chance(fleet, 50) ? 20 : 3;
	/* Most fleets are small, since these fail in more ways. */
	fleet->count = (uint32_t)g_rand_int_range(
		rand, 3, chance(fleet, 25) ? PROCESSES_MAX + 1 : 6);
	for (uint32_t i = 0; i < fleet->count; i++) {
		struct process *process = &fleet->processes[i];

		g_snprintf(process->id, sizeof(process->id), "e%u", i);
		process->reaches_platform = true;
		/* The other processes join later. */
		if (i == 0 || chance(fleet, 70))
			process_start(fleet, process);
	}
	manager_observe(fleet);
	placement_write(fleet, 1);
}

static void fleet_stop(struct fleet *fleet)
{
	for (uint32_t i = 0; i < fleet->count; i++)
		quorum_votes_destroy(fleet->processes[i].votes);
	for (uint64_t i = 0; i <= fleet->newest; i++)
		quorum_electorate_clear(&fleet->electorates[i]);
}

static void fleet_step(struct fleet *fleet, guint32 seed, int run)
{
	fleet->now_ms += STEP_MS;
	for (uint32_t i = 0; i < fleet->count; i++)
		process_step(fleet, &fleet->processes[i]);
	manager_step(fleet);
	safety_check(fleet, seed, run);
}

/*
 * Ends all faults. If platform is false, no process reaches the platform and
 * stopped processes stay stopped.
 */
static void faults_end(struct fleet *fleet, bool platform)
{
	for (uint32_t i = 0; i < fleet->count; i++) {
		struct process *process = &fleet->processes[i];

		process->group = 0;
		process->paused = false;
		process->reaches_platform = platform;
		if (platform && !process->running)
			process_start(fleet, process);
	}
}

static void stable_steps(struct fleet *fleet, guint32 seed, int run, int steps)
{
	fleet->poll_percent = POLL_STABLE_PERCENT;
	for (int step = 0; step < steps; step++)
		fleet_step(fleet, seed, run);
	for (uint32_t i = 0; i < fleet->count; i++) {
		struct process *process = &fleet->processes[i];

		ck_assert_msg(
			!process->running || may_dispatch(fleet, process),
			"seed %u run %d: process %u of %u may not dispatch",
			seed, run, i, fleet->count);
	}
}

/*
 * Checks liveness: once all processes are connected, the VM moves and all
 * processes may dispatch. If the platform and fewer than half of the processes
 * then fail, the other processes may still dispatch.
 */
static void liveness_check(struct fleet *fleet, guint32 seed, int run)
{
	uint32_t moves = fleet->moves;

	faults_end(fleet, true);
	stable_steps(fleet, seed, run, STABLE_STEPS / 2);
	ck_assert_msg(fleet->moves > moves, "seed %u run %d: no moves", seed,
		      run);
	faults_end(fleet, false);
	for (uint32_t i = 0; i < (fleet->count - 1) / 2; i++)
		fleet->processes[i].running = false;
	stable_steps(fleet, seed, run, STABLE_STEPS / 4);
}

/*
 * Guards against two pools using a VM at the same time, which would happen if a
 * process kept dispatching by a placement from before the VM's newest move.
 * Applies random partitions, pauses and restarts.
 */
START_TEST(vm_is_never_served_by_two_pools)
{
	guint32 seed = g_random_int();
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
	g_autofree struct fleet *fleet = g_new0(struct fleet, 1);
	uint32_t moves = 0;

	for (int run = 0; run < RUNS; run++) {
		fleet_start(fleet, rand);
		for (int step = 0; step < STEPS; step++) {
			faults_step(fleet);
			fleet_step(fleet, seed, run);
		}
		liveness_check(fleet, seed, run);
		moves += fleet->moves;
		fleet_stop(fleet);
	}
	ck_assert_uint_ge(moves, RUNS);
}
END_TEST

static bool is_named(void *data, const char *id)
{
	return strstr(data, id) != NULL;
}

START_TEST(electorate_changes_in_two_steps)
{
	char *before[] = { "a", "b", "c", NULL };
	char *after[] = { "c", "d", "e", NULL };
	struct quorum_electorate first = { .since_placement = 1,
					   .members = before };
	struct quorum_electorate joint = { 0 };
	struct quorum_electorate last = { 0 };

	ck_assert(!quorum_electorate_next(&first, before, true, 7, &joint));
	ck_assert(quorum_electorate_next(&first, after, true, 7, &joint));
	ck_assert(!quorum_electorate_has_majority(&joint, is_named, "cde"));
	ck_assert(!quorum_electorate_has_majority(&joint, is_named, "abc"));
	ck_assert(quorum_electorate_has_majority(&joint, is_named, "acd"));
	ck_assert(!quorum_electorate_next(&joint, after, false, 8, &last));
	ck_assert(quorum_electorate_next(&joint, before, true, 8, &last));
	ck_assert(!last.previous && last.since_placement == 8);
	ck_assert(quorum_electorate_has_majority(&last, is_named, "cd"));
	quorum_electorate_clear(&joint);
	quorum_electorate_clear(&last);
}
END_TEST

START_TEST(majority_gives_its_oldest_time)
{
	char *members[] = { "a", "b", "c", "d", NULL };
	const struct quorum_electorate electorate = { .members = members };
	const struct quorum_electorate none = { 0 };
	struct quorum_votes *votes = quorum_votes_create();

	quorum_votes_record(votes, "b", 100, 5);
	quorum_votes_record(votes, "c", 300, 6);
	quorum_votes_record(votes, "x", 400, 5);
	ck_assert_uint_eq(
		quorum_votes_confirmed_ms(votes, &electorate, "a", 5, 900), 0);
	quorum_votes_record(votes, "d", 200, 5);
	ck_assert_uint_eq(
		quorum_votes_confirmed_ms(votes, &electorate, "a", 5, 900),
		100);
	ck_assert_uint_eq(
		quorum_votes_confirmed_ms(votes, &electorate, NULL, 5, 900), 0);
	ck_assert_uint_eq(
		quorum_votes_confirmed_ms(votes, &electorate, NULL, 6, 900),
		100);
	ck_assert_uint_eq(quorum_votes_confirmed_ms(votes, &none, "a", 6, 900),
			  0);
	quorum_votes_drop_before(votes, 101);
	ck_assert_uint_eq(
		quorum_votes_confirmed_ms(votes, &electorate, "a", 6, 900),
		200);
	quorum_votes_destroy(votes);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("views");
	Suite *suite = suite_create("views");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_test(tcase, vm_is_never_served_by_two_pools);
	tcase_add_test(tcase, electorate_changes_in_two_steps);
	tcase_add_test(tcase, majority_gives_its_oldest_time);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
