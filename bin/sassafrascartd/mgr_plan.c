#include <string.h>

#include "log.h"
#include "mgr_private.h"

#define MGR_MINUTE_MS 60000u

/* Inputs of the planning functions, indexed by VM or pool. */
struct facts {
	struct planner_vm *vms;
	bool *healthy;
	uint32_t *wanted;
	bool settled;
};

/* Returns the longest deadline of the routes to a pool, or of all routes. */
static uint64_t longest_deadline_ms(const struct bundle *bundle, uint32_t pool)
{
	uint64_t longest = 0;

	for (uint32_t i = 0; i < bundle->route_count; i++) {
		if (pool == BUNDLE_INDEX_NONE || bundle->routes[i].pool == pool)
			longest = MAX(longest, bundle->routes[i].deadline_ms);
	}
	return longest;
}

static bool vm_is_drained(struct mgr_manager *manager, uint32_t index,
			  struct mgr_vm *vm)
{
	const struct placement_row *row = &manager->view->rows[index];

	if (row->state != PLACEMENT_STATE_DRAINING ||
	    !mgr_confirm_update(manager, &vm->confirm, row->changed))
		return false;
	if (row->reason == PLACEMENT_REASON_WAVE && !vm->drained)
		return false;
	return loop_now_ms() - vm->confirm.confirmed_ms >=
	       longest_deadline_ms(manager->bundle, row->pool);
}

static void vm_facts_fill(struct mgr_manager *manager, uint32_t index,
			  struct facts *facts)
{
	struct mgr_vm *vm =
		mgr_vm_get(manager, manager->bundle->vms[index].name);
	struct planner_failure_evidence evidence = { 0 };

	if (vm->down_since_ms != 0)
		evidence.down_ms = loop_now_ms() - vm->down_since_ms;
	facts->vms[index].failed = planner_vm_failed(
		&evidence, manager->config.vm_failed_after_ms);
	facts->vms[index].drained = vm_is_drained(manager, index, vm);
	facts->healthy[index] = !vm->listed || vm->state == PLATFORM_VM_LIVE;
}

static void facts_fill(struct mgr_manager *manager, struct facts *facts)
{
	const struct bundle *bundle = manager->bundle;

	facts->vms = g_new0(struct planner_vm, bundle->vm_count + 1);
	facts->healthy = g_new0(bool, bundle->vm_count + 1);
	facts->wanted = g_new0(uint32_t, bundle->pool_count + 1);
	for (uint32_t i = 0; i < bundle->vm_count; i++)
		vm_facts_fill(manager, i, facts);
	mgr_demand_sample(manager);
	mgr_demand_wanted(manager, facts->vms, facts->wanted);
	facts->settled = mgr_confirm_update(
		manager, &manager->placement_confirm, manager->view->number);
}

static void facts_clear(struct facts *facts)
{
	g_free(facts->vms);
	g_free(facts->healthy);
	g_free(facts->wanted);
}

static struct fleet_record_intent *intent_of_vm(struct mgr_manager *manager,
						const char *vm)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, manager->intents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fleet_record_intent *intent = value;

		if (strcmp(intent->vm, vm) == 0)
			return intent;
	}
	return NULL;
}

static struct maintenance_record *wave_record(struct mgr_manager *manager,
					      const char *name)
{
	for (uint32_t i = 0; i < manager->bundle->wave_count; i++) {
		if (strcmp(manager->bundle->waves[i].name, name) == 0)
			return &manager->plan.waves[i];
	}
	return NULL;
}

static void maintenance_give_up(struct mgr_manager *manager, uint32_t index,
				const struct fleet_record_intent *intent)
{
	struct mgr_plan *plan = &manager->plan;
	struct maintenance_record *record = NULL;

	if (intent)
		record = wave_record(manager, intent->wave);
	if (record)
		maintenance_record_add_failure(record, index);
	log_warning("maintenance_given_up",
		    "maintenance of VM %s timed out or has no intent record",
		    manager->bundle->vms[index].name);
	maintenance_vm_give_up(plan->view, index, plan->changes);
}

/*
 * Ends the maintenance of a VM if the VM was resumed, and gives it up if the
 * maintenance timed out or has no intent.
 */
static void vm_maintenance_track(struct mgr_manager *manager, uint32_t index)
{
	struct mgr_plan *plan = &manager->plan;
	const char *name = manager->bundle->vms[index].name;
	struct fleet_record_intent *intent = intent_of_vm(manager, name);
	struct mgr_vm *vm = mgr_vm_get(manager, name);

	if (intent)
		mgr_vm_set_intent(manager, intent, vm);
	if (intent && vm->resumed)
		maintenance_vm_done(manager->bundle, plan->view, index,
				    mgr_wall_ms() / MGR_MINUTE_MS,
				    plan->changes);
	else if (!intent ||
		 manager->platform_up_ms - vm->maintenance_began_up_ms >
			 manager->config.maintenance_timeout_ms)
		maintenance_give_up(manager, index, intent);
}

