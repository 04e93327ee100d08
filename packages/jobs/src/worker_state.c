#include "log.h"
#include "worker_private.h"

/* The worker's steady clock may be slow by this much, in permille. */
#define WORKER_CLOCK_DRIFT_PERMILLE 20
/* Covers rounding and the time that the worker takes to end its runs. */
#define WORKER_LEASE_MARGIN_MS 100
/* Wait of polls with leases that are too short for the bound of
 * worker_poll_wait_max_ms(), so that workers are not polled without a pause. */
#define WORKER_POLL_WAIT_MIN_MS 100
/* Maximum time that a poll waits for an end; the platform allows no more. */
#define WORKER_POLL_WAIT_MAX_MS 2000
/* Delay before an unanswered or refused poll is repeated. */
#define WORKER_POLL_RETRY_MS 250
/* While an unanswered order may still arrive, a worker that restarts has not
 * seen the higher fencing token and would accept the order, so it is polled
 * more often. */
#define WORKER_POLL_RETRY_LATE_MS 40
/* Poll interval of a worker with ends that are not stored yet, so that its
 * lease does not expire while the store is unavailable. */
#define WORKER_POLL_UNSTORED_MS 1000
/* Poll interval of a worker that may have restarted unnoticed. */
#define WORKER_POLL_RESTART_MS 1000
/* Time between two polls, and for the poll on a new connection and for the one
 * after it, which renews the lease. */
#define WORKER_RENEWAL_MS 1200

static void worker_clear(gpointer data)
{
	struct worker *worker = data;

	g_free(worker->id);
	g_free(worker->service);
	g_free(worker->availability_zone);
	g_strfreev(worker->labels);
	g_array_unref(worker->ends);
	g_ptr_array_unref(worker->tasks);
	g_clear_pointer(&worker->stray_uses, g_array_unref);
	g_free(worker->vm);
	g_free(worker->rack);
}

void worker_unref(struct worker *worker)
{
	g_rc_box_release_full(worker, worker_clear);
}

uint64_t worker_lease_bound_ms(uint64_t lease_ms)
{
	return lease_ms * 1000 / (1000 - WORKER_CLOCK_DRIFT_PERMILLE) +
	       WORKER_LEASE_MARGIN_MS;
}

uint32_t worker_poll_wait_max_ms(uint32_t lease_ms)
{
	const uint32_t reserved_ms = WORKER_POLL_LATE_MS + WORKER_RENEWAL_MS;

	if (lease_ms <= reserved_ms + 2 * WORKER_POLL_WAIT_MIN_MS)
		return WORKER_POLL_WAIT_MIN_MS;
	return MIN(WORKER_POLL_WAIT_MAX_MS, (lease_ms - reserved_ms) / 2);
}

uint64_t worker_lease_grant(struct worker *worker, uint64_t from_ms)
{
	uint64_t until_ms;
	uint64_t left_ms;

	if (worker->clock_ms == 0)
		return 0;
	until_ms = worker->clock_ms + (from_ms - worker->clock_at_ms) +
		   worker->env->lease_ms;
	worker->lease_until_ms = MAX(worker->lease_until_ms, until_ms);
	left_ms = worker->lease_until_ms - worker->clock_ms;
	worker->lease_expired_ms =
		MAX(worker->lease_expired_ms,
		    worker->clock_at_ms + worker_lease_bound_ms(left_ms));
	return worker->lease_until_ms;
}

void worker_lease_presume(struct worker *worker)
{
	worker->lease_expired_ms = MAX(
		worker->lease_expired_ms,
		loop_now_ms() + worker_lease_bound_ms(worker->env->lease_ms));
}

bool worker_may_get_late_orders(const struct worker *worker)
{
	return loop_now_ms() < worker->late_orders_until_ms;
}

void worker_clock_update(struct worker *worker, uint64_t clock_ms)
{
	if (clock_ms < worker->clock_ms)
		return;
	worker->clock_ms = clock_ms;
	worker->clock_at_ms = loop_now_ms();
}

void worker_poll_unanswered(struct worker *worker, enum err_kind err)
{
	if (worker->unanswered_calls++ > 0)
		return;
	worker->unanswered_since_ms = loop_now_ms();
	/* A poll that waits at the worker is cut when the worker ends. */
	worker->ran_until_ms = err == ERR_CUT ? worker->unanswered_since_ms
					      : worker->clock_at_ms;
	log_warning("worker-unreachable",
		    "worker %s at %s:%u, service %s, does not answer: %s",
		    worker->id, worker->ip, (unsigned int)worker->port,
		    worker->service, err_name(err));
}

void worker_poll_answered(struct worker *worker)
{
	if (worker->unanswered_calls > 0)
		log_info("worker-reachable",
			 "worker %s answers again after %" G_GUINT64_FORMAT
			 " ms",
			 worker->id,
			 loop_now_ms() - worker->unanswered_since_ms);
	worker->unanswered_calls = 0;
	worker->unanswered_since_ms = 0;
	worker->ran_until_ms = 0;
}

