/**
 * @file gateway_private.h
 * @brief What the parts of the gateway share.
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

/** Largest request identity with its terminating zero. */
#define GATEWAY_REQUEST_ID_BYTES 128

/** A pool's queue; it outlives the bundle that first named the pool. */
struct gateway_pool {
	char *name;
	/** index in the bundle in force, BUNDLE_INDEX_NONE when it has no such
	 * pool */
	uint32_t index;
	struct admission_queue *queue;
	struct retry_budget budget;
	struct gateway_share *share;
	/** when its queue was last searched for callers that have left */
	uint64_t swept_ms;
};

/** The gateway: what is in force, and the state of pools and servers. */
struct gateway {
	struct gateway_config config;
	struct http_client *http;
	struct bundle *bundle;
	struct balancer *servers;
	/** VM's name to its index in the bundle in force */
	GHashTable *vm_index;
	/** pool's name to struct gateway_pool */
	GHashTable *pools;
	/** number of the placement in force */
	uint64_t placement;
	/** placement numbers at which VMs' rows last changed, by index */
	uint64_t *changed;
	struct draining_set *leaving;
	struct claim_set *claims;
	struct timer list_timer;
	struct timer announce_timer;
	/** keys of the processes that share slots, see gateway_set_members() */
	GArray *members;
	GArray *everyone;
	struct timer pump_timer;
	uint64_t request_count;
	/** struct gateway_exchange of each request without an answer */
	GQueue works;
	bool shutting_down;
};

/** This process's part in sharing the slots of a pool's VMs. */
struct gateway_share {
	uint64_t key;
	struct slot_holder *holder;
	/** NULL unless this process owns the pool */
	struct slot_owner *owner;
	/** time of the owner's last look at its leases */
	uint64_t ticked_ms;
	/** index in gateway->servers of each of the holder's VMs */
	uint32_t servers[SLOT_VMS_MAX];
};

/** A request from its arrival to its answer. */
struct gateway_exchange {
	struct gateway *gateway;
	/** in gateway->works */
	GList link;
	/** NULL once the caller has left */
	struct ingress_request *request;
	struct gateway_pool *pool;
	struct admission_item item;
	struct timer deadline_timer;
	struct retry_request retry;
	/** route's path, for the claim of an idempotency key */
	char *route;
	/** claim of the idempotency key, or NULL */
	struct claim *claim;
	/** outcome of the last attempt that was sent, so that the request may
	 *  have run; OUTCOME_COUNT if none was */
	enum outcome sent_outcome;
	/** VM of the last failed attempt, not to be tried again at once */
	char *failed_vm;
	char request_id[GATEWAY_REQUEST_ID_BYTES];
	struct backend_attempt *attempt;
	uint64_t attempt_began_ms;
	char *vm_name;
};

/** @brief Takes a request to its end: queue, attempts, one answer. */
void gateway_exchange_start(struct gateway *gateway,
			    struct ingress_request *request,
			    const struct bundle_route *route,
			    uint64_t deadline_ms);

/** @brief Ends the work of a caller that left. */
void gateway_exchange_on_caller_gone(struct gateway_exchange *work);

/** @brief Drops a request without an answer, at the end of the process. */
void gateway_exchange_abort(struct gateway_exchange *work);

/** @brief Sends the request that a queue's item belongs to to a VM. */
void gateway_exchange_dispatch(struct gateway_exchange *work, uint32_t vm);

/**
 * @brief Ends a request with an outcome of our own.
 *
 * An outcome that says not run is replaced by that of an earlier attempt
 * that may have run.
 */
void gateway_exchange_refuse(struct gateway_exchange *work,
			     enum outcome outcome);

/** @brief Returns the request that a queue's item belongs to. */
struct gateway_exchange *gateway_exchange_of_item(struct admission_item *item);

/** @brief Dispatches waiting requests while slots are free. */
void gateway_pool_dispatch(struct gateway *gateway, struct gateway_pool *pool);

/** @brief Estimates the slots that this process has for a pool. */
uint32_t gateway_pool_slots_estimate(struct gateway *gateway,
				     struct gateway_pool *pool);

/** @brief Chooses a VM with a free slot, BUNDLE_INDEX_NONE for none. */
uint32_t gateway_slot_choose(struct gateway *gateway, struct gateway_pool *pool,
			     uint32_t avoid);

/** @brief Takes a slot of a VM for a request. */
void gateway_slot_acquire(struct gateway_exchange *work, uint32_t vm);

/** @brief Gives the request's slot back. */
void gateway_slot_release(struct gateway_exchange *work);

/** @brief Creates a share that is freed by gateway_share_destroy(). */
struct gateway_share *gateway_share_create(const struct gateway *gateway,
					   const char *pool_name);

/** @brief Frees a share. @param share may be NULL */
void gateway_share_destroy(struct gateway_share *share);

/** @brief Follows a new bundle or placement. */
void gateway_share_update(struct gateway *gateway, struct gateway_pool *pool);

/** @brief Brings the slots that may be used up to date. */
void gateway_share_refresh(struct gateway *gateway, struct gateway_pool *pool);

/**
 * @brief Sends the slot messages that are due.
 * @return whether slots were granted at once, by this process itself
 */
bool gateway_share_poll(struct gateway *gateway, struct gateway_pool *pool);

/**
 * @brief Computes how many connections to a VM this process may keep open.
 *
 * Requests in progress use at most twice the VM's shared slots in connections
 * of all processes, see slt.h; what is left is divided among them.
 */
uint32_t gateway_idle_connections_max(const struct gateway *gateway,
				      uint32_t vm);

/** @brief Finds what is known of a VM by its name, or NULL. */
struct balancer_server *gateway_server_find(const struct gateway *gateway,
					    const char *vm_name);

/** @brief Returns the VM that a waiting request is not to be sent to. */
uint32_t gateway_exchange_avoided_vm(const struct gateway_exchange *work);

/** @brief Records how an attempt on a VM ended, as evidence of its health. */
void gateway_health_record(struct gateway_exchange *work,
			   enum backend_result result,
			   const struct http_client_response *answer,
			   const char *vm_name);

/** @brief Takes back evidence against a VM that the request gave. */
void gateway_health_retract(struct gateway *gateway, const char *vm_name);

/** @brief Starts reading the platform's list of VMs. */
void gateway_leaving_start(struct gateway *gateway);

/** @brief Records a backend server's own word that it is leaving. */
void gateway_leaving_signal(struct gateway *gateway, const char *vm_name);

/** @brief Applies the set of leaving VMs to the servers. */
void gateway_leaving_apply(struct gateway *gateway);

/**
 * @brief Claims a request's idempotency key before it may be sent.
 * @return OUTCOME_ANSWERED when the request waits for its claim
 */
enum outcome gateway_claim_begin(struct gateway_exchange *work);

/** @brief Tells whether a request needs a claim before it is sent. */
bool gateway_claim_is_needed(const struct gateway_exchange *work);

/** @brief Ends the claim of a request that is over. */
void gateway_claim_end(struct gateway_exchange *work);

#endif
