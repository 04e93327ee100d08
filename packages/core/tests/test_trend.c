/**
 * @file test_trend.c
 * @brief Forecasts of steady, rising and falling rates.
 */
#include <check.h>
#include <math.h>
#include <stdint.h>
#include <stdlib.h>

#include "trend.h"

#define TICK_MS 100
/* About the time that a move takes. */
#define AHEAD_MS 1800

/* Lets a rate go on in small arrivals. */
static void play(struct trend *state, double from, double to, uint32_t for_ms)
{
	for (uint32_t past = 0; past < for_ms; past += TICK_MS) {
		double rate = from + (to - from) * past / for_ms;

		for (int i = 0; i < 100; i++)
			trend_sample_add(state, rate * TICK_MS / 100);
		trend_tick(state, TICK_MS);
	}
}

START_TEST(test_nothing_is_expected_of_nothing)
{
	struct trend state = { 0 };

	ck_assert_double_eq(trend_forecast(&state, AHEAD_MS), 0);
	trend_tick(&state, TICK_MS);
	ck_assert_double_eq(trend_forecast(&state, AHEAD_MS), 0);
}
END_TEST

START_TEST(test_steady_rate_goes_on)
{
	struct trend state = { 0 };

	play(&state, 10, 10, 20000);
	ck_assert_double_eq_tol(trend_forecast(&state, AHEAD_MS), 10, 0.1);
}
END_TEST

/* After three seconds the slope is known: within a fifth of what comes. */
START_TEST(test_rise_goes_on)
{
	struct trend state = { 0 };

	play(&state, 10, 10, 5000);
	play(&state, 10, 40, 3000);
	ck_assert_double_eq_tol(trend_forecast(&state, AHEAD_MS), 58, 58 / 5.0);
}
END_TEST

START_TEST(test_fall_is_not_carried_on)
{
	struct trend state = { 0 };

	play(&state, 40, 40, 5000);
	play(&state, 40, 10, 2000);
	ck_assert_double_eq(trend_forecast(&state, AHEAD_MS), state.fast_mean);
	ck_assert_double_ge(state.fast_mean, 10);
}
END_TEST

/* Few large arrivals come in clusters by chance, which is no rise. */
START_TEST(test_chance_is_no_rise)
{
	struct trend state = { 0 };
	double over = 0;
	uint32_t ticks = 0;

	srand(7);
	for (; ticks < 5000; ticks++) {
		double forecast;

		/* Three arrivals a second on average. */
		if (rand() % 1000 < 300)
			trend_sample_add(&state, 1000);
		trend_tick(&state, TICK_MS);
		forecast = trend_forecast(&state, AHEAD_MS);
		ck_assert_double_ge(forecast, state.fast_mean);
		over += forecast - state.fast_mean;
	}
	/* The mean rate is 3; a tenth of it is added at the most. */
	ck_assert_double_le(over / ticks, 0.3);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("trd");
	TCase *tests = tcase_create("trd");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tests, test_nothing_is_expected_of_nothing);
	tcase_add_test(tests, test_steady_rate_goes_on);
	tcase_add_test(tests, test_rise_goes_on);
	tcase_add_test(tests, test_fall_is_not_carried_on);
	tcase_add_test(tests, test_chance_is_no_rise);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
