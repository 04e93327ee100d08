#include <jansson.h>
#include <string.h>

#include "log.h"
#include "owner_fleet.h"

/* Names of the VMs that an owner may have given orders to of late. */
#define OWN_KEY_INTENTS "/sassafrascart/vm-orders"
/* A name stays for this multiple of the gap after the last order, so that an
 * order without an answer has surely ended. */
#define OWN_INTENT_GAPS 2

static uint64_t gap_ms(const struct own_fleet *fleet)
{
	return fleet->owner->config.service->vm_order_interval_ms;
}

bool own_fleet_gap_is_over(const struct own_fleet *fleet)
{
	return loop_now_ms() - fleet->owner->began_ms >= gap_ms(fleet);
}

/* Writes are stored in the order in which they were made. */
static void on_stored(void *data)
{
	struct owner *owner = data;
	struct own_fleet *fleet = owner->fleet;

	fleet->intents_stored =
		GPOINTER_TO_SIZE(g_queue_pop_head(&fleet->intents_sent));
	own_fleet_vms_run(fleet);
}

/* Names of this owner's VMs, and those of the owner before as long as they
 * still bind this one. */
static json_t *names_collect(struct own_fleet *fleet)
{
	uint64_t keep_ms = OWN_INTENT_GAPS * gap_ms(fleet);
	json_t *names = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct own_vm *vm = value;

		if (loop_now_ms() - vm->intended_ms > keep_ms)
			vm->intent = 0;
		if (vm->intent != 0)
			json_array_append_new(names, json_string(vm->name));
	}
	if (own_fleet_gap_is_over(fleet))
		return names;
	g_hash_table_iter_init(&iter, fleet->ordered_before);
	while (g_hash_table_iter_next(&iter, &value, NULL))
		json_array_append_new(names, json_string(value));
	return names;
}

void own_intents_write(struct own_fleet *fleet)
{
	json_t *names;
	char *text;

	if (fleet->intents_written == fleet->intents_number)
		return;
	fleet->intents_written = fleet->intents_number;
	names = names_collect(fleet);
	text = json_dumps(names, JSON_COMPACT);
	g_queue_push_tail(&fleet->intents_sent,
			  GSIZE_TO_POINTER(fleet->intents_number));
	commit_put(fleet->owner->log, OWN_KEY_INTENTS, text, on_stored,
		   fleet->owner);
	free(text);
	json_decref(names);
}

bool own_intent_is_stored(struct own_fleet *fleet, struct own_vm *vm)
{
	vm->intended_ms = loop_now_ms();
	if (vm->intent == 0)
		vm->intent = ++fleet->intents_number;
	return fleet->intents_stored >= vm->intent;
}

static void names_take(struct own_fleet *fleet, const struct platform_kv *kv)
{
	json_t *names = json_loadb(kv->value, kv->value_len, 0, NULL);
	json_t *name;
	size_t i;

	if (!json_is_array(names)) {
		log_warning("vm-orders-malformed", "all VMs wait for the gap");
		fleet->intents_unknown = true;
	}
	json_array_foreach(names, i, name)
	{
		if (json_is_string(name))
			g_hash_table_add(fleet->ordered_before,
					 g_strdup(json_string_value(name)));
	}
	json_decref(names);
}

static void on_read(void *data, enum err_kind err,
		    const struct platform_result *result)
{
	struct own_fleet *fleet = weak_ref_release(data);

	if (!fleet)
		return;
	fleet->reading_intents = false;
	if (err != ERR_NONE) {
		log_info("vm-orders-unread", "%s", err_name(err));
		return;
	}
	fleet->intents_read = true;
	if (result->kv_count > 0)
		names_take(fleet, &result->kvs[0]);
	log_info("vm-orders-read", "%u VMs wait for the gap",
		 g_hash_table_size(fleet->ordered_before));
}

void own_intents_read(struct own_fleet *fleet)
{
	if (fleet->intents_read || fleet->reading_intents)
		return;
	fleet->reading_intents = true;
	platform_range(fleet->owner->config.store, OWN_KEY_INTENTS, false,
		       on_read, weak_ref_acquire(fleet->cell));
}

bool own_intents_allow(const struct own_fleet *fleet, const struct own_vm *vm)
{
	if (own_fleet_gap_is_over(fleet))
		return true;
	return fleet->intents_read && !fleet->intents_unknown &&
	       !g_hash_table_contains(fleet->ordered_before, vm->name);
}
