/**
 * @file ent.h
 * @brief The entry process: wires callers, platform, peers and manager.
 *
 * Prefix: ent_.
 */
#ifndef ENT_H
#define ENT_H

#include "err.h"
#include "loop.h"
#include "set.h"

/** The entry process, opaque. */
struct ent_entry;

/**
 * @brief Opens sockets and starts all parts.
 * @param what on failure set to the setting at fault, a constant string
 * @return ERR_NONE or the kind of the part that failed
 */
enum err_kind ent_entry_create(struct loop *loop,
			       const struct set_settings *settings,
			       struct ent_entry **out, const char **what);

/** @brief Frees the entry. @param entry may be NULL */
void ent_entry_destroy(struct ent_entry *entry);

/**
 * @brief Begins a graceful shutdown; stops the loop when it is done.
 *
 * The health page changes and the manager resigns at once. New requests are
 * served for a grace, since the balancer takes time to notice, and refused
 * after it. Requests in progress finish within the drain bound; then the
 * lease is revoked.
 */
void ent_entry_shut_down(struct ent_entry *entry);

#endif
