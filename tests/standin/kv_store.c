#include "kv_store.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

struct kv_store {
	int64_t revision;
	int64_t last_lease_id;
	/* key to struct entry, sorted by key */
	GTree *entries;
	/* lease identifier to struct lease */
	GHashTable *leases;
	/* array of all writes and deletions, oldest first */
	json_t *history;
};

struct entry {
	char *value;
	int64_t create_revision;
	int64_t mod_revision;
	int64_t lease;
};

struct lease {
	int64_t id;
	int64_t ttl_s;
	uint64_t expires_ms;
};

static void entry_free(gpointer data)
{
	struct entry *entry = data;

	g_free(entry->value);
	g_free(entry);
}

static gint key_compare(gconstpointer a, gconstpointer b, gpointer unused)
{
	return strcmp(a, b);
}

struct kv_store *kv_store_create(void)
{
	struct kv_store *store = g_new0(struct kv_store, 1);

	store->revision = 1;
	store->entries = g_tree_new_full(key_compare, NULL, g_free, entry_free);
	store->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	store->history = json_array();
	return store;
}

static json_t *int64_to_json(int64_t value)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, value);
	return json_string(text);
}

static int64_t int64_from_json(const json_t *object, const char *key)
{
	const json_t *value = json_object_get(object, key);

	if (json_is_integer(value))
		return json_integer_value(value);
	return value ? g_ascii_strtoll(json_string_value(value), NULL, 10) : 0;
}

static char *base64_from_json(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));
	gsize len;
	guchar *bytes;
	char *copy;

	if (!text)
		return NULL;
	bytes = g_base64_decode(text, &len);
	copy = g_strndup((char *)bytes, len);
	g_free(bytes);
	return copy;
}

static json_t *base64_to_json(const char *text)
{
	g_autofree char *encoded =
		g_base64_encode((const guchar *)text, strlen(text));

	return json_string(encoded);
}

static json_t *header_create(const struct kv_store *store)
{
	return json_pack("{s:o}", "revision", int64_to_json(store->revision));
}

static void history_append(struct kv_store *store, const char *key,
			   const char *value)
{
	json_array_append_new(
		store->history,
		json_pack("{s:I, s:s, s:s?, s:I}", "revision",
			  (json_int_t)store->revision, "key", key, "value",
			  value, "at_ms",
			  (json_int_t)(g_get_real_time() / 1000)));
}

static json_t *kv_to_json(const char *key, const struct entry *entry)
{
	return json_pack("{s:o, s:o, s:o, s:o, s:o}", "key",
			 base64_to_json(key), "value",
			 base64_to_json(entry->value), "create_revision",
			 int64_to_json(entry->create_revision), "mod_revision",
			 int64_to_json(entry->mod_revision), "lease",
			 int64_to_json(entry->lease));
}

static json_t *range_run(struct kv_store *store, const json_t *request)
{
	g_autofree char *key = base64_from_json(request, "key");
	g_autofree char *end = base64_from_json(request, "range_end");
	GTreeNode *node = g_tree_lower_bound(store->entries, key);
	json_t *kvs = json_array();

	for (; node; node = g_tree_node_next(node)) {
		const char *node_key = g_tree_node_key(node);

		if (end ? strcmp(node_key, end) >= 0
			: strcmp(node_key, key) != 0)
			break;
		json_array_append_new(
			kvs, kv_to_json(node_key, g_tree_node_value(node)));
	}
	return kvs;
}

json_t *kv_store_range(struct kv_store *store, const json_t *request)
{
	return json_pack("{s:o, s:o}", "header", header_create(store), "kvs",
			 range_run(store, request));
}

static bool compare_run(struct kv_store *store, const json_t *compare)
{
	g_autofree char *key = base64_from_json(compare, "key");
	const struct entry *entry = g_tree_lookup(store->entries, key);
	const char *target =
		json_string_value(json_object_get(compare, "target"));

	if (strcmp(target, "CREATE") == 0)
		return int64_from_json(compare, "create_revision") ==
		       (entry ? entry->create_revision : 0);
	return int64_from_json(compare, "mod_revision") ==
	       (entry ? entry->mod_revision : 0);
}

/* Takes ownership of key and value. */
static void entry_put(struct kv_store *store, char *key, char *value,
		      int64_t lease)
{
	const struct entry *old = g_tree_lookup(store->entries, key);
	struct entry *entry = g_new0(struct entry, 1);

	entry->value = value;
	entry->mod_revision = store->revision;
	entry->create_revision = old ? old->create_revision : store->revision;
	entry->lease = lease;
	history_append(store, key, entry->value);
	g_tree_replace(store->entries, key, entry);
}

static void put_run(struct kv_store *store, const json_t *request)
{
	entry_put(store, base64_from_json(request, "key"),
		  base64_from_json(request, "value"),
		  int64_from_json(request, "lease"));
}

void kv_store_put(struct kv_store *store, const char *key, const char *value)
{
	store->revision++;
	entry_put(store, g_strdup(key), g_strdup(value), 0);
}

