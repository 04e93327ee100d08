#include <inttypes.h>
#include <string.h>

#include "bfl_private.h"

#define BFL_NAME_MAX_BYTES 63
#define BFL_FIELD_MAX_BYTES 160
#define BFL_SECTION_MAX_ITEMS 10000

enum field_type {
	FIELD_NAME,
	FIELD_TEXT,
	FIELD_U16,
	FIELD_U32,
	FIELD_U64,
	FIELD_BOOL,
	FIELD_CHOICE,
	FIELD_MINUTE,
	FIELD_POOL,
	FIELD_POOL_LIST,
	FIELD_VM_LIST,
};

/* Describes one key of a mapping and where its value goes. */
struct field {
	const char *key;
	enum field_type type;
	size_t offset;
	/* for lists, where the number of items goes */
	size_t count_offset;
	bool optional;
	uint64_t min;
	uint64_t max;
	const char *const *choices;
};

static const char *const survive_choices[] = { "none", "rack", "zone", NULL };
static const char *const idempotence_choices[] = { "method", "yes", "no",
						   NULL };

#define AT(type, member) .offset = offsetof(struct type, member)

static const struct field vm_fields[] = {
	{ "name", FIELD_NAME, AT(bnd_vm, name) },
	{ "ip", FIELD_TEXT, AT(bnd_vm, ip) },
	{ "port", FIELD_U16, AT(bnd_vm, port), .min = 1, .max = 65535 },
	{ "availability_zone", FIELD_NAME, AT(bnd_vm, availability_zone) },
	{ "rack", FIELD_NAME, AT(bnd_vm, rack) },
	{ "slots", FIELD_U32, AT(bnd_vm, slots), .min = 1, .max = 1024 },
	{ "connections", FIELD_U32, AT(bnd_vm, connections), .min = 1,
	  .max = 65535 },
	{ 0 },
};

static const struct field pool_fields[] = {
	{ "name", FIELD_NAME, AT(bnd_pool, name) },
	{ "spare", FIELD_BOOL, AT(bnd_pool, spare), .optional = true },
	{ "vms", FIELD_VM_LIST, AT(bnd_pool, vms),
	  .count_offset = offsetof(struct bnd_pool, vm_count) },
	{ "target_vms", FIELD_U32, AT(bnd_pool, target_vms), .min = 0,
	  .max = BFL_SECTION_MAX_ITEMS },
	{ "floor_vms", FIELD_U32, AT(bnd_pool, floor_vms), .min = 0,
	  .max = BFL_SECTION_MAX_ITEMS },
	{ "survive", FIELD_CHOICE, AT(bnd_pool, survive),
	  .choices = survive_choices },
	{ "queue_max_requests", FIELD_U32, AT(bnd_pool, queue_max_requests),
	  .min = 1, .max = 1000000 },
	{ "queue_max_bytes", FIELD_U64, AT(bnd_pool, queue_max_bytes),
	  .min = 1024, .max = 1ull << 32 },
	{ "queue_max_wait_ms", FIELD_U32, AT(bnd_pool, queue_max_wait_ms),
	  .min = 1, .max = 3600000 },
	{ 0 },
};

static const struct field route_fields[] = {
	{ "path", FIELD_TEXT, AT(bnd_route, path) },
	{ "pool", FIELD_POOL, AT(bnd_route, pool) },
	{ "idempotent", FIELD_CHOICE, AT(bnd_route, idempotence),
	  .choices = idempotence_choices },
	{ "deadline_ms", FIELD_U32, AT(bnd_route, deadline_ms), .min = 10,
	  .max = 3600000 },
	{ 0 },
};

static const struct field wave_fields[] = {
	{ "name", FIELD_NAME, AT(bnd_wave, name) },
	{ "opens", FIELD_MINUTE, AT(bnd_wave, opens_minute) },
	{ "closes", FIELD_MINUTE, AT(bnd_wave, closes_minute) },
	{ "pools", FIELD_POOL_LIST, AT(bnd_wave, pools),
	  .count_offset = offsetof(struct bnd_wave, pool_count) },
	{ "max_parallel", FIELD_U32, AT(bnd_wave, max_parallel), .min = 1,
	  .max = 1000 },
	{ "max_failures", FIELD_U32, AT(bnd_wave, max_failures), .min = 1,
	  .max = 1000 },
	{ 0 },
};

