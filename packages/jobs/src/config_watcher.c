#include "config_watcher.h"

#include <string.h>

#include "backoff.h"
#include "watcher.h"
#include "weak_ref.h"
#include "log.h"

/* Maximum duration of one watch call. An unresponsive connection is detected
 * after this and a margin; a change must be applied within two seconds. */
#define CONFIG_WATCHER_WATCH_MS 2000
/* Backoff after failed reads that are to confirm the configuration. */
#define CONFIG_WATCHER_RETRY_MIN_MS 100
#define CONFIG_WATCHER_RETRY_MAX_MS 400
/* Interval at which the age of the configuration is checked, so that the time
 * from which keys are refused is logged. */
#define CONFIG_WATCHER_CHECK_MS 500

struct config_watcher {
	const struct adapter_ops *ops;
	config_watcher_cb cb;
	void *data;
	struct loop *loop;
	struct platform *platform;
	struct catalogue *catalogue;
	/* newest revision of the configuration that was decoded, and that
	 * cannot be */
	int64_t revision;
	int64_t malformed_revision;
	struct watcher *key_watcher;
	struct revocation revocation;
	bool keys_allowed;
	/* read that confirms the configuration */
	bool reading;
	uint64_t read_sent_ms;
	uint32_t read_failures;
	struct timer read_timer;
	struct weak_ref *weak_ref;
};

