#include "daemon_private.h"

#include <string.h>
#include <time.h>

#include "log.h"
#include "stored_value.h"

/* Bursts of this many seconds' worth of calls are let through. */
#define DAEMON_PLATFORM_BURST_S 2
#define DAEMON_MEMBERS_READ_MS 5000
/* Members up to which the list is read at that pace. */
#define DAEMON_MEMBERS_READ_FULL_PACE 10
#define DAEMON_PEER_PERIOD_MS 1000
/* Peers are asked this often in a dispatch window, so that one lost answer
 * or a late one does not end the right to dispatch. */
#define DAEMON_PEER_ASKS_PER_WINDOW 4
#define DAEMON_PEER_FAN_OUT 3

static void on_request(void *data, struct ingress_request *request)
{
	struct daemon *entry = data;

	gateway_on_request(entry->gateway, request);
}

static void on_gone(void *data, struct ingress_request *request)
{
	struct daemon *entry = data;

	gateway_on_caller_gone(entry->gateway, request);
}

bool daemon_may_dispatch(void *data)
{
	struct daemon *entry = data;

	return sync_may_dispatch(entry->sync);
}

static const struct ingress_ops caller_ops = {
	.on_request = on_request,
	.on_disconnect = on_gone,
	.on_page = daemon_page_serve,
};

static void heartbeat_fill(void *data, struct gossip_heartbeat *heartbeat)
{
	struct daemon *entry = data;
	const struct head_state *head = sync_head_state(entry->sync);

	heartbeat->head = head->known;
	heartbeat->applied_roll = head->applied_roll;
	heartbeat->applied_placement = head->applied_placement;
	heartbeat->caught_up = head_has_caught_up(head);
	heartbeat->confirmed_age_ms =
		head_confirmation_age_ms(head, loop_now_ms());
	heartbeat->shutting_down = entry->shutting_down;
	heartbeat->draining_count = gateway_leaving_notices(
		entry->gateway, heartbeat->draining, GOSSIP_DRAINING_MAX);
	heartbeat->load_count = gateway_pool_loads(
		entry->gateway, heartbeat->loads, GOSSIP_LOADS_MAX);
}

static void on_heartbeat(void *data, const struct gossip_heartbeat *heartbeat,
			 uint64_t asked_ms)
{
	struct daemon *entry = data;

	sync_on_heartbeat(entry->sync, heartbeat, asked_ms);
	for (uint32_t i = 0; i < heartbeat->draining_count; i++)
		gateway_on_leaving_notice(entry->gateway,
					  &heartbeat->draining[i]);
}

static void on_leaving(void *data)
{
	struct daemon *entry = data;

	gossip_node_announce(entry->peers);
}

static uint32_t live_processes(void *data)
{
	struct daemon *entry = data;

	return gossip_node_live_count(entry->peers);
}

static const char *on_document(void *data, enum gossip_document document,
			       uint64_t number, uint32_t *len)
{
	struct daemon *entry = data;

	return sync_document(entry->sync, document, number, len);
}

static const struct gossip_ops peer_ops = {
	.fill_heartbeat = heartbeat_fill,
	.on_heartbeat = on_heartbeat,
	.document = on_document,
	.on_slot_report = daemon_on_slot_report,
	.on_slot_grant = daemon_on_slot_grant,
};

static void on_head_changed(void *data)
{
	struct daemon *entry = data;

	gossip_node_announce(entry->peers);
}

/* A new process makes itself known, so that the pace may fall as the list
 * grows: the bytes a second stay about the same. */
static uint64_t members_read_ms(const struct daemon *entry)
{
	uint32_t known = gossip_node_known_count(entry->peers);

	return (uint64_t)DAEMON_MEMBERS_READ_MS *
	       MAX(known, DAEMON_MEMBERS_READ_FULL_PACE) /
	       DAEMON_MEMBERS_READ_FULL_PACE;
}

static void on_members(void *data, enum err_kind err,
		       const struct platform_result *result)
{
	struct daemon *entry = data;

	loop_timer_set(entry->loop, &entry->members_timer,
		       members_read_ms(entry));
	if (err != ERR_NONE) {
		counter_inc(&entry->counters, COUNTER_PLATFORM_ERRORS);
		return;
	}
	for (size_t i = 0; i < result->kv_count; i++) {
		struct member member;

		if (stored_member_parse(result->kvs[i].value,
					result->kvs[i].value_len,
					&member) == ERR_NONE)
			gossip_node_add_member(entry->peers, &member);
	}
	daemon_slots_update_members(entry);
}

static void on_members_due(void *data)
{
	struct daemon *entry = data;

	platform_range(entry->platform, PLATFORM_PREFIX_MEMBER, true,
		       on_members, entry);
}

