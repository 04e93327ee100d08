/**
 * @file edq.h
 * @brief A queue in order of deadlines, at a cost that its length does not
 * change.
 *
 * Prefix: edq_. Items stand in buckets of EDQ_BUCKET_MS by their deadlines;
 * those of one bucket keep the order in which they came. Deadlines beyond
 * the last bucket share it.
 */
#ifndef EDQ_H
#define EDQ_H

#include <glib.h>
#include <stdint.h>

/** Deadlines within this time share a bucket. */
#define EDQ_BUCKET_MS 64u
/** Number of buckets, a power of two. */
#define EDQ_BUCKETS 1024u
/** Words with a bit for each bucket. */
#define EDQ_WORDS (EDQ_BUCKETS / 64u)

/** An item, embedded in its owner; link.data is the owner's. */
struct edq_item {
	GList link;
	uint32_t bucket;
};

/** The queue; initialised by edq_init(). */
struct edq_queue {
	GQueue buckets[EDQ_BUCKETS];
	/** a bit for each bucket that holds items */
	uint64_t occupied[EDQ_WORDS];
	/** sums of the buckets' lengths, as a binary indexed tree */
	uint32_t sums[EDQ_BUCKETS + 1];
	/** number of the earliest bucket since time zero */
	uint64_t base;
	uint32_t length;
};

/** @brief Initialises an empty queue. */
void edq_init(struct edq_queue *queue);

/** @brief Adds an item behind those of the same bucket. */
void edq_push(struct edq_queue *queue, struct edq_item *item,
	      uint64_t deadline_ms, uint64_t now_ms);

/** @brief Adds an item before all others. */
void edq_push_first(struct edq_queue *queue, struct edq_item *item);

/** @brief Returns the first item, or NULL. */
struct edq_item *edq_first(const struct edq_queue *queue);

/** @brief Returns the item after another in this order, or NULL. */
struct edq_item *edq_next(const struct edq_queue *queue,
			  const struct edq_item *item);

/** @brief Removes an item. */
void edq_remove(struct edq_queue *queue, struct edq_item *item);

/** @brief Counts the items that stand before a new one of this deadline. */
uint32_t edq_ahead(const struct edq_queue *queue, uint64_t deadline_ms);

#endif
