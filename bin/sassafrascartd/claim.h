/**
 * @file claim.h
 * @brief Claims on idempotency keys, stored in the platform's key-value store.
 *
 * Prefix: claim_. Before a request with an idempotency key is sent, its key is
 * claimed by a transaction that creates the key only if it does not exist, so
 * that no two processes send requests with the same key. Claims that are queued
 * at the same time share one transaction. Each claim is attached to a lease
 * that is never renewed, so it outlives the process that made it and expires
 * after its time-to-live.
 */
#ifndef CLAIM_H
#define CLAIM_H

#include "counter.h"
#include "loop.h"
#include "platform_client.h"

/** All claims of this process, opaque. */
struct claim_set;

/** One claim, opaque. */
struct claim;

/** Configuration and dependencies of a claim set; all pointers are borrowed. */
struct claim_config {
	struct loop *loop;
	struct platform *platform;
	struct counter_set *counters;
	/** identity of this process, stored in each claim */
	const char *id;
	uint64_t incarnation;
	uint32_t ttl_s;
	/** returns the number of processes that share the claim rate limit */
	uint32_t (*live_process_count)(void *data);
	void *data;
};

/**
 * @brief Reports the result of claim_acquire(); called once, from the event
 * loop.
 * @param err ERR_NONE, ERR_CONFLICT if another request holds the key, or the
 *         platform's error; after an error the claim is invalid
 */
typedef void (*claim_cb)(void *data, enum err_kind err);

/** @brief Creates an empty claim set. */
struct claim_set *claim_set_create(const struct claim_config *config);

/** @brief Frees the set and all its claims. @param claims may be NULL */
void claim_set_destroy(struct claim_set *claims);

/**
 * @brief Starts to claim an idempotency key of a route.
 * @return the claim, which the caller ends with claim_keep() or claim_release()
 *         unless the callback reported an error; NULL if this process is
 *         already acquiring the same key
 */
struct claim *claim_acquire(struct claim_set *claims, const char *route,
			    const char *key, const char *request_id,
			    claim_cb cb, void *data);

/**
 * @brief Frees an acquired claim and lets its key expire, for a request that
 * may have run.
 */
void claim_keep(struct claim *claim);

/**
 * @brief Releases the key of a request that did not run. The callback is not
 * called after this.
 * @param claim may be NULL
 */
void claim_release(struct claim *claim);

/** @brief Returns the numbers of claims acquired and of transactions sent. */
void claim_set_counts(const struct claim_set *claims, uint64_t *acquired,
		      uint64_t *transactions);

#endif
