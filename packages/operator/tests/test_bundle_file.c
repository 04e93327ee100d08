#include <check.h>
#include <string.h>

#include "bundle_file.h"

#define VM_A                                                                   \
	"  - {name: a, ip: 10.0.0.1, port: 80, availability_zone: z1, "        \
	"rack: r1, slots: 8, connections: 64}\n"
#define VM_B                                                                   \
	"  - {name: b, ip: 10.0.0.2, port: 80, availability_zone: z2, "        \
	"rack: r2, slots: 8, connections: 64}\n"

/* A valid file; each of the error_rows replaces one part of it. */
static const char valid[] =
	"version: 7\nname: test\nvms:\n" VM_A VM_B "pools:\n"
	"  - {name: one, vms: [a, b], target_vms: 2, floor_vms: 1, "
	"survive: zone, queue_max_requests: 10, queue_max_bytes: 4096, "
	"queue_max_wait_ms: 500}\n"
	"routes:\n"
	"  - {path: /draws, pool: one, idempotent: \"no\", deadline_ms: 900}\n"
	"waves:\n"
	"  - {name: w, opens: \"22:00\", closes: \"24:00\", pools: [one], "
	"max_parallel: 1, max_failures: 1}\n"
	"cost_weights: {buffer: 1, moves: 2, roll_out: 3}\n";

struct error_row {
	const char *old;
	const char *new;
	uint32_t line;
	const char *field;
	/* substrings of the message: the expected and the actual value */
	const char *expected;
	const char *found;
};

static const struct error_row error_rows[] = {
	{ "version: 7", "version: 0", 1, "version", "from 1", "'0'" },
	{ "version: 7", "version: seven", 1, "version", "whole", "'seven'" },
	{ "version: 7\n", "", 1, "version", "this field", "none" },
	{ "name: test", "name: a b", 2, "name", "a name", "'a b'" },
	{ "name: test", "name: test\nnmae: x", 3, "bundle", "known", "nmae" },
	{ "name: test", "name: test\nname: x", 3, "bundle", "once", "name" },
	{ "name: test", "name: &n test", 2, "bundle", "anchors", "an anchor" },
	{ "name: test", "name: *n", 2, "bundle", "alias", "an alias" },
	{ "name: test", "name: \"a\\0b\"", 2, "name", "a name", "zero byte" },
	{ "name: test", "name: [[[[[[[[[x]]]]]]]]]", 2, "bundle", "deep",
	  "nested" },
	{ "name: test", "name: \xff\xfe", 2, "bundle", "UTF-8", "invalid" },
	{ "name: test", "name: [", 4, "bundle", "YAML", "node content" },
	{ "ip: 10.0.0.1", "ip: 10.0.0.256", 4, "vms.ip", "IPv4", "256" },
	{ "ip: 10.0.0.2", "ip: 10.0.0.1", 5, "vms.ip and port", "unique",
	  "10.0.0.1:80" },
	{ VM_B,
	  VM_B "  - {name: b, ip: 10.0.0.3, port: 80, availability_zone: z2, "
	       "rack: r2, slots: 8, connections: 64}\n",
	  6, "vms.name", "unique", "'b'" },
	{ "port: 80", "port: 70000", 4, "vms[0].port", "65535", "70000" },
	{ "slots: 8", "slots: -1", 4, "vms[0].slots", "from 1", "'-1'" },
	{ "slots: 8, ", "", 4, "vms[0].slots", "this field", "none" },
	{ VM_A VM_B, "  - 3\n", 4, "vms[0]", "mapping", "" },
	{ "vms:\n" VM_A VM_B, "vms: none\n", 3, "vms", "list", "" },
	{ "name: one, ", "", 7, "pools[0].name", "this field", "none" },
	{ "name: a, ", "", 4, "vms[0].name", "this field", "none" },
	{ "vms: [a, b]", "vms: [a, c]", 7, "pools[0].vms", "VM", "'c'" },
	{ "vms: [a, b]", "vms: [a, b, a]", 7, "pools[0].vms", "once", "'a'" },
	{ "vms: [a, b]", "vms: a", 7, "pools[0].vms", "list", "'a'" },
	{ "vms: [a, b]", "spare: maybe, vms: [a, b]", 7, "pools[0].spare",
	  "true or false", "maybe" },
	{ "floor_vms: 1", "floor_vms: 3", 7, "pools.floor_vms", "2", "3" },
	{ "target_vms: 2", "target_vms: 3", 7, "pools.target_vms", "2", "3" },
	{ "vms: [a, b], target_vms: 2", "vms: [a], target_vms: 1", 7,
	  "pools.survive", "two availability zones", "" },
	{ "survive: zone", "survive: region", 7, "pools[0].survive",
	  "none, rack, zone", "region" },
	{ "path: /draws", "path: draws", 9, "routes.path", "'/'", "'draws'" },
	{ "path: /draws", "path: /a/../b", 9, "routes.path", "normalised",
	  "/a/../b" },
	{ "path: /draws", "path: /healthz", 9, "routes.path", "itself",
	  "/healthz" },
	{ "path: /draws", "path: /metrics/", 9, "routes.path", "itself",
	  "/metrics/" },
	{ "path: /draws", "path: /status/x", 9, "routes.path", "itself",
	  "/status/x" },
	{ "pool: one", "pool: two", 9, "routes[0].pool", "pool", "'two'" },
	{ "idempotent: \"no\"", "idempotent: 1", 9, "routes[0].idempotent",
	  "method, yes, no", "'1'" },
	{ "deadline_ms: 900", "deadline_ms: 9", 9, "routes[0].deadline_ms",
	  "from 10", "'9'" },
	{ "\"22:00\"", "\"24:01\"", 11, "waves[0].opens", "HH:MM", "24:01" },
	{ "\"22:00\"", "\"24:00\"", 11, "waves.closes", "other than", "" },
	{ "max_failures: 1", "max_failures: 0", 11, "waves[0].max_failures",
	  "from 1", "'0'" },
	{ "moves: 2", "moves: 1001", 12, "cost_weights.moves", "1000", "1001" },
	{ "cost_weights: {buffer: 1, moves: 2, roll_out: 3}\n", "", 1,
	  "cost_weights", "this field", "none" },
	{ "roll_out: 3}\n", "roll_out: 3}\n---\nx: 1\n", 13, "bundle",
	  "one document", "second" },
};

