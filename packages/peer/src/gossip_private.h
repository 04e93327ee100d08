/**
 * @file gossip_private.h
 * @brief What the parts of the peer side share.
 */
#ifndef GOSSIP_PRIVATE_H
#define GOSSIP_PRIVATE_H

#include <glib.h>

#include "gossip.h"
#include "gossip_wire.h"

/** Peers known at most; the design size has 300 processes. */
#define GOSSIP_PEERS_MAX 1024
/** A peer that nobody named for this long is forgotten. */
#define GOSSIP_PEER_EXPIRY_MS 300000
/** Peers told at once of a change; they tell others. */
#define GOSSIP_ANNOUNCE_MAX 16

/** A known peer and its newest heartbeat. */
struct gossip_peer {
	struct gossip_heartbeat last;
	/** monotonic time, 0 for never heard */
	uint64_t heard_ms;
	/** monotonic time at which it was last named by anyone */
	uint64_t named_ms;
	/** slot_key() of its identity */
	uint64_t key;
};

struct gossip_node {
	struct loop *loop;
	struct gossip_config config;
	const struct gossip_ops *ops;
	void *data;
	h2o_socket_t *sock;
	/** identity to struct gossip_peer */
	GHashTable *peers;
	/** the same peers in the order they became known */
	GPtrArray *order;
	/** an operator's tool that told of a roll; no process of the fleet */
	struct gossip_peer operator_tool;
	uint32_t cursor;
	/** xid to struct pending */
	GHashTable *pending;
	uint32_t last_xid;
	/** struct gossip_fetch in progress */
	GQueue fetches;
	struct timer period_timer;
	struct gossip_counts counts;
};

/** @brief Sends a message to an address; loss is not reported. */
void gossip_send(struct gossip_node *node,
		 const struct gossip_wire_message *message, const char *ip,
		 uint16_t port);

/** @brief Sends a call and awaits its reply. @return the call's xid */
uint32_t gossip_call(struct gossip_node *node,
		     struct gossip_wire_message *message, uint32_t procedure,
		     const struct member *to);

/** @brief Takes a slot message. */
void gossip_slots_dispatch(struct gossip_node *node,
			   const struct gossip_wire_message *message);

/** @brief Answers a peer that fetches a document. */
void gossip_fetch_serve(struct gossip_node *node,
			const struct gossip_wire_message *call, const char *ip,
			uint16_t port);

/** @brief Takes the reply to a fetch call. */
void gossip_fetch_on_reply(struct gossip_node *node,
			   const struct gossip_wire_message *reply);

/** @brief Frees the fetches in progress without their callbacks. */
void gossip_fetches_cancel(struct gossip_node *node);

#endif
