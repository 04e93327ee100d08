#include <inttypes.h>
#include <string.h>

#include "bundle_file_private.h"

#define BUNDLE_FILE_NAME_MAX_BYTES 63

uint32_t bundle_file_node_line(const yaml_node_t *node)
{
	return node ? (uint32_t)node->start_mark.line + 1 : 0;
}

const char *bundle_file_node_text(const yaml_node_t *node)
{
	const char *text;

	if (!node || node->type != YAML_SCALAR_NODE)
		return NULL;
	text = (const char *)node->data.scalar.value;
	return strlen(text) == node->data.scalar.length ? text : NULL;
}

const char *bundle_file_node_describe(const yaml_node_t *node)
{
	if (node->type == YAML_MAPPING_NODE)
		return "a mapping";
	if (node->type == YAML_SEQUENCE_NODE)
		return "a list";
	return bundle_file_node_text(node) ? bundle_file_node_text(node)
					   : "a string with a zero byte";
}

yaml_node_t *bundle_file_map_get(struct bundle_file_reader *reader,
				 const yaml_node_t *map, const char *key)
{
	const yaml_node_pair_t *pair = map->data.mapping.pairs.start;

	for (; pair < map->data.mapping.pairs.top; pair++) {
		const char *text = bundle_file_node_text(
			yaml_document_get_node(reader->doc, pair->key));

		if (text && strcmp(text, key) == 0)
			return yaml_document_get_node(reader->doc, pair->value);
	}
	return NULL;
}

static bool name_is_valid(const char *text)
{
	size_t len = strlen(text);

	if (len == 0 || len > BUNDLE_FILE_NAME_MAX_BYTES)
		return false;
	for (size_t i = 0; i < len; i++) {
		if (!g_ascii_isalnum(text[i]) && !strchr("-_.", text[i]))
			return false;
	}
	return true;
}

static bool minute_parse(const char *text, uint32_t *minute)
{
	unsigned int hour;
	unsigned int min;
	char extra;

	if (strlen(text) != 5 ||
	    sscanf(text, "%2u:%2u%c", &hour, &min, &extra) != 2)
		return false;
	if (hour > 24 || min > 59 || hour * 60 + min > 24 * 60)
		return false;
	*minute = hour * 60 + min;
	return true;
}

/* Parses a number within the bounds of a field. Does not use GLib's error,
 * since the callers report the bounds and the value themselves. */
static bool number_parse(const char *text,
			 const struct bundle_file_field *field, uint64_t *out)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(text, 10, field->min, field->max,
					&value, NULL))
		return false;
	*out = value;
	return true;
}

static void number_store(const struct bundle_file_field *field, void *target,
			 uint64_t value)
{
	switch (field->type) {
	case BUNDLE_FILE_FIELD_U16:
		*(uint16_t *)target = (uint16_t)value;
		break;
	case BUNDLE_FILE_FIELD_U32:
		*(uint32_t *)target = (uint32_t)value;
		break;
	default:
		*(uint64_t *)target = value;
	}
}

static bool number_read(struct bundle_file_reader *reader,
			const struct bundle_file_field *field,
			const yaml_node_t *node, const char *where,
			void *target)
{
	const char *text = bundle_file_node_text(node);
	uint64_t value;

	if (!text || !number_parse(text, field, &value)) {
		bundle_file_errors_add(reader->errors,
				       bundle_file_node_line(node), where,
				       "expected a whole number from %" PRIu64
				       " to %" PRIu64 ", found '%s'",
				       field->min, field->max,
				       bundle_file_node_describe(node));
		return false;
	}
	number_store(field, target, value);
	return true;
}

static void choice_read(struct bundle_file_reader *reader,
			const struct bundle_file_field *field,
			const yaml_node_t *node, const char *where,
			void *target)
{
	const char *text = bundle_file_node_text(node);
	g_autofree char *list = g_strjoinv(", ", (char **)field->choices);

	for (uint32_t i = 0; text && field->choices[i]; i++) {
		if (strcmp(text, field->choices[i]) == 0) {
			*(uint32_t *)target = i;
			return;
		}
	}
	bundle_file_errors_add(reader->errors, bundle_file_node_line(node),
			       where, "expected one of %s, found '%s'", list,
			       bundle_file_node_describe(node));
}

