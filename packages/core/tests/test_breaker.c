/**
 * @file test_breaker.c
 * @brief Health of workers, expected durations, and paces.
 */
#include <check.h>

#include "breaker.h"
#include "predictor.h"
#include "throttle.h"

START_TEST(test_bad_ends_in_a_row_quarantine)
{
	struct breaker state = { 0 };

	breaker_record_failure(&state, 1000);
	breaker_record_failure(&state, 1000);
	ck_assert_int_eq(breaker_state_at(&state, 1000), BREAKER_CLOSED);
	breaker_record_failure(&state, 1000);
	ck_assert_int_eq(breaker_state_at(&state, 1000), BREAKER_OPEN);
	ck_assert_int_eq(breaker_state_at(&state, 10000), BREAKER_HALF_OPEN);
	breaker_record_success(&state);
	ck_assert_int_eq(breaker_state_at(&state, 10000), BREAKER_CLOSED);
}
END_TEST

START_TEST(test_quarantine_grows_and_is_bounded)
{
	struct breaker state = { 0 };
	uint64_t now_ms = 0;
	uint64_t longest_ms = 0;

	for (int i = 0; i < 20; i++) {
		breaker_record_failure(&state, now_ms);
		if (state.open_until_ms > now_ms &&
		    state.open_until_ms - now_ms > longest_ms)
			longest_ms = state.open_until_ms - now_ms;
		now_ms += 10000;
	}
	ck_assert_uint_gt(longest_ms, 1500);
	ck_assert_uint_le(longest_ms, 6000);
}
END_TEST

START_TEST(test_good_end_between_clears)
{
	struct breaker state = { 0 };

	for (int i = 0; i < 10; i++) {
		breaker_record_failure(&state, 1000);
		breaker_record_failure(&state, 1000);
		breaker_record_success(&state);
	}
	ck_assert_int_eq(breaker_state_at(&state, 1000), BREAKER_CLOSED);
}
END_TEST

START_TEST(test_standing_still)
{
	ck_assert(!breaker_task_is_stalled(40, 500));
	ck_assert(breaker_task_is_stalled(40, 5000));
	ck_assert(!breaker_task_is_stalled(100, 5000));
}
END_TEST

START_TEST(test_estimates_are_drawn_to_what_was_seen)
{
	struct predictor state = { 0 };
	uint32_t expected_ms;

	ck_assert_uint_eq(predictor_duration_ms(&state, 9000), 9000);
	for (int i = 0; i < 50; i++)
		predictor_sample_add(&state, 1000);
	expected_ms = predictor_duration_ms(&state, 9000);
	ck_assert_uint_gt(expected_ms, 1000);
	ck_assert_uint_lt(expected_ms, 3000);
	ck_assert_uint_ge(predictor_duration_ms(&state, 0), 990);
}
END_TEST

START_TEST(test_pace_by_the_tail)
{
	ck_assert_uint_eq(throttle_next_percent(100, 50, 100), 100);
	ck_assert_uint_eq(throttle_next_percent(100, 90, 100), 50);
	ck_assert_uint_eq(throttle_next_percent(50, 120, 100), 0);
	ck_assert_uint_eq(throttle_next_percent(0, 70, 100), 0);
	ck_assert_uint_gt(throttle_next_percent(0, 40, 100), 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("hlt");
	TCase *tests = tcase_create("hlt");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tests, 60);
	tcase_add_test(tests, test_bad_ends_in_a_row_quarantine);
	tcase_add_test(tests, test_quarantine_grows_and_is_bounded);
	tcase_add_test(tests, test_good_end_between_clears);
	tcase_add_test(tests, test_standing_still);
	tcase_add_test(tests, test_estimates_are_drawn_to_what_was_seen);
	tcase_add_test(tests, test_pace_by_the_tail);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
