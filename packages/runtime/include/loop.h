/**
 * @file loop.h
 * @brief The event loop of the process: sockets from h2o, timers from timer.h.
 *
 * Prefix: loop_. Not thread-safe: all functions are called from the thread
 * that runs the loop.
 */
#ifndef LOOP_H
#define LOOP_H

#include <h2o.h>

#include "err.h"
#include "timer.h"

/** The loop, opaque. */
struct loop;

/** Called for each SIGTERM, SIGINT and SIGHUP that arrives. */
typedef void (*loop_signal_cb)(void *data, int signo);

/** @brief Creates the loop, freed by loop_destroy(). */
struct loop *loop_create(void);

/** @brief Frees the loop. @param loop the loop, or NULL */
void loop_destroy(struct loop *loop);

/** @brief Runs until loop_stop() is called. */
void loop_run_until_stopped(struct loop *loop);

/** @brief Makes loop_run_until_stopped() return after the current iteration. */
void loop_stop(struct loop *loop);

/** @brief Appends the histogram of the times for which the loop was late, as
 *  lines of text. */
void loop_metrics_append(const struct loop *loop, GString *out);

/** @brief Returns the underlying h2o loop, owned by this loop. */
h2o_loop_t *loop_h2o(struct loop *loop);

/** @brief Returns the timer queue, owned by the loop. */
struct timer_queue *loop_timers(struct loop *loop);

/** @brief Returns the time since boot in milliseconds, including suspend. */
uint64_t loop_now_ms(void);

/** @brief Returns wall-clock milliseconds since 1970; they may jump. */
uint64_t loop_unix_ms(void);

/** @brief Sets a timer that fires delay_ms from now. */
void loop_timer_set(struct loop *loop, struct timer *timer, uint64_t delay_ms);

/**
 * @brief Blocks the signals that loop_signals_watch() delivers, and ignores
 * those that have no meaning for the process but would end or stop it, unless
 * a library has installed a handler.
 *
 * To be called first in main(): a blocked signal that arrives before the loop
 * runs is delivered once it does.
 */
void loop_signals_block(void);

/**
 * @brief Delivers SIGTERM, SIGINT and SIGHUP to a callback.
 * @return ERR_NONE, or ERR_IO if signalfd() fails
 */
enum err_kind loop_signals_watch(struct loop *loop, loop_signal_cb cb,
				 void *data);

/**
 * @brief Opens a TCP socket that listens on an IPv4 address.
 *
 * @param loop the loop
 * @param ip dotted IPv4 address
 * @param port port, 0 to let the kernel choose one
 * @param on_accept h2o read callback of the listening socket
 * @param data stored in the socket's data field
 * @param out filled on ERR_NONE; closed by h2o_socket_close()
 * @return ERR_NONE, ERR_INVALID for a bad address, ERR_IO
 */
enum err_kind loop_listen(struct loop *loop, const char *ip, uint16_t port,
			  h2o_socket_cb on_accept, void *data,
			  h2o_socket_t **out);

/** @brief Returns the port that a listening socket is bound to. */
uint16_t loop_listen_port(h2o_socket_t *sock);

#endif
