/**
 * @file test_fleet_record.c
 * @brief Manager records and placements: round trips and malformed input.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_record.h"
#include "stored_value.h"

#define FUZZ_ROUNDS 20000

static struct bundle *test_bundle_create(void)
{
	struct bundle *bundle = bundle_create_empty();

	bundle->vm_count = 2;
	bundle->vms = g_new0(struct bundle_vm, 2);
	bundle->vms[0].name = g_strdup("vm-a");
	bundle->vms[1].name = g_strdup("vm-b");
	bundle->pool_count = 1;
	bundle->pools = g_new0(struct bundle_pool, 1);
	bundle->pools[0].name = g_strdup("draws");
	return bundle;
}

static char *intent_build(void)
{
	char id[] = "maintain-7-vm-a";
	char vm[] = "vm-a";
	char wave[] = "nightly";
	const struct fleet_record_intent intent = {
		.id = id, .vm = vm, .wave = wave, .number = 7, .at_ms = 9
	};

	return fleet_record_intent_build(&intent);
}

START_TEST(test_intent)
{
	g_autofree char *text = intent_build();
	struct fleet_record_intent *intent;

	ck_assert_int_eq(fleet_record_intent_parse(text, strlen(text), &intent),
			 ERR_NONE);
	ck_assert_str_eq(intent->id, "maintain-7-vm-a");
	ck_assert_str_eq(intent->vm, "vm-a");
	ck_assert_str_eq(intent->wave, "nightly");
	ck_assert_uint_eq(intent->number, 7);
	fleet_record_intent_destroy(intent);
	ck_assert_int_eq(fleet_record_intent_parse("{}", 2, &intent),
			 ERR_MALFORMED);
	ck_assert_int_eq(fleet_record_intent_parse("", 0, &intent),
			 ERR_MALFORMED);
}
END_TEST

START_TEST(test_wave)
{
	struct bundle *bundle = test_bundle_create();
	const struct maintenance_record record = {
		.roll = 3,
		.window_min = 1440,
		.status = MAINTENANCE_STATUS_HALTED,
		.reason = MAINTENANCE_REASON_MAX_FAILURES,
		.failed = { 1 },
		.failed_count = 1,
	};
	g_autofree char *text = fleet_record_wave_build(bundle, &record, 5);
	struct maintenance_record read;

	ck_assert_int_eq(
		fleet_record_wave_parse(text, strlen(text), bundle, &read),
		ERR_NONE);
	ck_assert(maintenance_record_equals(&record, &read));
	bundle_unref(bundle);
}
END_TEST

/* A VM whose pool was removed from the bundle must keep its row until it has
 * been drained: otherwise the placement would treat it as free. */
START_TEST(test_removed_pool_keeps_row)
{
	static const char text[] =
		"{\"number\":4,\"roll\":1,\"rows\":"
		"[[\"vm-a\",\"gone\",\"serving\",\"\",\"fill\",2,0]]}";
	struct bundle *bundle = test_bundle_create();
	struct placement *placement;
	struct placement *again;
	g_autofree char *written = NULL;

	ck_assert_int_eq(
		stored_placement_parse(text, strlen(text), bundle, &placement),
		ERR_NONE);
	ck_assert(!placement_row_is_free(&placement->rows[0]));
	ck_assert(placement_row_is_free(&placement->rows[1]));
	written = stored_placement_build(bundle, placement);
	ck_assert_int_eq(stored_placement_parse(written, strlen(written),
						bundle, &again),
			 ERR_NONE);
	ck_assert_int_eq(again->rows[0].state, PLACEMENT_STATE_SERVING);
	placement_destroy(again);
	placement_destroy(placement);
	bundle_unref(bundle);
}
END_TEST

START_TEST(test_duplicate_rows_are_rejected)
{
	static const char text[] =
		"{\"number\":4,\"roll\":1,\"rows\":"
		"[[\"vm-a\",\"draws\",\"serving\",\"\",\"fill\",2,0],"
		"[\"vm-a\",\"draws\",\"draining\",\"\",\"fill\",2,0]]}";
	struct bundle *bundle = test_bundle_create();
	struct placement *placement;

	ck_assert_int_eq(
		stored_placement_parse(text, strlen(text), bundle, &placement),
		ERR_MALFORMED);
	bundle_unref(bundle);
}
END_TEST

