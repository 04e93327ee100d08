/**
 * @file test_election.c
 * @brief Tests of the election of the owner.
 */
#include <check.h>

#include "election.h"
#include "emu_expect.h"
#include "emu_private.h"

static const struct emu_config fleet = {
	.seed = 3,
	.nodes = 3,
	.pools = 1,
	.vms_per_pool = 2,
	.spare_vms = 1,
	.vm_cpu_milli = 8000,
	.attempts = 3,
};

static const struct emu_job batch = {
	.steps = 1,
	.tasks_per_step = 2,
	.cpu_milli = 1000,
	.task_ms = 300,
};

/* Submits a job to each process, or in place of one that is dead to another;
 * all but the owner forward theirs. */
static void expect_service(struct emu *emu, uint32_t jobs_before)
{
	struct emu_stats stats;

	for (uint32_t i = 0; i < fleet.nodes; i++)
		emu_submit(emu, i, &batch);
	emu_advance(emu, 3000);
	emu_stats(emu, &stats);
	ck_assert_uint_eq(stats.accepted, jobs_before + fleet.nodes);
	emu_expect_no_violation(emu);
}

/* Names that JSON has to escape, and one of the greatest length. */
START_TEST(test_owner_is_known_by_any_name)
{
	static const char *const prefixes[] = {
		"vm \"quoted\" ",
		"vm\\",
		"{\"id\":\"",
		"n-123456789-123456789-123456789-123456789-123456789-"
		"123456789-",
	};
	struct emu_config config = fleet;
	struct emu *emu;
	uint32_t owner;

	config.node_prefix = prefixes[_i];
	emu = emu_create(&config);
	emu_advance(emu, 2000);
	owner = emu_owner(emu);
	ck_assert_uint_lt(owner, fleet.nodes);
	expect_service(emu, 0);
	emu_node_kill(emu, owner);
	emu_advance(emu, 3000);
	ck_assert_uint_lt(emu_owner(emu), fleet.nodes);
	ck_assert_uint_ne(emu_owner(emu), owner);
	expect_service(emu, fleet.nodes);
	emu_destroy(emu);
}
END_TEST

#define TTL_S 1
#define WRITE_REVISION 7

/* A store whose watch never answers, which renews no lease, and which answers a
 * transaction only when told to. */
struct slow_store {
	struct emu emu;
	struct platform *platform;
	int64_t leases;
	platform_cb watch_cb;
	void *watch_data;
	platform_cb txn_cb;
	void *txn_data;
};

static void slow_range(void *self, const char *key, bool prefix, platform_cb cb,
		       void *data)
{
	cb(data, ERR_NONE,
	   &(struct platform_result){ .revision = 1, .succeeded = true });
}

static void slow_watch(void *self, const char *prefix, int64_t after_revision,
		       uint32_t wait_ms, platform_cb cb, void *data)
{
	struct slow_store *store = self;

	store->watch_cb = cb;
	store->watch_data = data;
}

static void slow_txn(void *self, const struct platform_txn *txn, platform_cb cb,
		     void *data)
{
	struct slow_store *store = self;

	ck_assert(!store->txn_cb);
	store->txn_cb = cb;
	store->txn_data = data;
}

static void slow_grant(void *self, uint32_t ttl_s, platform_lease_cb cb,
		       void *data)
{
	cb(data, ERR_NONE, ++((struct slow_store *)self)->leases, ttl_s);
}

static void slow_renew(void *self, int64_t lease, platform_lease_cb cb,
		       void *data)
{
	cb(data, ERR_UNAVAILABLE, lease, 0);
}

static enum err_kind
slow_create(struct loop *loop, const struct platform_config *config, void **out)
{
	*out = (void *)config->ip;
	return ERR_NONE;
}

static void slow_destroy(void *self)
{
}

static void on_won(void *data, int64_t revision)
{
}

static void on_owner(void *data, const struct election_owner *owner)
{
}

static void on_lost(void *data)
{
}

/* The answer to the write of the key arrives after the lease that the key is
 * bound to has ended, and the process has another one: its lease does not prove
 * that it is the owner. */
START_TEST(test_key_of_earlier_lease_proves_nothing)
{
	static const struct platform_ops ops = {
		.create = slow_create,
		.destroy = slow_destroy,
		.range = slow_range,
		.watch = slow_watch,
		.txn = slow_txn,
		.lease_grant = slow_grant,
		.lease_keep_alive = slow_renew,
	};
	static const struct election_ops callbacks = { on_won, on_owner,
						       on_lost };
	const struct election_config config = { "vm-1", "10.0.0.1", 1, TTL_S,
						0 };
	const struct platform_result written = { .revision = WRITE_REVISION,
						 .succeeded = true };
	struct slow_store store = { .emu.loop = loop_create() };
	const struct platform_config platform = { .ip = (const char *)&store,
						  .rate_per_s = 1000,
						  .rate_burst = 1000 };
	bool answers_late = _i == 1;
	struct election *election;

	ck_assert_int_eq(platform_create_with_ops(store.emu.loop, &ops,
						  &platform, &store.platform),
			 ERR_NONE);
	election = election_create(store.emu.loop, store.platform, &config,
				   &callbacks, NULL);
	emu_advance(&store.emu, 500);
	ck_assert(store.txn_cb && store.leases == 1);
	if (answers_late)
		emu_advance(&store.emu, TTL_S * 1000);
	ck_assert_int_eq(store.leases, answers_late ? 2 : 1);
	store.txn_cb(store.txn_data, ERR_NONE, &written);
	ck_assert(election_holds_lease(election) == !answers_late);
	election_destroy(election);
	store.watch_cb(store.watch_data, ERR_CUT, NULL);
	platform_destroy(store.platform);
	loop_destroy(store.emu.loop);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("election");
	TCase *tests = tcase_create("election");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_loop_test(tests, test_owner_is_known_by_any_name, 0, 4);
	tcase_add_loop_test(tests, test_key_of_earlier_lease_proves_nothing, 0,
			    2);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
