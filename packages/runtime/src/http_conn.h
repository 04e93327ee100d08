/**
 * @file http_conn.h
 * @brief HTTP/1.1 client connection over a socket of the event loop.
 *
 * Prefix: http_conn_. Carries one request and response at a time. The socket
 * stays registered for reading while idle, so that an exchange on a reused
 * connection takes one write and one read, and a close by the server is
 * detected at once.
 */
#ifndef HTTP_CONN_H
#define HTTP_CONN_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "loop.h"

/** A connection, opaque. */
struct http_conn;

/** Callbacks of a connection, never called from within http_conn_ functions. */
struct http_conn_ops {
	/** connected, or with open == false failed to connect */
	void (*on_open)(void *data, bool open);
	/** a header of the response, its name in lower case */
	void (*on_header)(void *data, const char *name, const char *value);
	/** a part of the body; return false to end the exchange with
	 *  ERR_TOO_LARGE */
	bool (*on_body)(void *data, const char *bytes, size_t len);
	/**
	 * The exchange has ended with ERR_NONE and a complete response, or
	 * with ERR_CUT or ERR_TOO_LARGE. The connection can carry another
	 * exchange only if reusable is set; the callback must close the
	 * connection unless it keeps it for reuse.
	 */
	void (*on_complete)(void *data, enum err_kind err, uint16_t status,
			    bool reusable);
	/** the server closed an idle connection or sent bytes without a
	 *  request; the callback must close the connection */
	void (*on_idle_close)(void *data);
};

/**
 * @brief Starts to connect.
 * @param data passed to the callbacks until http_conn_set_callback_data()
 * @return the connection, or NULL if the address is invalid or no socket can be
 *         created
 */
struct http_conn *http_conn_open(struct loop *loop, const char *ip,
				 uint16_t port, const struct http_conn_ops *ops,
				 void *data);

/** @brief Closes the connection at once, without a callback.
 *
 *  During an exchange it is reset: what has not left this machine of the
 * request is never sent.
 *
 *  @param conn may be NULL */
void http_conn_close(struct http_conn *conn);

/** @brief Changes the data that is passed to the callbacks. */
void http_conn_set_callback_data(struct http_conn *conn, void *data);

/**
 * @brief Sends a request on an open, idle connection.
 * @param request borrowed until the exchange has ended
 */
void http_conn_send(struct http_conn *conn, const GString *request,
		    bool is_head);

/** @brief Checks on the socket whether an idle connection is still open. */
bool http_conn_is_open(const struct http_conn *conn);

#endif
