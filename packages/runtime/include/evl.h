/**
 * @file evl.h
 * @brief The process's one event loop: sockets by h2o, timers by tmr.
 *
 * Prefix: evl_. All calls are made from the one thread that runs the loop.
 */
#ifndef EVL_H
#define EVL_H

#include <h2o.h>

#include "err.h"
#include "tmr.h"

/** The loop, opaque. */
struct evl_loop;

/** Called when a signal of interest arrived. */
typedef void (*evl_signal_cb)(void *data, int signo);

/** @brief Creates the loop, freed by evl_loop_destroy(). */
struct evl_loop *evl_loop_create(void);

/** @brief Frees the loop. @param loop the loop, or NULL */
void evl_loop_destroy(struct evl_loop *loop);

/** @brief Runs until evl_loop_stop() is called. */
void evl_loop_run(struct evl_loop *loop);

/** @brief Makes evl_loop_run() return after the current turn. */
void evl_loop_stop(struct evl_loop *loop);

/** @brief Returns h2o's loop, owned by this one. */
h2o_loop_t *evl_loop_h2o(struct evl_loop *loop);

/** @brief Returns the timer queue, owned by the loop. */
struct tmr_queue *evl_loop_timers(struct evl_loop *loop);

/** @brief Returns the time since boot in milliseconds, suspension included. */
uint64_t evl_now_ms(void);

/** @brief Returns the time of day as Unix milliseconds; it may jump. */
uint64_t evl_unix_ms(void);

/** @brief Sets a timer this many milliseconds from now. */
void evl_timer_set(struct evl_loop *loop, struct tmr_entry *entry,
		   uint64_t delay_ms);

/**
 * @brief Blocks SIGTERM and SIGINT and delivers them to a callback.
 * @return ERR_NONE, or ERR_IO when no signal descriptor can be made
 */
enum err_kind evl_signals_watch(struct evl_loop *loop, evl_signal_cb cb,
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
enum err_kind evl_listen(struct evl_loop *loop, const char *ip, uint16_t port,
			 h2o_socket_cb on_accept, void *data,
			 h2o_socket_t **out);

/** @brief Returns the port that a listening socket is bound to. */
uint16_t evl_listen_port(h2o_socket_t *sock);

#endif
