/**
 * @file http_client.h
 * @brief One HTTP/1.1 call with a deadline, over a connection of hcn.h.
 *
 * Prefix: http_client_. The whole answer is buffered up to a limit, so a call
 * ends either with a whole answer or with an error kind; never with a part.
 *
 * A call opens a connection of its own unless the owner has allowed reuse
 * for the address. A reused connection carried a whole answer within the
 * idle limit of its client; one whose call timed out, was cancelled or left
 * bytes over is closed.
 */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "loop.h"

/** Default of http_client_set_idle_max(). */
#define HTTP_CLIENT_IDLE_MAX_MS 1000

/** A client that shares timeouts between its calls, opaque. */
struct http_client;

/** A call in progress, opaque. */
struct http_client_call;

/** A header; neither string is NULL. */
struct http_client_header {
	const char *name;
	const char *value;
};

/** Bytes of requests and answers, without those of TCP and IP. */
struct http_client_counts {
	uint64_t calls;
	uint64_t bytes_sent;
	uint64_t bytes_received;
};

/** What to send. All pointers are borrowed for the time of the call that
 *  starts it and copied. */
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
	/** bound on the time to connect, 0 for timeout_ms */
	uint32_t connect_timeout_ms;
	size_t response_max_bytes;
	/** asked right before the first byte is sent; false ends the call with
	 *  ERR_CONNECT. NULL for always. Must outlive the call. */
	bool (*may_send)(void *may_send_data);
	void *may_send_data;
	/** connections to the address that may be kept for reuse; a call
	 *  beyond that many at once opens one that is closed after it */
	uint32_t reuse_max;
};

/** A whole answer; valid only during the callback. */
struct http_client_response {
	uint16_t status;
	const struct http_client_header *headers;
	size_t header_count;
	const void *body;
	size_t body_len;
};

/**
 * @brief Called exactly once when the call has ended, unless cancelled.
 *
 * @param err ERR_NONE, ERR_CONNECT (nothing was sent), ERR_TIMEOUT, ERR_CUT
 *            or ERR_TOO_LARGE (all three: the request may have run)
 * @param sent whether a byte of the request may have left this process
 * @param answer the whole answer with ERR_NONE, else NULL
 */
typedef void (*http_client_cb)(void *data, enum err_kind err, bool sent,
			       const struct http_client_response *answer);

/** @brief Creates a client on a loop, freed by http_client_destroy(). */
struct http_client *http_client_create(struct loop *loop);

/** @brief Frees a client without calls. @param client may be NULL */
void http_client_destroy(struct http_client *client);

/** @brief Returns what the client has sent and received, owned by it. */
const struct http_client_counts *
http_client_counts(const struct http_client *client);

/**
 * @brief Allows or forbids that connections to an address are reused.
 *
 * To be allowed only where an answer names its request, since an answer that
 * arrives late could else be taken for that of the next request.
 */
void http_client_set_reuse(struct http_client *client, const char *ip,
			   uint16_t port, bool reuse);

/**
 * @brief Sets how long a connection may be idle before it is reused.
 *
 * Holds for addresses that are added later. An idle connection that the other
 * side closes is dropped.
 */
void http_client_set_idle_max(struct http_client *client, uint32_t idle_max_ms);

/** @brief Tells whether connections to an address may be reused. */
bool http_client_reuse_is_allowed(const struct http_client *client,
				  const char *ip, uint16_t port);

/**
 * @brief Starts a call.
 * @return the call, valid until its callback or http_client_call_cancel()
 */
struct http_client_call *
http_client_call_start(struct http_client *client,
		       const struct http_client_request *request,
		       http_client_cb cb, void *data);

/** @brief Ends a call without its callback. @param call may be NULL */
void http_client_call_cancel(struct http_client_call *call);

/** @brief Finds a header by its lower-case name. @return value or NULL */
const char *
http_client_response_header(const struct http_client_response *answer,
			    const char *name);

#endif
