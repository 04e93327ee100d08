/**
 * @file test_urgency.c
 * @brief The order of work that waits.
 */
#include <check.h>

#include "urgency.h"

static const struct urgency_work fresh = {
	.since_ms = 1000,
	.objective_ms = 2000,
	.critical_path_ms = 1000,
};

START_TEST(test_bands)
{
	struct urgency_work work = fresh;

	ck_assert_int_eq(urgency_band_of(&work, 1000), URGENCY_BAND_ON_TIME);
	ck_assert_int_eq(urgency_band_of(&work, 2500), URGENCY_BAND_LATE);
	ck_assert_int_eq(urgency_band_of(&work, 9000), URGENCY_BAND_EXPIRED);
	work.long_running = true;
	ck_assert_int_eq(urgency_band_of(&work, 9000),
			 URGENCY_BAND_LONG_RUNNING);
}
END_TEST

START_TEST(test_what_is_late_goes_last)
{
	struct urgency_work late = fresh;
	struct urgency_work hopeless = fresh;
	uint64_t now_ms = 2000;

	late.since_ms = 0;
	late.objective_ms = 1000;
	hopeless.since_ms = 0;
	hopeless.objective_ms = 100;
	ck_assert(urgency_sort_key(&fresh, now_ms) <
		  urgency_sort_key(&late, now_ms));
	ck_assert(urgency_sort_key(&late, now_ms) <
		  urgency_sort_key(&hopeless, now_ms));
}
END_TEST

/* Neither is late: the one that came later has less time. */
START_TEST(test_earlier_deadline_goes_first)
{
	struct urgency_work patient = fresh;
	struct urgency_work hasty = fresh;

	patient.objective_ms += 500;
	hasty.since_ms += 100;
	ck_assert_int_eq(urgency_band_of(&patient, 1500),
			 urgency_band_of(&hasty, 1500));
	ck_assert(urgency_sort_key(&hasty, 1500) <
		  urgency_sort_key(&patient, 1500));
}
END_TEST

START_TEST(test_priority_then_arrival)
{
	struct urgency_work second = fresh;
	struct urgency_work lower = fresh;

	second.since_ms++;
	lower.priority = 1;
	lower.since_ms--;
	ck_assert(urgency_sort_key(&fresh, 1500) <
		  urgency_sort_key(&second, 1500));
	ck_assert(urgency_sort_key(&second, 1500) <
		  urgency_sort_key(&lower, 1500));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("urg");
	TCase *tests = tcase_create("urg");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tests, 60);
	tcase_add_test(tests, test_bands);
	tcase_add_test(tests, test_what_is_late_goes_last);
	tcase_add_test(tests, test_earlier_deadline_goes_first);
	tcase_add_test(tests, test_priority_then_arrival);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
