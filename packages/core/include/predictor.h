/**
 * @file predictor.h
 * @brief Predicts the duration of a queue's tasks from earlier ones.
 *
 * Prefix: predictor_. No I/O. The estimates submitted with jobs are too high
 * or too low by large factors. Measured durations of a queue's tasks are a
 * better basis, so an estimate is corrected towards their mean, on a
 * logarithmic scale.
 */
#ifndef PREDICTOR_H
#define PREDICTOR_H

#include <stdint.h>

/** Measured durations of one queue; zero-initialized before use. */
struct predictor {
	/** mean of the logarithm of durations in ms */
	double mean_log;
	/** number of durations added */
	uint32_t samples;
};

/** @brief Adds the measured duration of a task. */
void predictor_sample_add(struct predictor *predictor, uint64_t duration_ms);

/**
 * @brief Predicts the duration of a task.
 * @param estimate_ms as submitted with the job, 0 for none
 * @return milliseconds, 0 if there is neither an estimate nor enough samples
 */
uint32_t predictor_duration_ms(const struct predictor *predictor,
			       uint32_t estimate_ms);

#endif
