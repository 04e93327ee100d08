/**
 * @file http_client.h
 * @brief HTTP/1.1 client: asynchronous calls, each with a deadline.
 *
 * Prefix: http_client_. Responses are buffered up to a limit: a call ends with
 * a complete response or with an error kind, never with a partial response.
 *
 * Each call opens a connection unless http_client_set_reuse() allows reuse for
 * the address. A connection is reused only if its last call got a complete
 * response and ended less than the idle limit ago. A connection is closed when
 * its call timed out or was cancelled, or when bytes follow the response.
 *
 * A connection may stop carrying data without being closed. A call whose
 * response is late is evidence for that on all connections to the address that
 * have carried nothing since the response was due: the idle ones are closed,
 * and calls that wait at the server are repeated on new connections if they may
 * be. A call that does not wait there is no evidence if its connection was
 * opened for it.
 */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "loop.h"

/** Default idle limit, see http_client_set_idle_max(). */
#define HTTP_CLIENT_IDLE_MAX_MS 1000

/** A client with its reusable connections, opaque. */
struct http_client;

/** A call in flight, opaque. */
struct http_client_call;

/** A header field; neither string is NULL. */
struct http_client_header {
	const char *name;
	const char *value;
};

/** Calls and bytes of HTTP messages, without TCP and IP headers. */
struct http_client_counts {
	uint64_t calls;
	uint64_t bytes_sent;
	uint64_t bytes_received;
};

/** A request. http_client_call_start() copies what it needs; pointers are
 *  borrowed until it returns, except may_send_data. */
struct http_client_request {
	const char *method;
	const char *path;
	/** dotted IPv4 address */
	const char *ip;
	uint16_t port;
	const struct http_client_header *headers;
	size_t header_count;
	const void *body;
	size_t body_len;
	uint32_t timeout_ms;
	/** connect timeout, 0 for timeout_ms */
	uint32_t connect_timeout_ms;
	size_t response_max_bytes;
	/** called right before the request is sent; false ends the call with
	 *  ERR_CONNECT. NULL to always send. may_send_data must outlive the
	 *  call. */
	bool (*may_send)(void *may_send_data);
	void *may_send_data;
	/** limit of reusable connections to the address; concurrent calls
	 *  beyond the limit use connections that are closed after the call,
	 *  unless they have a channel */
	uint32_t reuse_max;
	/** calls with the same channel reuse each other's connections and no
	 *  others; 0 for the calls without one */
	uint64_t channel;
	/** the only connection that may carry the call, see
	 *  http_client_response.connection; if it is not idle any more, the
	 *  call ends with ERR_CONNECT. 0 for any */
	uint64_t connection;
	/** how long the server may wait before it responds, part of
	 *  timeout_ms */
	uint32_t server_wait_ms;
	/** time from the end of server_wait_ms without a response after which
	 *  the request is sent once more, on a new connection, unless its own
	 *  is one that was opened for a request that does not wait. The
	 *  timeout begins anew there; the first response counts. Set it only
	 * for requests that may be executed twice; 0 never repeats. */
	uint32_t repeat_after_ms;
	/** does not reuse a connection, and closes those that are idle */
	bool fresh_connection;
};

/** A complete response; valid only during the callback. */
struct http_client_response {
	uint16_t status;
	const struct http_client_header *headers;
	size_t header_count;
	const void *body;
	size_t body_len;
	/** number of the connection that carried the response, if it is kept
	 *  for reuse, else 0. All that it carries goes to the same process of
	 *  the server. */
	uint64_t connection;
};

/**
 * @brief Called exactly once when the call ends, unless it is cancelled.
 *
 * @param err ERR_NONE, ERR_CONNECT (nothing was sent), ERR_TIMEOUT, ERR_CUT
 *            or ERR_TOO_LARGE; after the last three the server may
 *            have processed the request
 * @param sent whether a byte of the request may have left this process
 * @param response the complete response with ERR_NONE, else NULL
 */
typedef void (*http_client_cb)(void *data, enum err_kind err, bool sent,
			       const struct http_client_response *response);

/** @brief Creates a client on a loop, freed by http_client_destroy(). */
struct http_client *http_client_create(struct loop *loop);

/** @brief Frees a client that has no calls in flight.
 *  @param client may be NULL */
void http_client_destroy(struct http_client *client);

/** @brief Returns the client's counters, owned by the client. */
const struct http_client_counts *
http_client_counts(const struct http_client *client);

/**
 * @brief Sets whether connections to an address may be reused.
 *
 * Allow reuse only where each response identifies its request: a late response
 * could otherwise be taken for the response to the next request.
 */
void http_client_set_reuse(struct http_client *client, const char *ip,
			   uint16_t port, bool reuse);

/**
 * @brief Sets how long a connection may be idle and still be reused.
 *
 * Applies to idle connections of all addresses. An idle connection is dropped
 * when the server closes it.
 */
void http_client_set_idle_max(struct http_client *client, uint32_t idle_max_ms);

/** @brief Returns whether connections to an address may be reused. */
bool http_client_reuse_is_allowed(const struct http_client *client,
				  const char *ip, uint16_t port);

/**
 * @brief Starts a call; the callback never runs before this function returns.
 * @return the call, valid until its callback or http_client_call_cancel()
 */
struct http_client_call *
http_client_call_start(struct http_client *client,
		       const struct http_client_request *request,
		       http_client_cb cb, void *data);

/** @brief Cancels a call without running its callback.
 *  @param call may be NULL */
void http_client_call_cancel(struct http_client_call *call);

/** @brief Finds a header by its lower-case name. @return its value or NULL */
const char *
http_client_response_header(const struct http_client_response *response,
			    const char *name);

#endif
