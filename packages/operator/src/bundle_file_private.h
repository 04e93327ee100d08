/**
 * @file bundle_file_private.h
 * @brief What the reader of bundle files and its checks share.
 */
#ifndef BUNDLE_FILE_PRIVATE_H
#define BUNDLE_FILE_PRIVATE_H

#include <stdbool.h>
#include <yaml.h>

#include "bundle_file.h"

/** Longest path of a field in a message. */
#define BUNDLE_FILE_PATH_MAX_BYTES 160

/** Types of values. */
enum bundle_file_type {
	BUNDLE_FILE_FIELD_NAME,
	BUNDLE_FILE_FIELD_TEXT,
	BUNDLE_FILE_FIELD_U16,
	BUNDLE_FILE_FIELD_U32,
	BUNDLE_FILE_FIELD_U64,
	BUNDLE_FILE_FIELD_BOOL,
	BUNDLE_FILE_FIELD_CHOICE,
	BUNDLE_FILE_FIELD_MINUTE,
	BUNDLE_FILE_FIELD_POOL,
	BUNDLE_FILE_FIELD_POOL_LIST,
	BUNDLE_FILE_FIELD_VM_LIST,
};

/** One key of a mapping and where its value goes; an array of them ends with
 *  a NULL key. */
struct bundle_file_field {
	const char *key;
	enum bundle_file_type type;
	size_t offset;
	/** for lists, where the number of items goes */
	size_t count_offset;
	bool optional;
	uint64_t min;
	uint64_t max;
	const char *const *choices;
};

/** State of one parse. */
struct bundle_file_reader {
	yaml_document_t *doc;
	struct bundle *bundle;
	/** name of each VM read so far to its index */
	GHashTable *vm_index;
	struct bundle_file_errors *mistakes;
};

/**
 * @brief Checks what the tree of nodes does not show any more: a single
 *        document without anchors and aliases, and its depth.
 * @return ERR_NONE or ERR_MALFORMED with a mistake added
 */
enum err_kind bundle_file_events_check(const char *text, size_t len,
				       struct bundle_file_errors *mistakes);

/** @brief Adds the mistake that a YAML parser stopped at. */
void bundle_file_parser_error(const yaml_parser_t *parser, const char *text,
			      struct bundle_file_errors *mistakes);

/** @brief Returns a node's line counted from 1, 0 for no node. */
uint32_t bundle_file_node_line(const yaml_node_t *node);

/** @brief Returns the text of a scalar without zero bytes, else NULL. */
const char *bundle_file_node_text(const yaml_node_t *node);

/** @brief Describes a node for a message: its text, or what kind it is. */
const char *bundle_file_node_kind(const yaml_node_t *node);

/** @brief Finds the value of a key of a mapping, or NULL. */
yaml_node_t *bundle_file_map_get(struct bundle_file_reader *reader,
				 const yaml_node_t *map, const char *key);

/** @brief Finds the description of a key, or NULL. */
const struct bundle_file_field *
bundle_file_field_find(const struct bundle_file_field *fields, const char *key);

/** @brief Reads one value into its place in a structure. */
void bundle_file_field_read(struct bundle_file_reader *reader,
			    const struct bundle_file_field *field,
			    const yaml_node_t *node, const char *where,
			    void *base);

/**
 * @brief Checks that each key of a mapping is known and occurs once.
 * @param is_known tells whether a key is allowed
 */
void bundle_file_keys_check(struct bundle_file_reader *reader,
			    const yaml_node_t *map, const char *where,
			    bool (*is_known)(const void *data, const char *key),
			    const void *data);

/** @brief Reads a whole mapping into a structure. */
void bundle_file_map_read(struct bundle_file_reader *reader,
			  const struct bundle_file_field *fields,
			  const yaml_node_t *map, const char *where,
			  void *base);

/** @brief Adds a mistake; line 0 means that none applies. */
void bundle_file_errors_add(struct bundle_file_errors *mistakes, uint32_t line,
			    const char *field, const char *format, ...)
	G_GNUC_PRINTF(4, 5);

/**
 * @brief Checks what spans several fields, after all of them were read.
 * @param lines line of each VM, pool, route and wave, in this order
 */
void bundle_file_check(const struct bundle *bundle, const uint32_t *lines,
		       struct bundle_file_errors *mistakes);

#endif
