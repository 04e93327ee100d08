#include "lease.h"

#include "backoff.h"

/* Renewals in one life of the lease. */
#define LEASE_RENEWALS 4
#define LEASE_RETRY_BASE_MS 200
/* Least pause between an answer and the next call. */
#define LEASE_GAP_MIN_MS 20
/* Tries that fit in one life of the lease, however often they fail. */
#define LEASE_RETRIES 6

struct lease {
	struct loop *loop;
	struct platform *platform;
	uint32_t ttl_s;
	const struct lease_ops *ops;
	void *data;
	int64_t lease;
	/* monotonic time until which the lease can be relied on */
	uint64_t valid_until_ms;
	uint64_t asked_ms;
	uint32_t failures;
	bool waiting;
	bool released;
	bool revoking;
	struct timer renew_timer;
	struct timer expiry_timer;
};

static void lease_lose(struct lease *keeper)
{
	if (keeper->lease == 0)
		return;
	keeper->lease = 0;
	timer_cancel(&keeper->expiry_timer);
	keeper->ops->on_lost(keeper->data);
}

static void on_expiry(void *data)
{
	lease_lose(data);
}

static void validity_extend(struct lease *keeper, uint32_t ttl_s)
{
	keeper->valid_until_ms = keeper->asked_ms + (uint64_t)ttl_s * 1000;
	timer_set(loop_timers(keeper->loop), &keeper->expiry_timer,
		  keeper->valid_until_ms);
}

/* Sets the time of the next renewal, or of the next try after a failure. */
static void next_set(struct lease *keeper, enum err_kind err)
{
	uint32_t life_ms = keeper->ttl_s * 1000;
	const struct backoff_limits limits = { LEASE_RETRY_BASE_MS,
					       life_ms / LEASE_RETRIES };
	uint32_t delay_ms = life_ms / LEASE_RENEWALS;

	keeper->failures = err == ERR_NONE ? 0 : keeper->failures + 1;
	if (keeper->failures > 0)
		delay_ms = backoff_delay_ms(&limits, keeper->failures,
					    g_random_int());
	/* Counted from the last call, not from its answer, which may be late.
	 */
	timer_set(loop_timers(keeper->loop), &keeper->renew_timer,
		  MAX(keeper->asked_ms + delay_ms,
		      loop_now_ms() + LEASE_GAP_MIN_MS));
}

/* Ends a grant or renewal; false when it does not matter any more. */
static bool call_end(struct lease *keeper, enum err_kind err)
{
	keeper->waiting = false;
	if (keeper->released)
		return false;
	next_set(keeper, err);
	return true;
}

static void on_renewed(void *data, enum err_kind err, int64_t lease,
		       uint32_t ttl_s)
{
	struct lease *keeper = data;

	if (!call_end(keeper, err))
		return;
	if (err == ERR_NOT_FOUND)
		lease_lose(keeper);
	else if (err == ERR_NONE && keeper->lease == lease)
		validity_extend(keeper, ttl_s);
}

static void on_granted(void *data, enum err_kind err, int64_t lease,
		       uint32_t ttl_s)
{
	struct lease *keeper = data;

	if (!call_end(keeper, err) || err != ERR_NONE)
		return;
	keeper->lease = lease;
	validity_extend(keeper, ttl_s);
	keeper->ops->on_granted(keeper->data, lease);
}

static void on_renew(void *data)
{
	struct lease *keeper = data;

	if (keeper->waiting || keeper->released)
		return;
	keeper->waiting = true;
	keeper->asked_ms = loop_now_ms();
	if (keeper->lease == 0)
		platform_lease_grant(keeper->platform, keeper->ttl_s,
				     on_granted, keeper);
	else
		platform_lease_keep_alive(keeper->platform, keeper->lease,
					  on_renewed, keeper);
}

struct lease *lease_create(struct loop *loop, struct platform *platform,
			   uint32_t ttl_s, const struct lease_ops *ops,
			   void *data)
{
	struct lease *keeper = g_new0(struct lease, 1);

	keeper->loop = loop;
	keeper->platform = platform;
	keeper->ttl_s = ttl_s;
	keeper->ops = ops;
	keeper->data = data;
	keeper->renew_timer.cb = on_renew;
	keeper->renew_timer.data = keeper;
	keeper->expiry_timer.cb = on_expiry;
	keeper->expiry_timer.data = keeper;
	loop_timer_set(loop, &keeper->renew_timer, 0);
	return keeper;
}

void lease_destroy(struct lease *keeper)
{
	if (!keeper)
		return;
	timer_cancel(&keeper->renew_timer);
	timer_cancel(&keeper->expiry_timer);
	g_free(keeper);
}

int64_t lease_id(const struct lease *keeper)
{
	return loop_now_ms() < keeper->valid_until_ms ? keeper->lease : 0;
}

static void on_revoked(void *data, enum err_kind err, int64_t lease,
		       uint32_t ttl_s)
{
	struct lease *keeper = data;

	keeper->revoking = false;
}

void lease_release(struct lease *keeper)
{
	int64_t lease = lease_id(keeper);

	if (keeper->released)
		return;
	keeper->released = true;
	timer_cancel(&keeper->renew_timer);
	lease_lose(keeper);
	if (lease == 0)
		return;
	keeper->revoking = true;
	platform_lease_revoke(keeper->platform, lease, on_revoked, keeper);
}

bool lease_is_released(const struct lease *keeper)
{
	return keeper->released && !keeper->revoking;
}
