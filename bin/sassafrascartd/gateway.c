#include <string.h>

#include "gateway_private.h"

#define GATEWAY_RETRY_SHARE_PERMILLE 100
#define GATEWAY_RETRY_BURST 10
/* Interval between checks for free slots, for cases that no event announces. */
#define GATEWAY_DISPATCH_INTERVAL_MS 20
#define GATEWAY_KEY_MAX_BYTES 255

static void pool_free(gpointer data)
{
	struct gateway_pool *pool = data;

	admission_queue_destroy(pool->queue);
	gateway_share_destroy(pool->share);
	g_free(pool->name);
	g_free(pool);
}

static void pools_dispatch(struct gateway *gateway)
{
	GHashTableIter iter;
	gpointer pool;

	g_hash_table_iter_init(&iter, gateway->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		gateway_pool_dispatch(gateway, pool);
}

static void on_dispatch_due(void *data)
{
	struct gateway *gateway = data;

	loop_timer_set(gateway->config.loop, &gateway->dispatch_timer,
		       GATEWAY_DISPATCH_INTERVAL_MS);
	pools_dispatch(gateway);
}

static bool deadline_parse(const struct ingress_request *request,
			   const struct bundle_route *route, uint64_t *out_ms)
{
	const char *text =
		ingress_request_header(request, INGRESS_HEADER_DEADLINE);
	guint64 requested_ms = route->deadline_ms;

	if (text && !g_ascii_string_to_unsigned(text, 10, 1, UINT32_MAX,
						&requested_ms, NULL))
		return false;
	*out_ms = MIN(requested_ms, (guint64)route->deadline_ms);
	return true;
}

static bool key_is_valid(const struct ingress_request *request)
{
	const char *key =
		ingress_request_header(request, INGRESS_HEADER_IDEMPOTENCY_KEY);

	return !key || (key[0] != '\0' && strlen(key) <= GATEWAY_KEY_MAX_BYTES);
}

static void request_refuse(struct gateway *gateway,
			   struct ingress_request *request,
			   enum outcome outcome)
{
	counter_inc_outcome(gateway->config.counters, outcome);
	ingress_request_reject(request, outcome, 1);
}

void gateway_on_request(struct gateway *gateway,
			struct ingress_request *request)
{
	const struct ingress_view *view = ingress_request_view(request);
	const struct bundle_route *route;
	uint64_t deadline_ms;

	counter_inc(gateway->config.counters, COUNTER_REQUESTS);
	if (gateway->shutting_down) {
		request_refuse(gateway, request, OUTCOME_SHUTTING_DOWN);
		return;
	}
	if (!gateway->bundle) {
		request_refuse(gateway, request, OUTCOME_NO_BUNDLE);
		return;
	}
	route = bundle_route_match(gateway->bundle, view->path,
				   strlen(view->path));
	if (!route) {
		request_refuse(gateway, request, OUTCOME_NO_ROUTE);
		return;
	}
	if (!deadline_parse(request, route, &deadline_ms) ||
	    !key_is_valid(request)) {
		request_refuse(gateway, request, OUTCOME_BAD_REQUEST);
		return;
	}
	if (!gateway->config.may_dispatch(gateway->config.data)) {
		request_refuse(gateway, request, OUTCOME_STALE_VIEW);
		return;
	}
	gateway_exchange_start(gateway, request, route, deadline_ms);
}

void gateway_on_caller_gone(struct gateway *gateway,
			    struct ingress_request *request)
{
	struct gateway_exchange *exchange = ingress_request_data(request);

	if (exchange)
		gateway_exchange_on_caller_gone(exchange);
}

static struct admission_limits pool_limits(const struct bundle_pool *spec)
{
	return (struct admission_limits){
		.max_requests = spec->queue_max_requests,
		.max_bytes = spec->queue_max_bytes,
		.max_wait_ms = spec->queue_max_wait_ms,
	};
}

static void pools_update(struct gateway *gateway)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gateway->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct gateway_pool *)value)->index = BUNDLE_INDEX_NONE;
	for (uint32_t i = 0; i < gateway->bundle->pool_count; i++) {
		const struct bundle_pool *spec = &gateway->bundle->pools[i];
		const struct admission_limits limits = pool_limits(spec);
		struct gateway_pool *pool =
			g_hash_table_lookup(gateway->pools, spec->name);

		if (!pool) {
			pool = g_new0(struct gateway_pool, 1);
			pool->name = g_strdup(spec->name);
			pool->queue = admission_queue_create(&limits);
			pool->share = gateway_share_create(gateway, spec->name);
			retry_budget_init(&pool->budget,
					  GATEWAY_RETRY_SHARE_PERMILLE,
					  GATEWAY_RETRY_BURST);
			g_hash_table_insert(gateway->pools, pool->name, pool);
		}
		admission_queue_set_limits(pool->queue, &limits);
		pool->index = i;
		gateway_share_update(gateway, pool);
	}
}

