#include "http_client.h"

#include <arpa/inet.h>
#include <string.h>

#include "http_conn.h"

/* An address without calls for this long loses its connections. */
#define HTTP_CLIENT_HOST_UNUSED_MS 10000
/* Idle connections are looked through this often. */
#define HTTP_CLIENT_SWEEP_MS 1000
/* A connection that was used this recently needs no question to the kernel:
 * a server's idle timeout is far longer, and the loop tells of a close. */
#define HTTP_CLIENT_FRESH_MS 50
/* Room for a request's head; longer ones grow the buffer. */
#define HTTP_CLIENT_HEAD_ROOM_BYTES 512

/* An address whose connections may be reused. */
struct http_client_host {
	struct http_client *client;
	uint64_t key;
	/* of struct http_client_idle, the one used last at the head */
	GQueue idle;
	uint32_t calls;
	uint64_t used_ms;
};

/* A connection that waits for its next call. */
struct http_client_idle {
	struct http_client_host *host;
	struct http_conn *conn;
	uint64_t since_ms;
	GList link;
};

struct http_client {
	struct loop *loop;
	/* address to struct http_client_host */
	GHashTable *hosts;
	struct timer sweep_timer;
	uint32_t idle_max_ms;
	struct http_client_counts counts;
};

struct http_client_call {
	struct http_client *client;
	/* NULL for a connection of the call's own */
	struct http_client_host *host;
	/* NULL once the call has failed to get one */
	struct http_conn *conn;
	http_client_cb cb;
	void *data;
	struct timer timer;
	GString *request;
	bool is_head;
	bool sent;
	uint16_t status;
	size_t answer_max_bytes;
	bool (*may_send)(void *data);
	void *may_send_data;
	uint64_t deadline_ms;
	GByteArray *body;
	GArray *headers;
	GStringChunk *strings;
};

static uint64_t host_key(const char *ip, uint16_t port)
{
	struct in_addr addr = { 0 };

	inet_pton(AF_INET, ip, &addr);
	return (uint64_t)addr.s_addr << 16 | port;
}

static struct http_client_host *host_find(const struct http_client *client,
					  const char *ip, uint16_t port)
{
	uint64_t key = host_key(ip, port);

	return g_hash_table_lookup(client->hosts, &key);
}

static void idle_close(struct http_client_idle *idle)
{
	g_queue_unlink(&idle->host->idle, &idle->link);
	http_conn_close(idle->conn);
	g_free(idle);
}

static void host_free(gpointer data)
{
	struct http_client_host *host = data;

	while (host->idle.head)
		idle_close(host->idle.head->data);
	g_free(host);
}

static void host_add(struct http_client *client, const char *ip, uint16_t port)
{
	struct http_client_host *host = g_new0(struct http_client_host, 1);

	host->client = client;
	host->key = host_key(ip, port);
	host->used_ms = loop_now_ms();
	g_queue_init(&host->idle);
	g_hash_table_insert(client->hosts, &host->key, host);
}

static void idle_add(struct http_client_host *host, struct http_conn *conn)
{
	struct http_client_idle *idle = g_new0(struct http_client_idle, 1);

	idle->host = host;
	idle->conn = conn;
	idle->since_ms = loop_now_ms();
	idle->link.data = idle;
	http_conn_set_callback_data(conn, idle);
	g_queue_push_head_link(&host->idle, &idle->link);
}

/* Takes the connection that was used last, NULL for none that is open. */
static struct http_conn *idle_take(struct http_client_host *host)
{
	while (host->idle.head) {
		struct http_client_idle *idle = host->idle.head->data;
		uint64_t past_ms = loop_now_ms() - idle->since_ms;
		struct http_conn *conn = idle->conn;

		if (past_ms <= host->client->idle_max_ms &&
		    (past_ms <= HTTP_CLIENT_FRESH_MS ||
		     http_conn_is_open(conn))) {
			g_queue_unlink(&host->idle, &idle->link);
			g_free(idle);
			return conn;
		}
		idle_close(idle);
	}
	return NULL;
}

static gboolean host_sweep(gpointer key, gpointer value, gpointer data)
{
	struct http_client_host *host = value;
	const uint64_t *now_ms = data;

	while (host->idle.tail) {
		struct http_client_idle *idle = host->idle.tail->data;

		if (*now_ms - idle->since_ms <= host->client->idle_max_ms)
			break;
		idle_close(idle);
	}
	return host->calls == 0 && host->idle.length == 0 &&
	       *now_ms - host->used_ms > HTTP_CLIENT_HOST_UNUSED_MS;
}

