/**
 * @file test_http_conn.c
 * @brief Calls over kept connections, against a server that plays a script.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "http_client.h"

/* What a server answers to one request. */
struct script {
	const char *answer;
	/* closes the connection after it */
	bool closes;
	/* calls that this server got, and connections that it took */
	uint32_t requests;
	uint32_t connections;
};

struct end {
	struct loop *loop;
	enum err_kind err;
	bool sent;
	uint16_t status;
	char body[64];
	char x_name[64];
};

static void on_server_written(h2o_socket_t *sock, const char *err)
{
	const struct script *script = sock->data;

	if (script->closes)
		h2o_socket_close(sock);
}

static void on_server_read(h2o_socket_t *sock, const char *err)
{
	struct script *script = sock->data;
	h2o_iovec_t vec;

	if (err) {
		h2o_socket_close(sock);
		return;
	}
	h2o_buffer_consume(&sock->input, sock->input->size);
	script->requests++;
	vec = h2o_iovec_init(script->answer, strlen(script->answer));
	if (vec.len > 0)
		h2o_socket_write(sock, &vec, 1, on_server_written);
	else if (script->closes)
		h2o_socket_close(sock);
}

static void on_accept(h2o_socket_t *listener, const char *err)
{
	h2o_socket_t *sock = h2o_evloop_socket_accept(listener);
	struct script *script = listener->data;

	if (!sock)
		return;
	script->connections++;
	sock->data = script;
	h2o_socket_read_start(sock, on_server_read);
}

static void on_end(void *data, enum err_kind err, bool sent,
		   const struct http_client_response *answer)
{
	struct end *end = data;
	const char *x_name =
		answer ? http_client_response_header(answer, "x-name") : NULL;

	end->err = err;
	end->sent = sent;
	end->status = answer ? answer->status : 0;
	g_strlcpy(end->x_name, x_name ? x_name : "", sizeof(end->x_name));
	end->body[0] = '\0';
	if (answer && answer->body_len > 0) {
		ck_assert_uint_lt(answer->body_len, sizeof(end->body));
		memcpy(end->body, answer->body, answer->body_len);
		end->body[answer->body_len] = '\0';
	}
	loop_stop(end->loop);
}

/* A client and a scripted server on one loop. */
struct bench {
	struct loop *loop;
	struct http_client *client;
	h2o_socket_t *listener;
	uint16_t port;
	struct script script;
};

static struct bench *bench_create(void)
{
	struct bench *bench = g_new0(struct bench, 1);

	bench->loop = loop_create();
	bench->client = http_client_create(bench->loop);
	ck_assert_int_eq(loop_listen(bench->loop, "127.0.0.1", 0, on_accept,
				     &bench->script, &bench->listener),
			 ERR_NONE);
	bench->port = loop_listen_port(bench->listener);
	http_client_set_reuse(bench->client, "127.0.0.1", bench->port, true);
	return bench;
}

static void bench_destroy(struct bench *bench)
{
	http_client_destroy(bench->client);
	h2o_socket_close(bench->listener);
	loop_destroy(bench->loop);
	g_free(bench);
}

static struct end call_with(struct bench *bench, const char *method,
			    uint32_t timeout_ms)
{
	struct end end = { .loop = bench->loop };
	const struct http_client_request request = {
		.method = method,
		.path = "/",
		.ip = "127.0.0.1",
		.port = bench->port,
		.timeout_ms = timeout_ms,
		.response_max_bytes = 32,
		.reuse_max = 4,
	};

	http_client_call_start(bench->client, &request, on_end, &end);
	loop_run_until_stopped(bench->loop);
	return end;
}

static struct end call(struct bench *bench)
{
	return call_with(bench, "GET", 5000);
}

/* Lets the loop run for a while, so that it learns of closed connections. */
static void on_pause_over(void *data)
{
	loop_stop(data);
}

static void pause_ms(struct bench *bench, uint32_t ms)
{
	struct timer timer = { .cb = on_pause_over, .data = bench->loop };

	loop_timer_set(bench->loop, &timer, ms);
	loop_run_until_stopped(bench->loop);
}

START_TEST(test_one_connection_carries_many_calls)
{
	struct bench *bench = bench_create();

	bench->script.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
			       "X-Name: value\r\nx-empty:\r\n\r\nhi";
	for (int i = 0; i < 20; i++) {
		struct end end = call(bench);

		ck_assert_int_eq(end.err, ERR_NONE);
		ck_assert_uint_eq(end.status, 200);
		ck_assert_str_eq(end.body, "hi");
		ck_assert_str_eq(end.x_name, "value");
	}
	ck_assert_uint_eq(bench->script.requests, 20);
	ck_assert_uint_eq(bench->script.connections, 1);
	bench_destroy(bench);
}
END_TEST

