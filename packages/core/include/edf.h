/**
 * @file edf.h
 * @brief Earliest-deadline-first queue; the cost of an operation does not
 * depend on its length.
 *
 * Prefix: edf_. Items are kept in a ring of buckets, each for EDF_BUCKET_MS of
 * deadlines. Items of one bucket stay in the order of insertion. Deadlines
 * beyond the last bucket go into the last bucket.
 */
#ifndef EDF_H
#define EDF_H

#include <glib.h>
#include <stdint.h>

/** Range of deadlines that share a bucket. */
#define EDF_BUCKET_MS 64u
/** Number of buckets, a power of two. */
#define EDF_BUCKETS 1024u
/** Words of the bitmap of non-empty buckets. */
#define EDF_WORDS (EDF_BUCKETS / 64u)

/** An item, embedded in a larger structure; link.data is free for its user. */
struct edf_item {
	GList link;
	uint32_t bucket;
};

/** The queue; initialised by edf_init(). */
struct edf_queue {
	GQueue buckets[EDF_BUCKETS];
	/** bitmap of non-empty buckets */
	uint64_t occupied[EDF_WORDS];
	/** lengths of the buckets as a binary indexed tree */
	uint32_t sums[EDF_BUCKETS + 1];
	/** first bucket of the ring, as a deadline divided by EDF_BUCKET_MS */
	uint64_t base;
	uint32_t length;
};

/** @brief Initialises an empty queue. */
void edf_init(struct edf_queue *queue);

/** @brief Appends an item to the bucket of its deadline. */
void edf_push(struct edf_queue *queue, struct edf_item *item,
	      uint64_t deadline_ms, uint64_t now_ms);

/** @brief Puts an item in front of all others. */
void edf_push_first(struct edf_queue *queue, struct edf_item *item);

/** @brief Returns the first item, or NULL. */
struct edf_item *edf_first(const struct edf_queue *queue);

/** @brief Returns the item that follows another in the queue, or NULL. */
struct edf_item *edf_next(const struct edf_queue *queue,
			  const struct edf_item *item);

/** @brief Removes an item. */
void edf_remove(struct edf_queue *queue, struct edf_item *item);

/**
 * @brief Counts the items that would be served before a new one with this
 * deadline.
 */
uint32_t edf_count_ahead(const struct edf_queue *queue, uint64_t deadline_ms);

#endif
