#include <string.h>

#include "log.h"
#include "mgr_private.h"
#include "stored_value.h"

/* Interval between reads of the members while no confirmation is pending. */
#define MGR_MEMBERS_READ_INTERVAL_MS 5000

/*
 * Returns whether the read in progress is still valid: without an error, in the
 * same term and for the same bundle. Ends the read otherwise.
 */
static bool read_is_current(struct mgr_manager *manager, enum err_kind err)
{
	if (err != ERR_NONE)
		mgr_platform_error_record(manager);
	if (err != ERR_NONE || manager->term == 0 ||
	    manager->bundle_generation != manager->read_bundle_generation) {
		manager->busy = false;
		return false;
	}
	return true;
}

static void wave_load(struct mgr_manager *manager, const struct platform_kv *kv)
{
	const char *name = kv->key + strlen(PLATFORM_PREFIX_WAVE);

	for (uint32_t i = 0; i < manager->bundle->wave_count; i++) {
		if (strcmp(manager->bundle->waves[i].name, name) == 0 &&
		    fleet_record_wave_parse(kv->value, kv->value_len,
					    manager->bundle,
					    &manager->waves[i]) != ERR_NONE)
			log_warning("wave_malformed",
				    "the record of wave %s cannot be parsed",
				    name);
	}
}

static void on_waves(void *data, enum err_kind err,
		     const struct platform_result *result)
{
	struct mgr_manager *manager = data;

	if (!read_is_current(manager, err))
		return;
	g_free(manager->waves);
	manager->waves = g_new0(struct maintenance_record,
				manager->bundle->wave_count + 1);
	for (size_t i = 0; i < result->kv_count; i++)
		wave_load(manager, &result->kvs[i]);
	manager->synced = true;
	mgr_read_fleet(manager);
}

static void intent_load(struct mgr_manager *manager,
			const struct platform_kv *kv)
{
	struct fleet_record_intent *intent = NULL;

	if (fleet_record_intent_parse(kv->value, kv->value_len, &intent) !=
	    ERR_NONE) {
		log_warning("intent_malformed",
			    "intent record %s cannot be parsed", kv->key);
		return;
	}
	g_hash_table_replace(manager->intents, intent->id, intent);
}

static void on_intents(void *data, enum err_kind err,
		       const struct platform_result *result)
{
	struct mgr_manager *manager = data;

	if (!read_is_current(manager, err))
		return;
	g_hash_table_remove_all(manager->intents);
	for (size_t i = 0; i < result->kv_count; i++)
		intent_load(manager, &result->kvs[i]);
	platform_range(manager->config.platform, PLATFORM_PREFIX_WAVE, true,
		       on_waves, manager);
}

static bool placement_load(struct mgr_manager *manager,
			   const struct platform_result *result)
{
	struct placement *view = NULL;

	manager->placement_revision = 0;
	if (result->kv_count == 0) {
		view = placement_create(manager->bundle);
	} else {
		manager->placement_revision = result->kvs[0].mod_revision;
		if (stored_placement_parse(
			    result->kvs[0].value, result->kvs[0].value_len,
			    manager->bundle, &view) != ERR_NONE) {
			log_warning("placement_refused",
				    "the stored placement cannot be parsed");
			return false;
		}
	}
	placement_destroy(manager->view);
	manager->view = view;
	/* This process must catch up first if the placement's roll is newer. */
	return view->roll <= manager->roll;
}

static void on_placement(void *data, enum err_kind err,
			 const struct platform_result *result)
{
	struct mgr_manager *manager = data;

	if (!read_is_current(manager, err))
		return;
	if (!placement_load(manager, result)) {
		manager->busy = false;
		return;
	}
	platform_range(manager->config.platform, PLATFORM_PREFIX_INTENT, true,
		       on_intents, manager);
}

void mgr_read_records(struct mgr_manager *manager)
{
	manager->busy = true;
	manager->read_bundle_generation = manager->bundle_generation;
	platform_range(manager->config.platform, PLATFORM_KEY_PLACEMENT, false,
		       on_placement, manager);
}

/*
 * Detects that a VM is live again after its reboot. The list may lag, so a live
 * state only counts after the VM was seen offline or the lag has passed.
 */
static void reboot_track(struct mgr_vm *vm, uint64_t now_ms)
{
	if (!vm->rebooted || vm->back_online)
		return;
	if (vm->state != PLATFORM_VM_LIVE)
		vm->seen_offline = true;
	else if (vm->seen_offline ||
		 now_ms - vm->rebooted_ms > vm->manager->config.vm_list_lag_ms)
		vm->back_online = true;
}

