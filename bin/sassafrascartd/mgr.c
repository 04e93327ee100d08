#include <string.h>
#include <time.h>

#include "log.h"
#include "mgr_private.h"

void mgr_platform_failed(struct mgr_manager *manager)
{
	counter_inc(manager->config.counters, COUNTER_PLATFORM_ERRORS);
}

uint64_t mgr_wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

bool mgr_may_act(const struct mgr_manager *manager)
{
	return manager->term != 0 &&
	       manager->config.lease_is_valid(manager->config.data);
}

void mgr_term_end(struct mgr_manager *manager, const char *why)
{
	if (manager->term == 0)
		return;
	manager->term = 0;
	manager->synced = false;
	log_info("manager_term_ended", "no longer manager: %s", why);
}

static gboolean vm_forget(gpointer name, gpointer value, gpointer data)
{
	struct mgr_vm *vm = value;

	/* A call's callback still needs the structure. */
	if (!vm->calling)
		return TRUE;
	g_clear_pointer(&vm->intent, g_free);
	g_clear_pointer(&vm->pool, g_free);
	return FALSE;
}

static void term_begin(struct mgr_manager *manager, int64_t revision)
{
	manager->term = revision;
	manager->synced = false;
	memset(&manager->settled, 0, sizeof(manager->settled));
	manager->list_read_ms = 0;
	manager->members_read_ms = 0;
	manager->electorate_due_ms = 0;
	manager->term_began_ms = loop_now_ms();
	g_hash_table_foreach_remove(manager->vms, vm_forget, NULL);
	g_hash_table_remove_all(manager->processes);
	g_hash_table_remove_all(manager->pools);
	manager->sized_ms = 0;
	counter_inc(manager->config.counters, COUNTER_MANAGER_TERMS);
	log_info("manager_term_began", "manager with term %" G_GINT64_FORMAT,
		 revision);
}

static void on_competed(void *data, enum err_kind err,
			const struct platform_result *result)
{
	struct mgr_manager *manager = data;

	manager->busy = false;
	if (err != ERR_NONE) {
		mgr_platform_failed(manager);
		return;
	}
	if (manager->lease == 0)
		return;
	if (result->succeeded) {
		term_begin(manager, result->revision);
		return;
	}
	/* The answer to an earlier, successful try may have been lost. */
	if (result->kv_count > 0 && result->kvs[0].lease == manager->lease &&
	    strcmp(result->kvs[0].value, manager->config.id) == 0)
		term_begin(manager, result->kvs[0].create_revision);
}

static void compete(struct mgr_manager *manager)
{
	const struct platform_compare compare = {
		PLATFORM_KEY_MANAGER, PLATFORM_TARGET_CREATE_REVISION, 0
	};
	const struct platform_write write = { PLATFORM_KEY_MANAGER,
					      manager->config.id,
					      manager->lease };
	const struct platform_txn txn = { &compare, 1, &write, 1 };

	manager->busy = true;
	platform_txn(manager->config.platform, &txn, on_competed, manager);
}

/* While another process holds the key, a try would only cost a call. */
static bool key_is_taken(const struct mgr_manager *manager)
{
	const char *holder =
		manager->config.current_manager(manager->config.data);

	return holder && strcmp(holder, manager->config.id) != 0;
}

static void on_tick(void *data)
{
	struct mgr_manager *manager = data;

	loop_timer_set(manager->config.loop, &manager->tick_timer,
		       manager->config.tick_ms);
	if (manager->busy || manager->lease == 0)
		return;
	if (manager->term == 0) {
		if (!key_is_taken(manager))
			compete(manager);
		return;
	}
	if (!manager->bundle)
		return;
	if (!manager->synced)
		mgr_read_records(manager);
	else
		mgr_read_fleet(manager);
}

static void vm_free(gpointer data)
{
	struct mgr_vm *vm = data;

	g_free(vm->name);
	g_free(vm->intent);
	g_free(vm->pool);
	g_free(vm);
}

struct mgr_vm *mgr_vm_get(struct mgr_manager *manager, const char *name)
{
	struct mgr_vm *vm = g_hash_table_lookup(manager->vms, name);

	if (vm)
		return vm;
	vm = g_new0(struct mgr_vm, 1);
	vm->manager = manager;
	vm->name = g_strdup(name);
	g_hash_table_insert(manager->vms, vm->name, vm);
	return vm;
}

static void intent_free(gpointer data)
{
	fleet_record_intent_destroy(data);
}

struct mgr_manager *mgr_manager_create(const struct mgr_config *config)
{
	struct mgr_manager *manager = g_new0(struct mgr_manager, 1);

	manager->config = *config;
	manager->vms =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, vm_free);
	manager->intents = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 intent_free);
	manager->processes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	manager->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	manager->tick_timer.cb = on_tick;
	manager->tick_timer.data = manager;
	loop_timer_set(config->loop, &manager->tick_timer, config->tick_ms);
	return manager;
}

void mgr_manager_destroy(struct mgr_manager *manager)
{
	if (!manager)
		return;
	timer_cancel(&manager->tick_timer);
	mgr_plan_clear(manager);
	placement_destroy(manager->view);
	g_free(manager->placement_text);
	g_free(manager->waves);
	g_hash_table_unref(manager->processes);
	g_hash_table_unref(manager->pools);
	g_hash_table_unref(manager->intents);
	g_hash_table_unref(manager->vms);
	bundle_unref(manager->bundle);
	g_free(manager);
}

void mgr_manager_set_lease(struct mgr_manager *manager, int64_t lease)
{
	manager->lease = lease;
	if (lease == 0)
		mgr_term_end(manager, "the lease was lost");
}

void mgr_manager_set_bundle(struct mgr_manager *manager, struct bundle *bundle,
			    uint64_t roll)
{
	if (manager->bundle == bundle && manager->roll == roll)
		return;
	bundle_ref(bundle);
	bundle_unref(manager->bundle);
	manager->bundle = bundle;
	manager->roll = roll;
	manager->generation++;
	manager->synced = false;
}

bool mgr_manager_is_active(const struct mgr_manager *manager)
{
	return manager->term != 0;
}
