#include "hcl.h"

#include <arpa/inet.h>
#include <h2o/http1client.h>
#include <h2o/socketpool.h>
#include <string.h>

/* Backstop only: each call has a deadline of its own that is shorter. */
#define HCL_IO_TIMEOUT_MS 600000
/* h2o 2.2.5 does not enforce a pool's capacity; hcl_request.reuse_max does. */
#define HCL_POOL_CAPACITY 64
/* An address without calls for this long loses its pool. */
#define HCL_HOST_UNUSED_MS 10000
/* Room for a request's head; longer ones grow the buffer. */
#define HCL_HEAD_ROOM_BYTES 512

/* An address whose connections may be reused. */
struct hcl_host {
	uint64_t key;
	h2o_socketpool_t pool;
	uint32_t calls;
	uint64_t used_ms;
};

struct hcl_client {
	struct evl_loop *loop;
	h2o_timeout_t io_timeout;
	h2o_http1client_ctx_t ctx;
	/* address to struct hcl_host */
	GHashTable *hosts;
	struct tmr_entry sweep_timer;
	uint32_t idle_max_ms;
	struct hcl_counts counts;
};

struct hcl_call {
	struct hcl_client *client;
	/* NULL for a connection of the call's own */
	struct hcl_host *host;
	h2o_http1client_t *h2o;
	hcl_cb cb;
	void *data;
	struct tmr_entry timer;
	GString *request;
	h2o_iovec_t request_vec;
	bool is_head;
	bool sent;
	/* h2o may call back before it has returned the client */
	bool starting;
	uint16_t status;
	bool length_known;
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

static struct hcl_host *host_find(const struct hcl_client *client,
				  const char *ip, uint16_t port)
{
	uint64_t key = host_key(ip, port);

	return g_hash_table_lookup(client->hosts, &key);
}

static void host_free(gpointer data)
{
	struct hcl_host *host = data;

	h2o_socketpool_dispose(&host->pool);
	g_free(host);
}

static void host_add(struct hcl_client *client, const char *ip, uint16_t port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port) };
	struct hcl_host *host = g_new0(struct hcl_host, 1);

	inet_pton(AF_INET, ip, &addr.sin_addr);
	host->key = host_key(ip, port);
	host->used_ms = evl_now_ms();
	h2o_socketpool_init_by_address(&host->pool, (struct sockaddr *)&addr,
				       sizeof(addr), 0, HCL_POOL_CAPACITY);
	h2o_socketpool_set_timeout(&host->pool, client->ctx.loop,
				   client->idle_max_ms);
	g_hash_table_insert(client->hosts, &host->key, host);
}

static gboolean host_is_unused(gpointer key, gpointer value, gpointer data)
{
	const struct hcl_host *host = value;
	const uint64_t *now_ms = data;

	return host->calls == 0 && *now_ms - host->used_ms > HCL_HOST_UNUSED_MS;
}

static void on_sweep(void *data)
{
	struct hcl_client *client = data;
	uint64_t now_ms = evl_now_ms();

	g_hash_table_foreach_remove(client->hosts, host_is_unused, &now_ms);
	if (g_hash_table_size(client->hosts) > 0)
		evl_timer_set(client->loop, &client->sweep_timer,
			      HCL_HOST_UNUSED_MS);
}

void hcl_client_set_reuse(struct hcl_client *client, const char *ip,
			  uint16_t port, bool reuse)
{
	struct hcl_host *host = host_find(client, ip, port);

	if (reuse && !host) {
		host_add(client, ip, port);
		if (!tmr_is_set(&client->sweep_timer))
			evl_timer_set(client->loop, &client->sweep_timer,
				      HCL_HOST_UNUSED_MS);
	}
	/* With calls in progress the pool stays until it is unused. */
	if (!reuse && host && host->calls == 0)
		g_hash_table_remove(client->hosts, &host->key);
}

void hcl_client_set_idle_max(struct hcl_client *client, uint32_t idle_max_ms)
{
	client->idle_max_ms = idle_max_ms;
}

bool hcl_client_reuses(const struct hcl_client *client, const char *ip,
		       uint16_t port)
{
	return host_find(client, ip, port) != NULL;
}

