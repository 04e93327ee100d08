#include <string.h>

#include "gossip_private.h"

#define FETCH_CHUNK_TIMEOUT_MS 300
#define FETCH_TRIES_PER_CHUNK 3
/* A document that a peer announces as larger is not fetched. */
#define FETCH_TEXT_MAX_BYTES (1024u * 1024u)

/* A document being fetched, chunk after chunk, from one peer at a time. */
struct gossip_fetch {
	struct gossip_node *node;
	enum gossip_document document;
	uint64_t number;
	gossip_fetch_cb cb;
	void *data;
	GByteArray *text;
	/*
	 * Steps over the peers so far, from a start of its own: two rounds,
	 * first those that are likely to hold the document.
	 */
	uint32_t start;
	uint32_t steps;
	/* the operator's tool is asked before the peers */
	bool ask_tool;
	uint32_t tries;
	uint32_t xid;
	bool answered;
	struct timer timer;
};

static void fetch_free(struct gossip_fetch *fetch)
{
	timer_cancel(&fetch->timer);
	g_queue_remove(&fetch->node->fetches, fetch);
	g_byte_array_unref(fetch->text);
	g_free(fetch);
}

static void fetch_end(struct gossip_fetch *fetch, enum err_kind err)
{
	const guint8 zero = 0;
	uint32_t len = fetch->text->len;

	g_byte_array_append(fetch->text, &zero, 1);
	fetch->cb(fetch->data, err,
		  err == ERR_NONE ? (const char *)fetch->text->data : NULL,
		  err == ERR_NONE ? len : 0);
	fetch_free(fetch);
}

static const struct gossip_peer *peer_at_step(const struct gossip_fetch *fetch)
{
	const GPtrArray *order = fetch->node->order;

	return g_ptr_array_index(order,
				 (fetch->start + fetch->steps) % order->len);
}

/* Tells from the peer's last heartbeat whether it has the document. */
static bool peer_is_likely(const struct gossip_fetch *fetch,
			   const struct gossip_peer *peer)
{
	const struct gossip_heartbeat *last = &peer->last;

	if (peer->heard_ms == 0 ||
	    loop_now_ms() - peer->heard_ms >
		    fetch->node->config.unreachable_after_ms)
		return false;
	if (fetch->document == GOSSIP_DOCUMENT_PLACEMENT)
		return last->applied_placement >= fetch->number;
	return last->applied_roll == last->head.roll &&
	       last->head.version == fetch->number;
}

/* Returns the peer to ask; there is one. */
static const struct gossip_peer *peer_to_ask(const struct gossip_fetch *fetch)
{
	return fetch->ask_tool ? &fetch->node->operator_tool
			       : peer_at_step(fetch);
}

/* Goes to the next peer to ask; false when both rounds are over. */
static bool peer_seek(struct gossip_fetch *fetch)
{
	uint32_t count = fetch->node->order->len;

	for (; fetch->steps < 2 * count; fetch->steps++) {
		bool second_round = fetch->steps >= count;

		if (peer_is_likely(fetch, peer_at_step(fetch)) != second_round)
			return true;
	}
	return false;
}

static void chunk_ask(struct gossip_fetch *fetch)
{
	struct gossip_node *node = fetch->node;
	const struct gossip_peer *peer = peer_to_ask(fetch);
	struct gossip_wire_message call = { .kind = GOSSIP_WIRE_FETCH_CALL };

	call.fetch.document = fetch->document;
	call.fetch.number = fetch->number;
	call.fetch.offset = fetch->text->len;
	fetch->tries++;
	fetch->xid = gossip_call(node, &call, PEER_FETCH, &peer->last.from);
	loop_timer_set(node->loop, &fetch->timer, FETCH_CHUNK_TIMEOUT_MS);
}

