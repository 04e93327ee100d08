/**
 * @file loader.c
 * @brief HTTP load generator; reports latencies as JSON.
 *
 * Closed loop: each connection sends its next request once the previous one
 * has been answered. Open loop (--rate): requests are due at fixed intervals,
 * and latency is measured from the due time. Connections closed by the server
 * are reopened.
 */
#include <arpa/inet.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cfg.h"
#include "loop.h"

#define TICK_MS 1
#define RESPONSE_HEAD_MAX_BYTES 4096

struct settings {
	struct cfg_endpoint target;
	char *path;
	char *method;
	uint32_t connections;
	uint32_t requests;
	uint32_t max_ms;
	uint32_t rate_per_s;
	uint32_t body_bytes;
	uint32_t run_ms;
};

struct loader {
	struct settings settings;
	struct loop *loop;
	char *request;
	size_t request_len;
	struct connection *connections;
	/* due times (uint64_t, us) of requests waiting for a free connection */
	GQueue due;
	struct timer tick;
	uint64_t start_us;
	uint32_t started;
	uint32_t ended;
	uint32_t failed;
	GHashTable *statuses;
	GArray *latencies_us;
};

struct connection {
	struct loader *loader;
	h2o_socket_t *sock;
	bool busy;
	uint64_t due_us;
	uint32_t body_left;
	bool in_body;
	bool close_after;
};

static const struct cfg_option options[] = {
	{ "target", CFG_ENDPOINT, offsetof(struct settings, target), NULL, 0, 0,
	  "address to send to", "IP:PORT" },
	{ "path", CFG_TEXT, offsetof(struct settings, path), "/", 0, 0,
	  "path of each request", "PATH" },
	{ "method", CFG_TEXT, offsetof(struct settings, method), "POST", 0, 0,
	  "method of each request", "METHOD" },
	{ "connections", CFG_U32, offsetof(struct settings, connections), "8",
	  1, 10000, "number of connections", "N" },
	{ "requests", CFG_U32, offsetof(struct settings, requests), "1000", 1,
	  10000000, "requests in total", "N" },
	{ "max-ms", CFG_U32, offsetof(struct settings, max_ms), "30000", 1,
	  600000, "time after which the program stops", "MS" },
	{ "rate", CFG_U32, offsetof(struct settings, rate_per_s), "0", 0,
	  1000000, "requests per second, 0 for a closed loop", "N" },
	{ "body-bytes", CFG_U32, offsetof(struct settings, body_bytes), "64", 0,
	  1000000, "size of each body", "BYTES" },
	{ "run-ms", CFG_U32, offsetof(struct settings, run_ms), "0", 0, 60000,
	  "run time requested from the stand-in server", "MS" },
	{ 0 },
};

static void connection_start_next(struct connection *conn);

static uint64_t now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

static void request_build(struct loader *loader)
{
	const struct settings *settings = &loader->settings;
	g_autofree char *body = g_strnfill(settings->body_bytes, 'b');

	loader->request = g_strdup_printf(
		"%s %s HTTP/1.1\r\nhost: bench\r\nx-run-ms: %u\r\n"
		"content-length: %u\r\n\r\n%s",
		settings->method, settings->path, settings->run_ms,
		settings->body_bytes, body);
	loader->request_len = strlen(loader->request);
}

static void loader_check_end(struct loader *loader)
{
	uint64_t took_ms = (now_us() - loader->start_us) / 1000;

	if (loader->ended >= loader->settings.requests ||
	    took_ms >= loader->settings.max_ms)
		loop_stop(loader->loop);
}

static void request_end(struct connection *conn, bool failed)
{
	struct loader *loader = conn->loader;
	uint64_t took_us = now_us() - conn->due_us;

	conn->busy = false;
	conn->in_body = false;
	loader->ended++;
	if (failed)
		loader->failed++;
	else
		g_array_append_val(loader->latencies_us, took_us);
	loader_check_end(loader);
}

