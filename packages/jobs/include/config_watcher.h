/**
 * @file config_watcher.h
 * @brief Follows the operator's configuration and puts it in force.
 *
 * Prefix: config_watcher_. A configuration never goes back: one whose version
 * is not above the one in force is left aside.
 */
#ifndef CONFIG_WATCHER_H
#define CONFIG_WATCHER_H

#include "loop.h"
#include "adapter.h"
#include "platform_client.h"

/** The watcher, opaque. */
struct config_watcher;

/** Called with each newer configuration; the callee takes its own reference. */
typedef void (*config_watcher_cb)(void *data, struct catalogue *catalogue);

/** @brief Starts to follow. */
struct config_watcher *config_watcher_create(struct loop *loop,
					     struct platform *platform,
					     const struct adapter_ops *ops,
					     config_watcher_cb cb, void *data);

/** @brief Stops. @param watcher may be NULL */
void config_watcher_destroy(struct config_watcher *watcher);

/** @brief Returns the configuration in force, NULL for none yet. */
struct catalogue *
config_watcher_catalogue(const struct config_watcher *watcher);

#endif
