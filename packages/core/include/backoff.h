/**
 * @file backoff.h
 * @brief Exponential backoff with jitter.
 *
 * Prefix: backoff_. The functions only compute: the caller supplies the random
 * bits and does the waiting.
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
 * @brief Returns the delay before the next attempt.
 *
 * The delay doubles with each failure up to the maximum. Half of it is fixed
 * and up to half is random, so that processes which failed at the same time do
 * not retry at the same time.
 *
 * @param failures consecutive failures, at least 1
 * @param random any 32 random bits
 */
uint32_t backoff_delay_ms(const struct backoff_limits *limits,
			  uint32_t failures, uint32_t random);

/**
 * @brief Returns a polling period with which all processes together stay below
 * a rate limit, plus up to an eighth of jitter.
 *
 * @param period_ms minimum period
 * @param processes processes that share the rate limit, at least 1
 * @param rate_per_s calls per second that they may make together
 * @param random any 32 random bits
 */
uint32_t backoff_shared_period_ms(uint32_t period_ms, uint32_t processes,
				  uint32_t rate_per_s, uint32_t random);

#endif
