#include "sim_dispatch.h"

#include "sim_private.h"

#define RETRY_SHARE_PERMILLE 100u
#define RETRY_BURST 10u
/* Time until the entries know that a VM has gone or has come back. */
#define NOTICE_MS 2000u
/* Time after the trace in which requests end. */
#define TAIL_MS 20000u

void sim_event_add(struct sim_dispatch *serving, uint64_t at_ms,
		   sim_event_fn run, uint32_t a, uint32_t b)
{
	struct sim_event *event = g_new0(struct sim_event, 1);
	struct sim_bucket *bucket;

	g_assert(at_ms >= serving->now_ms);
	bucket = &serving->buckets[MIN(at_ms, serving->bucket_count - 1)];
	event->run = run;
	event->a = a;
	event->b = b;
	if (bucket->tail)
		bucket->tail->next = event;
	else
		bucket->head = event;
	bucket->tail = event;
}

static void bucket_run(struct sim_dispatch *serving, struct sim_bucket *bucket)
{
	while (bucket->head) {
		struct sim_event *event = bucket->head;

		event->run(serving, event->a, event->b);
		bucket->head = event->next;
		g_free(event);
	}
	bucket->tail = NULL;
}

static void on_known(struct sim_dispatch *serving, uint32_t vm, uint32_t serves)
{
	serving->servers->servers[vm].serving =
		serves != 0 && !serving->workers[vm].lost;
	sim_pool_grant_slots(serving, serving->servers->servers[vm].pool);
}

static void on_fault(struct sim_dispatch *serving, uint32_t index,
		     uint32_t begins)
{
	const struct sim_fault *fault = &serving->trace->faults[index];
	struct sim_worker *worker = &serving->workers[fault->vm];

	switch (fault->kind) {
	case SIM_FAULT_FAILS_ALL:
		worker->fails_all = begins != 0;
		return;
	case SIM_FAULT_CRASHED:
		worker->lost = begins != 0;
		if (begins)
			sim_worker_crash(serving, fault->vm);
		sim_event_add(serving, serving->now_ms + NOTICE_MS, on_known,
			      fault->vm, !begins);
		return;
	case SIM_FAULT_DRAINING:
		on_known(serving, fault->vm, !begins);
		return;
	}
}

static void events_prepare(struct sim_dispatch *serving)
{
	const struct sim_trace *trace = serving->trace;

	for (uint32_t i = 0; i < trace->request_count; i++)
		sim_event_add(serving, trace->requests[i].at_ms, sim_on_arrival,
			      i, 0);
	for (uint32_t i = 0; i < trace->fault_count; i++) {
		sim_event_add(serving, trace->faults[i].begin_ms, on_fault, i,
			      1);
		sim_event_add(serving, trace->faults[i].end_ms, on_fault, i, 0);
	}
}

static void entry_init(const struct bundle *bundle, struct sim_entry *entry)
{
	for (uint32_t i = 0; i < SIM_POOLS; i++) {
		const struct admission_limits limits = {
			.max_requests = bundle->pools[i].queue_max_requests,
			.max_bytes = bundle->pools[i].queue_max_bytes,
			.max_wait_ms = bundle->pools[i].queue_max_wait_ms,
		};

		entry->queues[i] = admission_queue_create(&limits);
		retry_budget_init(&entry->budgets[i], RETRY_SHARE_PERMILLE,
				  RETRY_BURST);
	}
}

static void serving_init(struct sim_dispatch *serving,
			 const struct sim_trace *trace)
{
	const struct bundle *bundle = trace->bundle;

	serving->trace = trace;
	serving->bucket_count = trace->end_ms + TAIL_MS;
	serving->buckets = g_new0(struct sim_bucket, serving->bucket_count);
	serving->lives =
		g_new0(struct sim_request_state, trace->request_count + 1);
	serving->workers = g_new0(struct sim_worker, bundle->vm_count + 1);
	serving->servers = balancer_create(bundle->vm_count);
	for (uint32_t i = 0; i < bundle->vm_count; i++) {
		struct balancer_server *server = &serving->servers->servers[i];

		server->pool = sim_initial_pool(trace->deployment, i);
		server->slots = bundle->vms[i].slots;
		server->allowed_slots = server->slots;
		server->serving = true;
		g_queue_init(&serving->workers[i].waiting);
	}
	for (uint32_t i = 0; i < SIM_POOLS; i++) {
		g_queue_init(&serving->pools[i].asks);
		serving->pools[i].refusals =
			g_array_new(FALSE, FALSE, sizeof(struct sim_refusal));
	}
	for (uint32_t i = 0; i < SIM_ENTRIES; i++)
		entry_init(bundle, &serving->entries[i]);
}

static void serving_clear(struct sim_dispatch *serving)
{
	for (uint32_t i = 0; i < SIM_ENTRIES; i++) {
		for (uint32_t k = 0; k < SIM_POOLS; k++)
			admission_queue_destroy(serving->entries[i].queues[k]);
	}
	for (uint32_t i = 0; i < SIM_POOLS; i++) {
		g_queue_clear(&serving->pools[i].asks);
		g_array_unref(serving->pools[i].refusals);
	}
	for (uint32_t i = 0; i < serving->trace->bundle->vm_count; i++)
		g_queue_clear(&serving->workers[i].waiting);
	balancer_destroy(serving->servers);
	g_free(serving->workers);
	g_free(serving->lives);
	g_free(serving->buckets);
}

void sim_dispatch_run(const struct sim_trace *trace,
		      const struct sim_policy *policy,
		      struct sim_result *result)
{
	struct sim_dispatch serving = { .policy = policy, .result = result };

	result->policy = policy->name;
	result->trace = trace->name;
	result->deployment = trace->deployment->name;
	result->retry_errors_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
	serving_init(&serving, trace);
	events_prepare(&serving);
	for (uint64_t t = 0; t < serving.bucket_count; t++) {
		serving.now_ms = t;
		bucket_run(&serving, &serving.buckets[t]);
	}
	serving_clear(&serving);
}
