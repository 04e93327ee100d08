/**
 * @file clm.h
 * @brief Claims of idempotency keys, agreed through the platform.
 *
 * Prefix: clm_. A key is claimed by a conditional create before its request
 * is sent, so that no two processes send requests with the same key. Claims
 * that wait at the same time share one transaction. They are bound to leases
 * that no process renews, so they end by themselves after their life and
 * outlast the process that made them.
 */
#ifndef CLM_H
#define CLM_H

#include "counter.h"
#include "loop.h"
#include "platform_client.h"

/** All claims of this process, opaque. */
struct clm_claims;

/** One claim, opaque. */
struct clm_claim;

/** What the claims work with; all borrowed. */
struct clm_config {
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
typedef void (*clm_cb)(void *data, enum err_kind err);

/** @brief Creates an empty set. */
struct clm_claims *clm_claims_create(const struct clm_config *config);

/** @brief Frees the set and all its claims. @param claims may be NULL */
void clm_claims_destroy(struct clm_claims *claims);

/**
 * @brief Starts to claim a key of a route.
 * @return the claim; after a callback with an error it is invalid, else it
 *         ends with clm_keep() or clm_release()
 */
struct clm_claim *clm_take(struct clm_claims *claims, const char *route,
			   const char *key, const char *request_id, clm_cb cb,
			   void *data);

/** @brief Leaves a held claim to its life: the request may have run. */
void clm_keep(struct clm_claim *claim);

/**
 * @brief Gives a claim back: the request did not run. There is no callback
 *        after this.
 * @param claim may be NULL
 */
void clm_release(struct clm_claim *claim);

/** @brief Returns the claims that were taken and the transactions used. */
void clm_counts(const struct clm_claims *claims, uint64_t *taken,
		uint64_t *transactions);

#endif
