/**
 * @file http_syntax.h
 * @brief Syntax checks of a request before it is forwarded as HTTP/1.1.
 *
 * Prefix: http_syntax_. HTTP/2 names and values are length-prefixed and may
 * contain bytes that end a line in HTTP/1.1. Forwarding them would allow header
 * injection and request smuggling.
 */
#ifndef HTTP_SYNTAX_H
#define HTTP_SYNTAX_H

#include <stdbool.h>
#include <stddef.h>

/** @brief Returns true if bytes are a token (RFC 9110, 5.6.2), as required of
 *  methods and header names. */
bool http_syntax_is_token(const char *bytes, size_t len);

/** @brief Returns true if bytes are valid as the target of a request line. */
bool http_syntax_is_target(const char *bytes, size_t len);

/** @brief Returns true if bytes are valid as a header value. */
bool http_syntax_is_value(const char *bytes, size_t len);

#endif