uint64_t worker_fence(const struct worker *worker)
{
	return worker->env->fence_base + worker->fence_offset;
}

bool worker_is_reachable(const struct worker *worker)
{
	return worker->unanswered_calls == 0;
}

bool worker_has_label(const struct worker *worker, const char *label)
{
	return !label ||
	       g_strv_contains((const char *const *)worker->labels, label);
}

void worker_ack_ends(struct worker *worker, uint64_t durable_mark)
{
	guint done = 0;

	while (done < worker->ends->len &&
	       g_array_index(worker->ends, struct worker_end, done)
			       .commit_mark <= durable_mark)
		done++;
	if (done == 0)
		return;
	worker->acked =
		g_array_index(worker->ends, struct worker_end, done - 1).number;
	g_array_remove_range(worker->ends, 0, done);
	if (worker->ends->len == 0 && !worker->polling) {
		timer_cancel(&worker->poll_timer);
		worker_poll_within(worker, 0);
	}
}

bool worker_entry_is_outdated(const struct worker *worker)
{
	/* The clock of its VM may have been set back between two incarnations,
	 * so neither of them is known to be the later one. */
	return worker->described_unix_ms != worker->started_unix_ms &&
	       worker->described_unix_ms != 0 && worker->started_unix_ms != 0;
}

static const struct worker_poll_row poll_rows[] = {
	[WORKER_POLL_NONE] = { "nothing is asked of it", 0 },
	[WORKER_POLL_ENDED] = { "its incarnation has ended",
				WORKER_POLL_RESTART_MS },
	[WORKER_POLL_REFUSED] = { "it refused the last poll",
				  WORKER_POLL_RETRY_MS },
	[WORKER_POLL_SILENT] = { "it did not answer the last poll",
				 WORKER_POLL_RETRY_MS },
	[WORKER_POLL_SILENT_LATE] = { "it may get a late order",
				      WORKER_POLL_RETRY_LATE_MS },
	[WORKER_POLL_UNSTORED] = { "its ends are not stored yet",
				   WORKER_POLL_UNSTORED_MS },
	[WORKER_POLL_BUSY] = { "it has more to report", 0 },
	[WORKER_POLL_CLOSED] = { "its connection was closed",
				 WORKER_POLL_RETRY_MS },
	[WORKER_POLL_OUTDATED] = { "its entry is of another incarnation",
				   WORKER_POLL_RESTART_MS },
};

const struct worker_poll_row *worker_poll_row(enum worker_poll_reason reason)
{
	return &poll_rows[reason];
}

/* Returns whether a worker has, or may get, something that a report shows. */
static bool has_more_to_report(const struct worker *worker)
{
	return worker->resolving || worker->tasks->len > 0 ||
	       worker->stray_runs > 0 ||
	       worker->acks_received < worker->ends_seen ||
	       worker->env->poll_idle || worker_may_get_late_orders(worker);
}

enum worker_poll_reason worker_poll_reason(const struct worker *worker)
{
	if (worker->dropped)
		return WORKER_POLL_NONE;
	if (worker->ended)
		return WORKER_POLL_ENDED;
	if (worker_is_reachable(worker) && !worker->last_poll_reported)
		return WORKER_POLL_REFUSED;
	/* The last poll may have repeated one that was answered meanwhile. */
	if (worker->failed_poll_sent_ms > worker->answered_poll_sent_ms)
		return worker_may_get_late_orders(worker)
			       ? WORKER_POLL_SILENT_LATE
			       : WORKER_POLL_SILENT;
	if (worker->ends->len > 0 && !worker->resolving)
		return WORKER_POLL_UNSTORED;
	if (has_more_to_report(worker))
		return worker->connection != 0 ? WORKER_POLL_BUSY
					       : WORKER_POLL_CLOSED;
	return worker_entry_is_outdated(worker) ? WORKER_POLL_OUTDATED
						: WORKER_POLL_NONE;
}

void worker_entry_copy(struct worker *worker, const struct adapter_entry *entry)
{
	g_strlcpy(worker->ip, entry->ip, sizeof(worker->ip));
	worker->port = entry->port;
	g_free(worker->service);
	worker->service = g_strdup(entry->service);
	g_free(worker->availability_zone);
	worker->availability_zone = g_strdup(entry->availability_zone);
	g_strfreev(worker->labels);
	worker->labels = g_strdupv((char **)entry->labels);
	g_free(worker->rack);
	worker->rack = g_strdup(entry->rack);
	if (entry->vm && g_strcmp0(worker->vm, entry->vm) != 0) {
		g_free(worker->vm);
		worker->vm = g_strdup(entry->vm);
	}
	worker->capacity = entry->capacity;
	worker->described_unix_ms = entry->started_unix_ms;
	worker->draining = entry->draining;
	worker->listed = true;
	worker->has_entry = true;
}