static void connection_close(struct connection *conn)
{
	bool broken = conn->busy;

	h2o_socket_close(conn->sock);
	conn->sock = NULL;
	if (broken)
		request_end(conn, true);
	connection_start_next(conn);
}

static void status_count(struct loader *loader, const char *head)
{
	gpointer key = GINT_TO_POINTER(atoi(head + strlen("HTTP/1.1 ")));
	gpointer count = g_hash_table_lookup(loader->statuses, key);

	g_hash_table_replace(loader->statuses, key,
			     GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
}

static bool response_head_parse(struct connection *conn, h2o_buffer_t **input)
{
	char head[RESPONSE_HEAD_MAX_BYTES + 1];
	size_t size = MIN((*input)->size, RESPONSE_HEAD_MAX_BYTES);
	const char *length;
	const char *end;

	memcpy(head, (*input)->bytes, size);
	head[size] = '\0';
	end = strstr(head, "\r\n\r\n");
	if (!end)
		return false;
	length = strcasestr(head, "\r\ncontent-length:");
	conn->body_left =
		length ? (uint32_t)atoi(length + strlen("\r\ncontent-length:"))
		       : 0;
	conn->close_after = strcasestr(head, "\r\nconnection: close") != NULL;
	status_count(conn->loader, head);
	conn->in_body = true;
	h2o_buffer_consume(input, (size_t)(end - head) + 4);
	return true;
}

static void on_read(h2o_socket_t *sock, const char *err)
{
	struct connection *conn = sock->data;
	uint32_t consumed;

	if (err) {
		connection_close(conn);
		return;
	}
	if (!conn->in_body && !response_head_parse(conn, &sock->input))
		return;
	consumed = (uint32_t)MIN((size_t)conn->body_left, sock->input->size);
	conn->body_left -= consumed;
	h2o_buffer_consume(&sock->input, consumed);
	if (conn->body_left > 0)
		return;
	request_end(conn, false);
	if (conn->close_after)
		connection_close(conn);
	else
		connection_start_next(conn);
}

static void on_written(h2o_socket_t *sock, const char *err)
{
	if (err)
		connection_close(sock->data);
}

static void request_send(struct connection *conn)
{
	struct loader *loader = conn->loader;
	h2o_iovec_t vec = h2o_iovec_init(loader->request, loader->request_len);

	h2o_socket_write(conn->sock, &vec, 1, on_written);
}

static void on_connected(h2o_socket_t *sock, const char *err)
{
	struct connection *conn = sock->data;

	if (err) {
		connection_close(conn);
		return;
	}
	h2o_socket_read_start(sock, on_read);
	if (conn->busy)
		request_send(conn);
}

static void connection_open(struct connection *conn)
{
	struct loader *loader = conn->loader;
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_port = htons(loader->settings.target.port),
	};

	inet_pton(AF_INET, loader->settings.target.ip, &addr.sin_addr);
	conn->sock = h2o_socket_connect(loop_h2o(loader->loop),
					(struct sockaddr *)&addr, sizeof(addr),
					on_connected);
	if (!conn->sock) {
		fputs("loader: no socket\n", stderr);
		exit(1);
	}
	conn->sock->data = conn;
}

static void request_start(struct connection *conn, uint64_t due_us)
{
	conn->busy = true;
	conn->due_us = due_us;
	if (conn->sock)
		request_send(conn);
	else
		connection_open(conn);
}

/* Starts the next request on an idle connection if one is due. */
static void connection_start_next(struct connection *conn)
{
	struct loader *loader = conn->loader;
	uint64_t *due;

	if (conn->busy)
		return;
	if (loader->settings.rate_per_s == 0) {
		if (loader->started >= loader->settings.requests)
			return;
		loader->started++;
		request_start(conn, now_us());
		return;
	}
	due = g_queue_pop_head(&loader->due);
	if (!due)
		return;
	request_start(conn, *due);
	g_free(due);
}

