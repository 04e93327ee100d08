#include <string.h>

#include "log.h"
#include "mgr_private.h"

void mgr_act_track(struct mgr_manager *manager,
		   const struct fleet_record_intent *intent, struct mgr_vm *vm)
{
	if (g_strcmp0(vm->intent, intent->id) == 0)
		return;
	g_free(vm->intent);
	vm->intent = g_strdup(intent->id);
	vm->serial++;
	vm->began_up_ms = manager->up_ms;
	vm->drained = false;
	vm->rebooted = false;
	vm->seen_away = false;
	vm->back = false;
	vm->resumed = false;
}

static void action_accepted(struct mgr_vm *vm)
{
	switch (vm->action) {
	case PLATFORM_ACTION_DRAIN:
		vm->drained = true;
		break;
	case PLATFORM_ACTION_REBOOT:
		vm->rebooted = true;
		vm->rebooted_ms = loop_now_ms();
		break;
	case PLATFORM_ACTION_RESUME:
		vm->resumed = true;
		break;
	}
}

static void on_action(void *data, enum err_kind err)
{
	struct mgr_vm *vm = data;

	vm->calling = false;
	if (err != ERR_NONE)
		counter_inc(vm->manager->config.counters,
			    COUNTER_VM_ACTION_ERRORS);
	else if (vm->action_serial == vm->serial &&
		 vm->action_term == vm->manager->term)
		action_accepted(vm);
}

static void action_call(struct mgr_manager *manager, struct mgr_vm *vm,
			enum platform_action action)
{
	if (!mgr_may_act(manager))
		return;
	vm->calling = true;
	vm->action = action;
	vm->action_term = manager->term;
	vm->action_serial = vm->serial;
	counter_inc(manager->config.counters, COUNTER_VM_ACTIONS);
	log_info("vm_action", "%s of VM %s under intent %s",
		 platform_action_name(action), vm->name, vm->intent);
	platform_vm_action(manager->config.platform, vm->name, action,
			   vm->intent, on_action, vm);
}

static void intent_act(struct mgr_manager *manager,
		       const struct fleet_record_intent *intent)
{
	uint32_t index = bundle_vm_find(manager->bundle, intent->vm);
	struct mgr_vm *vm = mgr_vm_get(manager, intent->vm);
	const struct placement_row *row;

	if (index == BUNDLE_INDEX_NONE || vm->calling)
		return;
	row = &manager->view->rows[index];
	if (!maintenance_is_in_progress(row))
		return;
	mgr_act_track(manager, intent, vm);
	if (row->state == PLACEMENT_STATE_DRAINING && !vm->drained)
		action_call(manager, vm, PLATFORM_ACTION_DRAIN);
	else if (row->state == PLACEMENT_STATE_STOPPED && !vm->rebooted)
		action_call(manager, vm, PLATFORM_ACTION_REBOOT);
	else if (row->state == PLACEMENT_STATE_STOPPED && vm->back &&
		 !vm->resumed)
		action_call(manager, vm, PLATFORM_ACTION_RESUME);
}

void mgr_act(struct mgr_manager *manager)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, manager->intents);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		intent_act(manager, value);
}
