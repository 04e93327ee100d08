#include "gossip.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gossip_private.h"

#define GOSSIP_DATAGRAMS_PER_TURN 64
#define GOSSIP_PENDING_TIMEOUT_MS 2000

/* A call whose reply is awaited. */
struct pending {
	uint32_t procedure;
	uint64_t asked_ms;
};

static bool reply_procedure(void *data, uint32_t xid, uint32_t *procedure)
{
	struct gossip_node *node = data;
	const struct pending *pending =
		g_hash_table_lookup(node->pending, GUINT_TO_POINTER(xid));

	if (!pending)
		return false;
	*procedure = pending->procedure;
	return true;
}

void gossip_send(struct gossip_node *node,
		 const struct gossip_wire_message *message, const char *ip,
		 uint16_t port)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons(port) };
	char buffer[GOSSIP_WIRE_DATAGRAM_MAX_BYTES];
	size_t len = gossip_wire_encode(message, buffer);

	if (inet_pton(AF_INET, ip, &to.sin_addr) != 1)
		return;
	/* A datagram that cannot be sent is as good as lost. */
	if (sendto(h2o_socket_get_fd(node->sock), buffer, len, MSG_DONTWAIT,
		   (struct sockaddr *)&to, sizeof(to)) > 0) {
		node->counts.sent++;
		node->counts.bytes_sent += len;
	}
}

uint32_t gossip_call(struct gossip_node *node,
		     struct gossip_wire_message *message, uint32_t procedure,
		     const struct member *to)
{
	struct pending *pending = g_new0(struct pending, 1);

	pending->procedure = procedure;
	pending->asked_ms = loop_now_ms();
	message->xid = ++node->last_xid;
	g_hash_table_insert(node->pending, GUINT_TO_POINTER(message->xid),
			    pending);
	gossip_send(node, message, to->ip, to->rpc_port);
	return message->xid;
}

static gboolean pending_is_old(gpointer key, gpointer value, gpointer data)
{
	const struct pending *pending = value;
	const uint64_t *now_ms = data;

	return *now_ms - pending->asked_ms > GOSSIP_PENDING_TIMEOUT_MS;
}

static void pending_forget_old(struct gossip_node *node)
{
	uint64_t now_ms = loop_now_ms();

	g_hash_table_foreach_remove(node->pending, pending_is_old, &now_ms);
}

static struct gossip_peer *peer_get(struct gossip_node *node,
				    const struct member *member)
{
	struct gossip_peer *peer = g_hash_table_lookup(node->peers, member->id);

	if (peer) {
		peer->named_ms = loop_now_ms();
		/* A message of an earlier run of the process is outdated. */
		if (member->incarnation < peer->last.from.incarnation)
			return NULL;
		peer->last.from = *member;
		return peer;
	}
	if (strcmp(member->id, node->config.self.id) == 0 ||
	    g_hash_table_size(node->peers) >= GOSSIP_PEERS_MAX)
		return NULL;
	peer = g_new0(struct gossip_peer, 1);
	peer->last.from = *member;
	peer->named_ms = loop_now_ms();
	peer->key = slot_key(member->id);
	g_hash_table_insert(node->peers, peer->last.from.id, peer);
	g_ptr_array_add(node->order, peer);
	return peer;
}

/* Replaced processes would else fill the table within days. */
static void peers_forget_old(struct gossip_node *node)
{
	uint64_t now_ms = loop_now_ms();

	for (guint i = node->order->len; i > 0; i--) {
		struct gossip_peer *peer =
			g_ptr_array_index(node->order, i - 1);

		if (now_ms - peer->named_ms <= GOSSIP_PEER_EXPIRY_MS)
			continue;
		g_ptr_array_remove_index(node->order, i - 1);
		g_hash_table_remove(node->peers, peer->last.from.id);
	}
}

/* The operator's tool serves no callers: it is heard but not counted. */
static bool is_operator_tool(const struct member *member)
{
	return member->http_port == 0;
}

static void heartbeat_take(struct gossip_node *node,
			   const struct gossip_heartbeat *heartbeat,
			   uint64_t asked_ms)
{
	struct gossip_peer *peer = is_operator_tool(&heartbeat->from)
					   ? &node->operator_tool
					   : peer_get(node, &heartbeat->from);

	if (!peer)
		return;
	peer->last = *heartbeat;
	peer->heard_ms = loop_now_ms();
	node->ops->on_heartbeat(node->data, heartbeat, asked_ms);
}

