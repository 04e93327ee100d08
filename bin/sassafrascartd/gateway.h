/**
 * @file gateway.h
 * @brief Request path: routing, queueing, dispatch, attempts and the response.
 *
 * Prefix: gateway_.
 */
#ifndef GATEWAY_H
#define GATEWAY_H

#include "bundle.h"
#include "ingress.h"
#include "counter.h"
#include "demand.h"
#include "loop.h"
#include "draining.h"
#include "placement.h"
#include "platform_client.h"
#include "slot.h"

/** The gateway, opaque. */
struct gateway;

/** Configuration and dependencies of a gateway; all pointers are borrowed. */
struct gateway_config {
	struct loop *loop;
	struct counter_set *counters;
	/** identity of this process, part of each request identity */
	const char *id;
	/** incarnation of this process, part of each request identity */
	uint64_t incarnation;
	struct platform *platform;
	uint32_t answer_max_bytes;
	/** time-to-live of a claim on an idempotency key */
	uint32_t claim_ttl_s;
	/** returns whether requests may be dispatched now */
	bool (*may_dispatch)(void *data);
	/** returns the number of live processes, this one included */
	uint32_t (*live_process_count)(void *data);
	/**
	 * called when a VM was found to be draining because it will stop;
	 * peers may not know this yet
	 */
	void (*on_vm_draining)(void *data);
	/**
	 * send a slot message to the process whose identity hashes to the key
	 * "to", see slot_key()
	 */
	void (*send_slot_report)(void *data, uint64_t to,
				 const struct slot_report *report);
	void (*send_slot_grant)(void *data, uint64_t to,
				const struct slot_grant *grant);
	void *data;
};

/** @brief Creates a gateway without a bundle. */
struct gateway *gateway_create(const struct gateway_config *config);

/**
 * @brief Frees a gateway; requests in progress end without a response.
 *
 * The platform must outlive the gateway, and no event of a caller may follow.
 *
 * @param gateway may be NULL
 */
void gateway_destroy(struct gateway *gateway);

/** @brief Activates a bundle and a placement. @param view may be NULL */
void gateway_update(struct gateway *gateway, struct bundle *bundle,
		    const struct placement *view);

/** @brief Handles a caller's request; the response may follow later. */
void gateway_on_request(struct gateway *gateway,
			struct ingress_request *request);

/** @brief Handles the disconnect of a request's caller. */
void gateway_on_caller_gone(struct gateway *gateway,
			    struct ingress_request *request);

/** @brief Handles a peer's notice that a VM is draining. */
void gateway_on_draining_notice(struct gateway *gateway,
				const struct draining_notice *notice);

/**
 * @brief Fills notices of draining VMs for peers, see draining_next_notices().
 * @return number of notices, at most max
 */
uint32_t gateway_draining_next_notices(struct gateway *gateway,
				       struct draining_notice *out,
				       uint32_t max);

/**
 * @brief Replaces the list of processes that share the slots of backend
 * servers.
 * @param owner_candidates keys of the processes that may own pools
 * @param slot_holders keys of all processes that may hold slots
 */
void gateway_set_members(struct gateway *gateway,
			 const GArray *owner_candidates,
			 const GArray *slot_holders);

/** @brief Handles a slot report from another process. */
void gateway_on_slot_report(struct gateway *gateway,
			    const struct slot_report *report);

/** @brief Handles a slot grant from another process. */
void gateway_on_slot_grant(struct gateway *gateway,
			   const struct slot_grant *grant);

/** @brief Refuses new requests from now on; requests in progress continue. */
void gateway_shut_down(struct gateway *gateway);

/** @brief Returns the number of requests without a response. */
uint32_t gateway_in_progress_count(const struct gateway *gateway);

/**
 * @brief Lists the pools that have slots in use or requests queued in this
 * process.
 * @return number of loads written; pools beyond max are left out
 */
uint32_t gateway_pool_loads(const struct gateway *gateway,
			    struct demand_load *out, uint32_t max);

/** @brief Appends the gateway's gauges for /metrics. */
void gateway_metrics_render(const struct gateway *gateway, GString *out);

#endif
