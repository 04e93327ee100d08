/**
 * @file owner.h
 * @brief The owner of the job service: holds all jobs and directs all workers.
 *
 * Prefix: own_. Exists in the process that won the election. It reads the
 * records of jobs, looks at all workers under its own fencing token, and from
 * then on decides what starts where. It ends when another owner is met.
 */
#ifndef OWN_H
#define OWN_H

#include "jobs.h"

/** The owner, opaque. */
struct owner;

/** What the owner calls. */
struct owner_ops {
	/** another owner has been met: destroy this one */
	void (*on_ownership_lost)(void *data);
	/** the records are read, calls can be answered */
	void (*on_ready)(void *data);
	/** whether the lease proves that there is no other owner */
	bool (*lease_is_valid)(void *data);
};

/** What an owner needs; all outlives it. */
struct owner_config {
	struct loop *loop;
	struct platform *store;
	const struct adapter_ops *platform;
	void *platform_self;
	/** key that proves ownership, with its revision */
	const char *guard_key;
	int64_t guard_revision;
	const struct jobs_config *service;
};

/** @brief Begins to take over. */
struct owner *owner_create(const struct owner_config *config,
			   struct catalogue *catalogue,
			   const struct owner_ops *ops, void *data);

/** @brief Ends at once; open calls are answered as unknown or refused. */
void owner_destroy(struct owner *owner);

/** @brief Puts a configuration in force. */
void owner_set_catalogue(struct owner *owner, struct catalogue *catalogue);

/** @brief Tells whether calls can be answered. */
bool owner_is_ready(const struct owner *owner);

/** @brief Tells whether the store has not answered for some time. */
bool owner_store_is_unavailable(const struct owner *owner);

/** @brief Makes a call on the owner; only when it is ready. */
void owner_call_handle(struct owner *owner, const struct jobs_call *call,
		       jobs_cb cb, void *data);

/** @brief Appends counters, a line each. */
void owner_metrics_append(const struct owner *owner, GString *out);

#endif