/* Copies the state of each VM to its index in the new bundle. */
static void servers_update(struct gateway *gateway,
			   const struct placement *view)
{
	const struct bundle *bundle = gateway->bundle;
	struct balancer *fresh = balancer_create(bundle->vm_count);
	uint64_t *changed = g_new0(uint64_t, bundle->vm_count + 1);
	GHashTable *index =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (uint32_t i = 0; i < bundle->vm_count; i++) {
		const char *name = bundle->vms[i].name;
		const struct balancer_server *old =
			gateway_server_find(gateway, name);
		struct balancer_server *server = &fresh->servers[i];

		if (old)
			*server = *old;
		server->slots = bundle->vms[i].slots;
		server->pool = view ? view->rows[i].pool : BUNDLE_INDEX_NONE;
		server->serving =
			view && view->rows[i].state == PLACEMENT_STATE_SERVING;
		changed[i] = view ? view->rows[i].changed : 0;
		g_hash_table_insert(index, g_strdup(name), GUINT_TO_POINTER(i));
	}
	g_free(gateway->row_changed);
	gateway->row_changed = changed;
	gateway->placement_number = view ? view->number : 0;
	balancer_destroy(gateway->servers);
	g_hash_table_unref(gateway->vm_index);
	gateway->servers = fresh;
	gateway->vm_index = index;
}

void gateway_update(struct gateway *gateway, struct bundle *bundle,
		    const struct placement *view)
{
	bundle_ref(bundle);
	bundle_unref(gateway->bundle);
	gateway->bundle = bundle;
	servers_update(gateway, view);
	gateway_draining_mark_servers(gateway);
	pools_update(gateway);
	pools_dispatch(gateway);
}

static struct claim_set *claims_create(const struct gateway *gateway)
{
	const struct gateway_config *config = &gateway->config;
	const struct claim_config claims = {
		.loop = config->loop,
		.platform = config->platform,
		.counters = config->counters,
		.id = config->id,
		.incarnation = config->incarnation,
		.ttl_s = config->claim_ttl_s,
		.live_process_count = config->live_process_count,
		.data = config->data,
	};

	return claim_set_create(&claims);
}

struct gateway *gateway_create(const struct gateway_config *config)
{
	struct gateway *gateway = g_new0(struct gateway, 1);

	gateway->config = *config;
	gateway->http = http_client_create(config->loop);
	gateway->servers = balancer_create(0);
	gateway->draining_vms = draining_set_create();
	gateway->vm_index =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	gateway->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	gateway->claims = claims_create(gateway);
	gateway_draining_start_polling(gateway);
	gateway->dispatch_timer.cb = on_dispatch_due;
	gateway->dispatch_timer.data = gateway;
	gateway->owner_candidates = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	gateway->slot_holders = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	loop_timer_set(config->loop, &gateway->dispatch_timer,
		       GATEWAY_DISPATCH_INTERVAL_MS);
	return gateway;
}

void gateway_destroy(struct gateway *gateway)
{
	if (!gateway)
		return;
	while (gateway->exchanges.head)
		gateway_exchange_abort(gateway->exchanges.head->data);
	timer_cancel(&gateway->dispatch_timer);
	timer_cancel(&gateway->list_timer);
	timer_cancel(&gateway->announce_timer);
	claim_set_destroy(gateway->claims);
	draining_set_destroy(gateway->draining_vms);
	g_free(gateway->row_changed);
	g_hash_table_unref(gateway->pools);
	g_hash_table_unref(gateway->vm_index);
	g_array_unref(gateway->owner_candidates);
	g_array_unref(gateway->slot_holders);
	balancer_destroy(gateway->servers);
	bundle_unref(gateway->bundle);
	http_client_destroy(gateway->http);
	g_free(gateway);
}

void gateway_shut_down(struct gateway *gateway)
{
	gateway->shutting_down = true;
}

uint32_t gateway_in_progress_count(const struct gateway *gateway)
{
	return gateway->exchanges.length;
}

void gateway_metrics_render(const struct gateway *gateway, GString *out)
{
	GHashTableIter iter;
	uint64_t claims;
	uint64_t transactions;
	gpointer value;

	claim_set_counts(gateway->claims, &claims, &transactions);
	counter_render_gauge(out, "claims_total", claims);
	counter_render_gauge(out, "claim_transactions_total", transactions);
	counter_render_gauge(out, "vms_leaving",
			     draining_count(gateway->draining_vms));
	counter_render_gauge(out, "requests_in_progress",
			     gateway->exchanges.length);
	g_hash_table_iter_init(&iter, gateway->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gateway_pool *pool = value;
		g_autofree char *length = g_strdup_printf(
			"queue_requests{pool=\"%s\"}", pool->name);
		g_autofree char *bytes =
			g_strdup_printf("queue_bytes{pool=\"%s\"}", pool->name);

		counter_render_gauge(out, length,
				     admission_queue_length(pool->queue));
		counter_render_gauge(out, bytes,
				     admission_queue_bytes(pool->queue));
	}
}
