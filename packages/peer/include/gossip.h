/**
 * @file gossip.h
 * @brief The system's other processes: ONC RPC over UDP on the one loop.
 *
 * Prefix: per_. Messages are XDR-encoded; packages/peer/src/peer_prog.x
 * defines them. Every message is safe to lose and to repeat.
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

/** VMs that one heartbeat tells are leaving. */
#define GOSSIP_DRAINING_MAX 24
/** Pools whose load one heartbeat tells. */
#define GOSSIP_LOADS_MAX 64

/** What a process tells of itself with each heartbeat. */
struct gossip_heartbeat {
	struct member from;
	struct head head;
	uint64_t applied_roll;
	uint64_t applied_placement;
	bool shutting_down;
	/** whether its word on the newest placement counts, see hed.h */
	bool caught_up;
	/** time since its placement was confirmed, see
	 * head_confirmation_age_ms() */
	uint32_t confirmed_age_ms;
	/** VMs known to be leaving */
	struct draining_notice draining[GOSSIP_DRAINING_MAX];
	uint32_t draining_count;
	/** pools with any demand at this process */
	struct demand_load loads[GOSSIP_LOADS_MAX];
	uint32_t load_count;
};

/** Texts that peers fetch from each other. */
enum gossip_document {
	/** envelope of the bundle with a given version */
	GOSSIP_DOCUMENT_BUNDLE,
	/** placement with at least a given number */
	GOSSIP_DOCUMENT_PLACEMENT,
};

/** What the peer side calls. */
struct gossip_ops {
	/** fills what the next heartbeat is to say */
	void (*fill_heartbeat)(void *data, struct gossip_heartbeat *heartbeat);
	/** a peer's heartbeat or its reply arrived; asked_ms is the time at
	 *  which this process sent the question, or received the call */
	void (*on_heartbeat)(void *data,
			     const struct gossip_heartbeat *heartbeat,
			     uint64_t asked_ms);
	/** returns the text of a document held here, or NULL */
	const char *(*document)(void *data, enum gossip_document document,
				uint64_t number, uint32_t *len);
	/** a peer reported the slots that it holds; from is its identity */
	void (*on_slot_report)(void *data, const char *from,
			       const struct slot_report *report);
	/** the owner of a pool granted slots to this process */
	void (*on_slot_grant)(void *data, const char *from,
			      const struct slot_grant *grant);
};

/** Address, pace and identity. */
struct gossip_config {
	struct member self;
	/** 0 for any free port; self.rpc_port is then ignored */
	uint16_t port;
	uint32_t heartbeat_interval_ms;
	/** peers that are sent a heartbeat in each period */
	uint32_t fan_out;
	/** time without a heartbeat after which a peer counts as gone */
	uint32_t unreachable_after_ms;
};

/** The peer side, opaque. */
struct gossip_node;

/** Ends the fetch of a document; text is NULL unless err is ERR_NONE. */
typedef void (*gossip_fetch_cb)(void *data, enum err_kind err, const char *text,
				uint32_t len);

/** Datagrams of a node. */
struct gossip_counts {
	uint64_t sent;
	uint64_t received;
	/** received but malformed or answering no call */
	uint64_t dropped;
	uint64_t bytes_sent;
	uint64_t bytes_received;
};

/** @brief Opens the socket. @return ERR_NONE, ERR_INVALID, ERR_IO */
enum err_kind gossip_node_create(struct loop *loop,
				 const struct gossip_config *config,
				 const struct gossip_ops *ops, void *data,
				 struct gossip_node **out);

/** @brief Closes the socket. @param node may be NULL */
void gossip_node_destroy(struct gossip_node *node);

/** @brief Returns the UDP port in use. */
uint16_t gossip_node_port(const struct gossip_node *node);

/** @brief Adds or updates a member heard of through the platform. */
void gossip_node_add_member(struct gossip_node *node,
			    const struct member *member);

/** @brief Sends a heartbeat to all known peers now, after a change. */
void gossip_node_announce(struct gossip_node *node);

/** @brief Sends a heartbeat to every known peer now, to be answered. */
void gossip_node_probe_all(struct gossip_node *node);

/** @brief Reports slots to the peer whose identity has a key. */
void gossip_node_report_slots(struct gossip_node *node, uint64_t to,
			      const struct slot_report *report);

/** @brief Grants slots to the peer whose identity has a key. */
void gossip_node_grant_slots(struct gossip_node *node, uint64_t to,
			     const struct slot_grant *grant);

/** @brief Counts the peers heard within gone_after_ms, this one included. */
uint32_t gossip_node_live_count(const struct gossip_node *node);

/**
 * @brief Counts the processes known, heard of late or not, this one included.
 *
 * For sharing rates: with few heartbeats a second most of a large fleet is
 * known but was not heard within gone_after_ms.
 */
uint32_t gossip_node_known_count(const struct gossip_node *node);

/**
 * @brief Lists the newest heartbeat of each known peer.
 * @param cb called for each, with the time it was heard; 0 for never
 */
void gossip_node_foreach_peer(const struct gossip_node *node,
			      void (*cb)(void *data,
					 const struct gossip_heartbeat *last,
					 uint64_t heard_ms),
			      void *data);

/** @brief Returns the node's counts, owned by it. */
const struct gossip_counts *gossip_node_counts(const struct gossip_node *node);

/**
 * @brief Fetches a document from any peer that has it.
 *
 * Ends with ERR_NOT_FOUND when no peer had it, ERR_TIMEOUT when none
 * answered. The text is as the peer sent it: its digest, signature and
 * content are checked by the caller.
 */
void gossip_node_fetch(struct gossip_node *node, enum gossip_document document,
		       uint64_t number, gossip_fetch_cb cb, void *data);

#endif