static json_t *op_run(struct kv_store *store, const json_t *op)
{
	const json_t *request = json_object_get(op, "request_put");

	if (request) {
		put_run(store, request);
		return json_pack("{s:{}}", "response_put");
	}
	request = json_object_get(op, "request_delete_range");
	if (request) {
		g_autofree char *key = base64_from_json(request, "key");

		history_append(store, key, NULL);
		g_tree_remove(store->entries, key);
		return json_pack("{s:{}}", "response_delete_range");
	}
	request = json_object_get(op, "request_range");
	return json_pack("{s:{s:o}}", "response_range", "kvs",
			 range_run(store, request));
}

/* Returns whether all leases that puts name exist. Like etcd, the store rejects
 * a transaction with an expired or unknown lease. */
static bool leases_exist(struct kv_store *store, const json_t *ops)
{
	size_t index;
	json_t *op;

	json_array_foreach((json_t *)ops, index, op)
	{
		int64_t lease = int64_from_json(
			json_object_get(op, "request_put"), "lease");

		if (lease != 0 && !g_hash_table_contains(store->leases, &lease))
			return false;
	}
	return true;
}

json_t *kv_store_txn(struct kv_store *store, const json_t *request)
{
	const json_t *compares = json_object_get(request, "compare");
	json_t *responses = json_array();
	bool succeeded = true;
	const json_t *ops;
	size_t index;
	json_t *item;

	json_array_foreach((json_t *)compares, index, item) succeeded =
		compare_run(store, item) && succeeded;
	ops = json_object_get(request, succeeded ? "success" : "failure");
	if (!leases_exist(store, ops)) {
		json_decref(responses);
		return NULL;
	}
	if (succeeded)
		store->revision++;
	json_array_foreach((json_t *)ops, index, item)
		json_array_append_new(responses, op_run(store, item));
	return json_pack("{s:o, s:b, s:o}", "header", header_create(store),
			 "succeeded", succeeded, "responses", responses);
}

/* Result of a search for the keys attached to a lease. */
struct lease_keys {
	int64_t lease;
	GPtrArray *keys;
};

static gboolean lease_keys_collect(gpointer key, gpointer value, gpointer data)
{
	const struct entry *entry = value;
	struct lease_keys *collected = data;

	if (entry->lease == collected->lease)
		g_ptr_array_add(collected->keys, g_strdup(key));
	return FALSE;
}

static void lease_keys_delete(struct kv_store *store, int64_t lease)
{
	struct lease_keys collected = { lease, g_ptr_array_new_with_free_func(
						       g_free) };

	g_tree_foreach(store->entries, lease_keys_collect, &collected);
	if (collected.keys->len > 0)
		store->revision++;
	for (guint i = 0; i < collected.keys->len; i++) {
		const char *key = g_ptr_array_index(collected.keys, i);

		history_append(store, key, NULL);
		g_tree_remove(store->entries, key);
	}
	g_ptr_array_unref(collected.keys);
}

void kv_store_expire(struct kv_store *store, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, store->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct lease *lease = value;

		if (lease->expires_ms > now_ms)
			continue;
		lease_keys_delete(store, lease->id);
		g_hash_table_iter_remove(&iter);
	}
}

static json_t *lease_to_json(const struct kv_store *store, int64_t id,
			     int64_t ttl_s)
{
	return json_pack("{s:o, s:o, s:o}", "header", header_create(store),
			 "ID", int64_to_json(id), "TTL", int64_to_json(ttl_s));
}

static struct lease *lease_grant(struct kv_store *store, int64_t ttl_s)
{
	struct lease *lease = g_new0(struct lease, 1);

	lease->id = ++store->last_lease_id;
	lease->ttl_s = ttl_s;
	g_hash_table_insert(store->leases, &lease->id, lease);
	return lease;
}

json_t *kv_store_lease(struct kv_store *store, const char *op,
		       const json_t *request, uint64_t now_ms)
{
	int64_t id = int64_from_json(request, "ID");
	struct lease *lease = g_hash_table_lookup(store->leases, &id);

	if (strcmp(op, "revoke") == 0) {
		if (lease)
			lease_keys_delete(store, id);
		g_hash_table_remove(store->leases, &id);
		return json_pack("{s:o}", "header", header_create(store));
	}
	if (strcmp(op, "grant") == 0) {
		lease = lease_grant(store, int64_from_json(request, "TTL"));
		lease->expires_ms = now_ms + (uint64_t)lease->ttl_s * 1000;
		return lease_to_json(store, lease->id, lease->ttl_s);
	}
	if (lease)
		lease->expires_ms = now_ms + (uint64_t)lease->ttl_s * 1000;
	return json_pack("{s:o}", "result",
			 lease_to_json(store, id, lease ? lease->ttl_s : 0));
}

json_t *kv_store_history(const struct kv_store *store)
{
	return json_incref(store->history);
}
