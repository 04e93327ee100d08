/**
 * @file watcher.h
 * @brief Watches the keys under a prefix of the platform's key-value store.
 *
 * Prefix: watcher_. Reads all keys once, then watches for changes. All keys
 * are read again when a watch fails or the platform has discarded the history
 * since the last revision seen. Requires an adapter with a watch operation.
 */
#ifndef WATCHER_H
#define WATCHER_H

#include "platform_client.h"

/** Callbacks of a watcher. */
struct watcher_ops {
	/** all keys of the prefix; kvs is valid only during the callback */
	void (*on_snapshot)(void *data, const struct platform_kv *kvs,
			    size_t count);
	/** one change of a key; changes arrive in order of revision */
	void (*on_change)(void *data, const struct platform_kv *kv);
};

/** A watcher, opaque. */
struct watcher;

/**
 * @brief Starts to watch a prefix.
 * @param wait_ms duration of one watch call; bounds how late a dead connection
 *        is detected
 */
struct watcher *watcher_create(struct loop *loop, struct platform *platform,
			       const char *prefix, uint32_t wait_ms,
			       const struct watcher_ops *ops, void *data);

/** @brief Stops; calls in flight are ignored. @param watcher may be NULL */
void watcher_destroy(struct watcher *watcher);

/** @brief Reads all keys now, in addition to the watch, unless such a read is
 * in flight. */
void watcher_refresh(struct watcher *watcher);

#endif
