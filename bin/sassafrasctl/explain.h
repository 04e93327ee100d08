/**
 * @file explain.h
 * @brief Explanations from what the manager recorded at the platform.
 *
 * Prefix: exp_. Recorded values stay JSON objects, since a report passes on
 * fields that this program does not know.
 */
#ifndef EXPLAIN_H
#define EXPLAIN_H

#include "cli.h"

/** @brief Returns a text field of an object; "" when there is none. */
const char *explain_text(const json_t *object, const char *key);

/** @brief Returns a number field of an object; 0 when there is none. */
json_int_t explain_number(const json_t *object, const char *key);

/**
 * @brief Reads the values under a key or prefix.
 * @param out array to release, also on failure; values that are not JSON are
 *        left out
 */
enum err_kind explain_values_read(struct cli_context *desk, const char *key,
				  bool prefix, json_t **out);

/** @brief Formats wall-clock milliseconds as UTC. @return text to free */
char *explain_time_format(json_int_t at_ms);

/** Tells whether a recorded change belongs to what is explained. */
typedef bool (*explain_match_fn)(const json_t *decision, const json_t *change,
				 const char *name);

/**
 * @brief Reads the recorded changes that match, oldest first.
 * @param out array to release, also on failure
 */
enum err_kind explain_changes_read(struct cli_context *desk,
				   explain_match_fn match, const char *name,
				   json_t **out);

/** @brief Prints changes as text, unless the output is JSON. */
void explain_changes_print(struct cli_context *desk, const json_t *changes);

/** @brief Explains a roll by its number. @return the exit code */
int explain_roll(struct cli_context *desk, const char *name);

#endif
