#include "fol.h"

#include "backoff.h"
#include "cel.h"
#include "lgx.h"

/* First and longest pause after a failed call. */
#define FOL_RETRY_MIN_MS 50
#define FOL_RETRY_MAX_MS 400

struct fol_follower {
	struct evl_loop *loop;
	struct plt_platform *platform;
	char *prefix;
	uint32_t wait_ms;
	const struct fol_ops *ops;
	void *data;
	/* 0 until the keys have been read */
	int64_t revision;
	uint32_t failures;
	bool refreshing;
	struct tmr_entry timer;
	struct cel_cell *cell;
};

static void follow(struct fol_follower *follower);

static void on_timer(void *data)
{
	follow(data);
}

static void retry(struct fol_follower *follower, enum err_kind err)
{
	const struct backoff_limits limits = { FOL_RETRY_MIN_MS,
					       FOL_RETRY_MAX_MS };

	if (++follower->failures == 1)
		lgx_warning("watch-lost", "%s: %s", follower->prefix,
			    err_name(err));
	follower->revision = 0;
	evl_timer_set(
		follower->loop, &follower->timer,
		backoff_delay_ms(&limits, follower->failures, g_random_int()));
}

static void answered(struct fol_follower *follower)
{
	if (follower->failures > 0)
		lgx_info("watch-regained", "%s after %u tries",
			 follower->prefix, follower->failures);
	follower->failures = 0;
}

static void on_read(void *data, enum err_kind err,
		    const struct plt_result *result)
{
	struct fol_follower *follower = cel_leave(data);

	if (!follower)
		return;
	if (err != ERR_NONE) {
		retry(follower, err);
		return;
	}
	answered(follower);
	follower->revision = MAX(follower->revision, result->revision);
	follower->ops->on_read(follower->data, result->kvs, result->kv_count);
	follow(follower);
}

static void on_watched(void *data, enum err_kind err,
		       const struct plt_result *result)
{
	struct fol_follower *follower = cel_leave(data);

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

static void follow(struct fol_follower *follower)
{
	if (follower->revision == 0)
		plt_range(follower->platform, follower->prefix, true, on_read,
			  cel_enter(follower->cell));
	else
		plt_watch(follower->platform, follower->prefix,
			  follower->revision, follower->wait_ms, on_watched,
			  cel_enter(follower->cell));
}

static void on_refreshed(void *data, enum err_kind err,
			 const struct plt_result *result)
{
	struct fol_follower *follower = cel_leave(data);

	if (!follower)
		return;
	follower->refreshing = false;
	if (err != ERR_NONE) {
		lgx_info("refresh-failed", "%s: %s", follower->prefix,
			 err_name(err));
		return;
	}
	/* A change that the watch has told of already may be newer. */
	if (result->revision >= follower->revision)
		follower->ops->on_read(follower->data, result->kvs,
				       result->kv_count);
}

void fol_refresh(struct fol_follower *follower)
{
	if (follower->refreshing)
		return;
	follower->refreshing = true;
	plt_range(follower->platform, follower->prefix, true, on_refreshed,
		  cel_enter(follower->cell));
}

struct fol_follower *fol_follower_create(struct evl_loop *loop,
					 struct plt_platform *platform,
					 const char *prefix, uint32_t wait_ms,
					 const struct fol_ops *ops, void *data)
{
	struct fol_follower *follower = g_new0(struct fol_follower, 1);

	follower->loop = loop;
	follower->platform = platform;
	follower->prefix = g_strdup(prefix);
	follower->wait_ms = wait_ms;
	follower->ops = ops;
	follower->data = data;
	follower->timer.cb = on_timer;
	follower->timer.data = follower;
	follower->cell = cel_cell_create(follower);
	follow(follower);
	return follower;
}

void fol_follower_destroy(struct fol_follower *follower)
{
	if (!follower)
		return;
	tmr_cancel(&follower->timer);
	cel_cell_close(follower->cell);
	g_free(follower->prefix);
	g_free(follower);
}
