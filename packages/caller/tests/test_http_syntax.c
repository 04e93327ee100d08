#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "http_syntax.h"

START_TEST(test_line_ends_do_not_pass)
{
	ck_assert(http_syntax_is_value("a b\tc", 5));
	ck_assert(http_syntax_is_value("", 0));
	ck_assert(!http_syntax_is_value("a\r\nx-admin: 1", 14));
	ck_assert(!http_syntax_is_value("a\nb", 3));
	ck_assert(!http_syntax_is_value("a\0b", 3));
}
END_TEST

START_TEST(test_targets)
{
	ck_assert(http_syntax_is_target("/draws?x=1", 10));
	ck_assert(http_syntax_is_target("*", 1));
	ck_assert(!http_syntax_is_target("", 0));
	ck_assert(!http_syntax_is_target("draws", 5));
	ck_assert(!http_syntax_is_target("/a HTTP/1.1\r\nhost: b", 20));
	ck_assert(!http_syntax_is_target("/a\0b", 4));
}
END_TEST

START_TEST(test_tokens)
{
	ck_assert(http_syntax_is_token("x-test-id", 9));
	ck_assert(!http_syntax_is_token("", 0));
	ck_assert(!http_syntax_is_token("a b", 3));
	ck_assert(!http_syntax_is_token("a:b", 3));
	ck_assert(!http_syntax_is_token("a\0b", 3));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("clr_check");
	TCase *tcase = tcase_create("clr_check");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_line_ends_do_not_pass);
	tcase_add_test(tcase, test_targets);
	tcase_add_test(tcase, test_tokens);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
