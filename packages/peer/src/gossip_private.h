/**
 * @file gossip_private.h
 * @brief Shared by the source files of the gossip protocol.
 */
#ifndef GOSSIP_PRIVATE_H
#define GOSSIP_PRIVATE_H

#include <glib.h>

#include "gossip.h"
#include "gossip_wire.h"

/** Maximum number of known peers; the system is designed for 300 processes. */
#define GOSSIP_PEERS_MAX 1024
/** Time after which a peer is removed if no message or member list names
 *  it. */
#define GOSSIP_PEER_EXPIRY_MS 300000
/** Peers that are sent a change immediately; they spread it further. */
#define GOSSIP_ANNOUNCE_MAX 16

/** A known peer and its latest heartbeat. */
struct gossip_peer {
	struct gossip_heartbeat last;
	/** monotonic time of the latest heartbeat, 0 if none was received */
	uint64_t last_heard_ms;
	/** monotonic time of the last message or member list that named it */
	uint64_t last_named_ms;
	/** slot_key() of the member ID */
	uint64_t key;
};

struct gossip_node {
	struct loop *loop;
	struct gossip_config config;
	const struct gossip_ops *ops;
	void *data;
	h2o_socket_t *sock;
	/** member ID to struct gossip_peer */
	GHashTable *peers;
	/** the same peers in the order in which they were added */
	GPtrArray *peer_list;
	/** sassafrasctl when it announces a roll; not a process of the fleet */
	struct gossip_peer operator_tool;
	/** index in peer_list of the next peer to send a heartbeat to */
	uint32_t next_peer;
	/** xid to struct pending_call */
	GHashTable *pending_calls;
	uint32_t last_xid;
	/** list of struct gossip_fetch in progress */
	GQueue fetches;
	struct timer heartbeat_timer;
	struct gossip_counts counts;
};

/** @brief Sends a message to an address; errors are treated as packet loss. */
void gossip_send(struct gossip_node *node,
		 const struct gossip_wire_message *message, const char *ip,
		 uint16_t port);

/**
 * @brief Sends a call and registers it, so that its reply can be matched.
 * @return xid of the call
 */
uint32_t gossip_call(struct gossip_node *node,
		     struct gossip_wire_message *message, uint32_t procedure,
		     const struct member *to);

/** @brief Passes a slot message to the callbacks of the node. */
void gossip_slots_dispatch(struct gossip_node *node,
			   const struct gossip_wire_message *message);

/** @brief Replies to a peer that fetches a document. */
void gossip_fetch_serve(struct gossip_node *node,
			const struct gossip_wire_message *call, const char *ip,
			uint16_t port);

/** @brief Processes the reply to a fetch call. */
void gossip_fetch_on_reply(struct gossip_node *node,
			   const struct gossip_wire_message *reply);

/** @brief Cancels the fetches in progress without calling their callbacks. */
void gossip_fetches_cancel(struct gossip_node *node);

#endif
