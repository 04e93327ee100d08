/**
 * @file mgr.h
 * @brief Manager: assigns VMs to pools while this process holds the manager
 * key.
 *
 * Prefix: mgr_. Every write is a transaction that also compares the create
 * revision of the manager key, which acts as a fencing token: a manager that
 * was paused past its lease cannot write. An intent is the stored record of one
 * VM's maintenance; it is written in the same transaction as the VM's row of
 * the placement, before any action (drain, reboot, resume) on the VM is called.
 * The action carries the intent's identity, so that the next manager can repeat
 * the action. Placement, intents and waves are read once per term and after
 * each error; in between only this process writes them.
 */
#ifndef MGR_H
#define MGR_H

#include "bundle.h"
#include "counter.h"
#include "loop.h"
#include "gossip.h"
#include "placement.h"
#include "platform_client.h"

/** The manager's state, opaque. */
struct mgr_manager;

/** Configuration and dependencies of a manager; all pointers are borrowed. */
struct mgr_config {
	struct loop *loop;
	struct platform *platform;
	struct counter_set *counters;
	const struct gossip_node *peers;
	const char *id;
	/** interval between decisions */
	uint32_t tick_ms;
	/** interval between reads of the platform's list of VMs */
	uint32_t vm_list_ms;
	/** maximum staleness of that list */
	uint32_t vm_list_lag_ms;
	/** a VM listed as down for this long counts as failed */
	uint32_t vm_failed_after_ms;
	/** time limit for the maintenance of one VM */
	uint32_t maintenance_timeout_ms;
	/** window over which the demand of a pool is averaged */
	uint32_t demand_window_ms;
	/** dispatch window of the processes */
	uint32_t dispatch_window_ms;
	/** returns the number of the placement that this process has applied */
	uint64_t (*applied_placement)(void *data);
	/** lists the demand at this process, see gateway_pool_loads() */
	uint32_t (*pool_loads)(void *data, struct demand_load *out,
			       uint32_t max);
	/** called with the text of a placement after it was written */
	void (*on_placement_written)(void *data, const char *text);
	/**
	 * returns the holder of the manager key at the last read, NULL for none
	 */
	const char *(*current_manager)(void *data);
	/** returns whether the lease is certain to be valid now */
	bool (*lease_is_valid)(void *data);
	void *data;
};

/** @brief Creates a manager without a lease. */
struct mgr_manager *mgr_manager_create(const struct mgr_config *config);

/** @brief Frees a manager. @param manager may be NULL */
void mgr_manager_destroy(struct mgr_manager *manager);

/** @brief Sets the lease to campaign with; 0 ends this process's term. */
void mgr_manager_set_lease(struct mgr_manager *manager, int64_t lease);

/** @brief Sets the active bundle and the roll that activated it. */
void mgr_manager_set_bundle(struct mgr_manager *manager, struct bundle *bundle,
			    uint64_t roll);

/** @brief Appends the gauges of each pool's demand for /metrics. */
void mgr_metrics_render(const struct mgr_manager *manager, GString *out);

/**
 * @brief Returns whether this process is in a term as manager.
 *
 * The process may have lost the manager key without having noticed; the fencing
 * token then prevents the writes of this process.
 */
bool mgr_manager_is_active(const struct mgr_manager *manager);

#endif
