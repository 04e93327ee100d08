/**
 * @file lse.h
 * @brief Keeps one lease of this process alive and regains a lost one.
 *
 * Prefix: lse_. The life of the lease is counted by the monotonic clock from
 * the moment a renewal was sent, so it ends here before it ends at the
 * platform, also after the process was paused.
 */
#ifndef LSE_H
#define LSE_H

#include "evl.h"
#include "plt.h"

/** The lease keeper, opaque. */
struct lse_keeper;

/** What the keeper calls. */
struct lse_ops {
	/** a lease was granted; keys may be bound to it */
	void (*on_granted)(void *data, int64_t lease);
	/** the lease has ended or can no longer be relied on */
	void (*on_lost)(void *data);
};

/** @brief Starts asking for a lease of a given life. */
struct lse_keeper *lse_keeper_create(struct evl_loop *loop,
				     struct plt_platform *platform,
				     uint32_t ttl_s, const struct lse_ops *ops,
				     void *data);

/** @brief Stops without revoking. @param keeper may be NULL */
void lse_keeper_destroy(struct lse_keeper *keeper);

/** @brief Returns the lease, 0 while none can be relied on. */
int64_t lse_keeper_lease(const struct lse_keeper *keeper);

/** @brief Revokes the lease and stops asking for another. */
void lse_keeper_release(struct lse_keeper *keeper);

/** @brief Tells whether the release has ended, with or without an answer. */
bool lse_keeper_is_released(const struct lse_keeper *keeper);

#endif