static const struct field weight_fields[] = {
	{ "buffer", FIELD_U32, AT(bnd_weights, buffer), .max = 1000 },
	{ "moves", FIELD_U32, AT(bnd_weights, moves), .max = 1000 },
	{ "roll_out", FIELD_U32, AT(bnd_weights, roll_out), .max = 1000 },
	{ 0 },
};

static uint32_t node_line(const yaml_node_t *node)
{
	return node ? (uint32_t)node->start_mark.line + 1 : 0;
}

static const char *node_text(const yaml_node_t *node)
{
	if (!node || node->type != YAML_SCALAR_NODE)
		return NULL;
	return (const char *)node->data.scalar.value;
}

static const char *node_kind(const yaml_node_t *node)
{
	if (node->type == YAML_MAPPING_NODE)
		return "a mapping";
	if (node->type == YAML_SEQUENCE_NODE)
		return "a list";
	return node_text(node);
}

static yaml_node_t *map_get(struct bfl_reader *reader, const yaml_node_t *map,
			    const char *key)
{
	const yaml_node_pair_t *pair = map->data.mapping.pairs.start;

	for (; pair < map->data.mapping.pairs.top; pair++) {
		const char *text = node_text(
			yaml_document_get_node(reader->doc, pair->key));

		if (text && strcmp(text, key) == 0)
			return yaml_document_get_node(reader->doc, pair->value);
	}
	return NULL;
}

static bool name_is_valid(const char *text)
{
	size_t len = strlen(text);

	if (len == 0 || len > BFL_NAME_MAX_BYTES)
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
	char rest;

	if (strlen(text) != 5 ||
	    sscanf(text, "%2u:%2u%c", &hour, &min, &rest) != 2)
		return false;
	if (hour > 24 || min > 59 || hour * 60 + min > 24 * 60)
		return false;
	*minute = hour * 60 + min;
	return true;
}

/* Parses a number; GLib names the error, the caller says what it wants. */
static bool number_parse(const char *text, const struct field *field,
			 uint64_t *out)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(text, 10, field->min, field->max,
					&value, NULL))
		return false;
	*out = value;
	return true;
}

static void number_store(const struct field *field, void *target,
			 uint64_t value)
{
	switch (field->type) {
	case FIELD_U16:
		*(uint16_t *)target = (uint16_t)value;
		break;
	case FIELD_U32:
		*(uint32_t *)target = (uint32_t)value;
		break;
	default:
		*(uint64_t *)target = value;
	}
}

static bool number_read(struct bfl_reader *reader, const struct field *field,
			const yaml_node_t *node, const char *where,
			void *target)
{
	const char *text = node_text(node);
	uint64_t value;

	if (!text || !number_parse(text, field, &value)) {
		bfl_mistakes_add(reader->mistakes, node_line(node), where,
				 "expected a whole number from %" PRIu64
				 " to %" PRIu64 ", found '%s'",
				 field->min, field->max, node_kind(node));
		return false;
	}
	number_store(field, target, value);
	return true;
}

static void choice_read(struct bfl_reader *reader, const struct field *field,
			const yaml_node_t *node, const char *where,
			void *target)
{
	const char *text = node_text(node);
	g_autofree char *list = g_strjoinv(", ", (char **)field->choices);

	for (uint32_t i = 0; text && field->choices[i]; i++) {
		if (strcmp(text, field->choices[i]) == 0) {
			*(uint32_t *)target = i;
			return;
		}
	}
	bfl_mistakes_add(reader->mistakes, node_line(node), where,
			 "expected one of %s, found '%s'", list,
			 node_kind(node));
}

