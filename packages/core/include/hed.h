/**
 * @file hed.h
 * @brief Rules for the head: which roll is in force and how fresh that is.
 *
 * Prefix: hed_. The roll number only grows. A process may dispatch only
 * within a window, by the monotonic clock, from the last moment at which it
 * heard that the placement it has applied is the newest one.
 */
#ifndef HED_H
#define HED_H

#include <stdbool.h>
#include <stdint.h>

/** Lower-case hexadecimal SHA-256 with its terminating zero. */
#define HED_DIGEST_BYTES 65

/** Age of a confirmation that never was. */
#define HED_AGE_NEVER UINT32_MAX

/** Names the roll in force and the newest placement. */
struct hed_head {
	/** 0 when nothing was ever rolled */
	uint64_t roll;
	uint64_t version;
	char digest[HED_DIGEST_BYTES];
	uint64_t placement_number;
};

/** What a process knows of the head. */
struct hed_state {
	/** greatest head heard from anyone */
	struct hed_head known;
	/** roll that this process applied */
	uint64_t applied_roll;
	uint64_t applied_placement;
	/** monotonic time at which the applied placement was last confirmed */
	uint64_t current_ms;
	uint32_t window_ms;
	/** whether the platform answered since the start, and the placement
	 *  number in its first answer */
	bool platform_heard;
	uint64_t platform_number;
};

/** What to do after a head was heard. */
struct hed_action {
	bool fetch_bundle;
	bool fetch_placement;
	/** the head was newer than the one known */
	bool newer;
	/** the head was older than the one known and was ignored */
	bool stale;
};

/** @brief Initialises the state with nothing heard. */
void hed_state_init(struct hed_state *state, uint32_t window_ms);

/**
 * @brief Takes a head from a peer; on its own it confirms nothing.
 * @return what to fetch
 */
struct hed_action hed_learn(struct hed_state *state,
			    const struct hed_head *head);

/**
 * @brief Marks the applied placement as the newest at a time.
 *
 * Nothing changes while a newer placement is known.
 */
void hed_confirm(struct hed_state *state, uint64_t at_ms);

/**
 * @brief Takes over when a peer's placement was confirmed.
 *
 * That the platform or a majority confirmed a number at a time is a fact that
 * may be passed on. The peer's clock is not compared with this one's: the age
 * is taken off the time of the question, which came before the reply.
 *
 * @param number placement that the peer applied; nothing changes when it is
 *        greater than the one applied here
 * @param age_ms what hed_age_ms() gave there
 */
void hed_confirm_by(struct hed_state *state, uint64_t number, uint64_t asked_ms,
		    uint32_t age_ms);

/** @brief Returns the time since the last confirmation, HED_AGE_NEVER for
 *  none. */
uint32_t hed_age_ms(const struct hed_state *state, uint64_t now_ms);

/**
 * @brief Tells whether this process's word on the newest placement counts.
 *
 * A process that restarted has forgotten what it applied before. Its word
 * counts again when it has applied a number that the platform named since.
 */
bool hed_has_caught_up(const struct hed_state *state);

/**
 * @brief Takes a head from the platform.
 * @param state updated
 * @param head the head heard
 * @param now_ms monotonic time at which the question for it was sent
 * @return what to fetch
 */
struct hed_action hed_hear(struct hed_state *state, const struct hed_head *head,
			   uint64_t now_ms);

/** @brief Returns what is known to exist but is not applied yet. */
struct hed_action hed_pending(const struct hed_state *state);

/**
 * @brief Forgets a known roll whose bundle was refused.
 *
 * A refused roll must not stand in the way of a genuine one with a smaller
 * number. What was applied stays.
 *
 * @param in_force roll, version and digest of the bundle applied; its
 *        placement number is not looked at
 */
void hed_refused(struct hed_state *state, const struct hed_head *in_force);

/** @brief Tells whether this process may dispatch at this moment. */
bool hed_may_dispatch(const struct hed_state *state, uint64_t now_ms);

/**
 * @brief Marks a bundle as applied.
 * @return false when a greater roll was applied before; nothing changes
 */
bool hed_applied(struct hed_state *state, uint64_t roll);

#endif
