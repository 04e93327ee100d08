#include <string.h>

#include "gateway_private.h"

/*
 * A VM may run up to twice its slots for as long as requests of a silent
 * owner's holders go on, each on a connection of its own.
 */
static uint32_t shared_slots(const struct bundle_vm *vm)
{
	return MIN(vm->slots, MAX(vm->connections / 2, 1));
}

uint32_t gateway_idle_connections_max(const struct gateway *gateway,
				      uint32_t vm)
{
	const struct bundle_vm *spec = &gateway->bundle->vms[vm];
	uint32_t in_progress = 2 * shared_slots(spec);

	/* Alone, a request takes a kept connection before it opens one. */
	if (gateway->everyone->len <= 1)
		return spec->connections;
	if (spec->connections <= in_progress)
		return 0;
	return (spec->connections - in_progress) / gateway->everyone->len;
}

struct gateway_share *gateway_share_create(const struct gateway *gateway,
					   const char *pool_name)
{
	struct gateway_share *share = g_new0(struct gateway_share, 1);

	share->key = slot_key(pool_name);
	share->holder =
		slot_holder_create(share->key, slot_key(gateway->config.id),
				   gateway->config.incarnation, SLOT_SPARE_MAX);
	return share;
}

void gateway_share_destroy(struct gateway_share *share)
{
	if (!share)
		return;
	slot_holder_destroy(share->holder);
	slot_owner_destroy(share->owner);
	g_free(share);
}

static void vm_refresh(const struct balancer_server *server, struct slot_vm *vm,
		       uint64_t now_ms)
{
	vm->in_use = server->in_flight;
	vm->ready = balancer_server_is_ready(server, now_ms);
}

static uint32_t vms_fill(const struct gateway *gateway, uint32_t pool,
			 struct gateway_share *share, struct slot_vm *vms)
{
	const struct balancer *servers = gateway->servers;
	uint32_t count = 0;

	for (uint32_t i = 0; i < servers->count && count < SLOT_VMS_MAX; i++) {
		const struct bundle_vm *vm = &gateway->bundle->vms[i];

		if (servers->servers[i].pool != pool)
			continue;
		vms[count] = (struct slot_vm){ .key = slot_key(vm->name),
					       .slots = shared_slots(vm) };
		vm_refresh(&servers->servers[i], &vms[count], loop_now_ms());
		share->servers[count] = i;
		count++;
	}
	return count;
}

/* Takes up or gives up the ownership of the pool. */
static void ownership_update(struct gateway *gateway,
			     struct gateway_share *share)
{
	const GArray *everyone = gateway->everyone;
	struct slot_vm *vms;
	uint32_t count;

	if (slot_holder_owner(share->holder) != slot_key(gateway->config.id)) {
		g_clear_pointer(&share->owner, slot_owner_destroy);
		return;
	}
	if (!share->owner) {
		share->owner = slot_owner_create(share->key, loop_now_ms());
		vms = slot_holder_vms(share->holder, &count);
		slot_owner_set_vms(share->owner, vms, count);
	}
	slot_owner_set_members(share->owner, (const uint64_t *)everyone->data,
			       everyone->len);
}

static void members_update(struct gateway *gateway, struct gateway_pool *pool)
{
	const GArray *members = gateway->members;

	slot_holder_set_members(pool->share->holder,
				(const uint64_t *)members->data, members->len,
				gateway->everyone->len <= 1, loop_now_ms());
	ownership_update(gateway, pool->share);
}

void gateway_share_update(struct gateway *gateway, struct gateway_pool *pool)
{
	struct gateway_share *share = pool->share;
	struct slot_vm vms[SLOT_VMS_MAX];
	uint32_t count = vms_fill(gateway, pool->index, share, vms);

	slot_holder_set_vms(share->holder, vms, count);
	if (share->owner)
		slot_owner_set_vms(share->owner, vms, count);
	members_update(gateway, pool);
}

void gateway_share_refresh(struct gateway *gateway, struct gateway_pool *pool)
{
	struct gateway_share *share = pool->share;
	struct balancer_server *servers = gateway->servers->servers;
	uint32_t allowed[SLOT_VMS_MAX];
	uint64_t now_ms = loop_now_ms();
	uint32_t count;
	struct slot_vm *vms = slot_holder_vms(share->holder, &count);

	for (uint32_t i = 0; i < count; i++)
		vm_refresh(&servers[share->servers[i]], &vms[i], now_ms);
	slot_holder_allowed_slots(share->holder, now_ms, allowed);
	for (uint32_t i = 0; i < count; i++)
		servers[share->servers[i]].allowed_slots = allowed[i];
}

