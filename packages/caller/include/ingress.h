/**
 * @file ingress.h
 * @brief The side towards callers: HTTP requests in, whole answers out.
 *
 * Prefix: ingress_. h2o serves HTTP/1.1 and HTTP/2 with prior knowledge. Each
 * request gets exactly one answer; docs/CALLERS.md describes it for callers.
 */
#ifndef INGRESS_H
#define INGRESS_H

#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "loop.h"
#include "outcome.h"

/** Request header with the caller's deadline in milliseconds from arrival. */
#define INGRESS_HEADER_DEADLINE "sassafrascart-deadline-ms"
/** Header that carries the request's identity to and from backend servers. */
#define INGRESS_HEADER_REQUEST_ID "x-request-id"
/** Request header that makes a repeated request run at most once. */
#define INGRESS_HEADER_IDEMPOTENCY_KEY "idempotency-key"

/** The server, opaque. */
struct ingress_server;

/** A caller's request, opaque; valid until answered or gone. */
struct ingress_request;

/** A header of a request or answer, not NULL-terminated by h2o. */
struct ingress_header {
	const char *name;
	const char *value;
};

/** Limits and address of the server. */
struct ingress_config {
	const char *ip;
	/** 0 for any free port */
	uint16_t port;
	uint64_t body_max_bytes;
	/** connections beyond this number are closed at once */
	uint32_t connections_max;
	/** time a connection may be idle or a request incomplete */
	uint32_t idle_timeout_ms;
};

/** What a request holds; strings are terminated and live as long as it. */
struct ingress_view {
	const char *method;
	/** host that the caller asked for, with its port if it named one */
	const char *authority;
	/** path with query, as sent on */
	const char *target;
	/** normalised path without query, for routing */
	const char *path;
	const struct ingress_header *headers;
	uint32_t header_count;
	/** bytes of target and headers */
	uint64_t head_bytes;
	const void *body;
	uint64_t body_bytes;
};

/** An answer with a body; all is copied. */
struct ingress_response {
	uint16_t status;
	const struct ingress_header *headers;
	uint32_t header_count;
	const void *body;
	uint64_t body_bytes;
	/** length of the body that a HEAD request leaves out, -1 for unknown */
	int64_t content_length;
};

/** What the server calls. */
struct ingress_ops {
	/** a whole request has arrived; answer now or later */
	void (*on_request)(void *data, struct ingress_request *request);
	/** the caller left before the answer; the request is invalid after */
	void (*on_disconnect)(void *data, struct ingress_request *request);
	/** fills the body of an operator's page; false when there is none */
	bool (*on_page)(void *data, const char *path,
			struct ingress_response *answer, GString *body);
};

/**
 * @brief Opens the server.
 * @return ERR_NONE, ERR_INVALID for a bad address, ERR_IO
 */
enum err_kind ingress_server_create(struct loop *loop,
				    const struct ingress_config *config,
				    const struct ingress_ops *ops, void *data,
				    struct ingress_server **out);

/**
 * @brief Closes the server at once; none of the ops is called any more.
 * @param server may be NULL
 */
void ingress_server_destroy(struct ingress_server *server);

/** @brief Returns the port that the server listens on. */
uint16_t ingress_server_port(const struct ingress_server *server);

/** @brief Returns the open connections and how many were closed at once. */
void ingress_server_connection_counts(const struct ingress_server *server,
				      uint32_t *open, uint64_t *refused);

/**
 * @brief Begins a graceful shutdown: connections close after their answers.
 *
 * New connections are accepted until destruction, so that the balancer has
 * time to notice the health page; each of their answers closes them.
 */
void ingress_server_drain(struct ingress_server *server);

/** @brief Counts requests whose answer has not been sent off entirely. */
uint32_t ingress_server_in_flight(const struct ingress_server *server);

/** @brief Returns what a request holds, owned by the request. */
const struct ingress_view *
ingress_request_view(const struct ingress_request *request);

/** @brief Finds a request header by its lower-case name, or NULL. */
const char *ingress_request_header(const struct ingress_request *request,
				   const char *name);

/** @brief Stores the owner's data with the request. */
void ingress_request_set_data(struct ingress_request *request, void *data);

/** @brief Returns the owner's data. */
void *ingress_request_data(const struct ingress_request *request);

/**
 * @brief Asks the kernel whether the caller's connection is still open.
 *
 * h2o does not read an HTTP/1.1 connection while a request is in progress,
 * so this is how a caller that left is noticed before dispatch.
 */
bool ingress_request_is_connected(const struct ingress_request *request);

/** @brief Sends a backend server's whole answer; ends the request. */
void ingress_request_respond(struct ingress_request *request,
			     const struct ingress_response *answer);

/**
 * @brief Sends the final answer of an outcome of our own; ends the request.
 * @param retry_after_s sent where the outcome's row asks for it
 */
void ingress_request_reject(struct ingress_request *request,
			    enum outcome outcome, uint32_t retry_after_s);

#endif
