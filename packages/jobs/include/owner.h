/**
 * @file owner.h
 * @brief The owner of the job service: holds all jobs and directs all workers.
 *
 * Prefix: owner_. An owner exists only in the process that won the election.
 * It loads the job records from the store, polls all workers under its own
 * fencing token, and from then on decides which task runs on which worker. It
 * stops when it detects that another process has become the owner.
 */
#ifndef OWNER_H
#define OWNER_H

#include "jobs.h"

/** The owner, opaque. */
struct owner;

/** Callbacks of the owner. */
struct owner_ops {
	/** another process has become the owner: destroy this owner */
	void (*on_ownership_lost)(void *data);
	/** the records are loaded and calls can be answered */
	void (*on_ready)(void *data);
	/** returns whether the lease still guarantees that no other process
	 *  is the owner */
	bool (*lease_is_valid)(void *data);
};

/** Dependencies of an owner; everything here must outlive it. */
struct owner_config {
	struct loop *loop;
	struct platform *store;
	const struct adapter_ops *platform;
	void *platform_self;
	/** store key that proves ownership, and its revision */
	const char *guard_key;
	int64_t guard_revision;
	/** time for which an earlier owner may believe in a lease that was
	 * revoked right before this one took over */
	uint32_t lease_ttl_ms;
	const struct jobs_config *service;
};

/**
 * @brief Starts the takeover of the job service.
 * @param data passed to the callbacks in ops
 * @return the owner, freed with owner_destroy()
 */
struct owner *owner_create(const struct owner_config *config,
			   struct catalogue *catalogue,
			   const struct owner_ops *ops, void *data);

/**
 * @brief Frees the owner at once.
 *
 * Calls in progress are answered: submissions of jobs that were never sent to
 * the store with JOBS_NOT_OWNER, all others with JOBS_OWNERSHIP_LOST.
 *
 * @param owner may be NULL
 */
void owner_destroy(struct owner *owner);

/** @brief Logs what an owner did last that is no longer the owner. */
void owner_log_lost(struct owner *owner);

/** @brief Applies a new configuration. */
void owner_set_catalogue(struct owner *owner, struct catalogue *catalogue);

/** @brief Returns whether calls can be answered. */
bool owner_is_ready(const struct owner *owner);

/** @brief Returns whether the store has failed to answer for too long. */
bool owner_store_is_unavailable(const struct owner *owner);

/**
 * @brief Handles a call; only allowed once the owner is ready.
 * @param cb called exactly once, possibly before this function returns
 */
void owner_call_handle(struct owner *owner, const struct jobs_call *call,
		       jobs_cb cb, void *data);

/** @brief Appends the owner's metrics, one per line. */
void owner_metrics_append(const struct owner *owner, GString *out);

/** @brief Implements jobs_explain() at the owner. */
void owner_explain(struct owner *owner, enum jobs_explain kind,
		   const char *text, GString *out);

#endif
