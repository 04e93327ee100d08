/**
 * @file kv_store.h
 * @brief In-memory key-value store with etcd's revisions and leases.
 *
 * Requests and responses have the form of etcd's JSON gateway; the caller
 * releases the responses. Prefix: kv_store_.
 */
#ifndef KV_STORE_H
#define KV_STORE_H

#include <jansson.h>
#include <stdint.h>

/** The store; opaque. */
struct kv_store;

/** @brief Creates an empty store, which exists until the process exits. */
struct kv_store *kv_store_create(void);

/** @brief Revokes the leases that have expired and deletes their keys. */
void kv_store_expire(struct kv_store *store, uint64_t now_ms);

/** @brief Runs a range request. */
json_t *kv_store_range(struct kv_store *store, const json_t *request);

/**
 * @brief Runs a transaction.
 * @return the response, or NULL if a put names a lease that does not exist
 */
json_t *kv_store_txn(struct kv_store *store, const json_t *request);

/**
 * @brief Grants, renews or revokes a lease.
 * @param op "grant", "revoke" or, for any other text, renewal
 */
json_t *kv_store_lease(struct kv_store *store, const char *op,
		       const json_t *request, uint64_t now_ms);

/** @brief Writes a key without a transaction, to inject values from tests. */
void kv_store_put(struct kv_store *store, const char *key, const char *value);

/** @brief Returns all writes and deletions, oldest first, for checks in tests.
 */
json_t *kv_store_history(const struct kv_store *store);

#endif
