#include "sim_private.h"

/* Time until a request fails on a faulty or unreachable VM. */
#define FAIL_MS 5u

enum attempt_end {
	ATTEMPT_ANSWERED,
	/* the VM had crashed, but no gateway had detected it yet */
	ATTEMPT_NOT_SENT,
	ATTEMPT_FAILED,
	ATTEMPT_TIMEOUT,
};

static void on_attempt_end(struct sim_dispatch *sim, uint32_t index,
			   uint32_t code);

static const struct sim_request *request_of(const struct sim_dispatch *sim,
					    uint32_t index)
{
	return &sim->trace->requests[index];
}

static struct admission_queue *queue_of(struct sim_dispatch *sim,
					const struct sim_request *request)
{
	return sim->gateways[request->gateway].queues[request->pool];
}

/* Returns a gateway's equal share of the pool's ready slots. */
static uint32_t slots_expected(const struct sim_dispatch *sim, uint32_t pool)
{
	uint32_t slots = balancer_ready_slots(sim->servers, pool, sim->now_ms);

	return (slots + SIM_GATEWAYS - 1) / SIM_GATEWAYS;
}

static void request_finish(struct sim_dispatch *sim, uint32_t index,
			   bool was_run, bool on_time)
{
	sim->states[index].ended = true;
	sim_result_count(sim->result, request_of(sim, index), was_run, on_time);
}

static void request_refuse(struct sim_dispatch *sim, uint32_t index)
{
	const struct sim_request *request = request_of(sim, index);
	struct sim_refusal refusal = {
		.at_ms = sim->now_ms,
		.retry_after_ms = (uint64_t)admission_queue_retry_after_s(
					  queue_of(sim, request),
					  slots_expected(sim, request->pool)) *
				  1000,
	};

	g_array_append_val(sim->pools[request->pool].refusals, refusal);
	request_finish(sim, index, false, false);
}

static void refusals_evaluate(struct sim_dispatch *sim, struct sim_pool *pool)
{
	for (guint i = 0; i < pool->refusals->len; i++) {
		const struct sim_refusal *refusal =
			&g_array_index(pool->refusals, struct sim_refusal, i);
		int64_t error_ms =
			(int64_t)(refusal->at_ms + refusal->retry_after_ms) -
			(int64_t)sim->now_ms;

		g_array_append_val(sim->result->retry_errors_ms, error_ms);
	}
	g_array_set_size(pool->refusals, 0);
}

static uint64_t attempt_duration_ms(const struct sim_dispatch *sim,
				    const struct sim_request *request,
				    uint32_t vm, enum attempt_end *end)
{
	const struct sim_worker *worker = &sim->workers[vm];
	uint64_t left_ms = request->deadline_ms - sim->now_ms;
	uint64_t duration_ms = request->run_ms;

	*end = request->infeasible ? ATTEMPT_FAILED : ATTEMPT_ANSWERED;
	if (worker->crashed || worker->fails_all) {
		*end = worker->crashed ? ATTEMPT_NOT_SENT : ATTEMPT_FAILED;
		duration_ms = FAIL_MS;
	}
	if (duration_ms < left_ms)
		return duration_ms;
	*end = ATTEMPT_TIMEOUT;
	return left_ms;
}

/*
 * The end event carries the attempt number, so that the event of an attempt
 * that was aborted before is ignored.
 */
static void attempt_run(struct sim_dispatch *sim, uint32_t index)
{
	const struct sim_request *request = request_of(sim, index);
	struct sim_request_state *state = &sim->states[index];
	enum attempt_end end;
	uint64_t duration_ms =
		attempt_duration_ms(sim, request, state->vm, &end);

	sim->workers[state->vm].running++;
	state->queued_at_worker = false;
	sim_event_add(sim, sim->now_ms + duration_ms, on_attempt_end, index,
		      state->attempts * 8 + end);
}

static void attempt_start(struct sim_dispatch *sim, uint32_t index, uint32_t vm)
{
	const struct sim_request *request = request_of(sim, index);
	struct sim_request_state *state = &sim->states[index];
	struct sim_worker *worker = &sim->workers[vm];

	if (state->attempts == 0)
		retry_budget_deposit(&sim->gateways[request->gateway]
					      .budgets[request->pool]);
	else
		sim->result->retries++;
	sim->result->attempts++;
	state->attempts++;
	state->vm = vm;
	state->start_ms = sim->now_ms;
	if (worker->running < sim->trace->bundle->vms[vm].slots) {
		attempt_run(sim, index);
		return;
	}
	sim->result->over_commit++;
	state->queued_at_worker = true;
	g_queue_push_tail(&worker->backlog, GUINT_TO_POINTER(index));
}

/*
 * Pops the most urgent request that can still meet its deadline; refuses those
 * that cannot.
 */
static struct sim_request_state *queue_pop_viable(struct sim_dispatch *sim,
						  struct admission_queue *queue)
{
	struct admission_item *item = admission_queue_pop(queue);

