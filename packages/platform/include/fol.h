/**
 * @file fol.h
 * @brief Follows the keys under a prefix of the platform's store.
 *
 * Prefix: fol_. Reads the keys once, then watches; after a cut watch, or when
 * history was dropped, it reads them again. Needs an adapter with a watch.
 */
#ifndef FOL_H
#define FOL_H

#include "plt.h"

/** What a follower calls. */
struct fol_ops {
	/** all keys, after a read; kvs is valid during the call */
	void (*on_read)(void *data, const struct plt_kv *kvs, size_t count);
	/** one change, in order */
	void (*on_change)(void *data, const struct plt_kv *kv);
};

/** The follower, opaque. */
struct fol_follower;

/**
 * @brief Starts to follow.
 * @param wait_ms how long one watch waits; bounds how late a silent connection
 *        is noticed
 */
struct fol_follower *fol_follower_create(struct evl_loop *loop,
					 struct plt_platform *platform,
					 const char *prefix, uint32_t wait_ms,
					 const struct fol_ops *ops, void *data);

/** @brief Stops. Calls in flight are forgotten. @param follower may be NULL */
void fol_follower_destroy(struct fol_follower *follower);

/** @brief Reads the keys now, beside the watch, unless a read is under way. */
void fol_refresh(struct fol_follower *follower);

#endif