static void config_apply(struct config_watcher *watcher,
			 const struct platform_kv *kv)
{
	struct catalogue *catalogue;

	if (kv->deleted || strcmp(kv->key, watcher->ops->config_key) != 0 ||
	    kv->mod_revision <= watcher->revision ||
	    kv->mod_revision == watcher->malformed_revision)
		return;
	catalogue = watcher->ops->config_decode(kv->value, kv->value_len);
	if (!catalogue) {
		watcher->malformed_revision = kv->mod_revision;
		log_warning("config-malformed",
			    "configuration at revision %" G_GINT64_FORMAT
			    " cannot be parsed and is ignored",
			    kv->mod_revision);
		return;
	}
	watcher->revision = kv->mod_revision;
	if (watcher->catalogue &&
	    catalogue->version <= watcher->catalogue->version) {
		catalogue_unref(catalogue);
		return;
	}
	log_info("config-applied",
		 "configuration version %" G_GUINT64_FORMAT
		 " at revision %" G_GINT64_FORMAT
		 " is in force: %u queues, %u services, %u client accounts "
		 "with %u keys",
		 catalogue->version, kv->mod_revision, catalogue->queues->len,
		 catalogue->services->len, catalogue->accounts->len,
		 account_keys_count(catalogue->keys));
	catalogue_unref(watcher->catalogue);
	watcher->catalogue = catalogue;
	watcher->revocation.version = catalogue->version;
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

/* Returns whether the configuration's age matters. */
static bool needs_confirmation(const struct config_watcher *watcher)
{
	return watcher->revocation.bound_ms > 0 &&
	       (!watcher->catalogue || watcher->catalogue->has_accounts);
}

/* Logs when keys are refused because of the configuration's age, and when they
 * are accepted again. */
static void keys_allowed_update(struct config_watcher *watcher)
{
	bool allowed = config_watcher_allows_keys(watcher);
	char age[REVOCATION_AGE_TEXT_BYTES];

	if (allowed == watcher->keys_allowed)
		return;
	watcher->keys_allowed = allowed;
	if (allowed)
		log_info("keys-accepted",
			 "configuration version %" G_GUINT64_FORMAT
			 " is confirmed, keys of client accounts are accepted",
			 watcher->revocation.version);
	else
		log_warning("keys-refused",
			    "configuration version %" G_GUINT64_FORMAT
			    " was last confirmed %s, at most %u ms are "
			    "allowed: calls with a key are refused",
			    watcher->revocation.version,
			    revocation_age_text(&watcher->revocation,
						loop_now_ms(), age),
			    watcher->revocation.bound_ms);
}

static void read_schedule(struct config_watcher *watcher)
{
	const struct backoff_limits limits = { CONFIG_WATCHER_RETRY_MIN_MS,
					       CONFIG_WATCHER_RETRY_MAX_MS };
	uint32_t delay_ms = CONFIG_WATCHER_CHECK_MS;

	if (watcher->revocation.bound_ms == 0)
		return;
	if (needs_confirmation(watcher))
		delay_ms = revocation_read_in_ms(&watcher->revocation,
						 loop_now_ms());
	if (watcher->read_failures > 0)
		delay_ms = backoff_delay_ms(&limits, watcher->read_failures,
					    g_random_int());
	loop_timer_set(watcher->loop, &watcher->read_timer,
		       MIN(delay_ms, CONFIG_WATCHER_CHECK_MS));
}

/* The store returned the newest configuration at the time of the request or
 * later. One that cannot be used may withdraw keys, so it confirms nothing. */
static void on_confirming_read(void *data, enum err_kind err,
			       const struct platform_result *result)
{
	struct config_watcher *watcher = weak_ref_release(data);
	bool confirmed = false;

	if (!watcher)
		return;
	watcher->reading = false;
	for (size_t i = 0; err == ERR_NONE && i < result->kv_count; i++) {
		config_apply(watcher, &result->kvs[i]);
		confirmed |= watcher->catalogue &&
			     result->kvs[i].mod_revision <= watcher->revision;
	}
	watcher->read_failures = confirmed ? 0 : watcher->read_failures + 1;
	if (confirmed)
		revocation_confirm(&watcher->revocation,
				   watcher->revocation.version,
				   watcher->read_sent_ms, 0);
	keys_allowed_update(watcher);
	read_schedule(watcher);
}

static void read_start(struct config_watcher *watcher)
{
	watcher->reading = true;
	watcher->read_sent_ms = loop_now_ms();
	platform_range(watcher->platform, watcher->ops->config_key, false,
		       on_confirming_read, weak_ref_acquire(watcher->weak_ref));
}

static void on_read_timer(void *data)
{
	struct config_watcher *watcher = data;

	keys_allowed_update(watcher);
	if (watcher->reading)
		return;
	if (needs_confirmation(watcher) &&
	    revocation_read_in_ms(&watcher->revocation, loop_now_ms()) == 0) {
		read_start(watcher);
		return;
	}
	watcher->read_failures = 0;
	read_schedule(watcher);
}

static const struct watcher_ops config_ops = {
	.on_snapshot = on_read,
	.on_change = on_change,
};

struct config_watcher *config_watcher_create(struct loop *loop,
					     struct platform *platform,
					     const struct adapter_ops *ops,
					     uint32_t revocation_bound_ms,
					     config_watcher_cb cb, void *data)
{
	struct config_watcher *watcher = g_new0(struct config_watcher, 1);

	watcher->ops = ops;
	watcher->cb = cb;
	watcher->data = data;
	watcher->loop = loop;
	watcher->platform = platform;
	watcher->weak_ref = weak_ref_create(watcher);
	watcher->read_timer.cb = on_read_timer;
	watcher->read_timer.data = watcher;
	watcher->revocation.bound_ms = revocation_bound_ms;
	watcher->keys_allowed = revocation_bound_ms == 0;
	read_schedule(watcher);
	watcher->key_watcher =
		watcher_create(loop, platform, ops->config_key,
			       CONFIG_WATCHER_WATCH_MS, &config_ops, watcher);
	return watcher;
}

void config_watcher_destroy(struct config_watcher *watcher)
{
	if (!watcher)
		return;
	timer_cancel(&watcher->read_timer);
	weak_ref_invalidate(watcher->weak_ref);
	watcher_destroy(watcher->key_watcher);
	catalogue_unref(watcher->catalogue);
	g_free(watcher);
}

struct catalogue *config_watcher_catalogue(const struct config_watcher *watcher)
{
	return watcher->catalogue;
}

void config_watcher_set_revocation_bound(struct config_watcher *watcher,
					 uint32_t bound_ms)
{
	watcher->revocation.bound_ms = bound_ms;
	keys_allowed_update(watcher);
	read_schedule(watcher);
}

bool config_watcher_allows_keys(const struct config_watcher *watcher)
{
	return !needs_confirmation(watcher) ||
	       revocation_allows_keys(&watcher->revocation, loop_now_ms());
}

const struct revocation *
config_watcher_revocation(const struct config_watcher *watcher)
{
	return &watcher->revocation;
}

void config_watcher_confirm(struct config_watcher *watcher, uint64_t version,
			    uint64_t sent_ms, uint32_t age_ms)
{
	if (!watcher->catalogue)
		return;
	revocation_confirm(&watcher->revocation, version, sent_ms, age_ms);
	keys_allowed_update(watcher);
	if (version > watcher->revocation.version && !watcher->reading)
		read_start(watcher);
}
