#include "stored_value.h"

#include <jansson.h>
#include <string.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC(json_t, json_decref)

static char *json_to_text(json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);
	char *copy = g_strdup(text);

	free(text);
	json_decref(root);
	return copy;
}

static bool string_copy(const json_t *value, char *out, size_t size)
{
	const char *text = json_string_value(value);

	return text && g_strlcpy(out, text, size) < size;
}

static bool number_parse(const json_t *root, const char *key, uint64_t max,
			 uint64_t *out)
{
	const json_t *value = json_object_get(root, key);

	if (!json_is_integer(value) || json_integer_value(value) < 0)
		return false;
	*out = (uint64_t)json_integer_value(value);
	return *out <= max;
}

static bool digest_is_valid(const char *digest)
{
	return strlen(digest) == HEAD_DIGEST_BYTES - 1 &&
	       strspn(digest, "0123456789abcdef") == HEAD_DIGEST_BYTES - 1;
}

char *stored_head_build(const struct stored_head *head)
{
	return json_to_text(json_pack(
		"{s:I, s:I, s:s, s:s, s:I, s:I}", "roll",
		(json_int_t)head->roll, "version", (json_int_t)head->version,
		"digest", head->digest, "writer", head->writer, "attempt",
		(json_int_t)head->attempt, "at_ms", (json_int_t)head->at_ms));
}

enum err_kind stored_head_parse(const char *text, size_t len,
				struct stored_head *out)
{
	g_autoptr(json_t) root = json_loadb(text, len, 0, NULL);

	if (!root || !number_parse(root, "roll", INT64_MAX, &out->roll) ||
	    !number_parse(root, "version", INT64_MAX, &out->version) ||
	    !number_parse(root, "attempt", INT64_MAX, &out->attempt) ||
	    !number_parse(root, "at_ms", INT64_MAX, &out->at_ms) ||
	    !string_copy(json_object_get(root, "digest"), out->digest,
			 sizeof(out->digest)) ||
	    !string_copy(json_object_get(root, "writer"), out->writer,
			 sizeof(out->writer)) ||
	    !digest_is_valid(out->digest))
		return ERR_MALFORMED;
	return ERR_NONE;
}

static const char *pool_name(const struct bundle *bundle, uint32_t pool)
{
	return pool == BUNDLE_INDEX_NONE ? "" : bundle->pools[pool].name;
}

/* A row is an array because member names would double its size. */
static json_t *row_build(const struct bundle *bundle, uint32_t vm,
			 const struct placement_row *row)
{
	return json_pack(
		"[s, s, s, s, s, I, I]", bundle->vms[vm].name,
		pool_name(bundle, row->pool), placement_state_name(row->state),
		pool_name(bundle, row->next_pool),
		placement_reason_name(row->reason), (json_int_t)row->changed,
		(json_int_t)row->maintained_min);
}

static json_t *members_build(char **members)
{
	json_t *list = json_array();

	for (; members && *members; members++)
		json_array_append_new(list, json_string(*members));
	return list;
}

static json_t *electorate_build(const struct quorum_electorate *electorate)
{
	return json_pack("[I, o, o]", (json_int_t)electorate->since_placement,
			 members_build(electorate->members),
			 members_build(electorate->previous));
}

char *stored_placement_build(const struct bundle *bundle,
			     const struct placement *placement)
{
	json_t *rows = json_array();

	for (uint32_t i = 0; i < placement->row_count; i++) {
		if (placement_row_is_free(&placement->rows[i]))
			continue;
		json_array_append_new(
			rows, row_build(bundle, i, &placement->rows[i]));
	}
	return json_to_text(json_pack(
		"{s:I, s:I, s:o, s:o}", "number", (json_int_t)placement->number,
		"roll", (json_int_t)placement->roll, "electorate",
		electorate_build(&placement->electorate), "rows", rows));
}

static bool state_parse(const char *name, enum placement_state *out)
{
	for (uint32_t i = 0; i < PLACEMENT_STATE_COUNT; i++) {
		if (strcmp(placement_state_name(i), name) == 0) {
			*out = i;
			return true;
		}
	}
	return false;
}

static bool reason_parse(const char *name, enum placement_reason *out)
{
	for (uint32_t i = 0; i < PLACEMENT_REASON_COUNT; i++) {
		if (strcmp(placement_reason_name(i), name) == 0) {
			*out = i;
			return true;
		}
	}
	return false;
}

static uint32_t pool_parse(const struct bundle *bundle, const char *name)
{
	return *name == '\0' ? BUNDLE_INDEX_NONE
			     : bundle_pool_find(bundle, name);
}

