#include <string.h>

#include "log.h"
#include "mgr_private.h"
#include "stored_value.h"

/* The writes of a transaction and the strings they refer to. */
struct batch {
	GArray *writes;
	GPtrArray *texts;
};

/* Takes ownership of key and value; a NULL value deletes the key. */
static void batch_add(struct batch *batch, char *key, char *value)
{
	const struct platform_write write = { key, value, 0 };

	g_ptr_array_add(batch->texts, key);
	if (value)
		g_ptr_array_add(batch->texts, value);
	g_array_append_val(batch->writes, write);
}

static enum counter_kind change_counter(enum placement_reason reason)
{
	switch (reason) {
	case PLACEMENT_REASON_DEMAND:
		return COUNTER_CHANGE_DEMAND;
	case PLACEMENT_REASON_NOT_ALLOWED:
		return COUNTER_CHANGE_NOT_ALLOWED;
	case PLACEMENT_REASON_WAVE:
		return COUNTER_CHANGE_WAVE;
	case PLACEMENT_REASON_WAVE_DONE:
		return COUNTER_CHANGE_WAVE_DONE;
	case PLACEMENT_REASON_FAILURE:
		return COUNTER_CHANGE_FAILURE;
	case PLACEMENT_REASON_RETURN:
		return COUNTER_CHANGE_RETURN;
	default:
		return COUNTER_CHANGE_FILL;
	}
}

static void changes_count(const struct mgr_manager *manager)
{
	const struct mgr_plan *plan = &manager->plan;

	for (guint i = 0; i < plan->changes->len; i++)
		counter_inc(
			manager->config.counters,
			change_counter(g_array_index(plan->changes,
						     struct planner_change, i)
					       .after.reason));
	for (uint32_t i = 0; i < manager->bundle->wave_count; i++) {
		if (plan->waves[i].status == MAINTENANCE_STATUS_HALTED &&
		    manager->waves[i].status != MAINTENANCE_STATUS_HALTED)
			counter_inc(manager->config.counters,
				    COUNTER_WAVE_HALTS);
	}
}

static void change_log(const struct mgr_manager *manager,
		       const struct planner_change *change)
{
	const char *vm = manager->bundle->vms[change->vm].name;
	const char *state = placement_state_name(change->after.state);
	const char *reason = placement_reason_name(change->after.reason);

	if (!change->budget_checked) {
		log_info("vm_state_change", "VM %s becomes %s: %s", vm, state,
			 reason);
		return;
	}
	log_info("vm_state_change",
		 "VM %s becomes %s: %s; %u VMs ready afterwards, worst-case "
		 "loss %u, floor %u",
		 vm, state, reason, change->verdict.ready,
		 change->verdict.worst_loss, change->verdict.floor);
}

static void changes_log(const struct mgr_manager *manager)
{
	const GArray *changes = manager->plan.changes;

	for (guint i = 0; i < changes->len; i++)
		change_log(manager,
			   &g_array_index(changes, struct planner_change, i));
}

static void placement_add(struct mgr_manager *manager, struct batch *batch)
{
	struct mgr_plan *plan = &manager->plan;
	g_autofree struct fleet_record_pool_size *sizes =
		mgr_demand_sizes(manager);
	struct fleet_record_decision decision = {
		.pool_sizes = sizes,
		.bundle = manager->bundle,
		.roll = manager->roll,
		.manager = manager->config.id,
		.at_ms = mgr_wall_ms(),
		.changes = plan->changes,
	};

	plan->view->number++;
	plan->view->roll = manager->roll;
	decision.number = plan->view->number;
	manager->placement_text =
		stored_placement_build(manager->bundle, plan->view);
	batch_add(batch, g_strdup(PLATFORM_KEY_PLACEMENT),
		  g_strdup(manager->placement_text));
	batch_add(batch, g_strdup(PLATFORM_KEY_PLACEMENT_NUMBER),
		  stored_number_build(plan->view->number));
	batch_add(batch, fleet_record_decision_key(decision.number),
		  fleet_record_decision_build(&decision));
	log_info("placement_write", "writing placement %" PRIu64,
		 plan->view->number);
	changes_log(manager);
}

static void intents_add(struct mgr_manager *manager, struct batch *batch)
{
	const struct mgr_plan *plan = &manager->plan;

	for (guint i = 0; i < plan->intents_to_add->len; i++) {
		const struct fleet_record_intent *intent =
			g_ptr_array_index(plan->intents_to_add, i);

		batch_add(batch,
			  g_strconcat(PLATFORM_PREFIX_INTENT, intent->id, NULL),
			  fleet_record_intent_build(intent));
	}
	for (guint i = 0; i < plan->intents_to_remove->len; i++)
		batch_add(batch,
			  g_strconcat(
				  PLATFORM_PREFIX_INTENT,
				  g_ptr_array_index(plan->intents_to_remove, i),
				  NULL),
			  NULL);
}

