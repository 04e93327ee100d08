/**
 * @file test_ingress_server.c
 * @brief Destroying a server while a connection is open must not lead to
 *        further callbacks, and destroying a drained one must not abort.
 */
#include <arpa/inet.h>
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ingress.h"

#define RUN_MS 100

struct calls {
	struct loop *loop;
	uint32_t requests;
	uint32_t pages;
};

static void on_request(void *data, struct ingress_request *request)
{
	struct calls *calls = data;

	calls->requests++;
}

static bool on_page(void *data, const char *path,
		    struct ingress_response *response, GString *body)
{
	struct calls *calls = data;

	if (strcmp(path, "/page") != 0)
		return false;
	calls->pages++;
	return true;
}

static const struct ingress_ops ops = {
	.on_request = on_request,
	.on_disconnect = on_request,
	.on_page = on_page,
};

static void on_stop(void *data)
{
	loop_stop(data);
}

static void loop_run(struct loop *loop)
{
	struct timer timer = { .cb = on_stop, .data = loop };

	loop_timer_set(loop, &timer, RUN_MS);
	loop_run_until_stopped(loop);
}

static int caller_connect(uint16_t port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port),
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(connect(fd, (struct sockaddr *)&addr, sizeof(addr)),
			 0);
	return fd;
}

static void caller_send(int fd, const char *path)
{
	g_autofree char *text =
		g_strdup_printf("GET %s HTTP/1.1\r\nhost: test\r\n\r\n", path);

	ck_assert_int_eq(write(fd, text, strlen(text)), (ssize_t)strlen(text));
}

START_TEST(test_destroyed_server_runs_no_callbacks)
{
	const struct ingress_config config = { .ip = "127.0.0.1",
					       .body_max_bytes = 1024,
					       .connections_max = 4,
					       .idle_timeout_ms = 10000 };
	struct calls calls = { .loop = loop_create() };
	struct ingress_server *server;
	int fd;

	ck_assert_int_eq(ingress_server_create(calls.loop, &config, &ops,
					       &calls, &server),
			 ERR_NONE);
	fd = caller_connect(ingress_server_port(server));
	caller_send(fd, "/page");
	loop_run(calls.loop);
	ck_assert_uint_eq(calls.pages, 1);
	ingress_server_destroy(server);
	caller_send(fd, "/page");
	caller_send(fd, "/draws");
	loop_run(calls.loop);
	close(fd);
	loop_run(calls.loop);
	ck_assert_uint_eq(calls.pages, 1);
	ck_assert_uint_eq(calls.requests, 0);
	loop_destroy(calls.loop);
}
END_TEST

START_TEST(test_request_after_destruction_is_refused)
{
	const struct ingress_config config = { .ip = "127.0.0.1",
					       .body_max_bytes = 1024,
					       .connections_max = 4,
					       .idle_timeout_ms = 10000 };
	struct calls calls = { .loop = loop_create() };
	struct ingress_server *server;
	char response[512] = "";
	int fd;

	ck_assert_int_eq(ingress_server_create(calls.loop, &config, &ops,
					       &calls, &server),
			 ERR_NONE);
	fd = caller_connect(ingress_server_port(server));
	loop_run(calls.loop);
	ingress_server_destroy(server);
	caller_send(fd, "/draws");
	loop_run(calls.loop);
	ck_assert_int_gt(recv(fd, response, sizeof(response) - 1, MSG_DONTWAIT),
			 0);
	ck_assert_ptr_nonnull(strstr(response, "HTTP/1.1 503"));
	ck_assert_uint_eq(calls.requests, 0);
	close(fd);
	loop_run(calls.loop);
	loop_destroy(calls.loop);
}
END_TEST

START_TEST(test_drained_server_without_connections_is_destroyed)
{
	const struct ingress_config config = { .ip = "127.0.0.1",
					       .body_max_bytes = 1024,
					       .connections_max = 4,
					       .idle_timeout_ms = 10000 };
	struct calls calls = { .loop = loop_create() };
	struct ingress_server *server;

	ck_assert_int_eq(ingress_server_create(calls.loop, &config, &ops,
					       &calls, &server),
			 ERR_NONE);
	loop_run(calls.loop);
	ingress_server_drain(server);
	ingress_server_destroy(server);
	loop_destroy(calls.loop);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("ingress_server");
	TCase *tcase = tcase_create("ingress");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_destroyed_server_runs_no_callbacks);
	tcase_add_test(tcase, test_request_after_destruction_is_refused);
	tcase_add_test(tcase,
		       test_drained_server_without_connections_is_destroyed);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
