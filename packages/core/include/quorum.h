/**
 * @file quorum.h
 * @brief Majorities that confirm a placement while the platform is unreachable.
 *
 * Prefix: quorum_. Each placement names its electorate: the processes that were
 * members when it was written. A process relies on its peers only while more
 * than half of its placement's electorate confirm that placement; the manager
 * assumes that unreachable processes have stopped dispatching only once more
 * than half have applied a newer placement. Two majorities share at least one
 * process. While a change of the electorate is not confirmed, majorities of
 * both the new and the previous one are required.
 */
#ifndef QUORUM_H
#define QUORUM_H

#include <stdbool.h>
#include <stdint.h>

/** The processes that vote, as identities in ascending order. */
struct quorum_electorate {
	/** number of the placement that changed the electorate last */
	uint64_t since_placement;
	/** NULL-terminated; NULL while there is no electorate */
	char **members;
	/** the members before an unconfirmed change, else NULL */
	char **previous;
};

/** @brief Returns whether a process counts towards the majority. */
typedef bool (*quorum_member_cb)(void *data, const char *id);

/** @brief Frees the members and resets the electorate. */
void quorum_electorate_clear(struct quorum_electorate *electorate);

/** @brief Copies an electorate over an empty one. */
void quorum_electorate_copy(const struct quorum_electorate *from,
			    struct quorum_electorate *to);

/** @brief Returns whether identities are sorted, without duplicates. */
bool quorum_members_are_sorted(char **members);

/**
 * @brief Returns whether more than half of the members count, also of the
 * previous ones if a change is not confirmed.
 * @param cb called for each member, returns whether it counts
 * @return true also if there is no electorate, as no process relies on its
 *        peers then
 */
bool quorum_electorate_has_majority(const struct quorum_electorate *electorate,
				    quorum_member_cb cb, void *data);

/**
 * @brief Computes the next change of an electorate.
 * @param members the wanted members, in ascending order
 * @param confirmed whether more than half of both electorates have applied the
 *        previous change
 * @param number number of the placement that would carry the change
 * @param next filled if true is returned; freed by quorum_electorate_clear()
 * @return whether there is a change to make
 */
bool quorum_electorate_next(const struct quorum_electorate *electorate,
			    char **members, bool confirmed, uint64_t number,
			    struct quorum_electorate *next);

/** The latest reply of each peer, opaque. */
struct quorum_votes;

/** @brief Creates a set without replies, freed by quorum_votes_destroy(). */
struct quorum_votes *quorum_votes_create(void);

/** @brief Frees a set of votes. @param votes may be NULL */
void quorum_votes_destroy(struct quorum_votes *votes);

/**
 * @brief Records a peer's reply unless one to a later request is known.
 * @param requested_ms monotonic time at which the request was sent
 * @param number greatest placement number that the peer knows of
 */
void quorum_votes_record(struct quorum_votes *votes, const char *id,
			 uint64_t requested_ms, uint64_t number);

/** @brief Drops replies to requests sent before a time. */
void quorum_votes_drop_before(struct quorum_votes *votes, uint64_t before_ms);

/**
 * @brief Returns the time at which a majority confirmed a placement.
 *
 * This is the latest time such that more than half of the electorate replied to
 * requests sent then or later and knew of no newer placement. If a process is
 * the whole electorate, only the platform can confirm its placement.
 *
 * @param self identity of this process, NULL if its own vote does not count
 * @param applied number of the placement
 * @return monotonic time, 0 for never
 */
uint64_t quorum_votes_confirmed_ms(struct quorum_votes *votes,
				   const struct quorum_electorate *electorate,
				   const char *self, uint64_t applied,
				   uint64_t now_ms);

#endif
