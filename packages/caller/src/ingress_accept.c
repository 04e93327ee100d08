#include "ingress_private.h"

/* Connections beyond connections_max whose requests are refused: share of the
 * bound, and at least. */
#define INGRESS_REFUSALS_PER_CONNECTIONS 16
#define INGRESS_REFUSALS_MIN 4
/* Connections that are closed per iteration of the loop to make room. */
#define INGRESS_CLOSING_MAX 4
/* Pause in which accepted connections are read and closing ones are closed. */
#define INGRESS_SETTLE_MS 2
/* Interval between checks for incomplete requests, and while these could exceed
 * the bound on their bytes. */
#define INGRESS_CHECK_MS 1000
#define INGRESS_CHECK_BYTES_MS 250

static uint32_t refusals_max(const struct ingress_server *server)
{
	return MAX(server->connections_max / INGRESS_REFUSALS_PER_CONNECTIONS,
		   INGRESS_REFUSALS_MIN);
}

/*
 * A connection beyond the bound is accepted before another is closed for it, as
 * it is not known whether there is one to accept.
 */
static bool may_accept(void *data)
{
	struct ingress_server *server = data;
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
		acceptor_pause(server->acceptor, INGRESS_SETTLE_MS);
		return false;
	case INGRESS_EVICTION_NONE:
		break;
	}
	if (live < server->connections_max + refusals_max(server))
		return true;
	acceptor_pause_exhausted(server->acceptor,
				 "all connections have requests in progress");
	return false;
}

static void check_schedule(struct ingress_server *server)
{
	bool bytes_may_exceed =
		server->counts.open * server->config.max_request_entity_size >
		server->input_max_bytes;

	loop_timer_set(server->loop, &server->check_timer,
		       bytes_may_exceed ? INGRESS_CHECK_BYTES_MS
					: INGRESS_CHECK_MS);
}

static void on_check(void *data)
{
	struct ingress_server *server = data;

	ingress_connection_check_all(server);
	if (server->counts.open > 0)
		check_schedule(server);
}

static void on_accept(void *data, h2o_socket_t *sock)
{
	struct ingress_server *server = data;

	ingress_connection_create(server, sock);
	if (!timer_is_set(&server->check_timer))
		check_schedule(server);
	h2o_accept(&server->accept_ctx, sock);
}

/* An idle connection gives its descriptor back. */
static void on_exhausted(void *data)
{
	ingress_connection_evict(data);
}

static const struct acceptor_ops accept_ops = {
	.may_accept = may_accept,
	.on_accept = on_accept,
	.on_exhausted = on_exhausted,
};

enum err_kind ingress_accept_start(struct ingress_server *server,
				   const char *ip, uint16_t port)
{
	enum err_kind err;

	g_queue_init(&server->fresh);
	g_queue_init(&server->idle);
	g_queue_init(&server->closing);
	server->check_timer = (struct timer){ .cb = on_check, .data = server };
	err = acceptor_create(server->loop, ip, port, &accept_ops, server,
			      &server->acceptor);
	if (err == ERR_NONE)
		server->port = acceptor_port(server->acceptor);
	return err;
}

void ingress_accept_close(struct ingress_server *server)
{
	if (!server->acceptor)
		return;
	acceptor_drain(server->acceptor);
	server->counts.accept_pauses = acceptor_pause_count(server->acceptor);
	g_clear_pointer(&server->acceptor, acceptor_destroy);
}

void ingress_accept_stop(struct ingress_server *server)
{
	timer_cancel(&server->check_timer);
	g_clear_pointer(&server->acceptor, acceptor_destroy);
}
