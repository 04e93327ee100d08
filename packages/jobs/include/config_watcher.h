/**
 * @file config_watcher.h
 * @brief Watches the operator's configuration in the store and applies it.
 *
 * Prefix: config_watcher_. A configuration is ignored unless its version is
 * higher than the applied one.
 */
#ifndef CONFIG_WATCHER_H
#define CONFIG_WATCHER_H

#include "loop.h"
#include "adapter.h"
#include "platform_client.h"

/** The watcher, opaque. */
struct config_watcher;

/**
 * Called with each newer configuration; the callee takes its own reference.
 */
typedef void (*config_watcher_cb)(void *data, struct catalogue *catalogue);

/** @brief Creates a watcher and starts watching. */
struct config_watcher *config_watcher_create(struct loop *loop,
					     struct platform *platform,
					     const struct adapter_ops *ops,
					     config_watcher_cb cb, void *data);

/** @brief Stops watching and frees the watcher. @param watcher may be NULL */
void config_watcher_destroy(struct config_watcher *watcher);

/**
 * @brief Returns the applied configuration.
 * @return borrowed catalogue, or NULL before the first configuration
 */
struct catalogue *
config_watcher_catalogue(const struct config_watcher *watcher);

#endif
