/**
 * @file flood.c
 * @brief Keeps many incomplete or abusive connections open to a loopback port.
 *
 * Usage: standin_flood PORT COUNT MODE [PATH]. A connection that the other side
 * closes is opened again after FLOOD_REOPEN_MS. PATH is that of the request,
 * "/" by default. MODE is one of
 *
 *   idle    sends nothing
 *   half    sends a request line and a part of a header, then nothing
 *   drip    sends a valid request, one byte a second
 *   header  sends a header that does not end
 *   body    announces a body of FLOOD_BODY_BYTES and sends it without end
 *   upload  sends a body of FLOOD_UPLOAD_BYTES, one byte a second
 *   fill    sends all of a body of FLOOD_FILL_BYTES but its end, in parts of
 *           FLOOD_FILL_PART_BYTES per tick
 *   reset   sends a request and aborts the connection at the first byte of the
 *           answer
 *
 * Prints one line a second and exits after FLOOD_RUN_MS.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "loop.h"

#define FLOOD_RUN_MS 120000
#define FLOOD_TICK_MS 100
#define FLOOD_TICKS_PER_S (1000 / FLOOD_TICK_MS)
#define FLOOD_REOPEN_MS 1000
/* Connections opened per tick. */
#define FLOOD_OPENS_PER_TICK 500
/* Bytes that the modes without end send per tick. */
#define FLOOD_CHUNK_BYTES 2048
#define FLOOD_BODY_BYTES "1000000000"
#define FLOOD_UPLOAD_BYTES "500000"
#define FLOOD_FILL_BYTES 1000000
#define FLOOD_FILL_PART_BYTES 20000
#define FLOOD_STATUS_MAX 600

enum flood_mode {
	FLOOD_IDLE,
	FLOOD_HALF,
	FLOOD_DRIP,
	FLOOD_HEADER,
	FLOOD_BODY,
	FLOOD_UPLOAD,
	FLOOD_FILL,
	FLOOD_RESET,
	FLOOD_MODE_COUNT
};

static const char *const flood_mode_names[FLOOD_MODE_COUNT] = {
	[FLOOD_IDLE] = "idle", [FLOOD_HALF] = "half",
	[FLOOD_DRIP] = "drip", [FLOOD_HEADER] = "header",
	[FLOOD_BODY] = "body", [FLOOD_UPLOAD] = "upload",
	[FLOOD_FILL] = "fill", [FLOOD_RESET] = "reset",
};

struct flood_connection {
	struct flood *flood;
	/* NULL while the connection is closed */
	h2o_socket_t *sock;
	uint64_t open_from_ms;
	bool connected;
	bool writing;
	bool answered;
	/* bytes of the request sent so far, in the modes that send single ones
	 */
	size_t dripped_bytes;
	/* bytes of the body sent so far, in the mode that sends all but its end
	 */
	size_t filled_bytes;
	char byte;
};

struct flood {
	struct loop *loop;
	struct timer tick;
	uint32_t ticks;
	struct sockaddr_in target;
	enum flood_mode mode;
	/* sent after the connection is made, or byte by byte */
	char *request;
	struct flood_connection *connections;
	uint32_t count;
	uint32_t open;
	uint64_t closed;
	uint64_t connect_failed;
	uint64_t answers[FLOOD_STATUS_MAX];
	char chunk[FLOOD_CHUNK_BYTES];
	char *fill;
};

static void connection_close(struct flood_connection *connection)
{
	if (connection->connected)
		connection->flood->open--;
	h2o_socket_close(connection->sock);
	connection->sock = NULL;
	connection->connected = false;
	connection->open_from_ms = loop_now_ms() + FLOOD_REOPEN_MS;
}

static void connection_abort(struct flood_connection *connection)
{
	const struct linger abort_on_close = { .l_onoff = 1 };

	setsockopt(h2o_socket_get_fd(connection->sock), SOL_SOCKET, SO_LINGER,
		   &abort_on_close, sizeof(abort_on_close));
	connection_close(connection);
}

