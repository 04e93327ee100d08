#include "http_client.h"

#include <arpa/inet.h>
#include <string.h>

#include "http_host.h"
#include "http_request.h"

/* The state of an address is dropped this long after its last call. */
#define HTTP_CLIENT_HOST_TTL_MS 10000
/* Interval at which expired idle connections are closed. */
#define HTTP_CLIENT_EVICT_INTERVAL_MS 1000

struct http_client {
	struct loop *loop;
	/* address to struct http_host */
	GHashTable *hosts;
	struct timer evict_timer;
	uint32_t idle_max_ms;
	/* number of the newest connection */
	uint64_t connections;
	struct http_client_counts counts;
};

/* One sending of a call's request. */
struct http_client_try {
	struct http_client_call *call;
	/* its conn is NULL if it has not begun or has failed */
	struct http_host_conn via;
};

struct http_client_call {
	struct http_client *client;
	char ip[INET_ADDRSTRLEN];
	uint16_t port;
	/* NULL if the connection is not reusable */
	struct http_host *host;
	GList link;
	struct http_client_try first;
	struct http_client_try repeat;
	http_client_cb cb;
	void *data;
	struct timer timer;
	/* until the repetition begins, then until it is connected */
	struct timer late_timer;
	uint32_t timeout_ms;
	uint32_t connect_timeout_ms;
	uint32_t server_wait_ms;
	uint32_t repeat_after_ms;
	uint64_t channel;
	/* number of the connection that is kept for reuse, 0 for none */
	uint64_t kept_connection;
	/* the first connection was idle before, not opened for the call */
	bool reused;
	bool repeated;
	/* when a server that waits as long as it may responds */
	uint64_t due_ms;
	GString *request;
	bool is_head;
	bool sent;
	uint16_t status;
	size_t response_max_bytes;
	bool (*may_send)(void *data);
	void *may_send_data;
	uint64_t deadline_ms;
	GByteArray *body;
	GArray *headers;
	GStringChunk *strings;
};

static struct http_host *host_find(const struct http_client *client,
				   const char *ip, uint16_t port)
{
	uint64_t key = http_host_key(ip, port);

	return g_hash_table_lookup(client->hosts, &key);
}

static void host_free(gpointer data)
{
	http_host_destroy(data);
}

static gboolean host_evict_idle(gpointer key, gpointer value, gpointer data)
{
	struct http_host *host = value;
	const struct http_client *client = data;

	http_host_idle_evict(host, client->idle_max_ms);
	return host->calls.length == 0 && host->idle.length == 0 &&
	       loop_now_ms() - host->last_used_ms > HTTP_CLIENT_HOST_TTL_MS;
}

static void on_evict_due(void *data)
{
	struct http_client *client = data;

	g_hash_table_foreach_remove(client->hosts, host_evict_idle, client);
	if (g_hash_table_size(client->hosts) > 0)
		loop_timer_set(client->loop, &client->evict_timer,
			       HTTP_CLIENT_EVICT_INTERVAL_MS);
}

void http_client_set_reuse(struct http_client *client, const char *ip,
			   uint16_t port, bool reuse)
{
	struct http_host *host = host_find(client, ip, port);

	if (reuse && !host) {
		host = http_host_create(http_host_key(ip, port));
		g_hash_table_insert(client->hosts, &host->key, host);
		if (!timer_is_set(&client->evict_timer))
			loop_timer_set(client->loop, &client->evict_timer,
				       HTTP_CLIENT_EVICT_INTERVAL_MS);
	}
	/* With calls in flight, on_evict_due() removes the address later. */
	if (!reuse && host && host->calls.length == 0)
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
	client->evict_timer.cb = on_evict_due;
	client->evict_timer.data = client;
	return client;
}

void http_client_destroy(struct http_client *client)
{
	if (!client)
		return;
	timer_cancel(&client->evict_timer);
	g_hash_table_unref(client->hosts);
	g_free(client);
}

static void call_free(struct http_client_call *call)
{
	timer_cancel(&call->timer);
	timer_cancel(&call->late_timer);
	if (call->host) {
		g_queue_unlink(&call->host->calls, &call->link);
		call->host->last_used_ms = loop_now_ms();
	}
	g_string_free(call->request, TRUE);
	g_byte_array_unref(call->body);
	g_array_unref(call->headers);
	g_string_chunk_free(call->strings);
	g_free(call);
}

