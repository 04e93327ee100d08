#include "trend.h"

#include <math.h>

/* Time constants of the two means: a burst takes some seconds to swell. */
#define TREND_NEWER_MS 500.0
#define TREND_OLDER_MS 1500.0
/* Standard deviations of chance that a rise has to exceed. */
#define TREND_SIGMAS 1.0
/* The forecast is at most this multiple of the newer mean: further ahead the
 * slope says little. */
#define TREND_RISE_MAX 2.5

void trend_sample_add(struct trend *state, double amount)
{
	state->arrived += amount;
	state->arrived_squared += amount * amount;
}

static void mean_move(double *mean, double value, double past_ms, double of_ms)
{
	*mean += (1.0 - exp(-past_ms / of_ms)) * (value - *mean);
}

void trend_tick(struct trend *state, uint32_t past_ms)
{
	if (past_ms == 0)
		return;
	mean_move(&state->fast_mean, state->arrived / past_ms, past_ms,
		  TREND_NEWER_MS);
	mean_move(&state->slow_mean, state->arrived / past_ms, past_ms,
		  TREND_OLDER_MS);
	mean_move(&state->squares_mean, state->arrived_squared / past_ms,
		  past_ms, TREND_OLDER_MS);
	state->arrived = 0;
	state->arrived_squared = 0;
}

/* Standard deviation of the difference of the means when arrivals come by
 * chance at a steady rate. */
static double spread(const struct trend *state)
{
	double of_newer = 1.0 / (2.0 * TREND_NEWER_MS);
	double of_older = 1.0 / (2.0 * TREND_OLDER_MS);
	double shared = 2.0 / (TREND_NEWER_MS + TREND_OLDER_MS);

	return sqrt(state->squares_mean * (of_newer + of_older - shared));
}

double trend_forecast(const struct trend *state, uint32_t ahead_ms)
{
	double rise = state->fast_mean - state->slow_mean -
		      TREND_SIGMAS * spread(state);
	double slope = rise / (TREND_OLDER_MS - TREND_NEWER_MS);
	double most = TREND_RISE_MAX * state->fast_mean;
	double expected;

	if (rise <= 0)
		return state->fast_mean;
	/* The newer mean lags behind the rate by its own time constant. */
	expected = state->fast_mean + slope * (TREND_NEWER_MS + ahead_ms);
	return expected < most ? expected : most;
}
