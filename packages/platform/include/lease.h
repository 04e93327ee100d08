/**
 * @file lease.h
 * @brief Keeps a lease of this process alive and replaces a lost one.
 *
 * Prefix: lease_. The time-to-live is counted on the monotonic clock from the
 * time at which the renewal was sent, so the lease expires here before it does
 * on the platform, also after the process was paused.
 */
#ifndef LEASE_H
#define LEASE_H

#include "loop.h"
#include "platform_client.h"

/** A lease with its renewal, opaque. */
struct lease;

/** Callbacks of a lease. */
struct lease_ops {
	/** the platform granted a lease; keys may be bound to its id */
	void (*on_granted)(void *data, int64_t id);
	/** the lease has expired, was revoked or may have expired */
	void (*on_lost)(void *data);
};

/** @brief Starts to request a lease with a time-to-live. */
struct lease *lease_create(struct loop *loop, struct platform *platform,
			   uint32_t ttl_s, const struct lease_ops *ops,
			   void *data);

/** @brief Stops the renewal without revoking the lease. @param lease may be
 *  NULL */
void lease_destroy(struct lease *lease);

/** @brief Returns the id of the lease, 0 while there is none that is valid. */
int64_t lease_id(const struct lease *lease);

/** @brief Returns the time-to-live that the platform gave the last lease, or
 *  the requested one before; a platform may have a minimum. */
uint32_t lease_ttl_ms(const struct lease *lease);

/** @brief Revokes the lease and requests no other. */
void lease_release(struct lease *lease);

/** @brief Returns whether a release has ended, successfully or not. */
bool lease_is_released(const struct lease *lease);

#endif
