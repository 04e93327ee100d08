#include "sim_private.h"

/* A worker that fails everything, or cannot be reached, does so soon. */
#define FAIL_MS 5u
/* Dispatches that reach a VM before anyone knows that it has gone. */
enum attempt_end {
	ATTEMPT_ANSWERED,
	ATTEMPT_NOT_SENT,
	ATTEMPT_FAILED,
	ATTEMPT_TIMEOUT,
};

static void on_attempt_end(struct sim_dispatch *serving, uint32_t index,
			   uint32_t code);

static const struct sim_request *request_of(const struct sim_dispatch *serving,
					    uint32_t index)
{
	return &serving->trace->requests[index];
}

static struct admission_queue *queue_of(struct sim_dispatch *serving,
					const struct sim_request *request)
{
	return serving->entries[request->entry].queues[request->pool];
}

/* The slots that an entry can count on: its share of the pool's. */
static uint32_t slots_expected(const struct sim_dispatch *serving, uint32_t pool)
{
	uint32_t slots =
		balancer_ready_slots(serving->servers, pool, serving->now_ms);

	return (slots + SIM_ENTRIES - 1) / SIM_ENTRIES;
}

static void live_end(struct sim_dispatch *serving, uint32_t index, bool was_run,
		     bool on_time)
{
	serving->lives[index].ended = true;
	sim_result_count(serving->result, request_of(serving, index), was_run,
			 on_time);
}

static void live_refuse(struct sim_dispatch *serving, uint32_t index)
{
	const struct sim_request *request = request_of(serving, index);
	struct sim_refusal refusal = {
		.at_ms = serving->now_ms,
		.told_ms = (uint64_t)admission_queue_retry_after_s(
				   queue_of(serving, request),
				   slots_expected(serving, request->pool)) *
			   1000,
	};

	g_array_append_val(serving->pools[request->pool].refusals, refusal);
	live_end(serving, index, false, false);
}

static void refusals_judge(struct sim_dispatch *serving, struct sim_pool *pool)
{
	for (guint i = 0; i < pool->refusals->len; i++) {
		const struct sim_refusal *refusal =
			&g_array_index(pool->refusals, struct sim_refusal, i);
		int64_t error_ms =
			(int64_t)(refusal->at_ms + refusal->told_ms) -
			(int64_t)serving->now_ms;

		g_array_append_val(serving->result->retry_errors_ms, error_ms);
	}
	g_array_set_size(pool->refusals, 0);
}

static uint64_t attempt_length(const struct sim_dispatch *serving,
			       const struct sim_request *request, uint32_t vm,
			       enum attempt_end *end)
{
	const struct sim_worker *worker = &serving->workers[vm];
	uint64_t left_ms = request->deadline_ms - serving->now_ms;
	uint64_t length_ms = request->run_ms;

	*end = request->infeasible ? ATTEMPT_FAILED : ATTEMPT_ANSWERED;
	if (worker->lost || worker->fails_all) {
		*end = worker->lost ? ATTEMPT_NOT_SENT : ATTEMPT_FAILED;
		length_ms = FAIL_MS;
	}
	if (length_ms < left_ms)
		return length_ms;
	*end = ATTEMPT_TIMEOUT;
	return left_ms;
}

/* The end of an attempt carries its number, so that a cut one is ignored. */
static void attempt_run(struct sim_dispatch *serving, uint32_t index)
{
	const struct sim_request *request = request_of(serving, index);
	struct sim_request_state *live = &serving->lives[index];
	enum attempt_end end;
	uint64_t length_ms = attempt_length(serving, request, live->vm, &end);

	serving->workers[live->vm].running++;
	live->at_worker = false;
	sim_event_add(serving, serving->now_ms + length_ms, on_attempt_end,
		      index, live->attempts * 8 + end);
}

static void attempt_start(struct sim_dispatch *serving, uint32_t index,
			  uint32_t vm)
{
	const struct sim_request *request = request_of(serving, index);
	struct sim_request_state *live = &serving->lives[index];
	struct sim_worker *worker = &serving->workers[vm];

	if (live->attempts == 0)
		retry_budget_deposit(&serving->entries[request->entry]
					      .budgets[request->pool]);
	else
		serving->result->retries++;
	serving->result->attempts++;
	live->attempts++;
	live->vm = vm;
	live->began_ms = serving->now_ms;
	if (worker->running < serving->trace->bundle->vms[vm].slots) {
		attempt_run(serving, index);
		return;
	}
	serving->result->over_commit++;
	live->at_worker = true;
	g_queue_push_tail(&worker->waiting, GUINT_TO_POINTER(index));
}

/* The most urgent request that can still be answered in time. */
static struct sim_request_state *next_live(struct sim_dispatch *serving,
				  struct admission_queue *queue)
{
	struct admission_item *item = admission_queue_pop(queue);

