#include "predictor.h"

#include <math.h>

/* Number of samples before the mean is used. */
#define PREDICTOR_SAMPLES_MIN 12
/* Least weight of a new sample, so that the mean follows changes. */
#define PREDICTOR_SAMPLE_WEIGHT_MIN 0.01
/* Weight of a job's own estimate against the observed mean. */
#define PREDICTOR_ESTIMATE_WEIGHT 0.3

void predictor_sample_add(struct predictor *predictor, uint64_t duration_ms)
{
	double weight;

	predictor->samples++;
	weight = 1.0 / predictor->samples;
	if (weight < PREDICTOR_SAMPLE_WEIGHT_MIN)
		weight = PREDICTOR_SAMPLE_WEIGHT_MIN;
	predictor->mean_log +=
		weight * (log((double)duration_ms + 1.0) - predictor->mean_log);
}

uint32_t predictor_duration_ms(const struct predictor *predictor,
			       uint32_t estimate_ms)
{
	double expected;

	if (predictor->samples < PREDICTOR_SAMPLES_MIN)
		return estimate_ms;
	expected = predictor->mean_log;
	if (estimate_ms > 0)
		expected = PREDICTOR_ESTIMATE_WEIGHT * log(estimate_ms) +
			   (1.0 - PREDICTOR_ESTIMATE_WEIGHT) * expected;
	return (uint32_t)exp(expected);
}
