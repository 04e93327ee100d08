#include "predictor.h"

#include <math.h>

/* Samples from which the mean is believed. */
#define PREDICTOR_SAMPLES_MIN 12
/* Newer samples count at least this part, so that a change shows. */
#define PREDICTOR_NEWEST_MIN 0.01
/* Weight of a job's own estimate beside what was learnt. */
#define PREDICTOR_ESTIMATE_WEIGHT 0.3

void predictor_sample_add(struct predictor *state, uint64_t took_ms)
{
	double part;

	state->samples++;
	part = 1.0 / state->samples;
	if (part < PREDICTOR_NEWEST_MIN)
		part = PREDICTOR_NEWEST_MIN;
	state->mean_log +=
		part * (log((double)took_ms + 1.0) - state->mean_log);
}

uint32_t predictor_duration_ms(const struct predictor *state,
			       uint32_t estimate_ms)
{
	double expected;

	if (state->samples < PREDICTOR_SAMPLES_MIN)
		return estimate_ms;
	expected = state->mean_log;
	if (estimate_ms > 0)
		expected = PREDICTOR_ESTIMATE_WEIGHT * log(estimate_ms) +
			   (1.0 - PREDICTOR_ESTIMATE_WEIGHT) * expected;
	return (uint32_t)exp(expected);
}
