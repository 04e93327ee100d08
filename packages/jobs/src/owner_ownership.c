#include "log.h"
#include "owner_private.h"

/* Interval at which an owner without a valid lease polls all workers: 2 ms per
 * worker, and no less than this. */
#define OWNER_VERIFY_INTERVAL_MIN_MS 500
#define OWNER_VERIFY_MS_PER_WORKER 2
/* Added to the age of an answer up to which it shows that no other owner had
 * reached the worker: time for the answer to arrive. */
#define OWNER_VERIFY_ANSWER_MS 250
/* For so long after its lease an owner needs the answers of half of the voters,
 * then of three quarters, so that a successor that reaches a quarter of them
 * does not wait longer. */
#define OWNER_HALF_VOTES_MAX_MS 30000
/* Added to the longest lease when waiting for leases of earlier owners to
 * expire: the worker's clock may be 2% slow, and the last order may have
 * arrived late. */
#define OWNER_LEASE_MARGIN_MS 500

static uint32_t verify_interval_ms(const struct owner *owner)
{
	return MAX(OWNER_VERIFY_INTERVAL_MIN_MS,
		   OWNER_VERIFY_MS_PER_WORKER *
			   g_hash_table_size(owner->workers));
}

uint64_t owner_previous_acts_until_ms(const struct owner *owner)
{
	return owner->takeover_started_ms + owner->config.lease_ttl_ms;
}

/* Age of a poll up to which its answer shows that no successor had reached the
 * worker. A poll waits for up to half an interval and is the newest one that
 * was answered for another half; the rest is for answers that are late. */
static uint64_t answer_age_max_ms(const struct owner *owner)
{
	return (uint64_t)verify_interval_ms(owner) * 2 + OWNER_VERIFY_ANSWER_MS;
}

uint64_t owner_earlier_leases_expired_ms(const struct owner *owner)
{
	uint64_t reached_ms =
		MAX(MAX(owner->polled_since_ms, owner->witness_reported_ms),
		    owner->majority_ms);
	uint64_t detected_ms =
		MAX(owner_previous_acts_until_ms(owner), reached_ms) +
		answer_age_max_ms(owner);

	if (owner->majority_ms == 0)
		return UINT64_MAX;
	return detected_ms + owner->env.lease_ms + OWNER_LEASE_MARGIN_MS;
}

void owner_witness_record(struct owner *owner, struct worker *worker)
{
	if (worker->is_witness)
		return;
	worker->is_witness = true;
	owner_roster_on_first_report(owner, worker);
	/* It may have restarted since an earlier owner stored it. */
	owner_worker_check_ownership(owner, worker);
	/* Earlier owners did not know workers that were listed later. */
	if (owner->polled_since_ms == 0 ||
	    worker->discovered_ms <= owner->polled_since_ms)
		owner->witness_reported_ms = loop_now_ms();
}

static void minority_log(struct owner *owner, uint32_t reported,
			 uint32_t voters)
{
	if (owner->minority_logged)
		return;
	owner->minority_logged = true;
	log_warning("takeover-minority",
		    "%u of %u workers that earlier owners knew have reported: "
		    "what may run on the others is not started again before "
		    "more than half have, epoch %" G_GUINT64_FORMAT,
		    reported, voters, owner->epoch);
}

void owner_majority_update(struct owner *owner)
{
	uint64_t now_ms = loop_now_ms();
	uint64_t gone_ms = 0;
	uint32_t reported = 0;
	uint32_t voters = 0;
	GHashTableIter iter;
	gpointer value;

	if (owner->majority_ms != 0)
		return;
	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct worker *worker = value;

		if (worker->is_learner)
			continue;
		if (worker->is_witness) {
			reported++;
			voters++;
		} else if (owner_worker_is_gone(worker, now_ms)) {
			gone_ms =
				MAX(gone_ms,
				    worker->ended ? now_ms
						  : worker->unlisted_since_ms);
		} else {
			voters++;
		}
	}
	if (reported > voters / 2 || voters == 0)
		owner->majority_ms = MAX(gone_ms, owner->polled_since_ms);
	else if (reported > voters / 4 &&
		 now_ms >= owner_previous_acts_until_ms(owner) +
				   OWNER_HALF_VOTES_MAX_MS)
		owner->majority_ms = now_ms;
	else if (now_ms >= owner->polled_since_ms + answer_age_max_ms(owner))
		minority_log(owner, reported, voters);
}

void owner_worker_check_ownership(const struct owner *owner,
				  struct worker *worker)
{
	worker->discovered_without_lease =
		!owner->ops->lease_is_valid(owner->data);
}

/* Returns whether answers of a worker count. One that was discovered or has
 * restarted without a valid lease may have lost the token of a successor. */
static bool worker_can_vouch(const struct worker *worker)
{
	return worker->has_reported && !worker->ended &&
	       worker->last_poll_reported && !worker->discovered_without_lease;
}

/* Time up to which a worker has shown that no successor had reached it; 0 if it
 * has not answered since the lease ended. */
