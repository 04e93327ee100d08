/**
 * @file ingress.h
 * @brief HTTP server that receives callers' requests.
 *
 * Prefix: ingress_. Uses h2o; serves HTTP/1.1 and HTTP/2 with prior knowledge.
 * Each request gets exactly one response. docs/CALLERS.md describes the
 * interface for callers.
 */
#ifndef INGRESS_H
#define INGRESS_H

#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "loop.h"
#include "outcome.h"

/** Request header: deadline in milliseconds after the request's arrival. */
#define INGRESS_HEADER_DEADLINE "sassafrascart-deadline-ms"
/** Header that carries the request ID to and from backend servers. */
#define INGRESS_HEADER_REQUEST_ID "x-request-id"
/** Request header: requests with the same key are run at most once. */
#define INGRESS_HEADER_IDEMPOTENCY_KEY "idempotency-key"

/** An HTTP server, opaque. */
struct ingress_server;

/** A caller's request, opaque; valid until it is responded to or its caller
 *  disconnects. */
struct ingress_request;

/** A request or response header, as NUL-terminated strings. */
struct ingress_header {
	const char *name;
	const char *value;
};

/** Listening address and limits of a server. */
struct ingress_config {
	const char *ip;
	/** 0 for any free port */
	uint16_t port;
	uint64_t body_max_bytes;
	/** bytes of all incomplete requests together, beyond which connections
	 *  with large ones are closed; 0 for no bound */
	uint64_t input_max_bytes;
	/**
	 * A further connection takes the place of the one that has waited
	 * longest without a request in progress. If all have one, a few more
	 * are accepted, whose requests are refused with
	 * OUTCOME_CONNECTION_LIMIT, and the others wait in the listen queue.
	 */
	uint32_t connections_max;
	/** timeout of an idle connection and of an incomplete request */
	uint32_t idle_timeout_ms;
};

/** Counts of a server's connections. */
struct ingress_counts {
	/** open now */
	uint32_t open;
	/** requests refused because of connections_max */
	uint64_t refused;
	/** closed because the rest of a request did not arrive in time, or
	 *  incomplete requests held too many bytes */
	uint64_t half_sent;
	/** closed to make room for another one */
	uint64_t evicted;
	/** times that accepting was paused for want of connections or
	 *  descriptors */
	uint64_t accept_pauses;
};

/** Parsed request; its strings are NUL-terminated and owned by the request. */
struct ingress_view {
	const char *method;
	/** requested host, followed by the port if the caller gave one */
	const char *authority;
	/** path with query, as forwarded to backend servers */
	const char *target;
	/** normalised path without query, used for routing */
	const char *path;
	const struct ingress_header *headers;
	uint32_t header_count;
	/** bytes of target and headers */
	uint64_t head_bytes;
	const void *body;
	uint64_t body_bytes;
};

/** A response with its body; copied when it is sent. */
struct ingress_response {
	uint16_t status;
	const struct ingress_header *headers;
	uint32_t header_count;
	const void *body;
	uint64_t body_bytes;
	/** Content-Length of the response to a HEAD request, -1 if unknown */
	int64_t content_length;
};

/** Callbacks of a server. */
struct ingress_ops {
	/** a complete request has arrived; respond now or later */
	void (*on_request)(void *data, struct ingress_request *request);
	/** the caller disconnected before the response was sent; the request
	 *  is invalid once this returns */
	void (*on_disconnect)(void *data, struct ingress_request *request);
	/** fills the response to a request for one of the process's own pages,
	 *  such as /metrics; returns false if path is not such a page */
	bool (*on_page)(void *data, const char *path,
			struct ingress_response *response, GString *body);
};

/**
 * @brief Creates a server and starts to listen.
 * @return ERR_NONE, ERR_INVALID for a bad address, ERR_IO
 */
enum err_kind ingress_server_create(struct loop *loop,
				    const struct ingress_config *config,
				    const struct ingress_ops *ops, void *data,
				    struct ingress_server **out);

/**
 * @brief Closes the server immediately; no callback is called afterwards.
 * @param server may be NULL
 */
void ingress_server_destroy(struct ingress_server *server);

/** @brief Returns the TCP port that the server listens on. */
uint16_t ingress_server_port(const struct ingress_server *server);

/** @brief Fills the counts of connections. */
void ingress_server_counts(const struct ingress_server *server,
			   struct ingress_counts *out);

/**
 * @brief Appends the counts in the Prometheus text format.
 * @param port value of the label that tells the process's servers apart
 */
void ingress_server_metrics_append(const struct ingress_server *server,
				   const char *port, GString *out);

/**
 * @brief Starts draining: each connection closes after its next response.
 *
 * New connections are accepted until the listener is closed, since a load
 * balancer keeps sending requests until its health check fails. They too close
 * after their response.
 */
void ingress_server_drain(struct ingress_server *server);

/**
 * @brief Stops listening: accepts what waits in the backlog, then refuses new
 *        connections. Open connections are served on.
 */
void ingress_server_close_listener(struct ingress_server *server);

/** State of ingress_server_is_quiet(), zero at first. */
struct ingress_quiet {
	/** connections and requests counted at the last look */
	uint64_t events;
	/** looks since the last event */
	uint32_t looks;
};

/**
 * @brief Tells whether the listener is closed, nothing has arrived since an
 *        earlier look and no request is in progress, so that the process may
 *        end.
 *
 * A request may still be on its way on a connection that was opened just before
 * the listener was closed, and requests that arrived while the process was
 * paused are only read when the loop goes on; hence several looks, with
 * iterations of the loop between them.
 *
 * @param looks number of successive looks without an event
 */
bool ingress_server_is_quiet(const struct ingress_server *server,
			     struct ingress_quiet *quiet, uint32_t looks);

/** @brief Counts requests whose response has not been sent completely. */
uint32_t ingress_server_in_flight(const struct ingress_server *server);

/** @brief Returns the parsed request, owned by the request. */
const struct ingress_view *
ingress_request_view(const struct ingress_request *request);

/** @brief Returns the value of a request header, or NULL if it is absent.
 *  @param name lower-case header name */
const char *ingress_request_header(const struct ingress_request *request,
				   const char *name);

/** @brief Attaches a pointer to the request for ingress_request_data(). */
void ingress_request_set_data(struct ingress_request *request, void *data);

/** @brief Returns the pointer set by ingress_request_set_data(), else NULL. */
void *ingress_request_data(const struct ingress_request *request);

/**
 * @brief Checks on the socket whether the caller's connection is still open.
 *
 * h2o does not read an HTTP/1.1 connection while a request is in progress, so
 * it does not report that the caller disconnected. Call this before dispatch.
 */
bool ingress_request_is_connected(const struct ingress_request *request);

/**
 * @brief Returns for how long a request that has just been passed to on_request
 * waited in the kernel, as when the process was paused.
 *
 * A lower bound: bytes of a later request on the connection hide it.
 */
uint32_t ingress_request_arrived_ago_ms(const struct ingress_request *request);

/** @brief Sends a complete response, such as that of a backend server, and ends
 *  the request. */
void ingress_request_respond(struct ingress_request *request,
			     const struct ingress_response *response);

/**
 * @brief Sends the response for an outcome other than a backend server's
 *        response, such as a full queue, and ends the request.
 * @param retry_after_s Retry-After header, sent for outcomes that define it
 */
void ingress_request_reject(struct ingress_request *request,
			    enum outcome outcome, uint32_t retry_after_s);

#endif
