#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "slot.h"

#define HOLDERS 5
#define VMS 3
#define SLOTS 4
#define STEP_MS 5
#define POOL 77

/* A report or a grant in flight. */
struct message {
	uint64_t due_ms;
	uint64_t owner;
	bool is_grant;
	struct slot_report report;
	struct slot_grant grant;
};

struct process {
	uint64_t key;
	struct slot_holder *holder;
	struct slot_owner *owner;
	uint32_t waiting;
	/* when it learns of a change of members, 0 if none is pending */
	uint64_t learns_ms;
	/* end of its pause; messages to it are held back until then */
	uint64_t paused_until_ms;
};

/*
 * Simulates the processes of one pool with lost, repeated and late messages and
 * changes of the owner.
 */
struct sim {
	GRand *rand;
	uint64_t now_ms;
	double loss;
	struct process processes[HOLDERS];
	uint64_t members[HOLDERS];
	uint64_t all_processes[HOLDERS];
	uint32_t member_count;
	GPtrArray *in_flight;
	uint64_t sent;
};

static const struct slot_vm pool_vms[VMS] = {
	{ .key = 11, .slots = SLOTS, .ready = true },
	{ .key = 12, .slots = SLOTS, .ready = true },
	{ .key = 13, .slots = SLOTS, .ready = true },
};

static void members_update(struct sim *sim, struct process *process)
{
	slot_holder_set_members(process->holder, sim->members,
				sim->member_count, false, sim->now_ms);
	if (slot_holder_owner(process->holder) != process->key) {
		g_clear_pointer(&process->owner, slot_owner_destroy);
		return;
	}
	if (!process->owner) {
		process->owner = slot_owner_create(POOL, sim->now_ms);
		slot_owner_set_vms(process->owner, pool_vms, VMS);
	}
	/* Processes that shut down still hold slots. */
	slot_owner_set_members(process->owner, sim->all_processes, HOLDERS);
}

static void sim_init(struct sim *sim, uint32_t seed, double loss)
{
	*sim = (struct sim){ .rand = g_rand_new_with_seed(seed),
			     .now_ms = 100000,
			     .loss = loss,
			     .member_count = HOLDERS,
			     .in_flight =
				     g_ptr_array_new_with_free_func(g_free) };
	for (uint32_t i = 0; i < HOLDERS; i++)
		sim->members[i] = sim->all_processes[i] = 1000 + i;
	for (uint32_t i = 0; i < HOLDERS; i++) {
		struct process *process = &sim->processes[i];

		process->key = sim->members[i];
		process->holder = slot_holder_create(POOL, process->key, 1,
						     SLOT_SPARE_MAX);
		slot_holder_set_vms(process->holder, pool_vms, VMS);
		members_update(sim, process);
	}
}

static void sim_clear(struct sim *sim)
{
	for (uint32_t i = 0; i < HOLDERS; i++) {
		slot_holder_destroy(sim->processes[i].holder);
		slot_owner_destroy(sim->processes[i].owner);
	}
	g_ptr_array_unref(sim->in_flight);
	g_rand_free(sim->rand);
}

static void message_send(struct sim *sim, const struct message *message)
{
	int copies = g_rand_double(sim->rand) < sim->loss / 2 ? 2 : 1;

	sim->sent++;
	for (int i = 0; i < copies; i++) {
		struct message *copy = g_memdup2(message, sizeof(*message));

		copy->due_ms = sim->now_ms +
			       (uint64_t)g_rand_int_range(
				       sim->rand, 1, sim->loss > 0 ? 100 : 3);
		if (g_rand_double(sim->rand) < sim->loss)
			g_free(copy);
		else
			g_ptr_array_add(sim->in_flight, copy);
	}
}

static struct process *process_of(struct sim *sim, uint64_t key)
{
	return &sim->processes[key - 1000];
}

