/**
 * @file mgr_private.h
 * @brief What the parts of the manager share.
 */
#ifndef MGR_PRIVATE_H
#define MGR_PRIVATE_H

#include "confirm.h"
#include "demand.h"
#include "mgr.h"
#include "fleet_record.h"

/** What this manager knows of a VM; forgotten when its term ends. */
struct mgr_vm {
	struct mgr_manager *manager;
	char *name;
	bool listed;
	enum platform_vm_state state;
	/** pool that it was last seen in, and since when in this term */
	char *pool;
	uint64_t since_ms;
	/** monotonic time since which the list calls it down, 0 for not */
	uint64_t down_since_ms;
	struct confirm_state confirm;
	/** intent that the fields below belong to */
	char *intent;
	uint64_t began_up_ms;
	bool drained;
	bool rebooted;
	uint64_t rebooted_ms;
	/** the list showed it away after the reboot was accepted */
	bool seen_away;
	/** the list shows it live after the reboot */
	bool back;
	bool resumed;
	/** grows with each intent */
	uint32_t serial;
	/** an action is on its way, for this intent of this term */
	bool calling;
	enum platform_action action;
	int64_t action_term;
	uint32_t action_serial;
};

/** A plan until its write has ended. */
struct mgr_plan {
	struct placement *view;
	/** array of struct planner_change */
	GArray *changes;
	/** one for each wave of the bundle */
	struct maintenance_record *waves;
	/** struct fleet_record_intent to be added */
	GPtrArray *added;
	/** identities of intents to be removed */
	GPtrArray *removed;
	/** generation of the bundle it was made for */
	uint64_t generation;
	/** whether the placement is written */
	bool placement;
};

struct mgr_manager {
	struct mgr_config config;
	int64_t lease;
	/** create revision of the manager key; 0 while not manager */
	int64_t term;
	struct bundle *bundle;
	uint64_t roll;
	/** grows with each change of the bundle */
	uint64_t generation;
	bool busy;
	/** placement of the write in progress, NULL when it changes none */
	char *placement_text;
	struct timer tick_timer;
	/** whether the fields below are what the platform holds */
	bool synced;
	uint64_t read_generation;
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
	/** pool's name to struct mgr_pool; demand as of this term */
	GHashTable *pools;
	/** monotonic time of the last plan by demand */
	uint64_t sized_ms;
	struct confirm_state settled;
	/** monotonic time at which the electorate's next change is written by
	 *  itself; 0 while no change is due */
	uint64_t electorate_due_ms;
	uint64_t term_began_ms;
	uint64_t list_read_ms;
	uint64_t members_read_ms;
	/** time during which the platform answered, as the list tells */
	uint64_t up_ms;
	struct mgr_plan plan;
};

/** What this manager knows of a pool; forgotten when its term ends. */
struct mgr_pool {
	struct demand_average demand;
	/** newest sum over the processes */
	uint32_t slots;
	/** target of the bundle that wanted was derived from */
	uint32_t target;
	/** number of VMs that the pool is to have */
	uint32_t wanted;
	/** how demand chose wanted; no reason when it did not */
	struct fleet_record_pool_size size;
};

/** @brief Counts a failed call to the platform. */
void mgr_platform_failed(struct mgr_manager *manager);

/** @brief Ends this process's term. */
void mgr_term_end(struct mgr_manager *manager, const char *why);

/** @brief Tells whether writes and actions are allowed at this moment. */
bool mgr_may_act(const struct mgr_manager *manager);

/** @brief Returns what is known of a VM, created at first use. */
struct mgr_vm *mgr_vm_get(struct mgr_manager *manager, const char *name);

/** @brief Takes a sample of each pool's demand. */
void mgr_demand_sample(struct mgr_manager *manager);

/**
 * @brief Tells how many VMs each pool is to have.
 * @param vms what is known of each VM of the bundle; stays is filled
 * @param wanted filled, one for each pool
 */
void mgr_demand_wanted(struct mgr_manager *manager, struct planner_vm *vms,
		       uint32_t *wanted);

/** @brief Lists how demand chose the pools' sizes, freed with g_free(). */
struct fleet_record_pool_size *mgr_demand_sizes(struct mgr_manager *manager);

/** @brief Reads placement, intents and waves, then the fleet. */
void mgr_read_records(struct mgr_manager *manager);

/** @brief Reads members and VMs, each when due; ends with mgr_decide(). */
void mgr_read_fleet(struct mgr_manager *manager);

/** @brief Decides what changes next and starts the write, if any. */
void mgr_decide(struct mgr_manager *manager);

/** @brief Writes the plan; ends with mgr_act(). */
void mgr_write(struct mgr_manager *manager);

/** @brief Frees the plan. */
void mgr_plan_clear(struct mgr_manager *manager);

/** @brief Calls the VM actions that recorded intents ask for. */
void mgr_act(struct mgr_manager *manager);

/** @brief Ties what is known of a VM's actions to its present intent. */
void mgr_act_track(struct mgr_manager *manager,
		   const struct fleet_record_intent *intent, struct mgr_vm *vm);

/** @brief Follows how far a placement number is confirmed. */
bool mgr_confirm_follow(struct mgr_manager *manager,
			struct confirm_state *confirm, uint64_t number);

/** @brief Adds the electorate's next change to the plan, if one is due. */
void mgr_electorate_plan(struct mgr_manager *manager);

/** @brief Returns the wall-clock milliseconds since 1970. */
uint64_t mgr_wall_ms(void);

#endif
