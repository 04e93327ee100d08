/**
 * @file worker_private.h
 * @brief Functions shared by the files of worker.
 */
#ifndef WORKER_PRIVATE_H
#define WORKER_PRIVATE_H

#include "worker.h"

/** A poll without an answer this long after it was due is repeated on a new
 *  connection. */
#define WORKER_POLL_LATE_MS 300

/** @brief Releases a reference; the last one frees the worker. */
void worker_unref(struct worker *worker);

/** @brief Returns the local time within which a lease has certainly expired,
 *  even if the worker's clock is slow. */
uint64_t worker_lease_bound_ms(uint64_t lease_ms);

/** @brief Extends the lease. @param from_ms local time from which it counts,
 * read before the owner looked whether it may act: the process may have been
 * paused since @return its end on the worker's clock, 0 if that clock is not
 * known yet
 */
uint64_t worker_lease_grant(struct worker *worker, uint64_t from_ms);

/** @brief Takes the worker's lease for granted anew now, as an earlier owner
 * may have done. */
void worker_lease_presume(struct worker *worker);

/** @brief Returns whether an unanswered order may still be executed. */
bool worker_may_get_late_orders(const struct worker *worker);

/** @brief Returns how long ago the worker's clock had a reading, by the last
 * one that was taken; 0 if that is not known. */
uint64_t worker_clock_age_ms(const struct worker *worker, uint64_t clock_ms);

/** @brief Takes a reading of the worker's clock, unless it is older than the
 *  last one. */
void worker_clock_update(struct worker *worker, uint64_t clock_ms);

/**
 * @brief Returns the number up to which ends are to be acknowledged, 0 for
 *        none.
 *
 * A restarted worker counts its ends anew, and an acknowledgement to its
 * earlier incarnation would make it forget ends that it has not reported. So
 * none is repeated once it was received, and a report that was late needs a
 * second one.
 */
uint64_t worker_unconfirmed_ack(const struct worker *worker);

/** @brief Records that a poll was not answered. */
void worker_poll_unanswered(struct worker *worker, enum err_kind err);

/** @brief Records that a poll was answered. */
void worker_poll_answered(struct worker *worker);

/** @brief Copies what an entry of the list says of the worker. */
void worker_entry_copy(struct worker *worker,
		       const struct adapter_entry *entry);

#endif
