/**
 * @file jobs_private.h
 * @brief State of the job service, shared by its source files.
 */
#ifndef JOBS_PRIVATE_H
#define JOBS_PRIVATE_H

#include "election.h"
#include "jobs.h"
#include "owner.h"

struct jobs_service {
	struct loop *loop;
	struct platform *store;
	struct jobs_config config;
	const struct adapter_ops *ops;
	void *ops_self;
	const struct jobs_peers *peers;
	void *peers_self;
	struct catalogue *catalogue;
	struct election *election;
	int64_t guard_revision;
	struct owner *owner;
	/* of struct jobs_request: all, and those that wait for an owner */
	GQueue requests;
	GQueue waiting;
	bool closing;
	/* local time since which a remote owner has not answered, else 0 */
	uint64_t unanswered_since_ms;
	/* local time since which no owner is known, 0 if one is */
	uint64_t ownerless_since_ms;
	bool probing;
	struct timer probe_timer;
	struct weak_ref *weak_ref;
	uint64_t outcomes[JOBS_OUTCOME_COUNT];
	uint64_t forwarded;
	uint64_t waited;
};

#endif
