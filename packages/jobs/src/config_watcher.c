#include "config_watcher.h"

#include <string.h>

#include "watcher.h"
#include "log.h"

/* Maximum duration of one watch call. An unresponsive connection is detected
 * after this and a margin; a change must be applied within two seconds. */
#define CONFIG_WATCHER_WATCH_MS 2000

struct config_watcher {
	const struct adapter_ops *ops;
	config_watcher_cb cb;
	void *data;
	struct catalogue *catalogue;
	struct watcher *key_watcher;
};

static void config_apply(struct config_watcher *watcher,
			 const struct platform_kv *kv)
{
	struct catalogue *catalogue;

	if (kv->deleted || strcmp(kv->key, watcher->ops->config_key) != 0)
		return;
	catalogue = watcher->ops->config_decode(kv->value, kv->value_len);
	if (!catalogue) {
		log_warning("config-malformed",
			    "configuration at revision %" G_GINT64_FORMAT
			    " cannot be parsed and is ignored",
			    kv->mod_revision);
		return;
	}
	if (watcher->catalogue &&
	    catalogue->version <= watcher->catalogue->version) {
		catalogue_unref(catalogue);
		return;
	}
	log_info("config-applied",
		 "configuration version %" G_GUINT64_FORMAT
		 " at revision %" G_GINT64_FORMAT
		 " is in force: %u queues, %u services",
		 catalogue->version, kv->mod_revision, catalogue->queues->len,
		 catalogue->services->len);
	catalogue_unref(watcher->catalogue);
	watcher->catalogue = catalogue;
	watcher->cb(watcher->data, catalogue);
}

static void on_read(void *data, const struct platform_kv *kvs, size_t count)
{
	for (size_t i = 0; i < count; i++)
		config_apply(data, &kvs[i]);
}

static void on_change(void *data, const struct platform_kv *kv)
{
	config_apply(data, kv);
}

static const struct watcher_ops config_ops = {
	.on_snapshot = on_read,
	.on_change = on_change,
};

struct config_watcher *config_watcher_create(struct loop *loop,
					     struct platform *platform,
					     const struct adapter_ops *ops,
					     config_watcher_cb cb, void *data)
{
	struct config_watcher *watcher = g_new0(struct config_watcher, 1);

	watcher->ops = ops;
	watcher->cb = cb;
	watcher->data = data;
	watcher->key_watcher =
		watcher_create(loop, platform, ops->config_key,
			       CONFIG_WATCHER_WATCH_MS, &config_ops, watcher);
	return watcher;
}

void config_watcher_destroy(struct config_watcher *watcher)
{
	if (!watcher)
		return;
	watcher_destroy(watcher->key_watcher);
	catalogue_unref(watcher->catalogue);
	g_free(watcher);
}

struct catalogue *config_watcher_catalogue(const struct config_watcher *watcher)
{
	return watcher->catalogue;
}
