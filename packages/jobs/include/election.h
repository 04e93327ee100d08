/**
 * @file election.h
 * @brief Election of the owner of the job service by a leased key.
 *
 * Prefix: election_. Each process follows the key; one that finds it absent
 * tries to write itself there under its lease. The revision of that write only
 * grows, so it serves as the base of the owner's fencing tokens.
 *
 * An owner whose lease has ended, or can no longer be proved, goes on until it
 * learns of another owner: the fencing tokens and the chain of cmt.h make its
 * orders and writes harmless, and only election_holds_lease() turns false. It
 * writes the key again when it can, unless another process has owned since:
 * what it knows of the jobs may be old then.
 */
#ifndef ELECTION_H
#define ELECTION_H

#include "loop.h"
#include "platform_client.h"

/** Key of the owner. */
#define ELECTION_KEY "/sassafrascart/jobs-owner"

/** An owner as the key tells it. */
struct election_owner {
	char id[64];
	char ip[16];
	/** port of its peer interface */
	uint16_t port;
	/** revision of its first write of the key */
	int64_t fence;
};

/** What the election calls. */
struct election_ops {
	/** this process is the owner; revision is that of the key */
	void (*on_won)(void *data, int64_t revision);
	/** another process is the owner, or nobody with NULL */
	void (*on_owner)(void *data, const struct election_owner *owner);
	/** this process owns no longer */
	void (*on_lost)(void *data);
};

/** Who takes part. */
struct election_config {
	const char *id;
	const char *ip;
	uint16_t port;
	/** life of the lease */
	uint32_t ttl_s;
	/** pause before competing for a free key; smaller ones win */
	uint32_t delay_ms;
};

/** The election, opaque. */
struct election;

/** @brief Starts to follow and to compete. */
struct election *election_create(struct loop *loop, struct platform *platform,
				 const struct election_config *config,
				 const struct election_ops *ops, void *data);

/** @brief Stops without a word. @param election may be NULL */
void election_destroy(struct election *election);

/** @brief Gives ownership up at once and competes no more. */
void election_resign(struct election *election);

/**
 * @brief Gives ownership up because another owner has been met.
 *
 * Competes again once the key is free.
 */
void election_step_down(struct election *election);

/** @brief Reads the key now, as the owner that was seen last is silent. */
void election_refresh(struct election *election);

/** @brief Tells whether this process owns and its lease runs for sure. */
bool election_holds_lease(const struct election *election);

/** @brief Returns the owner that was seen last, NULL for none. */
const struct election_owner *election_owner(const struct election *election);

#endif
