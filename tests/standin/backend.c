/**
 * @file backend.c
 * @brief Stand-in for a backend server: slots, run log and wire faults.
 *
 * Works on raw connections, so that it can answer late, twice, cut short or
 * with another request's answer. Each request that it runs is written to
 * the run log before the answer. Pages: POST /control sets behaviour,
 * Connections are kept open unless the request asks to close them.
 * GET /stats tells the greatest number of requests that ran at once.
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
/* Behaviour and status of one request, before those of the server. */
#define HEADER_MODE "\r\nx-mode:"
#define HEADER_STATUS "\r\nx-status:"
#define HEADER_CLOSE "\r\nconnection: close"
/* Time between an answer and its second copy. */
#define LATE_MS 3

/** What is done with a request; set by POST /control {"mode": ...}. */
static const char *const modes[] = { "ok",	  "fail",     "silent",
				     "cut-head",  "cut-body", "twice",
				     "crossed",	  "reset",    "leaving",
				     "cut-early", NULL };

enum mode {
	MODE_OK,
	/** answers 500 at once, without using a slot */
	MODE_FAIL,
	/** runs, never answers */
	MODE_SILENT,
	/** runs, closes within the answer's head */
	MODE_CUT_HEAD,
	/** runs, closes within the answer's body */
	MODE_CUT_BODY,
	/** runs, sends the answer twice, the second time some time later */
	MODE_TWICE,
	/** runs, answers with another request's identity and body */
	MODE_CROSSED,
	/** closes without running or answering */
	MODE_RESET,
	/** runs and announces that the server is leaving */
	MODE_LEAVING,
	/** runs, closes before the first byte of the answer */
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
	uint32_t max_waiting;
	uint32_t connections;
	uint32_t max_connections;
	uint64_t runs;
	GQueue waiting;
};

struct connection {
	struct backend *backend;
	h2o_socket_t *sock;
	struct timer timer;
	bool running;
	bool queued;
	enum mode mode;
	uint64_t run_ms;
	char *head;
	char *id;
	GString *out;
	/** kept open after the answer */
	bool keep;
	bool writing;
	/** the answer waits for the end of another write */
	bool deferred;
	/** a second answer that is still to come */
	GString *late;
	struct timer late_timer;
};

static void connection_start(struct connection *conn);
static void on_read(h2o_socket_t *sock, const char *err);

static void slot_free(struct backend *backend)
{
	struct connection *next;

	backend->running--;
	next = g_queue_pop_head(&backend->waiting);
	if (!next)
		return;
	next->queued = false;
	connection_start(next);
}

static void connection_close(struct connection *conn)
{
	struct backend *backend = conn->backend;
	bool running = conn->running;

	timer_cancel(&conn->timer);
	timer_cancel(&conn->late_timer);
	if (conn->queued)
		g_queue_remove(&backend->waiting, conn);
	h2o_socket_close(conn->sock);
	backend->connections--;
	g_free(conn->head);
	g_free(conn->id);
	g_string_free(conn->out, TRUE);
	g_string_free(conn->late, TRUE);
	g_free(conn);
	if (running)
		slot_free(backend);
}

static void out_send(struct connection *conn);

static void on_late_written(h2o_socket_t *sock, const char *err)
{
	struct connection *conn = sock->data;

	conn->writing = false;
	g_string_truncate(conn->late, 0);
	if (err)
		connection_close(conn);
	else if (conn->deferred)
		out_send(conn);
}

static void on_late(void *data)
{
	struct connection *conn = data;
	h2o_iovec_t vec = h2o_iovec_init(conn->late->str, conn->late->len);

	if (conn->writing) {
		loop_timer_set(conn->backend->loop, &conn->late_timer, 1);
		return;
	}
	conn->writing = true;
	h2o_socket_write(conn->sock, &vec, 1, on_late_written);
}

