#include "platform_etcd.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <string.h>

#include "http_client.h"
#include "etcd_json.h"

/* Values may be up to 1 MB, and base64 adds a third. */
#define ETCD_RESPONSE_MAX_BYTES (16u * 1024u * 1024u)
#define ETCD_PATH_MAX_BYTES 256

struct etcd {
	struct http_client *http;
	char *ip;
	uint16_t port;
	uint32_t timeout_ms;
	GQueue calls;
};

/* A call in flight; exactly one of the callbacks is set. */
struct etcd_call {
	struct etcd *etcd;
	struct http_client_call *http;
	platform_cb cb;
	platform_lease_cb lease_cb;
	platform_vms_cb vms_cb;
	platform_action_cb action_cb;
	void *data;
};

static enum err_kind
etcd_create(struct loop *loop, const struct platform_config *config, void **out)
{
	struct in_addr addr;
	struct etcd *etcd;

	if (inet_pton(AF_INET, config->ip, &addr) != 1 || config->port == 0)
		return ERR_INVALID;
	etcd = g_new0(struct etcd, 1);
	etcd->http = http_client_create(loop);
	etcd->ip = g_strdup(config->ip);
	etcd->port = config->port;
	etcd->timeout_ms = config->timeout_ms;
	g_queue_init(&etcd->calls);
	*out = etcd;
	return ERR_NONE;
}

static void call_cancel(gpointer data)
{
	struct etcd_call *call = data;

	http_client_call_cancel(call->http);
	g_free(call);
}

static void etcd_destroy(void *self)
{
	struct etcd *etcd = self;

	g_queue_clear_full(&etcd->calls, call_cancel);
	http_client_destroy(etcd->http);
	g_free(etcd->ip);
	g_free(etcd);
}

static const struct http_client_counts *etcd_counts(const void *self)
{
	const struct etcd *etcd = self;

	return http_client_counts(etcd->http);
}

static void call_fail(const struct etcd_call *call, enum err_kind err)
{
	if (call->cb)
		call->cb(call->data, err, NULL);
	else if (call->lease_cb)
		call->lease_cb(call->data, err, 0, 0);
	else if (call->vms_cb)
		call->vms_cb(call->data, err, NULL, 0);
	else if (call->action_cb)
		call->action_cb(call->data, err);
}

static void result_deliver(const struct etcd_call *call, const json_t *root)
{
	struct etcd_json_result parsed;
	enum err_kind err = etcd_json_result_parse(root, &parsed);

	call->cb(call->data, err, err == ERR_NONE ? &parsed.result : NULL);
	etcd_json_result_clear(&parsed);
}

static void lease_deliver(const struct etcd_call *call, const json_t *root)
{
	int64_t lease;
	uint32_t ttl_s;
	enum err_kind err = etcd_json_lease_parse(root, &lease, &ttl_s);

	call->lease_cb(call->data, err, lease, ttl_s);
}

static void vms_deliver(const struct etcd_call *call, const json_t *root)
{
	g_autoptr(GArray) vms = NULL;
	enum err_kind err = etcd_json_vms_parse(root, &vms);

	call->vms_cb(call->data, err,
		     vms ? (const struct platform_vm *)vms->data : NULL,
		     vms ? vms->len : 0);
}

static void response_deliver(const struct etcd_call *call,
			     const struct http_client_response *response)
{
	json_t *root;

	if (response->status != 200) {
		call_fail(call, response->status == 404 ? ERR_NOT_FOUND
							: ERR_UNAVAILABLE);
		return;
	}
	if (call->action_cb) {
		call->action_cb(call->data, ERR_NONE);
		return;
	}
	root = json_loadb(response->body, response->body_len, 0, NULL);
	if (!root) {
		call_fail(call, ERR_MALFORMED);
		return;
	}
	if (call->cb)
		result_deliver(call, root);
	else if (call->lease_cb)
		lease_deliver(call, root);
	else
		vms_deliver(call, root);
	json_decref(root);
}

