/**
 * @file test_urgency.c
 * @brief Tests of the order of queued work.
 */
#include <check.h>

#include "urgency.h"

static const struct urgency_work base_work = {
	.since_ms = 1000,
	.objective_ms = 2000,
	.critical_path_ms = 1000,
};

START_TEST(test_bands)
{
	struct urgency_work work = base_work;

	ck_assert_int_eq(urgency_band_of(&work, 1000), URGENCY_BAND_ON_TIME);
	ck_assert_int_eq(urgency_band_of(&work, 2500), URGENCY_BAND_LATE);
	ck_assert_int_eq(urgency_band_of(&work, 9000), URGENCY_BAND_EXPIRED);
	work.long_running = true;
	ck_assert_int_eq(urgency_band_of(&work, 9000),
			 URGENCY_BAND_LONG_RUNNING);
}
END_TEST

START_TEST(test_late_work_goes_last)
{
	struct urgency_work late = base_work;
	struct urgency_work expired = base_work;
	uint64_t now_ms = 2000;

	late.since_ms = 0;
	late.objective_ms = 1000;
	expired.since_ms = 0;
	expired.objective_ms = 100;
	ck_assert(urgency_sort_key(&base_work, now_ms) <
		  urgency_sort_key(&late, now_ms));
	ck_assert(urgency_sort_key(&late, now_ms) <
		  urgency_sort_key(&expired, now_ms));
}
END_TEST

/* Both are on time; the work that arrived later has the earlier deadline. */
START_TEST(test_earlier_deadline_goes_first)
{
	struct urgency_work later_deadline = base_work;
	struct urgency_work earlier_deadline = base_work;

	later_deadline.objective_ms += 500;
	earlier_deadline.since_ms += 100;
	ck_assert_int_eq(urgency_band_of(&later_deadline, 1500),
			 urgency_band_of(&earlier_deadline, 1500));
	ck_assert(urgency_sort_key(&earlier_deadline, 1500) <
		  urgency_sort_key(&later_deadline, 1500));
}
END_TEST

START_TEST(test_priority_precedes_deadline)
{
	struct urgency_work second = base_work;
	struct urgency_work lower = base_work;

	second.since_ms++;
	lower.priority = 1;
	lower.since_ms--;
	ck_assert(urgency_sort_key(&base_work, 1500) <
		  urgency_sort_key(&second, 1500));
	ck_assert(urgency_sort_key(&second, 1500) <
		  urgency_sort_key(&lower, 1500));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("urgency");
	TCase *tests = tcase_create("urgency");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tests, 60);
	tcase_add_test(tests, test_bands);
	tcase_add_test(tests, test_late_work_goes_last);
	tcase_add_test(tests, test_earlier_deadline_goes_first);
	tcase_add_test(tests, test_priority_precedes_deadline);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