static void wave_log(const char *name, const struct maintenance_record *record)
{
	log_info("wave", "wave %s: %s, %s, %u of %u VMs maintained, %u failed",
		 name, maintenance_status_name(record->status),
		 maintenance_reason_name(record->reason), record->maintained,
		 record->total, record->failed_count);
}

static void waves_add(struct mgr_manager *manager, struct batch *batch)
{
	const struct mgr_plan *plan = &manager->plan;

	for (uint32_t i = 0; i < manager->bundle->wave_count; i++) {
		const char *name = manager->bundle->waves[i].name;

		if (maintenance_record_equals(&plan->waves[i],
					      &manager->waves[i]))
			continue;
		batch_add(batch, g_strconcat(PLATFORM_PREFIX_WAVE, name, NULL),
			  fleet_record_wave_build(manager->bundle,
						  &plan->waves[i],
						  mgr_wall_ms()));
		wave_log(name, &plan->waves[i]);
	}
}

/* Replaces the copies of the stored records by the plan just written. */
static void plan_adopt(struct mgr_manager *manager, int64_t revision)
{
	struct mgr_plan *plan = &manager->plan;

	changes_count(manager);
	if (plan->write_placement)
		manager->placement_revision = revision;
	placement_destroy(manager->view);
	manager->view = g_steal_pointer(&plan->view);
	g_free(manager->waves);
	manager->waves = g_steal_pointer(&plan->waves);
	for (guint i = 0; i < plan->intents_to_remove->len; i++)
		g_hash_table_remove(
			manager->intents,
			g_ptr_array_index(plan->intents_to_remove, i));
	while (plan->intents_to_add->len > 0) {
		struct fleet_record_intent *intent =
			g_ptr_array_steal_index(plan->intents_to_add, 0);

		g_hash_table_replace(manager->intents, intent->id, intent);
	}
	counter_inc(manager->config.counters, COUNTER_MANAGER_WRITES);
}

/*
 * Returns whether another process is manager now, according to the compared
 * keys.
 */
static bool term_is_lost(const struct mgr_manager *manager,
			 const struct platform_result *result)
{
	for (size_t i = 0; i < result->kv_count; i++) {
		if (strcmp(result->kvs[i].key, PLATFORM_KEY_MANAGER) == 0)
			return result->kvs[i].create_revision != manager->term;
	}
	return true;
}

/*
 * Publishes the placement locally, so that neither this process nor its peers
 * need to read it from the platform.
 */
static void placement_publish(struct mgr_manager *manager)
{
	g_autofree char *text = g_steal_pointer(&manager->placement_text);

	if (text)
		manager->config.on_placement_written(manager->config.data,
						     text);
}

static void on_written(void *data, enum err_kind err,
		       const struct platform_result *result)
{
	struct mgr_manager *manager = data;

	manager->busy = false;
	/* Unless the write succeeded, the records are read again. */
	manager->synced = false;
	if (err != ERR_NONE) {
		mgr_platform_error_record(manager);
	} else if (!result->succeeded) {
		counter_inc(manager->config.counters, COUNTER_MANAGER_FENCED);
		if (term_is_lost(manager, result))
			mgr_term_end(manager,
				     "write rejected, the manager key changed");
	} else if (manager->term != 0 && manager->plan.bundle_generation ==
						 manager->bundle_generation) {
		plan_adopt(manager, result->revision);
		manager->synced = true;
		placement_publish(manager);
	}
	mgr_plan_clear(manager);
	if (manager->synced)
		mgr_actions_run(manager);
}

void mgr_write(struct mgr_manager *manager)
{
	g_autoptr(GArray) writes =
		g_array_new(FALSE, FALSE, sizeof(struct platform_write));
	g_autoptr(GPtrArray) texts = g_ptr_array_new_with_free_func(g_free);
	struct batch batch = { writes, texts };
	const struct platform_compare compares[] = {
		{ PLATFORM_KEY_MANAGER, PLATFORM_TARGET_CREATE_REVISION,
		  manager->term },
		{ PLATFORM_KEY_PLACEMENT, PLATFORM_TARGET_MOD_REVISION,
		  manager->placement_revision },
	};
	struct platform_txn txn = { .compares = compares, .compare_count = 2 };

	if (!mgr_may_act(manager)) {
		manager->busy = false;
		mgr_plan_clear(manager);
		return;
	}
	g_clear_pointer(&manager->placement_text, g_free);
	if (manager->plan.write_placement)
		placement_add(manager, &batch);
	intents_add(manager, &batch);
	waves_add(manager, &batch);
	txn.writes = (const struct platform_write *)writes->data;
	txn.write_count = writes->len;
	platform_txn(manager->config.platform, &txn, on_written, manager);
}