	while (item && admission_queue_is_late(queue, item, sim->now_ms)) {
		request_refuse(sim,
			       (uint32_t)((struct sim_request_state *)item -
					  sim->states));
		item = admission_queue_pop(queue);
	}
	return (struct sim_request_state *)item;
}

static void on_slot_granted(struct sim_dispatch *sim, uint32_t gateway,
			    uint32_t vm)
{
	uint32_t pool = sim->servers->servers[vm].pool;
	struct sim_request_state *state =
		queue_pop_viable(sim, sim->gateways[gateway].queues[pool]);

	if (state) {
		attempt_start(sim, (uint32_t)(state - sim->states), vm);
		return;
	}
	sim->servers->servers[vm].in_flight--;
	sim_pool_grant_slots(sim, pool);
}

void sim_pool_grant_slots(struct sim_dispatch *sim, uint32_t index)
{
	struct sim_pool *pool = &sim->pools[index];
	uint32_t vm = balancer_choose(sim->servers, index, BUNDLE_INDEX_NONE,
				      sim->now_ms);

	while (vm != BUNDLE_INDEX_NONE &&
	       !g_queue_is_empty(&pool->slot_requests)) {
		uint32_t gateway = GPOINTER_TO_UINT(
			g_queue_pop_head(&pool->slot_requests));

		sim->servers->servers[vm].in_flight++;
		sim_event_add(sim, sim->now_ms + SIM_NETWORK_DELAY_MS,
			      on_slot_granted, gateway, vm);
		vm = balancer_choose(sim->servers, index, BUNDLE_INDEX_NONE,
				     sim->now_ms);
	}
	if (vm != BUNDLE_INDEX_NONE)
		refusals_evaluate(sim, pool);
}

static void on_slot_request(struct sim_dispatch *sim, uint32_t pool,
			    uint32_t gateway)
{
	g_queue_push_tail(&sim->pools[pool].slot_requests,
			  GUINT_TO_POINTER(gateway));
	sim_pool_grant_slots(sim, pool);
}

static void on_slot_released(struct sim_dispatch *sim, uint32_t vm, uint32_t b)
{
	sim->servers->servers[vm].in_flight--;
	sim_pool_grant_slots(sim, sim->servers->servers[vm].pool);
}

/*
 * Frees the slot, notifies its owner after the network delay and starts the
 * next request queued at the VM.
 */
static void attempt_finish(struct sim_dispatch *sim,
			   struct sim_request_state *state)
{
	const struct sim_request *request =
		request_of(sim, (uint32_t)(state - sim->states));
	struct sim_worker *worker = &sim->workers[state->vm];
	uint64_t busy_ms = sim->now_ms - state->start_ms;

	worker->running--;
	sim->result->busy_ms += busy_ms;
	if (request->cancel_ms < sim->now_ms)
		sim->result->wasted_ms +=
			sim->now_ms - MAX(request->cancel_ms, state->start_ms);
	admission_queue_record_service(queue_of(sim, request), busy_ms);
	if (!sim->policy->round_robin)
		sim_event_add(sim, sim->now_ms + SIM_NETWORK_DELAY_MS,
			      on_slot_released, state->vm, 0);
	while (!g_queue_is_empty(&worker->backlog)) {
		uint32_t next =
			GPOINTER_TO_UINT(g_queue_pop_head(&worker->backlog));

		if (sim->states[next].ended)
			continue;
		sim->states[next].start_ms = sim->now_ms;
		attempt_run(sim, next);
		break;
	}
	state->vm = BUNDLE_INDEX_NONE;
}

static uint32_t round_robin_next(struct sim_dispatch *sim, uint32_t pool)
{
	struct balancer *servers = sim->servers;
	uint32_t *cursor = &sim->pools[pool].cursor;

	for (uint32_t i = 0; i < servers->count; i++) {
		*cursor = (*cursor + 1) % servers->count;
		if (servers->servers[*cursor].pool == pool &&
		    balancer_server_is_ready(&servers->servers[*cursor],
					     sim->now_ms))
			return *cursor;
	}
	return BUNDLE_INDEX_NONE;
}

static uint32_t retry_vm(struct sim_dispatch *sim,
			 const struct sim_request *request, uint32_t failed_vm)
{
	uint32_t vm;

	if (sim->policy->round_robin)
		return round_robin_next(sim, request->pool);
	vm = balancer_choose(sim->servers, request->pool, failed_vm,
			     sim->now_ms);
	if (vm != BUNDLE_INDEX_NONE)
		sim->servers->servers[vm].in_flight++;
	return vm;
}

static bool retry_is_allowed(struct sim_dispatch *sim, uint32_t index,
			     enum attempt_end end)
{
	const struct sim_request *request = request_of(sim, index);
	struct sim_request_state *state = &sim->states[index];
	struct retry_budget full_budget;
	struct retry_budget *budget =
		&sim->gateways[request->gateway].budgets[request->pool];
	enum retry_failure failure = end == ATTEMPT_NOT_SENT
					     ? RETRY_FAILURE_NOT_SENT
					     : RETRY_FAILURE_SENT;

