/**
 * @file bfl.h
 * @brief Parses the text of a bundle file (YAML) and checks it.
 *
 * Prefix: bfl_. Every mistake is reported with its line, its field and what
 * was expected. The format is described in docs/OPERATIONS.md.
 */
#ifndef BFL_H
#define BFL_H

#include <stddef.h>

#include "bundle.h"
#include "err.h"

/** Largest accepted text of a bundle; an envelope stays under a megabyte. */
#define BFL_TEXT_MAX_BYTES (700u * 1024u)

/** One mistake in a bundle file. */
struct bfl_mistake {
	/** line counted from 1, 0 when no line applies */
	uint32_t line;
	/** such as "pools[2].floor_vms" */
	char *field;
	/** what was expected and what was found */
	char *message;
};

/** Mistakes of a file, opaque but for its accessors. */
struct bfl_mistakes;

/** @brief Creates an empty list, freed by bfl_mistakes_destroy(). */
struct bfl_mistakes *bfl_mistakes_create(void);

/** @brief Frees the list. @param mistakes may be NULL */
void bfl_mistakes_destroy(struct bfl_mistakes *mistakes);

/** @brief Returns the number of mistakes. */
uint32_t bfl_mistakes_count(const struct bfl_mistakes *mistakes);

/** @brief Returns one mistake, owned by the list. */
const struct bfl_mistake *bfl_mistakes_get(const struct bfl_mistakes *mistakes,
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
enum err_kind bfl_parse(const char *text, size_t len,
			struct bfl_mistakes *mistakes, struct bundle **out);

#endif
