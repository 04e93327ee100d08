/**
 * @file edf.h
 * @brief A queue in order of deadlines, at a cost that its length does not
 * change.
 *
 * Prefix: edf_. Items stand in buckets of EDF_BUCKET_MS by their deadlines;
 * those of one bucket keep the order in which they came. Deadlines beyond
 * the last bucket share it.
 */
#ifndef EDF_H
#define EDF_H

#include <glib.h>
#include <stdint.h>

/** Deadlines within this time share a bucket. */
#define EDF_BUCKET_MS 64u
/** Number of buckets, a power of two. */
#define EDF_BUCKETS 1024u
/** Words with a bit for each bucket. */
#define EDF_WORDS (EDF_BUCKETS / 64u)

/** An item, embedded in its owner; link.data is the owner's. */
struct edf_item {
	GList link;
	uint32_t bucket;
};

/** The queue; initialised by edf_init(). */
struct edf_queue {
	GQueue buckets[EDF_BUCKETS];
	/** a bit for each bucket that holds items */
	uint64_t occupied[EDF_WORDS];
	/** sums of the buckets' lengths, as a binary indexed tree */
	uint32_t sums[EDF_BUCKETS + 1];
	/** number of the earliest bucket since time zero */
	uint64_t base;
	uint32_t length;
};

/** @brief Initialises an empty queue. */
void edf_init(struct edf_queue *queue);

/** @brief Adds an item behind those of the same bucket. */
void edf_push(struct edf_queue *queue, struct edf_item *item,
	      uint64_t deadline_ms, uint64_t now_ms);

/** @brief Adds an item before all others. */
void edf_push_first(struct edf_queue *queue, struct edf_item *item);

/** @brief Returns the first item, or NULL. */
struct edf_item *edf_first(const struct edf_queue *queue);

/** @brief Returns the item after another in this order, or NULL. */
struct edf_item *edf_next(const struct edf_queue *queue,
			  const struct edf_item *item);

/** @brief Removes an item. */
void edf_remove(struct edf_queue *queue, struct edf_item *item);

/** @brief Counts the items that stand before a new one of this deadline. */
uint32_t edf_count_ahead(const struct edf_queue *queue, uint64_t deadline_ms);

#endif
