#include <string.h>

#include "gateway_private.h"

/* Bound on the time to connect; the deadline binds as well. */
#define GATEWAY_CONNECT_TIMEOUT_MS 500
/* Time between two searches of a queue for callers that have left. */
#define GATEWAY_SWEEP_MS 100
#define GATEWAY_OWN_HEADER_PREFIX "sassafrascart-"

static void work_free(struct gateway_exchange *work)
{
	timer_cancel(&work->deadline_timer);
	g_queue_unlink(&work->gateway->works, &work->link);
	gateway_claim_end(work);
	g_free(work->route);
	g_free(work->failed_vm);
	g_free(work->vm_name);
	g_free(work);
}

static uint32_t retry_after_s(const struct gateway_exchange *work)
{
	return admission_queue_retry_after_s(
		work->pool->queue,
		gateway_pool_slots_estimate(work->gateway, work->pool));
}

void gateway_exchange_refuse(struct gateway_exchange *work,
			     enum outcome outcome)
{
	outcome = outcome_after_send(outcome, work->sent_outcome);
	counter_inc_outcome(work->gateway->config.counters, outcome);
	if (work->request)
		ingress_request_reject(work->request, outcome,
				       retry_after_s(work));
	work_free(work);
}

static int64_t declared_bytes(const struct http_client_response *answer)
{
	const char *text =
		http_client_response_header(answer, "content-length");

	return text ? g_ascii_strtoll(text, NULL, 10) : -1;
}

static void work_answer(struct gateway_exchange *work,
			const struct http_client_response *answer)
{
	g_autoptr(GArray) headers =
		g_array_new(FALSE, FALSE, sizeof(struct ingress_header));
	struct ingress_response out = {
		.status = answer->status,
		.body = answer->body,
		.body_bytes = answer->body_len,
		.content_length = declared_bytes(answer),
	};

	for (size_t i = 0; i < answer->header_count; i++) {
		struct ingress_header header = { answer->headers[i].name,
						 answer->headers[i].value };

		if (!backend_header_is_hop_by_hop(header.name) &&
		    !g_str_has_prefix(header.name, GATEWAY_OWN_HEADER_PREFIX))
			g_array_append_val(headers, header);
	}
	out.headers = (const struct ingress_header *)headers->data;
	out.header_count = headers->len;
	counter_inc_outcome(work->gateway->config.counters,
			    work->request ? OUTCOME_ANSWERED
					  : OUTCOME_CALLER_GONE);
	if (work->request)
		ingress_request_respond(work->request, &out);
	work_free(work);
}

static enum outcome outcome_of(enum backend_result result)
{
	switch (result) {
	case BACKEND_ANSWERED:
		return OUTCOME_ANSWERED;
	case BACKEND_NOT_SENT:
		return OUTCOME_CONNECT_FAILED;
	case BACKEND_TIMEOUT:
		return OUTCOME_TIMEOUT;
	case BACKEND_DISCONNECTED:
		return OUTCOME_CUT;
	case BACKEND_ID_MISMATCH:
		return OUTCOME_MISMATCH;
	case BACKEND_TOO_LARGE:
		break;
	}
	return OUTCOME_ANSWER_TOO_LARGE;
}

static enum counter_kind failure_counter(enum backend_result result)
{
	switch (result) {
	case BACKEND_NOT_SENT:
		return COUNTER_ATTEMPT_NOT_SENT;
	case BACKEND_TIMEOUT:
		return COUNTER_ATTEMPT_TIMEOUT;
	case BACKEND_ID_MISMATCH:
		return COUNTER_ATTEMPT_MISMATCH;
	case BACKEND_TOO_LARGE:
		return COUNTER_ATTEMPT_TOO_LARGE;
	default:
		return COUNTER_ATTEMPT_CUT;
	}
}

static enum retry_failure failure_of(enum backend_result result)
{
	if (result == BACKEND_NOT_SENT)
		return RETRY_FAILURE_NOT_SENT;
	return result == BACKEND_TOO_LARGE || result == BACKEND_TIMEOUT
		       ? RETRY_FAILURE_FINAL
		       : RETRY_FAILURE_SENT;
}

static void verdict_count(struct counter_set *counters,
			  enum retry_decision verdict,
			  enum backend_result result)
{
	switch (verdict) {
	case RETRY_ALLOWED:
		counter_inc(counters, result == BACKEND_NOT_SENT
					      ? COUNTER_RETRY_NOT_SENT
					      : COUNTER_RETRY_IDEMPOTENT);
		break;
	case RETRY_DENIED:
		break;
	case RETRY_DENIED_LIMIT:
		counter_inc(counters, COUNTER_RETRY_DENIED_LIMIT);
		break;
	case RETRY_DENIED_BUDGET:
		counter_inc(counters, COUNTER_RETRY_DENIED_BUDGET);
		break;
	case RETRY_DENIED_POISON:
		counter_inc(counters, COUNTER_RETRY_DENIED_POISON);
		break;
	}
}

