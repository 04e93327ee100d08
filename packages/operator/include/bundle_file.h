/**
 * @file bundle_file.h
 * @brief Parses the text of a bundle file (YAML) and checks it.
 *
 * Prefix: bundle_file_. Every mistake is reported with its line, its field and
 * what was expected. The format is described in docs/OPERATIONS.md.
 */
#ifndef BUNDLE_FILE_H
#define BUNDLE_FILE_H

#include <stddef.h>

#include "bundle.h"
#include "err.h"

/** Largest accepted text of a bundle; an envelope stays under a megabyte. */
#define BUNDLE_FILE_TEXT_MAX_BYTES (700u * 1024u)

/** One mistake in a bundle file. */
struct bundle_file_error {
	/** line counted from 1, 0 when no line applies */
	uint32_t line;
	/** such as "pools[2].floor_vms" */
	char *field;
	/** what was expected and what was found */
	char *message;
};

/** Mistakes of a file, opaque but for its accessors. */
struct bundle_file_errors;

/** @brief Creates an empty list, freed by bundle_file_errors_destroy(). */
struct bundle_file_errors *bundle_file_errors_create(void);

/** @brief Frees the list. @param mistakes may be NULL */
void bundle_file_errors_destroy(struct bundle_file_errors *mistakes);

/** @brief Returns the number of mistakes. */
uint32_t bundle_file_errors_count(const struct bundle_file_errors *mistakes);

/** @brief Returns one mistake, owned by the list. */
const struct bundle_file_error *
bundle_file_errors_get(const struct bundle_file_errors *mistakes,
		       uint32_t index);

/**
 * @brief Parses and checks the text of a bundle.
 *
 * @param text the file's bytes
 * @param len number of bytes
 * @param mistakes collects every mistake found
 * @param out filled on ERR_NONE; released by bundle_unref()
 * @return ERR_NONE, ERR_MALFORMED when it isn't YAML, ERR_INVALID when
 *         a field is wrong, ERR_TOO_LARGE
 */
enum err_kind bundle_file_parse(const char *text, size_t len,
				struct bundle_file_errors *mistakes,
				struct bundle **out);

#endif
