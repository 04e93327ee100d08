#include <check.h>
#include <glib.h>
#include <stdlib.h>

#include "draining.h"

static uint32_t expired;

static void on_expired(void *data, const char *vm)
{
	expired++;
}

START_TEST(a_live_listing_alone_removes_nothing)
{
	struct draining_set *set = draining_set_create();

	ck_assert(draining_record(set, "a", DRAINING_SOURCE_SERVER, 5, 0));
	ck_assert(!draining_record(set, "a", DRAINING_SOURCE_LIST, 9, 0));
	ck_assert(!draining_record_live(set, "a", 0));
	ck_assert(!draining_record_live(set, "a", 5));
	ck_assert(draining_contains(set, "a"));
	ck_assert(draining_record_live(set, "a", 6));
	ck_assert(!draining_contains(set, "a"));
	draining_set_destroy(set);
}
END_TEST

START_TEST(a_signal_expires)
{
	struct draining_set *set = draining_set_create();

	expired = 0;
	draining_record(set, "a", DRAINING_SOURCE_SERVER, 5, 0);
	draining_expire(set, DRAINING_TTL_MS - 1, on_expired, NULL);
	ck_assert_uint_eq(expired, 0);
	draining_expire(set, DRAINING_TTL_MS, on_expired, NULL);
	ck_assert_uint_eq(expired, 1);
	ck_assert_uint_eq(draining_count(set), 0);
	draining_set_destroy(set);
}
END_TEST

START_TEST(peers_do_not_renew_each_others_signals)
{
	struct draining_set *sets[2] = { draining_set_create(),
					 draining_set_create() };
	struct draining_notice notice;
	uint64_t now_ms = 0;

	draining_record(sets[0], "a", DRAINING_SOURCE_SERVER, 5, 0);
	for (; now_ms < 2 * DRAINING_TTL_MS; now_ms += 1000) {
		for (uint32_t i = 0; i < 2; i++) {
			if (draining_next_notices(sets[i], &notice, 1,
						  now_ms) == 1)
				draining_merge_notice(sets[1 - i], &notice, 0,
						      now_ms + 50);
			draining_expire(sets[i], now_ms, on_expired, NULL);
		}
	}
	ck_assert(!draining_contains(sets[0], "a") &&
		  !draining_contains(sets[1], "a"));
	draining_set_destroy(sets[0]);
	draining_set_destroy(sets[1]);
}
END_TEST

START_TEST(an_outdated_notice_is_ignored)
{
	struct draining_set *set = draining_set_create();
	const struct draining_notice notice = { "a", DRAINING_TTL_MS, 5 };

	ck_assert(!draining_merge_notice(set, &notice, 6, 0));
	ck_assert(draining_merge_notice(set, &notice, 5, 0));
	ck_assert(!draining_merge_notice(set, &notice, 5, 0));
	draining_set_destroy(set);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("draining");
	TCase *cases = tcase_create("draining");
	SRunner *runner;
	int failed;

	tcase_add_test(cases, a_live_listing_alone_removes_nothing);
	tcase_add_test(cases, a_signal_expires);
	tcase_add_test(cases, peers_do_not_renew_each_others_signals);
	tcase_add_test(cases, an_outdated_notice_is_ignored);
	suite_add_tcase(suite, cases);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
