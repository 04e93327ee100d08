/**
 * @file demand.h
 * @brief Moving average of the demand of a pool.
 *
 * Prefix: demand_. Demand is the number of slots in use plus the number of
 * queued requests. The time constant of the average is long compared with a
 * burst of seconds and short compared with the peaks of a day.
 */
#ifndef DEMAND_H
#define DEMAND_H

#include <stdbool.h>
#include <stdint.h>

/** Time constant of the average. */
#define DEMAND_TIME_CONSTANT_MS (10u * 60u * 1000u)
/** Observed time before the average is used for decisions. */
#define DEMAND_WARM_UP_MS (5u * 60u * 1000u)
/** Demand above this share of the average counts as a burst. */
#define DEMAND_BURST_PERMILLE 1500u
/** A rise that lasts longer than this is no longer treated as a burst. */
#define DEMAND_BURST_MAX_MS (2u * 60u * 1000u)

/** Demand of a pool as seen by one process at one moment. */
struct demand_load {
	/** demand_pool_key() of the pool's name */
	uint32_t pool;
	/** slots in use plus queued requests */
	uint32_t slots;
};

/** @brief Returns the key that identifies a pool in struct demand_load. */
uint32_t demand_pool_key(const char *name);

/** State of the moving average; zero-initialized before use. */
struct demand_average {
	/** thousandths of a slot */
	uint64_t average_milli;
	uint64_t updated_ms;
	/** time covered by samples, up to the time constant */
	uint64_t observed_ms;
	/** start of the rise above the burst ratio, 0 for none */
	uint64_t rise_began_ms;
	bool started;
};

/**
 * @brief Adds a sample to the average.
 * @param demand updated
 * @param slots slots in use plus queued requests at this moment
 * @param now_ms monotonic time, not before that of the previous sample
 */
void demand_sample_add(struct demand_average *demand, uint32_t slots,
		       uint64_t now_ms);

/** @brief Returns whether the samples cover enough time for decisions. */
bool demand_is_warm(const struct demand_average *demand);

/** @brief Returns whether a burst is in progress. */
bool demand_is_burst(const struct demand_average *demand, uint64_t now_ms);

#endif
