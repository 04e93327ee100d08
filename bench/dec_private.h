/**
 * @file dec_private.h
 * @brief Shared by dec_serve.c and dec_requests.c only.
 */
#ifndef DEC_PRIVATE_H
#define DEC_PRIVATE_H

#include "admission.h"
#include "dec_serve.h"
#include "retry.h"
#include "balancer.h"

/* One way between two processes, rounded up to whole milliseconds. */
#define DEC_DELAY_MS 2u

struct dec_serving;

/* Something that happens at a millisecond of virtual time. */
struct dec_event {
	struct dec_event *next;
	void (*run)(struct dec_serving *serving, uint32_t a, uint32_t b);
	uint32_t a;
	uint32_t b;
};

/* Events of one millisecond, in the order in which they were added. */
struct dec_bucket {
	struct dec_event *head;
	struct dec_event *tail;
};

/* A request while it is in the system. */
struct dec_live {
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
struct dec_refusal {
	uint64_t at_ms;
	uint64_t told_ms;
};

struct dec_pool {
	/* entries that asked for a slot, in order */
	GQueue asks;
	GArray *refusals;
	uint32_t cursor;
};

struct dec_entry {
	struct admission_queue *queues[DEC_POOLS];
	struct retry_budget budgets[DEC_POOLS];
};

/* A worker as it is, apart from what the entries know of it. */
struct dec_worker {
	bool fails_all;
	bool lost;
	uint32_t running;
	/* requests beyond its slots */
	GQueue waiting;
};

struct dec_serving {
	const struct dec_trace *trace;
	const struct dec_policy *policy;
	struct dec_result *result;
	uint64_t now_ms;
	struct dec_bucket *buckets;
	uint64_t bucket_count;
	struct dec_live *lives;
	struct dec_entry entries[DEC_ENTRIES];
	struct dec_pool pools[DEC_POOLS];
	struct dec_worker *workers;
	/* slots granted, as the pools' owners know them */
	struct balancer *servers;
};

typedef void (*dec_event_fn)(struct dec_serving *serving, uint32_t a,
			     uint32_t b);

void dec_event_add(struct dec_serving *serving, uint64_t at_ms,
		   dec_event_fn run, uint32_t a, uint32_t b);

/* Arrival of request a; b is not used. */
void dec_on_arrival(struct dec_serving *serving, uint32_t a, uint32_t b);

/* Ends what a VM runs because the VM is gone. */
void dec_worker_cut(struct dec_serving *serving, uint32_t vm);

/* Grants free slots of a pool to the entries that asked. */
void dec_pool_pump(struct dec_serving *serving, uint32_t pool);

#endif
