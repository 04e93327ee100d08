/**
 * @file clr.h
 * @brief The side towards callers: HTTP requests in, whole answers out.
 *
 * Prefix: clr_. h2o serves HTTP/1.1 and HTTP/2 with prior knowledge. Each
 * request gets exactly one answer; docs/CALLERS.md describes it for callers.
 */
#ifndef CLR_H
#define CLR_H

#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "loop.h"
#include "outcome.h"

/** Request header with the caller's deadline in milliseconds from arrival. */
#define CLR_HEADER_DEADLINE "sassafrascart-deadline-ms"
/** Header that carries the request's identity to and from backend servers. */
#define CLR_HEADER_REQUEST_ID "x-request-id"
/** Request header that makes a repeated request run at most once. */
#define CLR_HEADER_IDEMPOTENCY_KEY "idempotency-key"

/** The server, opaque. */
struct clr_server;

/** A caller's request, opaque; valid until answered or gone. */
struct clr_request;

/** A header of a request or answer, not NULL-terminated by h2o. */
struct clr_header {
	const char *name;
	const char *value;
};

/** Limits and address of the server. */
struct clr_config {
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
struct clr_view {
	const char *method;
	/** host that the caller asked for, with its port if it named one */
	const char *authority;
	/** path with query, as sent on */
	const char *target;
	/** normalised path without query, for routing */
	const char *path;
	const struct clr_header *headers;
	uint32_t header_count;
	/** bytes of target and headers */
	uint64_t head_bytes;
	const void *body;
	uint64_t body_bytes;
};

/** An answer with a body; all is copied. */
struct clr_answer {
	uint16_t status;
	const struct clr_header *headers;
	uint32_t header_count;
	const void *body;
	uint64_t body_bytes;
	/** length of the body that a HEAD request leaves out, -1 for unknown */
	int64_t declared_bytes;
};

/** What the server calls. */
struct clr_ops {
	/** a whole request has arrived; answer now or later */
	void (*on_request)(void *data, struct clr_request *request);
	/** the caller left before the answer; the request is invalid after */
	void (*on_gone)(void *data, struct clr_request *request);
	/** fills the body of an operator's page; false when there is none */
	bool (*on_page)(void *data, const char *path, struct clr_answer *answer,
			GString *body);
};

/**
 * @brief Opens the server.
 * @return ERR_NONE, ERR_INVALID for a bad address, ERR_IO
 */
enum err_kind clr_server_create(struct loop *loop,
				const struct clr_config *config,
				const struct clr_ops *ops, void *data,
				struct clr_server **out);

/**
 * @brief Closes the server at once; none of the ops is called any more.
 * @param server may be NULL
 */
void clr_server_destroy(struct clr_server *server);

/** @brief Returns the port that the server listens on. */
uint16_t clr_server_port(const struct clr_server *server);

/** @brief Returns the open connections and how many were closed at once. */
void clr_server_counts(const struct clr_server *server, uint32_t *open,
		       uint64_t *refused);

/**
 * @brief Begins a graceful shutdown: connections close after their answers.
 *
 * New connections are accepted until destruction, so that the balancer has
 * time to notice the health page; each of their answers closes them.
 */
void clr_server_shut_down(struct clr_server *server);

/** @brief Counts requests whose answer has not been sent off entirely. */
uint32_t clr_server_open_requests(const struct clr_server *server);

/** @brief Returns what a request holds, owned by the request. */
const struct clr_view *clr_request_view(const struct clr_request *request);

/** @brief Finds a request header by its lower-case name, or NULL. */
const char *clr_request_header(const struct clr_request *request,
			       const char *name);

/** @brief Stores the owner's data with the request. */
void clr_request_set_data(struct clr_request *request, void *data);

/** @brief Returns the owner's data. */
void *clr_request_data(const struct clr_request *request);

/**
 * @brief Asks the kernel whether the caller's connection is still open.
 *
 * h2o does not read an HTTP/1.1 connection while a request is in progress,
 * so this is how a caller that left is noticed before dispatch.
 */
bool clr_request_is_connected(const struct clr_request *request);

/** @brief Sends a backend server's whole answer; ends the request. */
void clr_request_answer(struct clr_request *request,
			const struct clr_answer *answer);

/**
 * @brief Sends the final answer of an outcome of our own; ends the request.
 * @param retry_after_s sent where the outcome's row asks for it
 */
void clr_request_refuse(struct clr_request *request, enum outcome outcome,
			uint32_t retry_after_s);

#endif
