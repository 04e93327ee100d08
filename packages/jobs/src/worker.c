#include "worker.h"

#include <string.h>

#include "log.h"
#include "worker_private.h"

/* The answer of a draining worker may be its last one. */
#define WORKER_LAST_ANSWER_TIMEOUT_MS 2000

static void fence_raise(struct worker *worker)
{
	struct worker_env *env = worker->env;

	worker->fence_offset++;
	env->fence_offset_max =
		MAX(env->fence_offset_max, worker->fence_offset);
}

/* Ignores the answers to the polls in flight, which use their connections for
 * as long as they last. */
static void polls_ignore(struct worker *worker)
{
	worker->connection = 0;
	worker->poll_serial++;
	worker->late_poll_serial = 0;
	worker->late_poll_answered = false;
	worker->repeated_poll_failed = false;
	worker->polling = false;
	timer_cancel(&worker->late_timer);
}

static void incarnation_reset(struct worker *worker)
{
	worker->clock_ms = 0;
	worker->clock_at_ms = 0;
	worker->report_clock_ms = 0;
	worker->lease_until_ms = 0;
	worker->lease_expired_ms = 0;
	worker->acked = 0;
	worker->acks_received = 0;
	worker->ends_seen = 0;
	worker->ack_sent = 0;
	worker->ack_sent_ms = 0;
	worker->has_reported = false;
	worker->has_more_ends = false;
	worker->stray_runs = 0;
	g_array_set_size(worker->ends, 0);
	/* The new incarnation must refuse orders to the earlier one. */
	fence_raise(worker);
	polls_ignore(worker);
}

static void poll_schedule(struct worker *worker, uint32_t delay_ms);
static void poll_schedule_next(struct worker *worker);

/*
 * A restarted worker may have received orders that were meant for its earlier
 * incarnation. A poll with a higher fencing token shows which of them it has
 * executed.
 */
static void incarnation_replace(struct worker *worker, uint64_t started_unix_ms)
{
	log_info("worker-restarted",
		 "worker %s has a new incarnation, service %s, tasks of the "
		 "earlier one %u, ends that it reported %" G_GUINT64_FORMAT
		 ", of them acknowledged %" G_GUINT64_FORMAT,
		 worker->id, worker->service, worker->tasks->len,
		 worker->ends_seen, worker->ack_sent);
	if (worker->ack_sent > 0)
		log_info("ends-acknowledged",
			 "worker %s was sent the last acknowledgement of its "
			 "earlier incarnation %" G_GUINT64_FORMAT " ms ago, "
			 "and answered up to %" G_GUINT64_FORMAT,
			 worker->id, loop_now_ms() - worker->ack_sent_ms,
			 worker->acks_received);
	if (started_unix_ms != 0)
		worker->started_unix_ms = started_unix_ms;
	worker->restarted_ms = loop_now_ms();
	worker->ended = false;
	worker->env->ops->on_restarted(worker->env->data, worker);
	incarnation_reset(worker);
	/* Orders to the earlier incarnation may have granted this one a lease.
	 */
	worker->lease_expired_ms =
		loop_now_ms() + worker_lease_bound_ms(worker->env->lease_ms);
	worker->resolving = true;
	timer_cancel(&worker->poll_timer);
	poll_schedule(worker, 0);
}

void worker_end_incarnation(struct worker *worker, enum worker_end_cause cause,
			    const char *why)
{
	if (worker->ended)
		return;
	log_info("worker-incarnation-ended",
		 "incarnation of worker %s has ended, service %s, tasks %u: %s",
		 worker->id, worker->service, worker->tasks->len, why);
	worker->env->ops->on_ended(worker->env->data, worker, cause);
	incarnation_reset(worker);
	worker->ended = true;
	worker->ended_ms = loop_now_ms();
	timer_cancel(&worker->poll_timer);
	poll_schedule_next(worker);
}

static void on_polled(void *data, const struct adapter_reply *reply);

static uint32_t poll_timeout_ms(const struct worker *worker)
{
	return worker->draining ? WORKER_LAST_ANSWER_TIMEOUT_MS
				: WORKER_ORDER_TIMEOUT_MS;
}

