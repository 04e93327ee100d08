#include <errno.h>

#include "ingress_private.h"
#include "log.h"

#define INGRESS_ACCEPTS_PER_EVENT 16
/* Connections beyond connections_max whose requests are refused: share of the
 * bound, and at least. */
#define INGRESS_REFUSALS_PER_CONNECTIONS 16
#define INGRESS_REFUSALS_MIN 4
/* Connections that are closed per iteration of the loop to make room. */
#define INGRESS_CLOSING_MAX 4
/* Longest pause of accepting while no connection closes. */
#define INGRESS_PAUSE_MS 20
/* Pause in which accepted connections are read and closing ones are closed. */
#define INGRESS_SETTLE_MS 2
/* Interval between checks for incomplete requests. */
#define INGRESS_CHECK_MS 1000
/* Interval between warnings. */
#define INGRESS_WARNING_MS 10000

static uint32_t refusals_max(const struct ingress_server *server)
{
	return MAX(server->connections_max / INGRESS_REFUSALS_PER_CONNECTIONS,
		   INGRESS_REFUSALS_MIN);
}

static void listener_pause(struct ingress_server *server, uint32_t pause_ms)
{
	server->paused = true;
	h2o_socket_read_stop(server->listener);
	loop_timer_set(server->loop, &server->resume_timer, pause_ms);
}

static void accept_pause(struct ingress_server *server, const char *reason)
{
	uint64_t now_ms = loop_now_ms();

	listener_pause(server, INGRESS_PAUSE_MS);
	server->counts.accept_pauses++;
	if (server->warned_ms != 0 &&
	    now_ms - server->warned_ms < INGRESS_WARNING_MS)
		return;
	server->warned_ms = now_ms;
	log_warning("accept-paused",
		    "port %u accepts no connections until one closes: %s; "
		    "open %u, bound %u, pauses so far %" G_GUINT64_FORMAT,
		    (unsigned int)server->port, reason, server->counts.open,
		    server->connections_max, server->counts.accept_pauses);
}

/*
 * Returns whether a connection may be accepted; pauses if not. A connection
 * beyond the bound is accepted before another is closed for it, as it is not
 * known whether there is one to accept.
 */
static bool room_make(struct ingress_server *server)
{
	uint32_t live = ingress_connection_live_count(server);
	enum ingress_eviction eviction = INGRESS_EVICTION_UNDECIDED;

	if (server->closing.length < INGRESS_CLOSING_MAX) {
		if (live <= server->connections_max)
			return true;
		eviction = ingress_connection_evict(server);
	}
	switch (eviction) {
	case INGRESS_EVICTED:
		return true;
	case INGRESS_EVICTION_UNDECIDED:
		listener_pause(server, INGRESS_SETTLE_MS);
		return false;
	case INGRESS_EVICTION_NONE:
		break;
	}
	if (live < server->connections_max + refusals_max(server))
		return true;
	accept_pause(server, "all connections have requests in progress");
	return false;
}

static bool error_is_transient(int error)
{
	return error == EAGAIN || error == EWOULDBLOCK || error == EINTR ||
	       error == ECONNABORTED || error == EPROTO;
}

/* No descriptor or no memory: an idle connection gives its own back. */
static void on_accept_error(struct ingress_server *server, int error)
{
	accept_pause(server, g_strerror(error));
	ingress_connection_evict(server);
}

void ingress_accept_on_readable(h2o_socket_t *listener, const char *err)
{
	struct ingress_server *server = listener->data;

	if (err)
		return;
	for (int i = 0; i < INGRESS_ACCEPTS_PER_EVENT; i++) {
		h2o_socket_t *sock;

		if (!room_make(server))
			return;
		errno = 0;
		sock = h2o_evloop_socket_accept(listener);
		if (!sock) {
			if (!error_is_transient(errno))
				on_accept_error(server, errno);
			return;
		}
		ingress_connection_create(server, sock);
		if (!timer_is_set(&server->check_timer))
			loop_timer_set(server->loop, &server->check_timer,
				       INGRESS_CHECK_MS);
		h2o_accept(&server->accept_ctx, sock);
	}
}

static void on_resume(void *data)
{
	struct ingress_server *server = data;

	server->paused = false;
	h2o_socket_read_start(server->listener, ingress_accept_on_readable);
}

void ingress_accept_resume_soon(struct ingress_server *server)
{
	if (server->paused && server->listener)
		loop_timer_set(server->loop, &server->resume_timer, 0);
}

static void on_check(void *data)
{
	struct ingress_server *server = data;

	ingress_connection_check_all(server);
	if (server->counts.open > 0)
		loop_timer_set(server->loop, &server->check_timer,
			       INGRESS_CHECK_MS);
}

void ingress_accept_init(struct ingress_server *server)
{
	g_queue_init(&server->fresh);
	g_queue_init(&server->idle);
	g_queue_init(&server->closing);
	server->resume_timer =
		(struct timer){ .cb = on_resume, .data = server };
	server->check_timer = (struct timer){ .cb = on_check, .data = server };
}

void ingress_accept_stop(struct ingress_server *server)
{
	timer_cancel(&server->resume_timer);
	timer_cancel(&server->check_timer);
	h2o_socket_close(server->listener);
	server->listener = NULL;
}
