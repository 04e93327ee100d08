/**
 * @file gossip.h
 * @brief Gossip protocol between the processes: heartbeats, slot messages and
 *        document transfer by ONC RPC over UDP.
 *
 * Prefix: gossip_. packages/peer/src/peer_prog.x defines the messages. Each
 * message may be lost or duplicated without harm.
 */
#ifndef GOSSIP_H
#define GOSSIP_H

#include <stdbool.h>
#include <stdint.h>

#include "demand.h"
#include "err.h"
#include "loop.h"
#include "head.h"
#include "draining.h"
#include "member.h"
#include "slot.h"

/** Maximum number of draining VMs in a heartbeat. */
#define GOSSIP_DRAINING_MAX 24
/** Maximum number of pools whose load is in a heartbeat. */
#define GOSSIP_LOADS_MAX 64

/** State that a process publishes in each heartbeat. */
struct gossip_heartbeat {
	struct member from;
	struct head head;
	uint64_t applied_roll;
	uint64_t applied_placement;
	bool shutting_down;
	/** the sender has applied the placement number that the platform
	 *  returned first after the sender started; if false, its heartbeats
	 *  do not count in a quorum; see head_has_caught_up() */
	bool caught_up;
	/** time since the sender's placement was confirmed, see
	 *  head_confirmation_age_ms() */
	uint32_t confirmed_age_ms;
	/** VMs known to be draining */
	struct draining_notice draining[GOSSIP_DRAINING_MAX];
	uint32_t draining_count;
	/** load of the pools with demand at the sender */
	struct demand_load loads[GOSSIP_LOADS_MAX];
	uint32_t load_count;
};

/** Documents that processes fetch from each other. */
enum gossip_document {
	/** envelope of the bundle with the requested version */
	GOSSIP_DOCUMENT_BUNDLE,
	/** placement with the requested number or a later one */
	GOSSIP_DOCUMENT_PLACEMENT,
};

/** Callbacks of a node. */
struct gossip_ops {
	/** fills the next heartbeat to send */
	void (*fill_heartbeat)(void *data, struct gossip_heartbeat *heartbeat);
	/** a heartbeat was received. sent_ms is the monotonic time at which
	 *  this process sent the heartbeat that this one replies to, 0 if it
	 *  is not a reply */
	void (*on_heartbeat)(void *data,
			     const struct gossip_heartbeat *heartbeat,
			     uint64_t sent_ms);
	/** returns the text of a document, NULL if this process lacks it */
	const char *(*document)(void *data, enum gossip_document document,
				uint64_t number, uint32_t *len);
	/** a peer reported the slots that it holds; from is its member ID */
	void (*on_slot_report)(void *data, const char *from,
			       const struct slot_report *report);
	/** the owner of a pool granted slots to this process */
	void (*on_slot_grant)(void *data, const char *from,
			      const struct slot_grant *grant);
};

/** Identity, address and timing of a node. */
struct gossip_config {
	struct member self;
	/** 0 for any free port; self.rpc_port is then ignored */
	uint16_t port;
	uint32_t heartbeat_interval_ms;
	/** number of peers that are sent a heartbeat in each interval */
	uint32_t fan_out;
	/** time without a heartbeat after which a peer is unreachable */
	uint32_t unreachable_after_ms;
};

/** This process as a node of the gossip protocol, opaque. */
struct gossip_node;

/** Reports the result of a fetch; text is NULL unless err is ERR_NONE, and
 *  valid during the call. */
typedef void (*gossip_fetch_cb)(void *data, enum err_kind err, const char *text,
				uint32_t len);

/** Datagram counters of a node. */
struct gossip_counts {
	uint64_t sent;
	uint64_t received;
	/** received, but malformed or a reply to no call in flight */
	uint64_t dropped;
	uint64_t bytes_sent;
	uint64_t bytes_received;
};

/**
 * @brief Creates a node and opens its UDP socket.
 * @return ERR_NONE, ERR_INVALID for a bad address, ERR_IO
 */
enum err_kind gossip_node_create(struct loop *loop,
				 const struct gossip_config *config,
				 const struct gossip_ops *ops, void *data,
				 struct gossip_node **out);

/**
 * @brief Closes the socket and frees the node; fetches end without callback.
 * @param node may be NULL
 */
void gossip_node_destroy(struct gossip_node *node);

/** @brief Returns the UDP port in use. */
uint16_t gossip_node_port(const struct gossip_node *node);

/** @brief Adds or updates a peer, as listed by the platform. */
void gossip_node_add_member(struct gossip_node *node,
			    const struct member *member);

/** @brief Sends heartbeats to up to 16 peers now, to spread a change. */
void gossip_node_announce(struct gossip_node *node);

/** @brief Sends a heartbeat to every known peer now, to get their replies. */
void gossip_node_probe_all(struct gossip_node *node);

/**
 * @brief Sends a slot report.
 * @param to slot_key() of the receiver's member ID; if no such peer is known,
 *        nothing is sent
 */
void gossip_node_report_slots(struct gossip_node *node, uint64_t to,
			      const struct slot_report *report);

/**
 * @brief Sends a slot grant.
 * @param to slot_key() of the receiver's member ID; if no such peer is known,
 *        nothing is sent
 */
void gossip_node_grant_slots(struct gossip_node *node, uint64_t to,
			     const struct slot_grant *grant);

/** @brief Counts the reachable processes, including this one. */
uint32_t gossip_node_live_count(const struct gossip_node *node);

/**
 * @brief Counts the known processes, reachable or not, including this one.
 *
 * Use this to divide a rate limit among the processes: in a large fleet with
 * few heartbeats per second, most known peers send this process no heartbeat
 * within unreachable_after_ms.
 */
uint32_t gossip_node_known_count(const struct gossip_node *node);

/**
 * @brief Calls cb with the latest heartbeat of each known peer.
 * @param cb heard_ms is the monotonic time of the heartbeat, 0 if none was
 *        received
 */
void gossip_node_foreach_peer(const struct gossip_node *node,
			      void (*cb)(void *data,
					 const struct gossip_heartbeat *last,
					 uint64_t heard_ms),
			      void *data);

/** @brief Returns the datagram counters, owned by the node. */
const struct gossip_counts *gossip_node_counts(const struct gossip_node *node);

/**
 * @brief Fetches a document from any peer that has it.
 *
 * Fails with ERR_NOT_FOUND if no peer has the document, ERR_TIMEOUT if no peer
 * replied. The text is untrusted: the calling code must verify its digest,
 * signature and content. cb never runs before this function returns.
 */
void gossip_node_fetch(struct gossip_node *node, enum gossip_document document,
		       uint64_t number, gossip_fetch_cb cb, void *data);

#endif
