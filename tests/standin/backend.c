/**
 * @file backend.c
 * @brief Stand-in for a backend server: slots, run log and injected faults.
 *
 * Usage: standin_backend IP:PORT NAME LOG. Writes HTTP/1.1 responses to the
 * socket itself, so that it can delay, repeat, truncate or swap them. Each
 * request that is run is appended to the log, as a line of JSON, before the
 * response is sent. Connections are kept open unless the request asks to close
 * them.
 *
 * POST /control sets the fault mode; GET /stats returns counters, among them
 * the highest number of requests run concurrently.
 */
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cfg.h"
#include "loop.h"

#define HEADER_RUN_MS "\r\nx-run-ms:"
#define HEADER_REQUEST_ID "\r\nx-request-id:"
#define HEADER_LENGTH "\r\ncontent-length:"
/* Mode and status for a single request; they override the server's mode. */
#define HEADER_MODE "\r\nx-mode:"
#define HEADER_STATUS "\r\nx-status:"
#define HEADER_CLOSE "\r\nconnection: close"
/* Time between a response and its duplicate. */
#define DUPLICATE_DELAY_MS 3

/** Names of enum mode in POST /control {"mode": ...} and in x-mode. */
static const char *const mode_names[] = { "ok",	       "fail",	   "silent",
					  "cut-head",  "cut-body", "twice",
					  "crossed",   "reset",	   "leaving",
					  "cut-early", NULL };

/** How requests are processed. */
enum mode {
	MODE_OK,
	/** responds with 500 at once, without taking a slot */
	MODE_FAIL,
	/** runs, never responds */
	MODE_SILENT,
	/** runs, closes the connection within the response head */
	MODE_CUT_HEAD,
	/** runs, closes the connection within the response body */
	MODE_CUT_BODY,
	/** runs, sends the response a second time after DUPLICATE_DELAY_MS */
	MODE_TWICE,
	/** runs, responds with another request's identifier and body */
	MODE_CROSSED,
	/** closes the connection without running or responding */
	MODE_RESET,
	/** runs, announces in the response that the server is draining */
	MODE_LEAVING,
	/** runs, closes the connection before the first byte of the response */
	MODE_CUT_EARLY,
};

struct backend {
	struct loop *loop;
	const char *name;
	FILE *log;
	enum mode mode;
	uint32_t slots;
	uint32_t running;
	uint32_t max_running;
	uint32_t max_queued;
	uint32_t connections;
	uint32_t max_connections;
	uint64_t runs;
	GQueue queue;
};

struct connection {
	struct backend *backend;
	h2o_socket_t *sock;
	struct timer timer;
	bool running;
	bool queued;
	enum mode mode;
	uint64_t run_ms;
	char *request;
	char *request_id;
	GString *response;
	/** the connection stays open after the response */
	bool keep_alive;
	bool writing;
	/** the response is sent when the write of a duplicate has finished */
	bool deferred;
	/** duplicate of an earlier response, still to be sent */
	GString *duplicate;
	struct timer duplicate_timer;
};

static void run_start(struct connection *conn);
static void on_read(h2o_socket_t *sock, const char *err);

static void slot_release(struct backend *backend)
{
	struct connection *next;

	backend->running--;
	next = g_queue_pop_head(&backend->queue);
	if (!next)
		return;
	next->queued = false;
	run_start(next);
}

static void connection_close(struct connection *conn)
{
	struct backend *backend = conn->backend;
	bool running = conn->running;

	timer_cancel(&conn->timer);
	timer_cancel(&conn->duplicate_timer);
	if (conn->queued)
		g_queue_remove(&backend->queue, conn);
	h2o_socket_close(conn->sock);
	backend->connections--;
	g_free(conn->request);
	g_free(conn->request_id);
	g_string_free(conn->response, TRUE);
	g_string_free(conn->duplicate, TRUE);
	g_free(conn);
	if (running)
		slot_release(backend);
}

static void response_send(struct connection *conn);

static void on_duplicate_written(h2o_socket_t *sock, const char *err)
{
	struct connection *conn = sock->data;

	conn->writing = false;
	g_string_truncate(conn->duplicate, 0);
	if (err)
		connection_close(conn);
	else if (conn->deferred)
		response_send(conn);
}

static void on_duplicate_due(void *data)
{
	struct connection *conn = data;
	h2o_iovec_t vec =
		h2o_iovec_init(conn->duplicate->str, conn->duplicate->len);

	if (conn->writing) {
		loop_timer_set(conn->backend->loop, &conn->duplicate_timer, 1);
		return;
	}
	conn->writing = true;
	h2o_socket_write(conn->sock, &vec, 1, on_duplicate_written);
}

