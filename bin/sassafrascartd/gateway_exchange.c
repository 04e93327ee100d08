#include <string.h>

#include "gateway_private.h"

/* Bound on the time to connect; the deadline binds as well. */
#define GATEWAY_CONNECT_TIMEOUT_MS 500
/* Time between two searches of a queue for callers that have left. */
#define GATEWAY_SWEEP_MS 100
#define GATEWAY_OWN_HEADER_PREFIX "sassafrascart-"

static void work_free(struct gateway_exchange *work)
{
	tmr_cancel(&work->deadline_timer);
	g_queue_unlink(&work->gateway->works, &work->link);
	gateway_claim_end(work);
	g_free(work->route);
	g_free(work->failed_vm);
	g_free(work->vm_name);
	g_free(work);
}

static uint32_t retry_after_s(const struct gateway_exchange *work)
{
	return adm_queue_retry_after_s(
		work->pool->queue,
		gateway_pool_slots_estimate(work->gateway, work->pool));
}

void gateway_exchange_refuse(struct gateway_exchange *work,
			     enum out_kind outcome)
{
	outcome = out_truthful(outcome, work->sent_outcome);
	ctr_add_outcome(work->gateway->config.counters, outcome);
	if (work->request)
		clr_request_refuse(work->request, outcome, retry_after_s(work));
	work_free(work);
}

static int64_t declared_bytes(const struct hcl_answer *answer)
{
	const char *text = hcl_answer_header(answer, "content-length");

	return text ? g_ascii_strtoll(text, NULL, 10) : -1;
}

static void work_answer(struct gateway_exchange *work,
			const struct hcl_answer *answer)
{
	g_autoptr(GArray) headers =
		g_array_new(FALSE, FALSE, sizeof(struct clr_header));
	struct clr_answer out = {
		.status = answer->status,
		.body = answer->body,
		.body_bytes = answer->body_len,
		.declared_bytes = declared_bytes(answer),
	};

	for (size_t i = 0; i < answer->header_count; i++) {
		struct clr_header header = { answer->headers[i].name,
					     answer->headers[i].value };

		if (!att_header_is_hop_by_hop(header.name) &&
		    !g_str_has_prefix(header.name, GATEWAY_OWN_HEADER_PREFIX))
			g_array_append_val(headers, header);
	}
	out.headers = (const struct clr_header *)headers->data;
	out.header_count = headers->len;
	ctr_add_outcome(work->gateway->config.counters,
			work->request ? OUT_ANSWERED : OUT_CALLER_GONE);
	if (work->request)
		clr_request_answer(work->request, &out);
	work_free(work);
}

static enum out_kind outcome_of(enum att_result result)
{
	switch (result) {
	case ATT_ANSWERED:
		return OUT_ANSWERED;
	case ATT_NOT_SENT:
		return OUT_CONNECT_FAILED;
	case ATT_TIMEOUT:
		return OUT_TIMEOUT;
	case ATT_CUT:
		return OUT_CUT;
	case ATT_MISMATCH:
		return OUT_MISMATCH;
	case ATT_TOO_LARGE:
		break;
	}
	return OUT_ANSWER_TOO_LARGE;
}

static enum ctr_kind failure_counter(enum att_result result)
{
	switch (result) {
	case ATT_NOT_SENT:
		return CTR_ATTEMPT_NOT_SENT;
	case ATT_TIMEOUT:
		return CTR_ATTEMPT_TIMEOUT;
	case ATT_MISMATCH:
		return CTR_ATTEMPT_MISMATCH;
	case ATT_TOO_LARGE:
		return CTR_ATTEMPT_TOO_LARGE;
	default:
		return CTR_ATTEMPT_CUT;
	}
}

static enum ret_failure failure_of(enum att_result result)
{
	if (result == ATT_NOT_SENT)
		return RET_FAILURE_NOT_SENT;
	return result == ATT_TOO_LARGE || result == ATT_TIMEOUT
		       ? RET_FAILURE_FINAL
		       : RET_FAILURE_SENT;
}

