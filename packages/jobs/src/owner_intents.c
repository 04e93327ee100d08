#include <jansson.h>
#include <string.h>

#include "log.h"
#include "owner_fleet.h"

/* Store key of the names of VMs that an owner may have recently requested
 * operations for. */
#define OWNER_KEY_INTENTS "/sassafrascart/vm-orders"
/* Its members: VMs whose requests were answered, and the others. */
#define OWNER_INTENTS_ANSWERED "answered"
#define OWNER_INTENTS_OPEN "open"
/* A VM's name is kept after its last request for this multiple of the minimum
 * interval between requests of two owners. */
#define OWNER_INTENT_RETENTION_FACTOR 2

static uint64_t vm_order_interval_ms(const struct owner_fleet *fleet)
{
	return fleet->owner->config.service->vm_order_interval_ms;
}

/* Returns when the newest request of an earlier owner has arrived, if it is
 * still under way when this owner takes over. */
static uint64_t earlier_requests_arrived_ms(const struct owner_fleet *fleet)
{
	return owner_previous_acts_until_ms(fleet->owner) +
	       OWNER_VM_CALL_TIMEOUT_MS + ADAPTER_ORDER_LIFE_MS;
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

static bool request_may_be_under_way(const struct owner_vm *vm)
{
	/* A VM that drains is about to get a request. */
	return vm->call_in_flight || vm->phase == OWNER_VM_DRAINING ||
	       loop_now_ms() < vm->request_may_arrive_until_ms;
}

static void vm_intents_update(struct owner_fleet *fleet)
{
	uint64_t keep_ms =
		OWNER_INTENT_RETENTION_FACTOR * vm_order_interval_ms(fleet);
	bool changed = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct owner_vm *vm = value;

		if (vm->intent_open && !request_may_be_under_way(vm)) {
			vm->intent_open = false;
			changed = true;
		}
		if (!vm->intent_open &&
		    loop_now_ms() - vm->intent_used_ms > keep_ms)
			vm->intent_number = 0;
	}
	if (changed)
		fleet->newest_intent++;
}

static void names_add(json_t *names, GHashTable *set)
{
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, set);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		json_array_append_new(names, json_string(name));
}

/* Collects the names of this owner's VMs and, until their time has elapsed,
 * those of earlier owners. */
static json_t *names_encode(struct owner_fleet *fleet)
{
	json_t *answered = json_array();
	json_t *open = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct owner_vm *vm = value;

		if (vm->intent_number != 0)
			json_array_append_new(vm->intent_open ? open : answered,
					      json_string(vm->name));
	}
	if (!owner_vm_order_interval_has_elapsed(fleet))
		names_add(answered, fleet->prior_intents);
	if (loop_now_ms() < earlier_requests_arrived_ms(fleet))
		names_add(open, fleet->prior_open_intents);
	return json_pack("{s:o, s:o}", OWNER_INTENTS_ANSWERED, answered,
			 OWNER_INTENTS_OPEN, open);
}

void owner_intents_write(struct owner_fleet *fleet)
{
	json_t *names;
	char *text;

	vm_intents_update(fleet);
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
	if (vm->intent_number == 0 || !vm->intent_open) {
		vm->intent_number = ++fleet->newest_intent;
		vm->intent_open = true;
	}
	return fleet->stored_intent >= vm->intent_number;
}

void owner_intent_request_ended(struct owner_vm *vm, enum err_kind err)
{
	/* These say that the request was not carried out, and never will be. */
	if (err != ERR_NONE && err != ERR_CONNECT && err != ERR_RATE_LIMITED &&
	    err != ERR_UNAVAILABLE)
		vm->request_may_arrive_until_ms =
			loop_now_ms() + ADAPTER_ORDER_LIFE_MS;
}

static void names_load(GHashTable *set, const json_t *names)
{
	const json_t *name;
	size_t i;

	json_array_foreach((json_t *)names, i, name)
	{
		if (json_is_string(name))
			g_hash_table_add(set,
					 g_strdup(json_string_value(name)));
	}
}

static void intents_decode(struct owner_fleet *fleet,
			   const struct platform_kv *kv)
{
	json_t *json = json_loadb(kv->value, kv->value_len, 0, NULL);
	const json_t *answered = json_object_get(json, OWNER_INTENTS_ANSWERED);
	/* An earlier version stores the names alone. */
	const json_t *open =
		json_is_array(json) ? json
				    : json_object_get(json, OWNER_INTENTS_OPEN);

	if (!json_is_array(open)) {
		log_warning("vm-intents-malformed",
			    "operations on all VMs wait until requests of "
			    "earlier owners can no longer arrive");
		fleet->intents_malformed = true;
	}
	names_load(fleet->prior_intents, answered);
	names_load(fleet->prior_open_intents, open);
	json_decref(json);
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
		intents_decode(fleet, &result->kvs[0]);
	log_info("vm-intents-read",
		 "operations on %u VMs wait for the minimum interval between "
		 "VM operations of two owners, on %u VMs until an unanswered "
		 "request can no longer arrive",
		 g_hash_table_size(fleet->prior_intents),
		 g_hash_table_size(fleet->prior_open_intents));
}

void owner_intents_load(struct owner_fleet *fleet)
{
	if (fleet->intents_read || fleet->intents_read_in_flight)
		return;
	fleet->intents_read_in_flight = true;
	platform_range(fleet->owner->config.store, OWNER_KEY_INTENTS, false,
		       on_read, weak_ref_acquire(fleet->weak_ref));
}

bool owner_intents_may_be_under_way(const struct owner_fleet *fleet,
				    const char *vm)
{
	if (loop_now_ms() >= earlier_requests_arrived_ms(fleet))
		return false;
	return !fleet->intents_read || fleet->intents_malformed ||
	       g_hash_table_contains(fleet->prior_open_intents, vm);
}

bool owner_intents_allow_operation(const struct owner_fleet *fleet,
				   const struct owner_vm *vm)
{
	if (loop_now_ms() >=
	    earlier_requests_arrived_ms(fleet) + vm_order_interval_ms(fleet))
		return true;
	if (!fleet->intents_read || fleet->intents_malformed ||
	    g_hash_table_contains(fleet->prior_open_intents, vm->name))
		return false;
	return owner_vm_order_interval_has_elapsed(fleet) ||
	       !g_hash_table_contains(fleet->prior_intents, vm->name);
}
