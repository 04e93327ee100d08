/**
 * @file lrn.h
 * @brief Learns how long the tasks of a queue take.
 *
 * Prefix: lrn_. Pure. Estimates that come with jobs are off by large factors
 * either way. What the tasks of a queue took says more, so an estimate is drawn
 * towards it, on a logarithmic scale.
 */
#ifndef LRN_H
#define LRN_H

#include <stdint.h>

/** What is known of one queue, zeroed for nothing. */
struct lrn_state {
	/** mean of the logarithm of durations in ms, and their number */
	double mean_log;
	uint32_t samples;
};

/** @brief Notes what a task took. */
void lrn_note(struct lrn_state *state, uint64_t took_ms);

/**
 * @brief Tells what to expect.
 * @param estimate_ms as submitted, 0 for none
 * @return milliseconds, 0 if nothing is known
 */
uint32_t lrn_expect_ms(const struct lrn_state *state, uint32_t estimate_ms);

#endif
