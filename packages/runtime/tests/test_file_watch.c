/**
 * @file test_file_watch.c
 * @brief A changed, replaced, removed or created file is read once, a file that
 * is still being written is not read yet, and a file system that does not
 * answer holds up neither the loop nor the end of the watch.
 */
#include <check.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "file_watch.h"

#define PERIOD_MS 20
#define STALL_MS 50
/* Long enough for a change to be noticed on a busy machine. */
#define WAIT_MS 400
#define TICK_MS 10
#define MAX_BYTES 4096

/* File operations that wait while the gate is closed. */
struct gate {
	GMutex mutex;
	GCond opened;
	bool stat_closed;
	bool read_closed;
	uint32_t stats;
	uint32_t reads;
};

static struct gate gate;

static void gate_set(bool stat_closed, bool read_closed)
{
	g_mutex_lock(&gate.mutex);
	gate.stat_closed = stat_closed;
	gate.read_closed = read_closed;
	g_cond_broadcast(&gate.opened);
	g_mutex_unlock(&gate.mutex);
}

static void gate_pass(const bool *closed, uint32_t *count)
{
	g_mutex_lock(&gate.mutex);
	(*count)++;
	while (*closed)
		g_cond_wait(&gate.opened, &gate.mutex);
	g_mutex_unlock(&gate.mutex);
}

static uint32_t gate_count(const uint32_t *count)
{
	uint32_t value;

	g_mutex_lock(&gate.mutex);
	value = *count;
	g_mutex_unlock(&gate.mutex);
	return value;
}

static int gate_stat(const char *path, struct stat *out)
{
	gate_pass(&gate.stat_closed, &gate.stats);
	return stat(path, out);
}

static ssize_t gate_read(int fd, void *buffer, size_t len)
{
	gate_pass(&gate.read_closed, &gate.reads);
	return read(fd, buffer, len);
}

static struct file_read_ops gate_ops;

struct probe {
	struct loop *loop;
	struct file_watch *watch;
	struct timer end;
	struct timer tick;
	char *directory;
	char *path;
	char *text;
	char *error;
	uint32_t changes;
	uint32_t requested;
	uint32_t stalls;
	uint32_t resumes;
	uint32_t ticks;
};

static void on_read(void *data, const struct file_content *files,
		    bool requested)
{
	struct probe *probe = data;

	if (requested)
		probe->requested++;
	else
		probe->changes++;
	ck_assert_str_eq(files[0].path, probe->path);
	ck_assert((files[0].text == NULL) == (files[0].error != NULL));
	g_free(probe->text);
	g_free(probe->error);
	probe->text = g_strdup(files[0].text);
	probe->error =
		files[0].error ? g_strdup(files[0].error->message) : NULL;
}

static void on_stall(void *data, const char *path)
{
	struct probe *probe = data;

	ck_assert_str_eq(path, probe->path);
	probe->stalls++;
}

static void on_resume(void *data, const char *path)
{
	struct probe *probe = data;

	ck_assert_str_eq(path, probe->path);
	probe->resumes++;
}

static const struct file_watch_ops probe_ops = {
	.on_read = on_read,
	.on_stall = on_stall,
	.on_resume = on_resume,
};

static void on_end(void *data)
{
	struct probe *probe = data;

	loop_stop(probe->loop);
}

static void on_tick(void *data)
{
	struct probe *probe = data;

	probe->ticks++;
	loop_timer_set(probe->loop, &probe->tick, TICK_MS);
}

static void probe_run(struct probe *probe, uint32_t for_ms)
{
	loop_timer_set(probe->loop, &probe->end, for_ms);
	loop_run_until_stopped(probe->loop);
}

static void probe_open(struct probe *probe)
{
	const char *paths[] = { NULL, NULL };
	struct file_watch_config config = {
		.paths = paths,
		.ops = &gate_ops,
		.max_bytes = MAX_BYTES,
		.period_ms = PERIOD_MS,
		.stall_ms = STALL_MS,
	};

	gate_ops = file_read_system_ops;
	gate_ops.stat = gate_stat;
	gate_ops.read = gate_read;
	*probe = (struct probe){ .loop = loop_create() };
	probe->directory = g_dir_make_tmp("file-watch-XXXXXX", NULL);
	probe->path = g_build_filename(probe->directory, "settings", NULL);
	probe->end.cb = on_end;
	probe->end.data = probe;
	probe->tick.cb = on_tick;
	probe->tick.data = probe;
	ck_assert(g_file_set_contents(probe->path, "a=1\n", -1, NULL));
	paths[0] = probe->path;
	probe->watch =
		file_watch_create(probe->loop, &config, &probe_ops, probe);
	ck_assert_ptr_nonnull(probe->watch);
}

