/**
 * @file roll_record.h
 * @brief The head and the records of rolls at the platform.
 *
 * Prefix: rec_. A record is written in the same transaction as the head, so
 * that it tells who wrote a roll also after others followed.
 */
#ifndef ROLL_RECORD_H
#define ROLL_RECORD_H

#include "cli.h"
#include "stored_value.h"

/** Largest key of a record with its terminating zero. */
#define ROLL_RECORD_KEY_MAX_BYTES 96

/** @brief Builds the key of a roll's record. */
void roll_record_key_build(char key[ROLL_RECORD_KEY_MAX_BYTES], uint64_t roll);

/**
 * @brief Reads the record of a roll.
 * @return ERR_NONE, ERR_NOT_FOUND when nobody wrote it, ERR_MALFORMED, or the
 *         kind of a failed read
 */
enum err_kind roll_record_read(struct cli_context *desk, uint64_t roll,
			       struct stored_head *out);

/**
 * @brief Reads the head, which is the newest roll.
 * @param out roll 0 when nothing was rolled yet
 * @param revision revision that a compare-and-swap of the head builds on; 0
 *        when there is no head
 * @return ERR_NONE, ERR_MALFORMED, or the kind of a failed read
 */
enum err_kind roll_head_read(struct cli_context *desk, struct stored_head *out,
			     int64_t *revision);

#endif
