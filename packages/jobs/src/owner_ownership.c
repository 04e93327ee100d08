#include "owner_private.h"

/* Interval at which an owner without a valid lease polls all workers. */
#define OWNER_VERIFY_INTERVAL_MS 500
/* Added to the longest lease when waiting for leases of earlier owners to
 * expire: the worker's clock may be 2% slow, and the last order may have
 * arrived late. */
#define OWNER_LEASE_MARGIN_MS 500

uint64_t owner_previous_acts_until_ms(const struct owner *owner)
{
	return owner->takeover_started_ms +
	       (uint64_t)owner->config.service->lease_ttl_s * 1000;
}

uint64_t owner_earlier_leases_expired_ms(const struct owner *owner)
{
	uint64_t detected_ms = MAX(owner_previous_acts_until_ms(owner),
				   owner->polled_since_ms) +
			       OWNER_VERIFY_INTERVAL_MS;

	return detected_ms + owner->env.lease_ms + OWNER_LEASE_MARGIN_MS;
}

void owner_worker_check_ownership(const struct owner *owner,
				  struct worker *worker)
{
	worker->discovered_without_lease =
		!owner->ops->lease_is_valid(owner->data);
}

void owner_ownership_verify(struct owner *owner)
{
	bool is_valid = owner->ops->lease_is_valid(owner->data);
	bool has_changed = is_valid == owner->is_verifying;
	GHashTableIter iter;
	gpointer value;

	owner->is_verifying = !is_valid;
	owner->env.poll_wait_max_ms =
		is_valid ? WORKER_POLL_WAIT_MAX_MS : OWNER_VERIFY_INTERVAL_MS;
	if (is_valid || (!has_changed && loop_now_ms() < owner->verify_due_ms))
		return;
	owner->verify_due_ms = loop_now_ms() + OWNER_VERIFY_INTERVAL_MS;
	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (has_changed)
			worker_poll_again(value);
		else
			worker_poll_within(value, 0);
	}
}
