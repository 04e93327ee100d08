#include "ingress.h"

#include <string.h>

#include "http_syntax.h"
#include "ingress_private.h"
#include "socket_state.h"

/* Retry-After of a request that is refused for want of connections. */
#define INGRESS_RETRY_AFTER_S 1

struct ingress_request {
	struct ingress_server *server;
	h2o_req_t *req;
	struct ingress_view view;
	void *data;
	bool answered;
};

/* h2o handler extended by a pointer to its server. */
struct ingress_handler {
	h2o_handler_t super;
	struct ingress_server *server;
};

static char *req_strdup(h2o_req_t *req, h2o_iovec_t text)
{
	return h2o_strdup(&req->pool, text.base, text.len).base;
}

static h2o_iovec_t path_without_query(const h2o_req_t *req)
{
	return req->path_normalized;
}

static void headers_fill(struct ingress_request *request)
{
	h2o_req_t *req = request->req;
	struct ingress_header *headers = h2o_mem_alloc_pool(
		&req->pool, sizeof(*headers) * (req->headers.size + 1));

	for (size_t i = 0; i < req->headers.size; i++) {
		const h2o_header_t *header = &req->headers.entries[i];

		headers[i].name = req_strdup(req, *header->name);
		headers[i].value = req_strdup(req, header->value);
	}
	request->view.headers = headers;
	request->view.header_count = (uint32_t)req->headers.size;
}

static size_t head_bytes(const h2o_req_t *req)
{
	size_t bytes = req->path.len;

	for (size_t i = 0; i < req->headers.size; i++)
		bytes += req->headers.entries[i].name->len +
			 req->headers.entries[i].value.len;
	return bytes;
}

static void view_fill(struct ingress_request *request)
{
	h2o_req_t *req = request->req;
	struct ingress_view *view = &request->view;

	view->method = req_strdup(req, req->method);
	view->authority = req_strdup(req, req->authority);
	view->target = req_strdup(req, req->path);
	view->path = req_strdup(req, path_without_query(req));
	view->body = req->entity.base;
	view->body_bytes = req->entity.len;
	view->head_bytes = head_bytes(req);
	headers_fill(request);
}

static bool header_is_valid(const h2o_header_t *header)
{
	return http_syntax_is_token(header->name->base, header->name->len) &&
	       http_syntax_is_value(header->value.base, header->value.len);
}

static bool request_is_valid(const h2o_req_t *req)
{
	if (!http_syntax_is_token(req->method.base, req->method.len) ||
	    !http_syntax_is_target(req->path.base, req->path.len) ||
	    head_bytes(req) > INGRESS_HEAD_MAX_BYTES)
		return false;
	for (size_t i = 0; i < req->headers.size; i++) {
		if (!header_is_valid(&req->headers.entries[i]))
			return false;
	}
	return true;
}

static void on_request_dispose(void *memory)
{
	struct ingress_request *request = memory;

	request->server->open_requests--;
	if (request->answered)
		return;
	request->answered = true;
	request->server->ops->on_disconnect(request->server->data, request);
}

static bool page_send(struct ingress_server *server, h2o_req_t *req)
{
	g_autofree char *path =
		g_strndup(req->path_normalized.base, req->path_normalized.len);
	GString *body = g_string_new(NULL);
	struct ingress_response page = { .status = 200 };
	bool found = server->ops->on_page(server->data, path, &page, body);

	if (found) {
		req->res.status = page.status;
		req->res.reason = "Page";
		h2o_add_header(&req->pool, &req->res.headers,
			       H2O_TOKEN_CONTENT_TYPE, NULL,
			       H2O_STRLIT("text/plain; charset=utf-8"));
		req->res.content_length = body->len;
		h2o_send_inline(req, body->str, body->len);
	}
	g_string_free(body, TRUE);
	return found;
}

static int on_req(h2o_handler_t *self, h2o_req_t *req)
{
	struct ingress_server *server =
		((struct ingress_handler *)self)->server;
	struct ingress_connection *connection = ingress_connection_hold(req);
	struct ingress_request *request;

	server->events++;
	if (page_send(server, req))
		return 0;
	request = h2o_mem_alloc_shared(&req->pool, sizeof(*request),
				       on_request_dispose);
	memset(request, 0, sizeof(*request));
	request->server = server;
	server->open_requests++;
	request->req = req;
	if (ingress_connection_is_refused(connection)) {
		server->counts.refused++;
		req->http1_is_persistent = 0;
		ingress_request_reject(request, OUTCOME_CONNECTION_LIMIT,
				       INGRESS_RETRY_AFTER_S);
		return 0;
	}
	if (!request_is_valid(req)) {
		ingress_request_reject(request, OUTCOME_BAD_REQUEST, 1);
		return 0;
	}
	view_fill(request);
	server->ops->on_request(server->data, request);
	return 0;
}

