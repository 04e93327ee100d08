/**
 * @file http_syntax.h
 * @brief Checks of what a caller sent, before it is sent on as HTTP/1.1.
 *
 * Prefix: http_syntax_. HTTP/2 carries names and values as counted bytes; those
 * that HTTP/1.1 would read as the end of a line must not pass.
 */
#ifndef HTTP_SYNTAX_H
#define HTTP_SYNTAX_H

#include <stdbool.h>
#include <stddef.h>

/** @brief Tells whether bytes are a token of RFC 9110, as methods and names. */
bool http_syntax_is_token(const char *bytes, size_t len);

/** @brief Tells whether bytes may stand in a request line as its target. */
bool http_syntax_is_target(const char *bytes, size_t len);

/** @brief Tells whether bytes may stand in a header's value. */
bool http_syntax_is_value(const char *bytes, size_t len);

#endif
