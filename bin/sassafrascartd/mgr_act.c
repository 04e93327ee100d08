#include <string.h>

#include "lgx.h"
#include "mgr_private.h"

void mgr_vm_set_intent(struct mgr_manager *manager,
		       const struct plr_intent *intent, struct mgr_vm *vm)
{
	if (g_strcmp0(vm->intent, intent->id) == 0)
		return;
	g_free(vm->intent);
	vm->intent = g_strdup(intent->id);
	vm->intent_serial++;
	vm->maintenance_began_up_ms = manager->platform_up_ms;
	vm->drained = false;
	vm->rebooted = false;
	vm->seen_offline = false;
	vm->back_online = false;
	vm->resumed = false;
}

static void action_accepted(struct mgr_vm *vm)
{
	switch (vm->action) {
	case PLT_ACTION_DRAIN:
		vm->drained = true;
		break;
	case PLT_ACTION_REBOOT:
		vm->rebooted = true;
		vm->rebooted_ms = evl_now_ms();
		break;
	case PLT_ACTION_RESUME:
		vm->resumed = true;
		break;
	}
}

static void on_action(void *data, enum err_kind err)
{
	struct mgr_vm *vm = data;

	vm->action_in_flight = false;
	if (err != ERR_NONE)
		ctr_add(vm->manager->config.counters, CTR_VM_ACTION_ERRORS);
	else if (vm->action_serial == vm->intent_serial &&
		 vm->action_term == vm->manager->term)
		action_accepted(vm);
}

static void action_call(struct mgr_manager *manager, struct mgr_vm *vm,
			enum plt_action action)
{
	if (!mgr_may_act(manager))
		return;
	vm->action_in_flight = true;
	vm->action = action;
	vm->action_term = manager->term;
	vm->action_serial = vm->intent_serial;
	ctr_add(manager->config.counters, CTR_VM_ACTIONS);
	lgx_info("vm_action", "%s of VM %s under intent %s",
		 plt_action_name(action), vm->name, vm->intent);
	plt_vm_action(manager->config.platform, vm->name, action, vm->intent,
		      on_action, vm);
}

static void intent_act(struct mgr_manager *manager,
		       const struct plr_intent *intent)
{
	uint32_t index = bnd_vm_find(manager->bundle, intent->vm);
	struct mgr_vm *vm = mgr_vm_get(manager, intent->vm);
	const struct plc_row *row;

	if (index == BND_NONE || vm->action_in_flight)
		return;
	row = &manager->view->rows[index];
	if (!wav_vm_is_maintained(row))
		return;
	mgr_vm_set_intent(manager, intent, vm);
	if (row->state == PLC_STATE_DRAINING && !vm->drained)
		action_call(manager, vm, PLT_ACTION_DRAIN);
	else if (row->state == PLC_STATE_STOPPED && !vm->rebooted)
		action_call(manager, vm, PLT_ACTION_REBOOT);
	else if (row->state == PLC_STATE_STOPPED && vm->back_online &&
		 !vm->resumed)
		action_call(manager, vm, PLT_ACTION_RESUME);
}

void mgr_actions_run(struct mgr_manager *manager)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, manager->intents);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		intent_act(manager, value);
}