static void next_peer_ask(struct gossip_fetch *fetch)
{
	if (fetch->ask_tool)
		fetch->ask_tool = false;
	else
		fetch->steps++;
	fetch->tries = 0;
	g_byte_array_set_size(fetch->text, 0);
	if (peer_seek(fetch))
		chunk_ask(fetch);
	else
		fetch_end(fetch, fetch->answered ? ERR_NOT_FOUND : ERR_TIMEOUT);
}

static void on_chunk_timeout(void *data)
{
	struct gossip_fetch *fetch = data;

	if (!fetch->ask_tool && !peer_seek(fetch))
		fetch_end(fetch, ERR_NOT_FOUND);
	else if (fetch->tries < FETCH_TRIES_PER_CHUNK)
		chunk_ask(fetch);
	else
		next_peer_ask(fetch);
}

static struct gossip_fetch *fetch_find(struct gossip_node *node, uint32_t xid)
{
	for (GList *link = node->fetches.head; link; link = link->next) {
		struct gossip_fetch *fetch = link->data;

		if (fetch->xid == xid)
			return fetch;
	}
	return NULL;
}

static bool chunk_fits(const struct gossip_fetch *fetch,
		       const struct gossip_wire_chunk *chunk)
{
	return chunk->total > 0 && chunk->total <= FETCH_TEXT_MAX_BYTES &&
	       chunk->len > 0 && chunk->offset == fetch->text->len &&
	       chunk->len <= chunk->total - chunk->offset;
}

void gossip_fetch_on_reply(struct gossip_node *node,
			   const struct gossip_wire_message *reply)
{
	struct gossip_fetch *fetch = fetch_find(node, reply->xid);

	if (!fetch)
		return;
	fetch->answered = true;
	if (!chunk_fits(fetch, &reply->chunk)) {
		next_peer_ask(fetch);
		return;
	}
	g_byte_array_append(fetch->text, (const guint8 *)reply->chunk.bytes,
			    reply->chunk.len);
	fetch->tries = 0;
	if (fetch->text->len == reply->chunk.total)
		fetch_end(fetch, ERR_NONE);
	else if (node->order->len == 0)
		fetch_end(fetch, ERR_NOT_FOUND);
	else
		chunk_ask(fetch);
}

void gossip_fetch_serve(struct gossip_node *node,
			const struct gossip_wire_message *call, const char *ip,
			uint16_t port)
{
	struct gossip_wire_message reply = { .kind = GOSSIP_WIRE_FETCH_REPLY,
					     .xid = call->xid };
	uint32_t offset = call->fetch.offset;
	uint32_t total = 0;
	const char *text = node->ops->document(node->data, call->fetch.document,
					       call->fetch.number, &total);

	if (text && offset < total) {
		reply.chunk.total = total;
		reply.chunk.offset = offset;
		reply.chunk.len = MIN(total - offset, (uint32_t)PEER_CHUNK_MAX);
		memcpy(reply.chunk.bytes, text + offset, reply.chunk.len);
	}
	gossip_send(node, &reply, ip, port);
}

void gossip_fetches_cancel(struct gossip_node *node)
{
	while (!g_queue_is_empty(&node->fetches))
		fetch_free(g_queue_peek_head(&node->fetches));
}

void gossip_node_fetch(struct gossip_node *node, enum gossip_document document,
		       uint64_t number, gossip_fetch_cb cb, void *data)
{
	struct gossip_fetch *fetch = g_new0(struct gossip_fetch, 1);

	fetch->node = node;
	fetch->document = document;
	fetch->number = number;
	fetch->cb = cb;
	fetch->data = data;
	fetch->text = g_byte_array_new();
	fetch->start = g_random_int() % GOSSIP_PEERS_MAX;
	fetch->timer.cb = on_chunk_timeout;
	fetch->timer.data = fetch;
	g_queue_push_tail(&node->fetches, fetch);
	/* The callback never runs within this call. */
	fetch->ask_tool = peer_is_likely(fetch, &node->operator_tool);
	if (fetch->ask_tool || peer_seek(fetch))
		chunk_ask(fetch);
	else
		loop_timer_set(node->loop, &fetch->timer, 0);
}
