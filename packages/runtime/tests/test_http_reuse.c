/**
 * @file test_http_reuse.c
 * @brief Which connection carries a call, with a server on threads of its own.
 */
#include <check.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_client.h"

#define CALLS 100
#define CHANNEL 7

static const char reply[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

struct server {
	int listener;
	uint16_t port;
	/* responses on one connection, which is closed after the last one */
	int responses_max;
	gint connections;
};

struct accepted {
	struct server *server;
	int fd;
};

/* Responds at once, also while the client's loop does something else. */
static gpointer connection_serve(gpointer data)
{
	g_autofree struct accepted *accepted = data;
	const ssize_t len = sizeof(reply) - 1;
	char request[512];

	for (int i = 0; i < accepted->server->responses_max; i++) {
		if (read(accepted->fd, request, sizeof(request)) <= 0 ||
		    write(accepted->fd, reply, (size_t)len) != len)
			break;
	}
	close(accepted->fd);
	return NULL;
}

static gpointer connections_accept(gpointer data)
{
	struct server *server = data;

	while (true) {
		struct accepted *accepted = g_new0(struct accepted, 1);

		accepted->server = server;
		accepted->fd = accept(server->listener, NULL, NULL);
		g_atomic_int_inc(&server->connections);
		g_thread_unref(
			g_thread_new("connection", connection_serve, accepted));
	}
	return NULL;
}

static void server_start(struct server *server)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t addr_len = sizeof(addr);

	server->listener = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(
		bind(server->listener, (struct sockaddr *)&addr, addr_len), 0);
	ck_assert_int_eq(listen(server->listener, 8), 0);
	getsockname(server->listener, (struct sockaddr *)&addr, &addr_len);
	server->port = ntohs(addr.sin_port);
	g_thread_unref(g_thread_new("server", connections_accept, server));
}

struct call_end {
	struct loop *loop;
	enum err_kind err;
	bool sent;
	uint64_t connection;
};

static void on_end(void *data, enum err_kind err, bool sent,
		   const struct http_client_response *response)
{
	struct call_end *end = data;

	end->err = err;
	end->sent = sent;
	end->connection = response ? response->connection : 0;
	loop_stop(end->loop);
}

struct fixture {
	struct loop *loop;
	struct http_client *client;
	struct http_client_request request;
	struct server server;
};

/* The server runs until the process of the test exits. */
static void fixture_open(struct fixture *fixture, int responses_max)
{
	fixture->server.responses_max = responses_max;
	server_start(&fixture->server);
	fixture->loop = loop_create();
	fixture->client = http_client_create(fixture->loop);
	http_client_set_reuse(fixture->client, "127.0.0.1",
			      fixture->server.port, true);
	fixture->request = (struct http_client_request){
		.method = "GET",
		.path = "/",
		.ip = "127.0.0.1",
		.port = fixture->server.port,
		.timeout_ms = 1000,
		.response_max_bytes = 32,
		.reuse_max = 4,
	};
}

/* The server responds before the loop runs. */
static struct call_end call(struct fixture *fixture, uint64_t channel,
			    uint64_t connection)
{
	struct call_end end = { .loop = fixture->loop };

	fixture->request.channel = channel;
	fixture->request.connection = connection;
	http_client_call_start(fixture->client, &fixture->request, on_end,
			       &end);
	g_usleep(2000);
	loop_run_until_stopped(fixture->loop);
	return end;
}

static int connections(struct fixture *fixture)
{
	return g_atomic_int_get(&fixture->server.connections);
}

/* A response that arrives before the loop has reported that its request was
 * written must not end the reuse of the connection. */
START_TEST(test_prompt_response_keeps_the_connection)
{
	static struct fixture fixture;

	fixture_open(&fixture, CALLS);
	for (int i = 0; i < CALLS; i++)
		ck_assert_uint_ne(call(&fixture, 0, 0).connection, 0);
	ck_assert_int_eq(connections(&fixture), 1);
}
END_TEST

/* A call that names a connection goes over it or over none, and a call without
 * its channel does not take it. */
START_TEST(test_named_connection_carries_the_call)
{
	static struct fixture fixture;
	struct call_end end;
	uint64_t named;

	fixture_open(&fixture, 3);
	named = call(&fixture, CHANNEL, 0).connection;
	ck_assert_uint_ne(named, 0);
	ck_assert_uint_ne(call(&fixture, 0, 0).connection, named);
	ck_assert_uint_eq(call(&fixture, CHANNEL, named).connection, named);
	/* The server closes it after this response. */
	ck_assert_int_eq(call(&fixture, CHANNEL, named).err, ERR_NONE);
	ck_assert_int_eq(call(&fixture, 0, 0).err, ERR_NONE);
	end = call(&fixture, CHANNEL, named);
	ck_assert_int_eq(end.err, ERR_CONNECT);
	ck_assert(!end.sent);
	ck_assert_int_eq(connections(&fixture), 2);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("http_reuse");
	TCase *tcase = tcase_create("http_reuse");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_prompt_response_keeps_the_connection);
	tcase_add_test(tcase, test_named_connection_carries_the_call);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
