/**
 * @file sim_private.h
 * @brief Shared by sim_dispatch_run.c and sim_requests.c only.
 */
#ifndef SIM_PRIVATE_H
#define SIM_PRIVATE_H

#include "admission.h"
#include "sim_dispatch.h"
#include "retry.h"
#include "balancer.h"

/* One way between two processes, rounded up to whole milliseconds. */
#define SIM_NETWORK_DELAY_MS 2u

struct sim_dispatch;

/* Something that happens at a millisecond of virtual time. */
struct sim_event {
	struct sim_event *next;
	void (*run)(struct sim_dispatch *serving, uint32_t a, uint32_t b);
	uint32_t a;
	uint32_t b;
};

/* Events of one millisecond, in the order in which they were added. */
struct sim_bucket {
	struct sim_event *head;
	struct sim_event *tail;
};

/* A request while it is in the system. */
struct sim_request_state {
	struct admission_item item;
	uint32_t attempts;
	struct retry_request retry;
	/* VM that runs it, BUNDLE_INDEX_NONE while it does not run */
	uint32_t vm;
	uint64_t began_ms;
	/* waits in the worker, which round robin overfilled */
	bool at_worker;
	bool ended;
};

/* A refusal whose Retry-After has not been judged yet. */
struct sim_refusal {
	uint64_t at_ms;
	uint64_t told_ms;
};

struct sim_pool {
	/* entries that asked for a slot, in order */
	GQueue asks;
	GArray *refusals;
	uint32_t cursor;
};

struct sim_entry {
	struct admission_queue *queues[SIM_POOLS];
	struct retry_budget budgets[SIM_POOLS];
};

/* A worker as it is, apart from what the entries know of it. */
struct sim_worker {
	bool fails_all;
	bool lost;
	uint32_t running;
	/* requests beyond its slots */
	GQueue waiting;
};

struct sim_dispatch {
	const struct sim_trace *trace;
	const struct sim_policy *policy;
	struct sim_result *result;
	uint64_t now_ms;
	struct sim_bucket *buckets;
	uint64_t bucket_count;
	struct sim_request_state *lives;
	struct sim_entry entries[SIM_ENTRIES];
	struct sim_pool pools[SIM_POOLS];
	struct sim_worker *workers;
	/* slots granted, as the pools' owners know them */
	struct balancer *servers;
};

typedef void (*sim_event_fn)(struct sim_dispatch *serving, uint32_t a,
			     uint32_t b);

void sim_event_add(struct sim_dispatch *serving, uint64_t at_ms,
		   sim_event_fn run, uint32_t a, uint32_t b);

/* Arrival of request a; b is not used. */
void sim_on_arrival(struct sim_dispatch *serving, uint32_t a, uint32_t b);

/* Ends what a VM runs because the VM is gone. */
void sim_worker_crash(struct sim_dispatch *serving, uint32_t vm);

/* Grants free slots of a pool to the entries that asked. */
void sim_pool_grant_slots(struct sim_dispatch *serving, uint32_t pool);

#endif
