/**
 * @file gateway.h
 * @brief The way of a request: route, queue, dispatch, attempts, answer.
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

/** What the gateway works with; all borrowed. */
struct gateway_config {
	struct loop *loop;
	struct counter_set *counters;
	/** identity of this process, part of each request's identity */
	const char *id;
	/** seed of the request identities */
	uint64_t incarnation;
	struct platform *platform;
	uint32_t answer_max_bytes;
	/** how long an idempotency key stays claimed */
	uint32_t claim_life_s;
	/** tells whether requests may be dispatched at this moment */
	bool (*may_dispatch)(void *data);
	/** number of live processes, this one included */
	uint32_t (*processes)(void *data);
	/** a VM is leaving that peers have not been told of */
	void (*on_leaving)(void *data);
	/** send slot messages to the process whose identity has a key */
	void (*slot_report)(void *data, uint64_t to,
			    const struct slot_report *report);
	void (*slot_grant)(void *data, uint64_t to,
			   const struct slot_grant *grant);
	void *data;
};

/** @brief Creates a gateway without a bundle. */
struct gateway *gateway_create(const struct gateway_config *config);

/**
 * @brief Frees a gateway; requests in progress end without an answer.
 *
 * The platform must outlive the gateway, and no caller's event may follow.
 *
 * @param gateway may be NULL
 */
void gateway_destroy(struct gateway *gateway);

/** @brief Puts a bundle and a placement (may be NULL) in force. */
void gateway_update(struct gateway *gateway, struct bundle *bundle,
		    const struct placement *view);

/** @brief Takes a caller's request; answers it now or later. */
void gateway_on_request(struct gateway *gateway,
			struct ingress_request *request);

/** @brief Forgets a caller that left. */
void gateway_on_caller_gone(struct gateway *gateway,
			    struct ingress_request *request);

/** @brief Takes a peer's notice of a VM that is leaving. */
void gateway_on_leaving_notice(struct gateway *gateway,
			       const struct draining_notice *notice);

/** @brief Lists the VMs known to be leaving, for peers. */
uint32_t gateway_leaving_notices(struct gateway *gateway,
				 struct draining_notice *out, uint32_t max);

/**
 * @brief Replaces the processes that share the slots of backend servers.
 * @param members keys of those that may own pools
 * @param everyone keys of all that may hold slots
 */
void gateway_set_members(struct gateway *gateway, const GArray *members,
			 const GArray *everyone);

/** @brief Takes a slot report of another process. */
void gateway_on_slot_report(struct gateway *gateway,
			    const struct slot_report *report);

/** @brief Takes a slot grant of another process. */
void gateway_on_slot_grant(struct gateway *gateway,
			   const struct slot_grant *grant);

/** @brief Refuses new requests from now on; those in progress go on. */
void gateway_shut_down(struct gateway *gateway);

/** @brief Counts requests that have no answer yet. */
uint32_t gateway_in_progress_count(const struct gateway *gateway);

/**
 * @brief Lists the pools with slots in use or requests waiting here.
 * @return number of loads; pools beyond max are left out
 */
uint32_t gateway_pool_loads(const struct gateway *gateway,
			    struct demand_load *out, uint32_t max);

/** @brief Appends the gateway's gauges for /metrics. */
void gateway_metrics_render(const struct gateway *gateway, GString *out);

#endif
