#include "fleet_record.h"

#include <jansson.h>
#include <string.h>

#include "platform_client.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC(json_t, json_decref)

static char *dump(json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);
	char *copy = g_strdup(text);

	free(text);
	json_decref(root);
	return copy;
}

void fleet_record_intent_destroy(struct fleet_record_intent *intent)
{
	if (!intent)
		return;
	g_free(intent->id);
	g_free(intent->vm);
	g_free(intent->wave);
	g_free(intent);
}

static json_t *room_build(const struct disruption_verdict *room)
{
	return json_pack("{s:I, s:I, s:I, s:b}", "ready",
			 (json_int_t)room->ready, "worst_loss",
			 (json_int_t)room->worst_loss, "floor",
			 (json_int_t)room->floor, "small", room->undersized);
}

char *fleet_record_intent_build(const struct fleet_record_intent *intent)
{
	return dump(json_pack(
		"{s:s, s:s, s:s, s:I, s:I, s:o}", "id", intent->id, "vm",
		intent->vm, "wave", intent->wave, "number",
		(json_int_t)intent->number, "at_ms", (json_int_t)intent->at_ms,
		"budget", room_build(&intent->budget)));
}

enum err_kind fleet_record_intent_parse(const char *text, size_t len,
					struct fleet_record_intent **out)
{
	g_autoptr(json_t) root = json_loadb(text, len, 0, NULL);
	const char *id;
	const char *vm;
	const char *wave;
	json_int_t number;
	json_int_t at_ms;

	if (json_unpack(root, "{s:s, s:s, s:s, s:I, s:I}", "id", &id, "vm", &vm,
			"wave", &wave, "number", &number, "at_ms",
			&at_ms) != 0 ||
	    number < 0 || at_ms < 0)
		return ERR_MALFORMED;
	*out = g_new0(struct fleet_record_intent, 1);
	(*out)->id = g_strdup(id);
	(*out)->vm = g_strdup(vm);
	(*out)->wave = g_strdup(wave);
	(*out)->number = (uint64_t)number;
	(*out)->at_ms = (uint64_t)at_ms;
	return ERR_NONE;
}

char *fleet_record_wave_build(const struct bundle *bundle,
			      const struct maintenance_record *record,
			      uint64_t at_ms)
{
	json_t *failed = json_array();

	for (uint32_t i = 0; i < record->failed_count; i++)
		json_array_append_new(
			failed,
			json_string(bundle->vms[record->failed[i]].name));
	return dump(json_pack("{s:I, s:I, s:s, s:s, s:I, s:I, s:o, s:I}",
			      "roll", (json_int_t)record->roll, "window_min",
			      (json_int_t)record->window_min, "status",
			      maintenance_status_name(record->status), "reason",
			      maintenance_reason_name(record->reason),
			      "maintained", (json_int_t)record->maintained,
			      "total", (json_int_t)record->total, "failed",
			      failed, "at_ms", (json_int_t)at_ms));
}

static bool status_parse(const char *name, enum maintenance_status *out)
{
	for (uint32_t i = 0; i < MAINTENANCE_STATUS_COUNT; i++) {
		if (strcmp(maintenance_status_name(i), name) == 0) {
			*out = i;
			return true;
		}
	}
	return false;
}

static bool reason_parse(const char *name, enum maintenance_reason *out)
{
	for (uint32_t i = 0; i < MAINTENANCE_REASON_COUNT; i++) {
		if (strcmp(maintenance_reason_name(i), name) == 0) {
			*out = i;
			return true;
		}
	}
	return false;
}

enum err_kind fleet_record_wave_parse(const char *text, size_t len,
				      const struct bundle *bundle,
				      struct maintenance_record *out)
{
	g_autoptr(json_t) root = json_loadb(text, len, 0, NULL);
	const char *status;
	const char *reason;
	json_t *failed;
	json_int_t roll;
	json_int_t window;
	size_t index;
	json_t *name;