static void parse_all(const struct bundle *bundle, const char *text, size_t len)
{
	struct fleet_record_intent *intent = NULL;
	struct placement *placement = NULL;
	struct maintenance_record record;

	if (fleet_record_intent_parse(text, len, &intent) == ERR_NONE)
		fleet_record_intent_destroy(intent);
	if (stored_placement_parse(text, len, bundle, &placement) == ERR_NONE)
		placement_destroy(placement);
	fleet_record_wave_parse(text, len, bundle, &record);
}

START_TEST(test_corrupted_bytes)
{
	const char *given = g_getenv("SEED");
	guint32 seed = given ? (guint32)atoi(given) : g_random_int() >> 1;
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
	struct bundle *bundle = test_bundle_create();
	const struct maintenance_record record = { .failed_count = 1 };
	g_autofree char *intent = intent_build();
	g_autofree char *wave = fleet_record_wave_build(bundle, &record, 5);
	const char *texts[] = { intent, wave,
				"{\"number\":4,\"roll\":1,\"rows\":[[\"vm-a\","
				"\"draws\",\"serving\",\"\",\"fill\",2,0]]}" };

	printf("changed bytes: SEED=%u\n", seed);
	fflush(stdout);
	for (int i = 0; i < FUZZ_ROUNDS; i++) {
		g_autofree char *copy = g_strdup(texts[i % 3]);
		size_t len = strlen(copy);

		for (int j = g_rand_int_range(rand, 1, 4); j > 0; j--)
			copy[g_rand_int_range(rand, 0, (gint32)len)] =
				(char)g_rand_int_range(rand, 0, 256);
		parse_all(bundle, copy, len);
		parse_all(bundle, copy,
			  (size_t)g_rand_int_range(rand, 0, (gint32)len));
	}
	bundle_unref(bundle);
}
END_TEST

/* Only a change caused by demand records the pool size behind it. */
START_TEST(test_decision_demand)
{
	struct bundle *bundle = test_bundle_create();
	g_autoptr(GArray) changes =
		g_array_new(FALSE, FALSE, sizeof(struct planner_change));
	const struct fleet_record_pool_size sizes[] = { { .reason = "demand",
							  .current_vms = 2,
							  .target_vms = 3,
							  .demand_milli =
								  15000 } };
	struct planner_change change = {
		.before.pool = BUNDLE_INDEX_NONE,
		.after = { .pool = BUNDLE_INDEX_NONE,
			   .next_pool = 0,
			   .reason = PLACEMENT_REASON_DEMAND }
	};
	const struct fleet_record_decision decision = { .pool_sizes = sizes,
							.bundle = bundle,
							.manager = "entry-1",
							.changes = changes };
	g_autofree char *text = NULL;
	const char *found;

	g_array_append_val(changes, change);
	change.vm = 1;
	change.after.reason = PLACEMENT_REASON_FILL;
	g_array_append_val(changes, change);
	text = fleet_record_decision_build(&decision);
	found = strstr(text, "demand_milli\":15000");
	ck_assert_msg(found != NULL, "%s", text);
	ck_assert_ptr_null(strstr(found + 1, "demand_milli"));
	ck_assert_ptr_nonnull(strstr(text, "\"wanted\":3"));
	bundle_unref(bundle);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("fleet_record");
	TCase *tcase = tcase_create("fleet_record and stored_value");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 50);
	tcase_add_test(tcase, test_intent);
	tcase_add_test(tcase, test_wave);
	tcase_add_test(tcase, test_decision_demand);
	tcase_add_test(tcase, test_removed_pool_keeps_row);
	tcase_add_test(tcase, test_duplicate_rows_are_rejected);
	tcase_add_test(tcase, test_corrupted_bytes);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
