/**
 * @file gateway_private.h
 * @brief Definitions shared by the source files of the gateway.
 */
#ifndef GATEWAY_PRIVATE_H
#define GATEWAY_PRIVATE_H

#include "admission.h"
#include "backend_attempt.h"
#include "claim.h"
#include "gateway.h"
#include "http_client.h"
#include "retry.h"
#include "balancer.h"

/** Size of a request identity, including its terminating zero. */
#define GATEWAY_REQUEST_ID_BYTES 128

/** A pool and its queue; kept when a later bundle no longer names the pool. */
struct gateway_pool {
	char *name;
	/**
	 * index in the active bundle, BUNDLE_INDEX_NONE if it has no such pool
	 */
	uint32_t index;
	struct admission_queue *queue;
	struct retry_budget budget;
	struct gateway_share *share;
	/**
	 * time at which the queue was last searched for disconnected callers
	 */
	uint64_t swept_at_ms;
};

/**
 * The gateway: active bundle and placement, and the state of pools and servers.
 */
struct gateway {
	struct gateway_config config;
	struct http_client *http;
	struct bundle *bundle;
	struct balancer *servers;
	/** VM's name to its index in the active bundle */
	GHashTable *vm_index;
	/** pool's name to struct gateway_pool */
	GHashTable *pools;
	/** number of the active placement */
	uint64_t placement_number;
	/**
	 * number of the placement that last changed each VM, by the VM's index
	 */
	uint64_t *row_changed;
	struct draining_set *draining_vms;
	struct claim_set *claims;
	struct timer list_timer;
	struct timer announce_timer;
	/** keys of processes, see gateway_set_members() */
	GArray *owner_candidates;
	GArray *slot_holders;
	struct timer dispatch_timer;
	uint64_t request_count;
	/** struct gateway_exchange of each request without a response */
	GQueue exchanges;
	bool shutting_down;
};

/** This process's share of the slots of a pool's VMs. */
struct gateway_share {
	uint64_t pool_key;
	struct slot_holder *holder;
	/** NULL unless this process owns the pool */
	struct slot_owner *owner;
	/** time of the last slot_owner_tick() */
	uint64_t owner_ticked_ms;
	/** index in gateway->servers of each VM of the holder */
	uint32_t servers[SLOT_VMS_MAX];
};

/** A request from its arrival to its response, with all its attempts. */
struct gateway_exchange {
	struct gateway *gateway;
	/** link in gateway->exchanges */
	GList link;
	/** NULL after the caller disconnected */
	struct ingress_request *request;
	struct gateway_pool *pool;
	struct admission_item item;
	struct timer deadline_timer;
	struct retry_request retry;
	/** path of the route, part of the claim on the idempotency key */
	char *route_path;
	/** claim on the idempotency key, or NULL */
	struct claim *claim;
	/**
	 * outcome of the last attempt that was sent and so may have run;
	 * OUTCOME_COUNT if none was sent
	 */
	enum outcome last_sent_outcome;
	/** VM of the last failed attempt, avoided by the next attempt */
	char *failed_vm;
	char request_id[GATEWAY_REQUEST_ID_BYTES];
	struct backend_attempt *attempt;
	uint64_t attempt_began_ms;
	char *vm_name;
};

/**
 * @brief Starts the processing of a request: admission, queue, attempts,
 * response.
 */
void gateway_exchange_start(struct gateway *gateway,
			    struct ingress_request *request,
			    const struct bundle_route *route,
			    uint64_t deadline_ms);

/** @brief Handles the disconnect of the caller. */
void gateway_exchange_on_caller_gone(struct gateway_exchange *exchange);

/** @brief Drops a request without a response, when the gateway is destroyed. */
void gateway_exchange_abort(struct gateway_exchange *exchange);

/** @brief Starts an attempt on a VM. */
void gateway_exchange_dispatch(struct gateway_exchange *exchange, uint32_t vm);

