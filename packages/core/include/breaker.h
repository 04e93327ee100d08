/**
 * @file breaker.h
 * @brief Circuit breaker of a worker, driven by the outcome of its tasks.
 *
 * Prefix: breaker_. No I/O. A worker that fails or stalls every task that it
 * is given always has free capacity, so it would attract all work although it
 * looks healthy. After several consecutive failures the breaker opens: the
 * worker gets no tasks for a while, then one at a time until one succeeds.
 */
#ifndef BREAKER_H
#define BREAKER_H

#include <stdbool.h>
#include <stdint.h>

/** Breaker of one worker; zero-initialized for a new one. */
struct breaker {
	uint32_t consecutive_failures;
	/** no task is started on the worker before this time */
	uint64_t open_until_ms;
	/** last duration of the open state, 0 for never */
	uint32_t open_ms;
};

/** Which tasks may be started on a worker. */
enum breaker_state {
	/** no restriction */
	BREAKER_CLOSED,
	/** one task at a time */
	BREAKER_HALF_OPEN,
	/** no task */
	BREAKER_OPEN,
};

/**
 * @brief Lets a breaker that is not closed take one more task now.
 *
 * @param since_ms when it opened or last took a task
 * @param yields_after_ms time from then until it yields
 * @return whether it did
 */
bool breaker_yield(struct breaker *breaker, uint64_t since_ms,
		   uint32_t yields_after_ms, uint64_t now_ms);

/** @brief Returns since when a breaker that is not closed has taken no task, as
 *  far as it knows: it opened then, or became half open. */
uint64_t breaker_idle_since_ms(const struct breaker *breaker, uint64_t now_ms);

/** @brief Records a task that succeeded; closes the breaker. */
void breaker_record_success(struct breaker *breaker);

/** @brief Records a task that failed, or was moved because it stalled. */
void breaker_record_failure(struct breaker *breaker, uint64_t now_ms);

/** @brief Returns the state at a time. */
enum breaker_state breaker_state_at(const struct breaker *breaker,
				    uint64_t now_ms);

/**
 * @brief Returns whether a task is stalled and should move to another worker.
 *
 * @param percent progress of the task
 * @param unchanged_ms time since the progress last changed
 * @param expected_ms expected duration of the task, a rough estimate
 */
bool breaker_task_is_stalled(uint32_t percent, uint64_t unchanged_ms,
			     uint32_t expected_ms);

/**
 * @brief Returns whether a long-running task counts as a success, although it
 *        has not ended.
 *
 * @param full_speed_ms time for which it has been at full speed
 */
bool breaker_long_running_succeeded(uint64_t full_speed_ms);

#endif
