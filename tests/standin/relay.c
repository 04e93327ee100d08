/**
 * @file relay.c
 * @brief TCP relay on the loopback address that injects network faults.
 *
 * Usage: standin_relay LISTEN_PORT TARGET_PORT MODE_FILE. The mode file is
 * re-read every RELAY_TICK_MS. Its content is one of
 *
 *   pass      forward all data
 *   delay MS  delay each chunk by this time
 *   reset     reset all connections
 *   silent    stall the data of both directions
 *   oneway    stall the data from the target
 *
 * Stalled data is forwarded once the mode is changed to "pass". A file without
 * a known mode, as one that is being rewritten, changes nothing.
 */
#include <gio/gio.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define RELAY_CHUNK_BYTES 16384
/* Interval at which the mode file is read and stalled data is retried. */
#define RELAY_TICK_MS 20

enum mode {
	MODE_PASS,
	MODE_DELAY,
	MODE_RESET,
	MODE_SILENT,
	MODE_ONEWAY
};

struct relay {
	const char *mode_file;
	uint16_t target_port;
	enum mode mode;
	guint delay_ms;
	/* open connections, of struct connection */
	GQueue connections;
};

/* One direction of a relayed connection, with its chunk in flight. */
struct flow {
	struct connection *connection;
	GInputStream *from;
	GOutputStream *to;
	bool from_target;
	char chunk[RELAY_CHUNK_BYTES];
};

/* An accepted connection and the one to the target; freed with its last flow.
 */
struct connection {
	struct relay *relay;
	GSocketConnection *client;
	GSocketConnection *target;
	GCancellable *cancel;
	GList node;
	struct flow flows[2];
	int open_flows;
};

static void flow_read(struct flow *flow);

static void connection_reset(struct connection *connection)
{
	const struct linger abort_on_close = { .l_onoff = 1 };
	GSocketConnection *sides[] = { connection->client, connection->target };

	for (size_t i = 0; i < G_N_ELEMENTS(sides); i++)
		setsockopt(g_socket_get_fd(
				   g_socket_connection_get_socket(sides[i])),
			   SOL_SOCKET, SO_LINGER, &abort_on_close,
			   sizeof(abort_on_close));
	g_cancellable_cancel(connection->cancel);
}

static void flow_close(struct flow *flow)
{
	struct connection *connection = flow->connection;

	/* Closes both connections; tests do not need half-open ones. */
	g_cancellable_cancel(connection->cancel);
	if (--connection->open_flows > 0)
		return;
	g_io_stream_close(G_IO_STREAM(connection->client), NULL, NULL);
	g_io_stream_close(G_IO_STREAM(connection->target), NULL, NULL);
	g_queue_unlink(&connection->relay->connections, &connection->node);
	g_object_unref(connection->client);
	g_object_unref(connection->target);
	g_object_unref(connection->cancel);
	g_free(connection);
}

static void on_written(GObject *stream, GAsyncResult *result, gpointer data)
{
	struct flow *flow = data;

	if (g_output_stream_write_all_finish(G_OUTPUT_STREAM(stream), result,
					     NULL, NULL))
		flow_read(flow);
	else
		flow_close(flow);
}

static bool flow_is_stalled(const struct flow *flow)
{
	enum mode mode = flow->connection->relay->mode;

	return mode == MODE_SILENT ||
	       (mode == MODE_ONEWAY && flow->from_target);
}

/* A chunk to be written; len is its size in the flow's buffer. */
struct chunk {
	struct flow *flow;
	gsize len;
};

static gboolean on_chunk_due(gpointer data)
{
	struct chunk *chunk = data;
	struct flow *flow = chunk->flow;

	if (g_cancellable_is_cancelled(flow->connection->cancel)) {
		flow_close(flow);
	} else if (flow_is_stalled(flow)) {
		return G_SOURCE_CONTINUE;
	} else {
		g_output_stream_write_all_async(
			flow->to, flow->chunk, chunk->len, G_PRIORITY_DEFAULT,
			flow->connection->cancel, on_written, flow);
	}
	g_free(chunk);
	return G_SOURCE_REMOVE;
}

