/**
 * @file ent_private.h
 * @brief What the parts of the entry process share.
 */
#ifndef ENT_PRIVATE_H
#define ENT_PRIVATE_H

#include "ingress.h"
#include "counter.h"
#include "ent.h"
#include "gat.h"
#include "lease.h"
#include "member.h"
#include "mgr.h"
#include "gossip.h"
#include "signing.h"
#include "syn.h"

/** The entry process: its parts and how far its shutting down has come. */
struct ent_entry {
	struct loop *loop;
	const struct set_settings *settings;
	struct counter_set counters;
	struct member self;
	struct platform *platform;
	struct signing_trust_store *trust;
	struct lease *lease;
	struct mgr_manager *manager;
	struct syn_sync *sync;
	struct gat_gateway *gateway;
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
bool ent_page(void *data, const char *path, struct ingress_response *answer,
	      GString *body);

/** Time without a heartbeat after which a peer counts as gone. */
#define ENT_PEER_GONE_AFTER_MS 8000

/** @brief Begins to keep the gateway's list of processes up to date. */
void ent_slots_start(struct ent_entry *entry);

/** @brief Tells the gateway now which processes share slots. */
void ent_slots_members(struct ent_entry *entry);

/** @brief Sends a slot report; fits gat_config.slot_report. */
void ent_slots_report(void *data, uint64_t to,
		      const struct slot_report *report);

/** @brief Sends a slot grant; fits gat_config.slot_grant. */
void ent_slots_grant(void *data, uint64_t to, const struct slot_grant *grant);

/** @brief Takes a peer's slot report; fits gossip_ops.on_slot_report. */
void ent_on_slot_report(void *data, const char *from,
			const struct slot_report *report);

/** @brief Takes a peer's slot grant; fits gossip_ops.on_slot_grant. */
void ent_on_slot_grant(void *data, const char *from,
		       const struct slot_grant *grant);

/** @brief Tells whether requests may be dispatched at this moment. */
bool ent_may_dispatch(void *data);

#endif
