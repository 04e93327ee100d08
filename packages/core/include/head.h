/**
 * @file head.h
 * @brief Rules for the head: which roll is in force and how fresh that is.
 *
 * Prefix: head_. The roll number only grows. A process may dispatch only
 * within a window, by the monotonic clock, from the last moment at which it
 * heard that the placement it has applied is the newest one.
 */
#ifndef HEAD_H
#define HEAD_H

#include <stdbool.h>
#include <stdint.h>

/** Lower-case hexadecimal SHA-256 with its terminating zero. */
#define HEAD_DIGEST_BYTES 65

/** Age of a confirmation that never was. */
#define HEAD_AGE_NEVER UINT32_MAX

/** Names the roll in force and the newest placement. */
struct head {
	/** 0 when nothing was ever rolled */
	uint64_t roll;
	uint64_t version;
	char digest[HEAD_DIGEST_BYTES];
	uint64_t placement_number;
};

/** What a process knows of the head. */
struct head_state {
	/** greatest head heard from anyone */
	struct head known;
	/** roll that this process applied */
	uint64_t applied_roll;
	uint64_t applied_placement;
	/** monotonic time at which the applied placement was last confirmed */
	uint64_t confirmed_ms;
	uint32_t window_ms;
	/** whether the platform answered since the start, and the placement
	 *  number in its first answer */
	bool platform_answered;
	uint64_t platform_placement;
};

/** What to do after a head was heard. */
struct head_action {
	bool fetch_bundle;
	bool fetch_placement;
	/** the head was newer than the one known */
	bool newer;
	/** the head was older than the one known and was ignored */
	bool stale;
};

/** @brief Initialises the state with nothing heard. */
void head_state_init(struct head_state *state, uint32_t window_ms);

/**
 * @brief Takes a head from a peer; on its own it confirms nothing.
 * @return what to fetch
 */
struct head_action head_update_from_peer(struct head_state *state,
					 const struct head *head);

/**
 * @brief Marks the applied placement as the newest at a time.
 *
 * Nothing changes while a newer placement is known.
 */
void head_confirm(struct head_state *state, uint64_t at_ms);

/**
 * @brief Takes over when a peer's placement was confirmed.
 *
 * That the platform or a majority confirmed a number at a time is a fact that
 * may be passed on. The peer's clock is not compared with this one's: the age
 * is taken off the time of the question, which came before the reply.
 *
 * @param number placement that the peer applied; nothing changes when it is
 *        greater than the one applied here
 * @param age_ms what head_confirmation_age_ms() gave there
 */
void head_confirm_from_peer(struct head_state *state, uint64_t number,
			    uint64_t asked_ms, uint32_t age_ms);

/** @brief Returns the time since the last confirmation, HEAD_AGE_NEVER for
 *  none. */
uint32_t head_confirmation_age_ms(const struct head_state *state,
				  uint64_t now_ms);

/**
 * @brief Tells whether this process's word on the newest placement counts.
 *
 * A process that restarted has forgotten what it applied before. Its word
 * counts again when it has applied a number that the platform named since.
 */
bool head_has_caught_up(const struct head_state *state);

/**
 * @brief Takes a head from the platform.
 * @param state updated
 * @param head the head heard
 * @param now_ms monotonic time at which the question for it was sent
 * @return what to fetch
 */
struct head_action head_update_from_platform(struct head_state *state,
					     const struct head *head,
					     uint64_t now_ms);

/** @brief Returns what is known to exist but is not applied yet. */
struct head_action head_pending(const struct head_state *state);

/**
 * @brief Forgets a known roll whose bundle was refused.
 *
 * A refused roll must not stand in the way of a genuine one with a smaller
 * number. What was applied stays.
 *
 * @param in_force roll, version and digest of the bundle applied; its
 *        placement number is not looked at
 */
void head_reject_roll(struct head_state *state, const struct head *in_force);

/** @brief Tells whether this process may dispatch at this moment. */
bool head_may_dispatch(const struct head_state *state, uint64_t now_ms);

/**
 * @brief Marks a bundle as applied.
 * @return false when a greater roll was applied before; nothing changes
 */
bool head_set_applied_roll(struct head_state *state, uint64_t roll);

#endif
