/**
 * @file daemon.h
 * @brief The gateway process: connects callers, platform, peers and manager.
 *
 * Prefix: daemon_.
 */
#ifndef DAEMON_H
#define DAEMON_H

#include "err.h"
#include "loop.h"
#include "settings.h"

/** The gateway process, opaque. */
struct daemon;

/**
 * @brief Opens the sockets and starts all components.
 * @param setting set on failure to the name of the setting at fault, a constant
 *         string
 * @return ERR_NONE or the error of the component that failed
 */
enum err_kind daemon_create(struct loop *loop, const struct settings *settings,
			    struct daemon **out, const char **setting);

/** @brief Frees the daemon. @param daemon may be NULL */
void daemon_destroy(struct daemon *daemon);

/**
 * @brief Starts a graceful shutdown; stops the event loop when it is complete.
 *
 * The health page reports the shutdown at once, and a manager resigns at once.
 * New requests are still served during a grace period, since the load balancer
 * takes time to notice the health page, and are refused after that period.
 * Requests in progress may finish until the drain deadline; then the lease is
 * revoked.
 */
void daemon_shut_down(struct daemon *daemon);

/**
 * @brief Reads the files of the operator keys again, from the event loop.
 *
 * The other settings come from the command line and the environment, which do
 * not change while the process runs. A bundle that is in force stays in force
 * if its key was withdrawn; bundles read from now on need the new keys.
 */
void daemon_reload(struct daemon *daemon);

#endif
