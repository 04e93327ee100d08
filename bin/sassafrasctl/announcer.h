/**
 * @file announcer.h
 * @brief Tells the entry processes of a roll that was just accepted.
 *
 * Prefix: ann_. The desk speaks the peer protocol for as long as the command
 * waits for the roll: it repeats the head and serves the signed bundle, so
 * that the roll comes into force even if the platform goes down straight
 * after the write. The entry processes check the bundle as any other.
 */
#ifndef ANNOUNCER_H
#define ANNOUNCER_H

#include "cli.h"
#include "stored_value.h"

/** The announcer, opaque. */
struct announcer;

/**
 * @brief Starts telling members of a head.
 * @param statuses array of struct rollout_status with the members to tell
 * @param envelope the signed bundle; borrowed
 * @return the announcer, or NULL when no socket can be opened
 */
struct announcer *announcer_create(struct cli_context *desk,
				   const struct stored_head *head,
				   const GArray *statuses,
				   const char *envelope);

/** @brief Stops. @param announcer may be NULL */
void announcer_destroy(struct announcer *announcer);

#endif