static bool row_parse(const json_t *item, const struct bundle *bundle,
		      GHashTable *vm_index, struct placement *placement)
{
	const char *vm;
	const char *pool;
	const char *state;
	const char *next;
	const char *reason;
	json_int_t changed;
	json_int_t maintained;
	gpointer index;
	struct placement_row row;

	if (json_unpack((json_t *)item, "[s, s, s, s, s, I, I!]", &vm, &pool,
			&state, &next, &reason, &changed, &maintained) != 0 ||
	    !state_parse(state, &row.state) ||
	    !reason_parse(reason, &row.reason) || changed < 0 || maintained < 0)
		return false;
	if (!g_hash_table_lookup_extended(vm_index, vm, NULL, &index))
		return true;
	row.pool = pool_parse(bundle, pool);
	row.next_pool = pool_parse(bundle, next);
	row.changed = (uint64_t)changed;
	row.maintained_min = (uint64_t)maintained;
	if (!placement_row_is_free(&placement->rows[GPOINTER_TO_UINT(index)]))
		return false;
	placement->rows[GPOINTER_TO_UINT(index)] = row;
	return true;
}

static GHashTable *vm_index_create(const struct bundle *bundle)
{
	GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < bundle->vm_count; i++)
		g_hash_table_insert(index, bundle->vms[i].name,
				    GUINT_TO_POINTER(i));
	return index;
}

static bool rows_parse(const json_t *rows, const struct bundle *bundle,
		       struct placement *placement)
{
	g_autoptr(GHashTable) vm_index = vm_index_create(bundle);
	size_t index;
	json_t *item;

	if (!json_is_array(rows))
		return false;
	json_array_foreach((json_t *)rows, index, item)
	{
		if (!row_parse(item, bundle, vm_index, placement))
			return false;
	}
	return true;
}

/* Parses a member list; an empty list leaves *out NULL, no electorate. */
static bool members_parse(const json_t *list, char ***out)
{
	g_autoptr(GPtrArray) ids = g_ptr_array_new_with_free_func(g_free);
	size_t index;
	json_t *item;

	if (!json_is_array(list))
		return false;
	json_array_foreach((json_t *)list, index, item)
	{
		char id[MEMBER_ID_BYTES];

		if (!string_copy(item, id, sizeof(id)) || id[0] == '\0')
			return false;
		g_ptr_array_add(ids, g_strdup(id));
	}
	if (ids->len == 0)
		return true;
	g_ptr_array_add(ids, NULL);
	*out = (char **)g_ptr_array_steal(ids, NULL);
	return quorum_members_are_sorted(*out);
}

/* Placements written by earlier releases have no electorate. */
static bool electorate_parse(const json_t *value, struct quorum_electorate *out)
{
	json_int_t since;
	json_t *members;
	json_t *previous;

	if (!value)
		return true;
	if (json_unpack((json_t *)value, "[I, o, o!]", &since, &members,
			&previous) != 0 ||
	    since < 0)
		return false;
	out->since_placement = (uint64_t)since;
	return members_parse(members, &out->members) &&
	       members_parse(previous, &out->previous);
}

enum err_kind stored_placement_parse(const char *text, size_t len,
				     const struct bundle *bundle,
				     struct placement **out)
{
	g_autoptr(json_t) root = json_loadb(text, len, 0, NULL);
	struct placement *placement;

	if (!root)
		return ERR_MALFORMED;
	placement = placement_create(bundle);
	if (!number_parse(root, "number", INT64_MAX, &placement->number) ||
	    !number_parse(root, "roll", INT64_MAX, &placement->roll) ||
	    !electorate_parse(json_object_get(root, "electorate"),
			      &placement->electorate) ||
	    !rows_parse(json_object_get(root, "rows"), bundle, placement)) {
		placement_destroy(placement);
		return ERR_MALFORMED;
	}
	*out = placement;
	return ERR_NONE;
}

char *stored_number_build(uint64_t number)
{
	return json_to_text(json_pack("{s:I}", "number", (json_int_t)number));
}

enum err_kind stored_number_parse(const char *text, size_t len, uint64_t *out)
{
	g_autoptr(json_t) root = json_loadb(text, len, 0, NULL);

	if (!root || !number_parse(root, "number", INT64_MAX, out))
		return ERR_MALFORMED;
	return ERR_NONE;
}

char *stored_member_build(const struct member *member)
{
	return json_to_text(json_pack("{s:s, s:s, s:i, s:i, s:I}", "id",
				      member->id, "ip", member->ip, "http_port",
				      (int)member->http_port, "rpc_port",
				      (int)member->rpc_port, "incarnation",
				      (json_int_t)member->incarnation));
}

enum err_kind stored_member_parse(const char *text, size_t len,
				  struct member *out)
{
	g_autoptr(json_t) root = json_loadb(text, len, 0, NULL);
	uint64_t http_port;
	uint64_t rpc_port;

	if (!root ||
	    !string_copy(json_object_get(root, "id"), out->id,
			 sizeof(out->id)) ||
	    out->id[0] == '\0' ||
	    !string_copy(json_object_get(root, "ip"), out->ip,
			 sizeof(out->ip)) ||
	    !number_parse(root, "http_port", UINT16_MAX, &http_port) ||
	    !number_parse(root, "rpc_port", UINT16_MAX, &rpc_port) ||
	    !number_parse(root, "incarnation", INT64_MAX, &out->incarnation))
		return ERR_MALFORMED;
	out->http_port = (uint16_t)http_port;
	out->rpc_port = (uint16_t)rpc_port;
	return ERR_NONE;
}
