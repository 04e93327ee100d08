/**
 * @file admission.h
 * @brief Admission: a pool's queue, bounded in requests, bytes and time.
 *
 * Prefix: admission_. The earliest deadline goes first. Adding, taking and
 * removing cost the same, whatever the length. A request that cannot start
 * before its deadline is refused at once.
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "edf.h"
#include "outcome.h"

/** Bounds of a queue. */
struct admission_limits {
	uint32_t max_requests;
	uint64_t max_bytes;
	uint32_t max_wait_ms;
};

/** A waiting request, embedded in its owner; zeroed before its first use. */
struct admission_item {
	struct edf_item edf;
	uint64_t bytes;
	uint64_t enqueued_ms;
	uint64_t deadline_ms;
	/** waits in line */
	bool queued;
	/** counts towards the bounds but is not in line yet */
	bool reserved;
};

/** The queue, opaque. */
struct admission_queue;

/** @brief Creates a queue, freed by admission_queue_destroy(). */
struct admission_queue *
admission_queue_create(const struct admission_limits *limits);

/** @brief Frees an empty queue. @param queue may be NULL */
void admission_queue_destroy(struct admission_queue *queue);

/** @brief Replaces the bounds; requests already waiting stay. */
void admission_queue_set_limits(struct admission_queue *queue,
				const struct admission_limits *limits);

/**
 * @brief Adds a request or says why it is refused.
 *
 * @param queue the queue
 * @param item the request with bytes and deadline_ms filled
 * @param slots slots that serve the queue at present
 * @param now_ms monotonic time
 * @return OUTCOME_ANSWERED when it waits now, else OUTCOME_QUEUE_FULL,
 *         OUTCOME_QUEUE_BYTES, OUTCOME_WOULD_EXPIRE or OUTCOME_NO_VM
 */
enum outcome admission_queue_push(struct admission_queue *queue,
				  struct admission_item *item, uint32_t slots,
				  uint64_t now_ms);

/**
 * @brief Counts a request towards the bounds without putting it in line.
 *
 * For a request that must wait for something else before it may start. The
 * checks are those of admission_queue_push(). Ends with
 * admission_queue_enqueue() or admission_queue_remove().
 */
enum outcome admission_queue_reserve(struct admission_queue *queue,
				     struct admission_item *item,
				     uint32_t slots, uint64_t now_ms);

/** @brief Puts a held request in line, by its deadline. */
void admission_queue_enqueue(struct admission_queue *queue,
			     struct admission_item *item, uint64_t now_ms);

/**
 * @brief Puts a request that is to be retried at the head of the line.
 * @return OUTCOME_ANSWERED, OUTCOME_QUEUE_FULL or OUTCOME_QUEUE_BYTES
 */
enum outcome admission_queue_requeue(struct admission_queue *queue,
				     struct admission_item *item);

/** @brief Returns the request that is next in line, or NULL. */
struct admission_item *
admission_queue_peek(const struct admission_queue *queue);

/**
 * @brief Tells whether a request that was taken is to be refused as late.
 *
 * It is when too little time is left for an answer, by the time that requests
 * held their slots lately, and others wait for the slot; or when its deadline
 * has passed.
 */
bool admission_queue_is_late(const struct admission_queue *queue,
			     const struct admission_item *item,
			     uint64_t now_ms);

/** @brief Returns the request in line after another, or NULL. */
struct admission_item *admission_queue_next(const struct admission_queue *queue,
					    const struct admission_item *item);

/** @brief Takes the request that is next in line. @return NULL for none */
struct admission_item *admission_queue_pop(struct admission_queue *queue);

/** @brief Removes a request wherever it stands, in line or held. */
void admission_queue_remove(struct admission_queue *queue,
			    struct admission_item *item);

/** @brief Returns the number of requests in line. */
uint32_t admission_queue_length(const struct admission_queue *queue);

/** @brief Returns the bytes of requests in line or held. */
uint64_t admission_queue_bytes(const struct admission_queue *queue);

/** @brief Feeds the observed time that a request held its slot. */
void admission_queue_record_service(struct admission_queue *queue,
				    uint64_t service_ms);

/** @brief Returns the mean time that a request holds its slot. */
uint64_t admission_queue_mean_service_ms(const struct admission_queue *queue);

/** @brief Estimates how long a request added now would wait. */
uint64_t admission_queue_expected_wait_ms(const struct admission_queue *queue,
					  uint32_t slots);

/**
 * @brief Computes when a refused caller should come back.
 * @return whole seconds, at least 1
 */
uint32_t admission_queue_retry_after_s(const struct admission_queue *queue,
				       uint32_t slots);

#endif
