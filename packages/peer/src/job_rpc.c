#include "job_rpc.h"

#include <arpa/inet.h>
#include <string.h>

#include "job_wire.h"
#include "log.h"

/* The owner answers what needs the store within tens of milliseconds. A
 * connection that is silent for longer is replaced. */
#define JOB_RPC_SILENCE_MS 900
/* Connections taken in one turn of the loop, so that others get theirs. */
#define JOB_RPC_ACCEPTS_PER_TURN 16

struct job_rpc_channel {
	struct loop *loop;
	h2o_socket_t *listener;
	job_rpc_call_cb serve;
	void *serve_data;
	/* "ip:port" to struct job_rpc_connection, outgoing */
	GHashTable *links;
	/* of struct job_rpc_connection, incoming */
	GQueue incoming;
	uint32_t next_xid;
};

/* A connection, to or from another process. */
struct job_rpc_connection {
	struct job_rpc_channel *channel;
	h2o_socket_t *sock;
	char *key;
	bool outgoing;
	bool connected;
	bool closed;
	/* references: one of the channel, one of each answer under way */
	uint32_t refs;
	uint64_t heard_ms;
	/* bytes that wait for the write under way, and those of it */
	GByteArray *queued;
	GByteArray *writing;
	/* xid to struct job_rpc_outgoing */
	GHashTable *calls;
	GList link;
};

/* A call that went out. */
struct job_rpc_outgoing {
	struct job_rpc_connection *link;
	uint32_t xid;
	bool sent;
	uint64_t sent_ms;
	uint64_t due_ms;
	struct timer timer;
	void (*cb)(void *data, enum err_kind err,
		   const struct jobs_answer *answer);
	void *data;
};

/* A call that came in. */
struct job_rpc_incoming {
	struct job_rpc_connection *link;
	uint32_t xid;
};

static void link_unref(struct job_rpc_connection *link)
{
	if (--link->refs > 0)
		return;
	g_byte_array_unref(link->queued);
	g_clear_pointer(&link->writing, g_byte_array_unref);
	g_hash_table_unref(link->calls);
	g_free(link->key);
	g_free(link);
}

static struct job_rpc_connection *link_create(struct job_rpc_channel *channel,
					      bool outgoing)
{
	struct job_rpc_connection *link = g_new0(struct job_rpc_connection, 1);

	link->channel = channel;
	link->outgoing = outgoing;
	link->refs = 1;
	link->queued = g_byte_array_new();
	link->calls = g_hash_table_new(g_direct_hash, g_direct_equal);
	link->link.data = link;
	return link;
}

static void out_end(struct job_rpc_outgoing *out, enum err_kind err,
		    const struct jobs_answer *answer)
{
	timer_cancel(&out->timer);
	g_hash_table_remove(out->link->calls, GUINT_TO_POINTER(out->xid));
	out->cb(out->data, err, answer);
	link_unref(out->link);
	g_free(out);
}

/* Ends all calls: what was not written did not arrive. */
static void link_close(struct job_rpc_connection *link)
{
	GHashTableIter iter;
	gpointer value;

	if (link->closed)
		return;
	link->closed = true;
	if (link->sock)
		h2o_socket_close(link->sock);
	link->sock = NULL;
	if (link->outgoing)
		g_hash_table_remove(link->channel->links, link->key);
	else
		g_queue_unlink(&link->channel->incoming, &link->link);
	for (;;) {
		struct job_rpc_outgoing *out;

		g_hash_table_iter_init(&iter, link->calls);
		if (!g_hash_table_iter_next(&iter, NULL, &value))
			break;
		out = value;
		out_end(out, out->sent ? ERR_CUT : ERR_CONNECT, NULL);
	}
	link_unref(link);
}

static void link_flush(struct job_rpc_connection *link);

static void on_written(h2o_socket_t *sock, const char *err)
{
	struct job_rpc_connection *link = sock->data;

	g_clear_pointer(&link->writing, g_byte_array_unref);
	if (err)
		link_close(link);
	else
		link_flush(link);
}