static void grants_send(struct sim *sim, struct process *process)
{
	struct message message = { .is_grant = true, .owner = process->key };

	slot_owner_tick(process->owner, sim->now_ms);
	while (slot_owner_next_grant(process->owner, &message.grant))
		message_send(sim, &message);
}

static void messages_deliver(struct sim *sim)
{
	for (guint i = sim->in_flight->len; i > 0; i--) {
		struct message *message =
			g_ptr_array_index(sim->in_flight, i - 1);
		struct process *owner = process_of(sim, message->owner);
		struct process *to =
			message->is_grant
				? process_of(sim, message->grant.holder)
				: owner;

		if (message->due_ms > sim->now_ms ||
		    to->paused_until_ms > sim->now_ms)
			continue;
		if (message->is_grant)
			slot_holder_apply_grant(to->holder, &message->grant,
						sim->now_ms);
		else if (owner->owner)
			slot_owner_record_report(owner->owner, &message->report,
						 sim->now_ms);
		g_ptr_array_remove_index_fast(sim->in_flight, i - 1);
	}
}

/* Ends some requests, and starts waiting ones on granted slots only. */
static void process_work(struct sim *sim, struct process *process)
{
	uint32_t allowed[VMS];
	uint32_t count;
	struct slot_vm *vms = slot_holder_vms(process->holder, &count);

	for (uint32_t i = 0; i < count; i++) {
		if (vms[i].in_use > 0 &&
		    g_rand_int_range(sim->rand, 0, 100) == 0)
			vms[i].in_use--;
	}
	if (slot_holder_is_fallback(process->holder, sim->now_ms))
		return;
	for (uint32_t i = 0; i < count && process->waiting > 0; i++) {
		slot_holder_allowed_slots(process->holder, sim->now_ms,
					  allowed);
		if (vms[i].in_use >= allowed[i])
			continue;
		vms[i].in_use++;
		process->waiting--;
	}
}

static void process_turn(struct sim *sim, struct process *process)
{
	struct message message = { 0 };

	if (process->learns_ms != 0 && process->learns_ms <= sim->now_ms) {
		process->learns_ms = 0;
		members_update(sim, process);
	}
	process_work(sim, process);
	message.owner = slot_holder_owner(process->holder);
	if (slot_holder_poll(process->holder, process->waiting, sim->now_ms,
			     &message.report))
		message_send(sim, &message);
	if (process->owner)
		grants_send(sim, process);
}

/*
 * Returns whether every process knows the present members. Until then nothing
 * is paused, as an owner with requests in flight must run while it is replaced.
 */
static bool all_have_learned(const struct sim *sim)
{
	for (uint32_t i = 0; i < HOLDERS; i++) {
		if (sim->processes[i].learns_ms != 0)
			return false;
	}
	return true;
}

static bool any_is_paused(const struct sim *sim)
{
	for (uint32_t i = 0; i < HOLDERS; i++) {
		if (sim->processes[i].paused_until_ms > sim->now_ms)
			return true;
	}
	return false;
}

/*
 * Returns whether a process is paused, after pausing some at random. Other
 * processes do not know what a paused one has in flight, so only the owner or a
 * process without requests is paused.
 */
static bool process_pause(struct sim *sim, struct process *process)
{
	uint32_t count;
	const struct slot_vm *vms = slot_holder_vms(process->holder, &count);
	uint32_t in_use = vms[0].in_use + vms[1].in_use + vms[2].in_use;

	if (process->paused_until_ms > sim->now_ms)
		return true;
	if (sim->loss == 0 || (in_use > 0 && !process->owner) ||
	    !all_have_learned(sim) || g_rand_int_range(sim->rand, 0, 500) > 0)
		return false;
	process->paused_until_ms =
		sim->now_ms + (uint64_t)g_rand_int_range(sim->rand, 100, 5000);
	return true;
}

