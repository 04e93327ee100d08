#include <string.h>

#include "lgx.h"
#include "mgr_private.h"

#define MGR_MINUTE_MS 60000u

/* Inputs of the planning functions, indexed by VM or pool. */
struct facts {
	struct pln_vm *vms;
	bool *fit;
	uint32_t *wanted;
	bool settled;
};

/* Returns the longest deadline of the routes to a pool, or of all routes. */
static uint64_t longest_deadline_ms(const struct bnd_bundle *bundle,
				    uint32_t pool)
{
	uint64_t longest = 0;

	for (uint32_t i = 0; i < bundle->route_count; i++) {
		if (pool == BND_NONE || bundle->routes[i].pool == pool)
			longest = MAX(longest, bundle->routes[i].deadline_ms);
	}
	return longest;
}

static bool vm_is_drained(struct mgr_manager *manager, uint32_t index,
			  struct mgr_vm *vm)
{
	const struct plc_row *row = &manager->view->rows[index];

	if (row->state != PLC_STATE_DRAINING ||
	    !mgr_confirm_update(manager, &vm->confirm, row->changed))
		return false;
	if (row->reason == PLC_REASON_WAVE && !vm->drained)
		return false;
	return evl_now_ms() - vm->confirm.held_ms >=
	       longest_deadline_ms(manager->bundle, row->pool);
}

static void vm_facts_fill(struct mgr_manager *manager, uint32_t index,
			  struct facts *facts)
{
	struct mgr_vm *vm =
		mgr_vm_get(manager, manager->bundle->vms[index].name);
	struct pln_evidence evidence = { 0 };

	if (vm->down_since_ms != 0)
		evidence.down_ms = evl_now_ms() - vm->down_since_ms;
	facts->vms[index].failed =
		pln_vm_failed(&evidence, manager->config.vm_failed_after_ms);
	facts->vms[index].drained = vm_is_drained(manager, index, vm);
	facts->fit[index] = !vm->listed || vm->state == PLT_VM_LIVE;
}

static void facts_fill(struct mgr_manager *manager, struct facts *facts)
{
	const struct bnd_bundle *bundle = manager->bundle;

	facts->vms = g_new0(struct pln_vm, bundle->vm_count + 1);
	facts->fit = g_new0(bool, bundle->vm_count + 1);
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
	g_free(facts->fit);
	g_free(facts->wanted);
}

static struct plr_intent *intent_of_vm(struct mgr_manager *manager,
				       const char *vm)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, manager->intents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct plr_intent *intent = value;

		if (strcmp(intent->vm, vm) == 0)
			return intent;
	}
	return NULL;
}

static struct wav_record *wave_record(struct mgr_manager *manager,
				      const char *name)
{
	for (uint32_t i = 0; i < manager->bundle->wave_count; i++) {
		if (strcmp(manager->bundle->waves[i].name, name) == 0)
			return &manager->plan.waves[i];
	}
	return NULL;
}

static void maintenance_give_up(struct mgr_manager *manager, uint32_t index,
				const struct plr_intent *intent)
{
	struct mgr_plan *plan = &manager->plan;
	struct wav_record *record = NULL;

	if (intent)
		record = wave_record(manager, intent->wave);
	if (record)
		wav_record_failure(record, index);
	lgx_warning("maintenance_given_up",
		    "maintenance of VM %s timed out or has no intent record",
		    manager->bundle->vms[index].name);
	wav_vm_give_up(plan->view, index, plan->changes);
}

/*
 * Ends the maintenance of a VM if the VM was resumed, and gives it up if the
 * maintenance timed out or has no intent.
 */
static void vm_maintenance_track(struct mgr_manager *manager, uint32_t index)
{
	struct mgr_plan *plan = &manager->plan;
	const char *name = manager->bundle->vms[index].name;
	struct plr_intent *intent = intent_of_vm(manager, name);
	struct mgr_vm *vm = mgr_vm_get(manager, name);

	if (intent)
		mgr_vm_set_intent(manager, intent, vm);
	if (intent && vm->resumed)
		wav_vm_done(manager->bundle, plan->view, index,
			    mgr_wall_ms() / MGR_MINUTE_MS, plan->changes);
	else if (!intent ||
		 manager->platform_up_ms - vm->maintenance_began_up_ms >
			 manager->config.maintenance_timeout_ms)
		maintenance_give_up(manager, index, intent);
}

