#include "hcl.h"

#include <h2o/http1client.h>
#include <string.h>

/* Backstop only: each call has a deadline of its own that is shorter. */
#define HCL_IO_TIMEOUT_MS 600000

struct hcl_client {
	struct evl_loop *loop;
	h2o_timeout_t io_timeout;
	h2o_http1client_ctx_t ctx;
};

struct hcl_call {
	struct hcl_client *client;
	h2o_http1client_t *h2o;
	hcl_cb cb;
	void *data;
	struct tmr_entry timer;
	GByteArray *request;
	h2o_iovec_t request_vec;
	bool is_head;
	bool sent;
	/* h2o may report a failed connect before it has returned the client */
	bool starting;
	bool failed_at_start;
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

struct hcl_client *hcl_client_create(struct evl_loop *loop)
{
	struct hcl_client *client = g_new0(struct hcl_client, 1);

	client->loop = loop;
	h2o_timeout_init(evl_loop_h2o(loop), &client->io_timeout,
			 HCL_IO_TIMEOUT_MS);
	client->ctx.loop = evl_loop_h2o(loop);
	client->ctx.io_timeout = &client->io_timeout;
	return client;
}

void hcl_client_destroy(struct hcl_client *client)
{
	if (!client)
		return;
	h2o_timeout_dispose(client->ctx.loop, &client->io_timeout);
	g_free(client);
}

static void call_free(struct hcl_call *call)
{
	tmr_cancel(&call->timer);
	g_byte_array_unref(call->request);
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

	if (!call->failed_at_start)
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

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *client, const char *errstr, h2o_iovec_t **reqbufs,
	   size_t *reqbufcnt, int *method_is_head)
{
	struct hcl_call *call = client->data;

	if (errstr && call->starting) {
		call->failed_at_start = true;
		evl_timer_set(call->client->loop, &call->timer, 0);
		return NULL;
	}
	if (errstr) {
		call_finish(call, ERR_CONNECT);
		return NULL;
	}
	/* The process may have been paused since it decided to send. */
	if (call->may_send && !call->may_send(call->may_send_data)) {
		/* h2o closes the connection when NULL is returned. */
		call_finish(call, ERR_CONNECT);
		return NULL;
	}
	call->sent = true;
	tmr_set(evl_loop_timers(call->client->loop), &call->timer,
		call->deadline_ms);
	call->request_vec =
		h2o_iovec_init(call->request->data, call->request->len);
	*reqbufs = &call->request_vec;
	*reqbufcnt = 1;
	*method_is_head = call->is_head;
	return on_head;
}

static GByteArray *request_encode(const struct hcl_request *request)
{
	GString *head = g_string_sized_new(512);
	GByteArray *bytes = g_byte_array_new();

	g_string_printf(head, "%s %s HTTP/1.1\r\nhost: %s:%u\r\n",
			request->method, request->path, request->ip,
			(unsigned int)request->port);
	for (size_t i = 0; i < request->header_count; i++)
		g_string_append_printf(head, "%s: %s\r\n",
				       request->headers[i].name,
				       request->headers[i].value);
	g_string_append_printf(head,
			       "content-length: %zu\r\n"
			       "connection: close\r\n\r\n",
			       request->body_len);
	g_byte_array_append(bytes, (guint8 *)head->str, (guint)head->len);
	if (request->body_len > 0)
		g_byte_array_append(bytes, request->body,
				    (guint)request->body_len);
	g_string_free(head, TRUE);
	return bytes;
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
	call->request = request_encode(request);
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
	h2o_http1client_connect(
		&call->h2o, call, &client->ctx,
		h2o_iovec_init(request->ip, strlen(request->ip)), request->port,
		0, on_connect);
	call->starting = false;
	return call;
}

void hcl_call_cancel(struct hcl_call *call)
{
	if (!call)
		return;
	if (!call->failed_at_start)
		h2o_http1client_cancel(call->h2o);
	call_free(call);
}

const char *hcl_answer_header(const struct hcl_answer *answer, const char *name)
{
	for (size_t i = 0; i < answer->header_count; i++) {
		if (strcmp(answer->headers[i].name, name) == 0)
			return answer->headers[i].value;
	}
	return NULL;
}
