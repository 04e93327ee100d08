/**
 * @file bundle_file_private.h
 * @brief Shared by the parser and the validation of bundle files.
 */
#ifndef BUNDLE_FILE_PRIVATE_H
#define BUNDLE_FILE_PRIVATE_H

#include <stdbool.h>
#include <yaml.h>

#include "bundle_file.h"

/** Maximum length of a field path in an error. */
#define BUNDLE_FILE_PATH_MAX_BYTES 160

/** Type of a field's value. */
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

/** Describes a field of a mapping and the structure member that its value is
 *  stored in. Arrays of fields end with a NULL key. */
struct bundle_file_field {
	const char *key;
	enum bundle_file_type type;
	size_t offset;
	/** offset of the member with the number of items, for lists */
	size_t count_offset;
	bool optional;
	uint64_t min;
	uint64_t max;
	const char *const *choices;
};

/** Parser state. */
struct bundle_file_reader {
	yaml_document_t *doc;
	struct bundle *bundle;
	/** maps the names of the VMs to their index */
	GHashTable *vm_index;
	struct bundle_file_errors *errors;
};

/**
 * @brief Checks the YAML event stream for a single document without anchors
 *        and aliases and of limited depth.
 *
 * The node tree that libyaml builds no longer shows anchors, aliases and
 * further documents.
 * @return ERR_NONE, or ERR_MALFORMED with an error added
 */
enum err_kind bundle_file_events_check(const char *text, size_t len,
				       struct bundle_file_errors *errors);

/** @brief Adds the error that the YAML parser reports. */
void bundle_file_parser_error(const yaml_parser_t *parser, const char *text,
			      struct bundle_file_errors *errors);

/** @brief Returns the line number of a node starting at 1, 0 for NULL. */
uint32_t bundle_file_node_line(const yaml_node_t *node);

/** @brief Returns the text of a scalar, NULL for other nodes and for text that
 *  contains NUL bytes. */
const char *bundle_file_node_text(const yaml_node_t *node);

/** @brief Describes a node in an error: its text, or its type. */
const char *bundle_file_node_describe(const yaml_node_t *node);

/** @brief Returns the value of a key of a mapping, or NULL. */
yaml_node_t *bundle_file_map_get(struct bundle_file_reader *reader,
				 const yaml_node_t *map, const char *key);

/** @brief Returns the field with a key, or NULL. */
const struct bundle_file_field *
bundle_file_field_find(const struct bundle_file_field *fields, const char *key);

/** @brief Reads a field's value into the structure at base.
 *  @param where path of the field, for errors */
void bundle_file_field_read(struct bundle_file_reader *reader,
			    const struct bundle_file_field *field,
			    const yaml_node_t *node, const char *where,
			    void *base);

/**
 * @brief Adds an error for each unknown or duplicate key of a mapping.
 * @param is_known returns true if a key is allowed
 */
void bundle_file_keys_check(struct bundle_file_reader *reader,
			    const yaml_node_t *map, const char *where,
			    bool (*is_known)(const void *data, const char *key),
			    const void *data);

/** @brief Reads all fields of a mapping into the structure at base. */
void bundle_file_map_read(struct bundle_file_reader *reader,
			  const struct bundle_file_field *fields,
			  const yaml_node_t *map, const char *where,
			  void *base);

/** @brief Adds an error; line 0 if it is not tied to a line. */
void bundle_file_errors_add(struct bundle_file_errors *errors, uint32_t line,
			    const char *field, const char *format, ...)
	G_GNUC_PRINTF(4, 5);

/**
 * @brief Validates rules that involve several fields of a parsed bundle.
 * @param lines line numbers of all VMs, pools, routes and waves, in this order
 */
void bundle_file_check(const struct bundle *bundle, const uint32_t *lines,
		       struct bundle_file_errors *errors);

#endif
