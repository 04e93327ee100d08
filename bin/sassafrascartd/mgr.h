/**
 * @file mgr.h
 * @brief The manager: places VMs in pools while this process holds the lease.
 *
 * Prefix: mgr_. Every write is a transaction that also compares the create
 * revision of the manager key, so that a manager that was paused past its
 * lease cannot write. An action on a VM is called only after its intent was
 * written together with the VM's row; it carries the intent's identity, so
 * that the next manager can repeat it. What the platform holds is read once
 * a term and after each error; in between only this process writes it.
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

/** What the manager works with; all borrowed. */
struct mgr_config {
	struct loop *loop;
	struct platform *platform;
	struct counter_set *counters;
	const struct gossip_node *peers;
	const char *id;
	/** pace of decisions */
	uint32_t tick_ms;
	/** pace of reading the platform's list of VMs */
	uint32_t vm_list_ms;
	/** bound on how far that list lags behind */
	uint32_t vm_list_lag_ms;
	/** how long the list calls a VM down before it counts as failed */
	uint32_t vm_failed_after_ms;
	/** time for the maintenance of one VM */
	uint32_t maintenance_timeout_ms;
	/** time over which the demand of a pool is averaged */
	uint32_t demand_window_ms;
	/** dispatch window of the processes */
	uint32_t dispatch_window_ms;
	/** tells the placement that this process has applied */
	uint64_t (*applied_placement)(void *data);
	/** tells the demand at this process, see gateway_pool_loads() */
	uint32_t (*loads)(void *data, struct demand_load *out, uint32_t max);
	/** takes the text of a placement that was written */
	void (*on_placement)(void *data, const char *text);
	/** tells who held the manager key at the last read, NULL for none */
	const char *(*current_manager)(void *data);
	/** tells whether the lease can be relied on at this moment */
	bool (*lease_is_valid)(void *data);
	void *data;
};

/** @brief Creates a manager that does not hold the lease. */
struct mgr_manager *mgr_manager_create(const struct mgr_config *config);

/** @brief Frees it. @param manager may be NULL */
void mgr_manager_destroy(struct mgr_manager *manager);

/** @brief Tells which lease to compete with; 0 ends this process's term. */
void mgr_manager_set_lease(struct mgr_manager *manager, int64_t lease);

/** @brief Tells the bundle in force and the roll that put it there. */
void mgr_manager_set_bundle(struct mgr_manager *manager, struct bundle *bundle,
			    uint64_t roll);

/** @brief Appends the gauges of each pool's demand for /metrics. */
void mgr_metrics_render(const struct mgr_manager *manager, GString *out);

/** @brief Tells whether this process is manager as far as it knows. */
bool mgr_manager_is_active(const struct mgr_manager *manager);

#endif
