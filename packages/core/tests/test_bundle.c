#include <check.h>
#include <string.h>

#include "bundle.h"

static struct bundle *bundle;

/* Route prefixes; the longest one that matches whole segments wins. */
static const char *const paths[] = { "/draws", "/draws/sheets", "/a/", "/" };

static void set_up(void)
{
	bundle = bundle_create_empty();
	bundle->routes = g_new0(struct bundle_route, G_N_ELEMENTS(paths));
	bundle->route_count = G_N_ELEMENTS(paths) - 1;
	for (uint32_t i = 0; i < G_N_ELEMENTS(paths); i++)
		bundle->routes[i].path = g_strdup(paths[i]);
	bundle->vms = g_new0(struct bundle_vm, 2);
	bundle->vm_count = 2;
	bundle->vms[0].name = g_strdup("a");
	bundle->vms[1].name = g_strdup("b");
	bundle->pools = g_new0(struct bundle_pool, 1);
	bundle->pool_count = 1;
	bundle->pools[0].name = g_strdup("one");
	bundle->pools[0].vms = g_new0(uint32_t, 1);
	bundle->pools[0].vms[0] = 1;
	bundle->pools[0].vm_count = 1;
}

static void tear_down(void)
{
	bundle->route_count = G_N_ELEMENTS(paths);
	bundle_unref(bundle);
}

static const struct {
	const char *path;
	const char *route;
} matches[] = {
	{ "/draws", "/draws" },
	{ "/draws/7", "/draws" },
	{ "/drawsheet", NULL },
	{ "/draws/sheets", "/draws/sheets" },
	{ "/draws/sheets/1", "/draws/sheets" },
	{ "/draws/sheetsx", "/draws" },
	{ "/a", NULL },
	{ "/a/b", "/a/" },
	{ "/", NULL },
	{ "", NULL },
};

START_TEST(longest_whole_prefix_wins)
{
	const char *path = matches[_i].path;
	const struct bundle_route *route =
		bundle_route_match(bundle, path, strlen(path));

	ck_assert_pstr_eq(route ? route->path : NULL, matches[_i].route);
}
END_TEST

START_TEST(root_route_takes_the_rest)
{
	bundle->route_count = G_N_ELEMENTS(paths);
	ck_assert_str_eq(bundle_route_match(bundle, "/drawsheet", 10)->path,
			 "/");
	ck_assert_str_eq(bundle_route_match(bundle, "/draws", 6)->path,
			 "/draws");
}
END_TEST

START_TEST(finds_by_name)
{
	ck_assert_uint_eq(bundle_vm_find(bundle, "b"), 1);
	ck_assert_uint_eq(bundle_vm_find(bundle, "c"), BUNDLE_INDEX_NONE);
	ck_assert_uint_eq(bundle_pool_find(bundle, "one"), 0);
	ck_assert_uint_eq(bundle_pool_find(bundle, ""), BUNDLE_INDEX_NONE);
	ck_assert(bundle_pool_allows(&bundle->pools[0], 1));
	ck_assert(!bundle_pool_allows(&bundle->pools[0], 0));
}
END_TEST

START_TEST(lives_until_the_last_reference)
{
	ck_assert_ptr_eq(bundle_ref(bundle), bundle);
	bundle_unref(bundle);
	ck_assert_uint_eq(bundle->refs, 1);
	bundle_unref(NULL);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("bundle");
	Suite *suite = suite_create("bundle");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, set_up, tear_down);
	tcase_add_loop_test(tcase, longest_whole_prefix_wins, 0,
			    G_N_ELEMENTS(matches));
	tcase_add_test(tcase, root_route_takes_the_rest);
	tcase_add_test(tcase, finds_by_name);
	tcase_add_test(tcase, lives_until_the_last_reference);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