/**
 * @brief Ends a request with a locally generated response.
 *
 * If the outcome says that the request did not run, but an earlier attempt may
 * have run, the outcome of that attempt is reported instead.
 */
void gateway_exchange_refuse(struct gateway_exchange *exchange,
			     enum outcome outcome);

/** @brief Returns the exchange that contains a queue item. */
struct gateway_exchange *gateway_exchange_of_item(struct admission_item *item);

/** @brief Dispatches queued requests while slots are free. */
void gateway_pool_dispatch(struct gateway *gateway, struct gateway_pool *pool);

/** @brief Estimates the number of slots that this process has in a pool. */
uint32_t gateway_pool_slots_estimate(struct gateway *gateway,
				     struct gateway_pool *pool);

/**
 * @brief Chooses a VM with a free slot; returns BUNDLE_INDEX_NONE if there is
 * none.
 */
uint32_t gateway_slot_choose(struct gateway *gateway, struct gateway_pool *pool,
			     uint32_t avoid);

/** @brief Acquires a slot of a VM for a request. */
void gateway_slot_acquire(struct gateway_exchange *exchange, uint32_t vm);

/** @brief Releases the request's slot. */
void gateway_slot_release(struct gateway_exchange *exchange);

/** @brief Creates a share, freed with gateway_share_destroy(). */
struct gateway_share *gateway_share_create(const struct gateway *gateway,
					   const char *pool_name);

/** @brief Frees a share. @param share may be NULL */
void gateway_share_destroy(struct gateway_share *share);

/** @brief Updates the share for a new bundle or placement. */
void gateway_share_update(struct gateway *gateway, struct gateway_pool *pool);

/** @brief Updates the number of slots that each VM allows this process. */
void gateway_share_refresh(struct gateway *gateway, struct gateway_pool *pool);

/**
 * @brief Sends the slot messages that are due.
 * @return whether this process, as owner of the pool, granted slots to itself
 */
bool gateway_share_poll(struct gateway *gateway, struct gateway_pool *pool);

/**
 * @brief Computes how many connections to a VM this process may keep open.
 *
 * Requests in progress in all processes use at most twice the VM's shared slots
 * in connections, see slot.h. The remaining connections are divided among the
 * processes.
 */
uint32_t gateway_idle_connections_max(const struct gateway *gateway,
				      uint32_t vm);

/** @brief Returns the state of a VM by its name, or NULL. */
struct balancer_server *gateway_server_find(const struct gateway *gateway,
					    const char *vm_name);

/** @brief Returns the VM that the next attempt avoids, or BUNDLE_INDEX_NONE. */
uint32_t gateway_exchange_avoided_vm(const struct gateway_exchange *exchange);

/** @brief Records the result of an attempt as evidence of the VM's health. */
void gateway_health_record(struct gateway_exchange *exchange,
			   enum backend_result result,
			   const struct http_client_response *response,
			   const char *vm_name);

/**
 * @brief Retracts one failure recorded against a VM, because the request itself
 * is the likely cause of its failures.
 */
void gateway_health_retract(struct gateway *gateway, const char *vm_name);

/** @brief Starts polling the platform's list of VMs. */
void gateway_draining_start_polling(struct gateway *gateway);

/** @brief Records that a backend server announced its own shutdown. */
void gateway_draining_record_announcement(struct gateway *gateway,
					  const char *vm_name);

/** @brief Marks the servers whose VMs are draining because they will stop. */
void gateway_draining_mark_servers(struct gateway *gateway);

/**
 * @brief Starts to claim a request's idempotency key, before the request may be
 * sent.
 * @return OUTCOME_ANSWERED if the claim was started, else the outcome to refuse
 * the request with
 */
enum outcome gateway_claim_begin(struct gateway_exchange *exchange);

/** @brief Returns whether a request needs a claim before it is sent. */
bool gateway_claim_is_needed(const struct gateway_exchange *exchange);

/**
 * @brief Keeps the claim of a finished request that may have run, else releases
 * it.
 */
void gateway_claim_end(struct gateway_exchange *exchange);

#endif
