#include "trend.h"

#include <math.h>

/* Time constants of the two means; the rate takes some seconds to rise to the
 * peak of a burst. */
#define TREND_FAST_MS 500.0
#define TREND_SLOW_MS 1500.0
/* A rise counts as far as it exceeds this many standard deviations of the
 * difference of the means at a steady rate. */
#define TREND_SIGMAS 1.0
/* Upper limit of the forecast as a multiple of the fast mean, since the slope
 * is no reliable basis for a larger rise. */
#define TREND_RISE_MAX 2.5

void trend_sample_add(struct trend *trend, double amount)
{
	trend->arrived += amount;
	trend->arrived_squared += amount * amount;
}

static void mean_update(double *mean, double value, double elapsed_ms,
			double time_constant_ms)
{
	*mean += (1.0 - exp(-elapsed_ms / time_constant_ms)) * (value - *mean);
}

void trend_tick(struct trend *trend, uint32_t elapsed_ms)
{
	if (elapsed_ms == 0)
		return;
	mean_update(&trend->fast_mean, trend->arrived / elapsed_ms, elapsed_ms,
		    TREND_FAST_MS);
	mean_update(&trend->slow_mean, trend->arrived / elapsed_ms, elapsed_ms,
		    TREND_SLOW_MS);
	mean_update(&trend->squares_mean, trend->arrived_squared / elapsed_ms,
		    elapsed_ms, TREND_SLOW_MS);
	trend->arrived = 0;
	trend->arrived_squared = 0;
}

/* Standard deviation of the difference of the two means for random (compound
 * Poisson) arrivals at a steady rate. */
static double difference_deviation(const struct trend *trend)
{
	double fast_variance = 1.0 / (2.0 * TREND_FAST_MS);
	double slow_variance = 1.0 / (2.0 * TREND_SLOW_MS);
	double covariance = 2.0 / (TREND_FAST_MS + TREND_SLOW_MS);

	return sqrt(trend->squares_mean *
		    (fast_variance + slow_variance - covariance));
}

double trend_forecast(const struct trend *trend, uint32_t ahead_ms)
{
	double rise = trend->fast_mean - trend->slow_mean -
		      TREND_SIGMAS * difference_deviation(trend);
	double slope = rise / (TREND_SLOW_MS - TREND_FAST_MS);
	double limit = TREND_RISE_MAX * trend->fast_mean;
	double expected;

	if (rise <= 0)
		return trend->fast_mean;
	/* The fast mean lags behind the rate by its time constant. */
	expected = trend->fast_mean + slope * (TREND_FAST_MS + ahead_ms);
	return expected < limit ? expected : limit;
}
