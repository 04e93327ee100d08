/**
 * @file kvs.h
 * @brief The stand-in's key-value store with revisions and leases.
 *
 * Prefix: kvs_.
 */
#ifndef KVS_H
#define KVS_H

#include <jansson.h>
#include <stdint.h>

/** The store, opaque. */
struct kvs_store;

/** @brief Creates an empty store that lives as long as the process. */
struct kvs_store *kvs_store_create(void);

/** @brief Ends the leases whose time has passed and deletes their keys. */
void kvs_expire(struct kvs_store *store, uint64_t now_ms);

/** @brief Runs a range request in etcd's JSON mapping. */
json_t *kvs_range(struct kvs_store *store, const json_t *request);

/** @brief Runs a transaction in etcd's JSON mapping. */
json_t *kvs_txn(struct kvs_store *store, const json_t *request);

/** @brief Grants, keeps alive or revokes a lease; op is the path's word. */
json_t *kvs_lease(struct kvs_store *store, const char *op,
		  const json_t *request, uint64_t now_ms);

/** @brief Writes a key outside of any transaction, for the judges. */
void kvs_write(struct kvs_store *store, const char *key, const char *value);

/** @brief Returns every write made, oldest first, for the judges. */
json_t *kvs_history(const struct kvs_store *store);

#endif
