#include <string.h>

#include "gateway_private.h"

/* Connect timeout of an attempt; the request's deadline applies as well. */
#define GATEWAY_CONNECT_TIMEOUT_MS 500
/* Interval between searches of a queue for disconnected callers. */
#define GATEWAY_SWEEP_INTERVAL_MS 100
#define GATEWAY_OWN_HEADER_PREFIX "sassafrascart-"

static void exchange_free(struct gateway_exchange *exchange)
{
	timer_cancel(&exchange->deadline_timer);
	g_queue_unlink(&exchange->gateway->exchanges, &exchange->link);
	gateway_claim_end(exchange);
	g_free(exchange->route_path);
	g_free(exchange->failed_vm);
	g_free(exchange->vm_name);
	g_free(exchange);
}

static uint32_t retry_after_s(const struct gateway_exchange *exchange)
{
	return admission_queue_retry_after_s(
		exchange->pool->queue,
		gateway_pool_slots_estimate(exchange->gateway, exchange->pool));
}

void gateway_exchange_refuse(struct gateway_exchange *exchange,
			     enum outcome outcome)
{
	outcome = outcome_after_send(outcome, exchange->last_sent_outcome);
	counter_inc_outcome(exchange->gateway->config.counters, outcome);
	if (exchange->request)
		ingress_request_reject(exchange->request, outcome,
				       retry_after_s(exchange));
	exchange_free(exchange);
}

static int64_t declared_bytes(const struct http_client_response *response)
{
	const char *text =
		http_client_response_header(response, "content-length");

	return text ? g_ascii_strtoll(text, NULL, 10) : -1;
}