/* Slots of a VM that a process uses or may use without another grant. */
static uint32_t usable_slots(struct sim *sim, struct process *process,
			     uint32_t vm)
{
	uint32_t allowed[VMS];
	uint32_t count;
	const struct slot_vm *vms = slot_holder_vms(process->holder, &count);

	/* The static share is not used in this test. */
	if (slot_holder_is_fallback(process->holder, sim->now_ms))
		return vms[vm].in_use;
	slot_holder_allowed_slots(process->holder, sim->now_ms, allowed);
	return MAX(vms[vm].in_use, allowed[vm]);
}

static void invariants_check(struct sim *sim)
{
	for (uint32_t vm = 0; vm < VMS; vm++) {
		uint32_t usable = 0;

		for (uint32_t i = 0; i < HOLDERS; i++)
			usable += usable_slots(sim, &sim->processes[i], vm);
		ck_assert_uint_le(usable, SLOTS);
	}
}

static void step(struct sim *sim, bool arrivals)
{
	sim->now_ms += STEP_MS;
	messages_deliver(sim);
	for (uint32_t i = 0; i < HOLDERS; i++) {
		struct process *process = &sim->processes[i];

		if (arrivals && process->waiting < 50 &&
		    g_rand_int_range(sim->rand, 0, (gint32)(4 + i)) == 0)
			process->waiting++;
		if (!process_pause(sim, process))
			process_turn(sim, process);
	}
	invariants_check(sim);
}

/* Removes the owner; the other processes learn of it one after another. */
static void owner_remove(struct sim *sim)
{
	uint32_t owner =
		slot_owner_choose(POOL, sim->members, sim->member_count);

	sim->members[owner] = sim->members[--sim->member_count];
	for (uint32_t i = 0; i < HOLDERS; i++)
		sim->processes[i].learns_ms =
			sim->now_ms +
			(uint64_t)g_rand_int_range(sim->rand, 1, 200);
}

static bool is_idle(const struct sim *sim)
{
	uint32_t total = 0;
	uint32_t count;

	for (uint32_t i = 0; i < HOLDERS; i++) {
		const struct process *process = &sim->processes[i];
		const struct slot_vm *vms =
			slot_holder_vms(process->holder, &count);

		total += process->waiting;
		for (uint32_t vm = 0; vm < count; vm++)
			total += vms[vm].in_use;
	}
	return total == 0 && !any_is_paused(sim);
}

static void sim_settle(struct sim *sim)
{
	uint64_t until_ms = sim->now_ms + 60000;

	sim->loss = 0;
	while (!is_idle(sim) && sim->now_ms < until_ms)
		step(sim, false);
	ck_assert(is_idle(sim));
	/* Idle slots are returned, then no more messages are sent. */
	for (uint32_t i = 0; i < 2000 / STEP_MS; i++)
		step(sim, false);
	sim->sent = 0;
	for (uint32_t i = 0; i < 4000 / STEP_MS; i++)
		step(sim, false);
	ck_assert_uint_eq(sim->sent, 0);
}

START_TEST(random_sequences_never_use_more_than_the_slots)
{
	const char *fixed = g_getenv("SEED");
	uint32_t base =
		fixed ? (uint32_t)strtoul(fixed, NULL, 10) : g_random_int();

	printf("test_slot seed %u\n", base);
	for (uint32_t run = 0; run < 30; run++) {
		struct sim sim;

		sim_init(&sim, base + run, run % 3 * 0.15);
		for (uint32_t i = 0; i < 1200; i++) {
			bool change = i / 400 > HOLDERS - sim.member_count;

			if (change && !any_is_paused(&sim))
				owner_remove(&sim);
			step(&sim, true);
		}
		sim_settle(&sim);
		sim_clear(&sim);
	}
}
END_TEST

START_TEST(shares_add_up_to_the_slots)
{
	uint64_t members[40];

	for (uint32_t count = 1; count <= 40; count++) {
		uint32_t sum = 0;

		members[count - 1] = slot_key("entry") + count * 7919;
		for (uint32_t i = 0; i < count; i++)
			sum += slot_static_share(&pool_vms[0], members, count,
						 members[i]);
		ck_assert_uint_eq(sum, SLOTS);
	}
}
END_TEST