	while (item && admission_queue_is_late(queue, item, serving->now_ms)) {
		live_refuse(serving, (uint32_t)((struct sim_request_state *)item -
						serving->lives));
		item = admission_queue_pop(queue);
	}
	return (struct sim_request_state *)item;
}

static void on_granted(struct sim_dispatch *serving, uint32_t entry, uint32_t vm)
{
	uint32_t pool = serving->servers->servers[vm].pool;
	struct sim_request_state *live =
		next_live(serving, serving->entries[entry].queues[pool]);

	if (live) {
		attempt_start(serving, (uint32_t)(live - serving->lives), vm);
		return;
	}
	serving->servers->servers[vm].in_flight--;
	sim_pool_grant_slots(serving, pool);
}

void sim_pool_grant_slots(struct sim_dispatch *serving, uint32_t index)
{
	struct sim_pool *pool = &serving->pools[index];
	uint32_t vm = balancer_choose(serving->servers, index,
				      BUNDLE_INDEX_NONE, serving->now_ms);

	while (vm != BUNDLE_INDEX_NONE && !g_queue_is_empty(&pool->asks)) {
		uint32_t entry =
			GPOINTER_TO_UINT(g_queue_pop_head(&pool->asks));

		serving->servers->servers[vm].in_flight++;
		sim_event_add(serving, serving->now_ms + SIM_NETWORK_DELAY_MS,
			      on_granted, entry, vm);
		vm = balancer_choose(serving->servers, index, BUNDLE_INDEX_NONE,
				     serving->now_ms);
	}
	if (vm != BUNDLE_INDEX_NONE)
		refusals_judge(serving, pool);
}

static void on_ask(struct sim_dispatch *serving, uint32_t pool, uint32_t entry)
{
	g_queue_push_tail(&serving->pools[pool].asks, GUINT_TO_POINTER(entry));
	sim_pool_grant_slots(serving, pool);
}

static void on_released(struct sim_dispatch *serving, uint32_t vm, uint32_t b)
{
	serving->servers->servers[vm].in_flight--;
	sim_pool_grant_slots(serving, serving->servers->servers[vm].pool);
}

/* The worker takes its next request; the slot's owner hears of the end. */
static void attempt_leave(struct sim_dispatch *serving, struct sim_request_state *live)
{
	const struct sim_request *request =
		request_of(serving, (uint32_t)(live - serving->lives));
	struct sim_worker *worker = &serving->workers[live->vm];
	uint64_t busy_ms = serving->now_ms - live->began_ms;

	worker->running--;
	serving->result->busy_ms += busy_ms;
	if (request->gone_ms < serving->now_ms)
		serving->result->gone_ms +=
			serving->now_ms - MAX(request->gone_ms, live->began_ms);
	admission_queue_record_service(queue_of(serving, request), busy_ms);
	if (!serving->policy->round_robin)
		sim_event_add(serving, serving->now_ms + SIM_NETWORK_DELAY_MS,
			      on_released, live->vm, 0);
	while (!g_queue_is_empty(&worker->waiting)) {
		uint32_t next =
			GPOINTER_TO_UINT(g_queue_pop_head(&worker->waiting));

		if (serving->lives[next].ended)
			continue;
		serving->lives[next].began_ms = serving->now_ms;
		attempt_run(serving, next);
		break;
	}
	live->vm = BUNDLE_INDEX_NONE;
}

static uint32_t next_in_turn(struct sim_dispatch *serving, uint32_t pool)
{
	struct balancer *servers = serving->servers;
	uint32_t *cursor = &serving->pools[pool].cursor;

	for (uint32_t i = 0; i < servers->count; i++) {
		*cursor = (*cursor + 1) % servers->count;
		if (servers->servers[*cursor].pool == pool &&
		    balancer_server_is_ready(&servers->servers[*cursor],
					     serving->now_ms))
			return *cursor;
	}
	return BUNDLE_INDEX_NONE;
}

static uint32_t retry_vm(struct sim_dispatch *serving,
			 const struct sim_request *request, uint32_t failed_vm)
{
	uint32_t vm;

	if (serving->policy->round_robin)
		return next_in_turn(serving, request->pool);
	vm = balancer_choose(serving->servers, request->pool, failed_vm,
			     serving->now_ms);
	if (vm != BUNDLE_INDEX_NONE)
		serving->servers->servers[vm].in_flight++;
	return vm;
}

static bool retry_is_allowed(struct sim_dispatch *serving, uint32_t index,
			     enum attempt_end end)
{
	const struct sim_request *request = request_of(serving, index);
	struct sim_request_state *live = &serving->lives[index];
	struct retry_budget free_budget;
	struct retry_budget *budget =
		&serving->entries[request->entry].budgets[request->pool];
	enum retry_failure failure = end == ATTEMPT_NOT_SENT
					     ? RETRY_FAILURE_NOT_SENT
					     : RETRY_FAILURE_SENT;

