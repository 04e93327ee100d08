#include "sim_dispatch.h"

#include "sim_private.h"

#define RETRY_SHARE_PERMILLE 100u
#define RETRY_BURST 10u
/* Time until the gateways detect that a VM is unreachable or is back. */
#define DETECTION_MS 2000u
/* Time simulated after the last arrival, for requests in flight to end. */
#define DRAIN_MS 20000u

void sim_event_add(struct sim_dispatch *sim, uint64_t at_ms, sim_event_fn run,
		   uint32_t a, uint32_t b)
{
	struct sim_event *event = g_new0(struct sim_event, 1);
	struct sim_bucket *bucket;

	g_assert(at_ms >= sim->now_ms);
	bucket = &sim->buckets[MIN(at_ms, sim->bucket_count - 1)];
	event->run = run;
	event->a = a;
	event->b = b;
	if (bucket->tail)
		bucket->tail->next = event;
	else
		bucket->head = event;
	bucket->tail = event;
}

static void bucket_run(struct sim_dispatch *sim, struct sim_bucket *bucket)
{
	while (bucket->head) {
		struct sim_event *event = bucket->head;

		event->run(sim, event->a, event->b);
		bucket->head = event->next;
		g_free(event);
	}
	bucket->tail = NULL;
}

static void on_fault_detected(struct sim_dispatch *sim, uint32_t vm,
			      uint32_t serves)
{
	sim->servers->servers[vm].serving =
		serves != 0 && !sim->workers[vm].crashed;
	sim_pool_grant_slots(sim, sim->servers->servers[vm].pool);
}

static void on_fault(struct sim_dispatch *sim, uint32_t index, uint32_t begins)
{
	const struct sim_fault *fault = &sim->trace->faults[index];
	struct sim_worker *worker = &sim->workers[fault->vm];

	switch (fault->kind) {
	case SIM_FAULT_FAILS_ALL:
		worker->fails_all = begins != 0;
		return;
	case SIM_FAULT_CRASHED:
		worker->crashed = begins != 0;
		if (begins)
			sim_worker_crash(sim, fault->vm);
		sim_event_add(sim, sim->now_ms + DETECTION_MS,
			      on_fault_detected, fault->vm, !begins);
		return;
	case SIM_FAULT_DRAINING:
		on_fault_detected(sim, fault->vm, !begins);
		return;
	}
}

static void events_schedule(struct sim_dispatch *sim)
{
	const struct sim_trace *trace = sim->trace;

	for (uint32_t i = 0; i < trace->request_count; i++)
		sim_event_add(sim, trace->requests[i].at_ms, sim_on_arrival, i,
			      0);
	for (uint32_t i = 0; i < trace->fault_count; i++) {
		sim_event_add(sim, trace->faults[i].begin_ms, on_fault, i, 1);
		sim_event_add(sim, trace->faults[i].end_ms, on_fault, i, 0);
	}
}

static void gateway_init(const struct bundle *bundle,
			 struct sim_gateway *gateway)
{
	for (uint32_t i = 0; i < SIM_POOLS; i++) {
		const struct admission_limits limits = {
			.max_requests = bundle->pools[i].queue_max_requests,
			.max_bytes = bundle->pools[i].queue_max_bytes,
			.max_wait_ms = bundle->pools[i].queue_max_wait_ms,
		};

		gateway->queues[i] = admission_queue_create(&limits);
		retry_budget_init(&gateway->budgets[i], RETRY_SHARE_PERMILLE,
				  RETRY_BURST);
	}
}

static void dispatch_init(struct sim_dispatch *sim,
			  const struct sim_trace *trace)
{
	const struct bundle *bundle = trace->bundle;

	sim->trace = trace;
	sim->bucket_count = trace->end_ms + DRAIN_MS;
	sim->buckets = g_new0(struct sim_bucket, sim->bucket_count);
	sim->states =
		g_new0(struct sim_request_state, trace->request_count + 1);
	sim->workers = g_new0(struct sim_worker, bundle->vm_count + 1);
	sim->servers = balancer_create(bundle->vm_count);
	for (uint32_t i = 0; i < bundle->vm_count; i++) {
		struct balancer_server *server = &sim->servers->servers[i];

		server->pool = sim_initial_pool(trace->deployment, i);
		server->slots = bundle->vms[i].slots;
		server->allowed_slots = server->slots;
		server->serving = true;
		g_queue_init(&sim->workers[i].backlog);
	}
	for (uint32_t i = 0; i < SIM_POOLS; i++) {
		g_queue_init(&sim->pools[i].slot_requests);
		sim->pools[i].refusals =
			g_array_new(FALSE, FALSE, sizeof(struct sim_refusal));
	}
	for (uint32_t i = 0; i < SIM_GATEWAYS; i++)
		gateway_init(bundle, &sim->gateways[i]);
}

static void dispatch_clear(struct sim_dispatch *sim)
{
	for (uint32_t i = 0; i < SIM_GATEWAYS; i++) {
		for (uint32_t k = 0; k < SIM_POOLS; k++)
			admission_queue_destroy(sim->gateways[i].queues[k]);
	}
	for (uint32_t i = 0; i < SIM_POOLS; i++) {
		g_queue_clear(&sim->pools[i].slot_requests);
		g_array_unref(sim->pools[i].refusals);
	}
	for (uint32_t i = 0; i < sim->trace->bundle->vm_count; i++)
		g_queue_clear(&sim->workers[i].backlog);
	balancer_destroy(sim->servers);
	g_free(sim->workers);
	g_free(sim->states);
	g_free(sim->buckets);
}

void sim_dispatch_run(const struct sim_trace *trace,
		      const struct sim_policy *policy,
		      struct sim_result *result)
{
	struct sim_dispatch sim = { .policy = policy, .result = result };

	result->policy = policy->name;
	result->trace = trace->name;
	result->deployment = trace->deployment->name;
	result->retry_errors_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
	dispatch_init(&sim, trace);
	events_schedule(&sim);
	for (uint64_t t = 0; t < sim.bucket_count; t++) {
		sim.now_ms = t;
		bucket_run(&sim, &sim.buckets[t]);
	}
	dispatch_clear(&sim);
}
