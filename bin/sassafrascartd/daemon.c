#include "daemon_private.h"

#include <string.h>
#include <time.h>

#include "descriptor.h"
#include "descriptor_limit.h"
#include "log.h"
#include "stored_value.h"

/* Burst size of the platform rate limit, in seconds of its rate. */
#define DAEMON_PLATFORM_BURST_S 2
#define DAEMON_MEMBERS_READ_INTERVAL_MS 5000
/*
 * Number of members up to which the list of members is read at
 * DAEMON_MEMBERS_READ_INTERVAL_MS; with more members the interval grows in
 * proportion.
 */
#define DAEMON_MEMBERS_FULL_RATE_COUNT 10
#define DAEMON_PEER_PERIOD_MAX_MS 1000
/*
 * Peers are polled this often per dispatch window, so that one lost or late
 * answer does not end the permission to dispatch.
 */
#define DAEMON_PEER_POLLS_PER_WINDOW 4
#define DAEMON_PEER_FAN_OUT 3
/* Bytes of all incomplete requests together. */
#define DAEMON_INPUT_MAX_BYTES (256u * 1024u * 1024u)

static void on_request(void *data, struct ingress_request *request)
{
	struct daemon *daemon = data;

	gateway_on_request(daemon->gateway, request);
}

static void on_caller_gone(void *data, struct ingress_request *request)
{
	struct daemon *daemon = data;

	gateway_on_caller_gone(daemon->gateway, request);
}

bool daemon_may_dispatch(void *data)
{
	struct daemon *daemon = data;

	return sync_may_dispatch(daemon->sync);
}

static const struct ingress_ops caller_ops = {
	.on_request = on_request,
	.on_disconnect = on_caller_gone,
	.on_page = daemon_page_serve,
};

static void heartbeat_fill(void *data, struct gossip_heartbeat *heartbeat)
{
	struct daemon *daemon = data;
	const struct head_state *head = sync_head_state(daemon->sync);

	heartbeat->head = head->known;
	heartbeat->applied_roll = head->applied_roll;
	heartbeat->applied_placement = head->applied_placement;
	heartbeat->caught_up = head_has_caught_up(head);
	heartbeat->confirmed_age_ms =
		head_confirmation_age_ms(head, loop_now_ms());
	heartbeat->shutting_down = daemon->shutting_down;
	heartbeat->draining_count = gateway_draining_next_notices(
		daemon->gateway, heartbeat->draining, GOSSIP_DRAINING_MAX);
	heartbeat->load_count = gateway_pool_loads(
		daemon->gateway, heartbeat->loads, GOSSIP_LOADS_MAX);
}

static void on_heartbeat(void *data, const struct gossip_heartbeat *heartbeat,
			 uint64_t sent_ms)
{
	struct daemon *daemon = data;

	sync_on_heartbeat(daemon->sync, heartbeat, sent_ms);
	for (uint32_t i = 0; i < heartbeat->draining_count; i++)
		gateway_on_draining_notice(daemon->gateway,
					   &heartbeat->draining[i]);
}

static void on_vm_draining(void *data)
{
	struct daemon *daemon = data;

	gossip_node_announce(daemon->peers);
}

static uint32_t live_processes(void *data)
{
	struct daemon *daemon = data;

	return gossip_node_live_count(daemon->peers);
}

static const char *on_document(void *data, enum gossip_document document,
			       uint64_t number, uint32_t *len)
{
	struct daemon *daemon = data;

	return sync_document(daemon->sync, document, number, len);
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
	struct daemon *daemon = data;

	gossip_node_announce(daemon->peers);
}

/*
 * The read interval grows with the number of members, which keeps the bytes per
 * second about constant. A new process announces itself to its peers, so it is
 * found without waiting for the next read.
 */