/* Prepares a persistent connection for its next request. */
static void connection_reuse(struct connection *conn)
{
	if (conn->mode == MODE_TWICE) {
		g_string_assign(conn->duplicate, conn->response->str);
		loop_timer_set(conn->backend->loop, &conn->duplicate_timer,
			       DUPLICATE_DELAY_MS);
	}
	g_clear_pointer(&conn->request, g_free);
	g_clear_pointer(&conn->request_id, g_free);
	g_string_truncate(conn->response, 0);
	h2o_socket_read_start(conn->sock, on_read);
	if (conn->running) {
		conn->running = false;
		slot_release(conn->backend);
	}
}

static void on_written(h2o_socket_t *sock, const char *err)
{
	struct connection *conn = sock->data;

	conn->writing = false;
	if (err || !conn->keep_alive)
		connection_close(conn);
	else
		connection_reuse(conn);
}

static void response_send(struct connection *conn)
{
	h2o_iovec_t vec =
		h2o_iovec_init(conn->response->str, conn->response->len);

	conn->deferred = conn->writing;
	if (conn->deferred)
		return;
	conn->writing = true;
	h2o_socket_read_stop(conn->sock);
	h2o_socket_write(conn->sock, &vec, 1, on_written);
}

static void response_append(struct connection *conn, int status,
			    const char *request_id, const char *body,
			    size_t body_len)
{
	bool has_body = status != 204 && status != 304;

	g_string_append_printf(conn->response, "HTTP/1.1 %d OK\r\n", status);
	if (has_body)
		g_string_append_printf(conn->response,
				       "content-length: %zu\r\n", body_len);
	g_string_append_printf(conn->response,
			       "sassafrascart-outcome: not-run\r\n"
			       "%sx-request-id: %s\r\n"
			       "x-backend: %s\r\n%s\r\n",
			       conn->keep_alive ? "" : "connection: close\r\n",
			       request_id, conn->backend->name,
			       conn->mode == MODE_LEAVING
				       ? "sassafrascart-leaving: 1\r\n"
				       : "");
	if (has_body && !g_str_has_prefix(conn->request, "HEAD "))
		g_string_append_len(conn->response, body, (gssize)body_len);
}

static char *header_value(const char *request, const char *name)
{
	const char *value = strcasestr(request, name);
	const char *end;

	if (!value)
		return NULL;
	value += strlen(name);
	end = strstr(value, "\r\n");
	return g_strstrip(g_strndup(value, (gsize)(end - value)));
}

static uint64_t header_number(const char *request, const char *name)
{
	g_autofree char *text = header_value(request, name);

	return text ? g_ascii_strtoull(text, NULL, 10) : 0;
}

static uint64_t response_status(const struct connection *conn)
{
	uint64_t status = header_number(conn->request, HEADER_STATUS);

	return status ? status : 200;
}

/* Echoes the request body, so that callers can match responses to requests. */
static void run_respond(struct connection *conn)
{
	const char *body = strstr(conn->request, "\r\n\r\n") + 4;
	size_t len = header_number(conn->request, HEADER_LENGTH);
	int status = (int)response_status(conn);

	if (conn->mode == MODE_SILENT)
		return;
	if (conn->mode == MODE_CUT_EARLY) {
		connection_close(conn);
		return;
	}
	if (conn->mode == MODE_CROSSED)
		response_append(conn, 200, "another-request", "another body",
				12);
	else
		response_append(conn, status, conn->request_id, body, len);
	if (conn->mode == MODE_TWICE && !conn->keep_alive)
		response_append(conn, status, conn->request_id, body, len);
	if (conn->mode == MODE_CUT_HEAD)
		g_string_truncate(conn->response, 20);
	if (conn->mode == MODE_CUT_BODY)
		g_string_truncate(conn->response,
				  conn->response->len - (len + 1) / 2);
	response_send(conn);
}

/* Releases the slot when the work is done, before the response is sent. */
static void on_run_done(void *data)
{
	struct connection *conn = data;

	if (conn->mode != MODE_SILENT) {
		conn->running = false;
		slot_release(conn->backend);
	}
	run_respond(conn);
}

static void run_log_append(struct connection *conn)
{
	struct backend *backend = conn->backend;
	g_autofree char *test_id =
		header_value(conn->request, "\r\nx-test-id:");

	fprintf(backend->log,
		"{\"vm\":\"%s\",\"request_id\":\"%s\",\"test_id\":\"%s\","
		"\"at_ms\":%" PRId64 ",\"running\":%u}\n",
		backend->name, conn->request_id, test_id ? test_id : "",
		g_get_real_time() / 1000, backend->running);
	fflush(backend->log);
}

static void run_start(struct connection *conn)
{
	struct backend *backend = conn->backend;

	conn->running = true;
	backend->running++;
	backend->runs++;
	backend->max_running = MAX(backend->max_running, backend->running);
	run_log_append(conn);
	loop_timer_set(backend->loop, &conn->timer, conn->run_ms);
}

