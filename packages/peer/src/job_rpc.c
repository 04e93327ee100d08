#include "job_rpc.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>

#include "acceptor.h"
#include "job_wire.h"
#include "log.h"
#include "socket_state.h"

/*
 * The process that owns the job service replies within tens of milliseconds,
 * store access included. A connection that delivers no data for longer than
 * this timeout is replaced.
 */
#define JOB_RPC_INACTIVITY_TIMEOUT_MS 900
/* Time for the first bytes of an accepted connection. */
#define JOB_RPC_SILENT_GRACE_MS 10
/* Time by which a timer may fire late in a process that is not paused. */
#define JOB_RPC_LATE_MS 250
/* Pause in which accepted connections are read. */
#define JOB_RPC_SETTLE_MS 2

struct job_rpc_channel {
	struct loop *loop;
	struct acceptor *acceptor;
	job_rpc_call_cb on_call;
	void *on_call_data;
	/* NULL if confirmations are not exchanged */
	const struct job_rpc_confirm_ops *confirm_ops;
	void *confirm_data;
	/* outgoing: "ip:port" to struct job_rpc_connection */
	GHashTable *connections;
	/* incoming, of struct job_rpc_connection: those that have sent a valid
	 * record, and those that have not, oldest first */
	GQueue incoming;
	GQueue strangers;
	uint32_t strangers_max;
	uint32_t next_xid;
};

/* A connection to or from another process. */
struct job_rpc_connection {
	struct job_rpc_channel *channel;
	h2o_socket_t *sock;
	char *key;
	bool outgoing;
	bool connected;
	bool closed;
	/* held by the channel and by each call on the connection */
	uint32_t refs;
	uint64_t received_ms;
	/* when an incoming connection was accepted */
	uint64_t accepted_ms;
	/* bytes to write next, and those of the write in flight, else NULL */
	GByteArray *write_queue;
	GByteArray *write_buffer;
	/* calls in flight: xid to struct job_rpc_outgoing */
	GHashTable *calls;
	GList node;
	/* the list of the channel that an incoming connection is in */
	GQueue *list;
};

/* A call to another process, until its reply or timeout. */
struct job_rpc_outgoing {
	struct job_rpc_connection *conn;
	uint32_t xid;
	bool sent;
	uint64_t sent_ms;
	uint64_t deadline_ms;
	struct timer timer;
	void (*cb)(void *data, enum err_kind err,
		   const struct jobs_answer *answer);
	void *data;
};

/* A call from another process, until it is replied to. */
struct job_rpc_incoming {
	struct job_rpc_connection *conn;
	uint32_t xid;
};

static void connection_unref(struct job_rpc_connection *conn)
{
	if (--conn->refs > 0)
		return;
	g_byte_array_unref(conn->write_queue);
	g_clear_pointer(&conn->write_buffer, g_byte_array_unref);
	g_hash_table_unref(conn->calls);
	g_free(conn->key);
	g_free(conn);
}

static struct job_rpc_connection *
connection_create(struct job_rpc_channel *channel, bool outgoing)
{
	struct job_rpc_connection *conn = g_new0(struct job_rpc_connection, 1);

	conn->channel = channel;
	conn->outgoing = outgoing;
	conn->refs = 1;
	conn->write_queue = g_byte_array_new();
	conn->calls = g_hash_table_new(g_direct_hash, g_direct_equal);
	conn->node.data = conn;
	return conn;
}

static void outgoing_finish(struct job_rpc_outgoing *out, enum err_kind err,
			    const struct jobs_answer *answer)
{
	timer_cancel(&out->timer);
	g_hash_table_remove(out->conn->calls, GUINT_TO_POINTER(out->xid));
	out->cb(out->data, err, answer);
	connection_unref(out->conn);
	g_free(out);
}

/*
 * Fails the calls in flight: ERR_CONNECT for those that were not sent and thus
 * did not run, ERR_CUT for the others.
 */
static void connection_close(struct job_rpc_connection *conn)
{
	GHashTableIter iter;
	gpointer value;

	if (conn->closed)
		return;
	conn->closed = true;
	if (conn->sock)
		h2o_socket_close(conn->sock);
	conn->sock = NULL;
	if (conn->outgoing)
		g_hash_table_remove(conn->channel->connections, conn->key);
	else
		g_queue_unlink(conn->list, &conn->node);
	acceptor_resume_soon(conn->channel->acceptor);
	for (;;) {
		struct job_rpc_outgoing *out;

		g_hash_table_iter_init(&iter, conn->calls);
		if (!g_hash_table_iter_next(&iter, NULL, &value))
			break;
		out = value;
		outgoing_finish(out, out->sent ? ERR_CUT : ERR_CONNECT, NULL);
	}
	connection_unref(conn);
}

