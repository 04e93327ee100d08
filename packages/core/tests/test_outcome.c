#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "outcome.h"

START_TEST(a_sent_request_is_never_reported_as_not_run)
{
	for (uint32_t last = 0; last < OUTCOME_COUNT; last++) {
		enum outcome kind = outcome_after_send(last, OUTCOME_CUT);

		ck_assert_int_ne(outcome_row(kind)->run, OUTCOME_RUN_NO);
		ck_assert_int_eq(outcome_after_send(last, OUTCOME_COUNT), last);
	}
}
END_TEST

/* docs/CALLERS.md has one row for each outcome: | name | status | run | */
START_TEST(the_page_for_callers_lists_every_outcome)
{
	g_autofree char *page = NULL;

	ck_assert(g_file_get_contents(SOURCE_DIR "/docs/CALLERS.md", &page,
				      NULL, NULL));
	for (uint32_t i = 0; i < OUTCOME_COUNT; i++) {
		const struct outcome_row *row = outcome_row(i);
		g_autofree char *status =
			row->status ? g_strdup_printf("%u", row->status)
				    : g_strdup("the server's");
		g_autofree char *line =
			g_strdup_printf("\n| `%s` | %s | %s | %s |", row->name,
					status, outcome_run_name(row->run),
					row->retry_after ? "yes" : "no");

		ck_assert_msg(strstr(page, line) != NULL, "no row: %s", line);
	}
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("outcome");
	TCase *cases = tcase_create("outcome");
	SRunner *runner;
	int failed;

	tcase_add_test(cases, a_sent_request_is_never_reported_as_not_run);
	tcase_add_test(cases, the_page_for_callers_lists_every_outcome);
	suite_add_tcase(suite, cases);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