static void poll_send(struct worker *worker, struct adapter_poll *poll,
		      uint32_t timeout_ms)
{
	struct adapter_target target = worker_target(worker);
	struct worker_call *call = worker_call_create(worker);

	poll->fence = worker_fence(worker);
	call->order.fence = poll->fence;
	call->serial = ++worker->poll_serial;
	call->connection = poll->connection;
	call->acked_upto = poll->acked_upto;
	call->resolves_orders = worker->resolving;
	if (poll->acked_upto > worker->ack_sent) {
		worker->ack_sent = poll->acked_upto;
		worker->ack_sent_ms = call->sent_ms;
	}
	worker->polling = true;
	worker->poll_at_once = false;
	worker->late_poll_answered = false;
	timer_cancel(&worker->poll_timer);
	worker->env->platform->poll(worker->env->platform_self, &target, poll,
				    timeout_ms, on_polled, call);
}

/*
 * Ends are numbered and leases are measured from the start of an incarnation. A
 * restarted worker would forget ends that it has not reported, so only a poll
 * that cannot reach it acknowledges ends and renews the lease. Any other poll
 * only asks for a report, reads the clock and raises the token.
 */
static void poll_start(struct worker *worker, uint32_t wait_ms)
{
	struct adapter_poll poll = { .wait_ms = wait_ms,
				     .connection = worker->connection };
	uint64_t now_ms = loop_now_ms();

	if (poll.connection != 0)
		poll.acked_upto = worker->acked;
	/* The lease of an unreachable worker is left to expire, so that its
	 * tasks can continue elsewhere. */
	if (poll.connection != 0 && worker->has_reported &&
	    worker->unanswered_calls == 0 &&
	    worker->env->ops->may_renew(worker->env->data))
		poll.lease_until_ms = worker_lease_grant(worker, now_ms);
	poll_send(worker, &poll, wait_ms + poll_timeout_ms(worker));
	loop_timer_set(worker->env->loop, &worker->late_timer,
		       wait_ms + WORKER_POLL_LATE_MS);
}

/* The connection of the poll in flight may carry nothing any more: polls on a
 * new one, until the timeout of the first poll. */
static void on_poll_late(void *data)
{
	struct worker *worker = data;
	struct adapter_poll poll = { .fresh_connection = true };

	if (!worker_is_reachable(worker) || worker->ended)
		return;
	log_info("poll-late",
		 "worker %s has not answered a poll %u ms after it was due, "
		 "polled on a new connection",
		 worker->id, WORKER_POLL_LATE_MS);
	worker->late_poll_serial = worker->poll_serial;
	poll_send(worker, &poll, poll_timeout_ms(worker) - WORKER_POLL_LATE_MS);
}

static void poll_schedule(struct worker *worker, uint32_t delay_ms)
{
	uint64_t due_ms = loop_now_ms() + delay_ms;

	if (worker->dropped || worker->polling)
		return;
	if (timer_is_set(&worker->poll_timer) &&
	    worker->poll_timer.due_ms <= due_ms)
		return;
	loop_timer_set(worker->env->loop, &worker->poll_timer, delay_ms);
}

void worker_poll_within(struct worker *worker, uint32_t delay_ms)
{
	if (!worker->ended)
		poll_schedule(worker, delay_ms);
}

static void on_poll_timer(void *data)
{
	struct worker *worker = data;
	bool immediate = worker->resolving || !worker->has_reported ||
			 worker->connection == 0 || worker->poll_at_once ||
			 !worker_is_reachable(worker) || worker->ends->len > 0;
	uint32_t wait_ms = worker->env->poll_wait_max_ms;

	if (worker->dropped || worker->polling)
		return;
	if (immediate)
		wait_ms = 0;
	else if (worker->poll_wait_ms > 0)
		wait_ms = MIN(wait_ms, worker->poll_wait_ms);
	poll_start(worker, wait_ms);
}

/* Schedules the next poll after an answer, or the lack of one, if it is needed.
 */
static void poll_schedule_next(struct worker *worker)
{
	enum worker_poll_reason reason = worker_poll_reason(worker);

	if (reason != WORKER_POLL_NONE)
		poll_schedule(worker, worker_poll_row(reason)->delay_ms);
}

/* Of a late poll and its repetition, the report that arrives last may have been
 * made first. */
static bool report_is_outdated(const struct worker *worker,
			       const struct worker_call *call,
			       const struct adapter_report *report)
{
	return call->overlapped && report->clock_ms < worker->report_clock_ms;
}

