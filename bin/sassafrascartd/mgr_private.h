/**
 * @file mgr_private.h
 * @brief Definitions shared by the source files of the manager.
 */
#ifndef MGR_PRIVATE_H
#define MGR_PRIVATE_H

#include "confirm.h"
#include "demand.h"
#include "mgr.h"
#include "fleet_record.h"

/** State of a VM as seen by this manager; reset when a new term begins. */
struct mgr_vm {
	struct mgr_manager *manager;
	char *name;
	bool listed;
	enum platform_vm_state state;
	/**
	 * pool of the VM in the placement, and monotonic time at which the VM
	 * was first seen in that pool in this term
	 */
	char *pool;
	uint64_t in_pool_since_ms;
	/**
	 * monotonic time at which the list first showed the VM down, 0 if the
	 * VM is not down
	 */
	uint64_t down_since_ms;
	struct confirm_state confirm;
	/** identity of the intent that the fields below belong to */
	char *intent;
	/** mgr_manager.platform_up_ms when the maintenance began */
	uint64_t maintenance_began_up_ms;
	bool drained;
	bool rebooted;
	uint64_t rebooted_ms;
	/** the list showed the VM not live after the reboot was accepted */
	bool seen_offline;
	/** the VM is live again after the reboot */
	bool back_online;
	bool resumed;
	/** incremented with each intent */
	uint32_t intent_serial;
	/**
	 * an action call is in flight; the fields below name its intent and
	 * term
	 */
	bool action_in_flight;
	enum platform_action action;
	int64_t action_term;
	uint32_t action_serial;
};

/** Planned changes, until their write has ended. */
struct mgr_plan {
	struct placement *view;
	/** array of struct planner_change */
	GArray *changes;
	/** one for each wave of the bundle */
	struct maintenance_record *waves;
	/** array of struct fleet_record_intent */
	GPtrArray *intents_to_add;
	/** identities of intents */
	GPtrArray *intents_to_remove;
	/** generation of the bundle that the plan was made for */
	uint64_t bundle_generation;
	bool write_placement;
};

struct mgr_manager {
	struct mgr_config config;
	int64_t lease;
	/**
	 * create revision of the manager key, used as fencing token; 0 while
	 * not manager
	 */
	int64_t term;
	struct bundle *bundle;
	uint64_t roll;
	/** incremented with each change of the bundle */
	uint64_t bundle_generation;
	/** an election, a read or a write is in flight */
	bool busy;
	/** placement in the write in flight, NULL if that write has none */
	char *placement_text;
	struct timer tick_timer;
	/** whether the fields below match the platform's store */
	bool synced;
	uint64_t read_bundle_generation;
	struct placement *view;
	int64_t placement_revision;
	/** one for each wave of the bundle */
	struct maintenance_record *waves;
	/** intent's identity to struct fleet_record_intent */
	GHashTable *intents;
	/** VM's name to struct mgr_vm */
	GHashTable *vms;
	/** process's identity to struct confirm_process */
	GHashTable *processes;
	/** pool's name to struct mgr_pool; demand seen in this term */
	GHashTable *pools;
	/** monotonic time of the last plan by demand */
	uint64_t demand_planned_ms;
	struct confirm_state placement_confirm;
	/**
	 * monotonic time at which the next change of the electorate is written
	 * even without another change of the placement; 0 while no change is
	 * due
	 */
	uint64_t electorate_due_ms;
	uint64_t term_began_ms;
	uint64_t list_read_ms;
	uint64_t members_read_ms;
	/**
	 * total time during which the platform's list could be read; the
	 * timeout of a maintenance counts this time, so an outage does not use
	 * it up
	 */
	uint64_t platform_up_ms;
	struct mgr_plan plan;
};

/**
 * State of a pool as seen by this manager; discarded when a new term begins.
 */
struct mgr_pool {
	struct demand_average demand;
	/** newest sum of the slots demanded at all processes */
	uint32_t demand_slots;
	/** target in the bundle that wanted was derived from */
	uint32_t target;
	/** number of VMs that the pool should have */
	uint32_t wanted;
	/** how wanted was derived from demand; reason is NULL if it was not */
	struct fleet_record_pool_size size;
};

/** @brief Counts a failed call to the platform. */
void mgr_platform_error_record(struct mgr_manager *manager);

/** @brief Ends this process's term. */
void mgr_term_end(struct mgr_manager *manager, const char *reason);

/** @brief Returns whether writes and actions are allowed now. */
bool mgr_may_act(const struct mgr_manager *manager);

/** @brief Returns the state of a VM, created on first use. */
struct mgr_vm *mgr_vm_get(struct mgr_manager *manager, const char *name);

/** @brief Samples the demand of each pool. */
void mgr_demand_sample(struct mgr_manager *manager);

/**
 * @brief Computes how many VMs each pool should have.
 * @param vms one for each VM of the bundle; within_min_stay is set
 * @param wanted set, one for each pool
 */
void mgr_demand_wanted(struct mgr_manager *manager, struct planner_vm *vms,
		       uint32_t *wanted);

/**
 * @brief Returns how demand determined each pool's size, freed with g_free().
 */
struct fleet_record_pool_size *mgr_demand_sizes(struct mgr_manager *manager);

/** @brief Reads placement, intents and waves, then calls mgr_read_fleet(). */
void mgr_read_records(struct mgr_manager *manager);

/**
 * @brief Reads the members and the list of VMs, each if due, then calls
 * mgr_decide().
 */
void mgr_read_fleet(struct mgr_manager *manager);

/** @brief Plans the next changes and starts their write, if there are any. */
void mgr_decide(struct mgr_manager *manager);

/** @brief Writes the plan, then calls mgr_actions_run(). */
void mgr_write(struct mgr_manager *manager);

/** @brief Frees the plan. */
void mgr_plan_clear(struct mgr_manager *manager);

/** @brief Calls the VM actions that the stored intents require. */
void mgr_actions_run(struct mgr_manager *manager);

/** @brief Resets the progress of a VM's actions if its intent has changed. */
void mgr_vm_set_intent(struct mgr_manager *manager,
		       const struct fleet_record_intent *intent,
		       struct mgr_vm *vm);

/**
 * @brief Updates the confirmation of a placement number.
 * @return whether no process can dispatch on an older placement
 */
bool mgr_confirm_update(struct mgr_manager *manager,
			struct confirm_state *confirm, uint64_t number);

/** @brief Adds the next change of the electorate to the plan, if one is due. */
void mgr_electorate_plan(struct mgr_manager *manager);

/** @brief Returns the wall-clock time in milliseconds since 1970. */
uint64_t mgr_wall_ms(void);

#endif
