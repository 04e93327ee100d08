/**
 * @file breaker.h
 * @brief Health of a worker, told by how its tasks end and move on.
 *
 * Prefix: breaker_. Pure. Answers workers that fail all they start, or let it
 * stand still, while they look healthy: such a worker always has room, so it
 * would draw all work. After some bad ends in a row it gets nothing for a
 * while, then one task at a time until one ends well.
 */
#ifndef BREAKER_H
#define BREAKER_H

#include <stdbool.h>
#include <stdint.h>

/** State of one worker, zeroed for a new one. */
struct breaker {
	uint32_t consecutive_failures;
	/** nothing is started there before this time */
	uint64_t open_until_ms;
	/** how long it was quarantined last, 0 for never */
	uint32_t open_ms;
};

/** What may be started on a worker. */
enum breaker_state {
	BREAKER_CLOSED,
	/** one task at a time */
	BREAKER_HALF_OPEN,
	BREAKER_OPEN,
};

/** @brief Notes a task that ended well. */
void breaker_record_success(struct breaker *state);

/** @brief Notes a task that failed, or was taken away as it stood still. */
void breaker_record_failure(struct breaker *state, uint64_t now_ms);

/** @brief Tells what may be started. */
enum breaker_state breaker_state_at(const struct breaker *state,
				    uint64_t now_ms);

/**
 * @brief Tells whether a task stands still and should go on elsewhere.
 *
 * @param percent its progress
 * @param still_ms time for which that has not changed
 */
bool breaker_task_is_stalled(uint32_t percent, uint64_t still_ms);

#endif