static char *replace(const char *old, const char *new)
{
	const char *at = strstr(valid, old);

	ck_assert_ptr_nonnull(at);
	return g_strdup_printf("%.*s%s%s", (int)(at - valid), valid, new,
			       at + strlen(old));
}

START_TEST(error_has_line_field_expected_and_found)
{
	const struct error_row *row = &error_rows[_i];
	struct bundle_file_errors *errors = bundle_file_errors_create();
	g_autofree char *text = replace(row->old, row->new);
	struct bundle *bundle = NULL;
	const struct bundle_file_error *first;

	ck_assert_int_ne(bundle_file_parse(text, strlen(text), errors, &bundle),
			 ERR_NONE);
	ck_assert_ptr_null(bundle);
	ck_assert_uint_ge(bundle_file_errors_count(errors), 1);
	first = bundle_file_errors_get(errors, 0);
	ck_assert_msg(first->line == row->line &&
			      strcmp(first->field, row->field) == 0 &&
			      strstr(first->message, row->expected) &&
			      strstr(first->message, row->found),
		      "row %d '%s': line %u: %s: %s", _i, row->new, first->line,
		      first->field, first->message);
	bundle_file_errors_destroy(errors);
}
END_TEST

static enum err_kind parse(const char *text, size_t len, uint32_t *count)
{
	struct bundle_file_errors *errors = bundle_file_errors_create();
	struct bundle *bundle = NULL;
	enum err_kind err = bundle_file_parse(text, len, errors, &bundle);

	*count = bundle_file_errors_count(errors);
	bundle_unref(bundle);
	bundle_file_errors_destroy(errors);
	return err;
}

START_TEST(rejects_nul_bytes_and_oversized_files)
{
	g_autofree char *text = g_malloc0(BUNDLE_FILE_TEXT_MAX_BYTES + 1);
	uint32_t count;

	ck_assert_int_eq(parse(valid, sizeof(valid), &count), ERR_MALFORMED);
	ck_assert_uint_eq(count, 1);
	ck_assert_int_eq(parse(text, BUNDLE_FILE_TEXT_MAX_BYTES + 1, &count),
			 ERR_TOO_LARGE);
	memset(text, '[', BUNDLE_FILE_TEXT_MAX_BYTES);
	ck_assert_int_eq(parse(text, BUNDLE_FILE_TEXT_MAX_BYTES, &count),
			 ERR_MALFORMED);
	memset(text, '\n', BUNDLE_FILE_TEXT_MAX_BYTES);
	ck_assert_int_eq(parse(text, BUNDLE_FILE_TEXT_MAX_BYTES, &count),
			 ERR_INVALID);
}
END_TEST