static void verdict_count(struct ctr_set *counters, enum ret_verdict verdict,
			  enum att_result result)
{
	switch (verdict) {
	case RET_RETRY:
		ctr_add(counters, result == ATT_NOT_SENT
					  ? CTR_RETRY_NOT_SENT
					  : CTR_RETRY_IDEMPOTENT);
		break;
	case RET_DENIED:
		break;
	case RET_DENIED_LIMIT:
		ctr_add(counters, CTR_RETRY_DENIED_LIMIT);
		break;
	case RET_DENIED_BUDGET:
		ctr_add(counters, CTR_RETRY_DENIED_BUDGET);
		break;
	case RET_DENIED_POISON:
		ctr_add(counters, CTR_RETRY_DENIED_POISON);
		break;
	}
}

/* Puts a request that may be retried back into the queue. */
static bool work_requeue(struct gateway_exchange *work)
{
	struct gateway *gateway = work->gateway;

	if (adm_queue_return(work->pool->queue, &work->item) != OUT_ANSWERED) {
		ctr_add(gateway->config.counters, CTR_RETRY_DENIED_QUEUE);
		return false;
	}
	tmr_set(evl_loop_timers(gateway->config.loop), &work->deadline_timer,
		work->item.deadline_ms);
	return true;
}

/* Ends a failed attempt: the request goes back to the queue or is refused. */
static void work_fail(struct gateway_exchange *work, enum att_result result,
		      const char *vm_name)
{
	struct gateway *gateway = work->gateway;
	/* Nobody is left to read the answer to another attempt. */
	enum ret_failure failure =
		work->request ? failure_of(result) : RET_FAILURE_FINAL;
	enum ret_verdict verdict = ret_decide(&work->retry, &work->pool->budget,
					      failure, evl_now_ms());

	ctr_add(gateway->config.counters, failure_counter(result));
	verdict_count(gateway->config.counters, verdict, result);
	if (verdict == RET_DENIED_POISON) {
		gateway_health_retract(gateway, vm_name);
		if (work->failed_vm)
			gateway_health_retract(gateway, work->failed_vm);
	}
	if (verdict != RET_RETRY || !work_requeue(work)) {
		gateway_exchange_refuse(work, outcome_of(result));
		return;
	}
	g_free(work->failed_vm);
	work->failed_vm = g_strdup(vm_name);
}

uint32_t gateway_exchange_avoided_vm(const struct gateway_exchange *work)
{
	const struct gateway *gateway = work->gateway;
	const struct sel_server *server;
	uint32_t vm;

	if (!work->failed_vm)
		return BND_NONE;
	server = gateway_server_find(gateway, work->failed_vm);
	if (!server)
		return BND_NONE;
	vm = (uint32_t)(server - gateway->servers->servers);
	/* With no other server, the same one is better than none. */
	return sel_has_other(gateway->servers, work->pool->index, vm,
			     evl_now_ms())
		       ? vm
		       : BND_NONE;
}

static void on_attempt_end(void *data, enum att_result result,
			   const struct hcl_answer *answer, bool leaving)
{
	struct gateway_exchange *work = data;
	struct gateway *gateway = work->gateway;
	struct gateway_pool *pool = work->pool;
	g_autofree char *vm_name = g_strdup(work->vm_name);

	work->attempt = NULL;
	if (leaving)
		gateway_leaving_signal(gateway, vm_name);
	gateway_slot_release(work);
	gateway_health_record(work, result, answer, vm_name);
	if (result != ATT_NOT_SENT)
		work->sent_outcome = outcome_of(result);
	if (result == ATT_ANSWERED)
		work_answer(work, answer);
	else
		work_fail(work, result, vm_name);
	gateway_pool_dispatch(gateway, pool);
}

static GArray *forward_headers(const struct clr_view *view)
{
	GArray *headers = g_array_new(FALSE, FALSE, sizeof(struct hcl_header));

	for (uint32_t i = 0; i < view->header_count; i++) {
		struct hcl_header header = { view->headers[i].name,
					     view->headers[i].value };

		if (!g_str_has_prefix(header.name, GATEWAY_OWN_HEADER_PREFIX))
			g_array_append_val(headers, header);
	}
	return headers;
}