static void text_read(struct bfl_reader *reader, const struct field *field,
		      const yaml_node_t *node, const char *where, void *target)
{
	const char *text = node_text(node);

	if (field->type == FIELD_NAME && (!text || !name_is_valid(text))) {
		bfl_mistakes_add(reader->mistakes, node_line(node), where,
				 "expected a name of 1 to %d letters, digits, "
				 "'-', '_' or '.', found '%s'",
				 BFL_NAME_MAX_BYTES, node_kind(node));
		text = "";
	}
	if (!text) {
		bfl_mistakes_add(reader->mistakes, node_line(node), where,
				 "expected a text, found %s", node_kind(node));
		text = "";
	}
	*(char **)target = g_strdup(text);
}

static void bool_read(struct bfl_reader *reader, const yaml_node_t *node,
		      const char *where, void *target)
{
	const char *text = node_text(node);

	if (text && strcmp(text, "true") == 0) {
		*(bool *)target = true;
	} else if (!text || strcmp(text, "false") != 0) {
		bfl_mistakes_add(reader->mistakes, node_line(node), where,
				 "expected true or false, found '%s'",
				 node_kind(node));
	}
}

static void minute_read(struct bfl_reader *reader, const yaml_node_t *node,
			const char *where, void *target)
{
	const char *text = node_text(node);

	if (!text || !minute_parse(text, target))
		bfl_mistakes_add(reader->mistakes, node_line(node), where,
				 "expected a time of day as \"HH:MM\" in UTC, "
				 "found '%s'",
				 node_kind(node));
}

static uint32_t reference_find(struct bfl_reader *reader, enum field_type type,
			       const yaml_node_t *node, const char *where)
{
	bool vm = type == FIELD_VM_LIST;
	const char *text = node_text(node);
	uint32_t index = BND_NONE;

	if (text)
		index = vm ? bnd_vm_find(reader->bundle, text)
			   : bnd_pool_find(reader->bundle, text);
	if (index == BND_NONE)
		bfl_mistakes_add(reader->mistakes, node_line(node), where,
				 "expected the name of a %s of this bundle, "
				 "found '%s'",
				 vm ? "VM" : "pool", node_kind(node));
	return index;
}

static void list_read(struct bfl_reader *reader, const struct field *field,
		      const yaml_node_t *node, const char *where, void *base)
{
	uint32_t **items = (uint32_t **)((char *)base + field->offset);
	uint32_t *count = (uint32_t *)((char *)base + field->count_offset);
	const yaml_node_item_t *item;

	if (node->type != YAML_SEQUENCE_NODE) {
		bfl_mistakes_add(reader->mistakes, node_line(node), where,
				 "expected a list of names, found '%s'",
				 node_kind(node));
		return;
	}
	item = node->data.sequence.items.start;
	*items = g_new0(uint32_t,
			(gsize)(node->data.sequence.items.top - item) + 1);
	for (; item < node->data.sequence.items.top; item++) {
		uint32_t index = reference_find(
			reader, field->type,
			yaml_document_get_node(reader->doc, *item), where);

		if (index != BND_NONE)
			(*items)[(*count)++] = index;
	}
}

static void field_read(struct bfl_reader *reader, const struct field *field,
		       const yaml_node_t *node, const char *where, void *base)
{
	void *target = (char *)base + field->offset;

	switch (field->type) {
	case FIELD_NAME:
	case FIELD_TEXT:
		text_read(reader, field, node, where, target);
		break;
	case FIELD_U16:
	case FIELD_U32:
	case FIELD_U64:
		number_read(reader, field, node, where, target);
		break;
	case FIELD_BOOL:
		bool_read(reader, node, where, target);
		break;
	case FIELD_CHOICE:
		choice_read(reader, field, node, where, target);
		break;
	case FIELD_MINUTE:
		minute_read(reader, node, where, target);
		break;
	case FIELD_POOL:
		*(uint32_t *)target =
			reference_find(reader, FIELD_POOL, node, where);
		break;
	case FIELD_POOL_LIST:
	case FIELD_VM_LIST:
		list_read(reader, field, node, where, base);
		break;
	}
}

static const struct field *field_find(const struct field *fields,
				      const char *key)
{
	for (; fields->key; fields++) {
		if (strcmp(fields->key, key) == 0)
			return fields;
	}
	return NULL;
}

