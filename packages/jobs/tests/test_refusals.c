/**
 * @file test_refusals.c
 * @brief A store that refuses what some jobs or workers make the owner write.
 */
#include <check.h>
#include <stdlib.h>

#include "emu_expect.h"

#define JOBS 60
/* Every how many jobs one is refused, and how its definition is recognized. */
#define REFUSED_EVERY 6
#define REFUSED_CPU_MILLI 777
#define REFUSED_TEXT "\"cpu_milli\":777"
#define RANDOM_REFUSED_PERMILLE 200
#define RANDOM_SEEDS 20
/* Room for some of the workers in the roster, encoded as base64. */
#define SMALL_VALUE_BYTES 4096
/* No room for a job. */
#define TOO_SMALL_VALUE_BYTES 2700

static const struct emu_config fleet = {
	.seed = 11,
	.nodes = 3,
	.pools = 2,
	.vms_per_pool = 6,
	.spare_vms = 2,
	.vm_cpu_milli = 8000,
	.attempts = 3,
};

static const struct emu_job batch = {
	.steps = 2,
	.tasks_per_step = 3,
	.cpu_milli = 500,
	.task_ms = 200,
};

static void jobs_submit(struct emu *emu)
{
	for (uint32_t i = 0; i < JOBS; i++) {
		struct emu_job next = batch;

		next.pool = i % fleet.pools;
		if (i % REFUSED_EVERY == 0)
			next.cpu_milli = REFUSED_CPU_MILLI;
		emu_submit(emu, i % fleet.nodes, &next);
		emu_advance(emu, 40);
	}
}

static void jobs_check(struct emu *emu, struct emu_stats *stats)
{
	emu_settle(emu, JOBS, 20000);
	emu_stats(emu, stats);
}

START_TEST(test_refused_submissions_do_not_hold_up_others)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats stats;

	emu_advance(emu, 3000);
	emu_store_set_refused(emu, REFUSED_TEXT);
	jobs_submit(emu);
	jobs_check(emu, &stats);
	ck_assert_uint_eq(stats.refused, JOBS / REFUSED_EVERY);
	ck_assert_uint_eq(stats.accepted, JOBS - JOBS / REFUSED_EVERY);
	ck_assert_uint_eq(stats.unfinished, 0);
	emu_destroy(emu);
}
END_TEST

/* A lost answer or a late execution must not make a refusal untrue. */
START_TEST(test_refusals_beside_lost_answers_are_true)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats stats;

	emu_advance(emu, 3000);
	emu_store_set_refused(emu, REFUSED_TEXT);
	emu_store_set_write_faults(emu, 100, 100);
	jobs_submit(emu);
	emu_store_set_write_faults(emu, 0, 0);
	jobs_check(emu, &stats);
	ck_assert_uint_eq(stats.unfinished, 0);
	emu_destroy(emu);
}
END_TEST

/* Transactions are refused at random, beside lost answers, late executions,
 * crashed workers and a killed owner. */
START_TEST(test_random_refusals_lose_nothing)
{
	struct emu_config config = fleet;
	struct emu *emu;
	struct emu_stats stats;

	config.seed = (uint32_t)_i + 1;
	emu = emu_create(&config);
	emu_advance(emu, 3000);
	emu_store_set_refused_permille(emu, RANDOM_REFUSED_PERMILLE);
	emu_store_set_write_faults(emu, 50, 50);
	for (uint32_t i = 0; i < JOBS; i++) {
		struct emu_job next = batch;

		next.pool = i % config.pools;
		emu_submit(emu, i % config.nodes, &next);
		emu_advance(emu, 60);
		if (i % 20 == 10)
			emu_vm_crash(emu, i % 12, 500);
		if (i == JOBS / 2)
			emu_node_kill(emu, emu_owner(emu));
	}
	emu_advance(emu, 3000);
	emu_store_set_refused_permille(emu, 0);
	emu_store_set_write_faults(emu, 0, 0);
	jobs_check(emu, &stats);
	ck_assert_uint_gt(emu_store_refusals(emu), 0);
	ck_assert_uint_gt(stats.accepted, 0);
	ck_assert_uint_eq(stats.unfinished, 0);
	emu_destroy(emu);
}
END_TEST

/* Sets the size of a value, which processes read when they start. */
static void value_bytes_set(struct emu *emu, const struct emu_config *config,
			    uint32_t bytes)
{
	emu_store_set_value_bytes(emu, bytes);
	for (uint32_t i = 0; i < config->nodes; i++)
		emu_node_kill(emu, i);
	for (uint32_t i = 0; i < config->nodes; i++)
		emu_node_start(emu, i);
	emu_advance(emu, 10000);
}

START_TEST(test_jobs_that_fit_no_value_are_not_sent)
{
	struct emu *emu = emu_create(&fleet);
	struct emu_stats stats;

	value_bytes_set(emu, &fleet, TOO_SMALL_VALUE_BYTES);
	jobs_submit(emu);
	jobs_check(emu, &stats);
	ck_assert_uint_eq(stats.refused, JOBS);
	ck_assert_uint_eq(emu_store_refusals(emu), 0);
	emu_destroy(emu);
}
END_TEST

START_TEST(test_roster_stays_within_a_value)
{
	struct emu_config large = fleet;
	struct emu *emu;
	struct emu_stats stats;

	large.vms_per_pool = 30;
	emu = emu_create(&large);
	value_bytes_set(emu, &large, SMALL_VALUE_BYTES);
	emu_node_kill(emu, emu_owner(emu));
	emu_advance(emu, 10000);
	jobs_submit(emu);
	jobs_check(emu, &stats);
	ck_assert_uint_eq(emu_store_refusals(emu), 0);
	ck_assert_uint_ge(stats.accepted, JOBS / 2);
	ck_assert_uint_eq(stats.unfinished, 0);
	emu_destroy(emu);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("refusals");
	TCase *tests = tcase_create("refusals");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tests, 60);
	tcase_add_test(tests, test_refused_submissions_do_not_hold_up_others);
	tcase_add_test(tests, test_refusals_beside_lost_answers_are_true);
	tcase_add_loop_test(tests, test_random_refusals_lose_nothing, 0,
			    RANDOM_SEEDS);
	tcase_add_test(tests, test_jobs_that_fit_no_value_are_not_sent);
	tcase_add_test(tests, test_roster_stays_within_a_value);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
