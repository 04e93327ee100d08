#include <string.h>

#include "gat_private.h"

#define GAT_ATTEMPTS_MAX 3

static void work_free(struct gat_work *work)
{
	tmr_cancel(&work->deadline_timer);
	work->gateway->in_progress--;
	g_free(work->vm_name);
	g_free(work);
}

static uint32_t retry_after_s(const struct gat_work *work)
{
	return adm_queue_retry_after_s(
		work->pool->queue, gat_pool_slots(work->gateway, work->pool));
}

void gat_work_refuse(struct gat_work *work, enum out_kind outcome)
{
	ctr_add_outcome(work->gateway->config.counters, outcome);
	if (work->request)
		clr_request_refuse(work->request, outcome, retry_after_s(work));
	work_free(work);
}

static void work_answer(struct gat_work *work, const struct hcl_answer *answer)
{
	g_autoptr(GArray) headers =
		g_array_new(FALSE, FALSE, sizeof(struct clr_header));
	struct clr_answer out = {
		.status = answer->status,
		.body = answer->body,
		.body_bytes = answer->body_len,
	};

	for (size_t i = 0; i < answer->header_count; i++) {
		struct clr_header header = { answer->headers[i].name,
					     answer->headers[i].value };

		if (!att_header_is_hop_by_hop(header.name) &&
		    strcmp(header.name, OUT_HEADER) != 0)
			g_array_append_val(headers, header);
	}
	out.headers = (const struct clr_header *)headers->data;
	out.header_count = headers->len;
	ctr_add_outcome(work->gateway->config.counters,
			work->request ? OUT_ANSWERED : OUT_CANCELLED);
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

static bool retry_is_allowed(struct gat_work *work, enum att_result result)
{
	struct ctr_set *counters = work->gateway->config.counters;

	if (result == ATT_TOO_LARGE || result == ATT_TIMEOUT ||
	    (result != ATT_NOT_SENT && !work->idempotent) || !work->request ||
	    evl_now_ms() >= work->item.deadline_ms)
		return false;
	if (work->attempt_count >= GAT_ATTEMPTS_MAX) {
		ctr_add(counters, CTR_RETRY_DENIED_LIMIT);
		return false;
	}
	if (!ret_budget_take(&work->pool->budget)) {
		ctr_add(counters, CTR_RETRY_DENIED_BUDGET);
		return false;
	}
	ctr_add(counters, result == ATT_NOT_SENT ? CTR_RETRY_NOT_SENT
						 : CTR_RETRY_IDEMPOTENT);
	return true;
}

/* Retries elsewhere when that is allowed and a slot is free. */
static bool work_retry(struct gat_work *work, enum att_result result,
		       uint32_t failed_vm)
{
	struct gat_gateway *gateway = work->gateway;
	uint32_t vm;

	if (!retry_is_allowed(work, result))
		return false;
	vm = gat_slot_choose(gateway, work->pool, failed_vm);
	if (vm == BND_NONE)
		return false;
	gat_work_dispatch(work, vm);
	return true;
}

static void on_attempt_end(void *data, enum att_result result,
			   const struct hcl_answer *answer, bool leaving)
{
	struct gat_work *work = data;
	struct gat_gateway *gateway = work->gateway;
	struct gat_pool *pool = work->pool;
	struct sel_server *server = gat_server_find(gateway, work->vm_name);
	uint32_t vm = server ? (uint32_t)(server - gateway->servers->servers)
			     : BND_NONE;

	work->attempt = NULL;
	if (server && leaving)
		server->leaving = true;
	adm_queue_served(pool->queue, evl_now_ms() - work->attempt_began_ms);
	gat_slot_release(work);
	if (result == ATT_ANSWERED) {
		work_answer(work, answer);
	} else {
		ctr_add(gateway->config.counters, failure_counter(result));
		if (!work_retry(work, result, vm))
			gat_work_refuse(work, outcome_of(result));
	}
	gat_pool_pump(gateway, pool);
}

static GArray *forward_headers(const struct clr_view *view)
{
	GArray *headers = g_array_new(FALSE, FALSE, sizeof(struct hcl_header));

	for (uint32_t i = 0; i < view->header_count; i++) {
		struct hcl_header header = { view->headers[i].name,
					     view->headers[i].value };

		if (strcmp(header.name, CLR_HEADER_DEADLINE) != 0)
			g_array_append_val(headers, header);
	}
	return headers;
}

void gat_work_dispatch(struct gat_work *work, uint32_t vm)
{
	struct gat_gateway *gateway = work->gateway;
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
		.answer_max_bytes = gateway->config.answer_max_bytes,
		.may_send = gateway->config.may_dispatch,
		.may_send_data = gateway->config.data,
		.reuse_max = gat_reuse_max(gateway, vm),
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
	if (work->attempt_count == 0)
		ret_budget_first(&work->pool->budget);
	work->attempt_count++;
	work->attempt_began_ms = now_ms;
	gat_slot_take(work, vm);
	ctr_add(gateway->config.counters, CTR_ATTEMPTS);
	work->attempt = att_start(gateway->http, &target, &request,
				  on_attempt_end, work);
}

struct gat_work *gat_work_of(struct adm_item *item)
{
	return (struct gat_work *)((char *)item -
				   offsetof(struct gat_work, item));
}

static void on_queue_deadline(void *data)
{
	struct gat_work *work = data;

	adm_queue_remove(work->pool->queue, &work->item);
	gat_work_refuse(work, OUT_EXPIRED);
}

static struct gat_pool *pool_of_route(struct gat_gateway *gateway,
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

static struct gat_work *work_create(struct gat_gateway *gateway,
				    struct clr_request *request,
				    const struct bnd_route *route,
				    uint64_t deadline_ms)
{
	const struct clr_view *view = clr_request_view(request);
	struct gat_work *work = g_new0(struct gat_work, 1);

	work->gateway = gateway;
	work->request = request;
	work->pool = pool_of_route(gateway, route);
	work->idempotent = route_is_idempotent(route, view->method);
	work->item.bytes = view->body_bytes;
	work->item.deadline_ms = evl_now_ms() + deadline_ms;
	work->deadline_timer.cb = on_queue_deadline;
	work->deadline_timer.data = work;
	g_snprintf(work->request_id, sizeof(work->request_id),
		   "%s-%" PRIx64 "-%" PRIu64, gateway->config.id,
		   gateway->config.incarnation, ++gateway->request_count);
	gateway->in_progress++;
	clr_request_set_data(request, work);
	return work;
}

void gat_work_begin(struct gat_gateway *gateway, struct clr_request *request,
		    const struct bnd_route *route, uint64_t deadline_ms)
{
	struct gat_work *work =
		work_create(gateway, request, route, deadline_ms);
	enum out_kind refusal = adm_queue_push(
		work->pool->queue, &work->item,
		gat_pool_slots(gateway, work->pool), evl_now_ms());

	if (refusal != OUT_ANSWERED) {
		gat_work_refuse(work, refusal);
		return;
	}
	tmr_set(evl_loop_timers(gateway->config.loop), &work->deadline_timer,
		work->item.deadline_ms);
	gat_pool_pump(gateway, work->pool);
}

void gat_work_gone(struct gat_work *work)
{
	work->request = NULL;
	if (work->item.queued) {
		adm_queue_remove(work->pool->queue, &work->item);
		gat_work_refuse(work, OUT_CANCELLED);
		return;
	}
	if (!work->attempt || !work->idempotent)
		return;
	att_cancel(work->attempt);
	gat_slot_release(work);
	gat_work_refuse(work, OUT_CANCELLED);
}