/* Makes a kept connection ready for the next request. */
static void connection_reset(struct connection *conn)
{
	if (conn->mode == MODE_TWICE) {
		g_string_assign(conn->late, conn->out->str);
		loop_timer_set(conn->backend->loop, &conn->late_timer, LATE_MS);
	}
	g_clear_pointer(&conn->head, g_free);
	g_clear_pointer(&conn->id, g_free);
	g_string_truncate(conn->out, 0);
	h2o_socket_read_start(conn->sock, on_read);
	if (conn->running) {
		conn->running = false;
		slot_free(conn->backend);
	}
}

static void on_written(h2o_socket_t *sock, const char *err)
{
	struct connection *conn = sock->data;

	conn->writing = false;
	if (err || !conn->keep)
		connection_close(conn);
	else
		connection_reset(conn);
}

static void out_send(struct connection *conn)
{
	h2o_iovec_t vec = h2o_iovec_init(conn->out->str, conn->out->len);

	conn->deferred = conn->writing;
	if (conn->deferred)
		return;
	conn->writing = true;
	h2o_socket_read_stop(conn->sock);
	h2o_socket_write(conn->sock, &vec, 1, on_written);
}

static void answer_append(struct connection *conn, int status, const char *id,
			  const char *body, size_t body_len)
{
	bool has_body = status != 204 && status != 304;

	g_string_append_printf(conn->out, "HTTP/1.1 %d OK\r\n", status);
	if (has_body)
		g_string_append_printf(conn->out, "content-length: %zu\r\n",
				       body_len);
	g_string_append_printf(conn->out,
			       "sassafrascart-outcome: not-run\r\n"
			       "%sx-request-id: %s\r\n"
			       "x-backend: %s\r\n%s\r\n",
			       conn->keep ? "" : "connection: close\r\n", id,
			       conn->backend->name,
			       conn->mode == MODE_LEAVING
				       ? "sassafrascart-leaving: 1\r\n"
				       : "");
	if (has_body && !g_str_has_prefix(conn->head, "HEAD "))
		g_string_append_len(conn->out, body, (gssize)body_len);
}

static char *header_value(const char *head, const char *name)
{
	const char *at = strcasestr(head, name);
	const char *end;

	if (!at)
		return NULL;
	at += strlen(name);
	end = strstr(at, "\r\n");
	return g_strstrip(g_strndup(at, (gsize)(end - at)));
}

static uint64_t header_number(const char *head, const char *name)
{
	g_autofree char *text = header_value(head, name);

	return text ? g_ascii_strtoull(text, NULL, 10) : 0;
}

static uint64_t answer_status(const struct connection *conn)
{
	uint64_t status = header_number(conn->head, HEADER_STATUS);

	return status ? status : 200;
}

/* The body goes back to the caller, so that each answer is unique. */
static void run_answer(struct connection *conn)
{
	const char *body = strstr(conn->head, "\r\n\r\n") + 4;
	size_t len = header_number(conn->head, HEADER_LENGTH);
	int status = (int)answer_status(conn);

	if (conn->mode == MODE_SILENT)
		return;
	if (conn->mode == MODE_CUT_EARLY) {
		connection_close(conn);
		return;
	}
	if (conn->mode == MODE_CROSSED)
		answer_append(conn, 200, "another-request", "another body", 12);
	else
		answer_append(conn, status, conn->id, body, len);
	if (conn->mode == MODE_TWICE && !conn->keep)
		answer_append(conn, status, conn->id, body, len);
	if (conn->mode == MODE_CUT_HEAD)
		g_string_truncate(conn->out, 20);
	if (conn->mode == MODE_CUT_BODY)
		g_string_truncate(conn->out, conn->out->len - (len + 1) / 2);
	out_send(conn);
}

/* The slot is free once the work is done, before its answer travels. */
static void on_run_end(void *data)
{
	struct connection *conn = data;

	if (conn->mode != MODE_SILENT) {
		conn->running = false;
		slot_free(conn->backend);
	}
	run_answer(conn);
}