static void probe_close(struct probe *probe)
{
	file_watch_destroy(probe->watch);
	timer_cancel(&probe->tick);
	loop_destroy(probe->loop);
	g_unlink(probe->path);
	g_rmdir(probe->directory);
	g_free(probe->path);
	g_free(probe->directory);
	g_free(probe->text);
	g_free(probe->error);
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
	ck_assert_str_eq(probe.text, "a=2\n");
	ck_assert_int_eq(g_unlink(probe.path), 0);
	probe_run(&probe, WAIT_MS);
	ck_assert_uint_eq(probe.changes, 2);
	ck_assert_ptr_nonnull(strstr(probe.error, "No such file"));
	ck_assert(g_file_set_contents(probe.path, "a=3\n", -1, NULL));
	probe_run(&probe, WAIT_MS);
	ck_assert_uint_eq(probe.changes, 3);
	ck_assert_str_eq(probe.text, "a=3\n");
	ck_assert_uint_eq(probe.requested, 0);
	probe_close(&probe);
}
END_TEST

START_TEST(test_change_that_was_read_on_request_is_not_reported)
{
	struct probe probe;

	probe_open(&probe);
	ck_assert(g_file_set_contents(probe.path, "a=2\n", -1, NULL));
	file_watch_request(probe.watch);
	probe_run(&probe, WAIT_MS);
	ck_assert_uint_eq(probe.requested, 1);
	ck_assert_uint_eq(probe.changes, 0);
	ck_assert_str_eq(probe.text, "a=2\n");
	probe_close(&probe);
}
END_TEST

START_TEST(test_requests_are_answered_together)
{
	struct probe probe;

	probe_open(&probe);
	gate_set(false, true);
	file_watch_request(probe.watch);
	probe_run(&probe, WAIT_MS);
	for (int i = 0; i < 100; i++)
		file_watch_request(probe.watch);
	gate_set(false, false);
	probe_run(&probe, WAIT_MS);
	ck_assert_uint_ge(probe.requested, 1);
	ck_assert_uint_le(probe.requested, 2);
	probe_close(&probe);
}
END_TEST

START_TEST(test_each_period_has_at_most_one_look)
{
	struct probe probe;
	uint32_t before;
	uint64_t began_ms;

	probe_open(&probe);
	before = gate_count(&gate.stats);
	began_ms = loop_now_ms();
	probe_run(&probe, WAIT_MS);
	ck_assert_uint_gt(gate_count(&gate.stats), before);
	ck_assert_uint_le(gate_count(&gate.stats) - before,
			  (loop_now_ms() - began_ms) / PERIOD_MS + 1);
	ck_assert_uint_eq(gate_count(&gate.reads), 0);
	probe_close(&probe);
}
END_TEST

START_TEST(test_fifo_is_reported_once)
{
	struct probe probe;

	probe_open(&probe);
	ck_assert_int_eq(g_unlink(probe.path), 0);
	ck_assert_int_eq(mkfifo(probe.path, 0600), 0);
	probe_run(&probe, WAIT_MS);
	ck_assert_uint_eq(probe.changes, 1);
	ck_assert_ptr_nonnull(strstr(probe.error, "a FIFO"));
	ck_assert_uint_eq(probe.stalls, 0);
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
	ck_assert_uint_eq(strlen(probe.text), strlen("a=1\n") * 41);
	probe_close(&probe);
}
END_TEST

/* Which operation does not return. */
static const struct {
	bool stat_closed;
	bool read_closed;
} stalls[] = { { true, false }, { false, true } };

