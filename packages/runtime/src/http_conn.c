#include "http_conn.h"

#include <arpa/inet.h>
#include <errno.h>
#include <http_parser.h>
#include <string.h>
#include <sys/socket.h>

struct http_conn {
	h2o_socket_t *sock;
	const struct http_conn_ops *ops;
	void *data;
	http_parser parser;
	/* header that is being read; parts of it may arrive one by one */
	GString *name;
	GString *value;
	bool in_value;
	bool in_exchange;
	bool is_head;
	/* the answer's end is told by a length, by chunks or by its kind */
	bool has_end;
	bool body_refused;
	bool whole;
	bool keeps_alive;
};

static struct http_conn *conn_of(http_parser *parser)
{
	return parser->data;
}

static void header_end(struct http_conn *conn)
{
	if (!conn->in_value)
		return;
	conn->in_value = false;
	g_string_ascii_down(conn->name);
	if (strcmp(conn->name->str, "content-length") == 0 ||
	    strcmp(conn->name->str, "transfer-encoding") == 0)
		conn->has_end = true;
	conn->ops->on_header(conn->data, conn->name->str, conn->value->str);
	g_string_truncate(conn->name, 0);
	g_string_truncate(conn->value, 0);
}

static int on_field(http_parser *parser, const char *at, size_t len)
{
	struct http_conn *conn = conn_of(parser);

	header_end(conn);
	g_string_append_len(conn->name, at, (gssize)len);
	return 0;
}

static int on_value(http_parser *parser, const char *at, size_t len)
{
	struct http_conn *conn = conn_of(parser);

	conn->in_value = true;
	g_string_append_len(conn->value, at, (gssize)len);
	return 0;
}

static bool is_informational(const http_parser *parser)
{
	return parser->status_code < 200;
}

/* Tells the parser whether a body follows: 1 for none. */
static int on_head(http_parser *parser)
{
	struct http_conn *conn = conn_of(parser);
	bool bodiless = conn->is_head || parser->status_code == 204 ||
			parser->status_code == 304;

	header_end(conn);
	conn->has_end |= bodiless;
	return bodiless ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct http_conn *conn = conn_of(parser);

	if (!conn->body_refused)
		conn->body_refused = !conn->ops->on_body(conn->data, at, len);
	return conn->body_refused;
}

static int on_complete(http_parser *parser)
{
	struct http_conn *conn = conn_of(parser);

	/* The final answer follows on the same connection. */
	if (is_informational(parser)) {
		conn->has_end = false;
		return 0;
	}
	conn->whole = true;
	conn->keeps_alive = http_should_keep_alive(parser) != 0;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void exchange_end(struct http_conn *conn, enum err_kind err,
			 bool reusable)
{
	conn->in_exchange = false;
	conn->ops->on_end(conn->data, err, (uint16_t)conn->parser.status_code,
			  reusable);
}

/* Takes in what has arrived; an answer that ends only where the stream does
 * may have been cut there, so it never counts as whole. */
static void input_take(struct http_conn *conn, bool closed)
{
	h2o_buffer_t **input = &conn->sock->input;
	size_t size = (*input)->size;
	size_t used;
	bool reusable;

	used = http_parser_execute(&conn->parser, &parser_settings,
				   (*input)->bytes, size);
	h2o_buffer_consume(input, size);
	if (conn->body_refused) {
		exchange_end(conn, ERR_TOO_LARGE, false);
	} else if (conn->whole) {
		reusable = conn->keeps_alive && used == size && !closed &&
			   !h2o_socket_is_writing(conn->sock);
		exchange_end(conn, conn->has_end ? ERR_NONE : ERR_CUT,
			     reusable);
	} else if (closed || used != size) {
		exchange_end(conn, ERR_CUT, false);
	}
}

static void on_read(h2o_socket_t *sock, const char *err)
{
	struct http_conn *conn = sock->data;

	if (!conn->in_exchange)
		conn->ops->on_idle_end(conn->data);
	else
		input_take(conn, err != NULL);
}

static void on_written(h2o_socket_t *sock, const char *err)
{
	/* A failure to write also ends the reading, which tells of it. */
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
	conn->sock = sock;
	sock->data = conn;
	conn->ops = ops;
	conn->data = data;
	conn->name = g_string_new(NULL);
	conn->value = g_string_new(NULL);
	return conn;
}

void http_conn_close(struct http_conn *conn)
{
	if (!conn)
		return;
	h2o_socket_close(conn->sock);
	g_string_free(conn->name, TRUE);
	g_string_free(conn->value, TRUE);
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
	g_string_truncate(conn->name, 0);
	g_string_truncate(conn->value, 0);
	conn->in_value = false;
	conn->has_end = false;
	conn->body_refused = false;
	conn->whole = false;
	conn->is_head = is_head;
	conn->in_exchange = true;
	h2o_socket_write(conn->sock, &vec, 1, on_written);
}

bool http_conn_is_open(const struct http_conn *conn)
{
	char byte;
	ssize_t got = recv(h2o_socket_get_fd(conn->sock), &byte, 1,
			   MSG_PEEK | MSG_DONTWAIT);

	return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}