static void text_read(struct bundle_file_reader *reader,
		      const struct bundle_file_field *field,
		      const yaml_node_t *node, const char *where, void *target)
{
	const char *text = bundle_file_node_text(node);

	if (field->type == BUNDLE_FILE_FIELD_NAME &&
	    (!text || !name_is_valid(text))) {
		bundle_file_errors_add(
			reader->errors, bundle_file_node_line(node), where,
			"expected a name of 1 to %d letters, digits, "
			"'-', '_' or '.', found '%s'",
			BUNDLE_FILE_NAME_MAX_BYTES,
			bundle_file_node_describe(node));
		text = "";
	}
	if (!text) {
		bundle_file_errors_add(reader->errors,
				       bundle_file_node_line(node), where,
				       "expected a string, found %s",
				       bundle_file_node_describe(node));
		text = "";
	}
	g_free(*(char **)target);
	*(char **)target = g_strdup(text);
}

static void bool_read(struct bundle_file_reader *reader,
		      const yaml_node_t *node, const char *where, void *target)
{
	const char *text = bundle_file_node_text(node);

	if (text && strcmp(text, "true") == 0) {
		*(bool *)target = true;
	} else if (!text || strcmp(text, "false") != 0) {
		bundle_file_errors_add(reader->errors,
				       bundle_file_node_line(node), where,
				       "expected true or false, found '%s'",
				       bundle_file_node_describe(node));
	}
}

static void minute_read(struct bundle_file_reader *reader,
			const yaml_node_t *node, const char *where,
			void *target)
{
	const char *text = bundle_file_node_text(node);

	if (!text || !minute_parse(text, target))
		bundle_file_errors_add(
			reader->errors, bundle_file_node_line(node), where,
			"expected a time of day as \"HH:MM\" in UTC, "
			"found '%s'",
			bundle_file_node_describe(node));
}

static uint32_t vm_find(const struct bundle_file_reader *reader,
			const char *name)
{
	gpointer index;

	return g_hash_table_lookup_extended(reader->vm_index, name, NULL,
					    &index)
		       ? GPOINTER_TO_UINT(index)
		       : BUNDLE_INDEX_NONE;
}

static uint32_t reference_find(struct bundle_file_reader *reader,
			       enum bundle_file_type type,
			       const yaml_node_t *node, const char *where)
{
	bool vm = type == BUNDLE_FILE_FIELD_VM_LIST;
	const char *text = bundle_file_node_text(node);
	uint32_t index = BUNDLE_INDEX_NONE;

	if (text)
		index = vm ? vm_find(reader, text)
			   : bundle_pool_find(reader->bundle, text);
	if (index == BUNDLE_INDEX_NONE)
		bundle_file_errors_add(
			reader->errors, bundle_file_node_line(node), where,
			"expected the name of a %s of this bundle, "
			"found '%s'",
			vm ? "VM" : "pool", bundle_file_node_describe(node));
	return index;
}

static void list_read(struct bundle_file_reader *reader,
		      const struct bundle_file_field *field,
		      const yaml_node_t *node, const char *where, void *base)
{
	uint32_t **items = (uint32_t **)((char *)base + field->offset);
	uint32_t *count = (uint32_t *)((char *)base + field->count_offset);
	g_autoptr(GHashTable) seen = g_hash_table_new(NULL, NULL);
	const yaml_node_item_t *item;

	if (node->type != YAML_SEQUENCE_NODE) {
		bundle_file_errors_add(reader->errors,
				       bundle_file_node_line(node), where,
				       "expected a list of names, found '%s'",
				       bundle_file_node_describe(node));
		return;
	}
	item = node->data.sequence.items.start;
	*items = g_new0(uint32_t,
			(gsize)(node->data.sequence.items.top - item) + 1);
	for (; item < node->data.sequence.items.top; item++) {
		const yaml_node_t *name =
			yaml_document_get_node(reader->doc, *item);
		uint32_t index =
			reference_find(reader, field->type, name, where);

		if (index == BUNDLE_INDEX_NONE)
			continue;
		if (!g_hash_table_add(seen, GUINT_TO_POINTER(index)))
			bundle_file_errors_add(
				reader->errors, bundle_file_node_line(name),
				where,
				"expected each name once, found '%s' "
				"again",
				bundle_file_node_describe(name));
		else
			(*items)[(*count)++] = index;
	}
}