/*
 * Asked when the connection is open, which may be long after the choice: the
 * VM may have begun to drain, and this process may have confirmed that.
 */
static bool work_may_send(void *data)
{
	const struct gateway_exchange *work = data;
	const struct gateway *gateway = work->gateway;
	const struct sel_server *server =
		gateway_server_find(gateway, work->vm_name);

	return gateway->config.may_dispatch(gateway->config.data) && server &&
	       server->pool == work->pool->index && server->serving &&
	       !server->leaving;
}

void gateway_exchange_dispatch(struct gateway_exchange *work, uint32_t vm)
{
	struct gateway *gateway = work->gateway;
	const struct bnd_vm *target_vm = &gateway->bundle->vms[vm];
	const struct clr_view *view = clr_request_view(work->request);
	g_autoptr(GArray) headers = forward_headers(view);
	uint64_t now_ms = evl_now_ms();
	const struct att_target target = {
		.ip = target_vm->ip,
		.port = target_vm->port,
		.timeout_ms =
			(uint32_t)(work->item.deadline_ms > now_ms
					   ? work->item.deadline_ms - now_ms
					   : 0),
		.connect_timeout_ms = GATEWAY_CONNECT_TIMEOUT_MS,
		.answer_max_bytes = gateway->config.answer_max_bytes,
		.may_send = work_may_send,
		.may_send_data = work,
		.reuse_max = gateway_idle_connections_max(gateway, vm),
	};
	const struct att_request request = {
		.method = view->method,
		.target = view->target,
		.headers = (const struct hcl_header *)headers->data,
		.header_count = headers->len,
		.body = view->body,
		.body_bytes = view->body_bytes,
		.request_id = work->request_id,
	};

	tmr_cancel(&work->deadline_timer);
	if (work->retry.attempts == 0)
		ret_budget_first(&work->pool->budget);
	work->retry.attempts++;
	work->attempt_began_ms = now_ms;
	gateway_slot_acquire(work, vm);
	ctr_add(gateway->config.counters, CTR_ATTEMPTS);
	work->attempt = att_start(gateway->http, &target, &request,
				  on_attempt_end, work);
}

struct gateway_exchange *gateway_exchange_of_item(struct adm_item *item)
{
	return (struct gateway_exchange *)((char *)item -
					   offsetof(struct gateway_exchange,
						    item));
}

static void on_queue_deadline(void *data)
{
	struct gateway_exchange *work = data;

	adm_queue_remove(work->pool->queue, &work->item);
	gateway_exchange_refuse(work, OUT_EXPIRED);
}

static struct gateway_pool *pool_of_route(struct gateway *gateway,
					  const struct bnd_route *route)
{
	const struct bnd_pool *spec = &gateway->bundle->pools[route->pool];

	return g_hash_table_lookup(gateway->pools, spec->name);
}

static bool method_is_idempotent(const char *method)
{
	static const char *const methods[] = { "GET", "HEAD",	"OPTIONS",
					       "PUT", "DELETE", "TRACE" };

	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
		if (strcmp(method, methods[i]) == 0)
			return true;
	}
	return false;
}

static bool route_is_idempotent(const struct bnd_route *route,
				const char *method)
{
	if (route->idempotence == BND_IDEMPOTENCE_METHOD)
		return method_is_idempotent(method);
	return route->idempotence == BND_IDEMPOTENCE_YES;
}

