#include "balancer.h"

struct balancer *balancer_create(uint32_t count)
{
	struct balancer *balancer = g_new0(struct balancer, 1);

	balancer->servers = g_new0(struct balancer_server, count + 1);
	balancer->count = count;
	for (uint32_t i = 0; i < count; i++)
		balancer->servers[i].pool = BUNDLE_INDEX_NONE;
	return balancer;
}

void balancer_destroy(struct balancer *balancer)
{
	if (!balancer)
		return;
	g_free(balancer->servers);
	g_free(balancer);
}

bool balancer_server_is_ready(const struct balancer_server *server,
			      uint64_t now_ms)
{
	return server->serving && !server->draining &&
	       outlier_accepts_request(&server->health, server->in_flight,
				       now_ms);
}

uint32_t balancer_choose(struct balancer *balancer, uint32_t pool,
			 uint32_t avoid, uint64_t now_ms)
{
	uint32_t best = BUNDLE_INDEX_NONE;

	for (uint32_t i = 0; i < balancer->count; i++) {
		uint32_t vm = (balancer->cursor + i) % balancer->count;
		const struct balancer_server *server = &balancer->servers[vm];

		if (server->pool != pool || vm == avoid ||
		    server->in_flight >= server->allowed_slots ||
		    !balancer_server_is_ready(server, now_ms))
			continue;
		if (best == BUNDLE_INDEX_NONE ||
		    server->in_flight < balancer->servers[best].in_flight)
			best = vm;
	}
	if (best != BUNDLE_INDEX_NONE)
		balancer->cursor = (best + 1) % balancer->count;
	return best;
}

static struct outlier_pool pool_state(const struct balancer *balancer,
				      uint32_t vm)
{
	struct outlier_pool state = { 0 };

	for (uint32_t i = 0; i < balancer->count; i++) {
		const struct balancer_server *server = &balancer->servers[i];

		if (server->pool != balancer->servers[vm].pool ||
		    !server->serving || server->draining)
			continue;
		state.servers++;
		if (i == vm)
			continue;
		if (outlier_is_restricted(&server->health))
			state.others_restricted++;
		if (server->health.last_answer_ms > state.others_last_answer_ms)
			state.others_last_answer_ms =
				server->health.last_answer_ms;
	}
	return state;
}

bool balancer_record_result(struct balancer *balancer, uint32_t vm,
			    enum outlier_result result, uint64_t began_ms,
			    uint64_t now_ms, uint32_t seed)
{
	struct outlier_pool state = { 0 };

	if (result != OUTLIER_ANSWERED)
		state = pool_state(balancer, vm);
	return outlier_record(&balancer->servers[vm].health, &state, result,
			      began_ms, now_ms, seed);
}

bool balancer_has_other_ready(const struct balancer *balancer, uint32_t pool,
			      uint32_t avoid, uint64_t now_ms)
{
	for (uint32_t i = 0; i < balancer->count; i++) {
		const struct balancer_server *server = &balancer->servers[i];

		if (server->pool == pool && i != avoid &&
		    balancer_server_is_ready(server, now_ms))
			return true;
	}
	return false;
}

uint32_t balancer_ready_slots(const struct balancer *balancer, uint32_t pool,
			      uint64_t now_ms)
{
	uint32_t slots = 0;

	for (uint32_t i = 0; i < balancer->count; i++) {
		const struct balancer_server *server = &balancer->servers[i];

		if (server->pool == pool &&
		    balancer_server_is_ready(server, now_ms))
			slots += outlier_is_restricted(&server->health)
					 ? 1
					 : server->slots;
	}
	return slots;
}