static void connection_flush(struct job_rpc_connection *conn);

/* Returns whether a call should have ended, but this process was paused. What
 * is left to write of such calls must not be sent any more. */
static bool has_overdue_call(const struct job_rpc_connection *conn)
{
	uint64_t now_ms = loop_now_ms();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, conn->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct job_rpc_outgoing *out = value;

		if (now_ms >= out->timer.due_ms + JOB_RPC_LATE_MS)
			return true;
	}
	return false;
}

static void on_written(h2o_socket_t *sock, const char *err)
{
	struct job_rpc_connection *conn = sock->data;

	g_clear_pointer(&conn->write_buffer, g_byte_array_unref);
	if (err || has_overdue_call(conn))
		connection_close(conn);
	else
		connection_flush(conn);
}

static void connection_flush(struct job_rpc_connection *conn)
{
	h2o_iovec_t buffer;

	if (conn->closed || !conn->connected || conn->write_buffer ||
	    conn->write_queue->len == 0)
		return;
	conn->write_buffer = conn->write_queue;
	conn->write_queue = g_byte_array_new();
	buffer = h2o_iovec_init(conn->write_buffer->data,
				conn->write_buffer->len);
	h2o_socket_write(conn->sock, &buffer, 1, on_written);
}

static void connection_send(struct job_rpc_connection *conn, GByteArray *bytes)
{
	g_byte_array_append(conn->write_queue, bytes->data, bytes->len);
	g_byte_array_unref(bytes);
	connection_flush(conn);
}

static void on_served(void *data, const struct jobs_answer *answer)
{
	struct job_rpc_incoming *in = data;
	const struct job_rpc_channel *channel = in->conn->channel;
	struct job_rpc_confirmation confirmation = { 0 };

	if (!in->conn->closed && channel->confirm_ops)
		confirmation =
			channel->confirm_ops->current(channel->confirm_data);
	if (!in->conn->closed)
		connection_send(in->conn, job_wire_reply_encode(in->xid, answer,
								confirmation));
	connection_unref(in->conn);
	g_free(in);
}

static void call_dispatch(struct job_rpc_connection *conn,
			  struct job_wire_message *message)
{
	int fd = h2o_socket_get_fd(conn->sock);
	uint32_t deadline_ms = message->call.deadline_ms;
	const struct jobs_call call = {
		.verb = message->call.verb,
		.queue = message->call.queue,
		.id = message->call.id,
		.spec = message->call.spec,
		.deadline_ms = deadline_ms -
			       MIN(deadline_ms, socket_received_ago_ms(fd)),
		.account = message->account.name,
	};
	struct job_rpc_incoming *in;

	/* The sender has given the submission up, and its caller may have
	 * cancelled the job since. */
	if (call.verb == JOBS_SUBMIT && !socket_is_connected(fd)) {
		log_info("submission-abandoned",
			 "job %s of queue %s: the sending process has closed "
			 "the connection",
			 call.id, call.queue);
		return;
	}
	in = g_new0(struct job_rpc_incoming, 1);
	in->conn = conn;
	in->xid = message->xid;
	conn->refs++;
	if (conn->channel->on_call)
		conn->channel->on_call(conn->channel->on_call_data, &call,
				       on_served, in);
	else
		on_served(in, &(struct jobs_answer){
				      .outcome = JOBS_REFUSED,
				      .why = "the process is starting" });
}

static void reply_dispatch(struct job_rpc_connection *conn,
			   struct job_wire_message *message)
{
	const struct jobs_answer answer = {
		.outcome = message->answer.outcome,
		.state = message->answer.state,
		.waiting = message->answer.waiting,
		.retry_after_ms = message->answer.retry_after_ms,
		.why = "reply from the job owner",
	};
	struct job_rpc_outgoing *out = g_hash_table_lookup(
		conn->calls, GUINT_TO_POINTER(message->xid));

	const struct job_rpc_channel *channel = conn->channel;
	const struct job_rpc_confirmation received = {
		.config_version = message->confirmation.config_version,
		.age_ms = message->confirmation.age_ms,
	};

	if (!out)
		return;
	if (channel->confirm_ops && received.config_version != 0)
		channel->confirm_ops->on_received(channel->confirm_data,
						  &received, out->sent_ms);
	outgoing_finish(out, ERR_NONE, &answer);
}

