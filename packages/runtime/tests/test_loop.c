/**
 * @file test_loop.c
 * @brief The loop goes on with what a timer has begun, without another event.
 */
#include <check.h>
#include <sys/socket.h>

#include "loop.h"

/* What a callback of the loop may be late by on a busy machine. */
#define LATE_MAX_MS 300

struct probe {
	struct loop *loop;
	struct timer timer;
	h2o_socket_t *sock;
	uint64_t written_ms;
	uint64_t told_ms;
};

static void on_written(h2o_socket_t *sock, const char *err)
{
	struct probe *probe = sock->data;

	probe->told_ms = loop_now_ms();
	loop_stop(probe->loop);
}

static void on_timer(void *data)
{
	struct probe *probe = data;
	h2o_iovec_t text = h2o_iovec_init(H2O_STRLIT("text"));

	probe->written_ms = loop_now_ms();
	h2o_socket_write(probe->sock, &text, 1, on_written);
}

START_TEST(test_write_of_a_timer_is_told_at_once)
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
	ck_assert_uint_lt(probe.told_ms - probe.written_ms, LATE_MAX_MS);
	h2o_socket_close(probe.sock);
	loop_destroy(probe.loop);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("evl");
	TCase *tests = tcase_create("evl");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tests, test_write_of_a_timer_is_told_at_once);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