static void on_written(h2o_socket_t *sock, const char *err)
{
	struct flood_connection *connection = sock->data;

	/* An error is also reported to on_read(), which closes. */
	connection->writing = err != NULL;
}

static void connection_write(struct flood_connection *connection,
			     const char *bytes, size_t len)
{
	h2o_iovec_t vec = h2o_iovec_init(bytes, len);

	if (connection->writing || len == 0)
		return;
	connection->writing = true;
	h2o_socket_write(connection->sock, &vec, 1, on_written);
}

static void answer_count(struct flood_connection *connection)
{
	static const char begin[] = "HTTP/1.1 ";
	const h2o_buffer_t *input = connection->sock->input;
	int status;

	if (connection->answered || input->size < strlen(begin) + 3)
		return;
	connection->answered = true;
	status = atoi(input->bytes + strlen(begin));
	if (memcmp(input->bytes, begin, strlen(begin)) == 0 && status > 0 &&
	    status < FLOOD_STATUS_MAX)
		connection->flood->answers[status]++;
}

static void on_read(h2o_socket_t *sock, const char *err)
{
	struct flood_connection *connection = sock->data;

	answer_count(connection);
	if (connection->answered)
		h2o_buffer_consume(&sock->input, sock->input->size);
	if (err) {
		connection->flood->closed++;
		connection_close(connection);
	} else if (connection->flood->mode == FLOOD_RESET) {
		connection_abort(connection);
	}
}

static void on_connect(h2o_socket_t *sock, const char *err)
{
	struct flood_connection *connection = sock->data;
	struct flood *flood = connection->flood;

	if (err) {
		flood->connect_failed++;
		connection_close(connection);
		return;
	}
	connection->connected = true;
	flood->open++;
	h2o_socket_read_start(sock, on_read);
	if (flood->mode != FLOOD_IDLE && flood->mode != FLOOD_DRIP)
		connection_write(connection, flood->request,
				 strlen(flood->request));
}

static void connection_open(struct flood_connection *connection)
{
	struct flood *flood = connection->flood;

	connection->answered = false;
	connection->writing = false;
	connection->filled_bytes = 0;
	connection->dripped_bytes = 0;
	connection->sock = h2o_socket_connect(
		loop_h2o(flood->loop), (struct sockaddr *)&flood->target,
		sizeof(flood->target), on_connect);
	if (connection->sock) {
		connection->sock->data = connection;
	} else {
		flood->connect_failed++;
		connection->open_from_ms = loop_now_ms() + FLOOD_REOPEN_MS;
	}
}

static void drip(struct flood_connection *connection)
{
	const char *request = connection->flood->request;

	if (connection->flood->mode == FLOOD_UPLOAD)
		connection->byte = 'x';
	else
		connection->byte = request[connection->dripped_bytes];
	if (connection->byte == '\0')
		return;
	connection->dripped_bytes++;
	connection_write(connection, &connection->byte, 1);
}

static void connection_send_more(struct flood_connection *connection)
{
	struct flood *flood = connection->flood;

	switch (flood->mode) {
	case FLOOD_FILL:
		if (connection->writing ||
		    connection->filled_bytes + FLOOD_FILL_PART_BYTES >=
			    FLOOD_FILL_BYTES)
			break;
		connection->filled_bytes += FLOOD_FILL_PART_BYTES;
		connection_write(connection, flood->fill,
				 FLOOD_FILL_PART_BYTES);
		break;
	case FLOOD_HEADER:
	case FLOOD_BODY:
		connection_write(connection, flood->chunk,
				 sizeof(flood->chunk));
		break;
	case FLOOD_DRIP:
	case FLOOD_UPLOAD:
		if (flood->ticks % FLOOD_TICKS_PER_S == 0)
			drip(connection);
		break;
	default:
		break;
	}
}

static void flood_print(const struct flood *flood)
{
	printf("open %u closed %" G_GUINT64_FORMAT
	       " connect-failed %" G_GUINT64_FORMAT,
	       flood->open, flood->closed, flood->connect_failed);
	for (uint32_t status = 0; status < FLOOD_STATUS_MAX; status++) {
		if (flood->answers[status] > 0)
			printf(" status-%u %" G_GUINT64_FORMAT, status,
			       flood->answers[status]);
	}
	putchar('\n');
	fflush(stdout);
}