static struct gateway_exchange *work_create(struct gateway *gateway,
					    struct clr_request *request,
					    const struct bnd_route *route,
					    uint64_t deadline_ms)
{
	const struct clr_view *view = clr_request_view(request);
	struct gateway_exchange *work = g_new0(struct gateway_exchange, 1);

	work->gateway = gateway;
	work->request = request;
	work->pool = pool_of_route(gateway, route);
	work->sent_outcome = OUT_KIND_COUNT;
	work->retry.idempotent = route_is_idempotent(route, view->method);
	work->route = g_strdup(route->path);
	work->item.bytes = view->body_bytes + view->head_bytes;
	work->item.deadline_ms = evl_now_ms() + deadline_ms;
	work->retry.deadline_ms = work->item.deadline_ms;
	work->deadline_timer.cb = on_queue_deadline;
	work->deadline_timer.data = work;
	g_snprintf(work->request_id, sizeof(work->request_id),
		   "%s-%" PRIx64 "-%" PRIu64, gateway->config.id,
		   gateway->config.incarnation, ++gateway->request_count);
	work->link.data = work;
	g_queue_push_tail_link(&gateway->works, &work->link);
	clr_request_set_data(request, work);
	return work;
}

/*
 * h2o tells nothing of an HTTP/1.1 caller that leaves while its request waits,
 * so those are looked for before they cost another request its place.
 */
static bool gone_sweep(struct gateway_pool *pool)
{
	struct adm_item *item = adm_queue_peek(pool->queue);
	uint64_t now_ms = evl_now_ms();
	bool found = false;

	if (now_ms - pool->swept_ms < GATEWAY_SWEEP_MS)
		return false;
	pool->swept_ms = now_ms;
	while (item) {
		struct gateway_exchange *work = gateway_exchange_of_item(item);

		item = adm_queue_next(pool->queue, item);
		if (clr_request_is_connected(work->request))
			continue;
		adm_queue_remove(pool->queue, &work->item);
		gateway_exchange_refuse(work, OUT_CANCELLED);
		found = true;
	}
	return found;
}

static enum out_kind work_admit(struct gateway_exchange *work)
{
	struct gateway_pool *pool = work->pool;
	uint32_t slots = gateway_pool_slots_estimate(work->gateway, pool);
	uint64_t now_ms = evl_now_ms();
	enum out_kind refusal =
		adm_queue_hold(pool->queue, &work->item, slots, now_ms);

	if (refusal != OUT_ANSWERED && refusal != OUT_NO_VM && gone_sweep(pool))
		refusal =
			adm_queue_hold(pool->queue, &work->item, slots, now_ms);
	if (refusal != OUT_ANSWERED)
		return refusal;
	if (gateway_claim_is_needed(work))
		return gateway_claim_begin(work);
	adm_queue_enter(pool->queue, &work->item, now_ms);
	return OUT_ANSWERED;
}

void gateway_exchange_start(struct gateway *gateway,
			    struct clr_request *request,
			    const struct bnd_route *route, uint64_t deadline_ms)
{
	struct gateway_exchange *work =
		work_create(gateway, request, route, deadline_ms);
	enum out_kind refusal = work_admit(work);

	if (refusal != OUT_ANSWERED) {
		adm_queue_remove(work->pool->queue, &work->item);
		gateway_exchange_refuse(work, refusal);
		return;
	}
	tmr_set(evl_loop_timers(gateway->config.loop), &work->deadline_timer,
		work->item.deadline_ms);
	gateway_pool_dispatch(gateway, work->pool);
}

void gateway_exchange_abort(struct gateway_exchange *work)
{
	adm_queue_remove(work->pool->queue, &work->item);
	if (work->attempt) {
		/* The attempt may have been sent, so a claim must stay. */
		work->sent_outcome = OUT_CUT;
		att_cancel(work->attempt);
		gateway_slot_release(work);
	}
	work_free(work);
}

void gateway_exchange_on_caller_gone(struct gateway_exchange *work)
{
	work->request = NULL;
	if (work->item.queued || work->item.held) {
		adm_queue_remove(work->pool->queue, &work->item);
		gateway_exchange_refuse(work, OUT_CANCELLED);
		return;
	}
	if (!work->attempt || !work->retry.idempotent)
		return;
	/* The attempt may have been sent already. */
	work->sent_outcome = OUT_CALLER_GONE;
	att_cancel(work->attempt);
	gateway_slot_release(work);
	gateway_exchange_refuse(work, OUT_CANCELLED);
}
