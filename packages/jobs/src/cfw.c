#include "cfw.h"

#include <string.h>

#include "watcher.h"
#include "log.h"

/* How long a watch waits. A change must be in force within two seconds; a
 * silent connection is noticed after this and a margin. */
#define CFW_WATCH_MS 2000

struct cfw_watcher {
	const struct jpt_ops *ops;
	cfw_cb cb;
	void *data;
	struct jcf_catalogue *catalogue;
	struct watcher *follower;
};

static void item_take(struct cfw_watcher *watcher, const struct platform_kv *kv)
{
	struct jcf_catalogue *catalogue;

	if (kv->deleted || strcmp(kv->key, watcher->ops->config_key) != 0)
		return;
	catalogue = watcher->ops->config_decode(kv->value, kv->value_len);
	if (!catalogue) {
		log_warning("config-malformed",
			    "revision %" G_GINT64_FORMAT " is left aside",
			    kv->mod_revision);
		return;
	}
	if (watcher->catalogue &&
	    catalogue->version <= watcher->catalogue->version) {
		jcf_catalogue_unref(catalogue);
		return;
	}
	log_info("config-applied",
		 "version %" G_GUINT64_FORMAT " at revision %" G_GINT64_FORMAT
		 ": %u queues, %u services",
		 catalogue->version, kv->mod_revision, catalogue->queues->len,
		 catalogue->services->len);
	jcf_catalogue_unref(watcher->catalogue);
	watcher->catalogue = catalogue;
	watcher->cb(watcher->data, catalogue);
}

static void on_read(void *data, const struct platform_kv *kvs, size_t count)
{
	for (size_t i = 0; i < count; i++)
		item_take(data, &kvs[i]);
}

static void on_change(void *data, const struct platform_kv *kv)
{
	item_take(data, kv);
}

static const struct watcher_ops config_ops = {
	.on_snapshot = on_read,
	.on_change = on_change,
};

struct cfw_watcher *cfw_watcher_create(struct loop *loop,
				       struct platform *platform,
				       const struct jpt_ops *ops, cfw_cb cb,
				       void *data)
{
	struct cfw_watcher *watcher = g_new0(struct cfw_watcher, 1);

	watcher->ops = ops;
	watcher->cb = cb;
	watcher->data = data;
	watcher->follower = watcher_create(loop, platform, ops->config_key,
					   CFW_WATCH_MS, &config_ops, watcher);
	return watcher;
}

void cfw_watcher_destroy(struct cfw_watcher *watcher)
{
	if (!watcher)
		return;
	watcher_destroy(watcher->follower);
	jcf_catalogue_unref(watcher->catalogue);
	g_free(watcher);
}

struct jcf_catalogue *cfw_catalogue(const struct cfw_watcher *watcher)
{
	return watcher->catalogue;
}
