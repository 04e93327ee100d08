/**
 * @file cfw.h
 * @brief Follows the operator's configuration and puts it in force.
 *
 * Prefix: cfw_. A configuration never goes back: one whose version is not
 * above the one in force is left aside.
 */
#ifndef CFW_H
#define CFW_H

#include "loop.h"
#include "jpt.h"
#include "platform_client.h"

/** The watcher, opaque. */
struct cfw_watcher;

/** Called with each newer configuration; the callee takes its own reference. */
typedef void (*cfw_cb)(void *data, struct jcf_catalogue *catalogue);

/** @brief Starts to follow. */
struct cfw_watcher *cfw_watcher_create(struct loop *loop,
				       struct platform *platform,
				       const struct jpt_ops *ops, cfw_cb cb,
				       void *data);

/** @brief Stops. @param watcher may be NULL */
void cfw_watcher_destroy(struct cfw_watcher *watcher);

/** @brief Returns the configuration in force, NULL for none yet. */
struct jcf_catalogue *cfw_catalogue(const struct cfw_watcher *watcher);

#endif
