/**
 * @file test_suspect.c
 * @brief Tests of the search for tasks that crash their workers.
 */
#include <check.h>

#include "suspect.h"

#define TASKS 4
#define WORKERS 50
/* Time between two crashes. */
#define INTERVAL_MS 500

/* A fleet in which every crash is that of a worker with TASKS tasks. */
struct fleet {
	struct suspect evidence[TASKS];
	/* of the last crash */
	struct suspect_task tasks[TASKS];
	struct suspect_background background;
	uint64_t now_ms;
	uint32_t places;
	uint32_t workers;
	bool long_running;
};

/* Crashes a worker with the tasks from `first` on, which have run for the given
 * times. Returns the verdict on the first of them. */
static enum suspect_verdict crash(struct fleet *fleet, uint32_t first,
				  uint32_t count, const uint32_t *ages_ms,
				  bool common_cause)
{
	struct suspect_crash crash = {
		.number = fleet->places + 1,
		.common_cause = common_cause,
		.background = &fleet->background,
		.workers = fleet->workers ? fleet->workers : WORKERS,
		.now_ms = fleet->now_ms += INTERVAL_MS,
	};
	struct suspect_task *tasks = fleet->tasks;

	fleet->places++;
	for (uint32_t i = 0; i < count; i++)
		tasks[i] = (struct suspect_task){
			.evidence = &fleet->evidence[first + i],
			.age_ms = ages_ms[i],
			.age_known = true,
			.certain = true,
			.unit = i,
			.place = fleet->places,
			.long_running = fleet->long_running,
		};
	suspect_background_observe(&fleet->background,
				   (uint64_t)crash.workers * INTERVAL_MS,
				   fleet->now_ms);
	crash.in_background = !suspect_any_likely(tasks, count);
	suspect_judge(&crash, tasks, count);
	if (crash.in_background)
		suspect_background_add(&fleet->background, fleet->now_ms);
	return tasks[0].verdict;
}

START_TEST(test_task_that_crashes_two_workers_at_once_is_convicted)
{
	struct fleet fleet = { .now_ms = 100000 };

	ck_assert_int_eq(
		crash(&fleet, 0, 3, (uint32_t[]){ 10, 12, 900 }, false),
		SUSPECT_POSSIBLE);
	ck_assert(suspect_needs_isolation(&fleet.evidence[0]));
	/* It had run for long, so it is no likely cause. */
	ck_assert(!suspect_needs_isolation(&fleet.evidence[2]));
	ck_assert_int_eq(crash(&fleet, 0, 1, (uint32_t[]){ 12 }, false),
			 SUSPECT_SOLE);
	ck_assert(suspect_is_convicted(&fleet.tasks[0]));
	ck_assert(!suspect_is_convicted(&fleet.tasks[1]));
}
END_TEST

START_TEST(test_prompt_crashes_that_vary_need_a_third)
{
	struct fleet fleet = { .now_ms = 100000 };

	crash(&fleet, 0, 2, (uint32_t[]){ 5, 10 }, false);
	crash(&fleet, 0, 1, (uint32_t[]){ 51 }, false);
	ck_assert(!suspect_is_convicted(&fleet.tasks[0]));
	crash(&fleet, 0, 1, (uint32_t[]){ 7 }, false);
	ck_assert(suspect_is_convicted(&fleet.tasks[0]));
}
END_TEST

START_TEST(test_late_crashes_need_a_third)
{
	struct fleet fleet = { .now_ms = 100000 };

	crash(&fleet, 0, 2, (uint32_t[]){ 600, 700 }, false);
	ck_assert(!suspect_needs_isolation(&fleet.evidence[0]));
	crash(&fleet, 0, 1, (uint32_t[]){ 610 }, false);
	ck_assert(!suspect_is_convicted(&fleet.tasks[0]));
	crash(&fleet, 0, 1, (uint32_t[]){ 605 }, false);
	ck_assert(suspect_is_convicted(&fleet.tasks[0]));
}
END_TEST

/* A crash of another cause before the others, or a time that is known only in
 * part, does not keep a task from being convicted. */
START_TEST(test_crash_after_another_time_hides_no_others)
{
	struct fleet fleet = { .now_ms = 100000 };

	crash(&fleet, 0, 2, (uint32_t[]){ 424, 400 }, false);
	crash(&fleet, 0, 2, (uint32_t[]){ 17, 10 }, false);
	crash(&fleet, 0, 1, (uint32_t[]){ 17 }, false);
	ck_assert(!suspect_is_convicted(&fleet.tasks[0]));
	crash(&fleet, 0, 1, (uint32_t[]){ 17 }, false);
	ck_assert(suspect_is_convicted(&fleet.tasks[0]));
	/* two at one time, and two at others */
	fleet = (struct fleet){ .now_ms = 100000 };
	crash(&fleet, 0, 1, (uint32_t[]){ 424 }, false);
	crash(&fleet, 0, 2, (uint32_t[]){ 17, 10 }, false);
	crash(&fleet, 0, 2, (uint32_t[]){ 900, 10 }, false);
	crash(&fleet, 0, 1, (uint32_t[]){ 17 }, false);
	ck_assert(!suspect_is_convicted(&fleet.tasks[0]));
}
END_TEST