static void on_sweep(void *data)
{
	struct http_client *client = data;
	uint64_t now_ms = loop_now_ms();

	g_hash_table_foreach_remove(client->hosts, host_sweep, &now_ms);
	if (g_hash_table_size(client->hosts) > 0)
		loop_timer_set(client->loop, &client->sweep_timer,
			       HTTP_CLIENT_SWEEP_MS);
}

void http_client_set_reuse(struct http_client *client, const char *ip,
			   uint16_t port, bool reuse)
{
	struct http_client_host *host = host_find(client, ip, port);

	if (reuse && !host) {
		host_add(client, ip, port);
		if (!timer_is_set(&client->sweep_timer))
			loop_timer_set(client->loop, &client->sweep_timer,
				       HTTP_CLIENT_SWEEP_MS);
	}
	/* With calls in progress the address stays until it is unused. */
	if (!reuse && host && host->calls == 0)
		g_hash_table_remove(client->hosts, &host->key);
}

void http_client_set_idle_max(struct http_client *client, uint32_t idle_max_ms)
{
	client->idle_max_ms = idle_max_ms;
}

bool http_client_reuse_is_allowed(const struct http_client *client,
				  const char *ip, uint16_t port)
{
	return host_find(client, ip, port) != NULL;
}

struct http_client *http_client_create(struct loop *loop)
{
	struct http_client *client = g_new0(struct http_client, 1);

	client->loop = loop;
	client->idle_max_ms = HTTP_CLIENT_IDLE_MAX_MS;
	client->hosts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      host_free);
	client->sweep_timer.cb = on_sweep;
	client->sweep_timer.data = client;
	return client;
}

void http_client_destroy(struct http_client *client)
{
	if (!client)
		return;
	timer_cancel(&client->sweep_timer);
	g_hash_table_unref(client->hosts);
	g_free(client);
}

static void call_free(struct http_client_call *call)
{
	timer_cancel(&call->timer);
	if (call->host) {
		call->host->calls--;
		call->host->used_ms = loop_now_ms();
	}
	g_string_free(call->request, TRUE);
	g_byte_array_unref(call->body);
	g_array_unref(call->headers);
	g_string_chunk_free(call->strings);
	g_free(call);
}

static void call_finish(struct http_client_call *call, enum err_kind err)
{
	struct http_client_response answer = {
		.status = call->status,
		.headers =
			(const struct http_client_header *)call->headers->data,
		.header_count = call->headers->len,
		.body = call->body->data,
		.body_len = call->body->len,
	};

	timer_cancel(&call->timer);
	call->cb(call->data, err, call->sent, err == ERR_NONE ? &answer : NULL);
	call_free(call);
}

static void on_timeout(void *data)
{
	struct http_client_call *call = data;

	http_conn_close(call->conn);
	call_finish(call, call->sent ? ERR_TIMEOUT : ERR_CONNECT);
}

static void on_header(void *data, const char *name, const char *value)
{
	struct http_client_call *call = data;
	struct http_client_header copy = {
		.name = g_string_chunk_insert(call->strings, name),
		.value = g_string_chunk_insert(call->strings, value),
	};

	g_array_append_val(call->headers, copy);
	/* Each line has ": " and an end of line beside its texts. */
	call->client->counts.bytes_received +=
		strlen(copy.name) + strlen(copy.value) + 4;
}

static bool on_body(void *data, const char *bytes, size_t len)
{
	struct http_client_call *call = data;

	if (call->body->len + len > call->answer_max_bytes)
		return false;
	g_byte_array_append(call->body, (const guint8 *)bytes, (guint)len);
	call->client->counts.bytes_received += len;
	return true;
}

static void on_end(void *data, enum err_kind err, uint16_t status,
		   bool reusable)
{
	struct http_client_call *call = data;

	if (reusable && call->host)
		idle_add(call->host, call->conn);
	else
		http_conn_close(call->conn);
	call->status = status;
	call_finish(call, err);
}

static void on_idle_end(void *data)
{
	idle_close(data);
}

/* Sends the request, or closes the connection if it may not be sent any more:
 * the process may have been paused since it decided to. */
static bool request_send(struct http_client_call *call)
{
	if (call->may_send && !call->may_send(call->may_send_data)) {
		http_conn_close(g_steal_pointer(&call->conn));
		return false;
	}
	call->sent = true;
	timer_set(loop_timers(call->client->loop), &call->timer,
		  call->deadline_ms);
	call->client->counts.calls++;
	call->client->counts.bytes_sent += call->request->len;
	http_conn_send(call->conn, call->request, call->is_head);
	return true;
}