	if (end == ATTEMPT_TIMEOUT || serving->now_ms >= request->gone_ms)
		return false;
	if (serving->policy->free_retries) {
		retry_budget_init(&free_budget, 0, 1);
		budget = &free_budget;
	}
	live->retry.idempotent = request->idempotent;
	live->retry.attempts = live->attempts;
	live->retry.deadline_ms = request->deadline_ms;
	return retry_decide(&live->retry, budget, failure, serving->now_ms) ==
	       RETRY_ALLOWED;
}

static void attempt_failed(struct sim_dispatch *serving, uint32_t index,
			   enum attempt_end end, uint32_t failed_vm)
{
	const struct sim_request *request = request_of(serving, index);

	if (retry_is_allowed(serving, index, end)) {
		uint32_t vm = retry_vm(serving, request, failed_vm);

		if (vm != BUNDLE_INDEX_NONE) {
			attempt_start(serving, index, vm);
			return;
		}
	}
	if (end == ATTEMPT_NOT_SENT)
		live_refuse(serving, index);
	else
		live_end(serving, index, true, false);
}

/* One view of the servers' health stands for those of all entries. */
static void health_record(struct sim_dispatch *serving, uint32_t vm,
			  uint64_t began_ms, enum attempt_end end)
{
	enum outlier_result evidence = OUTLIER_FAILED;

	if (serving->policy->round_robin || serving->policy->no_ejection)
		return;
	if (end == ATTEMPT_ANSWERED)
		evidence = OUTLIER_ANSWERED;
	else if (end == ATTEMPT_TIMEOUT)
		evidence = OUTLIER_SLOW;
	balancer_record_result(serving->servers, vm, evidence, began_ms,
			       serving->now_ms, vm);
}

static void on_attempt_end(struct sim_dispatch *serving, uint32_t index,
			   uint32_t code)
{
	struct sim_request_state *live = &serving->lives[index];
	enum attempt_end end = code % 8;
	uint32_t vm = live->vm;

	if (live->ended || live->attempts != code / 8)
		return;
	health_record(serving, vm, live->began_ms, end);
	attempt_leave(serving, live);
	if (end == ATTEMPT_ANSWERED)
		live_end(serving, index, true, true);
	else
		attempt_failed(serving, index, end, vm);
}

void sim_worker_crash(struct sim_dispatch *serving, uint32_t vm)
{
	for (uint32_t i = 0; i < serving->trace->request_count; i++) {
		struct sim_request_state *live = &serving->lives[i];

		if (live->attempts == 0 || live->ended || live->vm != vm ||
		    live->at_worker)
			continue;
		attempt_leave(serving, live);
		attempt_failed(serving, i, ATTEMPT_FAILED, vm);
	}
}

static void on_expired(struct sim_dispatch *serving, uint32_t index, uint32_t b)
{
	struct sim_request_state *live = &serving->lives[index];

	if (live->ended)
		return;
	if (live->item.queued) {
		admission_queue_remove(
			queue_of(serving, request_of(serving, index)),
			&live->item);
		live_refuse(serving, index);
	} else if (live->at_worker) {
		live_end(serving, index, true, false);
	}
}

static void on_gone(struct sim_dispatch *serving, uint32_t index, uint32_t b)
{
	const struct sim_request *request = request_of(serving, index);
	struct sim_request_state *live = &serving->lives[index];

	if (live->ended)
		return;
	if (live->item.queued) {
		admission_queue_remove(queue_of(serving, request), &live->item);
		live_end(serving, index, false, false);
	} else if (request->idempotent && live->vm != BUNDLE_INDEX_NONE &&
		   !live->at_worker) {
		attempt_leave(serving, live);
		live_end(serving, index, true, false);
	}
}

static void live_watch(struct sim_dispatch *serving, uint32_t index)
{
	const struct sim_request *request = request_of(serving, index);

	sim_event_add(serving, request->deadline_ms, on_expired, index, 0);
	if (request->gone_ms != SIM_NEVER)
		sim_event_add(serving, request->gone_ms, on_gone, index, 0);
}

void sim_on_arrival(struct sim_dispatch *serving, uint32_t index, uint32_t b)
{
	const struct sim_request *request = request_of(serving, index);
	struct sim_request_state *live = &serving->lives[index];
	uint32_t vm;

	live->vm = BUNDLE_INDEX_NONE;
	live->item.bytes = 1;
	live->item.deadline_ms = request->deadline_ms;
	if (serving->policy->round_robin) {
		vm = next_in_turn(serving, request->pool);
		if (vm == BUNDLE_INDEX_NONE) {
			live_refuse(serving, index);
			return;
		}
		live_watch(serving, index);
		attempt_start(serving, index, vm);
		return;
	}
	if (admission_queue_push(queue_of(serving, request), &live->item,
				 slots_expected(serving, request->pool),
				 serving->now_ms) != OUTCOME_ANSWERED) {
		live_refuse(serving, index);
		return;
	}
	live_watch(serving, index);
	sim_event_add(serving, serving->now_ms + SIM_NETWORK_DELAY_MS, on_ask,
		      request->pool, request->entry);
}
