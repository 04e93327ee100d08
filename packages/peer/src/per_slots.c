#include "per_private.h"

static const struct per_peer *peer_by_key(const struct per_node *node,
					  uint64_t key)
{
	for (guint i = 0; i < node->order->len; i++) {
		const struct per_peer *peer = g_ptr_array_index(node->order, i);

		if (peer->key == key)
			return peer;
	}
	return NULL;
}

/* Slot messages are calls without a reply: losing one is harmless. */
static void slots_send(struct per_node *node, uint64_t to,
		       struct pwr_message *message)
{
	const struct per_peer *peer = peer_by_key(node, to);

	if (!peer)
		return;
	g_strlcpy(message->from, node->config.self.id, sizeof(message->from));
	message->xid = ++node->last_xid;
	per_send(node, message, peer->last.from.ip, peer->last.from.rpc_port);
}

void per_node_report_slots(struct per_node *node, uint64_t to,
			   const struct slot_report *report)
{
	struct pwr_message message = { .kind = PWR_SLOT_REPORT,
				       .report = *report };

	slots_send(node, to, &message);
}

void per_node_grant_slots(struct per_node *node, uint64_t to,
			  const struct slot_grant *grant)
{
	struct pwr_message message = { .kind = PWR_SLOT_GRANT,
				       .grant = *grant };

	slots_send(node, to, &message);
}

void per_slots_take(struct per_node *node, const struct pwr_message *message)
{
	if (message->kind == PWR_SLOT_REPORT)
		node->ops->on_slot_report(node->data, message->from,
					  &message->report);
	else
		node->ops->on_slot_grant(node->data, message->from,
					 &message->grant);
}