static void call_complete(struct http_client_call *call, enum err_kind err)
{
	struct http_client_response response = {
		.status = call->status,
		.headers =
			(const struct http_client_header *)call->headers->data,
		.header_count = call->headers->len,
		.body = call->body->data,
		.body_len = call->body->len,
		.connection = call->kept_connection,
	};

	timer_cancel(&call->timer);
	timer_cancel(&call->late_timer);
	call->cb(call->data, err, call->sent,
		 err == ERR_NONE ? &response : NULL);
	call_free(call);
}

static void try_close(struct http_client_try *try)
{
	http_conn_close(g_steal_pointer(&try->via.conn));
}

static struct http_client_try *other_try(const struct http_client_try *try)
{
	struct http_client_call *call = try->call;

	return try == &call->first ? &call->repeat : &call->first;
}

/* The response that begins first counts. */
static void try_prevail(struct http_client_try *try)
{
	timer_cancel(&try->call->late_timer);
	try_close(other_try(try));
}

static bool is_sent_twice(const struct http_client_call *call)
{
	return call->first.via.conn && call->repeat.via.conn;
}

/* Returns whether the connection may have become silent. The server answers
 * late if the connection was opened for a request that does not wait there. */
static bool may_be_silent(const struct http_client_call *call)
{
	return call->sent && (call->reused || call->server_wait_ms > 0);
}

static void call_repeat(struct http_client_call *call);

/* Gives up the connections to the address that have carried nothing since a
 * response was due. */
static void host_distrust(struct http_host *host, uint64_t due_ms)
{
	GList *next;

	http_host_idle_close(host, due_ms);
	for (GList *at = host->calls.head; at; at = next) {
		struct http_client_call *call = at->data;

		next = at->next;
		if (call->server_wait_ms > 0 && call->sent &&
		    call->due_ms - call->server_wait_ms <= due_ms)
			call_repeat(call);
	}
}

static void on_late(void *data)
{
	struct http_client_call *call = data;

	if (call->repeated) {
		try_close(&call->repeat);
		/* The server may have closed the first one meanwhile. */
		if (!call->first.via.conn)
			call_complete(call, ERR_CUT);
		return;
	}
	if (call->host)
		host_distrust(call->host, call->due_ms);
	call_repeat(call);
}

static void on_timeout(void *data)
{
	struct http_client_call *call = data;

	try_close(&call->first);
	try_close(&call->repeat);
	call->repeated = true;
	if (call->host && may_be_silent(call))
		host_distrust(call->host, call->due_ms);
	call_complete(call, call->sent ? ERR_TIMEOUT : ERR_CONNECT);
}

static void on_header(void *data, const char *name, const char *value)
{
	struct http_client_try *try = data;
	struct http_client_call *call = try->call;
	struct http_client_header copy = {
		.name = g_string_chunk_insert(call->strings, name),
		.value = g_string_chunk_insert(call->strings, value),
	};

	try_prevail(try);
	g_array_append_val(call->headers, copy);
	/* Adds the 4 bytes of ": " and the line end. */
	call->client->counts.bytes_received +=
		strlen(copy.name) + strlen(copy.value) + 4;
}

static bool on_body(void *data, const char *bytes, size_t len)
{
	struct http_client_try *try = data;
	struct http_client_call *call = try->call;

	try_prevail(try);
	if (call->body->len + len > call->response_max_bytes)
		return false;
	g_byte_array_append(call->body, (const guint8 *)bytes, (guint)len);
	call->client->counts.bytes_received += len;
	return true;
}

static void on_complete(void *data, enum err_kind err, uint16_t status,
			bool reusable)
{
	struct http_client_try *try = data;
	struct http_client_call *call = try->call;

	if (err != ERR_NONE && is_sent_twice(call)) {
		try_close(try);
		return;
	}
	try_prevail(try);
	if (reusable && call->host) {
		call->kept_connection = try->via.number;
		http_host_idle_add(call->host, &try->via);
		try->via.conn = NULL;
	} else {
		try_close(try);
	}
	call->status = status;
	call_complete(call, err);
}

/* Sends the request, or closes the connection if the deadline has passed or
 * may_send() no longer allows it: the process may have been paused since the
 * call was started. */
static bool request_send(struct http_client_try *try)
{
	struct http_client_call *call = try->call;
	struct timer_queue *timers = loop_timers(call->client->loop);

	if (loop_now_ms() >= call->deadline_ms ||
	    (call->may_send && !call->may_send(call->may_send_data))) {
		try_close(try);
		return false;
	}
	call->sent = true;
	if (call->repeated) {
		timer_cancel(&call->late_timer);
		call->deadline_ms = loop_now_ms() + call->timeout_ms;
	} else {
		call->due_ms = loop_now_ms() + call->server_wait_ms;
		if (call->repeat_after_ms > 0 && may_be_silent(call))
			timer_set(timers, &call->late_timer,
				  call->due_ms + call->repeat_after_ms);
	}
	timer_set(timers, &call->timer, call->deadline_ms);
	call->client->counts.calls++;
	call->client->counts.bytes_sent += call->request->len;
	http_conn_send(try->via.conn, call->request, call->is_head);
	return true;
}

