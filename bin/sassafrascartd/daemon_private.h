/**
 * @file daemon_private.h
 * @brief Definitions shared by the source files of the daemon.
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
#include "reload.h"
#include "signing.h"
#include "sync.h"

/** The daemon's components and the state of its shutdown. */
struct daemon {
	struct loop *loop;
	const struct settings *settings;
	struct counter_set counters;
	struct member self;
	struct platform *platform;
	struct signing_trust_store *trust;
	struct reload *reload;
	/** checksum of each operator key file as last loaded */
	char **key_checksums;
	struct lease *lease;
	struct mgr_manager *manager;
	struct sync *sync;
	struct gateway *gateway;
	struct ingress_server *server;
	struct gossip_node *peers;
	struct timer members_timer;
	struct timer slots_timer;
	/**
	 * start of the process, or end of its last pause, in which no
	 * heartbeats were received
	 */
	uint64_t started_ms;
	uint64_t members_updated_ms;
	bool shutting_down;
	/**
	 * deadlines of the shutdown: for new requests, for requests in progress
	 * and for the revocation of the lease
	 */
	uint64_t leave_grace_until_ms;
	uint64_t drain_until_ms;
	struct ingress_quiet quiet;
	uint64_t lease_revoke_until_ms;
	/** the manager key is being read or deleted */
	bool resigning;
	uint64_t resign_checked_ms;
	struct timer shut_down_timer;
};

/** @brief Serves an operator's page; returns false if the path has none. */
bool daemon_page_serve(void *data, const char *path,
		       struct ingress_response *response, GString *body);

/** A peer without a heartbeat for this long counts as unreachable. */
#define DAEMON_PEER_TIMEOUT_MS 8000

/** @brief Watches the files of the operator keys. */
void daemon_reload_start(struct daemon *daemon);

/** @brief Starts the periodic update of the gateway's list of processes. */
void daemon_slots_start(struct daemon *daemon);

/** @brief Passes the processes that share slots to the gateway. */
void daemon_slots_update_members(struct daemon *daemon);

/** @brief Sends a slot report; implements gateway_config.send_slot_report. */
void daemon_slots_send_report(void *data, uint64_t to,
			      const struct slot_report *report);

/** @brief Sends a slot grant; implements gateway_config.send_slot_grant. */
void daemon_slots_send_grant(void *data, uint64_t to,
			     const struct slot_grant *grant);

/**
 * @brief Handles a peer's slot report; implements gossip_ops.on_slot_report.
 */
void daemon_on_slot_report(void *data, const char *from,
			   const struct slot_report *report);

/** @brief Handles a peer's slot grant; implements gossip_ops.on_slot_grant. */
void daemon_on_slot_grant(void *data, const char *from,
			  const struct slot_grant *grant);

/** @brief Returns whether requests may be dispatched now. */
bool daemon_may_dispatch(void *data);

#endif