/* Sends what the owner decided; tells whether this process got a grant. */
static bool grants_send(struct gateway *gateway, struct gateway_share *share)
{
	const struct gateway_config *config = &gateway->config;
	uint64_t self = slot_key(config->id);
	struct slot_grant grant;
	bool taken = false;

	while (slot_owner_next_grant(share->owner, &grant)) {
		if (grant.holder == self) {
			taken |= slot_holder_apply_grant(share->holder, &grant,
							 loop_now_ms());
			continue;
		}
		counter_inc(config->counters, COUNTER_SLOT_GRANTS);
		config->slot_grant(config->data, grant.holder, &grant);
	}
	return taken;
}

static bool owner_poll(struct gateway *gateway, struct gateway_share *share)
{
	uint64_t now_ms = loop_now_ms();
	uint32_t count;
	struct slot_vm *vms = slot_owner_vms(share->owner, &count);

	if (now_ms < share->ticked_ms + SLOT_REPORT_MIN_INTERVAL_MS)
		return grants_send(gateway, share);
	share->ticked_ms = now_ms;
	for (uint32_t i = 0; i < count; i++)
		vm_refresh(&gateway->servers->servers[share->servers[i]],
			   &vms[i], now_ms);
	slot_owner_tick(share->owner, now_ms);
	return grants_send(gateway, share);
}

bool gateway_share_poll(struct gateway *gateway, struct gateway_pool *pool)
{
	const struct gateway_config *config = &gateway->config;
	struct gateway_share *share = pool->share;
	struct slot_report report;

	gateway_share_refresh(gateway, pool);
	if (slot_holder_poll(share->holder, admission_queue_length(pool->queue),
			     loop_now_ms(), &report)) {
		if (share->owner) {
			slot_owner_record_report(share->owner, &report,
						 loop_now_ms());
		} else {
			counter_inc(config->counters, COUNTER_SLOT_REPORTS);
			config->slot_report(config->data,
					    slot_holder_owner(share->holder),
					    &report);
		}
	}
	return share->owner && owner_poll(gateway, share);
}

static struct gateway_pool *pool_by_key(const struct gateway *gateway,
					uint64_t key)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gateway->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct gateway_pool *pool = value;

		if (pool->share->key == key && pool->index != BUNDLE_INDEX_NONE)
			return pool;
	}
	return NULL;
}

static bool holder_is_known(const struct gateway *gateway, uint64_t key)
{
	for (guint i = 0; i < gateway->everyone->len; i++) {
		if (g_array_index(gateway->everyone, uint64_t, i) == key)
			return true;
	}
	return false;
}

void gateway_on_slot_report(struct gateway *gateway,
			    const struct slot_report *report)
{
	struct gateway_pool *pool = pool_by_key(gateway, report->pool);

	if (!pool || !pool->share->owner ||
	    !holder_is_known(gateway, report->holder))
		return;
	slot_owner_record_report(pool->share->owner, report, loop_now_ms());
	if (grants_send(gateway, pool->share))
		gateway_pool_dispatch(gateway, pool);
}

void gateway_on_slot_grant(struct gateway *gateway,
			   const struct slot_grant *message)
{
	struct gateway_pool *pool = pool_by_key(gateway, message->pool);
	struct slot_grant grant = *message;

	if (!pool)
		return;
	grant.holder = slot_key(gateway->config.id);
	if (slot_holder_apply_grant(pool->share->holder, &grant, loop_now_ms()))
		gateway_pool_dispatch(gateway, pool);
}

static bool keys_replace(GArray *keys, const GArray *fresh)
{
	size_t bytes = fresh->len * sizeof(uint64_t);

	if (keys->len == fresh->len &&
	    memcmp(keys->data, fresh->data, bytes) == 0)
		return false;
	g_array_set_size(keys, 0);
	g_array_append_vals(keys, fresh->data, fresh->len);
	return true;
}

void gateway_set_members(struct gateway *gateway, const GArray *members,
			 const GArray *everyone)
{
	bool changed = keys_replace(gateway->members, members);
	GHashTableIter iter;
	gpointer pool;

	changed |= keys_replace(gateway->everyone, everyone);
	if (!changed)
		return;
	g_hash_table_iter_init(&iter, gateway->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool)) {
		members_update(gateway, pool);
		gateway_pool_dispatch(gateway, pool);
	}
}
