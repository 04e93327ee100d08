#include "dec_serve.h"

#include "dec_private.h"

#define RETRY_SHARE_PERMILLE 100u
#define RETRY_BURST 10u
/* Time until the entries know that a VM has gone or has come back. */
#define NOTICE_MS 2000u
/* Time after the trace in which requests end. */
#define TAIL_MS 20000u

void dec_event_add(struct dec_serving *serving, uint64_t at_ms,
		   dec_event_fn run, uint32_t a, uint32_t b)
{
	struct dec_event *event = g_new0(struct dec_event, 1);
	struct dec_bucket *bucket;

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

static void bucket_run(struct dec_serving *serving, struct dec_bucket *bucket)
{
	while (bucket->head) {
		struct dec_event *event = bucket->head;

		event->run(serving, event->a, event->b);
		bucket->head = event->next;
		g_free(event);
	}
	bucket->tail = NULL;
}

static void on_known(struct dec_serving *serving, uint32_t vm, uint32_t serves)
{
	serving->servers->servers[vm].serving =
		serves != 0 && !serving->workers[vm].lost;
	dec_pool_pump(serving, serving->servers->servers[vm].pool);
}

static void on_fault(struct dec_serving *serving, uint32_t index,
		     uint32_t begins)
{
	const struct dec_fault *fault = &serving->trace->faults[index];
	struct dec_worker *worker = &serving->workers[fault->vm];

	switch (fault->kind) {
	case DEC_FAULT_FAILS_ALL:
		worker->fails_all = begins != 0;
		return;
	case DEC_FAULT_LOST:
		worker->lost = begins != 0;
		if (begins)
			dec_worker_cut(serving, fault->vm);
		dec_event_add(serving, serving->now_ms + NOTICE_MS, on_known,
			      fault->vm, !begins);
		return;
	case DEC_FAULT_LEAVING:
		on_known(serving, fault->vm, !begins);
		return;
	}
}

static void events_prepare(struct dec_serving *serving)
{
	const struct dec_trace *trace = serving->trace;

	for (uint32_t i = 0; i < trace->request_count; i++)
		dec_event_add(serving, trace->requests[i].at_ms, dec_on_arrival,
			      i, 0);
	for (uint32_t i = 0; i < trace->fault_count; i++) {
		dec_event_add(serving, trace->faults[i].begin_ms, on_fault, i,
			      1);
		dec_event_add(serving, trace->faults[i].end_ms, on_fault, i, 0);
	}
}

static void entry_init(const struct bundle *bundle, struct dec_entry *entry)
{
	for (uint32_t i = 0; i < DEC_POOLS; i++) {
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

static void serving_init(struct dec_serving *serving,
			 const struct dec_trace *trace)
{
	const struct bundle *bundle = trace->bundle;

	serving->trace = trace;
	serving->bucket_count = trace->end_ms + TAIL_MS;
	serving->buckets = g_new0(struct dec_bucket, serving->bucket_count);
	serving->lives = g_new0(struct dec_live, trace->request_count + 1);
	serving->workers = g_new0(struct dec_worker, bundle->vm_count + 1);
	serving->servers = balancer_create(bundle->vm_count);
	for (uint32_t i = 0; i < bundle->vm_count; i++) {
		struct balancer_server *server = &serving->servers->servers[i];

		server->pool = dec_home_pool(trace->deployment, i);
		server->slots = bundle->vms[i].slots;
		server->allowed_slots = server->slots;
		server->serving = true;
		g_queue_init(&serving->workers[i].waiting);
	}
	for (uint32_t i = 0; i < DEC_POOLS; i++) {
		g_queue_init(&serving->pools[i].asks);
		serving->pools[i].refusals =
			g_array_new(FALSE, FALSE, sizeof(struct dec_refusal));
	}
	for (uint32_t i = 0; i < DEC_ENTRIES; i++)
		entry_init(bundle, &serving->entries[i]);
}

static void serving_clear(struct dec_serving *serving)
{
	for (uint32_t i = 0; i < DEC_ENTRIES; i++) {
		for (uint32_t k = 0; k < DEC_POOLS; k++)
			admission_queue_destroy(serving->entries[i].queues[k]);
	}
	for (uint32_t i = 0; i < DEC_POOLS; i++) {
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

void dec_serve(const struct dec_trace *trace, const struct dec_policy *policy,
	       struct dec_result *result)
{
	struct dec_serving serving = { .policy = policy, .result = result };

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
