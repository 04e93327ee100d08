/**
 * @file test_hold.c
 * @brief Each reason to hold a task back has an end, and preferences yield.
 */
#include <check.h>

#include "hold.h"

/* Longest time for which an accepted job may have nothing running where there
 * is room for it. */
#define IDLE_MAX_MS 3000

START_TEST(test_row_is_complete)
{
	const struct hold_row *row = hold_row((enum hold)_i);

	ck_assert_ptr_nonnull(row->text);
	ck_assert_str_ne(row->text, "");
	ck_assert_str_ne(row->set_by, "");
	ck_assert_str_ne(row->ends, "");
	ck_assert_uint_lt(row->yields_after_ms, IDLE_MAX_MS);
}
END_TEST

/* What only keeps a worker for something better must yield. */
START_TEST(test_preferences_yield)
{
	static const enum hold preferences[] = {
		HOLD_SUSPECT,	      HOLD_PLANNED_ROOM, HOLD_WORKER_BREAKER,
		HOLD_FAILED_THERE,    HOLD_AVOIDED_VM,	 HOLD_PLANNED,
		HOLD_WORKER_CORDONED,
	};

	for (size_t i = 0; i < sizeof(preferences) / sizeof(preferences[0]);
	     i++)
		ck_assert_uint_gt(hold_row(preferences[i])->yields_after_ms, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("hold");
	TCase *tests = tcase_create("hold");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_loop_test(tests, test_row_is_complete, HOLD_NONE + 1,
			    HOLD_COUNT);
	tcase_add_test(tests, test_preferences_yield);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
