/**
 * @file per_private.h
 * @brief What the parts of the peer side share.
 */
#ifndef PER_PRIVATE_H
#define PER_PRIVATE_H

#include <glib.h>

#include "per.h"
#include "per_wire.h"

/** Peers known at most; the design size has 300 processes. */
#define PER_PEERS_MAX 1024
/** A peer that nobody named for this long is forgotten. */
#define PER_FORGET_MS 300000
/** Peers told at once of a change; they tell others. */
#define PER_ANNOUNCE_MAX 16

/** A known peer and its newest heartbeat. */
struct per_peer {
	struct per_heartbeat last;
	/** monotonic time, 0 for never heard */
	uint64_t heard_ms;
	/** monotonic time at which it was last named by anyone */
	uint64_t named_ms;
	/** slot_key() of its identity */
	uint64_t key;
};

struct per_node {
	struct loop *loop;
	struct per_config config;
	const struct per_ops *ops;
	void *data;
	h2o_socket_t *sock;
	/** identity to struct per_peer */
	GHashTable *peers;
	/** the same peers in the order they became known */
	GPtrArray *order;
	/** an operator's tool that told of a roll; no process of the fleet */
	struct per_peer operator_tool;
	uint32_t cursor;
	/** xid to struct pending */
	GHashTable *pending;
	uint32_t last_xid;
	/** struct per_fetch in progress */
	GQueue fetches;
	struct timer period_timer;
	struct per_counts counts;
};

/** @brief Sends a message to an address; loss is not reported. */
void per_send(struct per_node *node, const struct pwr_message *message,
	      const char *ip, uint16_t port);

/** @brief Sends a call and awaits its reply. @return the call's xid */
uint32_t per_call(struct per_node *node, struct pwr_message *message,
		  uint32_t procedure, const struct member *to);

/** @brief Takes a slot message. */
void per_slots_take(struct per_node *node, const struct pwr_message *message);

/** @brief Answers a peer that fetches a document. */
void per_fetch_answer(struct per_node *node, const struct pwr_message *call,
		      const char *ip, uint16_t port);

/** @brief Takes the reply to a fetch call. */
void per_fetch_reply(struct per_node *node, const struct pwr_message *reply);

/** @brief Frees the fetches in progress without their callbacks. */
void per_fetches_abandon(struct per_node *node);

#endif
