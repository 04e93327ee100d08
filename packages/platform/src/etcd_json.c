#include "etcd_json.h"

#include <string.h>

json_t *etcd_json_int64_build(int64_t value)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, value);
	return json_string(text);
}

static json_t *base64_build(const char *bytes, size_t len)
{
	g_autofree char *text = g_base64_encode((const guchar *)bytes, len);

	return json_string(text);
}

static json_t *key_build(const char *key)
{
	return base64_build(key, strlen(key));
}

/* The end of a prefix's range is the prefix with its last byte raised. */
static json_t *prefix_end_build(const char *prefix)
{
	g_autofree char *end = g_strdup(prefix);
	size_t len = strlen(end);

	g_assert(len > 0);
	end[len - 1]++;
	return base64_build(end, len);
}

json_t *etcd_json_range_build(const char *key, bool prefix)
{
	json_t *range = json_pack("{s:o}", "key", key_build(key));

	if (prefix)
		json_object_set_new(range, "range_end", prefix_end_build(key));
	return range;
}

static json_t *compare_build(const struct platform_compare *compare)
{
	bool create = compare->target == PLATFORM_TARGET_CREATE_REVISION;

	return json_pack("{s:o, s:s, s:s, s:o}", "key", key_build(compare->key),
			 "target", create ? "CREATE" : "MOD", "result", "EQUAL",
			 create ? "create_revision" : "mod_revision",
			 etcd_json_int64_build(compare->revision));
}

static json_t *write_build(const struct platform_write *write)
{
	if (!write->value)
		return json_pack("{s:{s:o}}", "request_delete_range", "key",
				 key_build(write->key));
	return json_pack("{s:{s:o, s:o, s:o}}", "request_put", "key",
			 key_build(write->key), "value",
			 base64_build(write->value, strlen(write->value)),
			 "lease", etcd_json_int64_build(write->lease));
}

json_t *etcd_json_txn_build(const struct platform_txn *txn)
{
	json_t *compares = json_array();
	json_t *success = json_array();
	json_t *failure = json_array();

	for (size_t i = 0; i < txn->compare_count; i++) {
		const struct platform_compare *compare = &txn->compares[i];

		json_array_append_new(compares, compare_build(compare));
		json_array_append_new(
			failure,
			json_pack("{s:o}", "request_range",
				  etcd_json_range_build(compare->key, false)));
	}
	for (size_t i = 0; i < txn->write_count; i++)
		json_array_append_new(success, write_build(&txn->writes[i]));
	return json_pack("{s:o, s:o, s:o}", "compare", compares, "success",
			 success, "failure", failure);
}

/* proto3 JSON leaves out zero and writes 64-bit numbers as strings. */
static bool int64_parse(const json_t *value, int64_t *out)
{
	const char *text;
	char *end;

	*out = 0;
	if (!value)
		return true;
	if (json_is_integer(value)) {
		*out = json_integer_value(value);
		return true;
	}
	text = json_string_value(value);
	if (!text || *text == '\0')
		return false;
	*out = g_ascii_strtoll(text, &end, 10);
	return *end == '\0';
}

static bool bytes_parse(struct etcd_json_result *out, const json_t *value,
			const char **bytes, size_t *len)
{
	const char *text = value ? json_string_value(value) : "";
	gsize size = 0;
	guchar *decoded;
	char *copy;

	if (!text)
		return false;
	decoded = g_base64_decode(text, &size);
	copy = g_malloc(size + 1);
	if (size > 0)
		memcpy(copy, decoded, size);
	copy[size] = '\0';
	g_free(decoded);
	g_ptr_array_add(out->buffers, copy);
	*bytes = copy;
	*len = size;
	return true;
}

static bool kv_parse(struct etcd_json_result *out, const json_t *item)
{
	struct platform_kv kv;
	size_t key_len;

	if (!json_is_object(item) ||
	    !bytes_parse(out, json_object_get(item, "key"), &kv.key,
			 &key_len) ||
	    !bytes_parse(out, json_object_get(item, "value"), &kv.value,
			 &kv.value_len) ||
	    !int64_parse(json_object_get(item, "create_revision"),
			 &kv.create_revision) ||
	    !int64_parse(json_object_get(item, "mod_revision"),
			 &kv.mod_revision) ||
	    !int64_parse(json_object_get(item, "lease"), &kv.lease))
		return false;
	if (strlen(kv.key) != key_len)
		return false;
	g_array_append_val(out->kvs, kv);
	return true;
}

