#include <inttypes.h>
#include <string.h>

#include "bundle_file_private.h"

#define BUNDLE_FILE_SECTION_MAX_ITEMS 10000

static const char *const survive_choices[] = { "none", "rack", "zone", NULL };
static const char *const idempotence_choices[] = { "method", "yes", "no",
						   NULL };

#define MEMBER(type, member) .offset = offsetof(struct type, member)

static const struct bundle_file_field vm_fields[] = {
	{ "name", BUNDLE_FILE_FIELD_NAME, MEMBER(bundle_vm, name) },
	{ "ip", BUNDLE_FILE_FIELD_TEXT, MEMBER(bundle_vm, ip) },
	{ "port", BUNDLE_FILE_FIELD_U16, MEMBER(bundle_vm, port), .min = 1,
	  .max = 65535 },
	{ "availability_zone", BUNDLE_FILE_FIELD_NAME,
	  MEMBER(bundle_vm, availability_zone) },
	{ "rack", BUNDLE_FILE_FIELD_NAME, MEMBER(bundle_vm, rack) },
	{ "slots", BUNDLE_FILE_FIELD_U32, MEMBER(bundle_vm, slots), .min = 1,
	  .max = 1024 },
	{ "connections", BUNDLE_FILE_FIELD_U32, MEMBER(bundle_vm, connections),
	  .min = 1, .max = 65535 },
	{ 0 },
};

static const struct bundle_file_field pool_fields[] = {
	{ "name", BUNDLE_FILE_FIELD_NAME, MEMBER(bundle_pool, name) },
	{ "spare", BUNDLE_FILE_FIELD_BOOL, MEMBER(bundle_pool, spare),
	  .optional = true },
	{ "vms", BUNDLE_FILE_FIELD_VM_LIST, MEMBER(bundle_pool, vms),
	  .count_offset = offsetof(struct bundle_pool, vm_count) },
	{ "target_vms", BUNDLE_FILE_FIELD_U32, MEMBER(bundle_pool, target_vms),
	  .min = 0, .max = BUNDLE_FILE_SECTION_MAX_ITEMS },
	{ "floor_vms", BUNDLE_FILE_FIELD_U32, MEMBER(bundle_pool, floor_vms),
	  .min = 0, .max = BUNDLE_FILE_SECTION_MAX_ITEMS },
	{ "survive", BUNDLE_FILE_FIELD_CHOICE, MEMBER(bundle_pool, survive),
	  .choices = survive_choices },
	{ "queue_max_requests", BUNDLE_FILE_FIELD_U32,
	  MEMBER(bundle_pool, queue_max_requests), .min = 1, .max = 1000000 },
	{ "queue_max_bytes", BUNDLE_FILE_FIELD_U64,
	  MEMBER(bundle_pool, queue_max_bytes), .min = 1024,
	  .max = 1ull << 32 },
	{ "queue_max_wait_ms", BUNDLE_FILE_FIELD_U32,
	  MEMBER(bundle_pool, queue_max_wait_ms), .min = 1, .max = 3600000 },
	{ 0 },
};

static const struct bundle_file_field route_fields[] = {
	{ "path", BUNDLE_FILE_FIELD_TEXT, MEMBER(bundle_route, path) },
	{ "pool", BUNDLE_FILE_FIELD_POOL, MEMBER(bundle_route, pool) },
	{ "idempotent", BUNDLE_FILE_FIELD_CHOICE,
	  MEMBER(bundle_route, idempotence), .choices = idempotence_choices },
	{ "deadline_ms", BUNDLE_FILE_FIELD_U32,
	  MEMBER(bundle_route, deadline_ms), .min = 10, .max = 3600000 },
	{ 0 },
};

static const struct bundle_file_field wave_fields[] = {
	{ "name", BUNDLE_FILE_FIELD_NAME, MEMBER(bundle_wave, name) },
	{ "opens", BUNDLE_FILE_FIELD_MINUTE,
	  MEMBER(bundle_wave, opens_minute) },
	{ "closes", BUNDLE_FILE_FIELD_MINUTE,
	  MEMBER(bundle_wave, closes_minute) },
	{ "pools", BUNDLE_FILE_FIELD_POOL_LIST, MEMBER(bundle_wave, pools),
	  .count_offset = offsetof(struct bundle_wave, pool_count) },
	{ "max_parallel", BUNDLE_FILE_FIELD_U32,
	  MEMBER(bundle_wave, max_parallel), .min = 1, .max = 1000 },
	{ "max_failures", BUNDLE_FILE_FIELD_U32,
	  MEMBER(bundle_wave, max_failures), .min = 1, .max = 1000 },
	{ 0 },
};

