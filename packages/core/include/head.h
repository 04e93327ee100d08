/**
 * @file head.h
 * @brief Rules for the head: the roll in force, the newest placement and how
 * fresh this knowledge is.
 *
 * Prefix: head_. A roll puts a bundle in force; roll numbers only grow. A
 * process may dispatch only within a time window, by its monotonic clock, that
 * starts with the latest confirmation that the placement it has applied is the
 * newest one.
 */
#ifndef HEAD_H
#define HEAD_H

#include <stdbool.h>
#include <stdint.h>

/** Size of a lower-case hexadecimal SHA-256 with its terminating NUL. */
#define HEAD_DIGEST_BYTES 65

/** Age that stands for "never confirmed". */
#define HEAD_AGE_NEVER UINT32_MAX

/** Identifies the roll in force and the newest placement. */
struct head {
	/** 0 if no bundle was ever put in force */
	uint64_t roll;
	uint64_t version;
	char digest[HEAD_DIGEST_BYTES];
	uint64_t placement_number;
};

/** What a process knows of the head and what it has applied. */
struct head_state {
	/** greatest roll and placement number received */
	struct head known;
	/** roll that this process has applied */
	uint64_t applied_roll;
	uint64_t applied_placement;
	/** monotonic time at which the applied placement was last confirmed */
	uint64_t confirmed_ms;
	/** how long the process may dispatch after a confirmation */
	uint32_t window_ms;
	/**
	 * whether the platform has answered since the process started, and the
	 * placement number in its first answer
	 */
	bool platform_answered;
	uint64_t platform_placement;
};

/** What to do after a head was received. */
struct head_action {
	bool fetch_bundle;
	bool fetch_placement;
	/** the received head was newer than the known one */
	bool newer;
	/** the received head was older than the known one and was ignored */
	bool stale;
};

/**
 * @brief Initialises the state of a process that has not received a head yet.
 * @param window_ms how long it may dispatch after a confirmation
 */
void head_state_init(struct head_state *state, uint32_t window_ms);

/**
 * @brief Updates the state with a head from a peer, which alone confirms
 * nothing.
 * @return what to fetch
 */
struct head_action head_update_from_peer(struct head_state *state,
					 const struct head *head);

/**
 * @brief Records that the applied placement was the newest one at a time.
 *
 * Does nothing while a newer placement is known.
 */
void head_confirm(struct head_state *state, uint64_t at_ms);

/**
 * @brief Takes over a peer's confirmation of its applied placement.
 *
 * That the platform or a majority confirmed a placement number at a time is a
 * fact that may be passed on. The peer's clock is not compared with the local
 * one: the age is subtracted from the time of the request, which was sent
 * before the peer replied.
 *
 * @param number placement that the peer has applied; ignored if it is greater
 *        than the one applied here
 * @param requested_ms monotonic time at which the request was sent
 * @param age_ms head_confirmation_age_ms() of the peer
 */
void head_confirm_from_peer(struct head_state *state, uint64_t number,
			    uint64_t requested_ms, uint32_t age_ms);

/**
 * @brief Returns the time since the last confirmation, HEAD_AGE_NEVER if there
 * was none.
 */
uint32_t head_confirmation_age_ms(const struct head_state *state,
				  uint64_t now_ms);

/**
 * @brief Returns whether this process may vote on the newest placement.
 *
 * Votes are described in quorum.h. A restarted process does not know what it
 * had applied before. It may vote again once it has applied the placement
 * number that the platform returned first after the restart.
 */
bool head_has_caught_up(const struct head_state *state);

/**
 * @brief Updates the state with a head from the platform.
 *
 * @param state updated
 * @param head the head received
 * @param requested_ms monotonic time at which the request for it was sent
 * @return what to fetch
 */
struct head_action head_update_from_platform(struct head_state *state,
					     const struct head *head,
					     uint64_t requested_ms);

/** @brief Returns what to fetch: what is known but not applied yet. */
struct head_action head_pending(const struct head_state *state);

/**
 * @brief Discards the known roll after its bundle was refused.
 *
 * A refused roll must not block a genuine one with a smaller number. What was
 * applied stays.
 *
 * @param in_force roll, version and digest of the applied bundle; its placement
 *        number is ignored
 */
void head_reject_roll(struct head_state *state, const struct head *in_force);

/** @brief Returns whether this process may dispatch now. */
bool head_may_dispatch(const struct head_state *state, uint64_t now_ms);

/**
 * @brief Records that the bundle of a roll was applied.
 * @return false if this or a greater roll had been applied already; nothing
 *        changes then
 */
bool head_set_applied_roll(struct head_state *state, uint64_t roll);

#endif