static void on_read(GObject *stream, GAsyncResult *result, gpointer data)
{
	struct flow *flow = data;
	struct relay *relay = flow->connection->relay;
	gssize len = g_input_stream_read_finish(G_INPUT_STREAM(stream), result,
						NULL);
	struct chunk *chunk;
	guint delay_ms = relay->mode == MODE_DELAY ? relay->delay_ms : 0;

	if (len <= 0) {
		flow_close(flow);
		return;
	}
	chunk = g_new0(struct chunk, 1);
	chunk->flow = flow;
	chunk->len = (gsize)len;
	if (flow_is_stalled(flow))
		delay_ms = RELAY_TICK_MS;
	if (delay_ms > 0)
		g_timeout_add(delay_ms, on_chunk_due, chunk);
	else
		on_chunk_due(chunk);
}

static void flow_read(struct flow *flow)
{
	g_input_stream_read_async(flow->from, flow->chunk, RELAY_CHUNK_BYTES,
				  G_PRIORITY_DEFAULT, flow->connection->cancel,
				  on_read, flow);
}

static void flow_start(struct connection *connection, struct flow *flow,
		       GSocketConnection *from, GSocketConnection *to,
		       bool from_target)
{
	flow->connection = connection;
	flow->from = g_io_stream_get_input_stream(G_IO_STREAM(from));
	flow->to = g_io_stream_get_output_stream(G_IO_STREAM(to));
	flow->from_target = from_target;
	connection->open_flows++;
	flow_read(flow);
}

static gboolean on_incoming(GSocketService *service, GSocketConnection *client,
			    GObject *source, gpointer data)
{
	struct relay *relay = data;
	g_autoptr(GSocketClient) connector = g_socket_client_new();
	GSocketConnection *target;
	struct connection *connection;

	/* Blocking: on the loopback a connection is made or refused at once. */
	target = g_socket_client_connect_to_host(
		connector, "127.0.0.1", relay->target_port, NULL, NULL);
	if (!target)
		return TRUE;
	connection = g_new0(struct connection, 1);
	connection->relay = relay;
	connection->client = g_object_ref(client);
	connection->target = target;
	connection->cancel = g_cancellable_new();
	connection->node.data = connection;
	g_queue_push_tail_link(&relay->connections, &connection->node);
	flow_start(connection, &connection->flows[0], client, target, false);
	flow_start(connection, &connection->flows[1], target, client, true);
	return TRUE;
}

static gboolean on_tick(gpointer data)
{
	static const char *const mode_names[] = { "pass", "delay", "reset",
						  "silent", "oneway" };
	struct relay *relay = data;
	g_autofree char *text = NULL;

	if (!g_file_get_contents(relay->mode_file, &text, NULL, NULL))
		return G_SOURCE_CONTINUE;
	for (size_t i = 0; i < G_N_ELEMENTS(mode_names); i++) {
		if (!g_str_has_prefix(text, mode_names[i]))
			continue;
		relay->mode = i;
		if (i == MODE_DELAY)
			relay->delay_ms =
				(guint)atoi(text + strlen(mode_names[i]));
	}
	if (relay->mode == MODE_RESET) {
		for (GList *node = relay->connections.head; node;
		     node = node->next)
			connection_reset(node->data);
	}
	return G_SOURCE_CONTINUE;
}

int main(int argc, char **argv)
{
	g_autoptr(GMainLoop) loop = g_main_loop_new(NULL, FALSE);
	g_autoptr(GSocketService) service = g_socket_service_new();
	g_autoptr(GSocketAddress) address = NULL;
	g_autoptr(GError) error = NULL;
	struct relay relay = { 0 };

	if (argc != 4) {
		fprintf(stderr, "usage: %s LISTEN_PORT TARGET_PORT MODE_FILE\n",
			argv[0]);
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	relay.target_port = (uint16_t)atoi(argv[2]);
	relay.mode_file = argv[3];
	address = g_inet_socket_address_new_from_string("127.0.0.1",
							(guint)atoi(argv[1]));
	if (!g_socket_listener_add_address(
		    G_SOCKET_LISTENER(service), address, G_SOCKET_TYPE_STREAM,
		    G_SOCKET_PROTOCOL_TCP, NULL, NULL, &error)) {
		fprintf(stderr, "%s: %s\n", argv[0], error->message);
		return 1;
	}
	g_signal_connect(service, "incoming", G_CALLBACK(on_incoming), &relay);
	g_timeout_add(RELAY_TICK_MS, on_tick, &relay);
	g_main_loop_run(loop);
	return 0;
}