/* Puts a request that may be retried back into the queue. */
static bool work_requeue(struct gateway_exchange *work)
{
	struct gateway *gateway = work->gateway;

	if (admission_queue_requeue(work->pool->queue, &work->item) !=
	    OUTCOME_ANSWERED) {
		counter_inc(gateway->config.counters,
			    COUNTER_RETRY_DENIED_QUEUE);
		return false;
	}
	timer_set(loop_timers(gateway->config.loop), &work->deadline_timer,
		  work->item.deadline_ms);
	return true;
}

/* Ends a failed attempt: the request goes back to the queue or is refused. */
static void work_fail(struct gateway_exchange *work, enum backend_result result,
		      const char *vm_name)
{
	struct gateway *gateway = work->gateway;
	/* Nobody is left to read the answer to another attempt. */
	enum retry_failure failure =
		work->request ? failure_of(result) : RETRY_FAILURE_FINAL;
	enum retry_decision verdict = retry_decide(
		&work->retry, &work->pool->budget, failure, loop_now_ms());

	counter_inc(gateway->config.counters, failure_counter(result));
	verdict_count(gateway->config.counters, verdict, result);
	if (verdict == RETRY_DENIED_POISON) {
		gateway_health_retract(gateway, vm_name);
		if (work->failed_vm)
			gateway_health_retract(gateway, work->failed_vm);
	}
	if (verdict != RETRY_ALLOWED || !work_requeue(work)) {
		gateway_exchange_refuse(work, outcome_of(result));
		return;
	}
	g_free(work->failed_vm);
	work->failed_vm = g_strdup(vm_name);
}

uint32_t gateway_exchange_avoided_vm(const struct gateway_exchange *work)
{
	const struct gateway *gateway = work->gateway;
	const struct balancer_server *server;
	uint32_t vm;

	if (!work->failed_vm)
		return BUNDLE_INDEX_NONE;
	server = gateway_server_find(gateway, work->failed_vm);
	if (!server)
		return BUNDLE_INDEX_NONE;
	vm = (uint32_t)(server - gateway->servers->servers);
	/* With no other server, the same one is better than none. */
	return balancer_has_other_ready(gateway->servers, work->pool->index, vm,
					loop_now_ms())
		       ? vm
		       : BUNDLE_INDEX_NONE;
}

static void on_attempt_end(void *data, enum backend_result result,
			   const struct http_client_response *answer,
			   bool leaving)
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
	if (result != BACKEND_NOT_SENT)
		work->sent_outcome = outcome_of(result);
	if (result == BACKEND_ANSWERED)
		work_answer(work, answer);
	else
		work_fail(work, result, vm_name);
	gateway_pool_dispatch(gateway, pool);
}

