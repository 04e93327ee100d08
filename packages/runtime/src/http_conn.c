#include "http_conn.h"

#include <arpa/inet.h>
#include <errno.h>
#include <http_parser.h>
#include <string.h>
#include <sys/socket.h>

/* The loop reports that a request was written in the same iteration as a
 * response that arrives at once. A server that has not read the request by then
 * has responded early. */
#define HTTP_CONN_WRITE_REPORT_MS 5

struct http_conn {
	struct loop *loop;
	h2o_socket_t *sock;
	const struct http_conn_ops *ops;
	void *data;
	http_parser parser;
	/* header being parsed; its name and value may arrive in parts */
	GString *header_name;
	GString *header_value;
	bool header_has_value;
	bool in_exchange;
	bool is_head;
	/* the end of the response is known from a length, from chunks or from
	 * its status */
	bool is_delimited;
	bool body_rejected;
	bool is_complete;
	bool keep_alive;
	/* for the report that the request of a complete response was written */
	struct timer write_timer;
};

static struct http_conn *conn_from_parser(http_parser *parser)
{
	return parser->data;
}

static void header_finish(struct http_conn *conn)
{
	if (!conn->header_has_value)
		return;
	conn->header_has_value = false;
	g_string_ascii_down(conn->header_name);
	if (strcmp(conn->header_name->str, "content-length") == 0 ||
	    strcmp(conn->header_name->str, "transfer-encoding") == 0)
		conn->is_delimited = true;
	conn->ops->on_header(conn->data, conn->header_name->str,
			     conn->header_value->str);
	g_string_truncate(conn->header_name, 0);
	g_string_truncate(conn->header_value, 0);
}

static int on_header_name(http_parser *parser, const char *at, size_t len)
{
	struct http_conn *conn = conn_from_parser(parser);

	header_finish(conn);
	g_string_append_len(conn->header_name, at, (gssize)len);
	return 0;
}

static int on_header_value(http_parser *parser, const char *at, size_t len)
{
	struct http_conn *conn = conn_from_parser(parser);

	conn->header_has_value = true;
	g_string_append_len(conn->header_value, at, (gssize)len);
	return 0;
}

static bool status_is_informational(const http_parser *parser)
{
	return parser->status_code < 200;
}

/* Returns 1 to tell http_parser that no body follows. */
static int on_headers_complete(http_parser *parser)
{
	struct http_conn *conn = conn_from_parser(parser);
	bool bodiless = conn->is_head || parser->status_code == 204 ||
			parser->status_code == 304;

	header_finish(conn);
	conn->is_delimited |= bodiless;
	return bodiless ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct http_conn *conn = conn_from_parser(parser);

	if (!conn->body_rejected)
		conn->body_rejected = !conn->ops->on_body(conn->data, at, len);
	return conn->body_rejected;
}

