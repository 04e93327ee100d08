/**
 * @file predictor.h
 * @brief Learns how long the tasks of a queue take.
 *
 * Prefix: predictor_. Pure. Estimates that come with jobs are off by large
 * factors either way. What the tasks of a queue took says more, so an estimate
 * is drawn towards it, on a logarithmic scale.
 */
#ifndef PREDICTOR_H
#define PREDICTOR_H

#include <stdint.h>

/** What is known of one queue, zeroed for nothing. */
struct predictor {
	/** mean of the logarithm of durations in ms, and their number */
	double mean_log;
	uint32_t samples;
};

/** @brief Notes what a task took. */
void predictor_sample_add(struct predictor *state, uint64_t took_ms);

/**
 * @brief Tells what to expect.
 * @param estimate_ms as submitted, 0 for none
 * @return milliseconds, 0 if nothing is known
 */
uint32_t predictor_duration_ms(const struct predictor *state,
			       uint32_t estimate_ms);

#endif