static void listed_vm_apply(struct mgr_manager *manager,
			    const struct platform_vm *listed, uint64_t now_ms)
{
	struct mgr_vm *vm = mgr_vm_get(manager, listed->name);

	vm->listed = true;
	vm->state = listed->state;
	if (listed->state != PLATFORM_VM_DOWN)
		vm->down_since_ms = 0;
	else if (vm->down_since_ms == 0)
		vm->down_since_ms = now_ms;
	reboot_track(vm, now_ms);
}

static void platform_up_time_add(struct mgr_manager *manager, uint64_t now_ms)
{
	uint64_t max_ms = 2 * (uint64_t)manager->config.vm_list_ms;

	if (manager->list_read_ms != 0)
		manager->platform_up_ms +=
			MIN(now_ms - manager->list_read_ms, max_ms);
	manager->list_read_ms = now_ms;
}

static void on_vms(void *data, enum err_kind err, const struct platform_vm *vms,
		   size_t count)
{
	struct mgr_manager *manager = data;
	uint64_t now_ms = loop_now_ms();

	if (!read_is_current(manager, err))
		return;
	platform_up_time_add(manager, now_ms);
	for (size_t i = 0; i < count; i++)
		listed_vm_apply(manager, &vms[i], now_ms);
	mgr_decide(manager);
}

static bool is_due(uint64_t read_ms, uint32_t interval_ms)
{
	return read_ms == 0 || loop_now_ms() - read_ms >= interval_ms;
}

static void vms_read(struct mgr_manager *manager)
{
	if (is_due(manager->list_read_ms, manager->config.vm_list_ms))
		platform_vm_list(manager->config.platform, on_vms, manager);
	else
		mgr_decide(manager);
}

static struct confirm_process *process_get(struct mgr_manager *manager,
					   const char *id)
{
	struct confirm_process *process =
		g_hash_table_lookup(manager->processes, id);

	if (!process) {
		process = g_new0(struct confirm_process, 1);
		g_hash_table_insert(manager->processes, g_strdup(id), process);
	}
	return process;
}

static void heartbeat_apply(void *data, const struct gossip_heartbeat *last,
			    uint64_t received_ms)
{
	struct confirm_process *process = process_get(data, last->from.id);

	process->heartbeat_ms = received_ms;
	process->applied = received_ms == 0 ? 0 : last->applied_placement;
}

static void processes_update(struct mgr_manager *manager)
{
	struct confirm_process *self = process_get(manager, manager->config.id);

	gossip_node_foreach_peer(manager->config.peers, heartbeat_apply,
				 manager);
	self->heartbeat_ms = loop_now_ms();
	self->applied = manager->config.applied_placement(manager->config.data);
}

static void on_members(void *data, enum err_kind err,
		       const struct platform_result *result)
{
	struct mgr_manager *manager = data;
	GHashTableIter iter;
	gpointer value;

	if (!read_is_current(manager, err))
		return;
	g_hash_table_iter_init(&iter, manager->processes);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct confirm_process *)value)->listed = false;
	for (size_t i = 0; i < result->kv_count; i++) {
		struct confirm_process *process = process_get(
			manager,
			result->kvs[i].key + strlen(PLATFORM_PREFIX_MEMBER));

		process->listed = true;
		process->listed_ms = loop_now_ms();
	}
	manager->members_read_ms = loop_now_ms();
	processes_update(manager);
	vms_read(manager);
}

static bool confirmations_are_pending(const struct mgr_manager *manager)
{
	if (manager->placement_confirm.number != manager->view->number ||
	    manager->placement_confirm.confirmed_ms == 0 ||
	    manager->view->electorate.previous)
		return true;
	for (uint32_t i = 0; i < manager->view->row_count; i++) {
		if (manager->view->rows[i].state == PLACEMENT_STATE_DRAINING)
			return true;
	}
	return false;
}

void mgr_read_fleet(struct mgr_manager *manager)
{
	uint32_t interval_ms = MGR_MEMBERS_READ_INTERVAL_MS;

	if (confirmations_are_pending(manager))
		interval_ms = MIN(interval_ms, manager->config.vm_list_ms);
	manager->busy = true;
	manager->read_bundle_generation = manager->bundle_generation;
	if (is_due(manager->members_read_ms, interval_ms)) {
		platform_range(manager->config.platform, PLATFORM_PREFIX_MEMBER,
			       true, on_members, manager);
		return;
	}
	processes_update(manager);
	vms_read(manager);
}
