/**
 * @file test_revocation.c
 * @brief How long keys of a configuration may be accepted.
 */
#include <check.h>

#include "revocation.h"

#define BOUND_MS 5000
#define START_MS 100000

/* A confirmation, and the time after START_MS until which keys are accepted. */
static const struct {
	uint64_t version;
	uint64_t sent_ms;
	uint64_t age_ms;
	uint64_t until_ms;
} confirmations[] = {
	/* a read of this process */
	{ 7, START_MS + 1000, 0, 5500 },
	/* relayed: the other process had read it 800 ms before it was asked */
	{ 7, START_MS + 1000, 800, 4700 },
	/* a version that a newer one has replaced here, both include all
	 * changes up to that time */
	{ 6, START_MS + 1000, 0, 5500 },
	/* a version that is not in force here may have withdrawn keys */
	{ 8, START_MS + 1000, 0, 4500 },
	/* older than what is known */
	{ 7, START_MS + 1000, 1500, 4500 },
	/* an age that cannot be true */
	{ 7, START_MS + 1000, 2 * START_MS, 4500 },
};

START_TEST(test_confirmation)
{
	struct revocation revocation = { .bound_ms = BOUND_MS, .version = 7 };
	uint64_t until_ms = START_MS + confirmations[_i].until_ms;

	ck_assert(!revocation_allows_keys(&revocation, START_MS));
	ck_assert_uint_eq(revocation_read_in_ms(&revocation, START_MS), 0);
	revocation_confirm(&revocation, 7, START_MS, 0);
	revocation_confirm(&revocation, confirmations[_i].version,
			   confirmations[_i].sent_ms, confirmations[_i].age_ms);
	ck_assert(revocation_allows_keys(&revocation, until_ms));
	ck_assert(!revocation_allows_keys(&revocation, until_ms + 1));
}
END_TEST

/* Reads are due often enough that several may fail in a row. */
START_TEST(test_reads_are_due_early)
{
	struct revocation revocation = { .bound_ms = BOUND_MS, .version = 7 };

	revocation_confirm(&revocation, 7, START_MS, 0);
	ck_assert_uint_eq(revocation_read_in_ms(&revocation, START_MS + 400),
			  600);
	ck_assert_uint_eq(revocation_read_in_ms(&revocation, START_MS + 1200),
			  0);
	revocation.bound_ms = 0;
	ck_assert_uint_eq(revocation_read_in_ms(&revocation, START_MS + 1200),
			  UINT32_MAX);
	ck_assert(revocation_allows_keys(&revocation, START_MS * 100));
}
END_TEST

START_TEST(test_age_has_a_text)
{
	struct revocation revocation = { .bound_ms = BOUND_MS, .version = 7 };
	char text[REVOCATION_AGE_TEXT_BYTES];

	ck_assert_str_eq(revocation_age_text(&revocation, START_MS, text),
			 "never");
	revocation_confirm(&revocation, 7, START_MS, 0);
	ck_assert_str_eq(revocation_age_text(&revocation, START_MS + 40, text),
			 "40 ms ago");
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("revocation");
	TCase *tests = tcase_create("revocation");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_loop_test(tests, test_confirmation, 0,
			    sizeof(confirmations) / sizeof(confirmations[0]));
	tcase_add_test(tests, test_reads_are_due_early);
	tcase_add_test(tests, test_age_has_a_text);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
