/**
 * @file stored_value.h
 * @brief Values of keys in the platform's key-value store, as JSON.
 *
 * Prefix: stored_. Builders return strings that are freed with g_free().
 * Parsers accept untrusted input and return ERR_MALFORMED if it is invalid.
 */
#ifndef STORED_VALUE_H
#define STORED_VALUE_H

#include <stddef.h>
#include <stdint.h>

#include "bundle.h"
#include "err.h"
#include "head.h"
#include "member.h"
#include "placement.h"

/** Value of PLATFORM_KEY_HEAD: the roll in force and its bundle. */
struct stored_head {
	uint64_t roll;
	/** version of the bundle */
	uint64_t version;
	/** hexadecimal digest of the bundle */
	char digest[HEAD_DIGEST_BYTES];
	/** id of the writer, which reads the id back after a timeout to find
	 *  out whether its own write took effect */
	char writer[MEMBER_ID_BYTES];
	/** counts the attempts of the writer; writer and attempt together
	 *  identify a write */
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
			     const struct placement *placement);

/**
 * @brief Parses the value of a placement against a bundle.
 *
 * Rows of VMs that are not in the bundle are ignored. A pool that is not in the
 * bundle is parsed as BUNDLE_INDEX_NONE; a VM serving such a pool keeps its
 * state until it has been drained.
 *
 * @param out set on ERR_NONE; freed by placement_destroy()
 * @return ERR_NONE, or ERR_MALFORMED, also if a VM has two rows
 */
enum err_kind stored_placement_parse(const char *text, size_t len,
				     const struct bundle *bundle,
				     struct placement **out);

/** @brief Builds the value of PLATFORM_KEY_PLACEMENT_NUMBER. */
char *stored_number_build(uint64_t number);

/** @brief Parses the value of PLATFORM_KEY_PLACEMENT_NUMBER. @return ERR_NONE
 * or ERR_MALFORMED */
enum err_kind stored_number_parse(const char *text, size_t len, uint64_t *out);

/** @brief Builds the value of a member key. */
char *stored_member_build(const struct member *member);

/** @brief Parses the value of a member key. @return ERR_NONE or
 *  ERR_MALFORMED */
enum err_kind stored_member_parse(const char *text, size_t len,
				  struct member *out);

#endif
