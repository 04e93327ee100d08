/**
 * @file qrm.h
 * @brief Majorities: whose word lets a process act while cut off.
 *
 * Prefix: qrm_. Each placement names its electorate: the processes that were
 * members when it was written. A process relies on its peers' word only while
 * more than half of the electorate of its placement give it; the manager
 * counts on silent processes having stopped only once more than half have
 * applied a newer placement. Two majorities share a process. While a change of
 * the electorate is not confirmed, both the new one and the one before count.
 */
#ifndef QRM_H
#define QRM_H

#include <stdbool.h>
#include <stdint.h>

/** The processes that count, as identities in ascending order. */
struct qrm_electorate {
	/** placement number with which it last changed */
	uint64_t since;
	/** NULL-terminated; NULL while there is no electorate */
	char **members;
	/** the members before an unconfirmed change, else NULL */
	char **previous;
};

/** @brief Tells whether a process counts. */
typedef bool (*qrm_cb)(void *data, const char *id);

/** @brief Frees the members. */
void qrm_electorate_clear(struct qrm_electorate *electorate);

/** @brief Copies an electorate over one that holds nothing. */
void qrm_electorate_copy(const struct qrm_electorate *from,
			 struct qrm_electorate *to);

/** @brief Tells whether identities ascend, so that none stands twice. */
bool qrm_members_ascend(char **members);

/**
 * @brief Tells whether more than half count, of both electorates if two.
 * @return true also when there is no electorate, for then no process relies
 *         on its peers
 */
bool qrm_electorate_holds(const struct qrm_electorate *electorate, qrm_cb cb,
			  void *data);

/**
 * @brief Decides the next change of an electorate.
 * @param members the members there should be, in ascending order
 * @param confirmed whether more than half of both electorates have applied
 *        the change before
 * @param number number of the placement that would carry the change
 * @param next filled when true is returned; freed by qrm_electorate_clear()
 */
bool qrm_electorate_next(const struct qrm_electorate *electorate,
			 char **members, bool confirmed, uint64_t number,
			 struct qrm_electorate *next);

/** The newest reply of each peer, opaque. */
struct qrm_votes;

/** @brief Creates a set without replies. */
struct qrm_votes *qrm_votes_create(void);

/** @brief Frees it. @param votes may be NULL */
void qrm_votes_destroy(struct qrm_votes *votes);

/**
 * @brief Takes a peer's reply.
 * @param asked_ms monotonic time at which the question was sent
 * @param number greatest placement number that the peer knows of
 */
void qrm_votes_take(struct qrm_votes *votes, const char *id, uint64_t asked_ms,
		    uint64_t number);

/** @brief Forgets replies to questions asked before a time. */
void qrm_votes_forget(struct qrm_votes *votes, uint64_t before_ms);

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
uint64_t qrm_votes_confirmed_ms(struct qrm_votes *votes,
				const struct qrm_electorate *electorate,
				const char *self, uint64_t applied,
				uint64_t now_ms);

#endif