START_TEST(test_close_by_the_server_ends_reuse)
{
	struct bench *bench = bench_create();

	bench->script.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
	bench->script.closes = true;
	for (int i = 0; i < 5; i++) {
		ck_assert_int_eq(call(bench).err, ERR_NONE);
		pause_ms(bench, 20);
	}
	ck_assert_uint_eq(bench->script.connections, 5);
	bench_destroy(bench);
}
END_TEST

START_TEST(test_header_asks_for_close)
{
	struct bench *bench = bench_create();

	bench->script.answer = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
			       "Content-Length: 2\r\n\r\nhi";
	for (int i = 0; i < 3; i++)
		ck_assert_int_eq(call(bench).err, ERR_NONE);
	ck_assert_uint_eq(bench->script.connections, 3);
	bench_destroy(bench);
}
END_TEST

/* Bytes beyond an answer are no answer to the next request. */
START_TEST(test_bytes_left_over_end_reuse)
{
	struct bench *bench = bench_create();

	bench->script.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
			       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno";
	for (int i = 0; i < 3; i++)
		ck_assert_str_eq(call(bench).body, "hi");
	ck_assert_uint_eq(bench->script.connections, 3);
	bench_destroy(bench);
}
END_TEST

/* An answer and what the call must end with. */
struct form {
	const char *method;
	const char *answer;
	bool closes;
	enum err_kind err;
	uint16_t status;
	const char *body;
};

static const struct form forms[] = {
	{ "GET",
	  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "2\r\nhi\r\n1\r\n!\r\n0\r\n\r\n",
	  false, ERR_NONE, 200, "hi!" },
	{ "GET", "HTTP/1.1 204 No Content\r\n\r\n", false, ERR_NONE, 204, "" },
	{ "GET", "HTTP/1.1 304 Not Modified\r\n\r\n", false, ERR_NONE, 304,
	  "" },
	{ "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", false,
	  ERR_NONE, 200, "" },
	{ "GET",
	  "HTTP/1.1 100 Continue\r\n\r\n"
	  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
	  false, ERR_NONE, 200, "hi" },
	/* Where only the end of the stream ends the answer, it may be a cut. */
	{ "GET", "HTTP/1.1 200 OK\r\n\r\nhi", true, ERR_CUT, 0, "" },
	{ "GET", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi", true,
	  ERR_CUT, 0, "" },
	{ "GET", "HTTP/1.1 20", true, ERR_CUT, 0, "" },
	{ "GET", "", true, ERR_CUT, 0, "" },
	{ "GET", "this is not HTTP\r\n\r\n", false, ERR_CUT, 0, "" },
	{ "GET",
	  "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n"
	  "0123456789012345678901234567890123456789",
	  false, ERR_TOO_LARGE, 0, "" },
};

START_TEST(test_forms_of_answers)
{
	const struct form *form = &forms[_i];
	struct bench *bench = bench_create();
	struct end end;

	bench->script.answer = form->answer;
	bench->script.closes = form->closes;
	end = call_with(bench, form->method, 5000);
	ck_assert_int_eq(end.err, form->err);
	ck_assert(end.sent);
	ck_assert_uint_eq(end.status, form->status);
	ck_assert_str_eq(end.body, form->body);
	bench_destroy(bench);
}
END_TEST

START_TEST(test_silent_server_is_left_at_the_deadline)
{
	struct bench *bench = bench_create();
	struct end end;

	bench->script.answer = "";
	end = call_with(bench, "GET", 50);
	ck_assert_int_eq(end.err, ERR_TIMEOUT);
	ck_assert(end.sent);
	/* What comes late on that connection is for nobody. */
	bench->script.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
	ck_assert_int_eq(call(bench).err, ERR_NONE);
	ck_assert_uint_eq(bench->script.connections, 2);
	bench_destroy(bench);
}
END_TEST

START_TEST(test_idle_connections_end)
{
	struct bench *bench = bench_create();

	http_client_set_idle_max(bench->client, 30);
	bench->script.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
	ck_assert_int_eq(call(bench).err, ERR_NONE);
	pause_ms(bench, 60);
	ck_assert_int_eq(call(bench).err, ERR_NONE);
	ck_assert_uint_eq(bench->script.connections, 2);
	bench_destroy(bench);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("hcn");
	TCase *tcase = tcase_create("hcn");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_one_connection_carries_many_calls);
	tcase_add_test(tcase, test_close_by_the_server_ends_reuse);
	tcase_add_test(tcase, test_header_asks_for_close);
	tcase_add_test(tcase, test_bytes_left_over_end_reuse);
	tcase_add_loop_test(tcase, test_forms_of_answers, 0,
			    (int)G_N_ELEMENTS(forms));
	tcase_add_test(tcase, test_silent_server_is_left_at_the_deadline);
	tcase_add_test(tcase, test_idle_connections_end);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
