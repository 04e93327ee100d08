/**
 * @file daemon_private.h
 * @brief What the parts of the entry process share.
 */
#ifndef DAEMON_PRIVATE_H
#define DAEMON_PRIVATE_H

#include "ingress.h"
#include "counter.h"
#include "daemon.h"
#include "gateway.h"
#include "lease.h"
#include "member.h"
#include "mgr.h"
#include "gossip.h"
#include "signing.h"
#include "sync.h"

/** The entry process: its parts and how far its shutting down has come. */
struct daemon {
	struct loop *loop;
	const struct settings *settings;
	struct counter_set counters;
	struct member self;
	struct platform *platform;
	struct signing_trust_store *trust;
	struct lease *lease;
	struct mgr_manager *manager;
	struct sync *sync;
	struct gateway *gateway;
	struct ingress_server *server;
	struct gossip_node *peers;
	struct timer members_timer;
	struct timer slots_timer;
	/** start of the process, or end of a pause that lost sight of peers */
	uint64_t started_ms;
	uint64_t members_seen_ms;
	bool shutting_down;
	/** new requests are served until then, those in progress until the
	 *  second time, the lease is waited for until the third */
	uint64_t leave_grace_until_ms;
	uint64_t drain_until_ms;
	uint64_t release_until_ms;
	/** the manager key is being read or deleted */
	bool resigning;
	uint64_t resigned_ms;
	struct timer shut_down_timer;
};

/** @brief Answers an operator's page; false when there is none. */
bool daemon_page_serve(void *data, const char *path,
		       struct ingress_response *answer, GString *body);

/** Time without a heartbeat after which a peer counts as gone. */
#define DAEMON_PEER_GONE_AFTER_MS 8000

/** @brief Begins to keep the gateway's list of processes up to date. */
void daemon_slots_start(struct daemon *entry);

/** @brief Tells the gateway now which processes share slots. */
void daemon_slots_update_members(struct daemon *entry);

/** @brief Sends a slot report; fits gateway_config.slot_report. */
void daemon_slots_send_report(void *data, uint64_t to,
			      const struct slot_report *report);

/** @brief Sends a slot grant; fits gateway_config.slot_grant. */
void daemon_slots_send_grant(void *data, uint64_t to,
			     const struct slot_grant *grant);

/** @brief Takes a peer's slot report; fits gossip_ops.on_slot_report. */
void daemon_on_slot_report(void *data, const char *from,
			   const struct slot_report *report);

/** @brief Takes a peer's slot grant; fits gossip_ops.on_slot_grant. */
void daemon_on_slot_grant(void *data, const char *from,
			  const struct slot_grant *grant);

/** @brief Tells whether requests may be dispatched at this moment. */
bool daemon_may_dispatch(void *data);

#endif