static void exchange_respond(struct gateway_exchange *exchange,
			     const struct http_client_response *response)
{
	g_autoptr(GArray) headers =
		g_array_new(FALSE, FALSE, sizeof(struct ingress_header));
	struct ingress_response out = {
		.status = response->status,
		.body = response->body,
		.body_bytes = response->body_len,
		.content_length = declared_bytes(response),
	};

	for (size_t i = 0; i < response->header_count; i++) {
		struct ingress_header header = { response->headers[i].name,
						 response->headers[i].value };

		if (!backend_header_is_hop_by_hop(header.name) &&
		    !g_str_has_prefix(header.name, GATEWAY_OWN_HEADER_PREFIX))
			g_array_append_val(headers, header);
	}
	out.headers = (const struct ingress_header *)headers->data;
	out.header_count = headers->len;
	counter_inc_outcome(exchange->gateway->config.counters,
			    exchange->request ? OUTCOME_ANSWERED
					      : OUTCOME_CALLER_GONE);
	if (exchange->request)
		ingress_request_respond(exchange->request, &out);
	exchange_free(exchange);
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

static void retry_decision_count(struct counter_set *counters,
				 enum retry_decision decision,
				 enum backend_result result)
{
	switch (decision) {
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

/* Returns a request that may be retried to the queue. */
static bool exchange_requeue(struct gateway_exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;

	if (admission_queue_requeue(exchange->pool->queue, &exchange->item) !=
	    OUTCOME_ANSWERED) {
		counter_inc(gateway->config.counters,
			    COUNTER_RETRY_DENIED_QUEUE);
		return false;
	}
	timer_set(loop_timers(gateway->config.loop), &exchange->deadline_timer,
		  exchange->item.deadline_ms);
	return true;
}

/* Handles a failed attempt: the request is queued again or refused. */
static void exchange_attempt_failed(struct gateway_exchange *exchange,
				    enum backend_result result,
				    const char *vm_name)
{
	struct gateway *gateway = exchange->gateway;
	/* No retry if no caller is left to receive the response. */
	enum retry_failure failure =
		exchange->request ? failure_of(result) : RETRY_FAILURE_FINAL;
	enum retry_decision decision =
		retry_decide(&exchange->retry, &exchange->pool->budget, failure,
			     loop_now_ms());

	counter_inc(gateway->config.counters, failure_counter(result));
	retry_decision_count(gateway->config.counters, decision, result);
	if (decision == RETRY_DENIED_POISON) {
		gateway_health_retract(gateway, vm_name);
		if (exchange->failed_vm)
			gateway_health_retract(gateway, exchange->failed_vm);
	}
	if (decision != RETRY_ALLOWED || !exchange_requeue(exchange)) {
		gateway_exchange_refuse(exchange, outcome_of(result));
		return;
	}
	g_free(exchange->failed_vm);
	exchange->failed_vm = g_strdup(vm_name);
}

uint32_t gateway_exchange_avoided_vm(const struct gateway_exchange *exchange)
{
	const struct gateway *gateway = exchange->gateway;
	const struct balancer_server *server;
	uint32_t vm;

	if (!exchange->failed_vm)
		return BUNDLE_INDEX_NONE;
	server = gateway_server_find(gateway, exchange->failed_vm);
	if (!server)
		return BUNDLE_INDEX_NONE;
	vm = (uint32_t)(server - gateway->servers->servers);
	/* Retrying on the same VM is better than no retry. */
	return balancer_has_other_ready(gateway->servers, exchange->pool->index,
					vm, loop_now_ms())
		       ? vm
		       : BUNDLE_INDEX_NONE;
}

static void on_attempt_end(void *data, enum backend_result result,
			   const struct http_client_response *response,
			   bool draining)
{
	struct gateway_exchange *exchange = data;
	struct gateway *gateway = exchange->gateway;
	struct gateway_pool *pool = exchange->pool;
	g_autofree char *vm_name = g_strdup(exchange->vm_name);

	exchange->attempt = NULL;
	if (draining)
		gateway_draining_record_announcement(gateway, vm_name);
	gateway_slot_release(exchange);
	gateway_health_record(exchange, result, response, vm_name);
	if (result != BACKEND_NOT_SENT)
		exchange->last_sent_outcome = outcome_of(result);
	if (result == BACKEND_ANSWERED)
		exchange_respond(exchange, response);
	else
		exchange_attempt_failed(exchange, result, vm_name);
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
 * Called when the connection is open, which may be long after the VM was
 * chosen. Meanwhile the VM may have started to drain, and this process may have
 * confirmed the placement that says so.
 */
static bool exchange_may_send(void *data)
{
	const struct gateway_exchange *exchange = data;
	const struct gateway *gateway = exchange->gateway;
	const struct balancer_server *server =
		gateway_server_find(gateway, exchange->vm_name);

	return gateway->config.may_dispatch(gateway->config.data) && server &&
	       server->pool == exchange->pool->index && server->serving &&
	       !server->draining;
}

void gateway_exchange_dispatch(struct gateway_exchange *exchange, uint32_t vm)
{
	struct gateway *gateway = exchange->gateway;
	const struct bundle_vm *target_vm = &gateway->bundle->vms[vm];
	const struct ingress_view *view =
		ingress_request_view(exchange->request);
	g_autoptr(GArray) headers = forward_headers(view);
	uint64_t now_ms = loop_now_ms();
	const struct backend_target target = {
		.ip = target_vm->ip,
		.port = target_vm->port,
		.timeout_ms =
			(uint32_t)(exchange->item.deadline_ms > now_ms
					   ? exchange->item.deadline_ms - now_ms
					   : 0),
		.connect_timeout_ms = GATEWAY_CONNECT_TIMEOUT_MS,
		.answer_max_bytes = gateway->config.answer_max_bytes,
		.may_send = exchange_may_send,
		.may_send_data = exchange,
		.reuse_max = gateway_idle_connections_max(gateway, vm),
	};
	const struct backend_request request = {
		.method = view->method,
		.target = view->target,
		.headers = (const struct http_client_header *)headers->data,
		.header_count = headers->len,
		.body = view->body,
		.body_bytes = view->body_bytes,
		.request_id = exchange->request_id,
	};

	timer_cancel(&exchange->deadline_timer);
	if (exchange->retry.attempts == 0)
		retry_budget_deposit(&exchange->pool->budget);
	exchange->retry.attempts++;
	exchange->attempt_began_ms = now_ms;
	gateway_slot_acquire(exchange, vm);
	counter_inc(gateway->config.counters, COUNTER_ATTEMPTS);
	exchange->attempt = backend_attempt_start(
		gateway->http, &target, &request, on_attempt_end, exchange);
}

struct gateway_exchange *gateway_exchange_of_item(struct admission_item *item)
{
	return (struct gateway_exchange *)((char *)item -
					   offsetof(struct gateway_exchange,
						    item));
}

static void on_queue_deadline(void *data)
{
	struct gateway_exchange *exchange = data;

	admission_queue_remove(exchange->pool->queue, &exchange->item);
	gateway_exchange_refuse(exchange, OUTCOME_EXPIRED);
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

static struct gateway_exchange *
exchange_create(struct gateway *gateway, struct ingress_request *request,
		const struct bundle_route *route, uint64_t deadline_ms)
{
	const struct ingress_view *view = ingress_request_view(request);
	struct gateway_exchange *exchange = g_new0(struct gateway_exchange, 1);

	exchange->gateway = gateway;
	exchange->request = request;
	exchange->pool = pool_of_route(gateway, route);
	exchange->last_sent_outcome = OUTCOME_COUNT;
	exchange->retry.idempotent = route_is_idempotent(route, view->method);
	exchange->route_path = g_strdup(route->path);
	exchange->item.bytes = view->body_bytes + view->head_bytes;
	exchange->item.deadline_ms = loop_now_ms() + deadline_ms;
	exchange->retry.deadline_ms = exchange->item.deadline_ms;
	exchange->deadline_timer.cb = on_queue_deadline;
	exchange->deadline_timer.data = exchange;
	g_snprintf(exchange->request_id, sizeof(exchange->request_id),
		   "%s-%" PRIx64 "-%" PRIu64, gateway->config.id,
		   gateway->config.incarnation, ++gateway->request_count);
	exchange->link.data = exchange;
	g_queue_push_tail_link(&gateway->exchanges, &exchange->link);
	ingress_request_set_data(request, exchange);
	return exchange;
}

/*
 * h2o does not report that an HTTP/1.1 caller disconnected while its request
 * was queued. The queue is searched for such requests before a new one is
 * refused.
 */
static bool disconnected_sweep(struct gateway_pool *pool)
{
	struct admission_item *item = admission_queue_peek(pool->queue);
	uint64_t now_ms = loop_now_ms();
	bool removed = false;

	if (now_ms - pool->swept_at_ms < GATEWAY_SWEEP_INTERVAL_MS)
		return false;
	pool->swept_at_ms = now_ms;
	while (item) {
		struct gateway_exchange *exchange =
			gateway_exchange_of_item(item);

		item = admission_queue_next(pool->queue, item);
		if (ingress_request_is_connected(exchange->request))
			continue;
		admission_queue_remove(pool->queue, &exchange->item);
		gateway_exchange_refuse(exchange, OUTCOME_CANCELLED);
		removed = true;
	}
	return removed;
}

static enum outcome exchange_admit(struct gateway_exchange *exchange)
{
	struct gateway_pool *pool = exchange->pool;
	uint32_t slots = gateway_pool_slots_estimate(exchange->gateway, pool);
	uint64_t now_ms = loop_now_ms();
	enum outcome refusal = admission_queue_reserve(
		pool->queue, &exchange->item, slots, now_ms);

	if (refusal != OUTCOME_ANSWERED && refusal != OUTCOME_NO_VM &&
	    disconnected_sweep(pool))
		refusal = admission_queue_reserve(pool->queue, &exchange->item,
						  slots, now_ms);
	if (refusal != OUTCOME_ANSWERED)
		return refusal;
	if (gateway_claim_is_needed(exchange))
		return gateway_claim_begin(exchange);
	admission_queue_enqueue(pool->queue, &exchange->item, now_ms);
	return OUTCOME_ANSWERED;
}

void gateway_exchange_start(struct gateway *gateway,
			    struct ingress_request *request,
			    const struct bundle_route *route,
			    uint64_t deadline_ms)
{
	struct gateway_exchange *exchange =
		exchange_create(gateway, request, route, deadline_ms);
	enum outcome refusal = exchange_admit(exchange);

	if (refusal != OUTCOME_ANSWERED) {
		admission_queue_remove(exchange->pool->queue, &exchange->item);
		gateway_exchange_refuse(exchange, refusal);
		return;
	}
	timer_set(loop_timers(gateway->config.loop), &exchange->deadline_timer,
		  exchange->item.deadline_ms);
	gateway_pool_dispatch(gateway, exchange->pool);
}

void gateway_exchange_abort(struct gateway_exchange *exchange)
{
	admission_queue_remove(exchange->pool->queue, &exchange->item);
	if (exchange->attempt) {
		/*
		 * The attempt may have been sent, so the claim must not be
		 * released.
		 */
		exchange->last_sent_outcome = OUTCOME_CUT;
		backend_attempt_cancel(exchange->attempt);
		gateway_slot_release(exchange);
	}
	exchange_free(exchange);
}

void gateway_exchange_on_caller_gone(struct gateway_exchange *exchange)
{
	exchange->request = NULL;
	if (exchange->item.queued || exchange->item.reserved) {
		admission_queue_remove(exchange->pool->queue, &exchange->item);
		gateway_exchange_refuse(exchange, OUTCOME_CANCELLED);
		return;
	}
	if (!exchange->attempt || !exchange->retry.idempotent)
		return;
	/* The attempt may have been sent already. */
	exchange->last_sent_outcome = OUTCOME_CALLER_GONE;
	backend_attempt_cancel(exchange->attempt);
	gateway_slot_release(exchange);
	gateway_exchange_refuse(exchange, OUTCOME_CANCELLED);
}