/* Returns a holder among two members whose owner is the other one. */
static struct slot_holder *holder_of_two(uint64_t now_ms)
{
	const uint64_t members[2] = { 1000, 1001 };
	uint32_t owner = slot_owner_choose(POOL, members, 2);
	struct slot_holder *holder =
		slot_holder_create(POOL, members[1 - owner], 1, 0);

	slot_holder_set_vms(holder, pool_vms, VMS);
	slot_holder_set_members(holder, members, 2, false, now_ms);
	return holder;
}

static uint32_t allowed_sum(struct slot_holder *holder, uint64_t now_ms)
{
	uint32_t allowed[VMS];

	slot_holder_allowed_slots(holder, now_ms, allowed);
	return allowed[0] + allowed[1] + allowed[2];
}

START_TEST(the_only_process_uses_all_slots_without_a_message)
{
	struct slot_holder *holder = slot_holder_create(POOL, 1000, 1, 0);
	const uint64_t self = 1000;
	struct slot_report report;

	slot_holder_set_vms(holder, pool_vms, VMS);
	slot_holder_set_members(holder, &self, 1, true, 5000);
	ck_assert_uint_eq(allowed_sum(holder, 5000), VMS * SLOTS);
	ck_assert(!slot_holder_poll(holder, 100, 5000, &report));
	slot_holder_destroy(holder);
}
END_TEST

START_TEST(a_silent_owner_causes_fallback_to_the_static_share)
{
	struct slot_holder *holder = holder_of_two(5000);
	struct slot_report report;
	uint64_t now_ms = 5000;

	ck_assert(slot_holder_poll(holder, 9, now_ms, &report));
	ck_assert_uint_eq(allowed_sum(holder, now_ms), 0);
	for (; now_ms < 5000 + SLOT_OWNER_TIMEOUT_MS; now_ms += 20)
		slot_holder_poll(holder, 9, now_ms, &report);
	ck_assert(slot_holder_is_fallback(holder, now_ms));
	ck_assert_uint_eq(allowed_sum(holder, now_ms), VMS * SLOTS / 2);
	slot_holder_destroy(holder);
}
END_TEST

START_TEST(only_a_grant_for_the_newest_report_is_applied)
{
	struct slot_holder *holder = holder_of_two(5000);
	struct slot_report report;
	struct slot_grant grant = { .incarnation = 1,
				    .version = 1,
				    .in_use_max = SLOT_IN_USE_UNLIMITED,
				    .count = 1,
				    .holdings = { { .vm = 11, .held = 3 } } };

	ck_assert(slot_holder_poll(holder, 5, 5000, &report));
	grant.sequence = report.sequence;
	ck_assert(slot_holder_poll(holder, 5, 5050, &report));
	ck_assert(!slot_holder_apply_grant(holder, &grant, 5051));
	grant.sequence = report.sequence;
	ck_assert(slot_holder_apply_grant(holder, &grant, 5051));
	ck_assert(!slot_holder_apply_grant(holder, &grant, 5052));
	ck_assert_uint_eq(allowed_sum(holder, 5052), 3);
	/* A lease that is not renewed expires. */
	ck_assert_uint_eq(allowed_sum(holder, 5050 + SLOT_HOLDER_LEASE_MS), 0);
	slot_holder_destroy(holder);
}
END_TEST

START_TEST(slots_that_waiting_requests_cannot_use_are_returned)
{
	struct slot_holder *holder = holder_of_two(5000);
	struct slot_report report;
	struct slot_grant grant = { .incarnation = 1,
				    .version = 1,
				    .in_use_max = SLOT_IN_USE_UNLIMITED,
				    .count = 1,
				    .holdings = { { .vm = 11, .held = 1 } } };

	ck_assert(slot_holder_poll(holder, 1, 5000, &report));
	grant.sequence = report.sequence;
	ck_assert(slot_holder_apply_grant(holder, &grant, 5002));
	/* The request still waits, so it cannot use a slot of that VM. */
	ck_assert(slot_holder_poll(holder, 1, 5010, &report));
	ck_assert_uint_eq(report.waiting, 1);
	ck_assert_uint_eq(report.count, 1);
	ck_assert_uint_eq(report.holdings[0].held, 0);
	ck_assert(report.holdings[0].avoid);
	slot_holder_destroy(holder);
}
END_TEST