static uint64_t worker_vouches_until_ms(const struct owner *owner,
					const struct worker *worker)
{
	if (!worker_can_vouch(worker) || !worker_is_reachable(worker) ||
	    worker->answered_poll_sent_ms < owner->verifying_since_ms)
		return 0;
	return worker->answered_poll_sent_ms + answer_age_max_ms(owner);
}

/* Returns whether a worker says nothing: its answers do not count, or it has
 * not answered a poll that was sent while others did. If it has not been polled
 * since, it may know of a successor. */
static bool worker_is_left_out(const struct owner *owner,
			       const struct worker *worker)
{
	return !worker_can_vouch(worker) ||
	       (!worker_is_reachable(worker) &&
		worker->failed_poll_sent_ms >= owner->contact_since_ms);
}

/* Records since when there has always been a worker that answers. */
static void contact_update(struct owner *owner, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (now_ms > worker_vouches_until_ms(owner, value))
			continue;
		if (owner->contact_since_ms == 0)
			owner->contact_since_ms = now_ms;
		return;
	}
	owner->contact_since_ms = 0;
}

static gint times_compare(gconstpointer a, gconstpointer b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	return (left < right) - (left > right);
}

/* Time up to which enough voters of a roster, the newest one or the stored one,
 * have shown that no successor had reached them. Voters that are not known any
 * more count among those that have not. */
static uint64_t votes_valid_until_ms(const struct owner *owner, bool sent)
{
	uint32_t voters = sent ? owner->sent_voters : owner->voters;
	guint half = (voters + 1) / 2;
	guint most = (3 * voters + 3) / 4;
	g_autoptr(GArray) times = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;
	uint64_t until_ms;

	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct worker *worker = value;
		uint64_t vouches_until_ms =
			worker_vouches_until_ms(owner, worker);

		if (sent ? worker->is_sent_voter : worker->is_voter)
			g_array_append_val(times, vouches_until_ms);
	}
	if (half == 0 || times->len < half)
		return 0;
	g_array_sort(times, times_compare);
	until_ms = MIN(g_array_index(times, uint64_t, half - 1),
		       owner->lease_valid_ms + OWNER_HALF_VOTES_MAX_MS);
	if (times->len >= most)
		until_ms =
			MAX(until_ms, g_array_index(times, uint64_t, most - 1));
	return until_ms;
}

/* A successor reads either roster. */
static uint64_t unchallenged_until_ms(const struct owner *owner)
{
	uint64_t until_ms = MIN(votes_valid_until_ms(owner, false),
				votes_valid_until_ms(owner, true));
	GHashTableIter iter;
	gpointer value;

	if (owner->contact_since_ms == 0)
		return 0;
	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!worker_is_left_out(owner, value))
			until_ms = MIN(until_ms,
				       worker_vouches_until_ms(owner, value));
	}
	return until_ms;
}

bool owner_is_unchallenged(const struct owner *owner, uint64_t now_ms)
{
	return owner->ops->lease_is_valid(owner->data) ||
	       (owner->verify_due_ms != 0 &&
		now_ms <= owner->unchallenged_until_ms);
}

bool owner_worker_is_verified(const struct owner *owner,
			      const struct worker *worker, uint64_t now_ms)
{
	return owner->ops->lease_is_valid(owner->data) ||
	       (owner_is_unchallenged(owner, now_ms) &&
		now_ms <= worker_vouches_until_ms(owner, worker));
}

const char *owner_lease_name(const struct owner *owner)
{
	return owner->ops->lease_is_valid(owner->data) ? "valid" : "not valid";
}

/* A valid lease proves that no successor has reached the workers that were
 * discovered or have restarted without it. */
static void workers_trust(struct owner *owner)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct worker *)value)->discovered_without_lease = false;
}

void owner_ownership_verify(struct owner *owner)
{
	uint32_t interval_ms = verify_interval_ms(owner);
	bool is_first = owner->verify_due_ms == 0;
	GHashTableIter iter;
	gpointer value;

	if (owner->ops->lease_is_valid(owner->data)) {
		owner->env.poll_wait_max_ms =
			worker_poll_wait_max_ms(owner->env.lease_ms);
		owner->env.poll_idle = false;
		owner->lease_valid_ms = loop_now_ms();
		if (!is_first)
			workers_trust(owner);
		owner->verify_due_ms = 0;
		return;
	}
	owner->env.poll_wait_max_ms = MIN(
		worker_poll_wait_max_ms(owner->env.lease_ms), interval_ms / 2);
	owner->env.poll_idle = true;
	if (is_first) {
		owner->verifying_since_ms = loop_now_ms();
		owner->contact_since_ms = 0;
	}
	contact_update(owner, loop_now_ms());
	owner->unchallenged_until_ms = unchallenged_until_ms(owner);
	if (loop_now_ms() < owner->verify_due_ms)
		return;
	owner->verify_due_ms = loop_now_ms() + interval_ms;
	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_first)
			worker_poll_again(value);
		else
			worker_poll_within(value, 0);
	}
}
