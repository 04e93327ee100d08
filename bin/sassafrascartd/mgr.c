#include "mgr.h"

#include <string.h>

#include "lgx.h"
#include "plv.h"

#define MGR_TICK_MS 500

struct mgr_manager {
	struct mgr_config config;
	int64_t lease;
	/* create revision of the manager key; 0 while not manager */
	int64_t term;
	struct bnd_bundle *bundle;
	uint64_t roll;
	bool busy;
	struct tmr_entry tick_timer;
	/* placement being written */
	int64_t placement_revision;
};

static void term_end(struct mgr_manager *manager, const char *why)
{
	if (manager->term == 0)
		return;
	manager->term = 0;
	lgx_info("manager_term_ended", "no longer manager: %s", why);
}

static void term_begin(struct mgr_manager *manager, int64_t revision)
{
	manager->term = revision;
	ctr_add(manager->config.counters, CTR_MANAGER_TERMS);
	lgx_info("manager_term_began", "manager with term %" G_GINT64_FORMAT,
		 revision);
}

static void on_competed(void *data, enum err_kind err,
			const struct plt_result *result)
{
	struct mgr_manager *manager = data;

	manager->busy = false;
	if (err != ERR_NONE) {
		ctr_add(manager->config.counters, CTR_PLATFORM_ERRORS);
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
	const struct plt_compare compare = { PLT_KEY_MANAGER,
					     PLT_TARGET_CREATE_REVISION, 0 };
	const struct plt_write write = { PLT_KEY_MANAGER, manager->config.id,
					 manager->lease };
	const struct plt_txn txn = { &compare, 1, &write, 1 };

	manager->busy = true;
	plt_txn(manager->config.platform, &txn, on_competed, manager);
}

static void on_placement_written(void *data, enum err_kind err,
				 const struct plt_result *result)
{
	struct mgr_manager *manager = data;

	manager->busy = false;
	if (err != ERR_NONE) {
		/* The next tick reads back what is there. */
		ctr_add(manager->config.counters, CTR_PLATFORM_ERRORS);
		return;
	}
	if (result->succeeded) {
		ctr_add(manager->config.counters, CTR_MANAGER_WRITES);
		return;
	}
	ctr_add(manager->config.counters, CTR_MANAGER_FENCED);
	term_end(manager, "a write was fenced");
}

static void placement_write(struct mgr_manager *manager, struct plc_view *view)
{
	g_autofree char *text = NULL;
	g_autofree char *number = NULL;
	const struct plt_compare compares[] = {
		{ PLT_KEY_MANAGER, PLT_TARGET_CREATE_REVISION, manager->term },
		{ PLT_KEY_PLACEMENT, PLT_TARGET_MOD_REVISION,
		  manager->placement_revision },
	};
	struct plt_write writes[] = {
		{ PLT_KEY_PLACEMENT, NULL, 0 },
		{ PLT_KEY_PLACEMENT_NUMBER, NULL, 0 },
	};
	const struct plt_txn txn = { compares, 2, writes, 2 };

	view->number++;
	view->roll = manager->roll;
	text = plv_placement_build(manager->bundle, view);
	number = plv_number_build(view->number);
	writes[0].value = text;
	writes[1].value = number;
	manager->busy = true;
	lgx_info("placement_write", "writing placement %" PRIu64, view->number);
	plt_txn(manager->config.platform, &txn, on_placement_written, manager);
}

static struct plc_view *placement_read(struct mgr_manager *manager,
				       const struct plt_result *result)
{
	struct plc_view *view = NULL;

	manager->placement_revision = 0;
	if (result->kv_count == 0)
		return plc_view_create(manager->bundle);
	manager->placement_revision = result->kvs[0].mod_revision;
	if (plv_placement_parse(result->kvs[0].value, result->kvs[0].value_len,
				manager->bundle, &view) != ERR_NONE) {
		lgx_warning("placement_refused",
			    "the stored placement cannot be parsed");
		return NULL;
	}
	return view;
}

static void on_placement_read(void *data, enum err_kind err,
			      const struct plt_result *result)
{
	struct mgr_manager *manager = data;
	struct plc_view *view;

	manager->busy = false;
	if (err != ERR_NONE) {
		ctr_add(manager->config.counters, CTR_PLATFORM_ERRORS);
		return;
	}
	if (manager->term == 0 || !manager->bundle)
		return;
	view = placement_read(manager, result);
	if (!view || view->roll > manager->roll) {
		plc_view_destroy(view);
		return;
	}
	if (plc_fill(manager->bundle, view) > 0 || view->roll != manager->roll)
		placement_write(manager, view);
	plc_view_destroy(view);
}

static void on_tick(void *data)
{
	struct mgr_manager *manager = data;

	evl_timer_set(manager->config.loop, &manager->tick_timer, MGR_TICK_MS);
	if (manager->busy || manager->lease == 0)
		return;
	if (manager->term == 0) {
		compete(manager);
	} else if (manager->bundle) {
		manager->busy = true;
		plt_range(manager->config.platform, PLT_KEY_PLACEMENT, false,
			  on_placement_read, manager);
	}
}

struct mgr_manager *mgr_manager_create(const struct mgr_config *config)
{
	struct mgr_manager *manager = g_new0(struct mgr_manager, 1);

	manager->config = *config;
	manager->tick_timer.cb = on_tick;
	manager->tick_timer.data = manager;
	evl_timer_set(config->loop, &manager->tick_timer, MGR_TICK_MS);
	return manager;
}

void mgr_manager_destroy(struct mgr_manager *manager)
{
	if (!manager)
		return;
	tmr_cancel(&manager->tick_timer);
	bnd_bundle_unref(manager->bundle);
	g_free(manager);
}

void mgr_manager_set_lease(struct mgr_manager *manager, int64_t lease)
{
	manager->lease = lease;
	if (lease == 0)
		term_end(manager, "the lease was lost");
}

void mgr_manager_set_bundle(struct mgr_manager *manager,
			    struct bnd_bundle *bundle, uint64_t roll)
{
	bnd_bundle_ref(bundle);
	bnd_bundle_unref(manager->bundle);
	manager->bundle = bundle;
	manager->roll = roll;
}

bool mgr_manager_is_active(const struct mgr_manager *manager)
{
	return manager->term != 0;
}
