#include "gat.h"

#include <string.h>

#include "adm.h"
#include "att.h"
#include "hcl.h"
#include "lgx.h"
#include "ret.h"
#include "sel.h"

#define GAT_ATTEMPTS_MAX 3
#define GAT_RETRY_SHARE_PERMILLE 100
#define GAT_RETRY_BURST 10
#define GAT_REQUEST_ID_BYTES 128
/* Pause before a look for free slots that no event would announce. */
#define GAT_PUMP_MS 20

/* A pool's queue; it outlives the bundle that first named the pool. */
struct gat_pool {
	char *name;
	/* index in the bundle in force, BND_NONE when it has no such pool */
	uint32_t index;
	struct adm_queue *queue;
	struct ret_budget budget;
};

struct gat_gateway {
	struct gat_config config;
	struct hcl_client *http;
	struct bnd_bundle *bundle;
	struct sel_set *servers;
	/* VM's name to its index in the bundle in force */
	GHashTable *vm_index;
	/* pool's name to struct gat_pool */
	GHashTable *pools;
	struct tmr_entry pump_timer;
	uint64_t request_count;
	uint32_t in_progress;
	bool shutting_down;
};

/* A request from its arrival to its answer. */
struct gat_work {
	struct gat_gateway *gateway;
	/* NULL once the caller has left */
	struct clr_request *request;
	struct gat_pool *pool;
	struct adm_item item;
	struct tmr_entry deadline_timer;
	bool idempotent;
	char request_id[GAT_REQUEST_ID_BYTES];
	struct att_attempt *attempt;
	uint32_t attempt_count;
	uint64_t attempt_began_ms;
	char *vm_name;
	uint32_t avoid;
};

static void work_dispatch(struct gat_work *work, uint32_t vm);

static void pool_free(gpointer data)
{
	struct gat_pool *pool = data;

	adm_queue_destroy(pool->queue);
	g_free(pool->name);
	g_free(pool);
}

static void work_free(struct gat_work *work)
{
	tmr_cancel(&work->deadline_timer);
	work->gateway->in_progress--;
	g_free(work->vm_name);
	g_free(work);
}

static uint32_t pool_slots(const struct gat_gateway *gateway,
			   const struct gat_pool *pool)
{
	if (pool->index == BND_NONE)
		return 0;
	return sel_pool_slots(gateway->servers, pool->index, evl_now_ms());
}

static uint32_t retry_after_s(const struct gat_work *work)
{
	return adm_queue_retry_after_s(work->pool->queue,
				       pool_slots(work->gateway, work->pool));
}

static void work_refuse(struct gat_work *work, enum out_kind outcome)
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

static struct sel_server *server_find(const struct gat_gateway *gateway,
				      const char *vm_name)
{
	gpointer index;

	if (!g_hash_table_lookup_extended(gateway->vm_index, vm_name, NULL,
					  &index))
		return NULL;
	return &gateway->servers->servers[GPOINTER_TO_UINT(index)];
}

static void slot_release(struct gat_work *work)
{
	struct sel_server *server = server_find(work->gateway, work->vm_name);

	if (server && server->in_flight > 0)
		server->in_flight--;
	g_clear_pointer(&work->vm_name, g_free);
}

static bool work_can_start(struct gat_work *work)
{
	if (work->request && !clr_request_is_connected(work->request)) {
		/* Nobody is left to read an answer. */
		work_refuse(work, OUT_CANCELLED);
		return false;
	}
	return true;
}

static void pool_pump(struct gat_gateway *gateway, struct gat_pool *pool)
{
	uint64_t now_ms = evl_now_ms();

	if (pool->index == BND_NONE ||
	    !gateway->config.may_dispatch(gateway->config.data))
		return;
	while (adm_queue_length(pool->queue) > 0) {
		uint32_t vm = sel_choose(gateway->servers, pool->index,
					 BND_NONE, now_ms);
		struct adm_item *item;
		struct gat_work *work;

		if (vm == BND_NONE)
			return;
		item = adm_queue_pop(pool->queue);
		work = (struct gat_work *)((char *)item -
					   offsetof(struct gat_work, item));
		if (work_can_start(work))
			work_dispatch(work, vm);
	}
}

