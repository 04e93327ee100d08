/**
 * @file loop.h
 * @brief The process's one event loop: sockets by h2o, timers by tmr.
 *
 * Prefix: loop_. All calls are made from the one thread that runs the loop.
 */
#ifndef LOOP_H
#define LOOP_H

#include <h2o.h>

#include "err.h"
#include "timer.h"

/** The loop, opaque. */
struct loop;

/** Called when a signal of interest arrived. */
typedef void (*loop_signal_cb)(void *data, int signo);

/** @brief Creates the loop, freed by loop_destroy(). */
struct loop *loop_create(void);

/** @brief Frees the loop. @param loop the loop, or NULL */
void loop_destroy(struct loop *loop);

/** @brief Runs until loop_stop() is called. */
void loop_run_until_stopped(struct loop *loop);

/** @brief Makes loop_run_until_stopped() return after the current turn. */
void loop_stop(struct loop *loop);

/** @brief Returns h2o's loop, owned by this one. */
h2o_loop_t *loop_h2o(struct loop *loop);

/** @brief Returns the timer queue, owned by the loop. */
struct timer_queue *loop_timers(struct loop *loop);

/** @brief Returns the time since boot in milliseconds, suspension included. */
uint64_t loop_now_ms(void);

/** @brief Returns the time of day as Unix milliseconds; it may jump. */
uint64_t loop_unix_ms(void);

/** @brief Sets a timer this many milliseconds from now. */
void loop_timer_set(struct loop *loop, struct timer *entry, uint64_t delay_ms);

/**
 * @brief Blocks SIGTERM and SIGINT and delivers them to a callback.
 * @return ERR_NONE, or ERR_IO when no signal descriptor can be made
 */
enum err_kind loop_signals_watch(struct loop *loop, loop_signal_cb cb,
				 void *data);

/**
 * @brief Opens a TCP socket that listens on an IPv4 address.
 *
 * @param loop the loop
 * @param ip dotted IPv4 address
 * @param port port, 0 for any free one
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
