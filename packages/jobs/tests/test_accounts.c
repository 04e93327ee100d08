/**
 * @file test_accounts.c
 * @brief Client accounts: keys, limits, shares, refusals, withdrawn keys.
 *
 * ACCOUNTS_TABLE prints the table of docs/BENCH.md instead of running tests.
 */
#include <check.h>
#include <glib.h>
#include <string.h>

#include "account_keys.h"
#include "config_watcher.h"
#include "emu_expect.h"
#include "emu_private.h"

#define STEP_MS 100
#define SETTLE_MS 75000

static const struct emu_config fleet = {
	.seed = 41,
	.nodes = 3,
	.pools = 1,
	.vms_per_pool = 10,
	.vm_cpu_milli = 8000,
	.attempts = 3,
	.accounts = 4,
	.account = { .weight = 2 },
};

static const struct emu_job task = {
	.steps = 1,
	.tasks_per_step = 4,
	.cpu_milli = 2000,
	.task_ms = 500,
};

START_TEST(test_keys)
{
	struct account_keys *keys = account_keys_create();
	char fingerprint[ACCOUNT_KEYS_FINGERPRINT_BYTES];
	char key[32];

	for (uint32_t i = 0; i < 40000; i++) {
		g_snprintf(key, sizeof(key), "key-%u", i);
		account_keys_add(keys, key, i / 4);
	}
	account_keys_seal(keys);
	ck_assert_int_eq(account_keys_find(keys, "key-39999"), 9999);
	ck_assert_int_eq(account_keys_find(keys, "key-0"), 0);
	ck_assert_int_eq(account_keys_find(keys, "key-"), -1);
	ck_assert_int_eq(account_keys_find(keys, "key-40000"), -1);
	account_keys_destroy(keys);
	account_keys_fingerprint("key-1", fingerprint);
	ck_assert_uint_eq(strlen(fingerprint), 8);
	ck_assert_ptr_null(strstr(fingerprint, "key"));
}
END_TEST

static void states_query(struct emu *emu, uint32_t jobs)
{
	for (uint32_t i = 0; i < jobs; i++)
		emu_state_query(emu, i % fleet.nodes, i);
}

/* Jobs a second of each account, and the tasks of each job of the first one, 0
 * for the usual number. */
struct load {
	uint32_t per_s[EMU_ACCOUNTS_MAX];
	uint32_t first_width;
};

/* Submits jobs of each account for a time; returns their number. */
static uint32_t load_run(struct emu *emu, uint32_t ms, const struct load *load,
			 void (*disturb)(struct emu *emu, uint32_t step))
{
	/* The accounts submit one after the other. */
	uint32_t due[EMU_ACCOUNTS_MAX] = { 800, 600, 400, 200 };
	uint32_t jobs = 0;

	for (uint32_t step = 0; step < ms / STEP_MS; step++) {
		for (uint32_t i = 0; i < EMU_ACCOUNTS_MAX; i++) {
			struct emu_job job = task;

			job.account = i + 1;
			if (i == 0 && load->first_width > 0)
				job.tasks_per_step = load->first_width;
			due[i] += load->per_s[i] * STEP_MS;
			for (; due[i] >= 1000; due[i] -= 1000)
				jobs = 1 + emu_submit(emu, step % fleet.nodes,
						      &job);
		}
		if (disturb)
			disturb(emu, step);
		emu_advance(emu, STEP_MS);
		if (step % 3 == 0)
			states_query(emu, jobs);
	}
	return jobs;
}

/* Lets jobs end, and asks for their states meanwhile. */
static void settle(struct emu *emu, uint32_t jobs, uint32_t ms)
{
	for (uint32_t elapsed_ms = 0; elapsed_ms < ms; elapsed_ms += 300) {
		emu_advance(emu, 300);
		states_query(emu, jobs);
	}
	emu_advance(emu, 100);
}

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
	emu_orders_set_delayed(emu, step < 80 ? 100 : 0);
}

static void workers_cut(struct emu *emu, uint32_t step)
{
	emu_worker_set_partitioned(emu, step / 20 % 10, step % 20 < 15);
}

