/**
 * @file http_conn.h
 * @brief One HTTP/1.1 connection of the client, over a socket of the loop.
 *
 * Prefix: http_conn_. Carries one exchange at a time. The socket stays
 * registered for reading between exchanges, so that an exchange on a kept
 * connection costs one write and one read, and a close by the other side is
 * seen at once.
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

/** What a connection calls. None is called from within a call of http_conn_. */
struct http_conn_ops {
	/** the connection is open, or with false could not be */
	void (*on_open)(void *data, bool open);
	/** a header of the answer, its name in lower case */
	void (*on_header)(void *data, const char *name, const char *value);
	/** a part of the body; false ends the exchange with ERR_TOO_LARGE */
	bool (*on_body)(void *data, const char *bytes, size_t len);
	/**
	 * The exchange has ended: ERR_NONE with a whole answer, ERR_CUT or
	 * ERR_TOO_LARGE. The connection is ready for another exchange only
	 * if reusable is set; the callee keeps or closes it.
	 */
	void (*on_end)(void *data, enum err_kind err, uint16_t status,
		       bool reusable);
	/** while idle: the other side has closed, or sent what nobody asked
	 *  for; the callee closes the connection */
	void (*on_idle_end)(void *data);
};

/**
 * @brief Begins to connect.
 * @param data given to the callbacks until http_conn_set_callback_data()
 * @return the connection, or NULL if the socket cannot be made
 */
struct http_conn *http_conn_open(struct loop *loop, const char *ip,
				 uint16_t port, const struct http_conn_ops *ops,
				 void *data);

/** @brief Closes at once, without a callback. @param conn may be NULL */
void http_conn_close(struct http_conn *conn);

/** @brief Sets whom the callbacks are for from now on. */
void http_conn_set_callback_data(struct http_conn *conn, void *data);

/**
 * @brief Sends a request on an open, idle connection.
 * @param request borrowed until the exchange has ended
 */
void http_conn_send(struct http_conn *conn, const GString *request,
		    bool is_head);

/** @brief Asks the kernel whether an idle connection is still open. */
bool http_conn_is_open(const struct http_conn *conn);

#endif
