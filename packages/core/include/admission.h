/**
 * @file admission.h
 * @brief Admission control: a pool's request queue, bounded in requests, bytes
 * and waiting time.
 *
 * Prefix: admission_. Requests are served earliest deadline first. The cost of
 * adding, popping and removing a request does not depend on the queue's length.
 * A request that cannot start before its deadline is refused immediately.
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "edf.h"
#include "outcome.h"

/** Limits of a queue. */
struct admission_limits {
	uint32_t max_requests;
	uint64_t max_bytes;
	uint32_t max_wait_ms;
};

/** A request, embedded in a larger structure; zero it before the first use. */
struct admission_item {
	struct edf_item edf;
	uint64_t bytes;
	uint64_t enqueued_ms;
	uint64_t deadline_ms;
	/** in the queue */
	bool queued;
	/** counts towards the limits but is not in the queue yet */
	bool reserved;
};

/** An admission queue, opaque. */
struct admission_queue;

/** @brief Creates a queue, freed by admission_queue_destroy(). */
struct admission_queue *
admission_queue_create(const struct admission_limits *limits);

/** @brief Frees an empty queue. @param queue may be NULL */
void admission_queue_destroy(struct admission_queue *queue);

/** @brief Replaces the limits; requests already queued stay. */
void admission_queue_set_limits(struct admission_queue *queue,
				const struct admission_limits *limits);

/**
 * @brief Enqueues a request, or returns the reason for refusing it.
 *
 * @param queue the queue
 * @param item the request, with bytes and deadline_ms set
 * @param slots slots that currently serve the queue
 * @param now_ms monotonic time
 * @return OUTCOME_ANSWERED if the request was queued, else OUTCOME_QUEUE_FULL,
 *        OUTCOME_QUEUE_BYTES, OUTCOME_WOULD_EXPIRE or OUTCOME_NO_VM
 */
enum outcome admission_queue_push(struct admission_queue *queue,
				  struct admission_item *item, uint32_t slots,
				  uint64_t now_ms);

/**
 * @brief Counts a request towards the limits without queueing it.
 *
 * Used for a request that has to wait for something else before it may start.
 * Checks and return values are those of admission_queue_push().
 * admission_queue_enqueue() or admission_queue_remove() ends the reservation.
 */
enum outcome admission_queue_reserve(struct admission_queue *queue,
				     struct admission_item *item,
				     uint32_t slots, uint64_t now_ms);

/** @brief Moves a reserved request into the queue, ordered by its deadline. */
void admission_queue_enqueue(struct admission_queue *queue,
			     struct admission_item *item, uint64_t now_ms);

/**
 * @brief Puts a request that is to be retried at the head of the queue.
 * @return OUTCOME_ANSWERED if the request was queued, else OUTCOME_QUEUE_FULL
 *        or OUTCOME_QUEUE_BYTES
 */
enum outcome admission_queue_requeue(struct admission_queue *queue,
				     struct admission_item *item);

/** @brief Returns the request at the head of the queue, or NULL. */
struct admission_item *
admission_queue_peek(const struct admission_queue *queue);

/**
 * @brief Returns whether a popped request is to be refused as too late.
 *
 * This is the case when its deadline has passed, or when other requests are
 * queued and the time left is too short for a response, judged by the recent
 * mean service time.
 */
bool admission_queue_is_late(const struct admission_queue *queue,
			     const struct admission_item *item,
			     uint64_t now_ms);

/** @brief Returns the request that follows another in the queue, or NULL. */
struct admission_item *admission_queue_next(const struct admission_queue *queue,
					    const struct admission_item *item);

/**
 * @brief Removes and returns the request at the head of the queue.
 * @return NULL if the queue is empty
 */
struct admission_item *admission_queue_pop(struct admission_queue *queue);

/** @brief Removes a queued or reserved request; does nothing for any other. */
void admission_queue_remove(struct admission_queue *queue,
			    struct admission_item *item);

/** @brief Returns the number of queued requests, without reserved ones. */
uint32_t admission_queue_length(const struct admission_queue *queue);

/** @brief Returns the total bytes of queued and reserved requests. */
uint64_t admission_queue_bytes(const struct admission_queue *queue);

/** @brief Records how long a request occupied its slot. */
void admission_queue_record_service(struct admission_queue *queue,
				    uint64_t service_ms);

/**
 * @brief Returns the moving average of the time that a request occupies a slot.
 */
uint64_t admission_queue_mean_service_ms(const struct admission_queue *queue);

/** @brief Estimates the queueing time of a request that is added now. */
uint64_t admission_queue_expected_wait_ms(const struct admission_queue *queue,
					  uint32_t slots);

/**
 * @brief Computes the Retry-After value for a refused caller.
 * @return whole seconds, at least 1
 */
uint32_t admission_queue_retry_after_s(const struct admission_queue *queue,
				       uint32_t slots);

#endif