static uint64_t members_read_interval_ms(const struct daemon *daemon)
{
	uint32_t known = gossip_node_known_count(daemon->peers);

	return (uint64_t)DAEMON_MEMBERS_READ_INTERVAL_MS *
	       MAX(known, DAEMON_MEMBERS_FULL_RATE_COUNT) /
	       DAEMON_MEMBERS_FULL_RATE_COUNT;
}

static void on_members(void *data, enum err_kind err,
		       const struct platform_result *result)
{
	struct daemon *daemon = data;

	loop_timer_set(daemon->loop, &daemon->members_timer,
		       members_read_interval_ms(daemon));
	if (err != ERR_NONE) {
		counter_inc(&daemon->counters, COUNTER_PLATFORM_ERRORS);
		return;
	}
	for (size_t i = 0; i < result->kv_count; i++) {
		struct member member;

		if (stored_member_parse(result->kvs[i].value,
					result->kvs[i].value_len,
					&member) == ERR_NONE)
			gossip_node_add_member(daemon->peers, &member);
	}
	daemon_slots_update_members(daemon);
}

static void on_members_due(void *data)
{
	struct daemon *daemon = data;

	platform_range(daemon->platform, PLATFORM_PREFIX_MEMBER, true,
		       on_members, daemon);
}

static uint32_t peer_period_ms(const struct settings *settings)
{
	uint32_t period_ms =
		settings->dispatch_window_ms / DAEMON_PEER_POLLS_PER_WINDOW;

	return CLAMP(period_ms, 1, DAEMON_PEER_PERIOD_MAX_MS);
}

static enum err_kind peers_open(struct daemon *daemon)
{
	const struct gossip_config config = {
		.self = daemon->self,
		.port = daemon->settings->rpc.port,
		.heartbeat_interval_ms = peer_period_ms(daemon->settings),
		.fan_out = DAEMON_PEER_FAN_OUT,
		.unreachable_after_ms = DAEMON_PEER_TIMEOUT_MS,
	};

	return gossip_node_create(daemon->loop, &config, &peer_ops, daemon,
				  &daemon->peers);
}

static void on_state_applied(void *data, struct bundle *bundle,
			     const struct placement *view)
{
	struct daemon *daemon = data;
	const struct head_state *head = sync_head_state(daemon->sync);

	gateway_update(daemon->gateway, bundle, view);
	/* The manager waits for the processes to confirm each placement. */
	gossip_node_announce(daemon->peers);
	mgr_manager_set_bundle(daemon->manager, bundle, head->applied_roll);
}

static void on_member_written(void *data, enum err_kind err,
			      const struct platform_result *result)
{
	struct daemon *daemon = data;

	if (err != ERR_NONE)
		counter_inc(&daemon->counters, COUNTER_PLATFORM_ERRORS);
}

static void member_write(struct daemon *daemon, int64_t lease)
{
	g_autofree char *key =
		g_strconcat(PLATFORM_PREFIX_MEMBER, daemon->self.id, NULL);
	g_autofree char *value = stored_member_build(&daemon->self);
	const struct platform_write write = { key, value, lease };
	const struct platform_txn txn = { NULL, 0, &write, 1 };

	platform_txn(daemon->platform, &txn, on_member_written, daemon);
}

static void on_lease_granted(void *data, int64_t lease)
{
	struct daemon *daemon = data;

	member_write(daemon, lease);
	if (!daemon->shutting_down)
		mgr_manager_set_lease(daemon->manager, lease);
}

static void on_lease_lost(void *data)
{
	struct daemon *daemon = data;

	mgr_manager_set_lease(daemon->manager, 0);
}

static const struct lease_ops lease_ops = {
	.on_granted = on_lease_granted,
	.on_lost = on_lease_lost,
};

static enum err_kind platform_open(struct daemon *daemon)
{
	const struct settings *settings = daemon->settings;
	const struct platform_config config = {
		.ip = settings->platform.ip,
		.port = settings->platform.port,
		.timeout_ms = settings->platform_timeout_ms,
		.rate_per_s = settings->platform_rate_per_s,
		.rate_burst =
			settings->platform_rate_per_s * DAEMON_PLATFORM_BURST_S,
	};