static void keys_check(struct bfl_reader *reader, const struct field *fields,
		       const yaml_node_t *map, const char *where)
{
	const yaml_node_pair_t *pair = map->data.mapping.pairs.start;

	for (; pair < map->data.mapping.pairs.top; pair++) {
		const yaml_node_t *key =
			yaml_document_get_node(reader->doc, pair->key);
		const char *text = node_text(key);

		if (!text || !field_find(fields, text))
			bfl_mistakes_add(reader->mistakes, node_line(key),
					 where, "unknown field '%s'",
					 node_kind(key));
	}
}

static void map_read(struct bfl_reader *reader, const struct field *fields,
		     const yaml_node_t *map, const char *where, void *base)
{
	char path[BFL_FIELD_MAX_BYTES];

	if (map->type != YAML_MAPPING_NODE) {
		bfl_mistakes_add(reader->mistakes, node_line(map), where,
				 "expected a mapping, found '%s'",
				 node_kind(map));
		return;
	}
	keys_check(reader, fields, map, where);
	for (; fields->key; fields++) {
		const yaml_node_t *node = map_get(reader, map, fields->key);

		g_snprintf(path, sizeof(path), "%s.%s", where, fields->key);
		if (node)
			field_read(reader, fields, node, path, base);
		else if (!fields->optional)
			bfl_mistakes_add(reader->mistakes, node_line(map), path,
					 "expected this field, found none");
	}
}

/* Describes one list of mappings at the top level. */
struct section {
	const char *key;
	const struct field *fields;
	size_t item_size;
	size_t offset;
	size_t count_offset;
};

/* References resolve against sections read earlier: the order matters. */
static const struct section sections[] = {
	{ "vms", vm_fields, sizeof(struct bnd_vm),
	  offsetof(struct bnd_bundle, vms),
	  offsetof(struct bnd_bundle, vm_count) },
	{ "pools", pool_fields, sizeof(struct bnd_pool),
	  offsetof(struct bnd_bundle, pools),
	  offsetof(struct bnd_bundle, pool_count) },
	{ "routes", route_fields, sizeof(struct bnd_route),
	  offsetof(struct bnd_bundle, routes),
	  offsetof(struct bnd_bundle, route_count) },
	{ "waves", wave_fields, sizeof(struct bnd_wave),
	  offsetof(struct bnd_bundle, waves),
	  offsetof(struct bnd_bundle, wave_count) },
};

static void section_read(struct bfl_reader *reader,
			 const struct section *section, const yaml_node_t *root,
			 GArray *lines)
{
	const yaml_node_t *list = map_get(reader, root, section->key);
	uint32_t *count =
		(uint32_t *)((char *)reader->bundle + section->count_offset);
	char **items = (char **)((char *)reader->bundle + section->offset);
	char where[BFL_FIELD_MAX_BYTES];
	size_t length;

	if (!list || list->type != YAML_SEQUENCE_NODE) {
		bfl_mistakes_add(reader->mistakes,
				 node_line(list ? list : root), section->key,
				 "expected a list");
		return;
	}
	length = (size_t)(list->data.sequence.items.top -
			  list->data.sequence.items.start);
	if (length > BFL_SECTION_MAX_ITEMS) {
		bfl_mistakes_add(reader->mistakes, node_line(list),
				 section->key, "expected at most %d items",
				 BFL_SECTION_MAX_ITEMS);
		return;
	}
	*items = g_malloc0_n(length + 1, section->item_size);
	for (size_t i = 0; i < length; i++) {
		const yaml_node_t *item = yaml_document_get_node(
			reader->doc, list->data.sequence.items.start[i]);
		uint32_t line = node_line(item);

		g_snprintf(where, sizeof(where), "%s[%zu]", section->key, i);
		*count = (uint32_t)i + 1;
		g_array_append_val(lines, line);
		map_read(reader, section->fields, item, where,
			 *items + i * section->item_size);
	}
}

static const struct field top_fields[] = {
	{ "version", FIELD_U64, AT(bnd_bundle, version), .min = 1,
	  .max = INT64_MAX },
	{ "name", FIELD_NAME, AT(bnd_bundle, name) },
	{ 0 },
};

