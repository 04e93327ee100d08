/**
 * @file claim.h
 * @brief Claims of idempotency keys, agreed through the platform.
 *
 * Prefix: claim_. A key is claimed by a conditional create before its request
 * is sent, so that no two processes send requests with the same key. Claims
 * that wait at the same time share one transaction. They are bound to leases
 * that no process renews, so they end by themselves after their life and
 * outlast the process that made them.
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

/** What the claims work with; all borrowed. */
struct claim_config {
	struct loop *loop;
	struct platform *platform;
	struct counter_set *counters;
	/** identity of this process, written into each claim */
	const char *id;
	uint64_t incarnation;
	uint32_t life_s;
	/** number of processes that share the platform's rate */
	uint32_t (*processes)(void *data);
	void *data;
};

/**
 * @brief Ends the taking of a claim; called once, from the loop.
 * @param err ERR_NONE, ERR_CONFLICT when another request holds the key, or
 *        the platform's error; after an error the claim is given back
 */
typedef void (*claim_cb)(void *data, enum err_kind err);

/** @brief Creates an empty set. */
struct claim_set *claim_set_create(const struct claim_config *config);

/** @brief Frees the set and all its claims. @param claims may be NULL */
void claim_set_destroy(struct claim_set *claims);

/**
 * @brief Starts to claim a key of a route.
 * @return the claim; after a callback with an error it is invalid, else it
 *         ends with claim_keep() or claim_release()
 */
struct claim *claim_acquire(struct claim_set *claims, const char *route,
			    const char *key, const char *request_id,
			    claim_cb cb, void *data);

/** @brief Leaves a held claim to its life: the request may have run. */
void claim_keep(struct claim *claim);

/**
 * @brief Gives a claim back: the request did not run. There is no callback
 *        after this.
 * @param claim may be NULL
 */
void claim_release(struct claim *claim);

/** @brief Returns the claims that were taken and the transactions used. */
void claim_set_counts(const struct claim_set *claims, uint64_t *taken,
		      uint64_t *transactions);

#endif
