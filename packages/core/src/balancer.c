#include "balancer.h"

struct balancer *balancer_create(uint32_t count)
{
	struct balancer *set = g_new0(struct balancer, 1);

	set->servers = g_new0(struct balancer_server, count + 1);
	set->count = count;
	for (uint32_t i = 0; i < count; i++)
		set->servers[i].pool = BUNDLE_INDEX_NONE;
	return set;
}

void balancer_destroy(struct balancer *set)
{
	if (!set)
		return;
	g_free(set->servers);
	g_free(set);
}

bool balancer_server_is_ready(const struct balancer_server *server,
			      uint64_t now_ms)
{
	return server->serving && !server->draining &&
	       outlier_accepts_request(&server->health, server->in_flight,
				       now_ms);
}

uint32_t balancer_choose(struct balancer *set, uint32_t pool, uint32_t avoid,
			 uint64_t now_ms)
{
	uint32_t best = BUNDLE_INDEX_NONE;

	for (uint32_t i = 0; i < set->count; i++) {
		uint32_t vm = (set->cursor + i) % set->count;
		const struct balancer_server *server = &set->servers[vm];

		if (server->pool != pool || vm == avoid ||
		    server->in_flight >= server->allowed_slots ||
		    !balancer_server_is_ready(server, now_ms))
			continue;
		if (best == BUNDLE_INDEX_NONE ||
		    server->in_flight < set->servers[best].in_flight)
			best = vm;
	}
	if (best != BUNDLE_INDEX_NONE)
		set->cursor = (best + 1) % set->count;
	return best;
}

static struct outlier_pool others_of(const struct balancer *set, uint32_t vm)
{
	struct outlier_pool others = { 0 };

	for (uint32_t i = 0; i < set->count; i++) {
		const struct balancer_server *server = &set->servers[i];

		if (server->pool != set->servers[vm].pool || !server->serving ||
		    server->draining)
			continue;
		others.servers++;
		if (i == vm)
			continue;
		if (outlier_is_restricted(&server->health))
			others.others_restricted++;
		if (server->health.last_answer_ms >
		    others.others_last_answer_ms)
			others.others_last_answer_ms =
				server->health.last_answer_ms;
	}
	return others;
}

bool balancer_record_result(struct balancer *set, uint32_t vm,
			    enum outlier_result evidence, uint64_t began_ms,
			    uint64_t now_ms, uint32_t seed)
{
	struct outlier_pool others = { 0 };

	if (evidence != OUTLIER_ANSWERED)
		others = others_of(set, vm);
	return outlier_record(&set->servers[vm].health, &others, evidence,
			      began_ms, now_ms, seed);
}

bool balancer_has_other_ready(const struct balancer *set, uint32_t pool,
			      uint32_t avoid, uint64_t now_ms)
{
	for (uint32_t i = 0; i < set->count; i++) {
		const struct balancer_server *server = &set->servers[i];

		if (server->pool == pool && i != avoid &&
		    balancer_server_is_ready(server, now_ms))
			return true;
	}
	return false;
}

uint32_t balancer_ready_slots(const struct balancer *set, uint32_t pool,
			      uint64_t now_ms)
{
	uint32_t slots = 0;

	for (uint32_t i = 0; i < set->count; i++) {
		const struct balancer_server *server = &set->servers[i];

		if (server->pool == pool &&
		    balancer_server_is_ready(server, now_ms))
			slots += outlier_is_restricted(&server->health)
					 ? 1
					 : server->slots;
	}
	return slots;
}
