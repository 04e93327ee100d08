#include "watcher.h"

#include "backoff.h"
#include "log.h"
#include "weak_ref.h"

/* Backoff after failed calls. */
#define WATCHER_BACKOFF_MIN_MS 50
#define WATCHER_BACKOFF_MAX_MS 400

struct watcher {
	struct loop *loop;
	struct platform *platform;
	char *prefix;
	uint32_t wait_ms;
	const struct watcher_ops *ops;
	void *data;
	/* newest revision seen, 0 until all keys have been read */
	int64_t revision;
	uint32_t failures;
	bool refreshing;
	struct timer timer;
	/* repeats the read of a refresh */
	struct timer refresh_timer;
	struct weak_ref *weak_ref;
};

static void next_call_start(struct watcher *watcher);

static void on_timer(void *data)
{
	next_call_start(data);
}

static void retry_schedule(struct watcher *watcher, enum err_kind err)
{
	const struct backoff_limits limits = { WATCHER_BACKOFF_MIN_MS,
					       WATCHER_BACKOFF_MAX_MS };

	if (++watcher->failures == 1)
		log_warning("watch-lost", "%s: call failed, retrying: %s",
			    watcher->prefix, err_name(err));
	watcher->revision = 0;
	loop_timer_set(
		watcher->loop, &watcher->timer,
		backoff_delay_ms(&limits, watcher->failures, g_random_int()));
}

static void failures_reset(struct watcher *watcher)
{
	if (watcher->failures > 0)
		log_info("watch-regained",
			 "%s: call succeeded after %u failed calls",
			 watcher->prefix, watcher->failures);
	watcher->failures = 0;
}

static void on_keys_read(void *data, enum err_kind err,
			 const struct platform_result *result)
{
	struct watcher *watcher = weak_ref_release(data);

	if (!watcher)
		return;
	if (err != ERR_NONE) {
		retry_schedule(watcher, err);
		return;
	}
	failures_reset(watcher);
	watcher->revision = MAX(watcher->revision, result->revision);
	watcher->ops->on_snapshot(watcher->data, result->kvs, result->kv_count);
	next_call_start(watcher);
}

static void on_changes(void *data, enum err_kind err,
		       const struct platform_result *result)
{
	struct watcher *watcher = weak_ref_release(data);

	if (!watcher)
		return;
	if (err == ERR_STALE) {
		watcher->revision = 0;
		next_call_start(watcher);
		return;
	}
	if (err != ERR_NONE) {
		retry_schedule(watcher, err);
		return;
	}
	failures_reset(watcher);
	watcher->revision = MAX(watcher->revision, result->revision);
	for (size_t i = 0; i < result->kv_count; i++)
		watcher->ops->on_change(watcher->data, &result->kvs[i]);
	next_call_start(watcher);
}

static void next_call_start(struct watcher *watcher)
{
	if (watcher->revision == 0)
		platform_range(watcher->platform, watcher->prefix, true,
			       on_keys_read,
			       weak_ref_acquire(watcher->weak_ref));
	else
		platform_watch(watcher->platform, watcher->prefix,
			       watcher->revision, watcher->wait_ms, on_changes,
			       weak_ref_acquire(watcher->weak_ref));
}

static void on_refresh_read(void *data, enum err_kind err,
			    const struct platform_result *result)
{
	struct watcher *watcher = weak_ref_release(data);

	if (!watcher)
		return;
	/* The requester relies on a snapshot: a failed read is repeated, and so
	 * is one that is older than a change delivered by the watch. */
	if (err != ERR_NONE)
		log_info("refresh-failed",
			 "%s: read of all keys failed, retrying: %s",
			 watcher->prefix, err_name(err));
	if (err != ERR_NONE || result->revision < watcher->revision) {
		loop_timer_set(watcher->loop, &watcher->refresh_timer,
			       WATCHER_BACKOFF_MIN_MS);
		return;
	}
	watcher->refreshing = false;
	watcher->ops->on_snapshot(watcher->data, result->kvs, result->kv_count);
}

static void on_refresh_due(void *data)
{
	struct watcher *watcher = data;

	platform_range(watcher->platform, watcher->prefix, true,
		       on_refresh_read, weak_ref_acquire(watcher->weak_ref));
}

void watcher_refresh(struct watcher *watcher)
{
	if (watcher->refreshing)
		return;
	watcher->refreshing = true;
	on_refresh_due(watcher);
}

struct watcher *watcher_create(struct loop *loop, struct platform *platform,
			       const char *prefix, uint32_t wait_ms,
			       const struct watcher_ops *ops, void *data)
{
	struct watcher *watcher = g_new0(struct watcher, 1);

	watcher->loop = loop;
	watcher->platform = platform;
	watcher->prefix = g_strdup(prefix);
	watcher->wait_ms = wait_ms;
	watcher->ops = ops;
	watcher->data = data;
	watcher->timer.cb = on_timer;
	watcher->timer.data = watcher;
	watcher->refresh_timer.cb = on_refresh_due;
	watcher->refresh_timer.data = watcher;
	watcher->weak_ref = weak_ref_create(watcher);
	next_call_start(watcher);
	return watcher;
}

void watcher_destroy(struct watcher *watcher)
{
	if (!watcher)
		return;
	timer_cancel(&watcher->timer);
	timer_cancel(&watcher->refresh_timer);
	weak_ref_invalidate(watcher->weak_ref);
	g_free(watcher->prefix);
	g_free(watcher);
}