static void server_configure(struct ingress_server *server,
			     const struct ingress_config *config)
{
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	struct ingress_handler *handler;

	h2o_config_init(&server->config);
	server->config.max_request_entity_size = config->body_max_bytes;
	server->config.http1.req_timeout = config->idle_timeout_ms;
	server->config.http2.idle_timeout = config->idle_timeout_ms;
	server->config.server_name =
		h2o_iovec_init(H2O_STRLIT("sassafrascart"));
	host = h2o_config_register_host(
		&server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	handler = (struct ingress_handler *)h2o_create_handler(
		path, sizeof(*handler));
	handler->super.on_req = on_req;
	handler->server = server;
}

enum err_kind ingress_server_create(struct loop *loop,
				    const struct ingress_config *config,
				    const struct ingress_ops *ops, void *data,
				    struct ingress_server **out)
{
	struct ingress_server *server = g_new0(struct ingress_server, 1);
	enum err_kind err;

	server->loop = loop;
	server->ops = ops;
	server->data = data;
	server->connections_max = config->connections_max;
	server->input_max_bytes = config->input_max_bytes > 0
					  ? config->input_max_bytes
					  : UINT64_MAX;
	err = ingress_accept_start(server, config->ip, config->port);
	if (err != ERR_NONE) {
		g_free(server);
		return err;
	}
	server_configure(server, config);
	h2o_context_init(&server->ctx, loop_h2o(loop), &server->config);
	server->accept_ctx.ctx = &server->ctx;
	server->accept_ctx.hosts = server->config.hosts;
	*out = server;
	return ERR_NONE;
}

/* A request that is read in the last iteration of the loop must not end without
 * an answer. */
static void late_request_reject(void *data, struct ingress_request *request)
{
	ingress_request_reject(request, OUTCOME_SHUTTING_DOWN, 1);
}

static void no_op_disconnect(void *data, struct ingress_request *request)
{
}

static bool no_op_page(void *data, const char *path,
		       struct ingress_response *response, GString *body)
{
	return false;
}

/* Used for connections that are still open when the server is destroyed. */
static const struct ingress_ops no_ops = {
	.on_request = late_request_reject,
	.on_disconnect = no_op_disconnect,
	.on_page = no_op_page,
};

void ingress_server_destroy(struct ingress_server *server)
{
	if (!server)
		return;
	ingress_accept_stop(server);
	server->ops = &no_ops;
	/*
	 * h2o 2.2.5 cannot close the connections of a context. If any are
	 * open, the context must stay allocated until the process exits.
	 */
	if (!h2o_linklist_is_empty(&server->ctx.http1._conns) ||
	    !h2o_linklist_is_empty(&server->ctx.http2._conns))
		return;
	/* Set by a shutdown request and only cleared when it fires; a timeout
	 * list must be empty when it is freed. */
	h2o_timeout_unlink(&server->ctx.http2._graceful_shutdown_timeout);
	h2o_context_dispose(&server->ctx);
	h2o_config_dispose(&server->config);
	g_free(server);
}

void ingress_server_counts(const struct ingress_server *server,
			   struct ingress_counts *out)
{
	*out = server->counts;
	if (server->acceptor)
		out->accept_pauses = acceptor_pause_count(server->acceptor);
}

void ingress_server_metrics_append(const struct ingress_server *server,
				   const char *port, GString *out)
{
	struct ingress_counts counts;

	ingress_server_counts(server, &counts);

	const struct {
		const char *name;
		uint64_t value;
	} metrics[] = {
		{ "connections_open", counts.open },
		{ "connections_bound", server->connections_max },
		{ "connections_refused_total", counts.refused },
		{ "connections_half_sent_total", counts.half_sent },
		{ "connections_evicted_total", counts.evicted },
		{ "accept_pauses_total", counts.accept_pauses },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(metrics); i++)
		g_string_append_printf(out,
				       "sassafrascart_%s{port=\"%s\"} "
				       "%" G_GUINT64_FORMAT "\n",
				       metrics[i].name, port, metrics[i].value);
}

uint16_t ingress_server_port(const struct ingress_server *server)
{
	return server->port;
}

void ingress_server_drain(struct ingress_server *server)
{
	if (server->shutting_down)
		return;
	server->shutting_down = true;
	h2o_context_request_shutdown(&server->ctx);
}

void ingress_server_close_listener(struct ingress_server *server)
{
	ingress_accept_close(server);
}

bool ingress_server_is_quiet(const struct ingress_server *server,
			     struct ingress_quiet *quiet, uint32_t looks)
{
	bool changed = quiet->events != server->events;

	quiet->events = server->events;
	if (changed || server->open_requests > 0 || server->acceptor)
		quiet->looks = 0;
	else
		quiet->looks++;
	return quiet->looks >= looks;
}

uint32_t ingress_server_in_flight(const struct ingress_server *server)
{
	return server->open_requests;
}

const struct ingress_view *
ingress_request_view(const struct ingress_request *request)
{
	return &request->view;
}

const char *ingress_request_header(const struct ingress_request *request,
				   const char *name)
{
	for (uint32_t i = 0; i < request->view.header_count; i++) {
		if (strcmp(request->view.headers[i].name, name) == 0)
			return request->view.headers[i].value;
	}
	return NULL;
}

void ingress_request_set_data(struct ingress_request *request, void *data)
{
	request->data = data;
}

void *ingress_request_data(const struct ingress_request *request)
{
	return request->data;
}

static int request_fd(const struct ingress_request *request)
{
	h2o_conn_t *conn = request->req->conn;

	return h2o_socket_get_fd(conn->callbacks->get_socket(conn));
}

bool ingress_request_is_connected(const struct ingress_request *request)
{
	return socket_is_connected(request_fd(request));
}

uint32_t ingress_request_arrived_ago_ms(const struct ingress_request *request)
{
	return socket_received_ago_ms(request_fd(request));
}

static const char *status_reason(uint16_t status)
{
	if (status < 300)
		return "OK";
	if (status < 400)
		return "Redirect";
	return status < 500 ? "Request Error" : "Server Error";
}

static void outcome_header_add(h2o_req_t *req, const struct outcome_row *row)
{
	const char *run = outcome_run_name(row->run);
	h2o_iovec_t value =
		h2o_concat(&req->pool, h2o_iovec_init(run, strlen(run)),
			   h2o_iovec_init(H2O_STRLIT("; reason=")),
			   h2o_iovec_init(row->name, strlen(row->name)));

	h2o_add_header_by_str(&req->pool, &req->res.headers,
			      H2O_STRLIT(OUTCOME_HEADER), 0, NULL, value.base,
			      value.len);
}

static void response_begin(struct ingress_request *request, uint16_t status,
			   enum outcome outcome)
{
	h2o_req_t *req = request->req;

	request->answered = true;
	req->res.status = status;
	req->res.reason = status_reason(status);
	if (request->server->shutting_down)
		req->http1_is_persistent = 0;
	outcome_header_add(req, outcome_row(outcome));
}

/* Content-Length lets the caller detect a truncated response. */
static void body_send(struct ingress_request *request,
		      const struct ingress_response *response)
{
	h2o_req_t *req = request->req;

	if (strcmp(request->view.method, "HEAD") == 0) {
		if (response->content_length >= 0)
			req->res.content_length =
				(size_t)response->content_length;
	} else if (response->status != 204 && response->status != 304) {
		req->res.content_length = response->body_bytes;
	}
	h2o_send_inline(req, response->body, response->body_bytes);
}

void ingress_request_respond(struct ingress_request *request,
			     const struct ingress_response *response)
{
	h2o_req_t *req = request->req;

	g_assert(!request->answered);
	response_begin(request, response->status, OUTCOME_ANSWERED);
	for (uint32_t i = 0; i < response->header_count; i++) {
		const struct ingress_header *header = &response->headers[i];
		h2o_iovec_t name = h2o_strdup(&req->pool, header->name,
					      strlen(header->name));
		h2o_iovec_t value = h2o_strdup(&req->pool, header->value,
					       strlen(header->value));

		h2o_add_header_by_str(&req->pool, &req->res.headers, name.base,
				      name.len, 1, NULL, value.base, value.len);
	}
	body_send(request, response);
}

void ingress_request_reject(struct ingress_request *request,
			    enum outcome outcome, uint32_t retry_after_s)
{
	const struct outcome_row *row = outcome_row(outcome);
	h2o_req_t *req = request->req;
	char seconds[16];
	h2o_iovec_t copy;

	g_assert(!request->answered);
	response_begin(request, row->status, outcome);
	if (row->retry_after) {
		g_snprintf(seconds, sizeof(seconds), "%u", retry_after_s);
		copy = h2o_strdup(&req->pool, seconds, strlen(seconds));
		h2o_add_header_by_str(&req->pool, &req->res.headers,
				      H2O_STRLIT("retry-after"), 1, NULL,
				      copy.base, copy.len);
	}
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
		       NULL, H2O_STRLIT("text/plain; charset=utf-8"));
	req->res.content_length = strlen(row->text);
	h2o_send_inline(req, row->text, strlen(row->text));
}