static void heartbeat_fill(struct gossip_node *node,
			   struct gossip_heartbeat *heartbeat)
{
	memset(heartbeat, 0, sizeof(*heartbeat));
	node->ops->fill_heartbeat(node->data, heartbeat);
	heartbeat->from = node->config.self;
}

static void heartbeat_reply(struct gossip_node *node,
			    const struct gossip_wire_message *call,
			    const char *ip, uint16_t port)
{
	struct gossip_wire_message reply = {
		.kind = GOSSIP_WIRE_HEARTBEAT_REPLY, .xid = call->xid
	};

	heartbeat_fill(node, &reply.heartbeat);
	gossip_send(node, &reply, ip, port);
}

static void reply_take(struct gossip_node *node,
		       const struct gossip_wire_message *message)
{
	gpointer key = GUINT_TO_POINTER(message->xid);
	const struct pending *pending = g_hash_table_lookup(node->pending, key);
	uint64_t asked_ms = pending->asked_ms;

	g_hash_table_remove(node->pending, key);
	if (message->kind == GOSSIP_WIRE_HEARTBEAT_REPLY)
		heartbeat_take(node, &message->heartbeat, asked_ms);
	else
		gossip_fetch_on_reply(node, message);
}

static void message_take(struct gossip_node *node,
			 const struct gossip_wire_message *message,
			 const char *ip, uint16_t port)
{
	switch (message->kind) {
	case GOSSIP_WIRE_HEARTBEAT_CALL:
		/*
		 * A call may have waited in the socket while this process was
		 * paused, so it proves nothing about the present: asked at 0.
		 */
		heartbeat_take(node, &message->heartbeat, 0);
		heartbeat_reply(node, message, ip, port);
		break;
	case GOSSIP_WIRE_FETCH_CALL:
		gossip_fetch_serve(node, message, ip, port);
		break;
	case GOSSIP_WIRE_SLOT_REPORT:
	case GOSSIP_WIRE_SLOT_GRANT:
		gossip_slots_dispatch(node, message);
		break;
	case GOSSIP_WIRE_HEARTBEAT_REPLY:
	case GOSSIP_WIRE_FETCH_REPLY:
		reply_take(node, message);
	}
}

static bool datagram_take(struct gossip_node *node)
{
	char buffer[GOSSIP_WIRE_DATAGRAM_MAX_BYTES + 1];
	char ip[INET_ADDRSTRLEN];
	struct sockaddr_in from = { 0 };
	socklen_t from_len = sizeof(from);
	struct gossip_wire_message message = { 0 };
	ssize_t len =
		recvfrom(h2o_socket_get_fd(node->sock), buffer, sizeof(buffer),
			 MSG_DONTWAIT, (struct sockaddr *)&from, &from_len);

	if (len < 0)
		return false;
	node->counts.received++;
	node->counts.bytes_received += (uint64_t)len;
	if (gossip_wire_decode(buffer, (size_t)len, reply_procedure, node,
			       &message) != ERR_NONE) {
		node->counts.dropped++;
		return true;
	}
	inet_ntop(AF_INET, &from.sin_addr, ip, sizeof(ip));
	/* The tool learns its settings' addresses only from this side. */
	if (message.kind == GOSSIP_WIRE_HEARTBEAT_CALL &&
	    is_operator_tool(&message.heartbeat.from))
		g_strlcpy(message.heartbeat.from.ip, ip,
			  sizeof(message.heartbeat.from.ip));
	message_take(node, &message, ip, ntohs(from.sin_port));
	return true;
}

static void on_readable(h2o_socket_t *sock, const char *err)
{
	struct gossip_node *node = sock->data;

	for (int i = 0; !err && i < GOSSIP_DATAGRAMS_PER_TURN; i++) {
		if (!datagram_take(node))
			return;
	}
}

