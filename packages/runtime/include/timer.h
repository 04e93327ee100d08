/**
 * @file timer.h
 * @brief Queue of one-shot timers, each with its own deadline.
 *
 * Prefix: timer_. An h2o timeout list holds only timeouts of one duration.
 * Requests have different deadlines, so they use this queue instead. Setting
 * and cancelling take O(log n).
 */
#ifndef TIMER_H
#define TIMER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Called once when a timer is due; it may set the timer again. */
typedef void (*timer_cb)(void *data);

/** The queue, opaque. */
struct timer_queue;

/** A timer, embedded in the object that uses it; zeroed before first use. */
struct timer {
	/** on the clock of loop_now_ms() */
	uint64_t due_ms;
	timer_cb cb;
	void *data;
	/** place in the queue, NULL while the timer is not set */
	GSequenceIter *link;
};

/** @brief Creates an empty queue, freed by timer_queue_destroy(). */
struct timer_queue *timer_queue_create(void);

/**
 * @brief Frees the queue; timers that are still set never fire.
 * @param queue the queue, or NULL
 */
void timer_queue_destroy(struct timer_queue *queue);

/**
 * @brief Sets a timer, or moves one that is set.
 * @param queue the queue
 * @param timer owned by the caller, valid until it fires or is cancelled
 * @param due_ms on the clock of loop_now_ms()
 */
void timer_set(struct timer_queue *queue, struct timer *timer, uint64_t due_ms);

/** @brief Cancels a timer; does nothing if it is not set. */
void timer_cancel(struct timer *timer);

/** @brief Returns whether a timer is set. */
bool timer_is_set(const struct timer *timer);

/**
 * @brief Runs the timers that are due.
 * @param queue the queue
 * @param now_ms from loop_now_ms()
 */
void timer_queue_run(struct timer_queue *queue, uint64_t now_ms);

/**
 * @brief Returns the time until the next timer is due.
 * @return milliseconds, at most max_ms, 0 if a timer is due
 */
uint32_t timer_queue_wait_ms(const struct timer_queue *queue, uint64_t now_ms,
			     uint32_t max_ms);

#endif
