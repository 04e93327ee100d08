/**
 * @file test_ingress_server.c
 * @brief Destroying a server while a connection is open must not lead to
 *        further callbacks, and destroying a drained one must not abort.
 *        Connections without a request give way to others at the bound, and
 *        requests that find no connection to spare are refused.
 */
#include <arpa/inet.h>
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ingress.h"

#define RUN_MS 100
#define CONNECTIONS_MAX 4
/* Connections beyond the bound whose requests are refused. */
#define REFUSALS 4

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
	response->status = 200;
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

static struct ingress_server *server_create(struct calls *calls)
{
	const struct ingress_config config = { .ip = "127.0.0.1",
					       .body_max_bytes = 1024,
					       .connections_max =
						       CONNECTIONS_MAX,
					       .idle_timeout_ms = 10000 };
	struct ingress_server *server;

	calls->loop = loop_create();
	ck_assert_int_eq(ingress_server_create(calls->loop, &config, &ops,
					       calls, &server),
			 ERR_NONE);
	return server;
}

START_TEST(test_destroyed_server_runs_no_callbacks)
{
	struct calls calls = { 0 };
	struct ingress_server *server = server_create(&calls);
	int fd;

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
	struct calls calls = { 0 };
	struct ingress_server *server = server_create(&calls);
	char response[512] = "";
	int fd;

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
	struct calls calls = { 0 };
	struct ingress_server *server = server_create(&calls);

	loop_run(calls.loop);
	ingress_server_drain(server);
	ingress_server_destroy(server);
	loop_destroy(calls.loop);
}
END_TEST

static struct ingress_counts server_counts(const struct ingress_server *server)
{
	struct ingress_counts counts;

	ingress_server_counts(server, &counts);
	return counts;
}

/* Frees what a server with requests in progress still uses. */
static void server_close(struct calls *calls, struct ingress_server *server,
			 const int *fds, size_t count)
{
	ingress_server_destroy(server);
	for (size_t i = 0; i < count; i++)
		close(fds[i]);
	loop_run(calls->loop);
	loop_destroy(calls->loop);
}

/* Reads what has arrived, as a string; empty if the connection was closed. */
static void caller_receive(int fd, char *text, size_t size)
{
	ssize_t len = recv(fd, text, size - 1, MSG_DONTWAIT);

	ck_assert_msg(len >= 0, "nothing has arrived");
	text[len] = '\0';
}

static bool caller_is_closed(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_DONTWAIT) == 0;
}

START_TEST(test_half_requests_give_way_to_new_connections)
{
	struct calls calls = { 0 };
	struct ingress_server *server = server_create(&calls);
	uint16_t port = ingress_server_port(server);
	char answer[1024];
	int fds[3 * CONNECTIONS_MAX];
	size_t count = G_N_ELEMENTS(fds);

	for (size_t i = 0; i < count; i++) {
		fds[i] = caller_connect(port);
		if (i < count - 1)
			ck_assert_int_eq(write(fds[i], "GET / HT", 8), 8);
	}
	caller_send(fds[count - 1], "/page");
	loop_run(calls.loop);
	ck_assert_uint_eq(calls.pages, 1);
	caller_receive(fds[count - 1], answer, sizeof(answer));
	ck_assert_ptr_nonnull(strstr(answer, "200"));
	ck_assert(caller_is_closed(fds[0]));
	ck_assert(caller_is_closed(fds[1]));
	ck_assert_uint_le(server_counts(server).open, CONNECTIONS_MAX + 1);
	ck_assert_uint_ge(server_counts(server).evicted,
			  count - CONNECTIONS_MAX - 1);
	server_close(&calls, server, fds, count);
}
END_TEST

/* The connections with requests in progress stay. */
START_TEST(test_requests_beyond_the_bound_are_refused_as_not_run)
{
	struct calls calls = { 0 };
	struct ingress_server *server = server_create(&calls);
	uint16_t port = ingress_server_port(server);
	char answer[1024];
	int fds[CONNECTIONS_MAX + REFUSALS];

	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
		fds[i] = caller_connect(port);
		caller_send(fds[i], "/draws");
		loop_run(calls.loop);
	}
	ck_assert_uint_eq(calls.requests, CONNECTIONS_MAX);
	ck_assert_uint_eq(server_counts(server).refused, REFUSALS);
	for (size_t i = CONNECTIONS_MAX; i < G_N_ELEMENTS(fds); i++) {
		caller_receive(fds[i], answer, sizeof(answer));
		ck_assert_ptr_nonnull(strstr(answer, "HTTP/1.1 503 "));
		ck_assert_ptr_nonnull(
			strstr(answer, "not-run; reason=connection-limit"));
		ck_assert_ptr_nonnull(strstr(answer, "retry-after: "));
		ck_assert(caller_is_closed(fds[i]));
	}
	ck_assert_uint_eq(server_counts(server).open, CONNECTIONS_MAX);
	ck_assert_uint_eq(server_counts(server).evicted, 0);
	server_close(&calls, server, fds, G_N_ELEMENTS(fds));
}
END_TEST

/* A connection that was answered is closed only after those that never had a
 * request, and a request that was sent meanwhile is answered. */
START_TEST(test_answered_connections_outlast_silent_ones)
{
	struct calls calls = { 0 };
	struct ingress_server *server = server_create(&calls);
	uint16_t port = ingress_server_port(server);
	char answer[1024];
	int fds[2 * CONNECTIONS_MAX];

	fds[0] = caller_connect(port);
	caller_send(fds[0], "/page");
	loop_run(calls.loop);
	caller_receive(fds[0], answer, sizeof(answer));
	for (size_t i = 1; i < G_N_ELEMENTS(fds); i++) {
		fds[i] = caller_connect(port);
		loop_run(calls.loop);
	}
	caller_send(fds[0], "/page");
	loop_run(calls.loop);
	ck_assert_uint_eq(calls.pages, 2);
	ck_assert_uint_ge(server_counts(server).evicted, 1);
	server_close(&calls, server, fds, G_N_ELEMENTS(fds));
}
END_TEST

/* With no descriptor left, accept fails; the loop must not call it again at
 * once, and must accept when a descriptor is free. */
START_TEST(test_accept_pauses_without_descriptors)
{
	struct calls calls = { 0 };
	struct ingress_server *server = server_create(&calls);
	struct rlimit before;
	struct rlimit none;
	int fd = caller_connect(ingress_server_port(server));

	caller_send(fd, "/page");
	ck_assert_int_eq(getrlimit(RLIMIT_NOFILE, &before), 0);
	none = before;
	none.rlim_cur = 0;
	ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &none), 0);
	loop_run(calls.loop);
	ck_assert_uint_eq(calls.pages, 0);
	ck_assert_uint_ge(server_counts(server).accept_pauses, 1);
	ck_assert_uint_le(server_counts(server).accept_pauses, 20);
	ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &before), 0);
	loop_run(calls.loop);
	ck_assert_uint_eq(calls.pages, 1);
	server_close(&calls, server, &fd, 1);
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
	tcase_add_test(tcase, test_half_requests_give_way_to_new_connections);
	tcase_add_test(tcase,
		       test_requests_beyond_the_bound_are_refused_as_not_run);
	tcase_add_test(tcase, test_answered_connections_outlast_silent_ones);
	tcase_add_test(tcase, test_accept_pauses_without_descriptors);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