static const struct bundle_file_field weight_fields[] = {
	{ "buffer", BUNDLE_FILE_FIELD_U32, MEMBER(bundle_weights, buffer),
	  .max = 1000 },
	{ "moves", BUNDLE_FILE_FIELD_U32, MEMBER(bundle_weights, moves),
	  .max = 1000 },
	{ "roll_out", BUNDLE_FILE_FIELD_U32, MEMBER(bundle_weights, roll_out),
	  .max = 1000 },
	{ 0 },
};

/* Describes a top-level list of mappings. */
struct section {
	const char *key;
	const struct bundle_file_field *fields;
	size_t item_size;
	size_t offset;
	size_t count_offset;
};

/* Order matters: pools refer to VMs, routes and waves to pools. */
static const struct section sections[] = {
	{ "vms", vm_fields, sizeof(struct bundle_vm),
	  offsetof(struct bundle, vms), offsetof(struct bundle, vm_count) },
	{ "pools", pool_fields, sizeof(struct bundle_pool),
	  offsetof(struct bundle, pools), offsetof(struct bundle, pool_count) },
	{ "routes", route_fields, sizeof(struct bundle_route),
	  offsetof(struct bundle, routes),
	  offsetof(struct bundle, route_count) },
	{ "waves", wave_fields, sizeof(struct bundle_wave),
	  offsetof(struct bundle, waves), offsetof(struct bundle, wave_count) },
};

static void section_read(struct bundle_file_reader *reader,
			 const struct section *section, const yaml_node_t *root,
			 GArray *lines)
{
	const yaml_node_t *list =
		bundle_file_map_get(reader, root, section->key);
	uint32_t *count =
		(uint32_t *)((char *)reader->bundle + section->count_offset);
	char **items = (char **)((char *)reader->bundle + section->offset);
	char where[BUNDLE_FILE_PATH_MAX_BYTES];
	size_t length;

	if (!list || list->type != YAML_SEQUENCE_NODE) {
		bundle_file_errors_add(
			reader->errors,
			bundle_file_node_line(list ? list : root), section->key,
			"expected a list");
		return;
	}
	length = (size_t)(list->data.sequence.items.top -
			  list->data.sequence.items.start);
	if (length > BUNDLE_FILE_SECTION_MAX_ITEMS) {
		bundle_file_errors_add(
			reader->errors, bundle_file_node_line(list),
			section->key, "expected at most %d items",
			BUNDLE_FILE_SECTION_MAX_ITEMS);
		return;
	}
	*items = g_malloc0_n(length + 1, section->item_size);
	for (size_t i = 0; i < length; i++) {
		const yaml_node_t *item = yaml_document_get_node(
			reader->doc, list->data.sequence.items.start[i]);
		uint32_t line = bundle_file_node_line(item);

		g_snprintf(where, sizeof(where), "%s[%zu]", section->key, i);
		*count = (uint32_t)i + 1;
		g_array_append_val(lines, line);
		bundle_file_map_read(reader, section->fields, item, where,
				     *items + i * section->item_size);
	}
}

/* Pools refer to VMs by name; the index makes each lookup O(1). */
static void vms_index(struct bundle_file_reader *reader)
{
	const struct bundle *bundle = reader->bundle;

	for (uint32_t i = 0; i < bundle->vm_count; i++) {
		if (bundle->vms[i].name)
			g_hash_table_insert(reader->vm_index,
					    bundle->vms[i].name,
					    GUINT_TO_POINTER(i));
	}
}

static const struct bundle_file_field top_fields[] = {
	{ "version", BUNDLE_FILE_FIELD_U64, MEMBER(bundle, version), .min = 1,
	  .max = INT64_MAX },
	{ "name", BUNDLE_FILE_FIELD_NAME, MEMBER(bundle, name) },
	{ 0 },
};

