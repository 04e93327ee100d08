/**
 * @file claim_private.h
 * @brief What the parts of the claims share.
 */
#ifndef CLAIM_PRIVATE_H
#define CLAIM_PRIVATE_H

#include <glib.h>

#include "claim.h"

/** Claims in one transaction; etcd allows 128 operations by default. */
#define CLAIM_BATCH_MAX 64
/** Transactions in progress at a time, so that a lost one blocks nothing. */
#define CLAIM_IN_FLIGHT_MAX 4
/** Claims whose fate is unknown that are remembered, to be deleted. */
#define CLAIM_CLEANUP_MAX 1024

/** A claim of an idempotency key, from its taking to its end. */
struct claim {
	struct claim_set *claims;
	char *key;
	char *value;
	claim_cb cb;
	void *data;
	GList link;
	bool asked;
	bool held;
	/** given back while it was being asked for */
	bool released;
	int64_t create_revision;
};

/** The claims of a process and the transactions that carry them. */
struct claim_set {
	struct claim_config config;
	/** claims not asked for yet */
	GQueue waiting;
	/** key to claim, while it waits or is asked for */
	GHashTable *pending;
	/** claims to be deleted */
	GQueue releasing;
	bool deleting;
	/** claims that may exist although their callers were refused */
	GQueue doubts;
	bool resolving;
	/** struct claim_batch in progress */
	GQueue batches;
	int64_t lease;
	uint64_t lease_until_ms;
	bool granting;
	/** time at which the call rate allows the next transaction */
	uint64_t next_ms;
	struct timer flush_timer;
	struct timer clean_timer;
	uint64_t taken;
	uint64_t transactions;
};

/** Claims of one transaction. */
struct claim_batch {
	struct claim_set *claims;
	GPtrArray *items;
	GList link;
};

/** @brief Creates a batch without claims, listed in claims->batches. */
struct claim_batch *claim_batch_create(struct claim_set *claims);

/** @brief Frees a batch but not its claims. */
void claim_batch_free(struct claim_batch *batch);

/** @brief Frees a claim that is in no list. */
void claim_free(struct claim *claim);

/** @brief Takes over a claim that exists and is to be deleted. */
void claim_cleanup_delete(struct claim *claim);

/** @brief Takes over a claim that may exist and is to be deleted if so. */
void claim_cleanup_verify(struct claim *claim);

/** @brief Starts the next deletion or look-up; timer callback. */
void claim_cleanup_run(void *data);

#endif
