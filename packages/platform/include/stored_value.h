/**
 * @file stored_value.h
 * @brief The values that the platform's service holds, as JSON.
 *
 * Prefix: stored_. Builders return texts freed by g_free(). Parsers take bytes
 * from outside and return ERR_MALFORMED for whatever does not fit.
 */
#ifndef STORED_H
#define STORED_H

#include <stddef.h>
#include <stdint.h>

#include "bundle.h"
#include "err.h"
#include "head.h"
#include "member.h"
#include "placement.h"

/** The value of PLATFORM_KEY_HEAD. */
struct stored_head {
	uint64_t roll;
	uint64_t version;
	char digest[HEAD_DIGEST_BYTES];
	/** who wrote it; with the attempt it tells own writes apart */
	char writer[MEMBER_ID_BYTES];
	uint64_t attempt;
	/** wall-clock milliseconds since 1970 */
	uint64_t at_ms;
};

/** @brief Builds the value of a head. */
char *stored_head_build(const struct stored_head *head);

/** @brief Parses the value of a head. @return ERR_NONE or ERR_MALFORMED */
enum err_kind stored_head_parse(const char *text, size_t len,
				struct stored_head *out);

/** @brief Builds the value of a placement. */
char *stored_placement_build(const struct bundle *bundle,
			     const struct placement *view);

/**
 * @brief Parses the value of a placement against a bundle.
 *
 * Rows of VMs that the bundle does not name are left out; a pool that it
 * does not name counts as none, and a VM that serves it stays in its state
 * until it has been drained.
 *
 * @param out filled on ERR_NONE; freed by placement_destroy()
 * @return ERR_NONE, or ERR_MALFORMED also for a VM with two rows
 */
enum err_kind stored_placement_parse(const char *text, size_t len,
				     const struct bundle *bundle,
				     struct placement **out);

/** @brief Builds the value of PLATFORM_KEY_PLACEMENT_NUMBER. */
char *stored_number_build(uint64_t number);

/** @brief Parses that value. @return ERR_NONE or ERR_MALFORMED */
enum err_kind stored_number_parse(const char *text, size_t len, uint64_t *out);

/** @brief Builds the value of a member key. */
char *stored_member_build(const struct member *member);

/** @brief Parses the value of a member key. @return ERR_NONE or
 *  ERR_MALFORMED */
enum err_kind stored_member_parse(const char *text, size_t len,
				  struct member *out);

#endif