static void on_tick(void *data)
{
	struct flood *flood = data;
	uint64_t now_ms = loop_now_ms();
	uint32_t opens = 0;

	for (uint32_t i = 0; i < flood->count; i++) {
		struct flood_connection *connection = &flood->connections[i];

		if (connection->connected) {
			connection_send_more(connection);
		} else if (!connection->sock &&
			   connection->open_from_ms <= now_ms &&
			   opens < FLOOD_OPENS_PER_TICK) {
			opens++;
			connection_open(connection);
		}
	}
	if (++flood->ticks % FLOOD_TICKS_PER_S == 0)
		flood_print(flood);
	if (flood->ticks >= FLOOD_RUN_MS / FLOOD_TICK_MS)
		loop_stop(flood->loop);
	else
		loop_timer_set(flood->loop, &flood->tick, FLOOD_TICK_MS);
}

static char *request_text(enum flood_mode mode, const char *path)
{
	static const char head[] = " HTTP/1.1\r\nhost: jobs.example\r\n";

	switch (mode) {
	case FLOOD_HALF:
		return g_strconcat("GET ", path, head, "x-part: ", NULL);
	case FLOOD_HEADER:
		return g_strconcat("GET ", path, head, "x-long: ", NULL);
	case FLOOD_BODY:
		return g_strconcat("POST ", path, head, "content-length: ",
				   FLOOD_BODY_BYTES "\r\n\r\n", NULL);
	case FLOOD_UPLOAD:
		return g_strconcat("POST ", path, head, "content-length: ",
				   FLOOD_UPLOAD_BYTES "\r\n\r\n", NULL);
	case FLOOD_FILL:
		return g_strdup_printf("POST %s%scontent-length: %d\r\n\r\n",
				       path, head, FLOOD_FILL_BYTES);
	default:
		return g_strconcat("GET ", path, head, "\r\n", NULL);
	}
}

static bool mode_parse(const char *name, enum flood_mode *out)
{
	for (size_t i = 0; i < FLOOD_MODE_COUNT; i++) {
		if (strcmp(name, flood_mode_names[i]) == 0) {
			*out = (enum flood_mode)i;
			return true;
		}
	}
	return false;
}

static void descriptor_limit_raise(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	if (setrlimit(RLIMIT_NOFILE, &limit) != 0)
		perror("standin_flood: setrlimit");
}

static void flood_clear(struct flood *flood)
{
	for (uint32_t i = 0; i < flood->count; i++) {
		if (flood->connections[i].sock)
			connection_close(&flood->connections[i]);
	}
	loop_destroy(flood->loop);
	g_free(flood->fill);
	g_free(flood->connections);
	g_free(flood->request);
}

int main(int argc, char **argv)
{
	struct flood flood = { .tick = { .cb = on_tick } };

	if ((argc != 4 && argc != 5) || !mode_parse(argv[3], &flood.mode)) {
		fprintf(stderr,
			"usage: %s PORT COUNT "
			"idle|half|drip|header|body|upload|fill|reset [PATH]\n",
			argv[0]);
		return 2;
	}
	descriptor_limit_raise();
	flood.target.sin_family = AF_INET;
	flood.target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	flood.target.sin_port = htons((uint16_t)atoi(argv[1]));
	flood.count = (uint32_t)atoi(argv[2]);
	flood.request = request_text(flood.mode, argc == 5 ? argv[4] : "/");
	memset(flood.chunk, 'x', sizeof(flood.chunk));
	flood.fill = g_malloc0(FLOOD_FILL_PART_BYTES);
	flood.connections = g_new0(struct flood_connection, flood.count);
	for (uint32_t i = 0; i < flood.count; i++)
		flood.connections[i].flood = &flood;
	flood.tick.data = &flood;
	flood.loop = loop_create();
	signal(SIGPIPE, SIG_IGN);
	on_tick(&flood);
	loop_run_until_stopped(flood.loop);
	flood_clear(&flood);
	return 0;
}