static void heartbeats_send(struct gossip_node *node, uint32_t count)
{
	struct gossip_wire_message call = {
		.kind = GOSSIP_WIRE_HEARTBEAT_CALL
	};

	heartbeat_fill(node, &call.heartbeat);
	for (uint32_t i = 0; i < MIN(count, node->order->len); i++) {
		const struct gossip_peer *peer = g_ptr_array_index(
			node->order, node->cursor % node->order->len);

		node->cursor++;
		gossip_call(node, &call, PEER_HEARTBEAT, &peer->last.from);
	}
}

static void on_period(void *data)
{
	struct gossip_node *node = data;

	loop_timer_set(node->loop, &node->period_timer,
		       node->config.heartbeat_interval_ms);
	pending_forget_old(node);
	peers_forget_old(node);
	heartbeats_send(node, node->config.fan_out);
}

static enum err_kind socket_open(struct gossip_node *node)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(node->config.port) };
	socklen_t len = sizeof(addr);
	int fd;

	if (inet_pton(AF_INET, node->config.self.ip, &addr.sin_addr) != 1)
		return ERR_INVALID;
	fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return ERR_IO;
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
	    getsockname(fd, (struct sockaddr *)&addr, &len) != 0) {
		close(fd);
		return ERR_IO;
	}
	node->config.self.rpc_port = ntohs(addr.sin_port);
	node->sock = h2o_evloop_socket_create(loop_h2o(node->loop), fd,
					      H2O_SOCKET_FLAG_DONT_READ);
	node->sock->data = node;
	h2o_socket_read_start(node->sock, on_readable);
	return ERR_NONE;
}

enum err_kind gossip_node_create(struct loop *loop,
				 const struct gossip_config *config,
				 const struct gossip_ops *ops, void *data,
				 struct gossip_node **out)
{
	struct gossip_node *node = g_new0(struct gossip_node, 1);
	enum err_kind err;

	node->loop = loop;
	node->config = *config;
	node->ops = ops;
	node->data = data;
	err = socket_open(node);
	if (err != ERR_NONE) {
		g_free(node);
		return err;
	}
	node->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	node->order = g_ptr_array_new();
	node->pending = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	node->last_xid = g_random_int();
	node->cursor = g_random_int() % GOSSIP_PEERS_MAX;
	g_queue_init(&node->fetches);
	node->period_timer.cb = on_period;
	node->period_timer.data = node;
	loop_timer_set(loop, &node->period_timer, 0);
	*out = node;
	return ERR_NONE;
}

void gossip_node_destroy(struct gossip_node *node)
{
	if (!node)
		return;
	timer_cancel(&node->period_timer);
	gossip_fetches_cancel(node);
	h2o_socket_close(node->sock);
	g_hash_table_unref(node->pending);
	g_ptr_array_unref(node->order);
	g_hash_table_unref(node->peers);
	g_free(node);
}

uint16_t gossip_node_port(const struct gossip_node *node)
{
	return node->config.self.rpc_port;
}

void gossip_node_add_member(struct gossip_node *node,
			    const struct member *member)
{
	peer_get(node, member);
}

void gossip_node_announce(struct gossip_node *node)
{
	heartbeats_send(node, GOSSIP_ANNOUNCE_MAX);
}

void gossip_node_probe_all(struct gossip_node *node)
{
	heartbeats_send(node, node->order->len);
}

uint32_t gossip_node_live_count(const struct gossip_node *node)
{
	uint64_t now_ms = loop_now_ms();
	uint32_t live = 1;

	for (guint i = 0; i < node->order->len; i++) {
		const struct gossip_peer *peer =
			g_ptr_array_index(node->order, i);

		if (peer->heard_ms != 0 &&
		    now_ms - peer->heard_ms <=
			    node->config.unreachable_after_ms)
			live++;
	}
	return live;
}

uint32_t gossip_node_known_count(const struct gossip_node *node)
{
	return node->order->len + 1;
}

void gossip_node_foreach_peer(const struct gossip_node *node,
			      void (*cb)(void *data,
					 const struct gossip_heartbeat *last,
					 uint64_t heard_ms),
			      void *data)
{
	for (guint i = 0; i < node->order->len; i++) {
		const struct gossip_peer *peer =
			g_ptr_array_index(node->order, i);

		cb(data, &peer->last, peer->heard_ms);
	}
}

const struct gossip_counts *gossip_node_counts(const struct gossip_node *node)
{
	return &node->counts;
}
