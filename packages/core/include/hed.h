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
 * @brief Takes a head from the platform or a peer.
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
