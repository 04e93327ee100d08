/**
 * @file rec.h
 * @brief The records of rolls at the platform.
 *
 * Prefix: rec_. A record is written in the same transaction as the head, so
 * that it tells who wrote a roll also after others followed.
 */
#ifndef REC_H
#define REC_H

#include "dsk.h"
#include "plv.h"

/** Largest key of a record with its terminating zero. */
#define REC_KEY_MAX_BYTES 96

/** @brief Builds the key of a roll's record. */
void rec_key_build(char key[REC_KEY_MAX_BYTES], uint64_t roll);

/**
 * @brief Reads the record of a roll.
 * @return ERR_NONE, ERR_NOT_FOUND when nobody wrote it, ERR_MALFORMED, or the
 *         kind of a failed read
 */
enum err_kind rec_read(struct dsk_desk *desk, uint64_t roll,
		       struct plv_head *out);

#endif
