/**
 * @file bare.c
 * @brief A bare h2o server that answers each request with its own body.
 *
 * The baseline that an entry's requests a second are compared with.
 */
#include <signal.h>
#include <stdio.h>

#include "cfg.h"
#include "loop.h"

struct bare {
	h2o_globalconf_t config;
	h2o_context_t ctx;
	h2o_accept_ctx_t accept_ctx;
};

/* As backend servers do, so that connections to them may be reused. */
static void request_id_echo(h2o_req_t *req)
{
	ssize_t at = h2o_find_header_by_str(&req->headers,
					    H2O_STRLIT("x-request-id"), -1);

	if (at >= 0)
		h2o_add_header_by_str(&req->pool, &req->res.headers,
				      H2O_STRLIT("x-request-id"), 0, NULL,
				      req->headers.entries[at].value.base,
				      req->headers.entries[at].value.len);
}

static int on_req(h2o_handler_t *self, h2o_req_t *req)
{
	req->res.status = 200;
	req->res.reason = "OK";
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
		       NULL, H2O_STRLIT("text/plain"));
	request_id_echo(req);
	req->res.content_length = req->entity.len;
	h2o_send_inline(req, req->entity.base, req->entity.len);
	return 0;
}

static void on_accept(h2o_socket_t *listener, const char *err)
{
	struct bare *bare = listener->data;
	h2o_socket_t *sock;

	while (!err && (sock = h2o_evloop_socket_accept(listener)))
		h2o_accept(&bare->accept_ctx, sock);
}

static void server_configure(struct bare *bare, struct loop *loop)
{
	h2o_hostconf_t *host;

	h2o_config_init(&bare->config);
	host = h2o_config_register_host(
		&bare->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	h2o_create_handler(h2o_config_register_path(host, "/", 0),
			   sizeof(h2o_handler_t))
		->on_req = on_req;
	h2o_context_init(&bare->ctx, loop_h2o(loop), &bare->config);
	bare->accept_ctx.ctx = &bare->ctx;
	bare->accept_ctx.hosts = bare->config.hosts;
}

int main(int argc, char **argv)
{
	struct loop *loop = loop_create();
	struct bare bare = { 0 };
	struct cfg_endpoint listen;
	h2o_socket_t *listener;

	signal(SIGPIPE, SIG_IGN);
	if (argc != 2 || !cfg_endpoint_parse(argv[1], &listen)) {
		fputs("usage: bench_bare IP:PORT\n", stderr);
		return 2;
	}
	server_configure(&bare, loop);
	if (loop_listen(loop, listen.ip, listen.port, on_accept, &bare,
			&listener) != ERR_NONE)
		return 1;
	loop_run_until_stopped(loop);
	return 0;
}