	return platform_create(daemon->loop, settings->platform_adapter,
			       &config, &daemon->platform);
}

static enum err_kind server_open(struct daemon *daemon)
{
	const struct settings *settings = daemon->settings;
	const struct descriptor_plan plan =
		descriptor_plan(descriptor_sockets(descriptor_limit_raise(), 0),
				DESCRIPTOR_USE_BACKENDS);
	const struct ingress_config config = {
		.ip = settings->listen.ip,
		.port = settings->listen.port,
		.body_max_bytes = settings->body_max_bytes,
		.input_max_bytes = DAEMON_INPUT_MAX_BYTES,
		.connections_max =
			MIN(settings->connections_max, plan.caller_connections),
		.idle_timeout_ms = settings->idle_timeout_ms,
	};

	return ingress_server_create(daemon->loop, &config, &caller_ops, daemon,
				     &daemon->server);
}

static void self_fill(struct daemon *daemon)
{
	const struct settings *settings = daemon->settings;
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	g_strlcpy(daemon->self.id, settings->id, sizeof(daemon->self.id));
	g_strlcpy(daemon->self.ip, settings->listen.ip,
		  sizeof(daemon->self.ip));
	daemon->self.rpc_port = settings->rpc.port;
	daemon->self.incarnation =
		(uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

/*
 * Peers named in the settings let a process start during an outage of the
 * platform.
 */
static void peers_seed(struct daemon *daemon)
{
	for (char **peer = daemon->settings->peers; peer && *peer; peer++) {
		struct member member = { 0 };
		struct cfg_endpoint endpoint;

		if (!cfg_endpoint_parse(*peer, &endpoint))
			continue;
		g_strlcpy(member.id, *peer, sizeof(member.id));
		g_strlcpy(member.ip, endpoint.ip, sizeof(member.ip));
		member.rpc_port = endpoint.port;
		gossip_node_add_member(daemon->peers, &member);
	}
}

static uint64_t applied_placement(void *data)
{
	struct daemon *daemon = data;

	return sync_head_state(daemon->sync)->applied_placement;
}

static void on_placement_written(void *data, const char *text)
{
	struct daemon *daemon = data;

	sync_placement_apply(daemon->sync, text);
}

static const char *current_manager(void *data)
{
	const struct daemon *daemon = data;

	return sync_manager_id(daemon->sync);
}

static uint32_t pool_loads(void *data, struct demand_load *out, uint32_t max)
{
	const struct daemon *daemon = data;

	return gateway_pool_loads(daemon->gateway, out, max);
}

static bool lease_is_valid(void *data)
{
	struct daemon *daemon = data;

	return lease_id(daemon->lease) != 0;
}

static struct mgr_manager *manager_create(struct daemon *daemon)
{
	const struct settings *settings = daemon->settings;
	const struct mgr_config config = {
		.loop = daemon->loop,
		.platform = daemon->platform,
		.counters = &daemon->counters,
		.peers = daemon->peers,
		.id = daemon->self.id,
		.tick_ms = settings->manager_tick_ms,
		.vm_list_ms = settings->vm_list_ms,
		.vm_list_lag_ms = settings->vm_list_lag_ms,
		.vm_failed_after_ms = settings->vm_failed_after_ms,
		.maintenance_timeout_ms = settings->maintenance_timeout_ms,
		.demand_window_ms = settings->demand_window_ms,
		.dispatch_window_ms = settings->dispatch_window_ms,
		.applied_placement = applied_placement,
		.on_placement_written = on_placement_written,
		.current_manager = current_manager,
		.pool_loads = pool_loads,
		.lease_is_valid = lease_is_valid,
		.data = daemon,
	};

	return mgr_manager_create(&config);
}

static void components_create(struct daemon *daemon)
{
	const struct settings *settings = daemon->settings;
	const struct gateway_config gateway = {
		.loop = daemon->loop,
		.counters = &daemon->counters,
		.id = daemon->self.id,
		.incarnation = daemon->self.incarnation,
		.platform = daemon->platform,
		.answer_max_bytes = settings->answer_max_bytes,
		.claim_ttl_s = settings->claim_life_s,
		.may_dispatch = daemon_may_dispatch,
		.live_process_count = live_processes,
		.on_vm_draining = on_vm_draining,
		.send_slot_report = daemon_slots_send_report,
		.send_slot_grant = daemon_slots_send_grant,
		.data = daemon,
	};
	const struct sync_config sync = {
		.loop = daemon->loop,
		.platform = daemon->platform,
		.trust = daemon->trust,
		.counters = &daemon->counters,
		.id = daemon->self.id,
		.poll_ms = settings->poll_ms,
		.dispatch_window_ms = settings->dispatch_window_ms,
	};

	daemon->gateway = gateway_create(&gateway);
	daemon->manager = manager_create(daemon);
	daemon->sync = sync_create(&sync, on_state_applied, daemon);
	sync_set_peers(daemon->sync, daemon->peers, on_head_changed);
	daemon_reload_start(daemon);
	peers_seed(daemon);
	daemon_slots_start(daemon);
	daemon->members_timer.cb = on_members_due;
	daemon->members_timer.data = daemon;
	loop_timer_set(daemon->loop, &daemon->members_timer, 0);
	daemon->lease = lease_create(daemon->loop, daemon->platform,
				     settings->lease_ttl_s, &lease_ops, daemon);
}

enum err_kind daemon_create(struct loop *loop, const struct settings *settings,
			    struct daemon **out, const char **setting)
{
	struct daemon *daemon = g_new0(struct daemon, 1);
	enum err_kind err;

	daemon->loop = loop;
	daemon->settings = settings;
	self_fill(daemon);
	*setting = "operator-key";
	err = signing_trust_store_create(
		(const char *const *)settings->operator_keys,
		settings->signatures_required, &daemon->trust, NULL);
	if (err == ERR_NONE) {
		*setting = "platform";
		err = platform_open(daemon);
	}
	if (err == ERR_NONE) {
		*setting = "listen";
		err = server_open(daemon);
	}
	if (err != ERR_NONE) {
		daemon_destroy(daemon);
		return err;
	}
	daemon->self.http_port = ingress_server_port(daemon->server);
	*setting = "rpc";
	err = peers_open(daemon);
	if (err != ERR_NONE) {
		daemon_destroy(daemon);
		return err;
	}
	daemon->self.rpc_port = gossip_node_port(daemon->peers);
	components_create(daemon);
	log_info("started", "listening on %s:%u", daemon->self.ip,
		 (unsigned int)daemon->self.http_port);
	*out = daemon;
	return ERR_NONE;
}

void daemon_destroy(struct daemon *daemon)
{
	if (!daemon)
		return;
	timer_cancel(&daemon->shut_down_timer);
	timer_cancel(&daemon->members_timer);
	timer_cancel(&daemon->slots_timer);
	/*
	 * The server is destroyed first, as none of its events may reach the
	 * gateway while the gateway is freed. The gateway is destroyed before
	 * the peers and the platform, which it uses.
	 */
	ingress_server_destroy(daemon->server);
	gateway_destroy(daemon->gateway);
	gossip_node_destroy(daemon->peers);
	lease_destroy(daemon->lease);
	mgr_manager_destroy(daemon->manager);
	sync_destroy(daemon->sync);
	platform_destroy(daemon->platform);
	reload_destroy(daemon->reload);
	g_strfreev(daemon->key_checksums);
	signing_trust_store_destroy(daemon->trust);
	g_free(daemon);
}