static void limit_lower(struct emu *emu, uint32_t step)
{
	if (step == 30)
		emu_account_set(emu, 1, (struct emu_account_config){ 2, 6000 });
	if (step == 70)
		emu_account_set(emu, 1,
				(struct emu_account_config){ 2, 24000 });
}

static void owner_kill_and_lower(struct emu *emu, uint32_t step)
{
	limit_lower(emu, step);
	owner_kill(emu, step);
}

/* Load: an account of 24 cores wants all 80, in 10 s, beside another one. */
static void (*const disturbances[])(struct emu *emu, uint32_t step) = {
	NULL,	     owner_kill,  orders_delay,
	workers_cut, limit_lower, owner_kill_and_lower,
};

START_TEST(test_limit_holds)
{
	static const struct load load = { .per_s = { 12, 1 } };
	struct emu_config config = fleet;
	struct emu_stats stats;
	struct emu *emu;
	uint32_t jobs;

	config.seed += (uint32_t)_i;
	config.account.cpu_limit_milli = 24000;
	emu = emu_create(&config);
	emu_advance(emu, 3000);
	jobs = load_run(emu, 10000, &load, disturbances[_i]);
	settle(emu, jobs, SETTLE_MS);
	emu_account_stats(emu, 2, &stats);
	ck_assert_uint_eq(stats.succeeded, stats.accepted);
	/* Nothing of the other account waits for the first one's limit. */
	if (!disturbances[_i])
		ck_assert_uint_eq(stats.on_time, stats.submitted);
	emu_account_stats(emu, 1, &stats);
	ck_assert_uint_eq(stats.succeeded, stats.accepted);
	ck_assert_uint_gt(stats.accepted, 20);
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}
END_TEST

static const struct load calm = { .per_s = { 2, 2, 2, 2 } };
/* Two accounts at seven times their rate, which fill the pool several times
 * over. */
static const struct load loud = { .per_s = { 14, 14, 2, 2 } };
/* One account stays within its rate, but each of its jobs is as wide as the
 * pool. */
static const struct load wide = { .per_s = { 2, 2, 2, 2 }, .first_width = 40 };

/* Runs a load of four accounts of equal weight, 0 for a configuration without
 * accounts. */
static void accounts_run(const struct load *load, double weight,
			 struct emu_stats out[4])
{
	struct emu_config config = fleet;
	struct emu *emu;

	config.accounts = weight > 0 ? 4 : 0;
	config.account.weight = weight;
	emu = emu_create(&config);
	emu_advance(emu, 3000);
	settle(emu, load_run(emu, 12000, load, NULL), 6000);
	for (uint32_t i = 0; i < 4; i++)
		emu_account_stats(emu, i + 1, &out[i]);
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}

/* The accounts that stay within their rate must be served within 0.05 of a day
 * without the others. */
static void expect_served(const struct load *load, uint32_t first_quiet)
{
	struct emu_stats with[4];
	struct emu_stats without[4];

	accounts_run(load, 2, with);
	accounts_run(&calm, 2, without);
	for (uint32_t i = first_quiet; i < 4; i++) {
		ck_assert_msg(with[i].on_time * 100 >= without[i].on_time * 95,
			      "account-%u: on time %u, without the others %u, "
			      "of %u",
			      i + 1, with[i].on_time, without[i].on_time,
			      with[i].submitted);
		ck_assert_uint_eq(with[i].refused, 0);
	}
}

/* A job is cancelled while no process is the owner. The next one must count its
 * runs until they have stopped, although no worker has reported them yet. */
START_TEST(test_limit_holds_when_cancelled_in_takeover)
{
	struct emu_config config = fleet;
	struct emu_job job = task;
	struct emu *emu;
	uint32_t cancelled;
	uint32_t owner;

	config.account.cpu_limit_milli = 9000;
	emu = emu_create(&config);
	emu_advance(emu, 3000);
	job.account = 1;
	job.long_running = true;
	cancelled = emu_submit(emu, 0, &job);
	emu_advance(emu, 1000);
	job.long_running = false;
	for (uint32_t i = 0; i < 6; i++)
		emu_submit(emu, i % config.nodes, &job);
	emu_advance(emu, 500);
	owner = emu_owner(emu);
	emu_node_kill(emu, owner);
	emu_cancel(emu, owner + 1, cancelled);
	emu_advance(emu, 3000);
	emu_node_start(emu, owner);
	emu_settle(emu, 7, 15000);
	emu_destroy(emu);
}
END_TEST

