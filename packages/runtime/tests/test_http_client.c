#include <check.h>
#include <stdlib.h>

#include "http_client.h"

struct end {
	struct loop *loop;
	enum err_kind err;
	bool sent;
};

static void on_accept(h2o_socket_t *listener, const char *err)
{
}

static void on_end(void *data, enum err_kind err, bool sent,
		   const struct http_client_response *answer)
{
	struct end *end = data;

	end->err = err;
	end->sent = sent;
	loop_stop(end->loop);
}

static bool never(void *data)
{
	return false;
}

START_TEST(test_call_that_may_not_be_sent)
{
	struct end end = { .loop = loop_create() };
	struct http_client *client = http_client_create(end.loop);
	h2o_socket_t *listener;
	struct http_client_request request = {
		.method = "GET",
		.path = "/",
		.ip = "127.0.0.1",
		.timeout_ms = 5000,
		.may_send = never,
	};

	ck_assert_int_eq(loop_listen(end.loop, "127.0.0.1", 0, on_accept, NULL,
				     &listener),
			 ERR_NONE);
	request.port = loop_listen_port(listener);
	for (int i = 0; i < 20; i++) {
		http_client_call_start(client, &request, on_end, &end);
		loop_run_until_stopped(end.loop);
		ck_assert_int_eq(end.err, ERR_CONNECT);
		ck_assert(!end.sent);
	}
	h2o_socket_close(listener);
	http_client_destroy(client);
	loop_destroy(end.loop);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("hcl");
	TCase *tcase = tcase_create("hcl");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_call_that_may_not_be_sent);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