static void pools_pump(struct gat_gateway *gateway)
{
	GHashTableIter iter;
	gpointer pool;

	g_hash_table_iter_init(&iter, gateway->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		pool_pump(gateway, pool);
}

static void on_pump(void *data)
{
	struct gat_gateway *gateway = data;

	pools_pump(gateway);
	evl_timer_set(gateway->config.loop, &gateway->pump_timer, GAT_PUMP_MS);
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

	if (work->pool->index == BND_NONE || !retry_is_allowed(work, result))
		return false;
	vm = sel_choose(gateway->servers, work->pool->index, failed_vm,
			evl_now_ms());
	if (vm == BND_NONE)
		return false;
	work_dispatch(work, vm);
	return true;
}

static void on_attempt_end(void *data, enum att_result result,
			   const struct hcl_answer *answer, bool leaving)
{
	struct gat_work *work = data;
	struct gat_gateway *gateway = work->gateway;
	struct gat_pool *pool = work->pool;
	struct sel_server *server = server_find(gateway, work->vm_name);
	uint32_t vm = server ? (uint32_t)(server - gateway->servers->servers)
			     : BND_NONE;

	work->attempt = NULL;
	if (server && leaving)
		server->leaving = true;
	adm_queue_served(pool->queue, evl_now_ms() - work->attempt_began_ms);
	slot_release(work);
	if (result == ATT_ANSWERED) {
		work_answer(work, answer);
	} else {
		ctr_add(gateway->config.counters, failure_counter(result));
		if (!work_retry(work, result, vm))
			work_refuse(work, outcome_of(result));
	}
	pool_pump(gateway, pool);
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

static void work_dispatch(struct gat_work *work, uint32_t vm)
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
	work->vm_name = g_strdup(target_vm->name);
	gateway->servers->servers[vm].in_flight++;
	ctr_add(gateway->config.counters, CTR_ATTEMPTS);
	work->attempt = att_start(gateway->http, &target, &request,
				  on_attempt_end, work);
}

static void on_queue_deadline(void *data)
{
	struct gat_work *work = data;

	adm_queue_remove(work->pool->queue, &work->item);
	work_refuse(work, OUT_EXPIRED);
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

static bool deadline_parse(const struct clr_request *request,
			   const struct bnd_route *route, uint64_t *out_ms)
{
	const char *text = clr_request_header(request, CLR_HEADER_DEADLINE);
	guint64 asked_ms = route->deadline_ms;

	if (text && !g_ascii_string_to_unsigned(text, 10, 1, UINT32_MAX,
						&asked_ms, NULL))
		return false;
	*out_ms = MIN(asked_ms, (guint64)route->deadline_ms);
	return true;
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

static void refuse_early(struct gat_gateway *gateway,
			 struct clr_request *request, enum out_kind outcome)
{
	ctr_add_outcome(gateway->config.counters, outcome);
	clr_request_refuse(request, outcome, 1);
}

void gat_gateway_request(struct gat_gateway *gateway,
			 struct clr_request *request)
{
	const struct clr_view *view = clr_request_view(request);
	const struct bnd_route *route;
	struct gat_work *work;
	uint64_t deadline_ms;
	enum out_kind refusal;

	ctr_add(gateway->config.counters, CTR_REQUESTS);
	if (gateway->shutting_down) {
		refuse_early(gateway, request, OUT_SHUTTING_DOWN);
		return;
	}
	if (!gateway->bundle) {
		refuse_early(gateway, request, OUT_NO_BUNDLE);
		return;
	}
	route = bnd_route_match(gateway->bundle, view->path,
				strlen(view->path));
	if (!route) {
		refuse_early(gateway, request, OUT_NO_ROUTE);
		return;
	}
	if (!deadline_parse(request, route, &deadline_ms)) {
		refuse_early(gateway, request, OUT_BAD_REQUEST);
		return;
	}
	if (!gateway->config.may_dispatch(gateway->config.data)) {
		refuse_early(gateway, request, OUT_STALE_VIEW);
		return;
	}
	work = work_create(gateway, request, route, deadline_ms);
	refusal = adm_queue_push(work->pool->queue, &work->item,
				 pool_slots(gateway, work->pool), evl_now_ms());
	if (refusal != OUT_ANSWERED) {
		work_refuse(work, refusal);
		return;
	}
	tmr_set(evl_loop_timers(gateway->config.loop), &work->deadline_timer,
		work->item.deadline_ms);
	pool_pump(gateway, work->pool);
}

void gat_gateway_gone(struct gat_gateway *gateway, struct clr_request *request)
{
	struct gat_work *work = clr_request_data(request);

	if (!work)
		return;
	work->request = NULL;
	if (work->item.queued) {
		adm_queue_remove(work->pool->queue, &work->item);
		work_refuse(work, OUT_CANCELLED);
		return;
	}
	if (!work->attempt || !work->idempotent)
		return;
	att_cancel(work->attempt);
	slot_release(work);
	work_refuse(work, OUT_CANCELLED);
}

static struct adm_limits pool_limits(const struct bnd_pool *spec)
{
	return (struct adm_limits){
		.max_requests = spec->queue_max_requests,
		.max_bytes = spec->queue_max_bytes,
		.max_wait_ms = spec->queue_max_wait_ms,
	};
}

static void pools_update(struct gat_gateway *gateway)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gateway->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct gat_pool *)value)->index = BND_NONE;
	for (uint32_t i = 0; i < gateway->bundle->pool_count; i++) {
		const struct bnd_pool *spec = &gateway->bundle->pools[i];
		const struct adm_limits limits = pool_limits(spec);
		struct gat_pool *pool =
			g_hash_table_lookup(gateway->pools, spec->name);

		if (!pool) {
			pool = g_new0(struct gat_pool, 1);
			pool->name = g_strdup(spec->name);
			pool->queue = adm_queue_create(&limits);
			ret_budget_init(&pool->budget, GAT_RETRY_SHARE_PERMILLE,
					GAT_RETRY_BURST);
			g_hash_table_insert(gateway->pools, pool->name, pool);
		}
		adm_queue_limit(pool->queue, &limits);
		pool->index = i;
	}
}