START_TEST(test_stall_is_reported_once_and_holds_up_nothing)
{
	struct probe probe;
	uint32_t stat_count;
	uint32_t read_count;

	probe_open(&probe);
	gate_set(stalls[_i].stat_closed, stalls[_i].read_closed);
	on_tick(&probe);
	file_watch_request(probe.watch);
	probe_run(&probe, WAIT_MS);
	ck_assert_uint_eq(probe.stalls, 1);
	ck_assert_uint_eq(probe.resumes, 0);
	ck_assert_uint_eq(probe.requested, 0);
	ck_assert_uint_gt(probe.ticks, WAIT_MS / TICK_MS / 4);
	/* Neither changes nor requests lead to another operation. */
	stat_count = gate_count(&gate.stats);
	read_count = gate_count(&gate.reads);
	ck_assert(g_file_set_contents(probe.path, "a=2\n", -1, NULL));
	file_watch_request(probe.watch);
	probe_run(&probe, WAIT_MS);
	ck_assert_uint_eq(gate_count(&gate.stats), stat_count);
	ck_assert_uint_eq(gate_count(&gate.reads), read_count);
	ck_assert_uint_eq(probe.stalls, 1);
	gate_set(false, false);
	probe_run(&probe, WAIT_MS);
	ck_assert_uint_eq(probe.resumes, 1);
	ck_assert_uint_ge(probe.requested, 1);
	ck_assert_str_eq(probe.text, "a=2\n");
	/* A later stall is reported again. */
	gate_set(stalls[_i].stat_closed, stalls[_i].read_closed);
	file_watch_request(probe.watch);
	probe_run(&probe, WAIT_MS);
	ck_assert_uint_eq(probe.stalls, 2);
	gate_set(false, false);
	probe_run(&probe, WAIT_MS);
	ck_assert_uint_eq(probe.resumes, 2);
	probe_close(&probe);
}
END_TEST

START_TEST(test_destroy_does_not_wait_for_a_stalled_read)
{
	struct probe probe;
	uint64_t began_ms;

	probe_open(&probe);
	gate_set(stalls[_i].stat_closed, stalls[_i].read_closed);
	file_watch_request(probe.watch);
	probe_run(&probe, WAIT_MS);
	ck_assert_uint_eq(probe.stalls, 1);
	began_ms = loop_now_ms();
	probe_close(&probe);
	ck_assert_uint_lt(loop_now_ms() - began_ms, WAIT_MS);
	/* The thread ends on its own, and a leak checker finds nothing. */
	gate_set(false, false);
	g_usleep(WAIT_MS * 1000);
}
END_TEST

START_TEST(test_process_ends_during_a_stalled_read)
{
	struct probe probe;

	probe_open(&probe);
	gate_set(stalls[_i].stat_closed, stalls[_i].read_closed);
	file_watch_request(probe.watch);
	probe_run(&probe, WAIT_MS);
	ck_assert_uint_eq(probe.stalls, 1);
	probe_close(&probe);
	/* The test's process ends while the gate is closed. */
}
END_TEST

START_TEST(test_stall_at_the_start_delays_it_for_a_bounded_time)
{
	struct probe probe;
	uint64_t began_ms = loop_now_ms();

	gate_set(true, false);
	probe_open(&probe);
	ck_assert_uint_lt(loop_now_ms() - began_ms, WAIT_MS);
	probe_run(&probe, WAIT_MS);
	ck_assert_uint_eq(probe.stalls, 1);
	gate_set(false, false);
	probe_run(&probe, WAIT_MS);
	ck_assert_uint_eq(probe.resumes, 1);
	ck_assert_uint_eq(probe.changes, 0);
	probe_close(&probe);
}
END_TEST

START_TEST(test_destroy_ends_an_idle_thread)
{
	for (int i = 0; i < 20; i++) {
		struct probe probe;

		probe_open(&probe);
		if (i % 2 == 0)
			file_watch_request(probe.watch);
		probe_close(&probe);
	}
	file_watch_destroy(NULL);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("file_watch");
	TCase *tests = tcase_create("file_watch");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tests, 30);
	tcase_add_test(tests, test_each_change_is_reported_once);
	tcase_add_test(tests,
		       test_change_that_was_read_on_request_is_not_reported);
	tcase_add_test(tests, test_requests_are_answered_together);
	tcase_add_test(tests, test_each_period_has_at_most_one_look);
	tcase_add_test(tests, test_fifo_is_reported_once);
	tcase_add_test(
		tests,
		test_file_that_is_being_written_is_reported_when_complete);
	tcase_add_loop_test(tests,
			    test_stall_is_reported_once_and_holds_up_nothing, 0,
			    G_N_ELEMENTS(stalls));
	tcase_add_loop_test(tests,
			    test_destroy_does_not_wait_for_a_stalled_read, 0,
			    G_N_ELEMENTS(stalls));
	tcase_add_loop_test(tests, test_process_ends_during_a_stalled_read, 0,
			    G_N_ELEMENTS(stalls));
	tcase_add_test(tests,
		       test_stall_at_the_start_delays_it_for_a_bounded_time);
	tcase_add_test(tests, test_destroy_ends_an_idle_thread);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
