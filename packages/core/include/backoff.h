/**
 * @file backoff.h
 * @brief Exponential backoff with jitter.
 *
 * Prefix: backoff_. Time and randomness are the caller's.
 */
#ifndef BACKOFF_H
#define BACKOFF_H

#include <stdint.h>

/** Bounds of the delays. */
struct backoff_limits {
	uint32_t base_ms;
	uint32_t max_ms;
};

/**
 * @brief Returns the delay before the next try.
 *
 * The delay doubles with each failure up to the maximum; the lower half of
 * it is certain and the upper half random, so that processes which failed
 * together do not return together.
 *
 * @param failures failures in a row, at least 1
 * @param random any 32 random bits
 */
uint32_t backoff_delay_ms(const struct backoff_limits *limits,
			  uint32_t failures, uint32_t random);

/**
 * @brief Returns a period stretched so that all processes together stay
 *        under a rate, with up to an eighth added at random.
 *
 * @param period_ms the period of one process on its own
 * @param processes processes that share the rate, at least 1
 * @param rate_per_s calls a second that they may make together
 * @param random any 32 random bits
 */
uint32_t backoff_shared_period_ms(uint32_t period_ms, uint32_t processes,
				  uint32_t rate_per_s, uint32_t random);

#endif
