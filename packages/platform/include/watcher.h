/**
 * @file watcher.h
 * @brief Follows the keys under a prefix of the platform's store.
 *
 * Prefix: watcher_. Reads the keys once, then watches; after a cut watch, or
 * when history was dropped, it reads them again. Needs an adapter with a watch.
 */
#ifndef WATCHER_H
#define WATCHER_H

#include "platform_client.h"

/** What a follower calls. */
struct watcher_ops {
	/** all keys, after a read; kvs is valid during the call */
	void (*on_snapshot)(void *data, const struct platform_kv *kvs,
			    size_t count);
	/** one change, in order */
	void (*on_change)(void *data, const struct platform_kv *kv);
};

/** The follower, opaque. */
struct watcher;

/**
 * @brief Starts to follow.
 * @param wait_ms how long one watch waits; bounds how late a silent connection
 *        is noticed
 */
struct watcher *watcher_create(struct loop *loop, struct platform *platform,
			       const char *prefix, uint32_t wait_ms,
			       const struct watcher_ops *ops, void *data);

/** @brief Stops. Calls in flight are forgotten. @param follower may be NULL */
void watcher_destroy(struct watcher *follower);

/** @brief Reads the keys now, beside the watch, unless a read is under way. */
void watcher_refresh(struct watcher *follower);

#endif
