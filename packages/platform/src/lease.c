#include "lease.h"

#include "backoff.h"
#include "weak_ref.h"

/* Renewals sent within one time-to-live. */
#define LEASE_RENEWALS_PER_TTL 4
#define LEASE_BACKOFF_MIN_MS 200
/* Minimum delay from a response to the next call. */
#define LEASE_CALL_DELAY_MIN_MS 20
/* Retries that fit in one time-to-live at the longest backoff. */
#define LEASE_RETRIES_PER_TTL 6

struct lease {
	struct loop *loop;
	struct platform *platform;
	uint32_t ttl_s;
	/* as the platform gave it */
	uint32_t granted_ttl_s;
	const struct lease_ops *ops;
	void *data;
	int64_t id;
	/* monotonic time until which the lease is valid here */
	uint64_t valid_until_ms;
	uint64_t sent_ms;
	uint32_t failures;
	bool call_in_flight;
	bool released;
	bool revoking;
	/* calls in flight may outlive the lease */
	struct weak_ref *weak_ref;
	struct timer renew_timer;
	struct timer expiry_timer;
};

static void lease_invalidate(struct lease *lease)
{
	if (lease->id == 0)
		return;
	lease->id = 0;
	timer_cancel(&lease->expiry_timer);
	lease->ops->on_lost(lease->data);
}

static void on_expiry(void *data)
{
	lease_invalidate(data);
}

static void validity_extend(struct lease *lease, uint32_t ttl_s)
{
	lease->granted_ttl_s = ttl_s;
	lease->valid_until_ms = lease->sent_ms + (uint64_t)ttl_s * 1000;
	timer_set(loop_timers(lease->loop), &lease->expiry_timer,
		  lease->valid_until_ms);
}

/* Schedules the next renewal, or the retry after a failure. */
static void next_call_schedule(struct lease *lease, enum err_kind err)
{
	uint32_t ttl_ms = lease->ttl_s * 1000;
	const struct backoff_limits limits = { LEASE_BACKOFF_MIN_MS,
					       ttl_ms / LEASE_RETRIES_PER_TTL };
	uint32_t delay_ms = ttl_ms / LEASE_RENEWALS_PER_TTL;

	lease->failures = err == ERR_NONE ? 0 : lease->failures + 1;
	if (lease->failures > 0)
		delay_ms = backoff_delay_ms(&limits, lease->failures,
					    g_random_int());
	/* Measured from the last call, not from its response, which may be
	 * late. */
	timer_set(loop_timers(lease->loop), &lease->renew_timer,
		  MAX(lease->sent_ms + delay_ms,
		      loop_now_ms() + LEASE_CALL_DELAY_MIN_MS));
}

/* Completes a grant or renewal; returns false if the lease was released. */
static bool call_complete(struct lease *lease, enum err_kind err)
{
	lease->call_in_flight = false;
	if (lease->released)
		return false;
	next_call_schedule(lease, err);
	return true;
}

static void on_renewed(void *data, enum err_kind err, int64_t id,
		       uint32_t ttl_s)
{
	struct lease *lease = weak_ref_release(data);

	if (!lease || !call_complete(lease, err))
		return;
	if (err == ERR_NOT_FOUND)
		lease_invalidate(lease);
	else if (err == ERR_NONE && lease->id == id)
		validity_extend(lease, ttl_s);
}

static void on_granted(void *data, enum err_kind err, int64_t id,
		       uint32_t ttl_s)
{
	struct lease *lease = weak_ref_release(data);

	if (!lease || !call_complete(lease, err) || err != ERR_NONE)
		return;
	lease->id = id;
	validity_extend(lease, ttl_s);
	lease->ops->on_granted(lease->data, id);
}

static void on_renew_due(void *data)
{
	struct lease *lease = data;

	if (lease->call_in_flight || lease->released)
		return;
	lease->call_in_flight = true;
	lease->sent_ms = loop_now_ms();
	if (lease->id == 0)
		platform_lease_grant(lease->platform, lease->ttl_s, on_granted,
				     weak_ref_acquire(lease->weak_ref));
	else
		platform_lease_keep_alive(lease->platform, lease->id,
					  on_renewed,
					  weak_ref_acquire(lease->weak_ref));
}

struct lease *lease_create(struct loop *loop, struct platform *platform,
			   uint32_t ttl_s, const struct lease_ops *ops,
			   void *data)
{
	struct lease *lease = g_new0(struct lease, 1);

	lease->loop = loop;
	lease->platform = platform;
	lease->ttl_s = ttl_s;
	lease->granted_ttl_s = ttl_s;
	lease->ops = ops;
	lease->data = data;
	lease->renew_timer.cb = on_renew_due;
	lease->renew_timer.data = lease;
	lease->expiry_timer.cb = on_expiry;
	lease->expiry_timer.data = lease;
	lease->weak_ref = weak_ref_create(lease);
	loop_timer_set(loop, &lease->renew_timer, 0);
	return lease;
}

void lease_destroy(struct lease *lease)
{
	if (!lease)
		return;
	timer_cancel(&lease->renew_timer);
	timer_cancel(&lease->expiry_timer);
	weak_ref_invalidate(lease->weak_ref);
	g_free(lease);
}

int64_t lease_id(const struct lease *lease)
{
	return loop_now_ms() < lease->valid_until_ms ? lease->id : 0;
}

uint32_t lease_ttl_ms(const struct lease *lease)
{
	return lease->granted_ttl_s * 1000;
}

static void on_revoked(void *data, enum err_kind err, int64_t id,
		       uint32_t ttl_s)
{
	struct lease *lease = weak_ref_release(data);

	if (lease)
		lease->revoking = false;
}

void lease_release(struct lease *lease)
{
	int64_t id = lease_id(lease);

	if (lease->released)
		return;
	lease->released = true;
	timer_cancel(&lease->renew_timer);
	lease_invalidate(lease);
	if (id == 0)
		return;
	lease->revoking = true;
	platform_lease_revoke(lease->platform, id, on_revoked,
			      weak_ref_acquire(lease->weak_ref));
}

bool lease_is_released(const struct lease *lease)
{
	return lease->released && !lease->revoking;
}
