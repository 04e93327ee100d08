/**
 * @file sim_private.h
 * @brief State of a dispatch simulation, for sim_dispatch.c and sim_requests.c.
 */
#ifndef SIM_PRIVATE_H
#define SIM_PRIVATE_H

#include "admission.h"
#include "sim_dispatch.h"
#include "retry.h"
#include "balancer.h"

/* One-way delay between two processes, rounded up to whole milliseconds. */
#define SIM_NETWORK_DELAY_MS 2u

struct sim_dispatch;

/* Callback scheduled for a millisecond of virtual time. */
struct sim_event {
	struct sim_event *next;
	void (*run)(struct sim_dispatch *sim, uint32_t a, uint32_t b);
	uint32_t a;
	uint32_t b;
};

/* Events of one millisecond, in the order in which they were added. */
struct sim_bucket {
	struct sim_event *head;
	struct sim_event *tail;
};

/* State of a request from its arrival to its end. */
struct sim_request_state {
	struct admission_item item;
	uint32_t attempts;
	struct retry_request retry;
	/* VM to which it was dispatched, or BUNDLE_INDEX_NONE */
	uint32_t vm;
	/* start of the current attempt */
	uint64_t start_ms;
	/* queued at the VM because round robin ignored its slots */
	bool queued_at_worker;
	bool ended;
};

/* Refusal whose Retry-After is compared with the time of the next free slot. */
struct sim_refusal {
	uint64_t at_ms;
	uint64_t retry_after_ms;
};

struct sim_pool {
	/* gateways waiting for a slot, in order of their requests */
	GQueue slot_requests;
	GArray *refusals;
	uint32_t cursor;
};

struct sim_gateway {
	struct admission_queue *queues[SIM_POOLS];
	struct retry_budget budgets[SIM_POOLS];
};

/* Actual state of a VM, which the gateways observe only with delay. */
struct sim_worker {
	bool fails_all;
	bool crashed;
	uint32_t running;
	/* requests dispatched while all slots were in use */
	GQueue backlog;
};

struct sim_dispatch {
	const struct sim_trace *trace;
	const struct sim_policy *policy;
	struct sim_result *result;
	uint64_t now_ms;
	struct sim_bucket *buckets;
	uint64_t bucket_count;
	struct sim_request_state *states;
	struct sim_gateway gateways[SIM_GATEWAYS];
	struct sim_pool pools[SIM_POOLS];
	struct sim_worker *workers;
	/* slots granted, as tracked by the process that owns each pool */
	struct balancer *servers;
};

typedef void (*sim_event_fn)(struct sim_dispatch *sim, uint32_t a, uint32_t b);

void sim_event_add(struct sim_dispatch *sim, uint64_t at_ms, sim_event_fn run,
		   uint32_t a, uint32_t b);

/* Handles the arrival of the request with index a; b is unused. */
void sim_on_arrival(struct sim_dispatch *sim, uint32_t a, uint32_t b);

/* Fails all requests that run on a VM, because the VM has crashed. */
void sim_worker_crash(struct sim_dispatch *sim, uint32_t vm);

/* Grants the free slots of a pool to waiting gateways. */
void sim_pool_grant_slots(struct sim_dispatch *sim, uint32_t pool);

#endif
