#include <check.h>
#include <glib.h>
#include <stdlib.h>

#include "lvg.h"

static uint32_t expired;

static void on_expired(void *data, const char *vm)
{
	expired++;
}

START_TEST(a_list_alone_takes_nothing_out)
{
	struct lvg_set *set = lvg_set_create();

	ck_assert(lvg_signal(set, "a", LVG_SOURCE_SERVER, 5, 0));
	ck_assert(!lvg_signal(set, "a", LVG_SOURCE_LIST, 9, 0));
	ck_assert(!lvg_listed_live(set, "a", 0));
	ck_assert(!lvg_listed_live(set, "a", 5));
	ck_assert(lvg_has(set, "a"));
	ck_assert(lvg_listed_live(set, "a", 6));
	ck_assert(!lvg_has(set, "a"));
	lvg_set_destroy(set);
}
END_TEST

START_TEST(a_signal_holds_for_a_bounded_time)
{
	struct lvg_set *set = lvg_set_create();

	expired = 0;
	lvg_signal(set, "a", LVG_SOURCE_SERVER, 5, 0);
	lvg_expire(set, LVG_HOLD_MS - 1, on_expired, NULL);
	ck_assert_uint_eq(expired, 0);
	lvg_expire(set, LVG_HOLD_MS, on_expired, NULL);
	ck_assert_uint_eq(expired, 1);
	ck_assert_uint_eq(lvg_count(set), 0);
	lvg_set_destroy(set);
}
END_TEST

START_TEST(peers_do_not_keep_a_signal_alive_for_each_other)
{
	struct lvg_set *sets[2] = { lvg_set_create(), lvg_set_create() };
	struct lvg_notice notice;
	uint64_t now_ms = 0;

	lvg_signal(sets[0], "a", LVG_SOURCE_SERVER, 5, 0);
	for (; now_ms < 2 * LVG_HOLD_MS; now_ms += 1000) {
		for (uint32_t i = 0; i < 2; i++) {
			if (lvg_notices(sets[i], &notice, 1, now_ms) == 1)
				lvg_hear(sets[1 - i], &notice, 0, now_ms + 50);
			lvg_expire(sets[i], now_ms, on_expired, NULL);
		}
	}
	ck_assert(!lvg_has(sets[0], "a") && !lvg_has(sets[1], "a"));
	lvg_set_destroy(sets[0]);
	lvg_set_destroy(sets[1]);
}
END_TEST

START_TEST(an_outdated_notice_is_not_heard)
{
	struct lvg_set *set = lvg_set_create();
	const struct lvg_notice notice = { "a", LVG_HOLD_MS, 5 };

	ck_assert(!lvg_hear(set, &notice, 6, 0));
	ck_assert(lvg_hear(set, &notice, 5, 0));
	ck_assert(!lvg_hear(set, &notice, 5, 0));
	lvg_set_destroy(set);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("lvg");
	TCase *cases = tcase_create("lvg");
	SRunner *runner;
	int failed;

	tcase_add_test(cases, a_list_alone_takes_nothing_out);
	tcase_add_test(cases, a_signal_holds_for_a_bounded_time);
	tcase_add_test(cases, peers_do_not_keep_a_signal_alive_for_each_other);
	tcase_add_test(cases, an_outdated_notice_is_not_heard);
	suite_add_tcase(suite, cases);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
