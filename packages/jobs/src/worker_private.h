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

/** @brief Takes a reading of the worker's clock, unless it is older than the
 *  last one. */
void worker_clock_update(struct worker *worker, uint64_t clock_ms);

/** @brief Records that a poll was not answered. */
void worker_poll_unanswered(struct worker *worker, enum err_kind err);

/** @brief Records that a poll was answered. */
void worker_poll_answered(struct worker *worker);

/** @brief Copies what an entry of the list says of the worker. */
void worker_entry_copy(struct worker *worker,
		       const struct adapter_entry *entry);

#endif