struct hcl_client *hcl_client_create(struct evl_loop *loop)
{
	struct hcl_client *client = g_new0(struct hcl_client, 1);

	client->loop = loop;
	client->idle_max_ms = HCL_IDLE_MAX_MS;
	h2o_timeout_init(evl_loop_h2o(loop), &client->io_timeout,
			 HCL_IO_TIMEOUT_MS);
	client->ctx.loop = evl_loop_h2o(loop);
	client->ctx.io_timeout = &client->io_timeout;
	client->hosts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      host_free);
	client->sweep_timer.cb = on_sweep;
	client->sweep_timer.data = client;
	return client;
}

void hcl_client_destroy(struct hcl_client *client)
{
	if (!client)
		return;
	tmr_cancel(&client->sweep_timer);
	g_hash_table_unref(client->hosts);
	h2o_timeout_dispose(client->ctx.loop, &client->io_timeout);
	g_free(client);
}

static void call_free(struct hcl_call *call)
{
	tmr_cancel(&call->timer);
	if (call->host) {
		call->host->calls--;
		call->host->used_ms = evl_now_ms();
	}
	g_string_free(call->request, TRUE);
	g_byte_array_unref(call->body);
	g_array_unref(call->headers);
	g_string_chunk_free(call->strings);
	g_free(call);
}

static void call_finish(struct hcl_call *call, enum err_kind err)
{
	struct hcl_answer answer = {
		.status = call->status,
		.headers = (const struct hcl_header *)call->headers->data,
		.header_count = call->headers->len,
		.body = call->body->data,
		.body_len = call->body->len,
	};

	tmr_cancel(&call->timer);
	call->cb(call->data, err, call->sent, err == ERR_NONE ? &answer : NULL);
	call_free(call);
}

static void on_timeout(void *data)
{
	struct hcl_call *call = data;

	if (call->h2o)
		h2o_http1client_cancel(call->h2o);
	call_finish(call, call->sent ? ERR_TIMEOUT : ERR_CONNECT);
}

static bool body_append(struct hcl_call *call)
{
	h2o_buffer_t **input = &call->h2o->sock->input;
	size_t size = (*input)->size;

	if (call->body->len + size > call->answer_max_bytes)
		return false;
	if (size > 0)
		g_byte_array_append(call->body, (guint8 *)(*input)->bytes,
				    (guint)size);
	call->client->counts.bytes_received += size;
	h2o_buffer_consume(input, size);
	return true;
}

static int on_body(h2o_http1client_t *client, const char *errstr)
{
	struct hcl_call *call = client->data;
	bool fits = body_append(call);

	if (!fits) {
		call_finish(call, ERR_TOO_LARGE);
		return -1;
	}
	if (!errstr)
		return 0;
	/* Without a length or chunks the end of the stream may be a cut. */
	if (errstr == h2o_http1client_error_is_eos && call->length_known)
		call_finish(call, ERR_NONE);
	else
		call_finish(call, ERR_CUT);
	return 0;
}

static void headers_copy(struct hcl_call *call, const h2o_header_t *headers,
			 size_t count)
{
	for (size_t i = 0; i < count; i++) {
		struct hcl_header copy = {
			.name = g_string_chunk_insert_len(
				call->strings, headers[i].name->base,
				(gssize)headers[i].name->len),
			.value = g_string_chunk_insert_len(
				call->strings, headers[i].value.base,
				(gssize)headers[i].value.len),
		};

		if (strcmp(copy.name, "content-length") == 0 ||
		    strcmp(copy.name, "transfer-encoding") == 0)
			call->length_known = true;
		g_array_append_val(call->headers, copy);
		/* Each line has ": " and an end of line beside its texts. */
		call->client->counts.bytes_received +=
			headers[i].name->len + headers[i].value.len + 4;
	}
}

static bool status_has_no_body(uint16_t status)
{
	return status == 204 || status == 304;
}