static uint32_t peer_period_ms(const struct settings *settings)
{
	uint32_t period_ms =
		settings->dispatch_window_ms / DAEMON_PEER_ASKS_PER_WINDOW;

	return CLAMP(period_ms, 1, DAEMON_PEER_PERIOD_MS);
}

static enum err_kind peers_open(struct daemon *entry)
{
	const struct gossip_config config = {
		.self = entry->self,
		.port = entry->settings->rpc.port,
		.heartbeat_interval_ms = peer_period_ms(entry->settings),
		.fan_out = DAEMON_PEER_FAN_OUT,
		.unreachable_after_ms = DAEMON_PEER_GONE_AFTER_MS,
	};

	return gossip_node_create(entry->loop, &config, &peer_ops, entry,
				  &entry->peers);
}

static void on_synced(void *data, struct bundle *bundle,
		      const struct placement *view)
{
	struct daemon *entry = data;
	const struct head_state *head = sync_head_state(entry->sync);

	gateway_update(entry->gateway, bundle, view);
	/* The manager waits for confirmations of each placement. */
	gossip_node_announce(entry->peers);
	mgr_manager_set_bundle(entry->manager, bundle, head->applied_roll);
}

static void on_member_written(void *data, enum err_kind err,
			      const struct platform_result *result)
{
	struct daemon *entry = data;

	if (err != ERR_NONE)
		counter_inc(&entry->counters, COUNTER_PLATFORM_ERRORS);
}

static void member_write(struct daemon *entry, int64_t lease)
{
	g_autofree char *key =
		g_strconcat(PLATFORM_PREFIX_MEMBER, entry->self.id, NULL);
	g_autofree char *value = stored_member_build(&entry->self);
	const struct platform_write write = { key, value, lease };
	const struct platform_txn txn = { NULL, 0, &write, 1 };

	platform_txn(entry->platform, &txn, on_member_written, entry);
}

static void on_lease_granted(void *data, int64_t lease)
{
	struct daemon *entry = data;

	member_write(entry, lease);
	if (!entry->shutting_down)
		mgr_manager_set_lease(entry->manager, lease);
}

static void on_lease_lost(void *data)
{
	struct daemon *entry = data;

	mgr_manager_set_lease(entry->manager, 0);
}

static const struct lease_ops lease_ops = {
	.on_granted = on_lease_granted,
	.on_lost = on_lease_lost,
};

static enum err_kind platform_open(struct daemon *entry)
{
	const struct settings *settings = entry->settings;
	const struct platform_config config = {
		.ip = settings->platform.ip,
		.port = settings->platform.port,
		.timeout_ms = settings->platform_timeout_ms,
		.rate_per_s = settings->platform_rate_per_s,
		.rate_burst =
			settings->platform_rate_per_s * DAEMON_PLATFORM_BURST_S,
	};

	return platform_create(entry->loop, settings->platform_adapter, &config,
			       &entry->platform);
}

static enum err_kind server_open(struct daemon *entry)
{
	const struct settings *settings = entry->settings;
	const struct ingress_config config = {
		.ip = settings->listen.ip,
		.port = settings->listen.port,
		.body_max_bytes = settings->body_max_bytes,
		.connections_max = settings->connections_max,
		.idle_timeout_ms = settings->idle_timeout_ms,
	};

	return ingress_server_create(entry->loop, &config, &caller_ops, entry,
				     &entry->server);
}

