/**
 * @file http_server.h
 * @brief Minimal HTTP/1.1 server with JSON responses, for the stand-ins.
 *
 * Prefix: http_server_.
 */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include <jansson.h>

#include "loop.h"

/** Called for each complete request; may call http_server_respond() at once,
 * later or never. */
typedef void (*http_server_cb)(void *data, h2o_req_t *req);

/**
 * @brief Starts a server, which runs until the process exits.
 * @return the listening port, or 0 on failure
 */
uint16_t http_server_start(struct loop *loop, const char *ip, uint16_t port,
			   http_server_cb cb, void *data);

/** @brief Sends a response with a JSON body; takes ownership of the body. */
void http_server_respond(h2o_req_t *req, int status, json_t *body);

/** @brief Returns whether a request has this method and path; ignores the query
 *  string. */
bool http_server_request_matches(const h2o_req_t *req, const char *method,
				 const char *path);

#endif
