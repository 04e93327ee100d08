/**
 * @file test_backlog.c
 * @brief Tests that a job counts as waiting until a worker has begun it.
 *
 * That its start was sent shows nothing: a worker may refuse it, it may get
 * lost, or its worker may execute it after the owner has made that impossible.
 */
#include <check.h>
#include <stdlib.h>

#include "emu_expect.h"
#include "emu_private.h"

#define JOBS 12
/* A job has to be counted once it has waited for so long. */
#define COUNTED_MS 8000

static const struct emu_config fleet = {
	.seed = 15,
	.nodes = 3,
	.pools = 2,
	.vms_per_pool = 4,
	.vm_cpu_milli = 8000,
	.attempts = 3,
	.fixed_pools = true,
	.accounts = 1,
	.account = { .weight = 1 },
};

static const struct emu_job filling = {
	.pool = 1,
	.account = 1,
	.steps = 1,
	.tasks_per_step = 3,
	.cpu_milli = 8000,
	.task_ms = 60000,
};

static const struct emu_job small = {
	.pool = 1,
	.account = 1,
	.steps = 1,
	.tasks_per_step = 1,
	.cpu_milli = 500,
	.task_ms = 60000,
};

/* What keeps workers from beginning what they are ordered to start. */
enum prevention {
	PREVENTION_NONE,
	PREVENTION_REFUSED,
	PREVENTION_LOST,
	PREVENTION_LATE,
};

static const struct {
	enum prevention prevention;
	bool takeover;
	bool queue_dropped;
} rows[] = {
	{ PREVENTION_NONE, false, false },
	{ PREVENTION_NONE, true, false },
	{ PREVENTION_NONE, true, true },
	{ PREVENTION_REFUSED, false, false },
	{ PREVENTION_REFUSED, true, false },
	{ PREVENTION_REFUSED, true, true },
	{ PREVENTION_LOST, false, false },
	{ PREVENTION_LOST, true, false },
	{ PREVENTION_LOST, true, true },
	{ PREVENTION_LATE, false, false },
	{ PREVENTION_LATE, true, false },
	{ PREVENTION_LATE, true, true },
};

/* Returns the first VM of a pool that runs nothing. */
static uint32_t idle_vm(const struct emu *emu, uint32_t pool)
{
	for (uint32_t i = 0; i < emu->vm_count; i++) {
		if (emu->vms[i].pool == pool && emu->vms[i].runs->len == 0)
			return i;
	}
	ck_abort_msg("all VMs of pool %u are in use", pool);
}

static void starts_prevent(struct emu *emu, enum prevention prevention)
{
	if (prevention == PREVENTION_REFUSED)
		emu_worker_set_refusing(emu, idle_vm(emu, small.pool), true);
	else if (prevention == PREVENTION_LOST)
		emu_starts_set_lost(emu, 1000);
	else if (prevention == PREVENTION_LATE)
		emu_orders_set_delayed(emu, 1000);
}

static void owner_replace(struct emu *emu)
{
	uint32_t owner = emu_owner(emu);

	emu_node_kill(emu, owner);
	emu_advance(emu, 4000);
	emu_node_start(emu, owner);
	emu_advance(emu, 3000);
	ck_assert_uint_ne(emu_owner(emu), owner);
}

/* Returns how many jobs of the account the owner's metrics show as waiting. */
static uint32_t account_waiting(const struct emu *emu)
{
	const char *name = "account_jobs_waiting{account=\"account-1\"} ";
	g_autoptr(GString) out = g_string_new(NULL);
	const char *at;

	jobs_metrics(emu->nodes[emu_owner(emu)].service, out);
	at = strstr(out->str, name);
	ck_assert_ptr_nonnull(at);
	return (uint32_t)atoi(at + strlen(name));
}

static void states_expect(struct emu *emu, uint32_t first,
			  enum job_state expected)
{
	for (uint32_t i = first; i < first + JOBS; i++)
		emu_state_query(emu, i, i);
	emu_advance(emu, 500);
	for (uint32_t i = first; i < first + JOBS; i++) {
		const struct emu_job_state *state =
			g_ptr_array_index(emu->jobs, i);

		ck_assert_int_eq(state->state, expected);
	}
}

/* Each process, the states of the jobs and the figures of the account must tell
 * the same of jobs whose starts were sent but begun by no worker; also a
 * process that reads them from a record. */
START_TEST(test_job_waits_until_a_worker_has_begun_it)
{
	bool prevented = rows[_i].prevention != PREVENTION_NONE;
	uint32_t waiting = prevented ? JOBS : 0;
	struct emu *emu = emu_create(&fleet);
	uint32_t first;

	emu_advance(emu, 3000);
	emu_submit(emu, 0, &filling);
	emu_advance(emu, 1000);
	starts_prevent(emu, rows[_i].prevention);
	first = emu->jobs->len;
	for (uint32_t i = 0; i < JOBS; i++)
		emu_submit(emu, i, &small);
	emu_advance(emu, COUNTED_MS);
	if (rows[_i].queue_dropped)
		emu_queue_drop(emu, small.pool);
	if (rows[_i].queue_dropped)
		emu_advance(emu, 3000);
	if (rows[_i].takeover)
		owner_replace(emu);
	states_expect(emu, first, prevented ? JOB_PENDING : JOB_RUNNING);
	ck_assert_uint_eq(account_waiting(emu), waiting);
	for (uint32_t node = 0; node < fleet.nodes; node++) {
		emu->stats.backlog_told = UINT32_MAX;
		emu_backlog_query(emu, node, small.pool);
		emu_advance(emu, 500);
		ck_assert_uint_eq(emu->stats.backlog_told, waiting);
	}
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("backlog");
	TCase *tests = tcase_create("backlog");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tests, 60);
	tcase_add_loop_test(tests, test_job_waits_until_a_worker_has_begun_it,
			    0, (int)G_N_ELEMENTS(rows));
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
