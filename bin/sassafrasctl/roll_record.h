/**
 * @file roll_record.h
 * @brief Reads the head and the roll records from the platform.
 *
 * Prefix: roll_. A roll puts a bundle version in force; the head is the
 * newest roll. The transaction that writes the head also writes a record of the
 * roll, so that its writer can be looked up after the head has changed.
 */
#ifndef ROLL_RECORD_H
#define ROLL_RECORD_H

#include "cli.h"
#include "stored_value.h"

/** Size of a record's key, including the terminating NUL. */
#define ROLL_RECORD_KEY_MAX_BYTES 96

/** @brief Builds the key of a roll's record. */
void roll_record_key_build(char key[ROLL_RECORD_KEY_MAX_BYTES], uint64_t roll);

/**
 * @brief Reads the record of a roll.
 * @return ERR_NONE, ERR_NOT_FOUND when there is no record, ERR_MALFORMED, or
 *         the error of the read
 */
enum err_kind roll_record_read(struct cli_context *ctx, uint64_t roll,
			       struct stored_head *out);

/**
 * @brief Reads the head, which is the newest roll.
 * @param out the head; its roll is 0 when there is none yet
 * @param revision modification revision of the head, for a compare-and-swap;
 *        0 when there is no head
 * @return ERR_NONE, ERR_MALFORMED, or the error of the read
 */
enum err_kind roll_head_read(struct cli_context *ctx, struct stored_head *out,
			     int64_t *revision);

#endif