static void on_response(void *data, enum err_kind err, bool sent,
			const struct http_client_response *response)
{
	struct etcd_call *call = data;

	g_queue_remove(&call->etcd->calls, call);
	if (err != ERR_NONE)
		call_fail(call, err);
	else
		response_deliver(call, response);
	g_free(call);
}

/* Sends a POST with the JSON body and releases the body, or sends a GET if body
 * is NULL. */
static void call_send(struct etcd *etcd, const char *path, json_t *body,
		      const struct etcd_call *callbacks)
{
	static const struct http_client_header headers[] = {
		{ "content-type", "application/json" },
	};
	struct etcd_call *call = g_memdup2(callbacks, sizeof(*callbacks));
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	const struct http_client_request request = {
		.method = body ? "POST" : "GET",
		.path = path,
		.ip = etcd->ip,
		.port = etcd->port,
		.headers = headers,
		.header_count = G_N_ELEMENTS(headers),
		.body = text,
		.body_len = text ? strlen(text) : 0,
		.timeout_ms = etcd->timeout_ms,
		.response_max_bytes = ETCD_RESPONSE_MAX_BYTES,
	};

	call->etcd = etcd;
	g_queue_push_tail(&etcd->calls, call);
	call->http =
		http_client_call_start(etcd->http, &request, on_response, call);
	free(text);
	json_decref(body);
}

static void etcd_range(void *self, const char *key, bool prefix, platform_cb cb,
		       void *data)
{
	call_send(self, "/v3/kv/range", etcd_json_range_build(key, prefix),
		  &(struct etcd_call){ .cb = cb, .data = data });
}

static void etcd_txn(void *self, const struct platform_txn *txn, platform_cb cb,
		     void *data)
{
	call_send(self, "/v3/kv/txn", etcd_json_txn_build(txn),
		  &(struct etcd_call){ .cb = cb, .data = data });
}

static void etcd_lease_grant(void *self, uint32_t ttl_s, platform_lease_cb cb,
			     void *data)
{
	call_send(self, "/v3/lease/grant",
		  json_pack("{s:o, s:s}", "TTL", etcd_json_int64_build(ttl_s),
			    "ID", "0"),
		  &(struct etcd_call){ .lease_cb = cb, .data = data });
}

static void etcd_lease_keep_alive(void *self, int64_t lease,
				  platform_lease_cb cb, void *data)
{
	call_send(self, "/v3/lease/keepalive",
		  json_pack("{s:o}", "ID", etcd_json_int64_build(lease)),
		  &(struct etcd_call){ .lease_cb = cb, .data = data });
}

static void etcd_lease_revoke(void *self, int64_t lease, platform_lease_cb cb,
			      void *data)
{
	call_send(self, "/v3/lease/revoke",
		  json_pack("{s:o}", "ID", etcd_json_int64_build(lease)),
		  &(struct etcd_call){ .lease_cb = cb, .data = data });
}

static void etcd_vm_list(void *self, platform_vms_cb cb, void *data)
{
	call_send(self, "/vms", NULL,
		  &(struct etcd_call){ .vms_cb = cb, .data = data });
}

static void etcd_vm_action(void *self, const char *vm,
			   enum platform_action action, const char *intent,
			   platform_action_cb cb, void *data)
{
	char path[ETCD_PATH_MAX_BYTES];

	g_snprintf(path, sizeof(path), "/vms/%s/%s", vm,
		   platform_action_name(action));
	call_send(self, path, json_pack("{s:s}", "intent", intent),
		  &(struct etcd_call){ .action_cb = cb, .data = data });
}

const struct platform_ops platform_etcd_ops = {
	.name = "etcd",
	.create = etcd_create,
	.destroy = etcd_destroy,
	.counts = etcd_counts,
	.range = etcd_range,
	.txn = etcd_txn,
	.lease_grant = etcd_lease_grant,
	.lease_keep_alive = etcd_lease_keep_alive,
	.lease_revoke = etcd_lease_revoke,
	.vm_list = etcd_vm_list,
	.vm_action = etcd_vm_action,
};