static h2o_http1client_body_cb on_head(h2o_http1client_t *client,
				       const char *errstr, int minor_version,
				       int status, h2o_iovec_t msg,
				       h2o_header_t *headers, size_t count,
				       int rlen)
{
	struct hcl_call *call = client->data;

	if (errstr && errstr != h2o_http1client_error_is_eos) {
		call_finish(call, ERR_CUT);
		return NULL;
	}
	call->status = (uint16_t)status;
	headers_copy(call, headers, count);
	if (call->is_head || status_has_no_body(call->status))
		call->length_known = true;
	if (errstr == h2o_http1client_error_is_eos) {
		call_finish(call, call->length_known ? ERR_NONE : ERR_CUT);
		return NULL;
	}
	return on_body;
}

static void connect_fail(struct hcl_call *call)
{
	call->h2o = NULL;
	if (!call->starting) {
		call_finish(call, ERR_CONNECT);
		return;
	}
	/* The callback never runs within the call that starts. */
	evl_timer_set(call->client->loop, &call->timer, 0);
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *client, const char *errstr, h2o_iovec_t **reqbufs,
	   size_t *reqbufcnt, int *method_is_head)
{
	struct hcl_call *call = client->data;

	/*
	 * The process may have been paused since it decided to send. h2o
	 * closes the client when this callback returns NULL.
	 */
	if (errstr ||
	    (call->may_send && !call->may_send(call->may_send_data))) {
		connect_fail(call);
		return NULL;
	}
	call->sent = true;
	tmr_set(evl_loop_timers(call->client->loop), &call->timer,
		call->deadline_ms);
	call->client->counts.calls++;
	call->client->counts.bytes_sent += call->request->len;
	call->request_vec =
		h2o_iovec_init(call->request->str, call->request->len);
	*reqbufs = &call->request_vec;
	*reqbufcnt = 1;
	*method_is_head = call->is_head;
	return on_head;
}

static void header_append(GString *out, const char *name, const char *value)
{
	g_string_append(out, name);
	g_string_append_len(out, ": ", 2);
	g_string_append(out, value);
	g_string_append_len(out, "\r\n", 2);
}

static void host_header_append(GString *out, const struct hcl_request *request)
{
	char port[8];

	g_snprintf(port, sizeof(port), ":%u", (unsigned int)request->port);
	g_string_append(out, "host: ");
	g_string_append(out, request->ip);
	g_string_append(out, port);
	g_string_append_len(out, "\r\n", 2);
}

static GString *request_encode(const struct hcl_request *request, bool reuse)
{
	GString *out =
		g_string_sized_new(HCL_HEAD_ROOM_BYTES + request->body_len);
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

static uint32_t connect_bound_ms(const struct hcl_request *request)
{
	if (request->connect_timeout_ms == 0)
		return request->timeout_ms;
	return MIN(request->connect_timeout_ms, request->timeout_ms);
}

struct hcl_call *hcl_call_start(struct hcl_client *client,
				const struct hcl_request *request, hcl_cb cb,
				void *data)
{
	struct hcl_call *call = g_new0(struct hcl_call, 1);

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
	call->answer_max_bytes = request->answer_max_bytes;
	call->may_send = request->may_send;
	call->may_send_data = request->may_send_data;
	call->body = g_byte_array_new();
	call->headers = g_array_new(FALSE, FALSE, sizeof(struct hcl_header));
	call->strings = g_string_chunk_new(1024);
	call->deadline_ms = evl_now_ms() + request->timeout_ms;
	evl_timer_set(client->loop, &call->timer, connect_bound_ms(request));
	call->starting = true;
	if (call->host)
		h2o_http1client_connect_with_pool(
			&call->h2o, call, &client->ctx, &call->host->pool,
			on_connect);
	else
		h2o_http1client_connect(
			&call->h2o, call, &client->ctx,
			h2o_iovec_init(request->ip, strlen(request->ip)),
			request->port, 0, on_connect);
	call->starting = false;
	return call;
}

void hcl_call_cancel(struct hcl_call *call)
{
	if (!call)
		return;
	if (call->h2o)
		h2o_http1client_cancel(call->h2o);
	call_free(call);
}

const struct hcl_counts *hcl_client_counts(const struct hcl_client *client)
{
	return &client->counts;
}

const char *hcl_answer_header(const struct hcl_answer *answer, const char *name)
{
	for (size_t i = 0; i < answer->header_count; i++) {
		if (strcmp(answer->headers[i].name, name) == 0)
			return answer->headers[i].value;
	}
	return NULL;
}