/* Carries what is known of a VM over to its index in the new bundle. */
static void servers_update(struct gat_gateway *gateway,
			   const struct plc_view *view)
{
	const struct bnd_bundle *bundle = gateway->bundle;
	struct sel_set *fresh = sel_set_create(bundle->vm_count);
	GHashTable *index =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (uint32_t i = 0; i < bundle->vm_count; i++) {
		const char *name = bundle->vms[i].name;
		const struct sel_server *old = server_find(gateway, name);
		struct sel_server *server = &fresh->servers[i];

		if (old)
			*server = *old;
		server->slots = bundle->vms[i].slots;
		server->pool = view ? view->rows[i].pool : BND_NONE;
		server->serving =
			view && view->rows[i].state == PLC_STATE_SERVING;
		g_hash_table_insert(index, g_strdup(name), GUINT_TO_POINTER(i));
	}
	sel_set_destroy(gateway->servers);
	g_hash_table_unref(gateway->vm_index);
	gateway->servers = fresh;
	gateway->vm_index = index;
}

void gat_gateway_update(struct gat_gateway *gateway, struct bnd_bundle *bundle,
			const struct plc_view *view)
{
	bnd_bundle_ref(bundle);
	bnd_bundle_unref(gateway->bundle);
	gateway->bundle = bundle;
	servers_update(gateway, view);
	pools_update(gateway);
	pools_pump(gateway);
}

struct gat_gateway *gat_gateway_create(const struct gat_config *config)
{
	struct gat_gateway *gateway = g_new0(struct gat_gateway, 1);

	gateway->config = *config;
	gateway->http = hcl_client_create(config->loop);
	gateway->servers = sel_set_create(0);
	gateway->vm_index =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	gateway->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	gateway->pump_timer.cb = on_pump;
	gateway->pump_timer.data = gateway;
	evl_timer_set(config->loop, &gateway->pump_timer, GAT_PUMP_MS);
	return gateway;
}

void gat_gateway_destroy(struct gat_gateway *gateway)
{
	if (!gateway)
		return;
	g_assert(gateway->in_progress == 0);
	tmr_cancel(&gateway->pump_timer);
	g_hash_table_unref(gateway->pools);
	g_hash_table_unref(gateway->vm_index);
	sel_set_destroy(gateway->servers);
	bnd_bundle_unref(gateway->bundle);
	hcl_client_destroy(gateway->http);
	g_free(gateway);
}

void gat_gateway_shut_down(struct gat_gateway *gateway)
{
	gateway->shutting_down = true;
}

uint32_t gat_gateway_in_progress(const struct gat_gateway *gateway)
{
	return gateway->in_progress;
}

void gat_gateway_render(const struct gat_gateway *gateway, GString *out)
{
	GHashTableIter iter;
	gpointer value;

	ctr_render_gauge(out, "requests_in_progress", gateway->in_progress);
	g_hash_table_iter_init(&iter, gateway->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gat_pool *pool = value;
		g_autofree char *length = g_strdup_printf(
			"queue_requests{pool=\"%s\"}", pool->name);
		g_autofree char *bytes =
			g_strdup_printf("queue_bytes{pool=\"%s\"}", pool->name);

		ctr_render_gauge(out, length, adm_queue_length(pool->queue));
		ctr_render_gauge(out, bytes, adm_queue_bytes(pool->queue));
	}
}