static void list_set(struct job_rpc_connection *conn, GQueue *list)
{
	if (conn->list)
		g_queue_unlink(conn->list, &conn->node);
	conn->list = list;
	g_queue_push_tail_link(list, &conn->node);
}

/*
 * Processes the first record received. Returns false if it is incomplete or the
 * connection was closed.
 */
static bool record_process(struct job_rpc_connection *conn)
{
	struct job_wire_message message;
	h2o_buffer_t *input = conn->sock->input;
	size_t size = 0;
	enum err_kind err =
		job_wire_record_size(input->bytes, input->size, &size);

	if (err == ERR_PENDING)
		return false;
	if (err == ERR_NONE)
		err = job_wire_decode(input->bytes + JOB_WIRE_MARK_BYTES,
				      size - JOB_WIRE_MARK_BYTES, &message);
	if (err != ERR_NONE) {
		log_warning(
			"peer-record-malformed",
			"malformed record received; closing the connection");
		connection_close(conn);
		return false;
	}
	h2o_buffer_consume(&conn->sock->input, size);
	if (conn->list == &conn->channel->strangers)
		list_set(conn, &conn->channel->incoming);
	if (message.is_reply)
		reply_dispatch(conn, &message);
	else
		call_dispatch(conn, &message);
	job_wire_message_clear(&message);
	return !conn->closed;
}

static void on_read(h2o_socket_t *sock, const char *err)
{
	struct job_rpc_connection *conn = sock->data;

	if (err) {
		connection_close(conn);
		return;
	}
	conn->received_ms = loop_now_ms();
	conn->refs++;
	while (!conn->closed && record_process(conn))
		;
	connection_unref(conn);
}

static void on_connected(h2o_socket_t *sock, const char *err)
{
	struct job_rpc_connection *conn = sock->data;
	GHashTableIter iter;
	gpointer value;

	if (err || has_overdue_call(conn)) {
		connection_close(conn);
		return;
	}
	conn->connected = true;
	g_hash_table_iter_init(&iter, conn->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct job_rpc_outgoing *)value)->sent = true;
	h2o_socket_read_start(sock, on_read);
	connection_flush(conn);
}

static struct job_rpc_connection *
connection_open(struct job_rpc_channel *channel, const char *ip, uint16_t port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port) };
	g_autofree char *key = g_strdup_printf("%s:%u", ip, (unsigned int)port);
	struct job_rpc_connection *conn =
		g_hash_table_lookup(channel->connections, key);

	if (conn)
		return conn;
	if (inet_pton(AF_INET, ip, &addr.sin_addr) != 1)
		return NULL;
	conn = connection_create(channel, true);
	conn->sock = h2o_socket_connect(loop_h2o(channel->loop),
					(struct sockaddr *)&addr, sizeof(addr),
					on_connected);
	if (!conn->sock) {
		connection_unref(conn);
		return NULL;
	}
	conn->sock->data = conn;
	conn->key = g_steal_pointer(&key);
	g_hash_table_insert(channel->connections, conn->key, conn);
	return conn;
}

static void on_call_timer(void *data)
{
	struct job_rpc_outgoing *out = data;
	struct job_rpc_connection *conn = out->conn;
	bool unresponsive = conn->received_ms < out->sent_ms;
	uint64_t now_ms = loop_now_ms();

	if (!unresponsive && now_ms < out->deadline_ms) {
		timer_set(loop_timers(conn->channel->loop), &out->timer,
			  out->deadline_ms);
		return;
	}
	if (unresponsive)
		log_warning(
			"peer-silent",
			"%s: no data since the call was sent, connected %d, "
			"calls %u; closing the connection",
			conn->key, conn->connected,
			g_hash_table_size(conn->calls));
	conn->refs++;
	outgoing_finish(out, out->sent ? ERR_TIMEOUT : ERR_CONNECT, NULL);
	if (unresponsive)
		connection_close(conn);
	connection_unref(conn);
}