static bool kvs_parse(struct etcd_json_result *out, const json_t *kvs)
{
	size_t index;
	json_t *item;

	if (!kvs)
		return true;
	if (!json_is_array(kvs))
		return false;
	json_array_foreach((json_t *)kvs, index, item)
	{
		if (!kv_parse(out, item))
			return false;
	}
	return true;
}

static bool responses_parse(struct etcd_json_result *out,
			    const json_t *responses)
{
	size_t index;
	json_t *item;

	if (!json_is_array(responses))
		return responses == NULL;
	json_array_foreach((json_t *)responses, index, item)
	{
		const json_t *range = json_object_get(item, "response_range");

		if (range && !kvs_parse(out, json_object_get(range, "kvs")))
			return false;
	}
	return true;
}

static bool result_parse(const json_t *root, struct etcd_json_result *out)
{
	const json_t *header = json_object_get(root, "header");
	const json_t *responses = json_object_get(root, "responses");
	const json_t *succeeded = json_object_get(root, "succeeded");

	if (!json_is_object(header) ||
	    !int64_parse(json_object_get(header, "revision"),
			 &out->result.revision))
		return false;
	out->result.succeeded = !responses || json_is_true(succeeded);
	if (!kvs_parse(out, json_object_get(root, "kvs")) ||
	    !responses_parse(out, responses))
		return false;
	out->result.kvs = (const struct platform_kv *)out->kvs->data;
	out->result.kv_count = out->kvs->len;
	return true;
}

enum err_kind etcd_json_result_parse(const json_t *root,
				     struct etcd_json_result *out)
{
	memset(out, 0, sizeof(*out));
	out->kvs = g_array_new(FALSE, FALSE, sizeof(struct platform_kv));
	out->buffers = g_ptr_array_new_with_free_func(g_free);
	return result_parse(root, out) ? ERR_NONE : ERR_MALFORMED;
}

void etcd_json_result_clear(struct etcd_json_result *result)
{
	g_array_unref(result->kvs);
	g_ptr_array_unref(result->buffers);
}

enum err_kind etcd_json_lease_parse(const json_t *root, int64_t *lease,
				    uint32_t *ttl_s)
{
	const json_t *body = json_object_get(root, "result");
	int64_t ttl;

	*lease = 0;
	*ttl_s = 0;
	if (!body)
		body = root;
	if (!int64_parse(json_object_get(body, "ID"), lease) ||
	    !int64_parse(json_object_get(body, "TTL"), &ttl))
		return ERR_MALFORMED;
	/* A revocation answers with a header only. */
	if (!json_object_get(body, "ID"))
		return ERR_NONE;
	if (ttl <= 0 || ttl > UINT32_MAX)
		return ERR_NOT_FOUND;
	*ttl_s = (uint32_t)ttl;
	return ERR_NONE;
}

static bool vm_state_parse(const char *text, enum platform_vm_state *state)
{
	if (strcmp(text, "live") == 0)
		*state = PLATFORM_VM_LIVE;
	else if (strcmp(text, "leaving") == 0)
		*state = PLATFORM_VM_DRAINING;
	else if (strcmp(text, "down") == 0)
		*state = PLATFORM_VM_DOWN;
	else
		return false;
	return true;
}

enum err_kind etcd_json_vms_parse(const json_t *root, GArray **out)
{
	const json_t *vms = json_object_get(root, "vms");
	size_t index;
	json_t *item;

	if (!json_is_array(vms))
		return ERR_MALFORMED;
	*out = g_array_new(FALSE, FALSE, sizeof(struct platform_vm));
	json_array_foreach((json_t *)vms, index, item)
	{
		const char *name =
			json_string_value(json_object_get(item, "name"));
		const char *state =
			json_string_value(json_object_get(item, "state"));
		struct platform_vm vm = { .name = name };

		if (!name || !state || !vm_state_parse(state, &vm.state)) {
			g_clear_pointer(out, g_array_unref);
			return ERR_MALFORMED;
		}
		g_array_append_val(*out, vm);
	}
	return ERR_NONE;
}
