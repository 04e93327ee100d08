#include <string.h>

#include "gossip_private.h"

#define FETCH_CHUNK_TIMEOUT_MS 300
#define FETCH_ATTEMPTS_PER_CHUNK 3
/* Maximum size of a document; a peer that announces a larger one is skipped. */
#define FETCH_TEXT_MAX_BYTES (1024u * 1024u)

/* A fetch in progress: chunk by chunk, from one peer at a time. */
struct gossip_fetch {
	struct gossip_node *node;
	enum gossip_document document;
	uint64_t number;
	gossip_fetch_cb cb;
	void *data;
	GByteArray *text;
	/*
	 * Iterates over the peers twice from a random first peer: first those
	 * that likely have the document, then the others. peers_tried counts
	 * through both rounds.
	 */
	uint32_t first_peer;
	uint32_t peers_tried;
	/* request the document from sassafrasctl before any peer */
	bool try_operator_tool;
	uint32_t attempts;
	uint32_t xid;
	bool any_reply;
	struct timer timer;
};

static void fetch_free(struct gossip_fetch *fetch)
{
	timer_cancel(&fetch->timer);
	g_queue_remove(&fetch->node->fetches, fetch);
	g_byte_array_unref(fetch->text);
	g_free(fetch);
}

static void fetch_finish(struct gossip_fetch *fetch, enum err_kind err)
{
	const guint8 nul = 0;
	uint32_t len = fetch->text->len;

	g_byte_array_append(fetch->text, &nul, 1);
	fetch->cb(fetch->data, err,
		  err == ERR_NONE ? (const char *)fetch->text->data : NULL,
		  err == ERR_NONE ? len : 0);
	fetch_free(fetch);
}

static const struct gossip_peer *
peer_at_cursor(const struct gossip_fetch *fetch)
{
	const GPtrArray *peer_list = fetch->node->peer_list;

	return g_ptr_array_index(peer_list,
				 (fetch->first_peer + fetch->peers_tried) %
					 peer_list->len);
}

/* Returns true if, by its latest heartbeat, the peer has the document. */
static bool peer_likely_has_document(const struct gossip_fetch *fetch,
				     const struct gossip_peer *peer)
{
	const struct gossip_heartbeat *last = &peer->last;

	if (peer->last_heard_ms == 0 ||
	    loop_now_ms() - peer->last_heard_ms >
		    fetch->node->config.unreachable_after_ms)
		return false;
	if (fetch->document == GOSSIP_DOCUMENT_PLACEMENT)
		return last->applied_placement >= fetch->number;
	return last->applied_roll == last->head.roll &&
	       last->head.version == fetch->number;
}

static const struct gossip_peer *current_peer(const struct gossip_fetch *fetch)
{
	return fetch->try_operator_tool ? &fetch->node->operator_tool
					: peer_at_cursor(fetch);
}

/* Selects the next peer to try; returns false at the end of both rounds. */
static bool next_peer_select(struct gossip_fetch *fetch)
{
	uint32_t count = fetch->node->peer_list->len;

	for (; fetch->peers_tried < 2 * count; fetch->peers_tried++) {
		bool second_round = fetch->peers_tried >= count;

		if (peer_likely_has_document(fetch, peer_at_cursor(fetch)) !=
		    second_round)
			return true;
	}
	return false;
}

static void chunk_request(struct gossip_fetch *fetch)
{
	struct gossip_node *node = fetch->node;
	const struct gossip_peer *peer = current_peer(fetch);
	struct gossip_wire_message call = { .kind = GOSSIP_WIRE_FETCH_CALL };

	call.fetch.document = fetch->document;
	call.fetch.number = fetch->number;
	call.fetch.offset = fetch->text->len;
	fetch->attempts++;
	fetch->xid = gossip_call(node, &call, PEER_FETCH, &peer->last.from);
	loop_timer_set(node->loop, &fetch->timer, FETCH_CHUNK_TIMEOUT_MS);
}

static void next_peer_request(struct gossip_fetch *fetch)
{
	if (fetch->try_operator_tool)
		fetch->try_operator_tool = false;
	else
		fetch->peers_tried++;
	fetch->attempts = 0;
	g_byte_array_set_size(fetch->text, 0);
	if (next_peer_select(fetch))
		chunk_request(fetch);
	else
		fetch_finish(fetch,
			     fetch->any_reply ? ERR_NOT_FOUND : ERR_TIMEOUT);
}

static void on_chunk_timeout(void *data)
{
	struct gossip_fetch *fetch = data;

	if (!fetch->try_operator_tool && !next_peer_select(fetch))
		fetch_finish(fetch, ERR_NOT_FOUND);
	else if (fetch->attempts < FETCH_ATTEMPTS_PER_CHUNK)
		chunk_request(fetch);
	else
		next_peer_request(fetch);
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
	fetch->any_reply = true;
	if (!chunk_fits(fetch, &reply->chunk)) {
		next_peer_request(fetch);
		return;
	}
	g_byte_array_append(fetch->text, (const guint8 *)reply->chunk.bytes,
			    reply->chunk.len);
	fetch->attempts = 0;
	if (fetch->text->len == reply->chunk.total)
		fetch_finish(fetch, ERR_NONE);
	else if (node->peer_list->len == 0)
		fetch_finish(fetch, ERR_NOT_FOUND);
	else
		chunk_request(fetch);
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
	fetch->first_peer = g_random_int() % GOSSIP_PEERS_MAX;
	fetch->timer.cb = on_chunk_timeout;
	fetch->timer.data = fetch;
	g_queue_push_tail(&node->fetches, fetch);
	/* With no peer to try, the timer fails the fetch after this returns. */
	fetch->try_operator_tool =
		peer_likely_has_document(fetch, &node->operator_tool);
	if (fetch->try_operator_tool || next_peer_select(fetch))
		chunk_request(fetch);
	else
		loop_timer_set(node->loop, &fetch->timer, 0);
}
