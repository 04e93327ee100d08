/**
 * @file ann.h
 * @brief Tells the entry processes of a roll that was just accepted.
 *
 * Prefix: ann_. The desk speaks the peer protocol for as long as the command
 * waits for the roll: it repeats the head and serves the signed bundle, so
 * that the roll comes into force even if the platform goes down straight
 * after the write. The entry processes check the bundle as any other.
 */
#ifndef ANN_H
#define ANN_H

#include "dsk.h"
#include "stored_value.h"

/** The announcer, opaque. */
struct ann_announcer;

/**
 * @brief Starts telling members of a head.
 * @param statuses array of struct wtc_status with the members to tell
 * @param envelope the signed bundle; borrowed
 * @return the announcer, or NULL when no socket can be opened
 */
struct ann_announcer *ann_announcer_create(struct dsk_desk *desk,
					   const struct stored_head *head,
					   const GArray *statuses,
					   const char *envelope);

/** @brief Stops. @param announcer may be NULL */
void ann_announcer_destroy(struct ann_announcer *announcer);

#endif
