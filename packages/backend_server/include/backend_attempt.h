/**
 * @file backend_attempt.h
 * @brief A single HTTP request attempt on one backend server.
 *
 * Prefix: backend_. An attempt ends with a complete response or with an error
 * that says whether the request may have run. Retries are decided by the code
 * that starts the attempt.
 */
#ifndef BACKEND_ATTEMPT_H
#define BACKEND_ATTEMPT_H

#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "loop.h"
#include "http_client.h"

/** Request and response header that carries the request ID. */
#define BACKEND_HEADER_REQUEST_ID "x-request-id"

/** How an attempt ended. */
enum backend_result {
	/** complete response to this request received */
	BACKEND_ANSWERED,
	/** no byte of the request was sent, so it did not run */
	BACKEND_NOT_SENT,
	/** no response before the timeout; the request may have run */
	BACKEND_TIMEOUT,
	/** connection failed before the response was complete; the request
	 *  may have run */
	BACKEND_DISCONNECTED,
	/** response carries the ID of another request, or no ID on a reused
	 *  connection; the request may have run */
	BACKEND_ID_MISMATCH,
	/** response exceeds answer_max_bytes; the request ran */
	BACKEND_TOO_LARGE,
};

/** Request to send; copied when the attempt starts. */
struct backend_request {
	const char *method;
	const char *target;
	const struct http_client_header *headers;
	uint32_t header_count;
	const void *body;
	uint64_t body_bytes;
	/** request ID that a backend server may echo in its response */
	const char *request_id;
};

/** Address of the backend server and limits of the attempt. */
struct backend_target {
	const char *ip;
	uint16_t port;
	uint32_t timeout_ms;
	uint32_t connect_timeout_ms;
	uint64_t answer_max_bytes;
	/** called immediately before the first byte is sent; if it returns
	 *  false, the attempt ends with BACKEND_NOT_SENT. NULL to always send.
	 *  Must remain valid until the attempt has ended. */
	bool (*may_send)(void *data);
	void *may_send_data;
	/** idle connections to this server that may be kept for reuse */
	uint32_t reuse_max;
};

/**
 * @brief Reports the result of an attempt; called once, from the event loop.
 * @param response the response with BACKEND_ANSWERED, else NULL; valid during
 *        the call
 * @param draining true if the backend server announced that it is draining
 */
typedef void (*backend_cb)(void *data, enum backend_result result,
			   const struct http_client_response *response,
			   bool draining);

/** An attempt in flight, opaque. */
struct backend_attempt;

/**
 * @brief Starts an attempt.
 * @return handle, valid until the callback has run or the attempt is cancelled
 */
struct backend_attempt *backend_attempt_start(
	struct http_client *client, const struct backend_target *target,
	const struct backend_request *request, backend_cb cb, void *data);

/**
 * @brief Cancels an attempt: closes its connection without the callback.
 * @param attempt may be NULL
 */
void backend_attempt_cancel(struct backend_attempt *attempt);

/**
 * @brief Returns true if a header must not be forwarded by a proxy: hop-by-hop
 *        headers of RFC 9110, and those that the HTTP client sets itself.
 * @param name lower-case header name
 */
bool backend_header_is_hop_by_hop(const char *name);

#endif
