/**
 * @file test_loop.c
 * @brief A write started by a timer callback completes without another event;
 *        a loop that stood still says so.
 *
 * h2o runs the write callback only in its next iteration. If the loop waited
 * for events there, the callback would be late by the whole wait.
 */
#include <check.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loop.h"

/* Allowed delay of a callback on a busy machine. */
#define DELAY_MAX_MS 300

struct probe {
	struct loop *loop;
	struct timer timer;
	h2o_socket_t *sock;
	uint64_t written_ms;
	uint64_t callback_ms;
};

static void on_written(h2o_socket_t *sock, const char *err)
{
	struct probe *probe = sock->data;

	probe->callback_ms = loop_now_ms();
	loop_stop(probe->loop);
}

static void on_timer(void *data)
{
	struct probe *probe = data;
	h2o_iovec_t text = h2o_iovec_init(H2O_STRLIT("text"));

	probe->written_ms = loop_now_ms();
	h2o_socket_write(probe->sock, &text, 1, on_written);
}

START_TEST(test_write_of_a_timer_completes_at_once)
{
	struct probe probe = { .loop = loop_create() };
	int ends[2];

	ck_assert_int_eq(
		socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends), 0);
	probe.sock = h2o_evloop_socket_create(loop_h2o(probe.loop), ends[0], 0);
	probe.sock->data = &probe;
	probe.timer.cb = on_timer;
	probe.timer.data = &probe;
	loop_timer_set(probe.loop, &probe.timer, 20);
	loop_run_until_stopped(probe.loop);
	ck_assert_uint_lt(probe.callback_ms - probe.written_ms, DELAY_MAX_MS);
	h2o_socket_close(probe.sock);
	loop_destroy(probe.loop);
}
END_TEST

#define STALL_MS 700
#define SHORT_MS 10

struct stall {
	struct loop *loop;
	struct timer timer;
	uint32_t timers;
	char line[512];
	uint32_t lines;
};

static GLogWriterOutput on_log(GLogLevelFlags level, const GLogField *fields,
			       gsize count, gpointer data)
{
	struct stall *stall = data;

	for (gsize i = 0; i < count; i++) {
		const char *value = fields[i].value;

		if (strcmp(fields[i].key, "EVENT") == 0)
			stall->lines += strcmp(value, "loop-stalled") == 0;
		else if (strcmp(fields[i].key, "MESSAGE") == 0 &&
			 !stall->line[0])
			g_strlcpy(stall->line, value, sizeof(stall->line));
	}
	return G_LOG_WRITER_HANDLED;
}

static void on_signal(void *data, int signo)
{
}

static void on_stall_timer(void *data)
{
	struct stall *stall = data;

	if (stall->timers++ == 5)
		usleep(STALL_MS * 1000);
	if (stall->timers < 10)
		loop_timer_set(stall->loop, &stall->timer, SHORT_MS);
	else
		loop_stop(stall->loop);
}

START_TEST(test_stall_is_reported)
{
	struct stall stall = { .loop = loop_create() };
	g_autoptr(GString) metrics = g_string_new(NULL);
	unsigned int late_ms = 0;
	unsigned int waited_ms;
	unsigned int cpu_ms = STALL_MS;

	g_log_set_writer_func(on_log, &stall, NULL);
	ck_assert_int_eq(loop_signals_watch(stall.loop, on_signal, NULL),
			 ERR_NONE);
	stall.timer.cb = on_stall_timer;
	stall.timer.data = &stall;
	loop_timer_set(stall.loop, &stall.timer, SHORT_MS);
	loop_run_until_stopped(stall.loop);
	ck_assert_uint_ge(stall.lines, 1);
	ck_assert_int_eq(
		sscanf(stall.line,
		       "the process did nothing on time for %u ms, after a "
		       "wait of %u ms; it used %u ms of CPU",
		       &late_ms, &waited_ms, &cpu_ms),
		3);
	ck_assert_uint_ge(late_ms, STALL_MS - SHORT_MS);
	ck_assert_uint_lt(cpu_ms, STALL_MS / 2);
	loop_metrics_append(stall.loop, metrics);
	ck_assert_ptr_null(
		strstr(metrics->str, "sassafrascart_loop_stall_ms_count{} 0"));
	loop_destroy(stall.loop);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("loop");
	TCase *tests = tcase_create("loop");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tests, test_write_of_a_timer_completes_at_once);
	tcase_add_test(tests, test_stall_is_reported);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
