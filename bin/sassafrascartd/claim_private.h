/**
 * @file claim_private.h
 * @brief Definitions shared by the source files of the claim module.
 */
#ifndef CLAIM_PRIVATE_H
#define CLAIM_PRIVATE_H

#include <glib.h>

#include "claim.h"

/** Maximum claims in a transaction; etcd allows 128 operations by default. */
#define CLAIM_BATCH_MAX 64
/**
 * Maximum transactions in flight, so that one without an answer does not block
 * the others.
 */
#define CLAIM_IN_FLIGHT_MAX 4
/** Maximum length of each cleanup queue. */
#define CLAIM_CLEANUP_MAX 1024

/** A claim on an idempotency key. */
struct claim {
	struct claim_set *claims;
	char *key;
	char *value;
	claim_cb cb;
	void *data;
	GList link;
	bool submitted;
	bool acquired;
	/** claim_release() was called while the transaction was in flight */
	bool release_requested;
	int64_t create_revision;
};

/** The claims of a process and the transactions in flight. */
struct claim_set {
	struct claim_config config;
	/** claims that no transaction contains yet */
	GQueue queued;
	/** key to struct claim, for claims queued or in flight */
	GHashTable *pending;
	/** claims that exist in the store and are to be deleted */
	GQueue to_delete;
	bool deleting;
	/**
	 * claims whose transaction failed with an unknown effect, so that they
	 * may exist although their requests were refused
	 */
	GQueue unverified_claims;
	bool verifying;
	/** struct claim_batch of each transaction in flight */
	GQueue batches;
	int64_t lease;
	uint64_t lease_usable_until_ms;
	bool lease_requested;
	/** earliest time that the rate limit allows for the next transaction */
	uint64_t next_transaction_ms;
	struct timer flush_timer;
	struct timer cleanup_timer;
	uint64_t acquired_count;
	uint64_t transaction_count;
};

/** The claims of one transaction. */
struct claim_batch {
	struct claim_set *claims;
	GPtrArray *items;
	GList link;
};

/** @brief Creates an empty batch and appends it to claims->batches. */
struct claim_batch *claim_batch_create(struct claim_set *claims);

/**
 * @brief Removes a batch from claims->batches and frees it, but not its claims.
 */
void claim_batch_free(struct claim_batch *batch);

/** @brief Frees a claim that is in no queue. */
void claim_free(struct claim *claim);

/**
 * @brief Queues a claim that exists in the store for deletion; takes ownership.
 */
void claim_cleanup_delete(struct claim *claim);

/**
 * @brief Queues a claim that may exist, to be deleted if it does; takes
 * ownership.
 */
void claim_cleanup_verify(struct claim *claim);

/**
 * @brief Starts the next deletion and the next check of an unverified claim;
 * timer callback.
 */
void claim_cleanup_run(void *data);

#endif
