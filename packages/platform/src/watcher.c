#include "watcher.h"

#include "backoff.h"
#include "weak_ref.h"
#include "log.h"

/* First and longest pause after a failed call. */
#define WATCHER_RETRY_MIN_MS 50
#define WATCHER_RETRY_MAX_MS 400

struct watcher {
	struct loop *loop;
	struct platform *platform;
	char *prefix;
	uint32_t wait_ms;
	const struct watcher_ops *ops;
	void *data;
	/* 0 until the keys have been read */
	int64_t revision;
	uint32_t failures;
	bool refreshing;
	struct timer timer;
	struct weak_ref *cell;
};

static void follow(struct watcher *follower);

static void on_timer(void *data)
{
	follow(data);
}

static void retry(struct watcher *follower, enum err_kind err)
{
	const struct backoff_limits limits = { WATCHER_RETRY_MIN_MS,
					       WATCHER_RETRY_MAX_MS };

	if (++follower->failures == 1)
		log_warning("watch-lost", "%s: %s", follower->prefix,
			    err_name(err));
	follower->revision = 0;
	loop_timer_set(
		follower->loop, &follower->timer,
		backoff_delay_ms(&limits, follower->failures, g_random_int()));
}

static void answered(struct watcher *follower)
{
	if (follower->failures > 0)
		log_info("watch-regained", "%s after %u tries",
			 follower->prefix, follower->failures);
	follower->failures = 0;
}

static void on_read(void *data, enum err_kind err,
		    const struct platform_result *result)
{
	struct watcher *follower = weak_ref_release(data);

	if (!follower)
		return;
	if (err != ERR_NONE) {
		retry(follower, err);
		return;
	}
	answered(follower);
	follower->revision = MAX(follower->revision, result->revision);
	follower->ops->on_snapshot(follower->data, result->kvs,
				   result->kv_count);
	follow(follower);
}

static void on_watched(void *data, enum err_kind err,
		       const struct platform_result *result)
{
	struct watcher *follower = weak_ref_release(data);

	if (!follower)
		return;
	if (err == ERR_STALE) {
		follower->revision = 0;
		follow(follower);
		return;
	}
	if (err != ERR_NONE) {
		retry(follower, err);
		return;
	}
	answered(follower);
	follower->revision = MAX(follower->revision, result->revision);
	for (size_t i = 0; i < result->kv_count; i++)
		follower->ops->on_change(follower->data, &result->kvs[i]);
	follow(follower);
}

static void follow(struct watcher *follower)
{
	if (follower->revision == 0)
		platform_range(follower->platform, follower->prefix, true,
			       on_read, weak_ref_acquire(follower->cell));
	else
		platform_watch(follower->platform, follower->prefix,
			       follower->revision, follower->wait_ms,
			       on_watched, weak_ref_acquire(follower->cell));
}

static void on_refreshed(void *data, enum err_kind err,
			 const struct platform_result *result)
{
	struct watcher *follower = weak_ref_release(data);

	if (!follower)
		return;
	follower->refreshing = false;
	if (err != ERR_NONE) {
		log_info("refresh-failed", "%s: %s", follower->prefix,
			 err_name(err));
		return;
	}
	/* A change that the watch has told of already may be newer. */
	if (result->revision >= follower->revision)
		follower->ops->on_snapshot(follower->data, result->kvs,
					   result->kv_count);
}

void watcher_refresh(struct watcher *follower)
{
	if (follower->refreshing)
		return;
	follower->refreshing = true;
	platform_range(follower->platform, follower->prefix, true, on_refreshed,
		       weak_ref_acquire(follower->cell));
}

struct watcher *watcher_create(struct loop *loop, struct platform *platform,
			       const char *prefix, uint32_t wait_ms,
			       const struct watcher_ops *ops, void *data)
{
	struct watcher *follower = g_new0(struct watcher, 1);

	follower->loop = loop;
	follower->platform = platform;
	follower->prefix = g_strdup(prefix);
	follower->wait_ms = wait_ms;
	follower->ops = ops;
	follower->data = data;
	follower->timer.cb = on_timer;
	follower->timer.data = follower;
	follower->cell = weak_ref_create(follower);
	follow(follower);
	return follower;
}

void watcher_destroy(struct watcher *follower)
{
	if (!follower)
		return;
	timer_cancel(&follower->timer);
	weak_ref_invalidate(follower->cell);
	g_free(follower->prefix);
	g_free(follower);
}
