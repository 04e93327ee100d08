#include <check.h>
#include <glib.h>
#include <stdlib.h>

#include "retry.h"

#define RUNS 20000

/* Runs one request with random failures; returns how often it was sent. */
static uint32_t request_run(GRand *rand, struct retry_budget *budget,
			    bool idempotent)
{
	struct retry_request request = { .idempotent = idempotent,
					 .deadline_ms = 1000 };
	enum retry_decision decision;
	uint64_t now_ms = 0;
	uint32_t sent = 0;

	retry_budget_deposit(budget);
	do {
		enum retry_failure failure =
			(enum retry_failure)g_rand_int_range(rand, 0, 3);

		request.attempts++;
		now_ms += (uint64_t)g_rand_int_range(rand, 0, 500);
		if (failure != RETRY_FAILURE_NOT_SENT)
			sent++;
		decision = retry_decide(&request, budget, failure, now_ms);
		ck_assert(decision != RETRY_ALLOWED || now_ms < 1000);
		ck_assert_uint_le(request.attempts, 3);
	} while (decision == RETRY_ALLOWED);
	return sent;
}

START_TEST(a_request_that_is_not_idempotent_is_sent_at_most_once)
{
	struct retry_budget budget;

	for (guint32 seed = 1; seed <= RUNS; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);

		retry_budget_init(&budget, 100, 10);
		ck_assert_msg(request_run(rand, &budget, false) <= 1, "seed %u",
			      seed);
		ck_assert_msg(request_run(rand, &budget, true) <= 2, "seed %u",
			      seed);
		g_rand_free(rand);
	}
}
END_TEST

START_TEST(retries_are_a_share_of_first_attempts)
{
	struct retry_budget budget;
	uint32_t retries = 0;

	retry_budget_init(&budget, 100, 10);
	for (uint32_t i = 0; i < RUNS; i++) {
		struct retry_request request = { .idempotent = true,
						 .attempts = 1,
						 .deadline_ms = 1 };

		retry_budget_deposit(&budget);
		if (retry_decide(&request, &budget, RETRY_FAILURE_SENT, 0) ==
		    RETRY_ALLOWED)
			retries++;
	}
	ck_assert_uint_le(retries, RUNS / 10 + 10);
	ck_assert_uint_ge(retries, RUNS / 10);
}
END_TEST

START_TEST(a_request_that_failed_on_two_servers_is_not_retried)
{
	struct retry_request request = { .idempotent = true,
					 .attempts = 1,
					 .deadline_ms = 1 };
	struct retry_budget budget;

	retry_budget_init(&budget, 100, 10);
	ck_assert_int_eq(retry_decide(&request, &budget, RETRY_FAILURE_SENT, 0),
			 RETRY_ALLOWED);
	ck_assert_int_eq(retry_decide(&request, &budget, RETRY_FAILURE_SENT, 0),
			 RETRY_DENIED_POISON);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("retry");
	TCase *cases = tcase_create("retry");
	SRunner *runner;
	int failed;

	tcase_add_test(cases,
		       a_request_that_is_not_idempotent_is_sent_at_most_once);
	tcase_add_test(cases, retries_are_a_share_of_first_attempts);
	tcase_add_test(cases,
		       a_request_that_failed_on_two_servers_is_not_retried);
	suite_add_tcase(suite, cases);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
