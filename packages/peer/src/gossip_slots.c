#include "gossip_private.h"

static const struct gossip_peer *peer_by_key(const struct gossip_node *node,
					     uint64_t key)
{
	for (guint i = 0; i < node->peer_list->len; i++) {
		const struct gossip_peer *peer =
			g_ptr_array_index(node->peer_list, i);

		if (peer->key == key)
			return peer;
	}
	return NULL;
}

/* Slot messages are calls without a reply. Losing one is harmless, since a
 * report that no grant follows is sent again. */
static void slots_send(struct gossip_node *node, uint64_t to,
		       struct gossip_wire_message *message)
{
	const struct gossip_peer *peer = peer_by_key(node, to);

	if (!peer)
		return;
	g_strlcpy(message->from, node->config.self.id, sizeof(message->from));
	message->xid = ++node->last_xid;
	gossip_send(node, message, peer->last.from.ip,
		    peer->last.from.rpc_port);
}

void gossip_node_report_slots(struct gossip_node *node, uint64_t to,
			      const struct slot_report *report)
{
	struct gossip_wire_message message = { .kind = GOSSIP_WIRE_SLOT_REPORT,
					       .report = *report };

	slots_send(node, to, &message);
}

void gossip_node_grant_slots(struct gossip_node *node, uint64_t to,
			     const struct slot_grant *grant)
{
	struct gossip_wire_message message = { .kind = GOSSIP_WIRE_SLOT_GRANT,
					       .grant = *grant };

	slots_send(node, to, &message);
}

void gossip_slots_dispatch(struct gossip_node *node,
			   const struct gossip_wire_message *message)
{
	if (message->kind == GOSSIP_WIRE_SLOT_REPORT)
		node->ops->on_slot_report(node->data, message->from,
					  &message->report);
	else
		node->ops->on_slot_grant(node->data, message->from,
					 &message->grant);
}
