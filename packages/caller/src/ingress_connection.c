#include <string.h>
#include <sys/socket.h>

#include "ingress_private.h"

/* Time from the first byte of a request to its complete head. */
#define INGRESS_HEAD_TIMEOUT_MS 10000
/* Bytes of a body that must arrive in each window. */
#define INGRESS_BODY_WINDOW_MS 10000
#define INGRESS_BODY_WINDOW_MIN_BYTES 5120
/* A body that arrives more slowly after a grace time gives way to new
 * connections. */
#define INGRESS_BODY_SLOW_BYTES_PER_S 4096
#define INGRESS_BODY_SLOW_GRACE_MS 40
/* Time for the first bytes after a connection was accepted or answered. */
#define INGRESS_SILENT_GRACE_MS 10
/* The same for a connection that had a request, while there are new ones that
 * are only too young to be closed: a burst of them must not close those of
 * callers that are served. */
#define INGRESS_SERVED_GRACE_MS 1000
/* Connections that are looked at for one that may be closed. */
#define INGRESS_EVICT_CANDIDATES 64

static void list_set(struct ingress_connection *connection, GQueue *list)
{
	if (connection->list)
		g_queue_unlink(connection->list, &connection->link);
	connection->list = list;
	if (list)
		g_queue_push_tail_link(list, &connection->link);
}

static void connection_release(struct ingress_connection *connection)
{
	if (!connection->sock && connection->requests == 0)
		g_free(connection);
}

static void accept_resume(struct ingress_server *server)
{
	if (server->acceptor)
		acceptor_resume_soon(server->acceptor);
}

static void on_socket_close(void *data)
{
	struct ingress_connection *connection = data;
	struct ingress_server *server = connection->server;

	list_set(connection, NULL);
	connection->sock = NULL;
	server->counts.open--;
	accept_resume(server);
	connection_release(connection);
}

void ingress_connection_create(struct ingress_server *server,
			       h2o_socket_t *sock)
{
	struct ingress_connection *connection =
		g_new0(struct ingress_connection, 1);

	connection->server = server;
	connection->sock = sock;
	connection->link.data = connection;
	connection->over_bound = ingress_connection_live_count(server) >=
				 server->connections_max;
	connection->empty_ms = loop_now_ms();
	connection->silent_ms = connection->empty_ms;
	list_set(connection, &server->fresh);
	server->counts.open++;
	server->events++;
	sock->on_close.cb = on_socket_close;
	sock->on_close.data = connection;
}

uint32_t ingress_connection_live_count(const struct ingress_server *server)
{
	return server->counts.open - server->closing.length;
}

static void request_forget(struct ingress_connection *connection,
			   uint64_t now_ms)
{
	connection->head_bytes = 0;
	connection->empty_ms = now_ms;
	connection->begun_ms = 0;
	connection->input_bytes = 0;
}

/* Part of a request; tells the connection when the request ends. */
struct connection_hold {
	struct ingress_connection *connection;
};

static void on_request_end(void *memory)
{
	const struct connection_hold *hold = memory;
	struct ingress_connection *connection = hold->connection;
	struct ingress_server *server = connection->server;

	connection->requests--;
	if (connection->sock && connection->requests == 0) {
		request_forget(connection, loop_now_ms());
		connection->silent_ms = connection->empty_ms;
		list_set(connection, connection->closing ? &server->closing
							 : &server->idle);
		accept_resume(server);
	}
	connection_release(connection);
}

struct ingress_connection *ingress_connection_hold(h2o_req_t *req)
{
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);
	struct ingress_connection *connection = sock->on_close.data;
	struct connection_hold *hold =
		h2o_mem_alloc_shared(&req->pool, sizeof(*hold), on_request_end);

	hold->connection = connection;
	connection->requests++;
	connection->http2 = req->version >= 0x200;
	/* One that is closing stays counted as such. */
	if (!connection->closing)
		list_set(connection, NULL);
	return connection;
}

