#include "http_server.h"

#include <string.h>

#define HTTP_SERVER_BODY_MAX_BYTES (16u * 1024u * 1024u)
#define HTTP_SERVER_IDLE_MS 600000

struct http_server {
	http_server_cb cb;
	void *data;
	h2o_globalconf_t config;
	h2o_context_t ctx;
	h2o_accept_ctx_t accept_ctx;
};

struct http_server_handler {
	h2o_handler_t super;
	struct http_server *server;
};

static int on_req(h2o_handler_t *self, h2o_req_t *req)
{
	struct http_server *server =
		((struct http_server_handler *)self)->server;

	server->cb(server->data, req);
	return 0;
}

static void on_accept(h2o_socket_t *listener, const char *err)
{
	struct http_server *server = listener->data;
	h2o_socket_t *sock;

	while (!err && (sock = h2o_evloop_socket_accept(listener)))
		h2o_accept(&server->accept_ctx, sock);
}

uint16_t http_server_start(struct loop *loop, const char *ip, uint16_t port,
			   http_server_cb cb, void *data)
{
	struct http_server *server = g_new0(struct http_server, 1);
	struct http_server_handler *handler;
	h2o_socket_t *listener;
	h2o_hostconf_t *host;

	server->cb = cb;
	server->data = data;
	h2o_config_init(&server->config);
	server->config.max_request_entity_size = HTTP_SERVER_BODY_MAX_BYTES;
	server->config.http1.req_timeout = HTTP_SERVER_IDLE_MS;
	host = h2o_config_register_host(
		&server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	handler = (struct http_server_handler *)h2o_create_handler(
		h2o_config_register_path(host, "/", 0), sizeof(*handler));
	handler->super.on_req = on_req;
	handler->server = server;
	h2o_context_init(&server->ctx, loop_h2o(loop), &server->config);
	server->accept_ctx.ctx = &server->ctx;
	server->accept_ctx.hosts = server->config.hosts;
	if (loop_listen(loop, ip, port, on_accept, server, &listener) !=
	    ERR_NONE)
		return 0;
	return loop_listen_port(listener);
}

void http_server_respond(h2o_req_t *req, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT | JSON_ENCODE_ANY);

	req->res.status = status;
	req->res.reason = "OK";
	req->res.content_length = strlen(text);
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
		       NULL, H2O_STRLIT("application/json"));
	h2o_send_inline(req, text, strlen(text));
	free(text);
	json_decref(body);
}

bool http_server_request_matches(const h2o_req_t *req, const char *method,
				 const char *path)
{
	size_t path_len =
		req->query_at == SIZE_MAX ? req->path.len : req->query_at;

	return h2o_memis(req->method.base, req->method.len, method,
			 strlen(method)) &&
	       h2o_memis(req->path.base, path_len, path, strlen(path));
}
