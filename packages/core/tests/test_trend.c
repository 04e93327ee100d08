/**
 * @file test_trend.c
 * @brief Tests of the forecast for steady, rising and falling rates.
 */
#include <check.h>
#include <math.h>
#include <stdint.h>
#include <stdlib.h>

#include "trend.h"

#define TICK_MS 100
/* Approximate duration of moving a VM. */
#define AHEAD_MS 1800

/* Adds small arrivals at a rate that changes linearly. */
static void arrivals_add(struct trend *trend, double from, double to,
			 uint32_t for_ms)
{
	for (uint32_t elapsed_ms = 0; elapsed_ms < for_ms;
	     elapsed_ms += TICK_MS) {
		double rate = from + (to - from) * elapsed_ms / for_ms;

		for (int i = 0; i < 100; i++)
			trend_sample_add(trend, rate * TICK_MS / 100);
		trend_tick(trend, TICK_MS);
	}
}

START_TEST(test_no_arrivals)
{
	struct trend trend = { 0 };

	ck_assert_double_eq(trend_forecast(&trend, AHEAD_MS), 0);
	trend_tick(&trend, TICK_MS);
	ck_assert_double_eq(trend_forecast(&trend, AHEAD_MS), 0);
}
END_TEST

START_TEST(test_steady_rate)
{
	struct trend trend = { 0 };

	arrivals_add(&trend, 10, 10, 20000);
	ck_assert_double_eq_tol(trend_forecast(&trend, AHEAD_MS), 10, 0.1);
}
END_TEST

/* After 3 s of a rise the forecast is within a fifth of the later rate. */
START_TEST(test_rise_is_extrapolated)
{
	struct trend trend = { 0 };

	arrivals_add(&trend, 10, 10, 5000);
	arrivals_add(&trend, 10, 40, 3000);
	ck_assert_double_eq_tol(trend_forecast(&trend, AHEAD_MS), 58, 58 / 5.0);
}
END_TEST

START_TEST(test_fall_is_not_extrapolated)
{
	struct trend trend = { 0 };

	arrivals_add(&trend, 40, 40, 5000);
	arrivals_add(&trend, 40, 10, 2000);
	ck_assert_double_eq(trend_forecast(&trend, AHEAD_MS), trend.fast_mean);
	ck_assert_double_ge(trend.fast_mean, 10);
}
END_TEST

/* Few large arrivals cluster at random, which must not count as a rise. */
START_TEST(test_random_arrivals_are_no_rise)
{
	struct trend trend = { 0 };
	double excess = 0;
	uint32_t ticks = 0;

	srand(7);
	for (; ticks < 5000; ticks++) {
		double forecast;

		/* Three arrivals per second on average. */
		if (rand() % 1000 < 300)
			trend_sample_add(&trend, 1000);
		trend_tick(&trend, TICK_MS);
		forecast = trend_forecast(&trend, AHEAD_MS);
		ck_assert_double_ge(forecast, trend.fast_mean);
		excess += forecast - trend.fast_mean;
	}
	/* The mean rate is 3; the forecast adds at most a tenth of it. */
	ck_assert_double_le(excess / ticks, 0.3);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("trend");
	TCase *tests = tcase_create("trend");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tests, test_no_arrivals);
	tcase_add_test(tests, test_steady_rate);
	tcase_add_test(tests, test_rise_is_extrapolated);
	tcase_add_test(tests, test_fall_is_not_extrapolated);
	tcase_add_test(tests, test_random_arrivals_are_no_rise);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