static int on_message_complete(http_parser *parser)
{
	struct http_conn *conn = conn_from_parser(parser);

	/* The final response follows on the same connection. */
	if (status_is_informational(parser)) {
		conn->is_delimited = false;
		return 0;
	}
	conn->is_complete = true;
	conn->keep_alive = http_should_keep_alive(parser) != 0;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_header_field = on_header_name,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

static void exchange_complete(struct http_conn *conn, enum err_kind err,
			      bool reusable)
{
	timer_cancel(&conn->write_timer);
	conn->in_exchange = false;
	conn->ops->on_complete(conn->data, err,
			       (uint16_t)conn->parser.status_code, reusable);
}

static void response_complete(struct http_conn *conn)
{
	exchange_complete(conn, conn->is_delimited ? ERR_NONE : ERR_CUT,
			  conn->keep_alive &&
				  !h2o_socket_is_writing(conn->sock));
}

static void on_write_report_due(void *data)
{
	response_complete(data);
}

/* Parses received bytes. A response delimited only by the close of the
 * connection may be truncated, so it ends with ERR_CUT. */
static void input_parse(struct http_conn *conn, bool closed)
{
	h2o_buffer_t **input = &conn->sock->input;
	size_t size = (*input)->size;
	size_t used;

	used = http_parser_execute(&conn->parser, &parser_settings,
				   (*input)->bytes, size);
	h2o_buffer_consume(input, size);
	if (conn->body_rejected) {
		exchange_complete(conn, ERR_TOO_LARGE, false);
	} else if (conn->is_complete) {
		conn->keep_alive &= used == size && !closed;
		if (conn->keep_alive && h2o_socket_is_writing(conn->sock))
			loop_timer_set(conn->loop, &conn->write_timer,
				       HTTP_CONN_WRITE_REPORT_MS);
		else
			response_complete(conn);
	} else if (closed || used != size) {
		exchange_complete(conn, ERR_CUT, false);
	}
}

static void on_read(h2o_socket_t *sock, const char *err)
{
	struct http_conn *conn = sock->data;

	if (!conn->in_exchange) {
		conn->ops->on_idle_close(conn->data);
	} else if (conn->is_complete) {
		/* Closed, or bytes without a request. */
		conn->keep_alive = false;
		response_complete(conn);
	} else {
		input_parse(conn, err != NULL);
	}
}

/* A write error also fails the read, and on_read() reports it. */
static void on_written(h2o_socket_t *sock, const char *err)
{
	struct http_conn *conn = sock->data;

	if (timer_is_set(&conn->write_timer))
		response_complete(conn);
}

static void on_connected(h2o_socket_t *sock, const char *err)
{
	struct http_conn *conn = sock->data;

	if (!err)
		h2o_socket_read_start(sock, on_read);
	conn->ops->on_open(conn->data, err == NULL);
}

struct http_conn *http_conn_open(struct loop *loop, const char *ip,
				 uint16_t port, const struct http_conn_ops *ops,
				 void *data)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port) };
	struct http_conn *conn;
	h2o_socket_t *sock;

	if (inet_pton(AF_INET, ip, &addr.sin_addr) != 1)
		return NULL;
	sock = h2o_socket_connect(loop_h2o(loop), (struct sockaddr *)&addr,
				  sizeof(addr), on_connected);
	if (!sock)
		return NULL;
	conn = g_new0(struct http_conn, 1);
	conn->loop = loop;
	conn->write_timer.cb = on_write_report_due;
	conn->write_timer.data = conn;
	conn->sock = sock;
	sock->data = conn;
	conn->ops = ops;
	conn->data = data;
	conn->header_name = g_string_new(NULL);
	conn->header_value = g_string_new(NULL);
	return conn;
}

/* Makes the close a reset, which drops what is left of the request in the
 * kernel's send buffer. After an orderly close the kernel would go on sending
 * it, and a network that works again would deliver it. */
static void unsent_bytes_discard(struct http_conn *conn)
{
	const struct linger reset_on_close = { .l_onoff = 1 };

	setsockopt(h2o_socket_get_fd(conn->sock), SOL_SOCKET, SO_LINGER,
		   &reset_on_close, sizeof(reset_on_close));
}

void http_conn_close(struct http_conn *conn)
{
	if (!conn)
		return;
	if (conn->in_exchange)
		unsent_bytes_discard(conn);
	timer_cancel(&conn->write_timer);
	h2o_socket_close(conn->sock);
	g_string_free(conn->header_name, TRUE);
	g_string_free(conn->header_value, TRUE);
	g_free(conn);
}

void http_conn_set_callback_data(struct http_conn *conn, void *data)
{
	conn->data = data;
}

void http_conn_send(struct http_conn *conn, const GString *request,
		    bool is_head)
{
	h2o_iovec_t vec = h2o_iovec_init(request->str, request->len);

	g_assert(!conn->in_exchange);
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
	g_string_truncate(conn->header_name, 0);
	g_string_truncate(conn->header_value, 0);
	conn->header_has_value = false;
	conn->is_delimited = false;
	conn->body_rejected = false;
	conn->is_complete = false;
	conn->is_head = is_head;
	conn->in_exchange = true;
	h2o_socket_write(conn->sock, &vec, 1, on_written);
}

bool http_conn_is_open(const struct http_conn *conn)
{
	char byte;
	ssize_t received = recv(h2o_socket_get_fd(conn->sock), &byte, 1,
				MSG_PEEK | MSG_DONTWAIT);

	return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}
