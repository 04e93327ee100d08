/**
 * @file lookahead.h
 * @brief When a task will fit on a worker, by what is expected to end there.
 *
 * Prefix: lookahead_. No I/O. Answers a load of tasks of very different sizes:
 * small ones take each part of a worker that becomes free, so that a task which
 * needs half of a worker waits until several others happen to end together. It
 * is therefore planned on the worker on which it will fit first, and the worker
 * takes only tasks that end before that time, or that leave enough for it.
 */
#ifndef LOOKAHEAD_H
#define LOOKAHEAD_H

#include <stdbool.h>
#include <stdint.h>

#include "resources.h"

/** A task that is expected to end, and what it then frees. */
struct lookahead_end {
	uint64_t at_ms;
	struct resources frees;
};

/** A task that is planned on a worker. */
struct lookahead_plan {
	/** when it is expected to fit, 0 if no task is planned, UINT64_MAX if
	 *  it will not fit */
	uint64_t at_ms;
	/** what is free beside it at that time */
	struct resources left;
};

/**
 * @brief Returns when a running task is expected to end.
 *
 * A task that has run for longer than expected is expected to run for half as
 * long again.
 */
uint64_t lookahead_end_ms(uint64_t started_ms, uint32_t expected_ms,
			  uint64_t now_ms);

/**
 * @brief Plans a task on a worker.
 *
 * @param free_now free resources of the worker
 * @param ends tasks that are expected to end there; sorted by this function
 */
struct lookahead_plan lookahead_plan_task(const struct resources *free_now,
					  struct lookahead_end *ends,
					  uint32_t count,
					  const struct resources *need,
					  uint64_t now_ms);

/**
 * @brief Returns when each of several equal tasks will fit on a worker.
 *
 * @param ends as for lookahead_plan_task()
 * @param most number of tasks
 * @param at_ms filled with a time for each that fits, in ascending order
 * @return the number of tasks that fit
 */
uint32_t lookahead_plan_tasks(const struct resources *free_now,
			      struct lookahead_end *ends, uint32_t count,
			      const struct resources *need, uint64_t now_ms,
			      uint32_t most, uint64_t *at_ms);

/** @brief Plans several equal tasks that start together on a worker at a time
 *  at which they fit. */
struct lookahead_plan lookahead_plan_at(const struct resources *free_now,
					const struct lookahead_end *ends,
					uint32_t count,
					const struct resources *need,
					uint32_t tasks, uint64_t at_ms);

/** Room that is kept for tasks for a limited time; zero-initialized. */
struct lookahead_reservation {
	uint64_t begun_ms;
	/** when it lapses, 0 if there is none */
	uint64_t until_ms;
	/** no other one begins before this time */
	uint64_t retry_ms;
};

/**
 * @brief Begins or continues a reservation.
 *
 * It lapses some time after the tasks should have been started. Then the room
 * is free for others for as long as it was reserved.
 *
 * @param planned_ms when the tasks are expected to start
 * @return whether the room may be reserved now
 */
bool lookahead_reserve(struct lookahead_reservation *reservation,
		       uint64_t planned_ms, uint64_t now_ms);

/** @brief Returns whether a task may start on a worker without delaying the one
 *  planned there. */
bool lookahead_allows(const struct lookahead_plan *plan,
		      const struct resources *need, uint64_t ends_ms);

/** @brief Takes what a started task needs from what is left beside the planned
 *  one, unless it ends before. */
void lookahead_take(struct lookahead_plan *plan, const struct resources *need,
		    uint64_t ends_ms);

/** @brief Returns whether a task leaves gaps unused by its size: it needs more
 *  than a quarter of a worker. */
bool lookahead_is_large(const struct resources *need,
			const struct resources *worker);

#endif
