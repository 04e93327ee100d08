/**
 * @file adm.h
 * @brief Admission: a pool's queue, bounded in requests, bytes and time.
 *
 * Prefix: adm_. The earliest deadline goes first. Adding, taking and removing
 * cost the same, whatever the length. A request that cannot start before its
 * deadline is refused at once.
 */
#ifndef ADM_H
#define ADM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "edq.h"
#include "out.h"

/** Bounds of a queue. */
struct adm_limits {
	uint32_t max_requests;
	uint64_t max_bytes;
	uint32_t max_wait_ms;
};

/** A waiting request, embedded in its owner; zeroed before its first use. */
struct adm_item {
	struct edq_item place;
	uint64_t bytes;
	uint64_t enqueued_ms;
	uint64_t deadline_ms;
	/** waits in line */
	bool queued;
	/** counts towards the bounds but is not in line yet */
	bool held;
};

/** The queue, opaque. */
struct adm_queue;

/** @brief Creates a queue, freed by adm_queue_destroy(). */
struct adm_queue *adm_queue_create(const struct adm_limits *limits);

/** @brief Frees an empty queue. @param queue may be NULL */
void adm_queue_destroy(struct adm_queue *queue);

/** @brief Replaces the bounds; requests already waiting stay. */
void adm_queue_limit(struct adm_queue *queue, const struct adm_limits *limits);

/**
 * @brief Adds a request or says why it is refused.
 *
 * @param queue the queue
 * @param item the request with bytes and deadline_ms filled
 * @param slots slots that serve the queue at present
 * @param now_ms monotonic time
 * @return OUT_ANSWERED when it waits now, else OUT_QUEUE_FULL,
 *         OUT_QUEUE_BYTES, OUT_WOULD_EXPIRE or OUT_NO_VM
 */
enum out_kind adm_queue_push(struct adm_queue *queue, struct adm_item *item,
			     uint32_t slots, uint64_t now_ms);

/**
 * @brief Counts a request towards the bounds without putting it in line.
 *
 * For a request that must wait for something else before it may start. The
 * checks are those of adm_queue_push(). Ends with adm_queue_enter() or
 * adm_queue_remove().
 */
enum out_kind adm_queue_hold(struct adm_queue *queue, struct adm_item *item,
			     uint32_t slots, uint64_t now_ms);

/** @brief Puts a held request in line, by its deadline. */
void adm_queue_enter(struct adm_queue *queue, struct adm_item *item,
		     uint64_t now_ms);

/**
 * @brief Puts a request that is to be retried at the head of the line.
 * @return OUT_ANSWERED, OUT_QUEUE_FULL or OUT_QUEUE_BYTES
 */
enum out_kind adm_queue_return(struct adm_queue *queue, struct adm_item *item);

/** @brief Returns the request that is next in line, or NULL. */
struct adm_item *adm_queue_peek(const struct adm_queue *queue);

/**
 * @brief Tells whether a request that was taken is to be refused as late.
 *
 * It is when too little time is left for an answer, by the time that requests
 * held their slots lately, and others wait for the slot; or when its deadline
 * has passed.
 */
bool adm_queue_is_late(const struct adm_queue *queue,
		       const struct adm_item *item, uint64_t now_ms);

/** @brief Returns the request in line after another, or NULL. */
struct adm_item *adm_queue_next(const struct adm_queue *queue,
				const struct adm_item *item);

/** @brief Takes the request that is next in line. @return NULL for none */
struct adm_item *adm_queue_pop(struct adm_queue *queue);

/** @brief Removes a request wherever it stands, in line or held. */
void adm_queue_remove(struct adm_queue *queue, struct adm_item *item);

/** @brief Returns the number of requests in line. */
uint32_t adm_queue_length(const struct adm_queue *queue);

/** @brief Returns the bytes of requests in line or held. */
uint64_t adm_queue_bytes(const struct adm_queue *queue);

/** @brief Feeds the observed time that a request held its slot. */
void adm_queue_served(struct adm_queue *queue, uint64_t service_ms);

/** @brief Returns the mean time that a request holds its slot. */
uint64_t adm_queue_mean_ms(const struct adm_queue *queue);

/** @brief Estimates how long a request added now would wait. */
uint64_t adm_queue_wait_ms(const struct adm_queue *queue, uint32_t slots);

/**
 * @brief Computes when a refused caller should come back.
 * @return whole seconds, at least 1
 */
uint32_t adm_queue_retry_after_s(const struct adm_queue *queue, uint32_t slots);

#endif