/* A worker that runs a task does not answer the next owner, which knows it from
 * the roster only, or as one that has shrunk since. */
START_TEST(test_limit_holds_beside_silent_worker)
{
	bool shrinks = _i == 1;
	struct emu_config config = fleet;
	struct emu_job job = task;
	g_autofree char *entry = NULL;
	struct emu *emu;
	uint32_t owner;
	uint32_t vm;

	config.account.cpu_limit_milli = 5000;
	config.vms_per_pool = 3;
	job.account = 1;
	job.tasks_per_step = 1;
	job.cpu_milli = 6000;
	job.task_ms = 20000;
	emu = emu_create(&config);
	emu_advance(emu, 3000);
	vm = emu_submit(emu, 0, &job);
	emu_advance(emu, 1000);
	vm = emu_vm_running(emu, vm);
	if (shrinks) {
		emu_worker_set_cpu(emu, vm, 0);
		emu_advance(emu, 2000);
		job.cpu_milli = 500;
	}
	owner = emu_owner(emu);
	for (uint32_t i = 0; i < config.nodes; i++)
		emu_link_set_cut(emu, i, vm, i != owner);
	emu_node_kill(emu, owner);
	entry = g_strdup_printf("workers/w-%u-1", vm);
	for (uint32_t ms = 0; ms < 3500; ms += 10) {
		if (!shrinks)
			emu_operator_write(emu, entry, NULL);
		emu_advance(emu, 10);
		if (ms == 500)
			emu_submit(emu, owner + 1, &job);
	}
	emu_expect_no_violation(emu);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_quiet_accounts_are_served_beside_loud_ones)
{
	expect_served(&loud, 2);
}
END_TEST

START_TEST(test_wide_jobs_leave_others_their_share)
{
	expect_served(&wide, 1);
}
END_TEST

/* Compares the order by deadline alone, shares alone (rates are never
 * exceeded) and both, on the loads of the tests. */
static void table_print(void)
{
	static const struct {
		const char *name;
		const struct load *load;
		uint32_t first_quiet;
	} loads[] = { { "two at seven times their rate", &loud, 2 },
		      { "one with wide jobs", &wide, 1 } };
	static const struct {
		const char *name;
		double weight;
	} policies[] = { { "deadline", 0 },
			 { "shares", 2000 },
			 { "shares and rates", 2 } };

	puts("load | policy | quiet accounts: in time of | others: in time of, "
	     "refused");
	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(policies); j++) {
			struct emu_stats out[4];
			struct emu_stats sums[2] = { 0 };

			accounts_run(loads[i].load, policies[j].weight, out);
			for (uint32_t k = 0; k < 4; k++) {
				struct emu_stats *sum =
					&sums[k >= loads[i].first_quiet];

				sum->on_time += out[k].on_time;
				sum->submitted += out[k].submitted;
				sum->refused += out[k].refused;
			}
			printf("%s | %s | %u of %u | %u of %u, %u\n",
			       loads[i].name, policies[j].name, sums[1].on_time,
			       sums[1].submitted, sums[0].on_time,
			       sums[0].submitted, sums[0].refused);
		}
	}
}

struct config_watch {
	struct emu *emu;
	struct platform *store;
	struct config_watcher *watcher;
};

static void on_config(void *data, struct catalogue *catalogue)
{
}

/* Opens a watcher of a process that does not run the job service. */
static void watch_open(struct config_watch *watch)
{
	struct emu_config config = fleet;
	struct platform_config address = { .rate_per_s = 1000,
					   .rate_burst = 1000 };

	config.nodes = 0;
	watch->emu = emu_create(&config);
	address.ip = emu_platform_open(watch->emu, NULL, 0);
	ck_assert_int_eq(platform_create_with_ops(emu_loop(watch->emu),
						  &emu_store_ops, &address,
						  &watch->store),
			 ERR_NONE);
	watch->watcher =
		config_watcher_create(emu_loop(watch->emu), watch->store,
				      &emu_adapter_ops, 5000, on_config, NULL);
}

