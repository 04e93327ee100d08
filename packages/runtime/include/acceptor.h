/**
 * @file acceptor.h
 * @brief Accepts TCP connections; pauses where that is not possible.
 *
 * Prefix: acceptor_. Without a free descriptor a listening socket stays
 * readable and accept fails again at once, so the socket is not read until a
 * connection closes or a short time has passed.
 */
#ifndef ACCEPTOR_H
#define ACCEPTOR_H

#include "loop.h"

/** A listening socket, opaque. */
struct acceptor;

/** Callbacks of an acceptor. */
struct acceptor_ops {
	/** returns whether a connection may be accepted now; if not, it has
	 *  called acceptor_pause(); NULL if it always may */
	bool (*may_accept)(void *data);
	/** a connection was accepted; takes ownership of the socket */
	void (*on_accept)(void *data, h2o_socket_t *sock);
	/** there is no descriptor for another connection; may close one; NULL
	 *  for none */
	void (*on_exhausted)(void *data);
};

/**
 * @brief Opens a TCP socket that listens on an IPv4 address.
 *
 * @param loop the loop
 * @param ip dotted IPv4 address
 * @param port port, 0 to let the kernel choose one
 * @param ops callbacks, not copied
 * @param data first argument of the callbacks
 * @param out filled on ERR_NONE; closed by acceptor_destroy()
 * @return ERR_NONE, ERR_INVALID for a bad address, ERR_IO
 */
enum err_kind acceptor_create(struct loop *loop, const char *ip, uint16_t port,
			      const struct acceptor_ops *ops, void *data,
			      struct acceptor **out);

/** @brief Accepts all connections that wait now, also during a pause; to be
 *  called before acceptor_destroy(), which resets those that wait. */
void acceptor_drain(struct acceptor *acceptor);

/** @brief Stops listening. @param acceptor the acceptor, or NULL */
void acceptor_destroy(struct acceptor *acceptor);

/** @brief Returns the TCP port that the acceptor listens on. */
uint16_t acceptor_port(const struct acceptor *acceptor);

/** @brief Accepts no connection for a time. */
void acceptor_pause(struct acceptor *acceptor, uint32_t pause_ms);

/**
 * @brief Accepts no connection for a short time, for want of connections or
 * descriptors: counts the pause and logs it at most once in some seconds.
 * @param reason for the log
 */
void acceptor_pause_exhausted(struct acceptor *acceptor, const char *reason);

/** @brief Ends a pause in the next iteration of the loop; does nothing without
 *  one. To be called when a connection was closed. */
void acceptor_resume_soon(struct acceptor *acceptor);

/** @brief Counts the pauses for want of connections or descriptors. */
uint64_t acceptor_pause_count(const struct acceptor *acceptor);

#endif
