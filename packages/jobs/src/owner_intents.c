#include <jansson.h>
#include <string.h>

#include "log.h"
#include "owner_fleet.h"

/* Store key of the names of VMs that an owner may have recently requested
 * operations for. */
#define OWNER_KEY_INTENTS "/sassafrascart/vm-orders"
/* A VM's name is kept after its last request for this multiple of the minimum
 * interval between requests of two owners. By then, an unanswered request can
 * no longer be carried out. */
#define OWNER_INTENT_RETENTION_FACTOR 2

static uint64_t vm_order_interval_ms(const struct owner_fleet *fleet)
{
	return fleet->owner->config.service->vm_order_interval_ms;
}

bool owner_vm_order_interval_has_elapsed(const struct owner_fleet *fleet)
{
	return loop_now_ms() >= owner_previous_acts_until_ms(fleet->owner) +
					vm_order_interval_ms(fleet);
}

/* Writes complete in the order in which they were made. */
static void on_stored(void *data, enum err_kind err)
{
	struct owner *owner = data;
	struct owner_fleet *fleet = owner->fleet;
	uint64_t number =
		GPOINTER_TO_SIZE(g_queue_pop_head(&fleet->intent_writes));

	if (err != ERR_NONE) {
		/* The next call of owner_intents_write() tries again. */
		fleet->written_intent = fleet->stored_intent;
		return;
	}
	fleet->stored_intent = number;
	owner_vm_workers_update(fleet);
	owner_vms_advance(fleet);
}

/* Collects the names of this owner's VMs and, until the minimum interval has
 * elapsed, those of earlier owners. */
static json_t *names_encode(struct owner_fleet *fleet)
{
	uint64_t keep_ms =
		OWNER_INTENT_RETENTION_FACTOR * vm_order_interval_ms(fleet);
	json_t *names = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct owner_vm *vm = value;

		if (loop_now_ms() - vm->intent_used_ms > keep_ms)
			vm->intent_number = 0;
		if (vm->intent_number != 0)
			json_array_append_new(names, json_string(vm->name));
	}
	if (owner_vm_order_interval_has_elapsed(fleet))
		return names;
	g_hash_table_iter_init(&iter, fleet->prior_intents);
	while (g_hash_table_iter_next(&iter, &value, NULL))
		json_array_append_new(names, json_string(value));
	return names;
}

void owner_intents_write(struct owner_fleet *fleet)
{
	json_t *names;
	char *text;

	if (fleet->written_intent == fleet->newest_intent)
		return;
	fleet->written_intent = fleet->newest_intent;
	names = names_encode(fleet);
	text = json_dumps(names, JSON_COMPACT);
	g_queue_push_tail(&fleet->intent_writes,
			  GSIZE_TO_POINTER(fleet->newest_intent));
	commit_put(fleet->owner->log, OWNER_KEY_INTENTS, text, on_stored,
		   fleet->owner);
	free(text);
	json_decref(names);
}

bool owner_intent_ensure_stored(struct owner_fleet *fleet, struct owner_vm *vm)
{
	vm->intent_used_ms = loop_now_ms();
	if (vm->intent_number == 0)
		vm->intent_number = ++fleet->newest_intent;
	return fleet->stored_intent >= vm->intent_number;
}

static void names_load(struct owner_fleet *fleet, const struct platform_kv *kv)
{
	json_t *names = json_loadb(kv->value, kv->value_len, 0, NULL);
	json_t *name;
	size_t i;

	if (!json_is_array(names)) {
		log_warning("vm-intents-malformed",
			    "operations on all VMs wait for the minimum "
			    "interval between VM operations of two owners");
		fleet->intents_malformed = true;
	}
	json_array_foreach(names, i, name)
	{
		if (json_is_string(name))
			g_hash_table_add(fleet->prior_intents,
					 g_strdup(json_string_value(name)));
	}
	json_decref(names);
}

static void on_read(void *data, enum err_kind err,
		    const struct platform_result *result)
{
	struct owner_fleet *fleet = weak_ref_release(data);

	if (!fleet)
		return;
	fleet->intents_read_in_flight = false;
	if (err != ERR_NONE) {
		log_info("vm-intents-read-failed",
			 "VM operations of the previous owner cannot be read, "
			 "new ones wait: %s",
			 err_name(err));
		return;
	}
	fleet->intents_read = true;
	if (result->kv_count > 0)
		names_load(fleet, &result->kvs[0]);
	log_info("vm-intents-read",
		 "operations on %u VMs wait for the minimum interval between "
		 "VM operations of two owners",
		 g_hash_table_size(fleet->prior_intents));
}

void owner_intents_load(struct owner_fleet *fleet)
{
	if (fleet->intents_read || fleet->intents_read_in_flight)
		return;
	fleet->intents_read_in_flight = true;
	platform_range(fleet->owner->config.store, OWNER_KEY_INTENTS, false,
		       on_read, weak_ref_acquire(fleet->weak_ref));
}

bool owner_intents_allow_operation(const struct owner_fleet *fleet,
				   const struct owner_vm *vm)
{
	if (owner_vm_order_interval_has_elapsed(fleet))
		return true;
	return fleet->intents_read && !fleet->intents_malformed &&
	       !g_hash_table_contains(fleet->prior_intents, vm->name);
}
