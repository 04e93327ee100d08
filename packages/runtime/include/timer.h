/**
 * @file timer.h
 * @brief A queue of timers with a deadline of their own each.
 *
 * Prefix: timer_. h2o's timeouts share one fixed duration per list, so the
 * deadlines of requests are kept here. Setting and cancelling cost O(log n).
 */
#ifndef TIMER_H
#define TIMER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Called once when the timer is due; the timer may be set again in it. */
typedef void (*timer_cb)(void *data);

/** The queue, opaque. */
struct timer_queue;

/** A timer, embedded in its owner and zeroed before its first use. */
struct timer {
	uint64_t due_ms;
	timer_cb cb;
	void *data;
	GSequenceIter *link;
};

/** @brief Creates an empty queue, freed by timer_queue_destroy(). */
struct timer_queue *timer_queue_create(void);

/**
 * @brief Frees the queue; timers still set are forgotten.
 * @param queue the queue, or NULL
 */
void timer_queue_destroy(struct timer_queue *queue);

/**
 * @brief Sets or moves a timer.
 * @param queue the queue
 * @param entry the timer, owned by the caller, must outlive its setting
 * @param due_ms monotonic time in milliseconds
 */
void timer_set(struct timer_queue *queue, struct timer *entry, uint64_t due_ms);

/** @brief Cancels a timer; one that is not set is left as it is. */
void timer_cancel(struct timer *entry);

/** @brief Tells whether a timer is set. */
bool timer_is_set(const struct timer *entry);

/**
 * @brief Runs the timers that are due.
 * @param queue the queue
 * @param now_ms monotonic time in milliseconds
 */
void timer_queue_run(struct timer_queue *queue, uint64_t now_ms);

/**
 * @brief Returns the time until the next timer is due.
 * @return milliseconds, at most max_ms
 */
uint32_t timer_queue_wait_ms(const struct timer_queue *queue, uint64_t now_ms,
			     uint32_t max_ms);

#endif
