#include <jansson.h>
#include <string.h>

#include "daemon_private.h"

static void health_page(struct daemon *daemon,
			struct ingress_response *response, GString *body)
{
	const char *text = "ready\n";

	if (daemon->shutting_down)
		text = "shutting down\n";
	else if (!sync_bundle(daemon->sync))
		text = "no bundle in force\n";
	else if (!daemon_may_dispatch(daemon))
		text = "view of the fleet is stale\n";
	response->status = strcmp(text, "ready\n") == 0 ? 200 : 503;
	g_string_append(body, text);
}

static void metrics_page(struct daemon *daemon, GString *body)
{
	const struct gossip_counts *peers = gossip_node_counts(daemon->peers);
	const struct http_client_counts *platform =
		platform_byte_counts(daemon->platform);
	uint64_t calls;
	uint64_t limited;

	counter_render(&daemon->counters, body);
	loop_metrics_append(daemon->loop, body);
	reload_metrics_append(daemon->reload, body);
	gateway_metrics_render(daemon->gateway, body);
	mgr_metrics_render(daemon->manager, body);
	platform_call_counts(daemon->platform, &calls, &limited);
	ingress_server_metrics_append(daemon->server, "callers", body);
	counter_render_gauge(body, "platform_calls_total", calls);
	counter_render_gauge(body, "platform_rate_limited_total", limited);
	counter_render_gauge(body, "platform_bytes_sent_total",
			     platform->bytes_sent);
	counter_render_gauge(body, "platform_bytes_received_total",
			     platform->bytes_received);
	counter_render_gauge(body, "peer_bytes_sent_total", peers->bytes_sent);
	counter_render_gauge(body, "peer_bytes_received_total",
			     peers->bytes_received);
	counter_render_gauge(body, "peers_live",
			     gossip_node_live_count(daemon->peers));
	counter_render_gauge(body, "peer_datagrams_sent_total", peers->sent);
	counter_render_gauge(body, "peer_datagrams_received_total",
			     peers->received);
	counter_render_gauge(body, "peer_datagrams_dropped_total",
			     peers->dropped);
}

static void status_page(struct daemon *daemon, GString *body)
{
	const struct head_state *head = sync_head_state(daemon->sync);
	const struct bundle *bundle = sync_bundle(daemon->sync);
	json_t *root = json_pack(
		"{s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:b, s:b, s:s}", "id",
		daemon->self.id, "incarnation",
		(json_int_t)daemon->self.incarnation, "roll",
		(json_int_t)head->applied_roll, "known_roll",
		(json_int_t)head->known.roll, "applied_at_ms",
		(json_int_t)sync_applied_at_ms(daemon->sync), "version",
		(json_int_t)(bundle ? bundle->version : 0), "placement",
		(json_int_t)head->applied_placement, "manager",
		mgr_manager_is_active(daemon->manager), "may_dispatch",
		daemon_may_dispatch(daemon), "availability_zone",
		daemon->settings->availability_zone);
	char *text = json_dumps(root, JSON_COMPACT);

	g_string_append_printf(body, "%s\n", text);
	free(text);
	json_decref(root);
}

bool daemon_page_serve(void *data, const char *path,
		       struct ingress_response *response, GString *body)
{
	struct daemon *daemon = data;

	if (strcmp(path, "/healthz") == 0)
		health_page(daemon, response, body);
	else if (strcmp(path, "/metrics") == 0)
		metrics_page(daemon, body);
	else if (strcmp(path, "/status") == 0)
		status_page(daemon, body);
	else
		return false;
	return true;
}