START_TEST(a_full_pool_is_shared_in_proportion_to_demand)
{
	struct slot_owner *owner = slot_owner_create(POOL, 5000);
	const uint64_t members[2] = { 1, 2 };
	struct slot_report report = { .pool = POOL, .sequence = 1 };
	struct slot_grant grant;
	uint32_t kept = 0;

	slot_owner_set_vms(owner, pool_vms, VMS);
	slot_owner_set_members(owner, members, 2);
	for (uint32_t i = 0; i < 2; i++) {
		report.holder = members[i];
		report.waiting = i == 0 ? 60 : 20;
		slot_owner_record_report(owner, &report, 5000);
	}
	ck_assert_uint_eq(slot_owner_granted_slots(owner, 11), SLOTS);
	while (slot_owner_next_grant(owner, &grant)) {
		ck_assert_uint_eq(grant.in_use_max, grant.holder == 1 ? 9 : 3);
		kept += grant.in_use_max;
	}
	ck_assert_uint_eq(kept, VMS * SLOTS);
	slot_owner_destroy(owner);
}
END_TEST

/* An incarnation is the time of day at which a process started. */
START_TEST(a_process_restarted_with_its_clock_back_gets_slots_again)
{
	struct slot_owner *owner = slot_owner_create(POOL, 5000);
	const uint64_t members[1] = { 1 };
	struct slot_report report = { .pool = POOL,
				      .holder = 1,
				      .incarnation = 36000000,
				      .sequence = 9,
				      .waiting = 4 };
	struct slot_grant grant;
	uint64_t now_ms = 5000;

	slot_owner_set_vms(owner, pool_vms, VMS);
	slot_owner_set_members(owner, members, 1);
	slot_owner_record_report(owner, &report, now_ms);
	while (slot_owner_next_grant(owner, &grant))
		;
	report.incarnation = 1000;
	report.sequence = 1;
	slot_owner_record_report(owner, &report, now_ms);
	ck_assert(!slot_owner_next_grant(owner, &grant));
	for (; now_ms <= 5000 + SLOT_OWNER_LEASE_MS; now_ms += 100) {
		slot_owner_record_report(owner, &report, now_ms);
		slot_owner_tick(owner, now_ms);
	}
	slot_owner_record_report(owner, &report, now_ms);
	ck_assert(slot_owner_next_grant(owner, &grant));
	ck_assert_uint_eq(grant.incarnation, report.incarnation);
	ck_assert_uint_gt(grant.count, 0);
	slot_owner_destroy(owner);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("slot");
	TCase *cases = tcase_create("slot");
	SRunner *runner;
	int failed;

	tcase_add_test(cases, shares_add_up_to_the_slots);
	tcase_add_test(cases,
		       the_only_process_uses_all_slots_without_a_message);
	tcase_add_test(cases,
		       a_silent_owner_causes_fallback_to_the_static_share);
	tcase_add_test(cases, only_a_grant_for_the_newest_report_is_applied);
	tcase_add_test(cases,
		       slots_that_waiting_requests_cannot_use_are_returned);
	tcase_add_test(cases, a_full_pool_is_shared_in_proportion_to_demand);
	tcase_add_test(
		cases,
		a_process_restarted_with_its_clock_back_gets_slots_again);
	tcase_add_test(cases, random_sequences_never_use_more_than_the_slots);
	tcase_set_timeout(cases, 50);
	suite_add_tcase(suite, cases);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
