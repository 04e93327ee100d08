/**
 * @file test_reload.c
 * @brief A file system that does not answer counts as one failed reload, names
 * the file, and leaves the settings in force; files that cannot be read are not
 * applied.
 */
#include <check.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "reload.h"

#define LOOK_MS 20
#define STALL_MS 50
/* Long enough for several looks on a busy machine. */
#define WAIT_MS 400

/* Reads wait while the gate is closed. */
static GMutex gate_mutex;
static GCond gate_opened;
static bool gate_closed;

static void gate_set(bool closed)
{
	g_mutex_lock(&gate_mutex);
	gate_closed = closed;
	g_cond_broadcast(&gate_opened);
	g_mutex_unlock(&gate_mutex);
}

static ssize_t gate_read(int fd, void *buffer, size_t len)
{
	g_mutex_lock(&gate_mutex);
	while (gate_closed)
		g_cond_wait(&gate_opened, &gate_mutex);
	g_mutex_unlock(&gate_mutex);
	return read(fd, buffer, len);
}

static struct file_read_ops gate_ops;

struct probe {
	struct loop *loop;
	struct reload *reload;
	struct timer end;
	char *directory;
	char *path;
	char *other_path;
	uint32_t applied;
	bool refuse;
	GString *log;
};

static GLogWriterOutput on_log(GLogLevelFlags level, const GLogField *fields,
			       gsize count, gpointer data)
{
	GString *log = data;

	for (gsize i = 0; i < count; i++) {
		if (strcmp(fields[i].key, "EVENT") == 0 ||
		    strcmp(fields[i].key, "MESSAGE") == 0)
			g_string_append_printf(log, "%s ",
					       (const char *)fields[i].value);
	}
	g_string_append_c(log, '\n');
	return G_LOG_WRITER_HANDLED;
}

static bool on_reload(void *data, const struct file_content *files,
		      GString *applied, GString *kept, GError **error)
{
	struct probe *probe = data;

	ck_assert_ptr_nonnull(files[0].text);
	ck_assert_ptr_nonnull(files[1].text);
	if (probe->refuse) {
		g_set_error(error, file_read_error_quark(), ERR_INVALID,
			    "no settings");
		return false;
	}
	probe->applied++;
	g_string_append(applied, files[0].text);
	return true;
}

static void on_end(void *data)
{
	struct probe *probe = data;

	loop_stop(probe->loop);
}

static void probe_run(struct probe *probe)
{
	loop_timer_set(probe->loop, &probe->end, WAIT_MS);
	loop_run_until_stopped(probe->loop);
}

static void probe_open(struct probe *probe)
{
	const char *paths[] = { NULL, NULL, NULL };
	struct file_watch_config config = reload_watch_config(paths);

	gate_ops = file_read_system_ops;
	gate_ops.read = gate_read;
	*probe = (struct probe){ .loop = loop_create() };
	probe->directory = g_dir_make_tmp("reload-XXXXXX", NULL);
	probe->path = g_build_filename(probe->directory, "settings", NULL);
	probe->other_path = g_build_filename(probe->directory, "other", NULL);
	probe->end.cb = on_end;
	probe->end.data = probe;
	probe->log = g_string_new(NULL);
	g_log_set_writer_func(on_log, probe->log, NULL);
	ck_assert(g_file_set_contents(probe->path, "a=1", -1, NULL));
	ck_assert(g_file_set_contents(probe->other_path, "b=1", -1, NULL));
	paths[0] = probe->path;
	paths[1] = probe->other_path;
	config.ops = &gate_ops;
	config.period_ms = LOOK_MS;
	config.stall_ms = STALL_MS;
	probe->reload = reload_create(probe->loop, &config, on_reload, probe);
}

static void probe_close(struct probe *probe)
{
	reload_destroy(probe->reload);
	loop_destroy(probe->loop);
	g_unlink(probe->path);
	g_unlink(probe->other_path);
	g_rmdir(probe->directory);
	g_free(probe->path);
	g_free(probe->other_path);
	g_free(probe->directory);
	g_string_free(probe->log, TRUE);
}

static void assert_counts(const struct probe *probe, uint32_t succeeded,
			  uint32_t failed, uint32_t revision)
{
	g_autoptr(GString) metrics = g_string_new(NULL);
	g_autofree char *expected = g_strdup_printf(
		"settings_revision %u\n"
		"sassafrascart_settings_reloads_total{result=\"ok\"} %u\n"
		"sassafrascart_settings_reloads_total{result=\"failed\"} %u\n",
		revision, succeeded, failed);

	reload_metrics_append(probe->reload, metrics);
	ck_assert_msg(strstr(metrics->str, expected) != NULL, "%s\n%s",
		      metrics->str, probe->log->str);
}

static uint32_t log_count(const struct probe *probe, const char *text)
{
	uint32_t count = 0;

	for (const char *at = probe->log->str; (at = strstr(at, text)); at++)
		count++;
	return count;
}

START_TEST(test_stalled_file_system_counts_as_one_failed_reload)
{
	struct probe probe;

	probe_open(&probe);
	gate_set(true);
	reload_request(probe.reload);
	probe_run(&probe);
	reload_request(probe.reload);
	probe_run(&probe);
	assert_counts(&probe, 0, 1, 1);
	ck_assert_uint_eq(probe.applied, 0);
	ck_assert_uint_eq(log_count(&probe, "settings-file-stalled"), 1);
	ck_assert_ptr_nonnull(strstr(probe.log->str, probe.path));
	gate_set(false);
	probe_run(&probe);
	ck_assert_uint_ge(probe.applied, 1);
	ck_assert_uint_eq(log_count(&probe, "settings-file-answers"), 1);
	ck_assert_uint_ge(log_count(&probe, "after SIGHUP"), 1);
	assert_counts(&probe, probe.applied, 1, 1 + probe.applied);
	probe_close(&probe);
}
END_TEST

START_TEST(test_unreadable_file_is_not_applied)
{
	struct probe probe;

	probe_open(&probe);
	ck_assert_int_eq(g_unlink(probe.other_path), 0);
	ck_assert_int_eq(mkfifo(probe.other_path, 0600), 0);
	probe_run(&probe);
	assert_counts(&probe, 0, 1, 1);
	ck_assert_uint_eq(probe.applied, 0);
	ck_assert_uint_eq(log_count(&probe, "settings-reload-failed"), 1);
	ck_assert_uint_eq(log_count(&probe, probe.other_path), 1);
	ck_assert_uint_eq(log_count(&probe, "found a FIFO"), 1);
	ck_assert_int_eq(g_unlink(probe.other_path), 0);
	ck_assert(g_file_set_contents(probe.other_path, "b=2", -1, NULL));
	probe_run(&probe);
	assert_counts(&probe, 1, 1, 2);
	ck_assert_uint_eq(log_count(&probe, "after a change of the file"), 2);
	probe_close(&probe);
}
END_TEST

START_TEST(test_refused_settings_count_as_failed)
{
	struct probe probe;

	probe_open(&probe);
	probe.refuse = true;
	ck_assert(g_file_set_contents(probe.path, "a=2", -1, NULL));
	probe_run(&probe);
	assert_counts(&probe, 0, 1, 1);
	ck_assert_uint_eq(log_count(&probe, "no settings"), 1);
	probe_close(&probe);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("reload");
	TCase *tests = tcase_create("reload");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tests, 30);
	tcase_add_test(tests,
		       test_stalled_file_system_counts_as_one_failed_reload);
	tcase_add_test(tests, test_unreadable_file_is_not_applied);
	tcase_add_test(tests, test_refused_settings_count_as_failed);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
