/**
 * @file relay.c
 * @brief A TCP relay on the loopback that harms the connections it carries.
 *
 * Usage: standin_relay LISTEN_PORT TARGET_PORT MODE_FILE. The file holds a word
 * and a number and is read again and again: "pass", "delay MS" for each piece,
 * "reset" for all connections, open ones too, "silent" to hold all bytes,
 * "oneway" to hold those of the answers. Held bytes go on with "pass".
 */
#include <gio/gio.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define RELAY_PIECE_BYTES 16384
/* How often the mode is read, and held connections are looked at. */
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
	/* of struct link */
	GQueue links;
};

/* One direction of a connection. */
struct way {
	struct link *link;
	GInputStream *from;
	GOutputStream *to;
	bool is_answer;
	char piece[RELAY_PIECE_BYTES];
};

/* A connection and the one that carries it on; freed with its last way. */
struct link {
	struct relay *relay;
	GSocketConnection *near;
	GSocketConnection *far;
	GCancellable *stop;
	GList node;
	struct way ways[2];
	int open_ways;
};

static void way_read(struct way *way);

static void link_reset(struct link *link)
{
	const struct linger none = { .l_onoff = 1 };
	GSocketConnection *both[] = { link->near, link->far };

	for (size_t i = 0; i < G_N_ELEMENTS(both); i++)
		setsockopt(g_socket_get_fd(
				   g_socket_connection_get_socket(both[i])),
			   SOL_SOCKET, SO_LINGER, &none, sizeof(none));
	g_cancellable_cancel(link->stop);
}

static void way_end(struct way *way)
{
	struct link *link = way->link;

	/* Either side's end ends both; no caller here keeps half open. */
	g_cancellable_cancel(link->stop);
	if (--link->open_ways > 0)
		return;
	g_io_stream_close(G_IO_STREAM(link->near), NULL, NULL);
	g_io_stream_close(G_IO_STREAM(link->far), NULL, NULL);
	g_queue_unlink(&link->relay->links, &link->node);
	g_object_unref(link->near);
	g_object_unref(link->far);
	g_object_unref(link->stop);
	g_free(link);
}

static void on_written(GObject *stream, GAsyncResult *result, gpointer data)
{
	struct way *way = data;

	if (g_output_stream_write_all_finish(G_OUTPUT_STREAM(stream), result,
					     NULL, NULL))
		way_read(way);
	else
		way_end(way);
}

static bool way_is_held(const struct way *way)
{
	enum mode mode = way->link->relay->mode;

	return mode == MODE_SILENT || (mode == MODE_ONEWAY && way->is_answer);
}

/* A piece on its way; len is how much of the way's buffer it takes. */
struct piece {
	struct way *way;
	gsize len;
};

static gboolean on_piece_due(gpointer data)
{
	struct piece *piece = data;
	struct way *way = piece->way;

	if (g_cancellable_is_cancelled(way->link->stop)) {
		way_end(way);
	} else if (way_is_held(way)) {
		return G_SOURCE_CONTINUE;
	} else {
		g_output_stream_write_all_async(
			way->to, way->piece, piece->len, G_PRIORITY_DEFAULT,
			way->link->stop, on_written, way);
	}
	g_free(piece);
	return G_SOURCE_REMOVE;
}

static void on_read(GObject *stream, GAsyncResult *result, gpointer data)
{
	struct way *way = data;
	struct relay *relay = way->link->relay;
	gssize len = g_input_stream_read_finish(G_INPUT_STREAM(stream), result,
						NULL);
	struct piece *piece;
	guint wait_ms = relay->mode == MODE_DELAY ? relay->delay_ms : 0;

	if (len <= 0) {
		way_end(way);
		return;
	}
	piece = g_new0(struct piece, 1);
	piece->way = way;
	piece->len = (gsize)len;
	if (way_is_held(way))
		wait_ms = RELAY_TICK_MS;
	if (wait_ms > 0)
		g_timeout_add(wait_ms, on_piece_due, piece);
	else
		on_piece_due(piece);
}

static void way_read(struct way *way)
{
	g_input_stream_read_async(way->from, way->piece, RELAY_PIECE_BYTES,
				  G_PRIORITY_DEFAULT, way->link->stop, on_read,
				  way);
}

static void way_begin(struct link *link, struct way *way,
		      GSocketConnection *from, GSocketConnection *to,
		      bool is_answer)
{
	way->link = link;
	way->from = g_io_stream_get_input_stream(G_IO_STREAM(from));
	way->to = g_io_stream_get_output_stream(G_IO_STREAM(to));
	way->is_answer = is_answer;
	link->open_ways++;
	way_read(way);
}

static gboolean on_incoming(GSocketService *service, GSocketConnection *near,
			    GObject *source, gpointer data)
{
	struct relay *relay = data;
	g_autoptr(GSocketClient) client = g_socket_client_new();
	GSocketConnection *far;
	struct link *link;

	/* On the loopback a connection stands or is refused at once. */
	far = g_socket_client_connect_to_host(client, "127.0.0.1",
					      relay->target_port, NULL, NULL);
	if (!far)
		return TRUE;
	link = g_new0(struct link, 1);
	link->relay = relay;
	link->near = g_object_ref(near);
	link->far = far;
	link->stop = g_cancellable_new();
	link->node.data = link;
	g_queue_push_tail_link(&relay->links, &link->node);
	way_begin(link, &link->ways[0], near, far, false);
	way_begin(link, &link->ways[1], far, near, true);
	return TRUE;
}

static gboolean on_tick(gpointer data)
{
	static const char *const names[] = { "pass", "delay", "reset", "silent",
					     "oneway" };
	struct relay *relay = data;
	g_autofree char *text = NULL;

	if (!g_file_get_contents(relay->mode_file, &text, NULL, NULL))
		return G_SOURCE_CONTINUE;
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (g_str_has_prefix(text, names[i]))
			relay->mode = i;
	}
	relay->delay_ms = relay->mode == MODE_DELAY
				  ? (guint)atoi(text + strlen("delay"))
				  : 0;
	if (relay->mode == MODE_RESET) {
		for (GList *node = relay->links.head; node; node = node->next)
			link_reset(node->data);
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
