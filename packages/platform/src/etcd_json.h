/**
 * @file etcd_json.h
 * @brief Builds and parses the JSON messages of the etcd adapter.
 *
 * Prefix: etcd_json_. No input or output, so that the parsers can be fuzzed.
 */
#ifndef PLATFORM_JSON_H
#define PLATFORM_JSON_H

#include <glib.h>
#include <jansson.h>

#include "platform_client.h"

/** A parsed answer that owns what its result points to. */
struct etcd_json_result {
	struct platform_result result;
	/** array of struct platform_kv */
	GArray *kvs;
	/** decoded keys and values */
	GPtrArray *buffers;
};

/** @brief Encodes a 64-bit number as proto3 JSON does: as a string. */
json_t *etcd_json_int64_build(int64_t value);

/** @brief Builds a range request for a key or for all keys of a prefix. */
json_t *etcd_json_range_build(const char *key, bool prefix);

/** @brief Builds a transaction whose failure branch reads what it compared. */
json_t *etcd_json_txn_build(const struct platform_txn *txn);

/**
 * @brief Parses the answer to a range or transaction.
 * @param out always initialised; cleared by etcd_json_result_clear()
 * @return ERR_NONE or ERR_MALFORMED
 */
enum err_kind etcd_json_result_parse(const json_t *root,
				     struct etcd_json_result *out);

/** @brief Frees what a parsed answer owns. */
void etcd_json_result_clear(struct etcd_json_result *result);

/**
 * @brief Parses the answer to a lease call.
 * @return ERR_NONE, ERR_MALFORMED, or ERR_NOT_FOUND for an expired lease
 */
enum err_kind etcd_json_lease_parse(const json_t *root, int64_t *lease,
				    uint32_t *ttl_s);

/**
 * @brief Parses a list of VMs.
 * @param out array of struct platform_vm whose names belong to root
 * @return ERR_NONE or ERR_MALFORMED
 */
enum err_kind etcd_json_vms_parse(const json_t *root, GArray **out);

#endif
