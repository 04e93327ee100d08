/**
 * @file http_server.h
 * @brief A small HTTP/1.1 server on h2o for the stand-ins.
 *
 * Prefix: srv_.
 */
#ifndef SRV_H
#define SRV_H

#include <jansson.h>

#include "loop.h"

/** Called with each whole request; answered by http_server_respond() or held.
 */
typedef void (*http_server_cb)(void *data, h2o_req_t *req);

/**
 * @brief Opens a server that lives as long as the process.
 * @return the port, 0 on failure
 */
uint16_t http_server_start(struct loop *loop, const char *ip, uint16_t port,
			   http_server_cb cb, void *data);

/** @brief Answers with a JSON body, which is released. */
void http_server_respond(h2o_req_t *req, int status, json_t *body);

/** @brief Tells whether the request has this method and path, leaving aside
 *  its query. */
bool http_server_request_matches(const h2o_req_t *req, const char *method,
				 const char *path);

#endif