static void self_fill(struct daemon *entry)
{
	const struct settings *settings = entry->settings;
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	g_strlcpy(entry->self.id, settings->id, sizeof(entry->self.id));
	g_strlcpy(entry->self.ip, settings->listen.ip, sizeof(entry->self.ip));
	entry->self.rpc_port = settings->rpc.port;
	entry->self.incarnation =
		(uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

/* Peers named in the settings are how a process starts in an outage. */
static void peers_seed(struct daemon *entry)
{
	for (char **peer = entry->settings->peers; peer && *peer; peer++) {
		struct member member = { 0 };
		struct cfg_endpoint endpoint;

		if (!cfg_endpoint_parse(*peer, &endpoint))
			continue;
		g_strlcpy(member.id, *peer, sizeof(member.id));
		g_strlcpy(member.ip, endpoint.ip, sizeof(member.ip));
		member.rpc_port = endpoint.port;
		gossip_node_add_member(entry->peers, &member);
	}
}

static uint64_t applied_placement(void *data)
{
	struct daemon *entry = data;

	return sync_head_state(entry->sync)->applied_placement;
}

static void on_placement_written(void *data, const char *text)
{
	struct daemon *entry = data;

	sync_placement_apply(entry->sync, text);
}

static const char *current_manager(void *data)
{
	const struct daemon *entry = data;

	return sync_manager_id(entry->sync);
}

static uint32_t loads(void *data, struct demand_load *out, uint32_t max)
{
	const struct daemon *entry = data;

	return gateway_pool_loads(entry->gateway, out, max);
}

static bool lease_is_valid(void *data)
{
	struct daemon *entry = data;

	return lease_id(entry->lease) != 0;
}

static struct mgr_manager *manager_create(struct daemon *entry)
{
	const struct settings *settings = entry->settings;
	const struct mgr_config config = {
		.loop = entry->loop,
		.platform = entry->platform,
		.counters = &entry->counters,
		.peers = entry->peers,
		.id = entry->self.id,
		.tick_ms = settings->manager_tick_ms,
		.vm_list_ms = settings->vm_list_ms,
		.vm_list_lag_ms = settings->vm_list_lag_ms,
		.vm_failed_after_ms = settings->vm_failed_after_ms,
		.maintenance_timeout_ms = settings->maintenance_timeout_ms,
		.demand_window_ms = settings->demand_window_ms,
		.dispatch_window_ms = settings->dispatch_window_ms,
		.applied_placement = applied_placement,
		.on_placement = on_placement_written,
		.current_manager = current_manager,
		.loads = loads,
		.lease_is_valid = lease_is_valid,
		.data = entry,
	};

	return mgr_manager_create(&config);
}

static void parts_create(struct daemon *entry)
{
	const struct settings *settings = entry->settings;
	const struct gateway_config gateway = {
		.loop = entry->loop,
		.counters = &entry->counters,
		.id = entry->self.id,
		.incarnation = entry->self.incarnation,
		.platform = entry->platform,
		.answer_max_bytes = settings->answer_max_bytes,
		.claim_life_s = settings->claim_life_s,
		.may_dispatch = daemon_may_dispatch,
		.processes = live_processes,
		.on_leaving = on_leaving,
		.slot_report = daemon_slots_send_report,
		.slot_grant = daemon_slots_send_grant,
		.data = entry,
	};
	const struct sync_config sync = {
		.loop = entry->loop,
		.platform = entry->platform,
		.trust = entry->trust,
		.counters = &entry->counters,
		.id = entry->self.id,
		.poll_ms = settings->poll_ms,
		.dispatch_window_ms = settings->dispatch_window_ms,
	};

	entry->gateway = gateway_create(&gateway);
	entry->manager = manager_create(entry);
	entry->sync = sync_create(&sync, on_synced, entry);
	sync_set_peers(entry->sync, entry->peers, on_head_changed);
	peers_seed(entry);
	daemon_slots_start(entry);
	entry->members_timer.cb = on_members_due;
	entry->members_timer.data = entry;
	loop_timer_set(entry->loop, &entry->members_timer, 0);
	entry->lease = lease_create(entry->loop, entry->platform,
				    settings->lease_ttl_s, &lease_ops, entry);
}

enum err_kind daemon_create(struct loop *loop, const struct settings *settings,
			    struct daemon **out, const char **what)
{
	struct daemon *entry = g_new0(struct daemon, 1);
	enum err_kind err;

	entry->loop = loop;
	entry->settings = settings;
	self_fill(entry);
	*what = "operator-key";
	err = signing_trust_store_create(
		(const char *const *)settings->operator_keys,
		settings->signatures_required, &entry->trust);
	if (err == ERR_NONE) {
		*what = "platform";
		err = platform_open(entry);
	}
	if (err == ERR_NONE) {
		*what = "listen";
		err = server_open(entry);
	}
	if (err != ERR_NONE) {
		daemon_destroy(entry);
		return err;
	}
	entry->self.http_port = ingress_server_port(entry->server);
	*what = "rpc";
	err = peers_open(entry);
	if (err != ERR_NONE) {
		daemon_destroy(entry);
		return err;
	}
	entry->self.rpc_port = gossip_node_port(entry->peers);
	parts_create(entry);
	log_info("started", "listening on %s:%u", entry->self.ip,
		 (unsigned int)entry->self.http_port);
	*out = entry;
	return ERR_NONE;
}

void daemon_destroy(struct daemon *entry)
{
	if (!entry)
		return;
	timer_cancel(&entry->shut_down_timer);
	timer_cancel(&entry->members_timer);
	timer_cancel(&entry->slots_timer);
	/* No event of a caller may reach the gateway while it is freed, and the
	 * gateway still uses the peers and the platform. */
	ingress_server_destroy(entry->server);
	gateway_destroy(entry->gateway);
	gossip_node_destroy(entry->peers);
	lease_destroy(entry->lease);
	mgr_manager_destroy(entry->manager);
	sync_destroy(entry->sync);
	platform_destroy(entry->platform);
	signing_trust_store_destroy(entry->trust);
	g_free(entry);
}