static void return_log(const struct worker *worker,
		       const struct adapter_report *report)
{
	log_info("worker-returned",
		 "worker %s answers %" G_GUINT64_FORMAT
		 " ms after its incarnation had ended: started at "
		 "%" G_GUINT64_FORMAT ", before at %" G_GUINT64_FORMAT
		 ", as listed at %" G_GUINT64_FORMAT ", runs %zu",
		 worker->id, loop_now_ms() - worker->ended_ms,
		 report->started_unix_ms, worker->started_unix_ms,
		 worker->described_unix_ms, report->run_count);
}

/* The connection of a report reaches the incarnation that made it. */
static void connection_keep(struct worker *worker,
			    const struct adapter_reply *reply)
{
	worker->connection = reply->connection;
	if (reply->connection == 0)
		log_info("poll-connection-closed",
			 "worker %s closed the connection after a report; its "
			 "lease is not renewed and %" G_GUINT64_FORMAT
			 " of %" G_GUINT64_FORMAT
			 " ends are not acknowledged before the next report",
			 worker->id, worker->ends_seen - worker->ack_sent,
			 worker->ends_seen);
}

static void report_apply(struct worker *worker, const struct worker_call *call,
			 const struct adapter_reply *reply)
{
	const struct worker_poll poll = { call->order.fence, call->serial };
	const struct adapter_report *report = reply->report;

	/* Whatever answers after the end of an incarnation is taken for a new
	 * one, since its tasks have been requeued. */
	if (worker->ended)
		return_log(worker, report);
	if (worker->ended ||
	    (report->started_unix_ms != 0 && worker->started_unix_ms != 0 &&
	     report->started_unix_ms != worker->started_unix_ms)) {
		incarnation_replace(worker, report->started_unix_ms);
		connection_keep(worker, reply);
		return;
	}
	if (report->started_unix_ms != 0)
		worker->started_unix_ms = report->started_unix_ms;
	connection_keep(worker, reply);
	if (report_is_outdated(worker, call, report)) {
		poll_schedule_next(worker);
		return;
	}
	worker->report_clock_ms = report->clock_ms;
	worker_clock_update(worker, report->clock_ms);
	if (call->resolves_orders && call->order.fence == worker_fence(worker))
		worker->resolving = false;
	if (!worker->has_reported)
		worker_lease_presume(worker);
	worker->has_reported = true;
	worker->answered_poll_sent_ms = call->sent_ms;
	worker->last_poll_reported = true;
	worker->acks_received = MAX(worker->acks_received, call->acked_upto);
	worker->env->ops->on_report(worker->env->data, worker, report, &poll);
	if (!worker->dropped)
		poll_schedule_next(worker);
}

static void poll_refused(struct worker *worker, const struct worker_call *call,
			 const struct adapter_reply *reply)
{
	switch (reply->verdict) {
	case ADAPTER_REFUSED_FENCE:
		if (worker_fence_is_current(worker, call->order.fence))
			worker->env->ops->on_deposed(worker->env->data,
						     worker->id);
		else
			poll_schedule(worker, 0);
		break;
	case ADAPTER_REFUSED_INCARNATION:
		worker_end_incarnation(
			worker, WORKER_REPLACED,
			"another incarnation answers at its address");
		poll_schedule_next(worker);
		break;
	default:
		worker->last_poll_reported = false;
		log_warning("poll-refused",
			    "worker %s refused a poll, which is repeated: %s",
			    worker->id, adapter_verdict_name(reply->verdict));
		poll_schedule_next(worker);
		break;
	}
}

/* No poll or repetition is in flight that the next poll has to wait for. */
static void poll_finish(struct worker *worker)
{
	worker->polling = false;
	worker->repeated_poll_failed = false;
	timer_cancel(&worker->late_timer);
}

static void poll_failed(struct worker *worker, const struct worker_call *call,
			enum err_kind err)
{
	worker->failed_poll_sent_ms = call->sent_ms;
	worker->connection = 0;
	/* It has ended, or the poll repeated one that was answered meanwhile.
	 */
	if (!worker->ended && !worker->late_poll_answered)
		worker_poll_unanswered(worker, err);
	poll_schedule_next(worker);
}