	if (end == ATTEMPT_TIMEOUT || sim->now_ms >= request->cancel_ms)
		return false;
	if (sim->policy->no_retry_budget) {
		retry_budget_init(&full_budget, 0, 1);
		budget = &full_budget;
	}
	state->retry.idempotent = request->idempotent;
	state->retry.attempts = state->attempts;
	state->retry.deadline_ms = request->deadline_ms;
	return retry_decide(&state->retry, budget, failure, sim->now_ms) ==
	       RETRY_ALLOWED;
}

static void attempt_retry_or_fail(struct sim_dispatch *sim, uint32_t index,
				  enum attempt_end end, uint32_t failed_vm)
{
	const struct sim_request *request = request_of(sim, index);

	if (retry_is_allowed(sim, index, end)) {
		uint32_t vm = retry_vm(sim, request, failed_vm);

		if (vm != BUNDLE_INDEX_NONE) {
			attempt_start(sim, index, vm);
			return;
		}
	}
	if (end == ATTEMPT_NOT_SENT)
		request_refuse(sim, index);
	else
		request_finish(sim, index, true, false);
}

/* Outlier detection state is shared by all gateways, a simplification. */
static void health_record(struct sim_dispatch *sim, uint32_t vm,
			  uint64_t began_ms, enum attempt_end end)
{
	enum outlier_result evidence = OUTLIER_FAILED;

	if (sim->policy->round_robin || sim->policy->no_ejection)
		return;
	if (end == ATTEMPT_ANSWERED)
		evidence = OUTLIER_ANSWERED;
	else if (end == ATTEMPT_TIMEOUT)
		evidence = OUTLIER_SLOW;
	balancer_record_result(sim->servers, vm, evidence, began_ms,
			       sim->now_ms, vm);
}

static void on_attempt_end(struct sim_dispatch *sim, uint32_t index,
			   uint32_t code)
{
	struct sim_request_state *state = &sim->states[index];
	enum attempt_end end = code % 8;
	uint32_t vm = state->vm;

	if (state->ended || state->attempts != code / 8)
		return;
	health_record(sim, vm, state->start_ms, end);
	attempt_finish(sim, state);
	if (end == ATTEMPT_ANSWERED)
		request_finish(sim, index, true, true);
	else
		attempt_retry_or_fail(sim, index, end, vm);
}

void sim_worker_crash(struct sim_dispatch *sim, uint32_t vm)
{
	for (uint32_t i = 0; i < sim->trace->request_count; i++) {
		struct sim_request_state *state = &sim->states[i];

		if (state->attempts == 0 || state->ended || state->vm != vm ||
		    state->queued_at_worker)
			continue;
		attempt_finish(sim, state);
		attempt_retry_or_fail(sim, i, ATTEMPT_FAILED, vm);
	}
}

static void on_expired(struct sim_dispatch *sim, uint32_t index, uint32_t b)
{
	struct sim_request_state *state = &sim->states[index];

	if (state->ended)
		return;
	if (state->item.queued) {
		admission_queue_remove(queue_of(sim, request_of(sim, index)),
				       &state->item);
		request_refuse(sim, index);
	} else if (state->queued_at_worker) {
		request_finish(sim, index, true, false);
	}
}

static void on_cancelled(struct sim_dispatch *sim, uint32_t index, uint32_t b)
{
	const struct sim_request *request = request_of(sim, index);
	struct sim_request_state *state = &sim->states[index];

	if (state->ended)
		return;
	if (state->item.queued) {
		admission_queue_remove(queue_of(sim, request), &state->item);
		request_finish(sim, index, false, false);
	} else if (request->idempotent && state->vm != BUNDLE_INDEX_NONE &&
		   !state->queued_at_worker) {
		attempt_finish(sim, state);
		request_finish(sim, index, true, false);
	}
}

static void request_timers_add(struct sim_dispatch *sim, uint32_t index)
{
	const struct sim_request *request = request_of(sim, index);

	sim_event_add(sim, request->deadline_ms, on_expired, index, 0);
	if (request->cancel_ms != SIM_NEVER)
		sim_event_add(sim, request->cancel_ms, on_cancelled, index, 0);
}

void sim_on_arrival(struct sim_dispatch *sim, uint32_t index, uint32_t b)
{
	const struct sim_request *request = request_of(sim, index);
	struct sim_request_state *state = &sim->states[index];
	uint32_t vm;

	state->vm = BUNDLE_INDEX_NONE;
	state->item.bytes = 1;
	state->item.deadline_ms = request->deadline_ms;
	if (sim->policy->round_robin) {
		vm = round_robin_next(sim, request->pool);
		if (vm == BUNDLE_INDEX_NONE) {
			request_refuse(sim, index);
			return;
		}
		request_timers_add(sim, index);
		attempt_start(sim, index, vm);
		return;
	}
	if (admission_queue_push(queue_of(sim, request), &state->item,
				 slots_expected(sim, request->pool),
				 sim->now_ms) != OUTCOME_ANSWERED) {
		request_refuse(sim, index);
		return;
	}
	request_timers_add(sim, index);
	sim_event_add(sim, sim->now_ms + SIM_NETWORK_DELAY_MS, on_slot_request,
		      request->pool, request->gateway);
}