static enum mode mode_parse(const char *name, enum mode fallback)
{
	for (int i = 0; name && mode_names[i]; i++) {
		if (strcmp(mode_names[i], name) == 0)
			return (enum mode)i;
	}
	return fallback;
}

static void control_handle(struct connection *conn)
{
	json_t *root =
		json_loads(strstr(conn->request, "\r\n\r\n") + 4, 0, NULL);
	const char *mode = json_string_value(json_object_get(root, "mode"));

	conn->backend->mode = mode_parse(mode, conn->backend->mode);
	json_decref(root);
	response_append(conn, 200, "control", "", 0);
	response_send(conn);
}

static void stats_send(struct connection *conn)
{
	struct backend *backend = conn->backend;
	g_autofree char *text = g_strdup_printf(
		"{\"runs\":%" PRIu64 ",\"running\":%u,\"max_running\":%u,"
		"\"waiting\":%u,\"max_waiting\":%u,"
		"\"max_connections\":%u}",
		backend->runs, backend->running, backend->max_running,
		backend->queue.length, backend->max_queued,
		backend->max_connections);

	response_append(conn, 200, "stats", text, strlen(text));
	response_send(conn);
}

static void request_handle(struct connection *conn)
{
	struct backend *backend = conn->backend;
	g_autofree char *mode = header_value(conn->request, HEADER_MODE);

	conn->mode = mode_parse(mode, backend->mode);
	conn->keep_alive = conn->mode != MODE_CUT_HEAD &&
			   conn->mode != MODE_CUT_BODY &&
			   !strcasestr(conn->request, HEADER_CLOSE);

	conn->request_id = header_value(conn->request, HEADER_REQUEST_ID);
	if (!conn->request_id)
		conn->request_id = g_strdup("");
	conn->run_ms = header_number(conn->request, HEADER_RUN_MS);
	if (conn->mode == MODE_RESET) {
		connection_close(conn);
	} else if (conn->mode == MODE_FAIL) {
		response_append(conn, 500, conn->request_id, "failed", 6);
		response_send(conn);
	} else if (backend->running < backend->slots) {
		run_start(conn);
	} else {
		conn->queued = true;
		g_queue_push_tail(&backend->queue, conn);
		backend->max_queued =
			MAX(backend->max_queued, backend->queue.length);
	}
}

static bool request_is_complete(const h2o_buffer_t *input)
{
	g_autofree char *text = g_strndup(input->bytes, input->size);
	const char *end = strstr(text, "\r\n\r\n");

	if (!end)
		return false;
	return input->size >=
	       (size_t)(end - text) + 4 + header_number(text, HEADER_LENGTH);
}

static void on_read(h2o_socket_t *sock, const char *err)
{
	struct connection *conn = sock->data;

	if (err) {
		connection_close(conn);
		return;
	}
	if (conn->request || !request_is_complete(sock->input))
		return;
	conn->request = g_strndup(sock->input->bytes, sock->input->size);
	h2o_buffer_consume(&sock->input, sock->input->size);
	if (g_str_has_prefix(conn->request, "POST /control "))
		control_handle(conn);
	else if (g_str_has_prefix(conn->request, "GET /stats "))
		stats_send(conn);
	else
		request_handle(conn);
}

static void on_accept(h2o_socket_t *listener, const char *err)
{
	h2o_socket_t *sock;

	while (!err && (sock = h2o_evloop_socket_accept(listener))) {
		struct connection *conn = g_new0(struct connection, 1);

		conn->backend = listener->data;
		conn->backend->connections++;
		conn->backend->max_connections =
			MAX(conn->backend->max_connections,
			    conn->backend->connections);
		conn->sock = sock;
		conn->response = g_string_new(NULL);
		conn->duplicate = g_string_new(NULL);
		conn->duplicate_timer.cb = on_duplicate_due;
		conn->duplicate_timer.data = conn;
		conn->timer.cb = on_run_done;
		conn->timer.data = conn;
		sock->data = conn;
		h2o_socket_read_start(sock, on_read);
	}
}

int main(int argc, char **argv)
{
	struct backend backend = { .slots = 8 };
	struct cfg_endpoint listen;
	h2o_socket_t *listener;

	signal(SIGPIPE, SIG_IGN);
	if (argc != 4 || !cfg_endpoint_parse(argv[1], &listen)) {
		fputs("usage: standin_backend IP:PORT NAME LOG\n", stderr);
		return 2;
	}
	backend.name = argv[2];
	backend.log = fopen(argv[3], "ae");
	backend.loop = loop_create();
	if (!backend.log ||
	    loop_listen(backend.loop, listen.ip, listen.port, on_accept,
			&backend, &listener) != ERR_NONE)
		return 1;
	printf("%u\n", (unsigned int)loop_listen_port(listener));
	fflush(stdout);
	loop_run_until_stopped(backend.loop);
	return 0;
}
