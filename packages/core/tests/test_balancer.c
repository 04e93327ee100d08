#include <check.h>
#include <glib.h>
#include <stdlib.h>

#include "balancer.h"

#define SERVERS 9
#define STEPS 20000

static struct balancer *pool_create(uint32_t count)
{
	struct balancer *balancer = balancer_create(count);

	for (uint32_t i = 0; i < count; i++) {
		balancer->servers[i].pool = 0;
		balancer->servers[i].serving = true;
		balancer->servers[i].slots = 8;
		balancer->servers[i].allowed_slots = 8;
	}
	return balancer;
}

static uint32_t restricted_count(const struct balancer *balancer)
{
	uint32_t restricted = 0;

	for (uint32_t i = 0; i < balancer->count; i++)
		restricted +=
			outlier_is_restricted(&balancer->servers[i].health);
	return restricted;
}

START_TEST(at_most_half_of_a_pool_is_ejected)
{
	uint32_t ejections = 0;

	for (guint32 seed = 1; seed <= 50; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		uint32_t count = (uint32_t)g_rand_int_range(rand, 1, SERVERS);
		struct balancer *balancer = pool_create(count);
		uint64_t now_ms = 1;

		for (uint32_t step = 0; step < STEPS; step++) {
			uint32_t vm = (uint32_t)g_rand_int_range(rand, 0,
								 (gint32)count);
			enum outlier_result result =
				(enum outlier_result)g_rand_int_range(rand, 0,
								      3);

			now_ms += (uint64_t)g_rand_int_range(rand, 0, 50);
			ejections += balancer_record_result(
				balancer, vm, result, now_ms, now_ms,
				g_rand_int(rand));
			/*
			 * Every ck_assert that holds writes to Check's runner,
			 * which is slow.
			 */
			if (restricted_count(balancer) > count / 2)
				ck_abort_msg("seed %u", seed);
		}
		balancer_destroy(balancer);
		g_rand_free(rand);
	}
	ck_assert_uint_gt(ejections, 1000);
}
END_TEST

START_TEST(a_pool_that_fails_as_a_whole_keeps_its_servers)
{
	struct balancer *balancer = pool_create(4);

	for (uint64_t now_ms = 1; now_ms < 1000; now_ms++)
		balancer_record_result(balancer, now_ms % 4, OUTLIER_FAILED,
				       now_ms, now_ms, 0);
	ck_assert_uint_eq(restricted_count(balancer), 0);
	balancer_destroy(balancer);
}
END_TEST

START_TEST(a_failing_server_returns_by_one_probe)
{
	struct balancer *balancer = pool_create(4);
	struct balancer_server *server = &balancer->servers[0];
	uint64_t until_ms;

	for (uint64_t now_ms = 1; now_ms <= 3; now_ms++) {
		balancer_record_result(balancer, 1, OUTLIER_ANSWERED, now_ms,
				       now_ms, 0);
		balancer_record_result(balancer, 0, OUTLIER_FAILED, now_ms,
				       now_ms, 0);
	}
	ck_assert(!balancer_server_is_ready(server, 4));
	until_ms = server->health.ejected_until_ms;
	/* A response to a request from before the ejection does not end it. */
	balancer_record_result(balancer, 0, OUTLIER_ANSWERED, 2, 4, 0);
	ck_assert(!balancer_server_is_ready(server, 4));
	ck_assert(balancer_server_is_ready(server, until_ms));
	server->in_flight = 1;
	ck_assert(!balancer_server_is_ready(server, until_ms));
	server->in_flight = 0;
	balancer_record_result(balancer, 0, OUTLIER_FAILED, until_ms, until_ms,
			       0);
	ck_assert_uint_ge(server->health.ejected_until_ms - until_ms,
			  2 * (until_ms - 3));
	until_ms = server->health.ejected_until_ms;
	balancer_record_result(balancer, 0, OUTLIER_ANSWERED, until_ms,
			       until_ms, 0);
	ck_assert(balancer_server_is_ready(server, until_ms));
	ck_assert(!outlier_is_restricted(&server->health));
	balancer_destroy(balancer);
}
END_TEST

START_TEST(slow_answers_count_less_than_failures)
{
	struct balancer *balancer = pool_create(4);

	for (uint64_t now_ms = 1; now_ms <= 6; now_ms++) {
		ck_assert(!outlier_is_restricted(&balancer->servers[0].health));
		balancer_record_result(balancer, 1, OUTLIER_ANSWERED, now_ms,
				       now_ms, 0);
		balancer_record_result(balancer, 0, OUTLIER_SLOW, now_ms,
				       now_ms, 0);
	}
	ck_assert(outlier_is_restricted(&balancer->servers[0].health));
	balancer_destroy(balancer);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("balancer");
	TCase *cases = tcase_create("balancer");
	SRunner *runner;
	int failed;

	tcase_add_test(cases, at_most_half_of_a_pool_is_ejected);
	tcase_add_test(cases, a_pool_that_fails_as_a_whole_keeps_its_servers);
	tcase_add_test(cases, a_failing_server_returns_by_one_probe);
	tcase_add_test(cases, slow_answers_count_less_than_failures);
	suite_add_tcase(suite, cases);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
