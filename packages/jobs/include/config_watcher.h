/**
 * @file config_watcher.h
 * @brief Watches the operator's configuration in the store and applies it.
 *
 * Prefix: config_watcher_. A configuration is ignored unless its version is
 * higher than the applied one. Where keys of client accounts may be withdrawn
 * on short notice, the configuration is also read at intervals, so that its age
 * is known, see revocation.h.
 */
#ifndef CONFIG_WATCHER_H
#define CONFIG_WATCHER_H

#include "loop.h"
#include "adapter.h"
#include "platform_client.h"
#include "revocation.h"

/** The watcher, opaque. */
struct config_watcher;

/**
 * Called with each newer configuration; the callee takes its own reference.
 */
typedef void (*config_watcher_cb)(void *data, struct catalogue *catalogue);

/** @brief Creates a watcher and starts watching.
 *  @param revocation_bound_ms time for which a withdrawn key may still be used,
 *                             0 for no bound */
struct config_watcher *config_watcher_create(struct loop *loop,
					     struct platform *platform,
					     const struct adapter_ops *ops,
					     uint32_t revocation_bound_ms,
					     config_watcher_cb cb, void *data);

/** @brief Changes the time for which a withdrawn key may still be used. */
void config_watcher_set_revocation_bound(struct config_watcher *watcher,
					 uint32_t bound_ms);

/** @brief Returns whether keys of the applied configuration may be accepted. */
bool config_watcher_allows_keys(const struct config_watcher *watcher);

/** @brief Returns the age of the applied configuration and what is known about
 *  its version, for other processes and for logs. */
const struct revocation *
config_watcher_revocation(const struct config_watcher *watcher);

/**
 * @brief Records that another process knows a version as the newest one.
 * @param sent_ms local time at which it was asked
 * @param age_ms time between its read of the version and its answer
 */
void config_watcher_confirm(struct config_watcher *watcher, uint64_t version,
			    uint64_t sent_ms, uint32_t age_ms);

/** @brief Stops watching and frees the watcher. @param watcher may be NULL */
void config_watcher_destroy(struct config_watcher *watcher);

/**
 * @brief Returns the applied configuration.
 * @return borrowed catalogue, or NULL before the first configuration
 */
struct catalogue *
config_watcher_catalogue(const struct config_watcher *watcher);

#endif