static GArray *forward_headers(const struct ingress_view *view)
{
	GArray *headers =
		g_array_new(FALSE, FALSE, sizeof(struct http_client_header));

	for (uint32_t i = 0; i < view->header_count; i++) {
		struct http_client_header header = { view->headers[i].name,
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
	const struct balancer_server *server =
		gateway_server_find(gateway, work->vm_name);

	return gateway->config.may_dispatch(gateway->config.data) && server &&
	       server->pool == work->pool->index && server->serving &&
	       !server->draining;
}

void gateway_exchange_dispatch(struct gateway_exchange *work, uint32_t vm)
{
	struct gateway *gateway = work->gateway;
	const struct bundle_vm *target_vm = &gateway->bundle->vms[vm];
	const struct ingress_view *view = ingress_request_view(work->request);
	g_autoptr(GArray) headers = forward_headers(view);
	uint64_t now_ms = loop_now_ms();
	const struct backend_target target = {
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
	const struct backend_request request = {
		.method = view->method,
		.target = view->target,
		.headers = (const struct http_client_header *)headers->data,
		.header_count = headers->len,
		.body = view->body,
		.body_bytes = view->body_bytes,
		.request_id = work->request_id,
	};

	timer_cancel(&work->deadline_timer);
	if (work->retry.attempts == 0)
		retry_budget_deposit(&work->pool->budget);
	work->retry.attempts++;
	work->attempt_began_ms = now_ms;
	gateway_slot_acquire(work, vm);
	counter_inc(gateway->config.counters, COUNTER_ATTEMPTS);
	work->attempt = backend_attempt_start(gateway->http, &target, &request,
					      on_attempt_end, work);
}

struct gateway_exchange *gateway_exchange_of_item(struct admission_item *item)
{
	return (struct gateway_exchange *)((char *)item -
					   offsetof(struct gateway_exchange,
						    item));
}

static void on_queue_deadline(void *data)
{
	struct gateway_exchange *work = data;

	admission_queue_remove(work->pool->queue, &work->item);
	gateway_exchange_refuse(work, OUTCOME_EXPIRED);
}

static struct gateway_pool *pool_of_route(struct gateway *gateway,
					  const struct bundle_route *route)
{
	const struct bundle_pool *spec = &gateway->bundle->pools[route->pool];

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

static bool route_is_idempotent(const struct bundle_route *route,
				const char *method)
{
	if (route->idempotence == BUNDLE_IDEMPOTENCE_METHOD)
		return method_is_idempotent(method);
	return route->idempotence == BUNDLE_IDEMPOTENCE_YES;
}

static struct gateway_exchange *work_create(struct gateway *gateway,
					    struct ingress_request *request,
					    const struct bundle_route *route,
					    uint64_t deadline_ms)
{
	const struct ingress_view *view = ingress_request_view(request);
	struct gateway_exchange *work = g_new0(struct gateway_exchange, 1);

	work->gateway = gateway;
	work->request = request;
	work->pool = pool_of_route(gateway, route);
	work->sent_outcome = OUTCOME_COUNT;
	work->retry.idempotent = route_is_idempotent(route, view->method);
	work->route = g_strdup(route->path);
	work->item.bytes = view->body_bytes + view->head_bytes;
	work->item.deadline_ms = loop_now_ms() + deadline_ms;
	work->retry.deadline_ms = work->item.deadline_ms;
	work->deadline_timer.cb = on_queue_deadline;
	work->deadline_timer.data = work;
	g_snprintf(work->request_id, sizeof(work->request_id),
		   "%s-%" PRIx64 "-%" PRIu64, gateway->config.id,
		   gateway->config.incarnation, ++gateway->request_count);
	work->link.data = work;
	g_queue_push_tail_link(&gateway->works, &work->link);
	ingress_request_set_data(request, work);
	return work;
}

/*
 * h2o tells nothing of an HTTP/1.1 caller that leaves while its request waits,
 * so those are looked for before they cost another request its place.
 */
static bool gone_sweep(struct gateway_pool *pool)
{
	struct admission_item *item = admission_queue_peek(pool->queue);
	uint64_t now_ms = loop_now_ms();
	bool found = false;

	if (now_ms - pool->swept_ms < GATEWAY_SWEEP_MS)
		return false;
	pool->swept_ms = now_ms;
	while (item) {
		struct gateway_exchange *work = gateway_exchange_of_item(item);

		item = admission_queue_next(pool->queue, item);
		if (ingress_request_is_connected(work->request))
			continue;
		admission_queue_remove(pool->queue, &work->item);
		gateway_exchange_refuse(work, OUTCOME_CANCELLED);
		found = true;
	}
	return found;
}

static enum outcome work_admit(struct gateway_exchange *work)
{
	struct gateway_pool *pool = work->pool;
	uint32_t slots = gateway_pool_slots_estimate(work->gateway, pool);
	uint64_t now_ms = loop_now_ms();
	enum outcome refusal = admission_queue_reserve(pool->queue, &work->item,
						       slots, now_ms);

	if (refusal != OUTCOME_ANSWERED && refusal != OUTCOME_NO_VM &&
	    gone_sweep(pool))
		refusal = admission_queue_reserve(pool->queue, &work->item,
						  slots, now_ms);
	if (refusal != OUTCOME_ANSWERED)
		return refusal;
	if (gateway_claim_is_needed(work))
		return gateway_claim_begin(work);
	admission_queue_enqueue(pool->queue, &work->item, now_ms);
	return OUTCOME_ANSWERED;
}

void gateway_exchange_start(struct gateway *gateway,
			    struct ingress_request *request,
			    const struct bundle_route *route,
			    uint64_t deadline_ms)
{
	struct gateway_exchange *work =
		work_create(gateway, request, route, deadline_ms);
	enum outcome refusal = work_admit(work);

	if (refusal != OUTCOME_ANSWERED) {
		admission_queue_remove(work->pool->queue, &work->item);
		gateway_exchange_refuse(work, refusal);
		return;
	}
	timer_set(loop_timers(gateway->config.loop), &work->deadline_timer,
		  work->item.deadline_ms);
	gateway_pool_dispatch(gateway, work->pool);
}

void gateway_exchange_abort(struct gateway_exchange *work)
{
	admission_queue_remove(work->pool->queue, &work->item);
	if (work->attempt) {
		/* The attempt may have been sent, so a claim must stay. */
		work->sent_outcome = OUTCOME_CUT;
		backend_attempt_cancel(work->attempt);
		gateway_slot_release(work);
	}
	work_free(work);
}

void gateway_exchange_on_caller_gone(struct gateway_exchange *work)
{
	work->request = NULL;
	if (work->item.queued || work->item.reserved) {
		admission_queue_remove(work->pool->queue, &work->item);
		gateway_exchange_refuse(work, OUTCOME_CANCELLED);
		return;
	}
	if (!work->attempt || !work->retry.idempotent)
		return;
	/* The attempt may have been sent already. */
	work->sent_outcome = OUTCOME_CALLER_GONE;
	backend_attempt_cancel(work->attempt);
	gateway_slot_release(work);
	gateway_exchange_refuse(work, OUTCOME_CANCELLED);
}
