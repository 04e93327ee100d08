#include "gateway_private.h"

/*
 * A request that waited for less than this is dispatched without a check
 * whether its caller is still connected: callers rarely disconnect so soon.
 */
#define GATEWAY_CONNECTION_CHECK_AFTER_MS 5

uint32_t gateway_pool_slots_estimate(struct gateway *gateway,
				     struct gateway_pool *pool)
{
	if (pool->index == BUNDLE_INDEX_NONE)
		return 0;
	gateway_share_refresh(gateway, pool);
	return slot_holder_expected_slots(pool->share->holder, loop_now_ms());
}

struct balancer_server *gateway_server_find(const struct gateway *gateway,
					    const char *vm_name)
{
	gpointer index;

	if (!g_hash_table_lookup_extended(gateway->vm_index, vm_name, NULL,
					  &index))
		return NULL;
	return &gateway->servers->servers[GPOINTER_TO_UINT(index)];
}

uint32_t gateway_slot_choose(struct gateway *gateway, struct gateway_pool *pool,
			     uint32_t avoid)
{
	if (pool->index == BUNDLE_INDEX_NONE)
		return BUNDLE_INDEX_NONE;
	gateway_share_refresh(gateway, pool);
	return balancer_choose(gateway->servers, pool->index, avoid,
			       loop_now_ms());
}

void gateway_slot_acquire(struct gateway_exchange *exchange, uint32_t vm)
{
	struct gateway *gateway = exchange->gateway;

	exchange->vm_name = g_strdup(gateway->bundle->vms[vm].name);
	gateway->servers->servers[vm].in_flight++;
	if (slot_holder_is_fallback(exchange->pool->share->holder,
				    loop_now_ms()))
		counter_inc(gateway->config.counters, COUNTER_SLOT_FALLBACKS);
}

void gateway_slot_release(struct gateway_exchange *exchange)
{
	struct balancer_server *server =
		gateway_server_find(exchange->gateway, exchange->vm_name);

	if (server && server->in_flight > 0)
		server->in_flight--;
	g_clear_pointer(&exchange->vm_name, g_free);
}

/*
 * The check for a disconnected caller costs a system call, which only pays off
 * for requests that waited in the queue.
 */
static bool has_waited(const struct gateway_exchange *exchange)
{
	return loop_now_ms() - exchange->item.enqueued_ms >=
	       GATEWAY_CONNECTION_CHECK_AFTER_MS;
}

/* Returns whether the request may be dispatched; refuses the request if not. */
static bool exchange_can_dispatch(struct gateway_exchange *exchange)
{
	if (exchange->request && has_waited(exchange) &&
	    !ingress_request_is_connected(exchange->request)) {
		/* There is no caller to receive a response. */
		gateway_exchange_refuse(exchange, OUTCOME_CANCELLED);
		return false;
	}
	if (admission_queue_is_late(exchange->pool->queue, &exchange->item,
				    loop_now_ms())) {
		gateway_exchange_refuse(exchange, OUTCOME_WOULD_EXPIRE);
		return false;
	}
	return true;
}

static void queue_dispatch(struct gateway *gateway, struct gateway_pool *pool)
{
	while (admission_queue_length(pool->queue) > 0) {
		struct gateway_exchange *exchange = gateway_exchange_of_item(
			admission_queue_peek(pool->queue));
		uint32_t vm = gateway_slot_choose(
			gateway, pool, gateway_exchange_avoided_vm(exchange));

		if (vm == BUNDLE_INDEX_NONE)
			return;
		admission_queue_pop(pool->queue);
		if (exchange_can_dispatch(exchange))
			gateway_exchange_dispatch(exchange, vm);
	}
}

/*
 * Queued requests raise the demand that is reported to the pool's owner.
 * Advances the dispatch timer so that the report is not delayed.
 */
static void dispatch_timer_advance(struct gateway *gateway)
{
	if (gateway->dispatch_timer.due_ms >
	    loop_now_ms() + SLOT_REPORT_MIN_INTERVAL_MS)
		loop_timer_set(gateway->config.loop, &gateway->dispatch_timer,
			       SLOT_REPORT_MIN_INTERVAL_MS);
}

/* No VM serves a pool that the bundle no longer has, so waiting cannot help. A
 * repeated request is routed by the new bundle. */
static void removed_pool_refuse(struct gateway_pool *pool)
{
	struct admission_item *item;

	while ((item = admission_queue_pop(pool->queue)))
		gateway_exchange_refuse(gateway_exchange_of_item(item),
					OUTCOME_NO_VM);
}

void gateway_pool_dispatch(struct gateway *gateway, struct gateway_pool *pool)
{
	if (pool->index == BUNDLE_INDEX_NONE) {
		removed_pool_refuse(pool);
		return;
	}
	do {
		if (gateway->config.may_dispatch(gateway->config.data))
			queue_dispatch(gateway, pool);
	} while (gateway_share_poll(gateway, pool));
	if (admission_queue_length(pool->queue) > 0)
		dispatch_timer_advance(gateway);
}

/* Returns the slots in use by this process, by pool index. */
static uint32_t *slots_in_use(const struct gateway *gateway)
{
	uint32_t count = gateway->bundle->pool_count;
	uint32_t *in_use = g_new0(uint32_t, count + 1);

	for (uint32_t i = 0; i < gateway->servers->count; i++) {
		const struct balancer_server *server =
			&gateway->servers->servers[i];

		if (server->pool < count)
			in_use[server->pool] += server->in_flight;
	}
	return in_use;
}

uint32_t gateway_pool_loads(const struct gateway *gateway,
			    struct demand_load *out, uint32_t max)
{
	g_autofree uint32_t *in_use = NULL;
	GHashTableIter iter;
	uint32_t count = 0;
	gpointer value;

	if (!gateway->bundle)
		return 0;
	in_use = slots_in_use(gateway);
	g_hash_table_iter_init(&iter, gateway->pools);
	while (count < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gateway_pool *pool = value;
		struct demand_load load = { .pool = demand_pool_key(
						    pool->name) };

		if (pool->index == BUNDLE_INDEX_NONE)
			continue;
		load.slots = in_use[pool->index] +
			     admission_queue_length(pool->queue);
		if (load.slots > 0)
			out[count++] = load;
	}
	return count;
}