START_TEST(limits_number_of_errors)
{
	GString *text = g_string_new(NULL);
	uint32_t count;

	for (int i = 0; i < 1000; i++)
		g_string_append_printf(text, "\"k\\e%d\": 1\n", i);
	ck_assert_int_eq(parse(text->str, text->len, &count), ERR_INVALID);
	ck_assert_uint_eq(count, 101);
	g_string_free(text, TRUE);
}
END_TEST

static const char *const examples[] = { "officials", "tsurugi" };

START_TEST(examples_have_documented_sizes)
{
	g_autofree char *path =
		g_strdup_printf("%s/%s.yaml", EXAMPLES_DIR, examples[_i]);
	g_autoptr(GHashTable) racks =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL);
	g_autoptr(GHashTable) zones =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL);
	struct bundle_file_errors *errors = bundle_file_errors_create();
	g_autofree char *text = NULL;
	struct bundle *bundle;
	gsize len;

	ck_assert(g_file_get_contents(path, &text, &len, NULL));
	ck_assert_int_eq(bundle_file_parse(text, len, errors, &bundle),
			 ERR_NONE);
	ck_assert_uint_eq(bundle->vm_count, 50);
	ck_assert_uint_eq(bundle->pool_count, 5);
	for (uint32_t i = 0; i < bundle->vm_count; i++) {
		const struct bundle_vm *vm = &bundle->vms[i];
		gpointer count = g_hash_table_lookup(racks, vm->rack);

		ck_assert_uint_le(GPOINTER_TO_UINT(count), 3);
		g_hash_table_insert(
			racks, vm->rack,
			GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
		g_hash_table_add(zones, vm->availability_zone);
		ck_assert_uint_eq(vm->slots, 8);
		ck_assert_uint_eq(vm->connections, 64);
	}
	ck_assert_uint_eq(g_hash_table_size(zones), 3);
	for (uint32_t i = 0; i < bundle->pool_count; i++) {
		const struct bundle_pool *pool = &bundle->pools[i];

		ck_assert(pool->target_vms >= 8 && pool->target_vms <= 12);
		ck_assert(!pool->spare || pool->target_vms == 8);
	}
	ck_assert_int_eq(bundle_route_match(bundle, _i ? "/orders" : "/draws",
					    _i ? 7 : 6)
				 ->idempotence,
			 BUNDLE_IDEMPOTENCE_NO);
	bundle_unref(bundle);
	bundle_file_errors_destroy(errors);
}
END_TEST

START_TEST(parses_valid_file)
{
	struct bundle_file_errors *errors = bundle_file_errors_create();
	struct bundle *bundle;

	ck_assert_int_eq(
		bundle_file_parse(valid, strlen(valid), errors, &bundle),
		ERR_NONE);
	ck_assert_uint_eq(bundle->version, 7);
	ck_assert_str_eq(bundle->vms[1].availability_zone, "z2");
	ck_assert_int_eq(bundle->pools[0].survive, BUNDLE_SURVIVE_ZONE);
	ck_assert_uint_eq(bundle->pools[0].vms[1], 1);
	ck_assert_uint_eq(bundle->routes[0].deadline_ms, 900);
	ck_assert_uint_eq(bundle->waves[0].closes_minute, 1440);
	ck_assert_uint_eq(bundle->weights.roll_out, 3);
	bundle_unref(bundle);
	bundle_file_errors_destroy(errors);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("bundle_file");
	Suite *suite = suite_create("bundle_file");
	SRunner *runner;
	int failed;

	tcase_add_loop_test(tcase, error_has_line_field_expected_and_found, 0,
			    G_N_ELEMENTS(error_rows));
	tcase_add_test(tcase, rejects_nul_bytes_and_oversized_files);
	tcase_add_test(tcase, limits_number_of_errors);
	tcase_add_loop_test(tcase, examples_have_documented_sizes, 0,
			    G_N_ELEMENTS(examples));
	tcase_add_test(tcase, parses_valid_file);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
