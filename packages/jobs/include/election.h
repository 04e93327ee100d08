/**
 * @file election.h
 * @brief Election of the owner of the job service by a leased key.
 *
 * Prefix: election_. Each process watches the key. A process that finds it
 * absent tries to write its own address there, bound to its lease. The revision
 * of that write increases with each owner and serves as the base of the owner's
 * fencing tokens.
 *
 * An owner whose lease has expired or cannot be confirmed continues until it
 * learns of another owner. Its fencing tokens and the conditional writes of
 * commit_log.h make stale orders and writes harmless; only
 * election_holds_lease() becomes false. The owner writes the key again once it
 * has a new lease, unless another process has owned the service in between: its
 * view of the jobs may then be stale.
 */
#ifndef ELECTION_H
#define ELECTION_H

#include "loop.h"
#include "platform_client.h"

/** Key of the owner. */
#define ELECTION_KEY "/sassafrascart/jobs-owner"

/** An owner as described by the key. */
struct election_owner {
	char id[64];
	char ip[16];
	/** port of the owner's peer interface */
	uint16_t port;
	/** revision of the owner's first write of the key */
	int64_t fence;
};

/** Callbacks of the election. */
struct election_ops {
	/** this process has become the owner; revision is that of the key */
	void (*on_won)(void *data, int64_t revision);
	/** another process is the owner; NULL if there is none */
	void (*on_owner)(void *data, const struct election_owner *owner);
	/** this process is no longer the owner */
	void (*on_lost)(void *data);
};

/** Identity and address of this process, and timing. */
struct election_config {
	const char *id;
	const char *ip;
	uint16_t port;
	/** time-to-live of the lease */
	uint32_t ttl_s;
	/** delay before competing for an absent key; smaller ones win */
	uint32_t delay_ms;
};

/** The election, opaque. */
struct election;

/** @brief Starts to watch the key and to compete for it. */
struct election *election_create(struct loop *loop, struct platform *platform,
				 const struct election_config *config,
				 const struct election_ops *ops, void *data);

/** @brief Frees the election; its lease is left to expire.
 *  @param election may be NULL */
void election_destroy(struct election *election);

/** @brief Changes the delay before competing for ownership. */
void election_set_delay(struct election *election, uint32_t delay_ms);

/** @brief Releases ownership at once and stops competing. */
void election_resign(struct election *election);

/**
 * @brief Gives up ownership because another owner exists.
 *
 * Competes again once the key is absent.
 */
void election_step_down(struct election *election);

/** @brief Reads the key now, for use when the known owner does not answer. */
void election_refresh(struct election *election);

/** @brief Returns whether this process is the owner and its lease is certainly
 *  valid. */
bool election_holds_lease(const struct election *election);

/** @brief Returns the time-to-live of the leases that owner keys are bound to.
 */
uint32_t election_lease_ttl_ms(const struct election *election);

/** @brief Returns the last known owner, if it is another process, else NULL. */
const struct election_owner *election_owner(const struct election *election);

#endif