static void watch_close(struct config_watch *watch)
{
	config_watcher_destroy(watch->watcher);
	platform_destroy(watch->store);
	emu_destroy(watch->emu);
}

/* A process that the store does not serve any more accepts keys for as long as
 * a withdrawn one may be used, less a margin, unless another process confirms
 * its version. */
START_TEST(test_keys_are_refused_behind_a_cut)
{
	struct config_watch watch;
	uint64_t cut_ms;

	watch_open(&watch);
	ck_assert(!config_watcher_allows_keys(watch.watcher));
	emu_advance(watch.emu, 2000);
	ck_assert(config_watcher_allows_keys(watch.watcher));
	emu_store_set_mode(watch.emu, 0,
			   _i ? EMU_STORE_UNRESPONSIVE : EMU_STORE_UNAVAILABLE);
	cut_ms = emu_time_ms(watch.emu);
	emu_advance(watch.emu, 3000);
	ck_assert(config_watcher_allows_keys(watch.watcher));
	emu_advance(watch.emu, 2000);
	ck_assert(!config_watcher_allows_keys(watch.watcher));
	/* Another process had read the version 500 ms before it was asked. */
	config_watcher_confirm(watch.watcher, 1, cut_ms + 5000, 500);
	emu_advance(watch.emu, 3900);
	ck_assert(config_watcher_allows_keys(watch.watcher));
	emu_advance(watch.emu, 200);
	ck_assert(!config_watcher_allows_keys(watch.watcher));
	emu_store_set_mode(watch.emu, 0, EMU_STORE_OK);
	emu_advance(watch.emu, 2000);
	ck_assert(config_watcher_allows_keys(watch.watcher));
	watch_close(&watch);
}
END_TEST

/* Without accounts no key can be withdrawn. */
START_TEST(test_configuration_without_accounts_needs_no_confirmation)
{
	struct config_watch watch;

	watch_open(&watch);
	emu_operator_write(watch.emu, "config", "9 1 3");
	emu_advance(watch.emu, 2000);
	emu_store_set_mode(watch.emu, 0, EMU_STORE_UNAVAILABLE);
	emu_advance(watch.emu, 20000);
	ck_assert(config_watcher_allows_keys(watch.watcher));
	watch_close(&watch);
}
END_TEST

/* Neither a silent watch nor a configuration that cannot be parsed confirms
 * what is in force. */
START_TEST(test_unusable_configuration_confirms_nothing)
{
	struct config_watch watch;

	watch_open(&watch);
	emu_advance(watch.emu, 2000);
	ck_assert(config_watcher_allows_keys(watch.watcher));
	emu_operator_write(watch.emu, "config", "?");
	emu_advance(watch.emu, 5000);
	ck_assert(!config_watcher_allows_keys(watch.watcher));
	emu_config_write(watch.emu);
	emu_advance(watch.emu, 1000);
	ck_assert(config_watcher_allows_keys(watch.watcher));
	watch_close(&watch);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("accounts");
	TCase *tests = tcase_create("accounts");
	SRunner *runner = srunner_create(suite);
	int failed;

	if (g_getenv("ACCOUNTS_TABLE")) {
		table_print();
		srunner_free(runner);
		return 0;
	}
	tcase_set_timeout(tests, 60);
	tcase_add_test(tests, test_keys);
	tcase_add_loop_test(tests, test_limit_holds, 0,
			    G_N_ELEMENTS(disturbances));
	tcase_add_test(tests, test_limit_holds_when_cancelled_in_takeover);
	tcase_add_loop_test(tests, test_limit_holds_beside_silent_worker, 0, 2);
	tcase_add_test(tests, test_quiet_accounts_are_served_beside_loud_ones);
	tcase_add_test(tests, test_wide_jobs_leave_others_their_share);
	tcase_add_loop_test(tests, test_keys_are_refused_behind_a_cut, 0, 2);
	tcase_add_test(
		tests,
		test_configuration_without_accounts_needs_no_confirmation);
	tcase_add_test(tests, test_unusable_configuration_confirms_nothing);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
