/**
 * @file bundle_file.h
 * @brief Parses and validates bundle files (YAML).
 *
 * Prefix: bundle_file_. Each error is reported with its line, its field, the
 * expected and the actual value. docs/OPERATIONS.md describes the format.
 */
#ifndef BUNDLE_FILE_H
#define BUNDLE_FILE_H

#include <stddef.h>

#include "bundle.h"
#include "err.h"

/** Maximum size of a bundle file; keeps its envelope under one megabyte. */
#define BUNDLE_FILE_TEXT_MAX_BYTES (700u * 1024u)

/** An error in a bundle file. */
struct bundle_file_error {
	/** line number starting at 1, 0 if the error is not tied to a line */
	uint32_t line;
	/** path of the field, such as "pools[2].floor_vms" */
	char *field;
	/** expected and actual value */
	char *message;
};

/** List of the errors in a file, opaque. */
struct bundle_file_errors;

/** @brief Creates an empty list; free with bundle_file_errors_destroy(). */
struct bundle_file_errors *bundle_file_errors_create(void);

/** @brief Frees the list. @param errors may be NULL */
void bundle_file_errors_destroy(struct bundle_file_errors *errors);

/** @brief Returns the number of errors. */
uint32_t bundle_file_errors_count(const struct bundle_file_errors *errors);

/** @brief Returns the error at an index, owned by the list. */
const struct bundle_file_error *
bundle_file_errors_get(const struct bundle_file_errors *errors, uint32_t index);

/**
 * @brief Parses and validates the text of a bundle file.
 *
 * @param text contents of the file
 * @param len size of text in bytes
 * @param errors receives the errors found
 * @param out set on ERR_NONE; release with bundle_unref()
 * @return ERR_NONE, ERR_MALFORMED if text is not YAML, ERR_INVALID if a field
 *         is missing or invalid, ERR_TOO_LARGE
 */
enum err_kind bundle_file_parse(const char *text, size_t len,
				struct bundle_file_errors *errors,
				struct bundle **out);

#endif