static void link_flush(struct job_rpc_connection *link)
{
	h2o_iovec_t buffer;

	if (link->closed || !link->connected || link->writing ||
	    link->queued->len == 0)
		return;
	link->writing = link->queued;
	link->queued = g_byte_array_new();
	buffer = h2o_iovec_init(link->writing->data, link->writing->len);
	h2o_socket_write(link->sock, &buffer, 1, on_written);
}

static void link_send(struct job_rpc_connection *link, GByteArray *bytes)
{
	g_byte_array_append(link->queued, bytes->data, bytes->len);
	g_byte_array_unref(bytes);
	link_flush(link);
}

static void on_answer(void *data, const struct jobs_answer *answer)
{
	struct job_rpc_incoming *in = data;

	if (!in->link->closed)
		link_send(in->link, job_wire_reply_encode(in->xid, answer));
	link_unref(in->link);
	g_free(in);
}

static void call_take(struct job_rpc_connection *link,
		      struct job_wire_message *message)
{
	const struct jobs_call call = {
		.verb = message->call.verb,
		.queue = message->call.queue,
		.id = message->call.id,
		.spec = message->call.spec,
		.deadline_ms = message->call.deadline_ms,
	};
	struct job_rpc_incoming *in = g_new0(struct job_rpc_incoming, 1);

	in->link = link;
	in->xid = message->xid;
	link->refs++;
	if (link->channel->serve)
		link->channel->serve(link->channel->serve_data, &call,
				     on_answer, in);
	else
		on_answer(in, &(struct jobs_answer){
				      .outcome = JOBS_REFUSED,
				      .why = "the process is starting" });
}

static void reply_take(struct job_rpc_connection *link,
		       struct job_wire_message *message)
{
	const struct jobs_answer answer = {
		.outcome = message->answer.outcome,
		.state = message->answer.state,
		.waiting = message->answer.waiting,
		.retry_after_ms = message->answer.retry_after_ms,
		.why = "the owner's answer",
	};
	struct job_rpc_outgoing *out = g_hash_table_lookup(
		link->calls, GUINT_TO_POINTER(message->xid));

	if (out)
		out_end(out, ERR_NONE, &answer);
}

/* Takes the first record; false when there is none, or the link is closed. */
static bool record_take(struct job_rpc_connection *link)
{
	struct job_wire_message message;
	h2o_buffer_t *input = link->sock->input;
	size_t size = 0;
	enum err_kind err =
		job_wire_record_size(input->bytes, input->size, &size);

	if (err == ERR_PENDING)
		return false;
	if (err == ERR_NONE)
		err = job_wire_decode(input->bytes + JOB_WIRE_MARK_BYTES,
				      size - JOB_WIRE_MARK_BYTES, &message);
	if (err != ERR_NONE) {
		log_warning("peer-record-malformed", "connection is closed");
		link_close(link);
		return false;
	}
	h2o_buffer_consume(&link->sock->input, size);
	if (message.is_reply)
		reply_take(link, &message);
	else
		call_take(link, &message);
	job_wire_message_clear(&message);
	return !link->closed;
}

static void on_read(h2o_socket_t *sock, const char *err)
{
	struct job_rpc_connection *link = sock->data;

	if (err) {
		link_close(link);
		return;
	}
	link->heard_ms = loop_now_ms();
	link->refs++;
	while (!link->closed && record_take(link))
		;
	link_unref(link);
}

static void on_connected(h2o_socket_t *sock, const char *err)
{
	struct job_rpc_connection *link = sock->data;
	GHashTableIter iter;
	gpointer value;

	if (err) {
		link_close(link);
		return;
	}
	link->connected = true;
	g_hash_table_iter_init(&iter, link->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct job_rpc_outgoing *)value)->sent = true;
	h2o_socket_read_start(sock, on_read);
	link_flush(link);
}

static struct job_rpc_connection *link_open(struct job_rpc_channel *channel,
					    const char *ip, uint16_t port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port) };
	g_autofree char *key = g_strdup_printf("%s:%u", ip, (unsigned int)port);
	struct job_rpc_connection *link =
		g_hash_table_lookup(channel->links, key);

	if (link)
		return link;
	if (inet_pton(AF_INET, ip, &addr.sin_addr) != 1)
		return NULL;
	link = link_create(channel, true);
	link->sock = h2o_socket_connect(loop_h2o(channel->loop),
					(struct sockaddr *)&addr, sizeof(addr),
					on_connected);
	if (!link->sock) {
		link_unref(link);
		return NULL;
	}
	link->sock->data = link;
	link->key = g_steal_pointer(&key);
	g_hash_table_insert(channel->links, link->key, link);
	return link;
}