	memset(out, 0, sizeof(*out));
	if (json_unpack(root, "{s:I, s:I, s:s, s:s, s:o}", "roll", &roll,
			"window_min", &window, "status", &status, "reason",
			&reason, "failed", &failed) != 0 ||
	    roll < 0 || window < 0 || !status_parse(status, &out->status) ||
	    !reason_parse(reason, &out->reason) || !json_is_array(failed))
		return ERR_MALFORMED;
	out->roll = (uint64_t)roll;
	out->window_min = (uint64_t)window;
	json_array_foreach(failed, index, name)
	{
		uint32_t vm = BUNDLE_INDEX_NONE;

		if (json_is_string(name))
			vm = bundle_vm_find(bundle, json_string_value(name));
		if (vm != BUNDLE_INDEX_NONE)
			maintenance_record_add_failure(out, vm);
	}
	return ERR_NONE;
}

static json_t *size_build(const struct fleet_record_pool_size *size)
{
	return json_pack("{s:s, s:I, s:I, s:I, s:I, s:I, s:I}", "reason",
			 size->reason, "held", (json_int_t)size->current_vms,
			 "wanted", (json_int_t)size->target_vms, "demand_milli",
			 (json_int_t)size->demand_milli, "low",
			 (json_int_t)size->band_low_vms, "high",
			 (json_int_t)size->band_high_vms, "minimum",
			 (json_int_t)size->min_vms);
}

/* The pool whose demand a change answers, BUNDLE_INDEX_NONE for none. */
static uint32_t demand_pool(const struct planner_change *change)
{
	const struct placement_row *after = &change->after;

	if (after->reason == PLACEMENT_REASON_RETURN)
		return change->before.pool;
	if (after->reason != PLACEMENT_REASON_DEMAND)
		return BUNDLE_INDEX_NONE;
	return after->next_pool != BUNDLE_INDEX_NONE ? after->next_pool
						     : after->pool;
}

static void size_add(const struct fleet_record_decision *decision,
		     const struct planner_change *change, json_t *root)
{
	uint32_t pool = demand_pool(change);

	if (decision->pool_sizes && pool != BUNDLE_INDEX_NONE &&
	    decision->pool_sizes[pool].reason)
		json_object_set_new(root, "demand",
				    size_build(&decision->pool_sizes[pool]));
}

static json_t *change_build(const struct fleet_record_decision *decision,
			    const struct planner_change *change)
{
	const struct bundle *bundle = decision->bundle;
	const struct placement_row *before = &change->before;
	const struct placement_row *after = &change->after;
	uint32_t pools[] = { before->pool, after->pool, after->next_pool };
	const char *names[3];
	json_t *root;

	for (int i = 0; i < 3; i++)
		names[i] = pools[i] == BUNDLE_INDEX_NONE
				   ? ""
				   : bundle->pools[pools[i]].name;
	root = json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "vm",
			 bundle->vms[change->vm].name, "from", names[0], "was",
			 placement_state_name(before->state), "pool", names[1],
			 "state", placement_state_name(after->state), "next",
			 names[2], "reason",
			 placement_reason_name(after->reason));
	if (change->budget_checked)
		json_object_set_new(root, "budget",
				    room_build(&change->verdict));
	size_add(decision, change, root);
	return root;
}

char *fleet_record_decision_build(const struct fleet_record_decision *decision)
{
	guint listed = MIN(decision->changes->len, FLEET_RECORD_CHANGES_MAX);
	json_t *changes = json_array();

	for (guint i = 0; i < listed; i++)
		json_array_append_new(
			changes,
			change_build(decision,
				     &g_array_index(decision->changes,
						    struct planner_change, i)));
	return dump(json_pack(
		"{s:I, s:I, s:s, s:I, s:o, s:I}", "number",
		(json_int_t)decision->number, "roll",
		(json_int_t)decision->roll, "manager", decision->manager,
		"at_ms", (json_int_t)decision->at_ms, "changes", changes,
		"more", (json_int_t)(decision->changes->len - listed)));
}

char *fleet_record_decision_key(uint64_t number)
{
	return g_strdup_printf(
		PLATFORM_PREFIX_DECISION "placement/%03u",
		(unsigned int)(number % FLEET_RECORD_DECISIONS_MAX));
}
