/**
 * @file lease.h
 * @brief Keeps one lease of this process alive and regains a lost one.
 *
 * Prefix: lease_. The life of the lease is counted by the monotonic clock from
 * the moment a renewal was sent, so it ends here before it ends at the
 * platform, also after the process was paused.
 */
#ifndef LEASE_H
#define LEASE_H

#include "loop.h"
#include "platform_client.h"

/** The lease keeper, opaque. */
struct lease;

/** What the keeper calls. */
struct lease_ops {
	/** a lease was granted; keys may be bound to it */
	void (*on_granted)(void *data, int64_t lease);
	/** the lease has ended or can no longer be relied on */
	void (*on_lost)(void *data);
};

/** @brief Starts asking for a lease of a given life. */
struct lease *lease_create(struct loop *loop, struct platform *platform,
			   uint32_t ttl_s, const struct lease_ops *ops,
			   void *data);

/** @brief Stops without revoking. @param keeper may be NULL */
void lease_destroy(struct lease *keeper);

/** @brief Returns the lease, 0 while none can be relied on. */
int64_t lease_id(const struct lease *keeper);

/** @brief Revokes the lease and stops asking for another. */
void lease_release(struct lease *keeper);

/** @brief Tells whether the release has ended, with or without an answer. */
bool lease_is_released(const struct lease *keeper);

#endif
