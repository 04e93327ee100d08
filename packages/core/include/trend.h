/**
 * @file trend.h
 * @brief Forecast of a rate of arrivals that rises or falls.
 *
 * Prefix: trend_. Pure. Answers the load that swells for some seconds to
 * several times its mean: a VM that is moved now takes tasks only after the
 * move, so the rate of that time is what counts. Two means of different age
 * tell the slope. Arrivals come by chance and in lumps, so only a rise beyond
 * what chance makes likely counts.
 */
#ifndef TREND_H
#define TREND_H

#include <stdint.h>

/** What is known of one rate, zeroed for nothing. */
struct trend {
	/** arrived since the last tick, and the sum of its squares */
	double arrived;
	double arrived_squared;
	/** means of the rate a millisecond: a newer and an older one */
	double fast_mean;
	double slow_mean;
	/** mean of the squares a millisecond, which tells the spread */
	double squares_mean;
};

/** @brief Notes one arrival of an amount of work. */
void trend_sample_add(struct trend *state, double amount);

/** @brief Ends a tick of some milliseconds. */
void trend_tick(struct trend *state, uint32_t past_ms);

/**
 * @brief Tells what the rate is expected to be.
 * @param ahead_ms how long from now
 * @return amount a millisecond; never below the newer mean
 */
double trend_forecast(const struct trend *state, uint32_t ahead_ms);

#endif
