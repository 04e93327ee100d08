/**
 * @file test_election.c
 * @brief Tests of the election of the owner.
 */
#include <check.h>

#include "emu_expect.h"

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

int main(void)
{
	Suite *suite = suite_create("election");
	TCase *tests = tcase_create("election");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_loop_test(tests, test_owner_is_known_by_any_name, 0, 4);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
