#include "sel.h"

struct sel_set *sel_set_create(uint32_t count)
{
	struct sel_set *set = g_new0(struct sel_set, 1);

	set->servers = g_new0(struct sel_server, count + 1);
	set->count = count;
	for (uint32_t i = 0; i < count; i++)
		set->servers[i].pool = BND_NONE;
	return set;
}

void sel_set_destroy(struct sel_set *set)
{
	if (!set)
		return;
	g_free(set->servers);
	g_free(set);
}

bool sel_is_ready(const struct sel_server *server, uint64_t now_ms)
{
	return server->serving && !server->leaving &&
	       ejt_may_take(&server->health, server->in_flight, now_ms);
}

uint32_t sel_choose(struct sel_set *set, uint32_t pool, uint32_t avoid,
		    uint64_t now_ms)
{
	uint32_t best = BND_NONE;

	for (uint32_t i = 0; i < set->count; i++) {
		uint32_t vm = (set->cursor + i) % set->count;
		const struct sel_server *server = &set->servers[vm];

		if (server->pool != pool || vm == avoid ||
		    server->in_flight >= server->allowed_slots ||
		    !sel_is_ready(server, now_ms))
			continue;
		if (best == BND_NONE ||
		    server->in_flight < set->servers[best].in_flight)
			best = vm;
	}
	if (best != BND_NONE)
		set->cursor = (best + 1) % set->count;
	return best;
}

static struct ejt_pool others_of(const struct sel_set *set, uint32_t vm)
{
	struct ejt_pool others = { 0 };

	for (uint32_t i = 0; i < set->count; i++) {
		const struct sel_server *server = &set->servers[i];

		if (server->pool != set->servers[vm].pool || !server->serving ||
		    server->leaving)
			continue;
		others.servers++;
		if (i == vm)
			continue;
		if (ejt_is_limited(&server->health))
			others.ejected++;
		if (server->health.answered_ms > others.others_answered_ms)
			others.others_answered_ms = server->health.answered_ms;
	}
	return others;
}

bool sel_record(struct sel_set *set, uint32_t vm, enum ejt_evidence evidence,
		uint64_t began_ms, uint64_t now_ms, uint32_t seed)
{
	struct ejt_pool others = { 0 };

	if (evidence != EJT_ANSWERED)
		others = others_of(set, vm);
	return ejt_record(&set->servers[vm].health, &others, evidence, began_ms,
			  now_ms, seed);
}

bool sel_has_other(const struct sel_set *set, uint32_t pool, uint32_t avoid,
		   uint64_t now_ms)
{
	for (uint32_t i = 0; i < set->count; i++) {
		const struct sel_server *server = &set->servers[i];

		if (server->pool == pool && i != avoid &&
		    sel_is_ready(server, now_ms))
			return true;
	}
	return false;
}

uint32_t sel_pool_slots(const struct sel_set *set, uint32_t pool,
			uint64_t now_ms)
{
	uint32_t slots = 0;

	for (uint32_t i = 0; i < set->count; i++) {
		const struct sel_server *server = &set->servers[i];

		if (server->pool == pool && sel_is_ready(server, now_ms))
			slots += ejt_is_limited(&server->health)
					 ? 1
					 : server->slots;
	}
	return slots;
}
