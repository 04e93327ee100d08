/**
 * @file http_request.h
 * @brief Encodes requests of the HTTP client.
 *
 * Prefix: http_request_.
 */
#ifndef HTTP_REQUEST_H
#define HTTP_REQUEST_H

#include <glib.h>

#include "http_client.h"

/**
 * @brief Encodes a request with its headers and its body.
 * @param reuse whether the connection may be kept after the response
 * @return the bytes to send, freed with g_string_free()
 */
GString *http_request_encode(const struct http_client_request *request,
			     bool reuse);

#endif