static void on_out_timer(void *data)
{
	struct job_rpc_outgoing *out = data;
	struct job_rpc_connection *link = out->link;
	bool silent = link->heard_ms < out->sent_ms;
	uint64_t now_ms = loop_now_ms();

	if (!silent && now_ms < out->due_ms) {
		timer_set(loop_timers(link->channel->loop), &out->timer,
			  out->due_ms);
		return;
	}
	if (silent)
		log_warning("peer-silent", "%s, connected %d, calls %u",
			    link->key, link->connected,
			    g_hash_table_size(link->calls));
	link->refs++;
	out_end(out, out->sent ? ERR_TIMEOUT : ERR_CONNECT, NULL);
	if (silent)
		link_close(link);
	link_unref(link);
}

static void send_call(void *self, const char *ip, uint16_t port,
		      const struct jobs_call *call,
		      void (*cb)(void *data, enum err_kind err,
				 const struct jobs_answer *answer),
		      void *data)
{
	struct job_rpc_channel *channel = self;
	struct job_rpc_connection *link = link_open(channel, ip, port);
	struct job_rpc_outgoing *out;

	if (!link) {
		cb(data, ERR_CONNECT, NULL);
		return;
	}
	out = g_new0(struct job_rpc_outgoing, 1);
	out->link = link;
	link->refs++;
	out->xid = ++channel->next_xid;
	out->sent = link->connected;
	out->sent_ms = loop_now_ms();
	out->due_ms = out->sent_ms + call->deadline_ms;
	out->cb = cb;
	out->data = data;
	out->timer.cb = on_out_timer;
	out->timer.data = out;
	g_hash_table_insert(link->calls, GUINT_TO_POINTER(out->xid), out);
	loop_timer_set(channel->loop, &out->timer,
		       MIN(call->deadline_ms, JOB_RPC_SILENCE_MS));
	link_send(link, job_wire_call_encode(out->xid, call));
}

const struct jobs_peers job_rpc_peers = { .send = send_call };

static void on_accept(h2o_socket_t *listener, const char *err)
{
	struct job_rpc_channel *channel = listener->data;

	if (err)
		return;
	for (int i = 0; i < JOB_RPC_ACCEPTS_PER_TURN; i++) {
		h2o_socket_t *sock = h2o_evloop_socket_accept(listener);
		struct job_rpc_connection *link;

		if (!sock)
			return;
		link = link_create(channel, false);
		link->sock = sock;
		link->connected = true;
		sock->data = link;
		g_queue_push_tail_link(&channel->incoming, &link->link);
		h2o_socket_read_start(sock, on_read);
	}
}

enum err_kind job_rpc_channel_create(struct loop *loop, const char *ip,
				     uint16_t port,
				     struct job_rpc_channel **out)
{
	struct job_rpc_channel *channel = g_new0(struct job_rpc_channel, 1);
	enum err_kind err = loop_listen(loop, ip, port, on_accept, channel,
					&channel->listener);

	if (err != ERR_NONE) {
		g_free(channel);
		return err;
	}
	channel->loop = loop;
	channel->links = g_hash_table_new(g_str_hash, g_str_equal);
	channel->next_xid = g_random_int();
	g_queue_init(&channel->incoming);
	*out = channel;
	return ERR_NONE;
}

void job_rpc_channel_serve(struct job_rpc_channel *channel, job_rpc_call_cb cb,
			   void *data)
{
	channel->serve = cb;
	channel->serve_data = data;
}

void job_rpc_channel_destroy(struct job_rpc_channel *channel)
{
	GHashTableIter iter;
	gpointer value;

	if (!channel)
		return;
	h2o_socket_close(channel->listener);
	while (channel->incoming.head)
		link_close(channel->incoming.head->data);
	for (;;) {
		g_hash_table_iter_init(&iter, channel->links);
		if (!g_hash_table_iter_next(&iter, NULL, &value))
			break;
		link_close(value);
	}
	g_hash_table_unref(channel->links);
	g_free(channel);
}
