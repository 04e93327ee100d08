/**
 * @file ingress_private.h
 * @brief Parts that the files of the callers' server share.
 */
#ifndef INGRESS_PRIVATE_H
#define INGRESS_PRIVATE_H

#include "acceptor.h"
#include "ingress.h"

/** Limit on the size of a request's target and headers together. */
#define INGRESS_HEAD_MAX_BYTES 32768

/** An accepted connection; freed when its socket is closed and its last
 *  request has ended. */
struct ingress_connection {
	struct ingress_server *server;
	/** NULL after the socket was closed */
	h2o_socket_t *sock;
	/** place in one of the server's lists while no request is in progress
	 */
	GList link;
	GQueue *list;
	uint32_t requests;
	/** accepted beyond connections_max */
	bool over_bound;
	/** no request is read from it any more */
	bool closing;
	/** closing was repeated, as the first attempt had no effect */
	bool forced;
	bool http2;
	/** bytes of the head if the input holds a whole one and its body is
	 *  incomplete, else 0 */
	uint64_t head_bytes;
	/** when the connection was accepted, or its last request ended */
	uint64_t silent_ms;
	/** last time at which no byte of a next request had arrived */
	uint64_t empty_ms;
	/** when the incomplete request began, 0 for none */
	uint64_t begun_ms;
	uint64_t input_bytes;
	/** bytes have arrived between the last two checks */
	bool grew;
	/** start of the window in which the body must make progress */
	uint64_t window_ms;
	uint64_t window_bytes;
};

struct ingress_server {
	struct loop *loop;
	const struct ingress_ops *ops;
	void *data;
	h2o_globalconf_t config;
	h2o_context_t ctx;
	h2o_accept_ctx_t accept_ctx;
	/** NULL after the listener was closed */
	struct acceptor *acceptor;
	uint16_t port;
	bool shutting_down;
	uint32_t open_requests;
	/** connections accepted and requests received */
	uint64_t events;
	uint32_t connections_max;
	uint64_t input_max_bytes;
	struct ingress_counts counts;
	/** connections without a request in progress, by waiting time: those
	 *  that never had a whole request, those that had one, and those that
	 *  are closing */
	GQueue fresh;
	GQueue idle;
	GQueue closing;
	struct timer check_timer;
};

/**
 * @brief Starts to listen and to accept connections.
 * @return ERR_NONE, ERR_INVALID for a bad address, ERR_IO
 */
enum err_kind ingress_accept_start(struct ingress_server *server,
				   const char *ip, uint16_t port);

/** @brief Accepts what waits, then stops listening; open connections are
 *  served on. */
void ingress_accept_close(struct ingress_server *server);

/** @brief Stops accepting and cancels the timers; open connections stay. */
void ingress_accept_stop(struct ingress_server *server);

/** @brief Starts to track an accepted socket. */
void ingress_connection_create(struct ingress_server *server,
			       h2o_socket_t *sock);

/**
 * @brief Marks the request's connection as in use until the request ends.
 * @return the connection
 */
struct ingress_connection *ingress_connection_hold(h2o_req_t *req);

/**
 * @brief Returns whether the request that has arrived must be refused because
 * connections_max others have requests in progress.
 */
bool ingress_connection_is_refused(const struct ingress_connection *connection);

/** @brief Returns the number of open connections that are not closing. */
uint32_t ingress_connection_live_count(const struct ingress_server *server);

/** Result of the search for a connection that may be closed. */
enum ingress_eviction {
	INGRESS_EVICTED,
	/** it is too early to tell for some, whose bytes are not read yet or
	 *  whose bodies have only begun */
	INGRESS_EVICTION_UNDECIDED,
	/** all connections have requests in progress */
	INGRESS_EVICTION_NONE,
};

/** @brief Closes the connection that has waited longest without a request in
 *  progress. */
enum ingress_eviction ingress_connection_evict(struct ingress_server *server);

/** @brief Closes connections whose requests stay incomplete, or together hold
 *  too many bytes; called repeatedly while there are connections. */
void ingress_connection_check_all(struct ingress_server *server);

#endif