static bool top_key_is_known(const char *key)
{
	if (field_find(top_fields, key) || strcmp(key, "cost_weights") == 0)
		return true;
	for (size_t i = 0; i < G_N_ELEMENTS(sections); i++) {
		if (strcmp(sections[i].key, key) == 0)
			return true;
	}
	return false;
}

static void top_keys_check(struct bfl_reader *reader, const yaml_node_t *root)
{
	const yaml_node_pair_t *pair = root->data.mapping.pairs.start;

	for (; pair < root->data.mapping.pairs.top; pair++) {
		const yaml_node_t *key =
			yaml_document_get_node(reader->doc, pair->key);
		const char *text = node_text(key);

		if (!text || !top_key_is_known(text))
			bfl_mistakes_add(reader->mistakes, node_line(key),
					 "bundle", "unknown field '%s'",
					 node_kind(key));
	}
}

static void top_fields_read(struct bfl_reader *reader, const yaml_node_t *root)
{
	const yaml_node_t *weights = map_get(reader, root, "cost_weights");

	for (const struct field *field = top_fields; field->key; field++) {
		const yaml_node_t *node = map_get(reader, root, field->key);

		if (node)
			field_read(reader, field, node, field->key,
				   reader->bundle);
		else
			bfl_mistakes_add(reader->mistakes, node_line(root),
					 field->key,
					 "expected this field, found none");
	}
	if (weights)
		map_read(reader, weight_fields, weights, "cost_weights",
			 &reader->bundle->weights);
	else
		bfl_mistakes_add(reader->mistakes, node_line(root),
				 "cost_weights",
				 "expected this field, found none");
}

static void root_read(struct bfl_reader *reader)
{
	const yaml_node_t *root = yaml_document_get_root_node(reader->doc);
	g_autoptr(GArray) lines = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	if (!root || root->type != YAML_MAPPING_NODE) {
		bfl_mistakes_add(reader->mistakes, node_line(root), "bundle",
				 "expected a mapping at the top level");
		return;
	}
	top_keys_check(reader, root);
	top_fields_read(reader, root);
	for (size_t i = 0; i < G_N_ELEMENTS(sections); i++)
		section_read(reader, &sections[i], root, lines);
	if (bfl_mistakes_count(reader->mistakes) == 0)
		bfl_check(reader->bundle, (const uint32_t *)lines->data,
			  reader->mistakes);
}

static enum err_kind document_load(const char *text, size_t len,
				   yaml_document_t *doc,
				   struct bfl_mistakes *mistakes)
{
	yaml_parser_t parser;
	enum err_kind err = ERR_NONE;

	if (!yaml_parser_initialize(&parser))
		return ERR_MALFORMED;
	yaml_parser_set_input_string(&parser, (const unsigned char *)text, len);
	if (!yaml_parser_load(&parser, doc)) {
		bfl_mistakes_add(
			mistakes, (uint32_t)parser.problem_mark.line + 1,
			"bundle", "expected YAML: %s",
			parser.problem ? parser.problem : "unreadable");
		err = ERR_MALFORMED;
	}
	yaml_parser_delete(&parser);
	return err;
}

enum err_kind bfl_parse(const char *text, size_t len,
			struct bfl_mistakes *mistakes, struct bnd_bundle **out)
{
	yaml_document_t doc;
	struct bfl_reader reader = { .doc = &doc, .mistakes = mistakes };
	uint32_t before = bfl_mistakes_count(mistakes);
	enum err_kind err;

	if (len > BFL_TEXT_MAX_BYTES) {
		bfl_mistakes_add(mistakes, 0, "bundle",
				 "expected at most %u bytes, found %zu",
				 BFL_TEXT_MAX_BYTES, len);
		return ERR_TOO_LARGE;
	}
	err = document_load(text, len, &doc, mistakes);
	if (err != ERR_NONE)
		return err;
	reader.bundle = bnd_bundle_create();
	root_read(&reader);
	yaml_document_delete(&doc);
	if (bfl_mistakes_count(mistakes) > before) {
		bnd_bundle_unref(reader.bundle);
		return ERR_INVALID;
	}
	reader.bundle->digest = g_compute_checksum_for_data(
		G_CHECKSUM_SHA256, (const guchar *)text, len);
	*out = reader.bundle;
	return ERR_NONE;
}
