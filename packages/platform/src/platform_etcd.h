/**
 * @file platform_etcd.h
 * @brief Adapter for the etcd v3 JSON gateway and for VM actions in HTTP.
 *
 * The key-value part follows etcd's published v3 API in its JSON mapping:
 * /v3/kv/range, /v3/kv/txn, /v3/lease/grant, /v3/lease/keepalive and
 * /v3/lease/revoke. VM calls are defined in docs/PROTOCOLS.md.
 */
#ifndef PLATFORM_ETCD_H
#define PLATFORM_ETCD_H

#include "platform_client.h"

/** The adapter's table. */
extern const struct platform_ops platform_etcd_ops;

#endif