static bool top_key_is_known(const void *data, const char *key)
{
	if (bundle_file_field_find(top_fields, key) ||
	    strcmp(key, "cost_weights") == 0)
		return true;
	for (size_t i = 0; i < G_N_ELEMENTS(sections); i++) {
		if (strcmp(sections[i].key, key) == 0)
			return true;
	}
	return false;
}

static void top_fields_read(struct bundle_file_reader *reader,
			    const yaml_node_t *root)
{
	const yaml_node_t *weights =
		bundle_file_map_get(reader, root, "cost_weights");

	for (const struct bundle_file_field *field = top_fields; field->key;
	     field++) {
		const yaml_node_t *node =
			bundle_file_map_get(reader, root, field->key);

		if (node)
			bundle_file_field_read(reader, field, node, field->key,
					       reader->bundle);
		else
			bundle_file_errors_add(
				reader->errors, bundle_file_node_line(root),
				field->key, "expected this field, found none");
	}
	if (weights)
		bundle_file_map_read(reader, weight_fields, weights,
				     "cost_weights", &reader->bundle->weights);
	else
		bundle_file_errors_add(
			reader->errors, bundle_file_node_line(root),
			"cost_weights", "expected this field, found none");
}

static void root_read(struct bundle_file_reader *reader)
{
	const yaml_node_t *root = yaml_document_get_root_node(reader->doc);
	g_autoptr(GArray) lines = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	uint32_t errors_before = bundle_file_errors_count(reader->errors);

	if (!root || root->type != YAML_MAPPING_NODE) {
		bundle_file_errors_add(reader->errors,
				       bundle_file_node_line(root), "bundle",
				       "expected a mapping at the top level");
		return;
	}
	bundle_file_keys_check(reader, root, "bundle", top_key_is_known, NULL);
	top_fields_read(reader, root);
	for (size_t i = 0; i < G_N_ELEMENTS(sections); i++) {
		section_read(reader, &sections[i], root, lines);
		if (i == 0)
			vms_index(reader);
	}
	if (bundle_file_errors_count(reader->errors) == errors_before)
		bundle_file_check(reader->bundle, (const uint32_t *)lines->data,
				  reader->errors);
}

static enum err_kind document_load(const char *text, size_t len,
				   yaml_document_t *doc,
				   struct bundle_file_errors *errors)
{
	enum err_kind err = bundle_file_events_check(text, len, errors);
	yaml_parser_t parser;

	if (err != ERR_NONE)
		return err;
	if (!yaml_parser_initialize(&parser))
		return ERR_MALFORMED;
	yaml_parser_set_input_string(&parser, (const unsigned char *)text, len);
	if (!yaml_parser_load(&parser, doc)) {
		bundle_file_parser_error(&parser, text, errors);
		err = ERR_MALFORMED;
	}
	yaml_parser_delete(&parser);
	return err;
}

enum err_kind bundle_file_parse(const char *text, size_t len,
				struct bundle_file_errors *errors,
				struct bundle **out)
{
	yaml_document_t doc;
	struct bundle_file_reader reader = { .doc = &doc, .errors = errors };
	uint32_t errors_before = bundle_file_errors_count(errors);
	enum err_kind err;

	if (len > BUNDLE_FILE_TEXT_MAX_BYTES) {
		bundle_file_errors_add(errors, 0, "bundle",
				       "expected at most %u bytes, found %zu",
				       BUNDLE_FILE_TEXT_MAX_BYTES, len);
		return ERR_TOO_LARGE;
	}
	err = document_load(text, len, &doc, errors);
	if (err != ERR_NONE)
		return err;
	reader.bundle = bundle_create_empty();
	reader.vm_index = g_hash_table_new(g_str_hash, g_str_equal);
	root_read(&reader);
	g_hash_table_unref(reader.vm_index);
	yaml_document_delete(&doc);
	if (bundle_file_errors_count(errors) > errors_before) {
		bundle_unref(reader.bundle);
		return ERR_INVALID;
	}
	reader.bundle->digest = g_compute_checksum_for_data(
		G_CHECKSUM_SHA256, (const guchar *)text, len);
	*out = reader.bundle;
	return ERR_NONE;
}
