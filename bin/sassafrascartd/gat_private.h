/**
 * @file gat_private.h
 * @brief What the parts of the gateway share.
 */
#ifndef GAT_PRIVATE_H
#define GAT_PRIVATE_H

#include "adm.h"
#include "att.h"
#include "gat.h"
#include "hcl.h"
#include "ret.h"
#include "sel.h"

#define GAT_REQUEST_ID_BYTES 128

/** A pool's queue; it outlives the bundle that first named the pool. */
struct gat_pool {
	char *name;
	/** index in the bundle in force, BND_NONE when it has no such pool */
	uint32_t index;
	struct adm_queue *queue;
	struct ret_budget budget;
};

struct gat_gateway {
	struct gat_config config;
	struct hcl_client *http;
	struct bnd_bundle *bundle;
	struct sel_set *servers;
	/** VM's name to its index in the bundle in force */
	GHashTable *vm_index;
	/** pool's name to struct gat_pool */
	GHashTable *pools;
	struct tmr_entry pump_timer;
	uint64_t request_count;
	uint32_t in_progress;
	bool shutting_down;
};

/** A request from its arrival to its answer. */
struct gat_work {
	struct gat_gateway *gateway;
	/** NULL once the caller has left */
	struct clr_request *request;
	struct gat_pool *pool;
	struct adm_item item;
	struct tmr_entry deadline_timer;
	bool idempotent;
	char request_id[GAT_REQUEST_ID_BYTES];
	struct att_attempt *attempt;
	uint32_t attempt_count;
	uint64_t attempt_began_ms;
	char *vm_name;
	uint32_t avoid;
};

/** @brief Takes a request to its end: queue, attempts, one answer. */
void gat_work_begin(struct gat_gateway *gateway, struct clr_request *request,
		    const struct bnd_route *route, uint64_t deadline_ms);

/** @brief Ends the work of a caller that left. */
void gat_work_gone(struct gat_work *work);

/** @brief Sends the request that a queue's item belongs to to a VM. */
void gat_work_dispatch(struct gat_work *work, uint32_t vm);

/** @brief Ends a request with an outcome of our own. */
void gat_work_refuse(struct gat_work *work, enum out_kind outcome);

/** @brief Returns the request that a queue's item belongs to. */
struct gat_work *gat_work_of(struct adm_item *item);

/** @brief Dispatches waiting requests while slots are free. */
void gat_pool_pump(struct gat_gateway *gateway, struct gat_pool *pool);

/** @brief Adds up the slots that serve a pool at present. */
uint32_t gat_pool_slots(const struct gat_gateway *gateway,
			const struct gat_pool *pool);

/** @brief Chooses a VM with a free slot, BND_NONE for none. */
uint32_t gat_slot_choose(struct gat_gateway *gateway,
			 const struct gat_pool *pool, uint32_t avoid);

/** @brief Takes a slot of a VM for a request. */
void gat_slot_take(struct gat_work *work, uint32_t vm);

/** @brief Gives the request's slot back. */
void gat_slot_release(struct gat_work *work);

/** @brief Finds what is known of a VM by its name, or NULL. */
struct sel_server *gat_server_find(const struct gat_gateway *gateway,
				   const char *vm_name);

#endif
