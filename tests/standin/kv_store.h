/**
 * @file kv_store.h
 * @brief The stand-in's key-value store with revisions and leases.
 *
 * Prefix: kvs_.
 */
#ifndef KVS_H
#define KVS_H

#include <jansson.h>
#include <stdint.h>

/** The store, opaque. */
struct kv_store;

/** @brief Creates an empty store that lives as long as the process. */
struct kv_store *kv_store_create(void);

/** @brief Ends the leases whose time has passed and deletes their keys. */
void kv_store_expire(struct kv_store *store, uint64_t now_ms);

/** @brief Runs a range request in etcd's JSON mapping. */
json_t *kv_store_range(struct kv_store *store, const json_t *request);

/** @brief Runs a transaction in etcd's JSON mapping. */
json_t *kv_store_txn(struct kv_store *store, const json_t *request);

/** @brief Grants, keeps alive or revokes a lease; op is the path's word. */
json_t *kv_store_lease(struct kv_store *store, const char *op,
		       const json_t *request, uint64_t now_ms);

/** @brief Writes a key outside of any transaction, for the judges. */
void kv_store_put(struct kv_store *store, const char *key, const char *value);

/** @brief Returns every write made, oldest first, for the judges. */
json_t *kv_store_history(const struct kv_store *store);

#endif
