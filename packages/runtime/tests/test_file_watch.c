/**
 * @file test_file_watch.c
 * @brief A changed, replaced, removed or created file is reported once, and a
 * file that is still being written is not reported yet.
 */
#include <check.h>
#include <glib/gstdio.h>
#include <unistd.h>

#include "file_watch.h"

#define PERIOD_MS 20
/* Long enough for a change to be noticed on a busy machine. */
#define WAIT_MS 400

struct probe {
	struct loop *loop;
	struct file_watch *watch;
	struct timer end;
	char *directory;
	char *path;
	uint32_t changes;
};

static void on_change(void *data)
{
	struct probe *probe = data;

	probe->changes++;
}

static void on_end(void *data)
{
	struct probe *probe = data;

	loop_stop(probe->loop);
}

static void probe_run(struct probe *probe, uint32_t for_ms)
{
	loop_timer_set(probe->loop, &probe->end, for_ms);
	loop_run_until_stopped(probe->loop);
}

static void probe_open(struct probe *probe)
{
	const char *paths[] = { NULL, NULL };

	*probe = (struct probe){ .loop = loop_create() };
	probe->directory = g_dir_make_tmp("file-watch-XXXXXX", NULL);
	probe->path = g_build_filename(probe->directory, "settings", NULL);
	probe->end.cb = on_end;
	probe->end.data = probe;
	ck_assert(g_file_set_contents(probe->path, "a=1\n", -1, NULL));
	paths[0] = probe->path;
	probe->watch = file_watch_create(probe->loop, paths, PERIOD_MS,
					 on_change, probe);
}

static void probe_close(struct probe *probe)
{
	file_watch_destroy(probe->watch);
	loop_destroy(probe->loop);
	g_unlink(probe->path);
	g_rmdir(probe->directory);
	g_free(probe->path);
	g_free(probe->directory);
}

START_TEST(test_each_change_is_reported_once)
{
	struct probe probe;

	probe_open(&probe);
	probe_run(&probe, WAIT_MS);
	ck_assert_uint_eq(probe.changes, 0);
	/* g_file_set_contents() replaces the file by a rename. */
	ck_assert(g_file_set_contents(probe.path, "a=2\n", -1, NULL));
	probe_run(&probe, WAIT_MS);
	ck_assert_uint_eq(probe.changes, 1);
	ck_assert_int_eq(g_unlink(probe.path), 0);
	probe_run(&probe, WAIT_MS);
	ck_assert_uint_eq(probe.changes, 2);
	ck_assert(g_file_set_contents(probe.path, "a=3\n", -1, NULL));
	probe_run(&probe, WAIT_MS);
	ck_assert_uint_eq(probe.changes, 3);
	probe_close(&probe);
}
END_TEST

START_TEST(test_known_change_is_not_reported)
{
	struct probe probe;

	probe_open(&probe);
	ck_assert(g_file_set_contents(probe.path, "a=2\n", -1, NULL));
	file_watch_mark_known(probe.watch);
	probe_run(&probe, WAIT_MS);
	ck_assert_uint_eq(probe.changes, 0);
	probe_close(&probe);
}
END_TEST

struct writer {
	struct probe *probe;
	struct timer timer;
	uint32_t writes;
};

static void on_write(void *data)
{
	struct writer *writer = data;
	FILE *file = g_fopen(writer->probe->path, "a");

	ck_assert_ptr_nonnull(file);
	fputs("b=1\n", file);
	fclose(file);
	if (++writer->writes < 40)
		loop_timer_set(writer->probe->loop, &writer->timer,
			       PERIOD_MS / 4);
}

START_TEST(test_file_that_is_being_written_is_reported_when_complete)
{
	struct probe probe;
	struct writer writer = { .probe = &probe };

	probe_open(&probe);
	writer.timer.cb = on_write;
	writer.timer.data = &writer;
	loop_timer_set(probe.loop, &writer.timer, 0);
	while (writer.writes < 40) {
		probe_run(&probe, PERIOD_MS / 4);
		/* On a stalled machine two looks may fall between two writes,
		 * so the number of reports is bounded, not zero. */
		ck_assert_uint_le(probe.changes, 2);
	}
	probe_run(&probe, WAIT_MS);
	ck_assert_uint_ge(probe.changes, 1);
	ck_assert_uint_le(probe.changes, 3);
	probe_close(&probe);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("file_watch");
	TCase *tests = tcase_create("file_watch");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tests, test_each_change_is_reported_once);
	tcase_add_test(tests, test_known_change_is_not_reported);
	tcase_add_test(
		tests,
		test_file_that_is_being_written_is_reported_when_complete);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
