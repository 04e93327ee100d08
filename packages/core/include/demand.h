/**
 * @file demand.h
 * @brief Smoothed demand of a pool.
 *
 * Prefix: demand_. Demand is the number of slots wanted: those in use and the
 * requests that wait. It is averaged with a time constant that is long
 * against a burst of seconds and short against the peaks of a day.
 */
#ifndef DEMAND_H
#define DEMAND_H

#include <stdbool.h>
#include <stdint.h>

/** Time constant of the average. */
#define DEMAND_TIME_CONSTANT_MS (10u * 60u * 1000u)
/** Observed time before the average is used for decisions. */
#define DEMAND_WARM_UP_MS (5u * 60u * 1000u)
/** Demand over this share of the average counts as a burst. */
#define DEMAND_BURST_PERMILLE 1500u
/** A rise that lasts longer than this is no burst. */
#define DEMAND_BURST_MAX_MS (2u * 60u * 1000u)

/** A pool's demand at one process at one moment. */
struct demand_load {
	/** demand_pool_key() of the pool's name */
	uint32_t pool;
	/** slots in use and requests waiting */
	uint32_t slots;
};

/** @brief Returns the key of a pool's name in loads. */
uint32_t demand_pool_key(const char *name);

/** The average and what is needed to continue it; zeroed before use. */
struct demand_average {
	/** thousandths of a slot */
	uint64_t average_milli;
	uint64_t updated_ms;
	/** time covered by samples, up to the time constant */
	uint64_t observed_ms;
	/** start of the rise over the burst ratio, 0 for none */
	uint64_t rise_began_ms;
	bool started;
};

/**
 * @brief Takes a sample.
 * @param demand updated
 * @param slots slots in use and requests waiting at this moment
 * @param now_ms monotonic time, not before the last sample's
 */
void demand_sample_add(struct demand_average *demand, uint32_t slots,
		       uint64_t now_ms);

/** @brief Tells whether enough was observed to decide by it. */
bool demand_is_warm(const struct demand_average *demand);

/** @brief Tells whether a burst of seconds is under way. */
bool demand_is_burst(const struct demand_average *demand, uint64_t now_ms);

#endif