/* Returns whether the poll was not sent, because the one connection that could
 * carry it was closed. */
static bool connection_was_closed(const struct worker_call *call,
				  const struct adapter_reply *reply)
{
	return call->connection != 0 && reply->err == ERR_CONNECT;
}

static void poll_reconnect(struct worker *worker)
{
	worker->connection = 0;
	worker->ack_sent = worker->acks_received;
	poll_schedule(worker, 0);
}

static void poll_answered(struct worker *worker, struct worker_call *call,
			  const struct adapter_reply *reply)
{
	bool newest = call->serial == worker->poll_serial;

	worker_poll_answered(worker);
	call->overlapped = !newest || worker->late_poll_answered;
	worker->late_poll_answered = !newest;
	if (reply->verdict == ADAPTER_ACCEPTED)
		report_apply(worker, call, reply);
	else
		poll_refused(worker, call, reply);
}

/* A worker that leaves may have put its last ends into the answer to either the
 * late poll or its repetition, so both count, and the worker has not answered
 * only once both have failed. */
static void on_polled(void *data, const struct adapter_reply *reply)
{
	struct worker_call *call = data;
	struct worker *worker = call->worker;
	bool newest = call->serial == worker->poll_serial;
	bool late = call->serial == worker->late_poll_serial;
	bool last = newest || worker->repeated_poll_failed;

	if (!worker->dropped && (newest || late)) {
		if (late)
			worker->late_poll_serial = 0;
		if (reply->err != ERR_NONE && worker->late_poll_serial != 0) {
			/* The late poll is the only one in flight now. */
			worker->repeated_poll_failed = true;
			timer_cancel(&worker->late_timer);
		} else if (last)
			poll_finish(worker);
		if (reply->err == ERR_NONE)
			poll_answered(worker, call, reply);
		else if (last && connection_was_closed(call, reply))
			poll_reconnect(worker);
		else if (last && !worker->polling)
			poll_failed(worker, call, reply->err);
	}
	worker_call_free(call);
}

static void poll_at_once(struct worker *worker)
{
	if (worker->polling)
		polls_ignore(worker);
	worker->poll_at_once = true;
	poll_schedule(worker, 0);
}

void worker_poll_again(struct worker *worker)
{
	if (!worker->ended)
		poll_at_once(worker);
}

void worker_resolve_orders(struct worker *worker)
{
	fence_raise(worker);
	worker->resolving = true;
	worker->late_orders_until_ms = loop_now_ms() + ADAPTER_ORDER_LIFE_MS;
	/* A long poll in flight has the old token. */
	worker_poll_again(worker);
}

struct worker *worker_create(struct worker_env *env,
			     const struct adapter_entry *entry)
{
	struct worker *worker = g_rc_box_new0(struct worker);

	worker->env = env;
	worker->fence_offset = env->fence_offset_max;
	worker->id = g_strdup(entry->id);
	worker->started_unix_ms = entry->started_unix_ms;
	worker->discovered_ms = loop_now_ms();
	worker->ends = g_array_new(FALSE, FALSE, sizeof(struct worker_end));
	worker->tasks = g_ptr_array_new();
	worker->poll_timer.cb = on_poll_timer;
	worker->poll_timer.data = worker;
	worker->late_timer.cb = on_poll_late;
	worker->late_timer.data = worker;
	worker_entry_copy(worker, entry);
	poll_schedule(worker, 0);
	return worker;
}

void worker_update(struct worker *worker, const struct adapter_entry *entry)
{
	bool is_new = entry->started_unix_ms != worker->described_unix_ms;
	bool starts_draining = entry->draining && !worker->draining;

	worker_entry_copy(worker, entry);
	/* Only the worker itself is sure to know its start: the entry may be of
	 * another writer, or may have been read late. */
	if (is_new && (worker->ended || worker_entry_is_outdated(worker))) {
		/* It may have ended with the earlier incarnation. */
		worker->connection = 0;
		poll_at_once(worker);
	} else if (starts_draining) {
		/* The poll in flight has the time-out of a worker that stays,
		 * and there may be no time to repeat it. */
		worker_poll_again(worker);
	}
}

void worker_drop(struct worker *worker)
{
	worker->dropped = true;
	timer_cancel(&worker->poll_timer);
	timer_cancel(&worker->late_timer);
	worker_unref(worker);
}