static void send_call(void *self, const char *ip, uint16_t port,
		      const struct jobs_call *call,
		      void (*cb)(void *data, enum err_kind err,
				 const struct jobs_answer *answer),
		      void *data)
{
	struct job_rpc_channel *channel = self;
	uint32_t xid = ++channel->next_xid;
	struct job_rpc_connection *conn;
	struct job_rpc_outgoing *out;
	GByteArray *bytes = NULL;
	enum err_kind err = job_wire_call_encode(xid, call, &bytes);

	if (err != ERR_NONE) {
		cb(data, err, NULL);
		return;
	}
	conn = connection_open(channel, ip, port);
	if (!conn) {
		g_byte_array_unref(bytes);
		cb(data, ERR_CONNECT, NULL);
		return;
	}
	out = g_new0(struct job_rpc_outgoing, 1);
	out->conn = conn;
	conn->refs++;
	out->xid = xid;
	out->sent = conn->connected;
	out->sent_ms = loop_now_ms();
	out->deadline_ms = out->sent_ms + call->deadline_ms;
	out->cb = cb;
	out->data = data;
	out->timer.cb = on_call_timer;
	out->timer.data = out;
	g_hash_table_insert(conn->calls, GUINT_TO_POINTER(out->xid), out);
	loop_timer_set(channel->loop, &out->timer,
		       MIN(call->deadline_ms, JOB_RPC_INACTIVITY_TIMEOUT_MS));
	connection_send(conn, bytes);
}

const struct jobs_peers job_rpc_peers = { .send = send_call };

static void on_accept(void *data, h2o_socket_t *sock)
{
	struct job_rpc_channel *channel = data;
	struct job_rpc_connection *conn = connection_create(channel, false);

	conn->sock = sock;
	conn->connected = true;
	sock->data = conn;
	list_set(conn, &channel->strangers);
	conn->accepted_ms = loop_now_ms();
	h2o_socket_read_start(sock, on_read);
}

static bool has_unread_bytes(const struct job_rpc_connection *conn)
{
	char byte;

	return recv(h2o_socket_get_fd(conn->sock), &byte, sizeof(byte),
		    MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Closes the stranger that has waited longest; false if it may still send its
 * first record. */
static bool stranger_evict(struct job_rpc_channel *channel)
{
	struct job_rpc_connection *conn =
		g_queue_peek_head(&channel->strangers);

	if (!conn || has_unread_bytes(conn) ||
	    loop_now_ms() - conn->accepted_ms < JOB_RPC_SILENT_GRACE_MS)
		return false;
	connection_close(conn);
	return true;
}

static bool may_accept(void *data)
{
	struct job_rpc_channel *channel = data;

	if (channel->strangers.length < channel->strangers_max ||
	    stranger_evict(channel))
		return true;
	acceptor_pause(channel->acceptor, JOB_RPC_SETTLE_MS);
	return false;
}

static void on_exhausted(void *data)
{
	stranger_evict(data);
}

static const struct acceptor_ops accept_ops = {
	.may_accept = may_accept,
	.on_accept = on_accept,
	.on_exhausted = on_exhausted,
};

enum err_kind job_rpc_channel_create(struct loop *loop, const char *ip,
				     uint16_t port, uint32_t strangers_max,
				     struct job_rpc_channel **out)
{
	struct job_rpc_channel *channel = g_new0(struct job_rpc_channel, 1);
	enum err_kind err = acceptor_create(loop, ip, port, &accept_ops,
					    channel, &channel->acceptor);

	if (err != ERR_NONE) {
		g_free(channel);
		return err;
	}
	channel->loop = loop;
	channel->strangers_max = strangers_max;
	channel->connections = g_hash_table_new(g_str_hash, g_str_equal);
	channel->next_xid = g_random_int();
	g_queue_init(&channel->incoming);
	g_queue_init(&channel->strangers);
	*out = channel;
	return ERR_NONE;
}

void job_rpc_channel_serve(struct job_rpc_channel *channel, job_rpc_call_cb cb,
			   void *data)
{
	channel->on_call = cb;
	channel->on_call_data = data;
}

void job_rpc_channel_confirm(struct job_rpc_channel *channel,
			     const struct job_rpc_confirm_ops *ops, void *data)
{
	channel->confirm_ops = ops;
	channel->confirm_data = data;
}

void job_rpc_channel_destroy(struct job_rpc_channel *channel)
{
	GHashTableIter iter;
	gpointer value;

	if (!channel)
		return;
	while (channel->strangers.head)
		connection_close(channel->strangers.head->data);
	while (channel->incoming.head)
		connection_close(channel->incoming.head->data);
	for (;;) {
		g_hash_table_iter_init(&iter, channel->connections);
		if (!g_hash_table_iter_next(&iter, NULL, &value))
			break;
		connection_close(value);
	}
	g_hash_table_unref(channel->connections);
	acceptor_destroy(channel->acceptor);
	g_free(channel);
}