static void on_tick(void *data)
{
	struct loader *loader = data;
	const struct settings *settings = &loader->settings;
	uint64_t passed_us = now_us() - loader->start_us;

	loop_timer_set(loader->loop, &loader->tick, TICK_MS);
	while (settings->rate_per_s > 0 &&
	       loader->started < settings->requests &&
	       (uint64_t)loader->started * 1000000 / settings->rate_per_s <=
		       passed_us) {
		uint64_t due = loader->start_us + (uint64_t)loader->started *
							  1000000 /
							  settings->rate_per_s;

		loader->started++;
		g_queue_push_tail(&loader->due, g_memdup2(&due, sizeof(due)));
	}
	for (uint32_t i = 0; i < settings->connections; i++)
		connection_start_next(&loader->connections[i]);
	loader_check_end(loader);
}

static gint latency_compare(gconstpointer a, gconstpointer b)
{
	const uint64_t *left = a;
	const uint64_t *right = b;

	return *left < *right ? -1 : *left > *right;
}

static json_int_t quantile_us(const GArray *sorted, uint32_t permille)
{
	if (sorted->len == 0)
		return 0;
	return (json_int_t)g_array_index(sorted, uint64_t,
					 (uint64_t)(sorted->len - 1) *
						 permille / 1000);
}

static json_t *statuses_json(const struct loader *loader)
{
	json_t *statuses = json_object();
	GHashTableIter iter;
	gpointer status;
	gpointer count;

	g_hash_table_iter_init(&iter, loader->statuses);
	while (g_hash_table_iter_next(&iter, &status, &count)) {
		char key[16];

		g_snprintf(key, sizeof(key), "%d", GPOINTER_TO_INT(status));
		json_object_set_new(statuses, key,
				    json_integer(GPOINTER_TO_UINT(count)));
	}
	return statuses;
}

static void report_print(struct loader *loader)
{
	uint64_t took_us = now_us() - loader->start_us;
	json_t *root;
	char *text;

	g_array_sort(loader->latencies_us, latency_compare);
	root = json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:o}", "ended",
			 (json_int_t)loader->ended, "failed",
			 (json_int_t)loader->failed, "took_us",
			 (json_int_t)took_us, "per_s",
			 (json_int_t)(loader->ended * 1000000ull / took_us),
			 "p50_us", quantile_us(loader->latencies_us, 500),
			 "p99_us", quantile_us(loader->latencies_us, 990),
			 "max_us", quantile_us(loader->latencies_us, 1000),
			 "statuses", statuses_json(loader));
	text = json_dumps(root, JSON_COMPACT);
	puts(text);
	free(text);
	json_decref(root);
}

static void loader_run(struct loader *loader)
{
	const struct settings *settings = &loader->settings;

	request_build(loader);
	loader->loop = loop_create();
	loader->statuses = g_hash_table_new(NULL, NULL);
	loader->latencies_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	loader->connections = g_new0(struct connection, settings->connections);
	for (uint32_t i = 0; i < settings->connections; i++)
		loader->connections[i].loader = loader;
	loader->tick.cb = on_tick;
	loader->tick.data = loader;
	loader->start_us = now_us();
	loop_timer_set(loader->loop, &loader->tick, 0);
	loop_run_until_stopped(loader->loop);
	report_print(loader);
}

int main(int argc, char **argv)
{
	struct loader loader = { 0 };
	GError *error = NULL;

	signal(SIGPIPE, SIG_IGN);
	if (!cfg_parse(options, "Sends requests and reports latencies.", &argc,
		       &argv, &loader.settings, &error)) {
		fprintf(stderr, "loader: %s\n", error->message);
		return 2;
	}
	if (!g_str_has_prefix(loader.settings.target.ip, "127.")) {
		fputs("loader: --target: expected a loopback address\n",
		      stderr);
		return 2;
	}
	loader_run(&loader);
	return loader.failed == 0 ? 0 : 1;
}