static void on_open(void *data, bool open)
{
	struct http_client_call *call = data;

	if (!open)
		http_conn_close(g_steal_pointer(&call->conn));
	if (!open || !request_send(call))
		call_finish(call, ERR_CONNECT);
}

static const struct http_conn_ops conn_ops = {
	.on_open = on_open,
	.on_header = on_header,
	.on_body = on_body,
	.on_end = on_end,
	.on_idle_end = on_idle_end,
};

/* Uses a kept connection or opens one. */
static void conn_get(struct http_client_call *call,
		     const struct http_client_request *request)
{
	call->conn = call->host ? idle_take(call->host) : NULL;
	if (call->conn) {
		http_conn_set_callback_data(call->conn, call);
		request_send(call);
	} else {
		call->conn = http_conn_open(call->client->loop, request->ip,
					    request->port, &conn_ops, call);
	}
	/* The callback never runs within the call that starts. */
	if (!call->conn)
		loop_timer_set(call->client->loop, &call->timer, 0);
}

static void header_append(GString *out, const char *name, const char *value)
{
	g_string_append(out, name);
	g_string_append_len(out, ": ", 2);
	g_string_append(out, value);
	g_string_append_len(out, "\r\n", 2);
}

static void host_header_append(GString *out,
			       const struct http_client_request *request)
{
	char port[8];

	g_snprintf(port, sizeof(port), ":%u", (unsigned int)request->port);
	g_string_append(out, "host: ");
	g_string_append(out, request->ip);
	g_string_append(out, port);
	g_string_append_len(out, "\r\n", 2);
}

static GString *request_encode(const struct http_client_request *request,
			       bool reuse)
{
	GString *out = g_string_sized_new(HTTP_CLIENT_HEAD_ROOM_BYTES +
					  request->body_len);
	char length[24];

	g_string_append(out, request->method);
	g_string_append_c(out, ' ');
	g_string_append(out, request->path);
	g_string_append(out, " HTTP/1.1\r\n");
	host_header_append(out, request);
	for (size_t i = 0; i < request->header_count; i++)
		header_append(out, request->headers[i].name,
			      request->headers[i].value);
	g_snprintf(length, sizeof(length), "%zu", request->body_len);
	header_append(out, "content-length", length);
	if (!reuse)
		header_append(out, "connection", "close");
	g_string_append_len(out, "\r\n", 2);
	if (request->body_len > 0)
		g_string_append_len(out, request->body,
				    (gssize)request->body_len);
	return out;
}

static uint32_t connect_bound_ms(const struct http_client_request *request)
{
	if (request->connect_timeout_ms == 0)
		return request->timeout_ms;
	return MIN(request->connect_timeout_ms, request->timeout_ms);
}

struct http_client_call *
http_client_call_start(struct http_client *client,
		       const struct http_client_request *request,
		       http_client_cb cb, void *data)
{
	struct http_client_call *call = g_new0(struct http_client_call, 1);

	call->client = client;
	call->cb = cb;
	call->data = data;
	call->timer.cb = on_timeout;
	call->timer.data = call;
	call->host = host_find(client, request->ip, request->port);
	/* A kept connection is idle or in use by a call that counts here. */
	if (call->host && call->host->calls >= request->reuse_max)
		call->host = NULL;
	if (call->host)
		call->host->calls++;
	call->request = request_encode(request, call->host != NULL);
	call->is_head = strcmp(request->method, "HEAD") == 0;
	call->answer_max_bytes = request->response_max_bytes;
	call->may_send = request->may_send;
	call->may_send_data = request->may_send_data;
	call->body = g_byte_array_new();
	call->headers =
		g_array_new(FALSE, FALSE, sizeof(struct http_client_header));
	call->strings = g_string_chunk_new(1024);
	call->deadline_ms = loop_now_ms() + request->timeout_ms;
	loop_timer_set(client->loop, &call->timer, connect_bound_ms(request));
	conn_get(call, request);
	return call;
}

void http_client_call_cancel(struct http_client_call *call)
{
	if (!call)
		return;
	http_conn_close(call->conn);
	call_free(call);
}

const struct http_client_counts *
http_client_counts(const struct http_client *client)
{
	return &client->counts;
}

const char *
http_client_response_header(const struct http_client_response *answer,
			    const char *name)
{
	for (size_t i = 0; i < answer->header_count; i++) {
		if (strcmp(answer->headers[i].name, name) == 0)
			return answer->headers[i].value;
	}
	return NULL;
}
