/**
 * @file trend.h
 * @brief Forecast of an arrival rate from its trend.
 *
 * Prefix: trend_. No I/O. In a burst the load rises within seconds to several
 * times its mean. A VM that is moved now accepts tasks only after the move, so
 * the decision to move it needs the rate at that later time. The slope of the
 * rate follows from the difference between a fast and a slow moving average.
 * Arrivals are random and vary in size, so only the part of a rise that
 * exceeds the expected random deviation counts.
 */
#ifndef TREND_H
#define TREND_H

#include <stdint.h>

/** State of the forecast of one rate; zero-initialized before use. */
struct trend {
	/** amount that arrived since the last tick */
	double arrived;
	/** sum of the squares of these amounts */
	double arrived_squared;
	/** fast and slow moving average of the amount per millisecond */
	double fast_mean;
	double slow_mean;
	/** moving average of the squares per millisecond, from which the
	 *  random deviation is estimated */
	double squares_mean;
};

/** @brief Adds an arrival of an amount of work. */
void trend_sample_add(struct trend *trend, double amount);

/**
 * @brief Updates the averages with the arrivals since the last tick.
 * @param elapsed_ms time since the last tick; 0 does nothing
 */
void trend_tick(struct trend *trend, uint32_t elapsed_ms);

/**
 * @brief Returns the rate that is expected at a later time.
 * @param ahead_ms time from now
 * @return amount per millisecond; never below the fast mean
 */
double trend_forecast(const struct trend *trend, uint32_t ahead_ms);

#endif