void bundle_file_field_read(struct bundle_file_reader *reader,
			    const struct bundle_file_field *field,
			    const yaml_node_t *node, const char *where,
			    void *base)
{
	void *target = (char *)base + field->offset;

	switch (field->type) {
	case BUNDLE_FILE_FIELD_NAME:
	case BUNDLE_FILE_FIELD_TEXT:
		text_read(reader, field, node, where, target);
		break;
	case BUNDLE_FILE_FIELD_U16:
	case BUNDLE_FILE_FIELD_U32:
	case BUNDLE_FILE_FIELD_U64:
		number_read(reader, field, node, where, target);
		break;
	case BUNDLE_FILE_FIELD_BOOL:
		bool_read(reader, node, where, target);
		break;
	case BUNDLE_FILE_FIELD_CHOICE:
		choice_read(reader, field, node, where, target);
		break;
	case BUNDLE_FILE_FIELD_MINUTE:
		minute_read(reader, node, where, target);
		break;
	case BUNDLE_FILE_FIELD_POOL:
		*(uint32_t *)target = reference_find(
			reader, BUNDLE_FILE_FIELD_POOL, node, where);
		break;
	case BUNDLE_FILE_FIELD_POOL_LIST:
	case BUNDLE_FILE_FIELD_VM_LIST:
		list_read(reader, field, node, where, base);
		break;
	}
}

const struct bundle_file_field *
bundle_file_field_find(const struct bundle_file_field *fields, const char *key)
{
	for (; fields->key; fields++) {
		if (strcmp(fields->key, key) == 0)
			return fields;
	}
	return NULL;
}

void bundle_file_keys_check(struct bundle_file_reader *reader,
			    const yaml_node_t *map, const char *where,
			    bool (*is_known)(const void *data, const char *key),
			    const void *data)
{
	const yaml_node_pair_t *pair = map->data.mapping.pairs.start;
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (; pair < map->data.mapping.pairs.top; pair++) {
		const yaml_node_t *key =
			yaml_document_get_node(reader->doc, pair->key);
		const char *text = bundle_file_node_text(key);

		if (!text || !is_known(data, text))
			bundle_file_errors_add(
				reader->errors, bundle_file_node_line(key),
				where, "expected a known field, found '%s'",
				bundle_file_node_describe(key));
		else if (!g_hash_table_add(seen, (gpointer)text))
			bundle_file_errors_add(
				reader->errors, bundle_file_node_line(key),
				where,
				"expected each field once, found '%s' "
				"again",
				text);
	}
}

static bool field_is_known(const void *data, const char *key)
{
	return bundle_file_field_find(data, key) != NULL;
}

/* Initialises strings as empty, so that later checks need not handle NULL. */
static void texts_init(const struct bundle_file_field *fields, void *base)
{
	for (; fields->key; fields++) {
		char **target = (char **)((char *)base + fields->offset);

		if (fields->type == BUNDLE_FILE_FIELD_NAME ||
		    fields->type == BUNDLE_FILE_FIELD_TEXT)
			*target = g_strdup("");
	}
}

void bundle_file_map_read(struct bundle_file_reader *reader,
			  const struct bundle_file_field *fields,
			  const yaml_node_t *map, const char *where, void *base)
{
	char path[BUNDLE_FILE_PATH_MAX_BYTES];

	texts_init(fields, base);
	if (map->type != YAML_MAPPING_NODE) {
		bundle_file_errors_add(reader->errors,
				       bundle_file_node_line(map), where,
				       "expected a mapping, found '%s'",
				       bundle_file_node_describe(map));
		return;
	}
	bundle_file_keys_check(reader, map, where, field_is_known, fields);
	for (; fields->key; fields++) {
		const yaml_node_t *node =
			bundle_file_map_get(reader, map, fields->key);

		g_snprintf(path, sizeof(path), "%s.%s", where, fields->key);
		if (node)
			bundle_file_field_read(reader, fields, node, path,
					       base);
		else if (!fields->optional)
			bundle_file_errors_add(
				reader->errors, bundle_file_node_line(map),
				path, "expected this field, found none");
	}
}
