/**
 * @file announcer.h
 * @brief Announces an accepted roll to the sassafrascartd processes.
 *
 * Prefix: announcer_. While the command waits for the rollout, the announcer
 * takes part in the peer protocol: it sends the head in heartbeats and serves
 * the signed bundle. The roll is therefore applied even if the platform goes
 * down right after the write. The processes verify the bundle as usual.
 */
#ifndef ANNOUNCER_H
#define ANNOUNCER_H

#include "cli.h"
#include "stored_value.h"

/** The announcer, opaque. */
struct announcer;

/**
 * @brief Starts announcing a head to members by heartbeats.
 * @param head borrowed until announcer_destroy()
 * @param statuses array of struct rollout_status with the members to notify
 * @param envelope the signed bundle; borrowed until announcer_destroy()
 * @return the announcer, or NULL when no socket can be opened
 */
struct announcer *announcer_create(struct cli_context *ctx,
				   const struct stored_head *head,
				   const GArray *statuses,
				   const char *envelope);

/** @brief Stops announcing. @param announcer may be NULL */
void announcer_destroy(struct announcer *announcer);

#endif