static void run_log(struct connection *conn)
{
	struct backend *backend = conn->backend;
	g_autofree char *key = header_value(conn->head, "\r\nx-test-id:");

	fprintf(backend->log,
		"{\"vm\":\"%s\",\"request_id\":\"%s\",\"test_id\":\"%s\","
		"\"at_ms\":%" PRId64 ",\"running\":%u}\n",
		backend->name, conn->id, key ? key : "",
		g_get_real_time() / 1000, backend->running);
	fflush(backend->log);
}

static void connection_start(struct connection *conn)
{
	struct backend *backend = conn->backend;

	conn->running = true;
	backend->running++;
	backend->runs++;
	backend->max_running = MAX(backend->max_running, backend->running);
	run_log(conn);
	loop_timer_set(backend->loop, &conn->timer, conn->run_ms);
}

static enum mode mode_parse(const char *name, enum mode fallback)
{
	for (int i = 0; name && modes[i]; i++) {
		if (strcmp(modes[i], name) == 0)
			return (enum mode)i;
	}
	return fallback;
}

static void control_run(struct connection *conn)
{
	json_t *root = json_loads(strstr(conn->head, "\r\n\r\n") + 4, 0, NULL);
	const char *mode = json_string_value(json_object_get(root, "mode"));

	conn->backend->mode = mode_parse(mode, conn->backend->mode);
	json_decref(root);
	answer_append(conn, 200, "control", "", 0);
	out_send(conn);
}

static void stats_send(struct connection *conn)
{
	struct backend *backend = conn->backend;
	g_autofree char *text = g_strdup_printf(
		"{\"runs\":%" PRIu64 ",\"running\":%u,\"max_running\":%u,"
		"\"waiting\":%u,\"max_waiting\":%u,"
		"\"max_connections\":%u}",
		backend->runs, backend->running, backend->max_running,
		backend->waiting.length, backend->max_waiting,
		backend->max_connections);

	answer_append(conn, 200, "stats", text, strlen(text));
	out_send(conn);
}

static void request_run(struct connection *conn)
{
	struct backend *backend = conn->backend;
	g_autofree char *mode = header_value(conn->head, HEADER_MODE);

	conn->mode = mode_parse(mode, backend->mode);
	conn->keep = conn->mode != MODE_CUT_HEAD &&
		     conn->mode != MODE_CUT_BODY &&
		     !strcasestr(conn->head, HEADER_CLOSE);

	conn->id = header_value(conn->head, HEADER_REQUEST_ID);
	if (!conn->id)
		conn->id = g_strdup("");
	conn->run_ms = header_number(conn->head, HEADER_RUN_MS);
	if (conn->mode == MODE_RESET) {
		connection_close(conn);
	} else if (conn->mode == MODE_FAIL) {
		answer_append(conn, 500, conn->id, "failed", 6);
		out_send(conn);
	} else if (backend->running < backend->slots) {
		connection_start(conn);
	} else {
		conn->queued = true;
		g_queue_push_tail(&backend->waiting, conn);
		backend->max_waiting =
			MAX(backend->max_waiting, backend->waiting.length);
	}
}

static bool request_is_whole(const h2o_buffer_t *input)
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
	if (conn->head || !request_is_whole(sock->input))
		return;
	conn->head = g_strndup(sock->input->bytes, sock->input->size);
	h2o_buffer_consume(&sock->input, sock->input->size);
	if (g_str_has_prefix(conn->head, "POST /control "))
		control_run(conn);
	else if (g_str_has_prefix(conn->head, "GET /stats "))
		stats_send(conn);
	else
		request_run(conn);
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
		conn->out = g_string_new(NULL);
		conn->late = g_string_new(NULL);
		conn->late_timer.cb = on_late;
		conn->late_timer.data = conn;
		conn->timer.cb = on_run_end;
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
