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

/** Orders are answered within milliseconds; an order without an answer after
 * this time is resolved by a poll. */
#define WORKER_ORDER_TIMEOUT_MS 700

/** A call in flight; holds a reference to the worker. */
struct worker_call {
	struct worker *worker;
	struct worker_order order;
	uint64_t serial;
	uint64_t sent_ms;
	/** see struct adapter_poll */
	uint64_t connection;
	uint64_t acked_upto;
	bool resolves_orders;
	/** set when it ends: another poll was answered while it was in flight
	 */
	bool overlapped;
};

/* worker_orders.c */
/** @brief Creates a call to a worker, which keeps it; freed by
 *  worker_call_free(). */
struct worker_call *worker_call_create(struct worker *worker);
/** @brief Frees a call and releases its worker. */
void worker_call_free(struct worker_call *call);

/** @brief Returns the address of the worker and the identity expected there. */
struct adapter_target worker_target(const struct worker *worker);

/** @brief Returns whether an order carried the current token. If the worker
 *  refused such an order because of the token, there is another owner. */
bool worker_fence_is_current(const struct worker *worker, uint64_t fence);

/* worker_state.c */
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