static void on_open(void *data, bool open)
{
	struct http_client_try *try = data;
	struct http_client_call *call = try->call;

	if (open && request_send(try))
		return;
	try_close(try);
	if (!other_try(try)->via.conn)
		call_complete(call, call->sent ? ERR_CUT : ERR_CONNECT);
}

static const struct http_conn_ops conn_ops = {
	.on_open = on_open,
	.on_header = on_header,
	.on_body = on_body,
	.on_complete = on_complete,
	.on_idle_close = http_host_on_idle_close,
};

static void try_connect(struct http_client_try *try)
{
	struct http_client_call *call = try->call;

	try->via = (struct http_host_conn){
		.conn = http_conn_open(call->client->loop, call->ip, call->port,
				       &conn_ops, try),
		.number = ++call->client->connections,
		.channel = call->channel,
	};
}

/* Sends the request once more, unless that has been done or the response has
 * begun to arrive. */
static void call_repeat(struct http_client_call *call)
{
	if (call->repeat_after_ms == 0 || call->repeated ||
	    call->headers->len > 0)
		return;
	call->repeated = true;
	loop_timer_set(call->client->loop, &call->late_timer,
		       call->connect_timeout_ms);
	try_connect(&call->repeat);
}

/* Reuses an idle connection or opens a new one. */
static void conn_acquire(struct http_client_call *call, uint64_t number,
			 bool fresh)
{
	struct http_client_try *try = &call->first;

	if (call->host && fresh)
		http_host_idle_close(call->host, loop_now_ms());
	if (call->host)
		try->via = http_host_idle_acquire(call->host, call->channel,
						  number,
						  call->client->idle_max_ms);
	call->reused = try->via.conn != NULL;
	if (call->reused) {
		http_conn_set_callback_data(try->via.conn, try);
		request_send(try);
	} else if (number == 0) {
		try_connect(try);
	}
	/* A failure to start is reported from the loop, never from here. */
	if (!try->via.conn)
		loop_timer_set(call->client->loop, &call->timer, 0);
}

static uint32_t connect_timeout_ms(const struct http_client_request *request)
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
	call->late_timer.cb = on_late;
	call->late_timer.data = call;
	call->first.call = call;
	call->repeat.call = call;
	call->link.data = call;
	g_strlcpy(call->ip, request->ip, sizeof(call->ip));
	call->port = request->port;
	call->server_wait_ms = request->server_wait_ms;
	call->repeat_after_ms = request->repeat_after_ms;
	call->host = host_find(client, request->ip, request->port);
	call->channel = request->channel;
	/* Each reusable connection is idle or used by a listed call. */
	if (call->host && call->channel == 0 &&
	    call->host->calls.length >= request->reuse_max)
		call->host = NULL;
	if (call->host)
		g_queue_push_tail_link(&call->host->calls, &call->link);
	call->request = http_request_encode(request, call->host != NULL);
	call->is_head = strcmp(request->method, "HEAD") == 0;
	call->response_max_bytes = request->response_max_bytes;
	call->may_send = request->may_send;
	call->may_send_data = request->may_send_data;
	call->body = g_byte_array_new();
	call->headers =
		g_array_new(FALSE, FALSE, sizeof(struct http_client_header));
	call->strings = g_string_chunk_new(1024);
	call->timeout_ms = request->timeout_ms;
	call->connect_timeout_ms = connect_timeout_ms(request);
	call->deadline_ms = loop_now_ms() + request->timeout_ms;
	loop_timer_set(client->loop, &call->timer, call->connect_timeout_ms);
	conn_acquire(call, request->connection, request->fresh_connection);
	return call;
}

void http_client_call_cancel(struct http_client_call *call)
{
	if (!call)
		return;
	try_close(&call->first);
	try_close(&call->repeat);
	call_free(call);
}

const struct http_client_counts *
http_client_counts(const struct http_client *client)
{
	return &client->counts;
}

const char *
http_client_response_header(const struct http_client_response *response,
			    const char *name)
{
	for (size_t i = 0; i < response->header_count; i++) {
		if (strcmp(response->headers[i].name, name) == 0)
			return response->headers[i].value;
	}
	return NULL;
}