static void maintenance_track(struct mgr_manager *manager)
{
	for (uint32_t i = 0; i < manager->view->row_count; i++) {
		if (maintenance_is_in_progress(&manager->view->rows[i]))
			vm_maintenance_track(manager, i);
	}
}

static void intent_add(struct mgr_manager *manager, const char *wave,
		       const struct planner_change *change)
{
	const char *vm = manager->bundle->vms[change->vm].name;
	struct fleet_record_intent *intent =
		g_new0(struct fleet_record_intent, 1);

	intent->number = manager->view->number + 1;
	intent->id =
		g_strdup_printf("maintain-%" PRIu64 "-%s", intent->number, vm);
	intent->vm = g_strdup(vm);
	intent->wave = g_strdup(wave);
	intent->at_ms = mgr_wall_ms();
	intent->budget = change->verdict;
	g_ptr_array_add(manager->plan.intents_to_add, intent);
}

static void wave_step(struct mgr_manager *manager, const struct facts *facts,
		      uint32_t wave)
{
	struct mgr_plan *plan = &manager->plan;
	const struct maintenance_input input = {
		.bundle = manager->bundle,
		.wave = wave,
		.roll = manager->roll,
		.now_min = mgr_wall_ms() / MGR_MINUTE_MS,
		.vms = facts->vms,
		.healthy = facts->healthy,
	};
	guint before = plan->changes->len;

	maintenance_step(&input, plan->view, plan->changes, &plan->waves[wave]);
	for (guint i = before; i < plan->changes->len; i++)
		intent_add(manager, manager->bundle->waves[wave].name,
			   &g_array_index(plan->changes, struct planner_change,
					  i));
}

/* Removes the intents whose VMs are no longer under maintenance. */
static void intents_remove(struct mgr_manager *manager)
{
	struct mgr_plan *plan = &manager->plan;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, manager->intents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fleet_record_intent *intent = value;
		uint32_t vm = bundle_vm_find(manager->bundle, intent->vm);

		if (vm == BUNDLE_INDEX_NONE ||
		    !maintenance_is_in_progress(&plan->view->rows[vm]))
			g_ptr_array_add(plan->intents_to_remove,
					g_strdup(intent->id));
	}
}

static void intent_free(gpointer data)
{
	fleet_record_intent_destroy(data);
}

static void plan_begin(struct mgr_manager *manager)
{
	struct mgr_plan *plan = &manager->plan;

	mgr_plan_clear(manager);
	plan->bundle_generation = manager->bundle_generation;
	plan->view = placement_copy(manager->view);
	plan->changes =
		g_array_new(FALSE, FALSE, sizeof(struct planner_change));
	plan->waves = g_memdup2(manager->waves,
				(manager->bundle->wave_count + 1) *
					sizeof(struct maintenance_record));
	plan->intents_to_add = g_ptr_array_new_with_free_func(intent_free);
	plan->intents_to_remove = g_ptr_array_new_with_free_func(g_free);
}

void mgr_plan_clear(struct mgr_manager *manager)
{
	struct mgr_plan *plan = &manager->plan;

	placement_destroy(plan->view);
	g_clear_pointer(&plan->changes, g_array_unref);
	g_free(plan->waves);
	g_clear_pointer(&plan->intents_to_add, g_ptr_array_unref);
	g_clear_pointer(&plan->intents_to_remove, g_ptr_array_unref);
	memset(plan, 0, sizeof(*plan));
}

static void plan_make(struct mgr_manager *manager, const struct facts *facts)
{
	struct mgr_plan *plan = &manager->plan;
	const struct planner_input input = {
		.bundle = manager->bundle,
		.wanted = facts->wanted,
		.vms = facts->vms,
		.healthy = facts->healthy,
		.settled = facts->settled,
	};

	plan_begin(manager);
	maintenance_track(manager);
	for (uint32_t i = 0; i < manager->bundle->wave_count; i++)
		wave_step(manager, facts, i);
	planner_run(&input, plan->view, plan->changes);
	intents_remove(manager);
	plan->write_placement =
		plan->changes->len > 0 || plan->view->roll != manager->roll;
	mgr_electorate_plan(manager);
}

static bool plan_is_empty(const struct mgr_manager *manager)
{
	const struct mgr_plan *plan = &manager->plan;

	if (plan->write_placement || plan->intents_to_remove->len > 0)
		return false;
	for (uint32_t i = 0; i < manager->bundle->wave_count; i++) {
		if (!maintenance_record_equals(&plan->waves[i],
					       &manager->waves[i]))
			return false;
	}
	return true;
}

void mgr_decide(struct mgr_manager *manager)
{
	struct facts facts;

	facts_fill(manager, &facts);
	plan_make(manager, &facts);
	facts_clear(&facts);
	if (!plan_is_empty(manager)) {
		mgr_write(manager);
		return;
	}
	mgr_plan_clear(manager);
	manager->busy = false;
	mgr_actions_run(manager);
}