static void maintenance_track(struct mgr_manager *manager)
{
	for (uint32_t i = 0; i < manager->view->row_count; i++) {
		if (wav_vm_is_maintained(&manager->view->rows[i]))
			vm_maintenance_track(manager, i);
	}
}

static void intent_add(struct mgr_manager *manager, const char *wave,
		       const struct pln_change *change)
{
	const char *vm = manager->bundle->vms[change->vm].name;
	struct plr_intent *intent = g_new0(struct plr_intent, 1);

	intent->number = manager->view->number + 1;
	intent->id =
		g_strdup_printf("maintain-%" PRIu64 "-%s", intent->number, vm);
	intent->vm = g_strdup(vm);
	intent->wave = g_strdup(wave);
	intent->at_ms = mgr_wall_ms();
	intent->room = change->room;
	g_ptr_array_add(manager->plan.added, intent);
}

static void wave_step(struct mgr_manager *manager, const struct facts *facts,
		      uint32_t wave)
{
	struct mgr_plan *plan = &manager->plan;
	const struct wav_input input = {
		.bundle = manager->bundle,
		.wave = wave,
		.roll = manager->roll,
		.now_min = mgr_wall_ms() / MGR_MINUTE_MS,
		.vms = facts->vms,
		.fit = facts->fit,
	};
	guint before = plan->changes->len;

	wav_step(&input, plan->view, plan->changes, &plan->waves[wave]);
	for (guint i = before; i < plan->changes->len; i++)
		intent_add(manager, manager->bundle->waves[wave].name,
			   &g_array_index(plan->changes, struct pln_change, i));
}

/* Removes the intents whose VMs are no longer under maintenance. */
static void intents_remove(struct mgr_manager *manager)
{
	struct mgr_plan *plan = &manager->plan;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, manager->intents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct plr_intent *intent = value;
		uint32_t vm = bnd_vm_find(manager->bundle, intent->vm);

		if (vm == BND_NONE ||
		    !wav_vm_is_maintained(&plan->view->rows[vm]))
			g_ptr_array_add(plan->removed, g_strdup(intent->id));
	}
}

static void intent_free(gpointer data)
{
	plr_intent_destroy(data);
}

static void plan_begin(struct mgr_manager *manager)
{
	struct mgr_plan *plan = &manager->plan;

	mgr_plan_clear(manager);
	plan->bundle_generation = manager->bundle_generation;
	plan->view = plc_view_copy(manager->view);
	plan->changes = g_array_new(FALSE, FALSE, sizeof(struct pln_change));
	plan->waves =
		g_memdup2(manager->waves, (manager->bundle->wave_count + 1) *
						  sizeof(struct wav_record));
	plan->added = g_ptr_array_new_with_free_func(intent_free);
	plan->removed = g_ptr_array_new_with_free_func(g_free);
}

void mgr_plan_clear(struct mgr_manager *manager)
{
	struct mgr_plan *plan = &manager->plan;

	plc_view_destroy(plan->view);
	g_clear_pointer(&plan->changes, g_array_unref);
	g_free(plan->waves);
	g_clear_pointer(&plan->added, g_ptr_array_unref);
	g_clear_pointer(&plan->removed, g_ptr_array_unref);
	memset(plan, 0, sizeof(*plan));
}

static void plan_make(struct mgr_manager *manager, const struct facts *facts)
{
	struct mgr_plan *plan = &manager->plan;
	const struct pln_input input = {
		.bundle = manager->bundle,
		.wanted = facts->wanted,
		.vms = facts->vms,
		.fit = facts->fit,
		.settled = facts->settled,
	};

	plan_begin(manager);
	maintenance_track(manager);
	for (uint32_t i = 0; i < manager->bundle->wave_count; i++)
		wave_step(manager, facts, i);
	pln_plan(&input, plan->view, plan->changes);
	intents_remove(manager);
	plan->placement =
		plan->changes->len > 0 || plan->view->roll != manager->roll;
	mgr_electorate_plan(manager);
}

static bool plan_is_empty(const struct mgr_manager *manager)
{
	const struct mgr_plan *plan = &manager->plan;

	if (plan->placement || plan->removed->len > 0)
		return false;
	for (uint32_t i = 0; i < manager->bundle->wave_count; i++) {
		if (!wav_record_equals(&plan->waves[i], &manager->waves[i]))
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
