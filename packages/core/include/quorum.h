/**
 * @file quorum.h
 * @brief Majorities: whose word lets a process act while cut off.
 *
 * Prefix: quorum_. Each placement names its electorate: the processes that were
 * members when it was written. A process relies on its peers' word only while
 * more than half of the electorate of its placement give it; the manager
 * counts on silent processes having stopped only once more than half have
 * applied a newer placement. Two majorities share a process. While a change of
 * the electorate is not confirmed, both the new one and the one before count.
 */
#ifndef QUORUM_H
#define QUORUM_H

#include <stdbool.h>
#include <stdint.h>

/** The processes that count, as identities in ascending order. */
struct quorum_electorate {
	/** placement number with which it last changed */
	uint64_t since_placement;
	/** NULL-terminated; NULL while there is no electorate */
	char **members;
	/** the members before an unconfirmed change, else NULL */
	char **previous;
};

/** @brief Tells whether a process counts. */
typedef bool (*quorum_member_cb)(void *data, const char *id);

/** @brief Frees the members. */
void quorum_electorate_clear(struct quorum_electorate *electorate);

/** @brief Copies an electorate over one that holds nothing. */
void quorum_electorate_copy(const struct quorum_electorate *from,
			    struct quorum_electorate *to);

/** @brief Tells whether identities ascend, so that none stands twice. */
bool quorum_members_are_sorted(char **members);

/**
 * @brief Tells whether more than half count, of both electorates if two.
 * @return true also when there is no electorate, for then no process relies
 *         on its peers
 */
bool quorum_electorate_has_majority(const struct quorum_electorate *electorate,
				    quorum_member_cb cb, void *data);

/**
 * @brief Decides the next change of an electorate.
 * @param members the members there should be, in ascending order
 * @param confirmed whether more than half of both electorates have applied
 *        the change before
 * @param number number of the placement that would carry the change
 * @param next filled when true is returned; freed by quorum_electorate_clear()
 */
bool quorum_electorate_next(const struct quorum_electorate *electorate,
			    char **members, bool confirmed, uint64_t number,
			    struct quorum_electorate *next);

/** The newest reply of each peer, opaque. */
struct quorum_votes;

/** @brief Creates a set without replies. */
struct quorum_votes *quorum_votes_create(void);

/** @brief Frees it. @param votes may be NULL */
void quorum_votes_destroy(struct quorum_votes *votes);

/**
 * @brief Takes a peer's reply.
 * @param asked_ms monotonic time at which the question was sent
 * @param number greatest placement number that the peer knows of
 */
void quorum_votes_record(struct quorum_votes *votes, const char *id,
			 uint64_t asked_ms, uint64_t number);

/** @brief Forgets replies to questions asked before a time. */
void quorum_votes_drop_before(struct quorum_votes *votes, uint64_t before_ms);

/**
 * @brief Returns the time at which a majority confirmed a placement.
 *
 * It is the greatest time such that more than half of the electorate replied
 * to questions asked at it or later, and knew of no newer placement. A process
 * that is the whole electorate is confirmed by the platform alone.
 *
 * @param self identity of this process, NULL when its own vote does not count
 * @param applied number of the placement
 * @return monotonic time, 0 for never
 */
uint64_t quorum_votes_confirmed_ms(struct quorum_votes *votes,
				   const struct quorum_electorate *electorate,
				   const char *self, uint64_t applied,
				   uint64_t now_ms);

#endif
