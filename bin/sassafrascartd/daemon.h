/**
 * @file daemon.h
 * @brief The entry process: wires callers, platform, peers and manager.
 *
 * Prefix: daemon_.
 */
#ifndef DAEMON_H
#define DAEMON_H

#include "err.h"
#include "loop.h"
#include "settings.h"

/** The entry process, opaque. */
struct daemon;

/**
 * @brief Opens sockets and starts all parts.
 * @param what on failure set to the setting at fault, a constant string
 * @return ERR_NONE or the kind of the part that failed
 */
enum err_kind daemon_create(struct loop *loop, const struct settings *settings,
			    struct daemon **out, const char **what);

/** @brief Frees the entry. @param entry may be NULL */
void daemon_destroy(struct daemon *entry);

/**
 * @brief Begins a graceful shutdown; stops the loop when it is done.
 *
 * The health page changes and the manager resigns at once. New requests are
 * served for a grace, since the balancer takes time to notice, and refused
 * after it. Requests in progress finish within the drain bound; then the
 * lease is revoked.
 */
void daemon_shut_down(struct daemon *entry);

#endif
