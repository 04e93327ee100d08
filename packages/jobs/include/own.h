/**
 * @file own.h
 * @brief The owner of the job service: holds all jobs and directs all workers.
 *
 * Prefix: own_. Exists in the process that won the election. It reads the
 * records of jobs, looks at all workers under its own fencing token, and from
 * then on decides what starts where. It ends when another owner is met.
 */
#ifndef OWN_H
#define OWN_H

#include "jsv.h"

/** The owner, opaque. */
struct own_owner;

/** What the owner calls. */
struct own_ops {
	/** another owner has been met: destroy this one */
	void (*on_deposed)(void *data);
	/** the records are read, calls can be answered */
	void (*on_ready)(void *data);
	/** whether the lease proves that there is no other owner */
	bool (*is_proved)(void *data);
};

/** What an owner needs; all outlives it. */
struct own_config {
	struct loop *loop;
	struct platform *store;
	const struct jpt_ops *platform;
	void *platform_self;
	/** key that proves ownership, with its revision */
	const char *guard_key;
	int64_t guard_revision;
	const struct jsv_config *service;
};

/** @brief Begins to take over. */
struct own_owner *own_owner_create(const struct own_config *config,
				   struct jcf_catalogue *catalogue,
				   const struct own_ops *ops, void *data);

/** @brief Ends at once; open calls are answered as unknown or refused. */
void own_owner_destroy(struct own_owner *owner);

/** @brief Puts a configuration in force. */
void own_set_catalogue(struct own_owner *owner,
		       struct jcf_catalogue *catalogue);

/** @brief Tells whether calls can be answered. */
bool own_is_ready(const struct own_owner *owner);

/** @brief Tells whether the store has not answered for some time. */
bool own_store_is_away(const struct own_owner *owner);

/** @brief Makes a call on the owner; only when it is ready. */
void own_call(struct own_owner *owner, const struct jsv_call *call, jsv_cb cb,
	      void *data);

/** @brief Appends counters, a line each. */
void own_metrics(const struct own_owner *owner, GString *out);

#endif