/* Each of these leaves open whether the task is the cause. */
START_TEST(test_ambiguous_crashes_do_not_convict)
{
	struct fleet fleet = { .now_ms = 100000 };

	for (uint32_t i = 0; i < 3; i++)
		crash(&fleet, 0, 2, (uint32_t[]){ 10, 10 }, false);
	ck_assert(!suspect_is_convicted(&fleet.tasks[0]));
	/* several workers at the same moment */
	fleet = (struct fleet){ .now_ms = 100000 };
	for (uint32_t i = 0; i < 3; i++)
		crash(&fleet, 0, 1, (uint32_t[]){ 10 }, true);
	ck_assert(!suspect_is_convicted(&fleet.tasks[0]));
	/* the same VM */
	fleet = (struct fleet){ .now_ms = 100000 };
	for (uint32_t i = 0; i < 3; i++) {
		fleet.places = 0;
		crash(&fleet, 0, 1, (uint32_t[]){ 10 }, false);
	}
	ck_assert(!suspect_is_convicted(&fleet.tasks[0]));
	/* a fleet in which workers crash all the time */
	fleet = (struct fleet){ .now_ms = 100000 };
	for (uint32_t i = 0; i < 40; i++)
		crash(&fleet, 1, 1, (uint32_t[]){ 5000 }, false);
	crash(&fleet, 0, 1, (uint32_t[]){ 10 }, false);
	crash(&fleet, 0, 1, (uint32_t[]){ 10 }, false);
	ck_assert(!suspect_is_convicted(&fleet.tasks[0]));
}
END_TEST

/* The crashes of one task say as much as those of workers without a suspect say
 * against them, whether these have other tasks or none. */
START_TEST(test_workers_without_suspects_crash_as_often)
{
	static const uint32_t ages_ms[] = { 900, 1600, 1250, 980, 1400, 1100 };
	static const struct {
		uint32_t others;
		uint32_t other_tasks;
		bool convicted;
	} cases[] = { { 0, 0, true }, { 6, 0, false }, { 6, 1, false } };

	for (uint32_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct fleet fleet = { .now_ms = 100000,
				       .workers = 7,
				       .long_running = true };
		bool convicted = false;

		for (uint32_t j = 0; j < 6; j++) {
			for (uint32_t k = 0; k < cases[i].others; k++)
				crash(&fleet, 1, cases[i].other_tasks,
				      (uint32_t[]){ 9000 }, false);
			crash(&fleet, 0, 1, &ages_ms[j], false);
			convicted |= suspect_is_convicted(&fleet.tasks[0]);
		}
		ck_assert_msg(convicted == cases[i].convicted, "case %u", i);
	}
}
END_TEST

/* Whatever the cause, a task is started five times at most. */
START_TEST(test_crashes_are_bounded)
{
	struct fleet fleet = { .now_ms = 100000 };
	uint32_t count = 0;

	do {
		uint32_t age_ms = 300 + 300 * count;

		crash(&fleet, 0, 2, (uint32_t[]){ age_ms, age_ms }, false);
	} while (!suspect_is_convicted(&fleet.tasks[0]) && ++count < 10);
	ck_assert_uint_lt(count, SUSPECT_CRASHES_MAX);
}
END_TEST

START_TEST(test_unknown_rate_makes_no_evidence_stronger)
{
	static const struct suspect_event event = { .age_ms = 10,
						    .prompt = true,
						    .certain = true };
	struct fleet fleet = { .now_ms = 100000 };
	struct fleet known = fleet;

	crash(&known, 0, 1, (uint32_t[]){ 10 }, false);
	fleet.evidence[0].crashes = 1;
	fleet.evidence[0].longest_ms = event.age_ms;
	fleet.evidence[0].events[0] = event;
	crash(&fleet, 0, 1, (uint32_t[]){ 10 }, false);
	ck_assert_uint_eq(fleet.evidence[0].rate_ppb,
			  known.evidence[0].rate_ppb);
}
END_TEST

START_TEST(test_other_tasks_are_exonerated)
{
	struct fleet fleet = { .now_ms = 100000 };

	crash(&fleet, 0, 1, (uint32_t[]){ 10 }, false);
	crash(&fleet, 0, 2, (uint32_t[]){ 10, 3000 }, false);
	ck_assert_uint_eq(fleet.evidence[1].crashes, 0);
	ck_assert(suspect_is_convicted(&fleet.tasks[0]));
}
END_TEST

START_TEST(test_task_is_cleared_after_probation)
{
	struct fleet fleet = { .now_ms = 100000 };

	crash(&fleet, 0, 1, (uint32_t[]){ 100 }, false);
	ck_assert(suspect_on_probation(&fleet.evidence[0], 200));
	ck_assert(!suspect_try_clear(&fleet.evidence[0], 200));
	ck_assert(suspect_try_clear(&fleet.evidence[0], 500));
	ck_assert(!suspect_needs_isolation(&fleet.evidence[0]));
	ck_assert(!suspect_try_clear(&fleet.evidence[0], 500));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("suspect");
	TCase *tests = tcase_create("suspect");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tests,
		       test_task_that_crashes_two_workers_at_once_is_convicted);
	tcase_add_test(tests, test_prompt_crashes_that_vary_need_a_third);
	tcase_add_test(tests, test_late_crashes_need_a_third);
	tcase_add_test(tests, test_crash_after_another_time_hides_no_others);
	tcase_add_test(tests, test_ambiguous_crashes_do_not_convict);
	tcase_add_test(tests, test_workers_without_suspects_crash_as_often);
	tcase_add_test(tests, test_crashes_are_bounded);
	tcase_add_test(tests, test_unknown_rate_makes_no_evidence_stronger);
	tcase_add_test(tests, test_other_tasks_are_exonerated);
	tcase_add_test(tests, test_task_is_cleared_after_probation);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