/* A request that has arrived meanwhile is still read and refused: the sending
 * direction stays open. */
static void connection_close(struct ingress_connection *connection)
{
	connection->closing = true;
	list_set(connection, &connection->server->closing);
	shutdown(h2o_socket_get_fd(connection->sock), SHUT_RD);
}

static bool has_unread_bytes(const struct ingress_connection *connection)
{
	char byte;

	return recv(h2o_socket_get_fd(connection->sock), &byte, sizeof(byte),
		    MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* A head may end with bare line feeds. */
static bool head_is_complete(struct ingress_connection *connection)
{
	const h2o_buffer_t *input = connection->sock->input;
	const char *end;

	if (connection->head_bytes > 0)
		return true;
	end = memmem(input->bytes, input->size, "\n\r\n", 3);
	if (!end)
		end = memmem(input->bytes, input->size, "\n\n", 2);
	if (end)
		connection->head_bytes = (uint64_t)(end - input->bytes) +
					 (end[1] == '\r' ? 3 : 2);
	return end != NULL;
}

/* Notes how much of an incomplete request has arrived. h2o keeps it in the
 * input buffer of the socket until it is complete. */
static void request_observe(struct ingress_connection *connection,
			    uint64_t now_ms)
{
	uint64_t bytes = connection->sock->input->size;

	if (bytes < connection->input_bytes || bytes == 0)
		request_forget(connection, now_ms);
	if (bytes > 0 && connection->begun_ms == 0) {
		connection->begun_ms = connection->empty_ms;
		connection->window_ms = now_ms;
		connection->window_bytes = bytes;
	}
	connection->grew = bytes > connection->input_bytes;
	connection->input_bytes = bytes;
}

/* Whether a connection with a whole head may be closed for its body's sake. */
static enum ingress_eviction
body_evictable(const struct ingress_connection *connection, uint64_t now_ms)
{
	const struct ingress_server *server = connection->server;
	uint64_t age_ms = now_ms - connection->begun_ms;
	uint64_t body_bytes = connection->input_bytes - connection->head_bytes;

	if (age_ms <= INGRESS_BODY_SLOW_GRACE_MS)
		return INGRESS_EVICTION_UNDECIDED;
	/* Its request would be refused. */
	if (connection->over_bound &&
	    ingress_connection_live_count(server) > server->connections_max)
		return INGRESS_EVICTED;
	return body_bytes < age_ms * INGRESS_BODY_SLOW_BYTES_PER_S / 1000
		       ? INGRESS_EVICTED
		       : INGRESS_EVICTION_NONE;
}

static enum ingress_eviction
connection_evict(struct ingress_connection *connection, uint32_t grace_ms,
		 uint64_t now_ms)
{
	enum ingress_eviction result = INGRESS_EVICTED;

	request_observe(connection, now_ms);
	if (has_unread_bytes(connection) ||
	    now_ms - connection->silent_ms < grace_ms)
		return INGRESS_EVICTION_UNDECIDED;
	if (connection->begun_ms != 0 &&
	    (connection->http2 || head_is_complete(connection)))
		result = body_evictable(connection, now_ms);
	if (result == INGRESS_EVICTED) {
		connection->server->counts.evicted++;
		connection_close(connection);
	}
	return result;
}

static enum ingress_eviction list_evict(GQueue *list, uint32_t grace_ms,
					uint64_t now_ms)
{
	uint32_t candidates = MIN(list->length, INGRESS_EVICT_CANDIDATES);
	enum ingress_eviction result = INGRESS_EVICTION_NONE;

	for (uint32_t i = 0; i < candidates; i++) {
		struct ingress_connection *connection = list->head->data;
		enum ingress_eviction one =
			connection_evict(connection, grace_ms, now_ms);

		if (one == INGRESS_EVICTED)
			return one;
		result = MIN(result, one);
		/* It has made progress, so it has not waited longest. */
		list_set(connection, list);
	}
	return result;
}

enum ingress_eviction ingress_connection_evict(struct ingress_server *server)
{
	uint64_t now_ms = loop_now_ms();
	enum ingress_eviction fresh =
		list_evict(&server->fresh, INGRESS_SILENT_GRACE_MS, now_ms);

	if (fresh == INGRESS_EVICTED)
		return fresh;
	return MIN(fresh, list_evict(&server->idle,
				     fresh == INGRESS_EVICTION_UNDECIDED
					     ? INGRESS_SERVED_GRACE_MS
					     : INGRESS_SILENT_GRACE_MS,
				     now_ms));
}

bool ingress_connection_is_refused(const struct ingress_connection *connection)
{
	const struct ingress_server *server = connection->server;
	uint32_t waiting = server->fresh.length + server->idle.length;

	return connection->closing ||
	       ingress_connection_live_count(server) - waiting >
		       server->connections_max;
}

static bool body_makes_progress(struct ingress_connection *connection,
				uint64_t now_ms)
{
	if (now_ms - connection->window_ms < INGRESS_BODY_WINDOW_MS)
		return true;
	if (connection->input_bytes - connection->window_bytes <
	    INGRESS_BODY_WINDOW_MIN_BYTES)
		return false;
	connection->window_ms = now_ms;
	connection->window_bytes = connection->input_bytes;
	return true;
}

static bool request_is_overdue(struct ingress_connection *connection,
			       uint64_t now_ms)
{
	request_observe(connection, now_ms);
	if (connection->begun_ms == 0)
		return false;
	if (!connection->http2 &&
	    (connection->input_bytes > INGRESS_HEAD_MAX_BYTES ||
	     now_ms - connection->begun_ms >= INGRESS_HEAD_TIMEOUT_MS) &&
	    !head_is_complete(connection))
		return true;
	return !body_makes_progress(connection, now_ms);
}

static void half_sent_close(struct ingress_connection *connection)
{
	connection->server->counts.half_sent++;
	connection_close(connection);
}

/* Returns the bytes of the incomplete requests that remain. */
static uint64_t list_check(GQueue *list, uint64_t now_ms)
{
	uint64_t bytes = 0;
	GList *next;

	for (GList *node = list->head; node; node = next) {
		struct ingress_connection *connection = node->data;

		next = node->next;
		if (request_is_overdue(connection, now_ms))
			half_sent_close(connection);
		else
			bytes += connection->input_bytes;
	}
	return bytes;
}

/* Closes connections with large incomplete requests until these are within the
 * bound; returns the bytes that remain. */
static uint64_t list_bound(GQueue *list, uint64_t bytes, uint64_t max_bytes,
			   bool growing)
{
	GList *next;

	for (GList *node = list->head; node && bytes > max_bytes; node = next) {
		struct ingress_connection *connection = node->data;

		next = node->next;
		if (connection->grew != growing ||
		    connection->input_bytes <= INGRESS_HEAD_MAX_BYTES)
			continue;
		bytes -= connection->input_bytes;
		half_sent_close(connection);
	}
	return bytes;
}

static void closing_check(GQueue *closing)
{
	for (GList *node = closing->head; node; node = node->next) {
		struct ingress_connection *connection = node->data;

		if (connection->forced && connection->requests == 0)
			shutdown(h2o_socket_get_fd(connection->sock),
				 SHUT_RDWR);
		connection->forced = true;
	}
}

void ingress_connection_check_all(struct ingress_server *server)
{
	GQueue *const lists[] = { &server->fresh, &server->idle };
	uint64_t now_ms = loop_now_ms();
	uint64_t bytes = 0;

	closing_check(&server->closing);
	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++)
		bytes += list_check(lists[i], now_ms);
	/* Those that make no progress go first. */
	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++)
		bytes = list_bound(lists[i], bytes, server->input_max_bytes,
				   false);
	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++)
		bytes = list_bound(lists[i], bytes, server->input_max_bytes,
				   true);
}
