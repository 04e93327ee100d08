/**
 * @file bfl_private.h
 * @brief What the reader of bundle files and its checks share.
 */
#ifndef BFL_PRIVATE_H
#define BFL_PRIVATE_H

#include <stdbool.h>
#include <yaml.h>

#include "bfl.h"

/** Longest path of a field in a message. */
#define BFL_PATH_MAX_BYTES 160

/** Types of values. */
enum bfl_type {
	BFL_FIELD_NAME,
	BFL_FIELD_TEXT,
	BFL_FIELD_U16,
	BFL_FIELD_U32,
	BFL_FIELD_U64,
	BFL_FIELD_BOOL,
	BFL_FIELD_CHOICE,
	BFL_FIELD_MINUTE,
	BFL_FIELD_POOL,
	BFL_FIELD_POOL_LIST,
	BFL_FIELD_VM_LIST,
};

/** One key of a mapping and where its value goes; an array of them ends with
 *  a NULL key. */
struct bfl_field {
	const char *key;
	enum bfl_type type;
	size_t offset;
	/** for lists, where the number of items goes */
	size_t count_offset;
	bool optional;
	uint64_t min;
	uint64_t max;
	const char *const *choices;
};

/** State of one parse. */
struct bfl_reader {
	yaml_document_t *doc;
	struct bundle *bundle;
	/** name of each VM read so far to its index */
	GHashTable *vm_index;
	struct bfl_mistakes *mistakes;
};

/**
 * @brief Checks what the tree of nodes does not show any more: a single
 *        document without anchors and aliases, and its depth.
 * @return ERR_NONE or ERR_MALFORMED with a mistake added
 */
enum err_kind bfl_events_check(const char *text, size_t len,
			       struct bfl_mistakes *mistakes);

/** @brief Adds the mistake that a YAML parser stopped at. */
void bfl_parser_mistake(const yaml_parser_t *parser, const char *text,
			struct bfl_mistakes *mistakes);

/** @brief Returns a node's line counted from 1, 0 for no node. */
uint32_t bfl_node_line(const yaml_node_t *node);

/** @brief Returns the text of a scalar without zero bytes, else NULL. */
const char *bfl_node_text(const yaml_node_t *node);

/** @brief Describes a node for a message: its text, or what kind it is. */
const char *bfl_node_kind(const yaml_node_t *node);

/** @brief Finds the value of a key of a mapping, or NULL. */
yaml_node_t *bfl_map_get(struct bfl_reader *reader, const yaml_node_t *map,
			 const char *key);

/** @brief Finds the description of a key, or NULL. */
const struct bfl_field *bfl_field_find(const struct bfl_field *fields,
				       const char *key);

/** @brief Reads one value into its place in a structure. */
void bfl_field_read(struct bfl_reader *reader, const struct bfl_field *field,
		    const yaml_node_t *node, const char *where, void *base);

/**
 * @brief Checks that each key of a mapping is known and occurs once.
 * @param is_known tells whether a key is allowed
 */
void bfl_keys_check(struct bfl_reader *reader, const yaml_node_t *map,
		    const char *where,
		    bool (*is_known)(const void *data, const char *key),
		    const void *data);

/** @brief Reads a whole mapping into a structure. */
void bfl_map_read(struct bfl_reader *reader, const struct bfl_field *fields,
		  const yaml_node_t *map, const char *where, void *base);

/** @brief Adds a mistake; line 0 means that none applies. */
void bfl_mistakes_add(struct bfl_mistakes *mistakes, uint32_t line,
		      const char *field, const char *format, ...)
	G_GNUC_PRINTF(4, 5);

/**
 * @brief Checks what spans several fields, after all of them were read.
 * @param lines line of each VM, pool, route and wave, in this order
 */
void bfl_check(const struct bundle *bundle, const uint32_t *lines,
	       struct bfl_mistakes *mistakes);

#endif
