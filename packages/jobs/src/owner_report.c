#include <string.h>

#include "log.h"
#include "owner_accounts.h"
#include "owner_advice.h"
#include "owner_private.h"

/* Delay before the next start on a worker that refused one for lack of
 * capacity, is unhealthy or was unreachable. */
#define OWNER_REFUSAL_BACKOFF_MS 300
/* How long a poll waits at the worker for a run to end, if the worker has tasks
 * that run to completion, and if it has long-running tasks that start up or
 * best-effort tasks that may have to be throttled. */
#define OWNER_POLL_WAIT_SHORT_TASKS_MS 700
#define OWNER_POLL_WAIT_STARTING_MS 400
/* Maximum number of times that a task is stopped as stalled: its progress may
 * just be slow. */
#define OWNER_STALL_STOPS_MAX 2
/* A worker reports at most this many ended runs at once: a report with as many
 * may be incomplete. */
#define OWNER_REPORT_ENDS_MAX 500

static void ended_run_process(struct owner *owner, struct worker *worker,
			      const struct adapter_run_end *end)
{
	struct job_task *task = owner_task_find_reported(owner, end->task);
	bool is_current_run;

	owner->counters.ends[end->kind]++;
	if (end->kind == ADAPTER_END_DONE || end->kind == ADAPTER_END_STOPPED)
		log_debug("task-end", "task %s run %u ended at worker %s: %s",
			  end->task, end->run, worker->id,
			  adapter_end_name(end->kind));
	else
		log_info("task-end",
			 "task %s run %u ended at worker %s, consecutive "
			 "failures there %u: %s",
			 end->task, end->run, worker->id,
			 worker->health.consecutive_failures,
			 adapter_end_name(end->kind));
	if (!task) {
		owner_trace_unknown_end(owner, worker, end);
		return;
	}
	owner_task_mark_begun(owner, task);
	if (task->state == JOB_TASK_DONE) {
		owner_trace_superseded(owner, worker, task, end);
		return;
	}
	is_current_run = task->worker == worker && task->run == end->run;
	if (!owner_job_is_live(task->group->occurrence->job)) {
		if (is_current_run)
			owner_task_requeue(owner, task, 0,
					   owner_trace_end_cause(end->kind));
		return;
	}
	job_task_set_checkpoint(task, end->checkpoint);
	if (!task->worker && task->run < end->run) {
		task->run = end->run;
		owner_trace_requeue(owner, task, worker,
				    owner_trace_end_cause(end->kind));
	}
	if (end->kind == ADAPTER_END_DONE &&
	    !task->group->step->is_long_running) {
		/* A newer run was started elsewhere after the lease of this
		 * worker had expired: only the newer run's result counts. */
		if (task->worker && !is_current_run) {
			owner_trace_superseded(owner, worker, task, end);
			return;
		}
		owner_health_record_success(worker);
		owner_task_record_duration(owner, task);
		if (task->group->step->is_gang)
			owner_gang_complete(owner, task->group);
		else
			owner_task_complete(owner, task);
	} else if (end->kind == ADAPTER_END_FAILED) {
		owner_task_handle_failure(owner, worker, task, end);
	} else if (is_current_run) {
		owner_task_requeue(owner, task,
				   end->kind == ADAPTER_END_STOPPED
					   ? 0
					   : OWNER_RESTART_DELAY_MS,
				   owner_trace_end_cause(end->kind));
	}
}

/* The stop was allowed when it was first ordered. Another task of the step may
 * have become unavailable since. */
static bool stop_may_be_repeated(const struct worker *worker,
				 const struct job_task *task, bool wanted)
{
	return !wanted || !task->group->step->is_long_running ||
	       worker->draining || owner_task_disruption_is_allowed(task);
}

static void reported_run_process(struct owner *owner, struct worker *worker,
				 const struct adapter_run *running,
				 const struct worker_poll *poll)
{
	struct job_task *task = owner_task_find_reported(owner, running->task);
	bool wanted = task && task->state != JOB_TASK_DONE &&
		      owner_job_is_live(task->group->occurrence->job);

	if (task)
		owner_task_mark_begun(owner, task);
	if ((wanted || (task && owner_task_may_outlive_job(task))) &&
	    !task->worker && running->run >= task->run) {
		owner->counters.tasks_adopted++;
		task->run = running->run;
		owner_task_assign(owner, task, worker);
		job_task_set_state(task, JOB_TASK_RUNNING);
		task->ordered_ms = loop_now_ms();
		task->started_clock_ms = worker->report_clock_ms;
		task->speed_changed_ms = task->ordered_ms;
		task->adopted = true;
		task->requeue.cause = JOB_REQUEUE_NONE;
		task->group->gang_since_ms = loop_now_ms();
		task->group->gang_run = running->run;
	}
	if (!task || task->worker != worker || task->run != running->run) {
		g_assert(worker);
		if (task)
			owner_account_stray_add(worker, task);
		owner->counters.orphaned_runs++;
		log_info("orphaned-run",
			 "task %s run %u at worker %s is stopped: it is not "
			 "the current run, which is %u at worker %s",
			 running->task, running->run, worker->id,
			 task ? task->run : 0,
			 task && task->worker ? task->worker->id : "none");
		worker_run_stop(worker, running->task, running->run);
		worker->stray_runs++;
		return;
	}
	task->seen_in_report = owner->report_serial;
	if (task->started_clock_ms == 0)
		task->started_clock_ms = worker->report_clock_ms;
	if (task->state == JOB_TASK_STARTING)
		job_task_set_state(task, JOB_TASK_RUNNING);
	task->last_seen_poll = MAX(task->last_seen_poll, poll->serial);
	if (task->speed_percent != running->speed_percent)
		task->speed_changed_ms = loop_now_ms();
	task->speed_percent = running->speed_percent;
	task->usage = running->usage;
	job_task_set_checkpoint(task, running->checkpoint);
	owner_crash_try_clear(owner, task);
	if (!wanted && task->state != JOB_TASK_STOPPING)
		owner_task_stop_ended(owner, task);
	else if (task->state == JOB_TASK_STOPPING &&
		 stop_may_be_repeated(worker, task, wanted))
		/* The stop order may have been lost, and is idempotent. */
		worker_task_stop(worker, task);
}

/* Requeues tasks that are assigned to the worker but not in its report. The
 * report may be older than the answer to an order, and of an earlier
 * incarnation whose clock cannot be compared, so only polls that were sent
 * after the run had been seen count. */
static void missing_tasks_requeue(struct owner *owner, struct worker *worker,
				  const struct worker_poll *poll)
{
	for (guint i = worker->tasks->len; i-- > 0;) {
		enum job_requeue_cause cause;
		struct job_task *task;
		bool never_started;
		bool lost;

		if (i >= worker->tasks->len)
			continue;
		task = g_ptr_array_index(worker->tasks, i);
		if (task->seen_in_report == owner->report_serial)
			continue;
		/* While a start order is in flight, it may still reach a new
		 * incarnation of the worker, which has seen no fencing token
		 * yet. */
		never_started = task->state == JOB_TASK_STARTING &&
				task->fence < poll->fence &&
				!task->start_in_flight;
		lost = task->state != JOB_TASK_STARTING &&
		       task->last_seen_poll < poll->serial;
		if (!never_started && !lost)
			continue;
		owner->counters.tasks_lost++;
		cause = owner_trace_missing(owner, worker, task, poll,
					    never_started);
		/* A worker that has restarted does not know what its earlier
		 * incarnation reported to other owners. */
		if (worker->discovered_without_lease)
			owner_task_requeue_lost(owner, task, cause);
		else
			owner_task_requeue(owner, task, 0, cause);
	}
}

/* Sets how long the next poll waits at the worker. Long-running tasks that
 * start up need frequent reports, since they count as started once they report
 * their full speed, and so do tasks that may have to be throttled, and those
 * that decide whether the worker gets more tasks. Tasks that run to completion
 * need reports often enough to detect a stall in time. */
static void poll_wait_set(struct worker *worker)
{
	bool needs_frequent_reports = owner_throttle_is_needed(worker);
	bool short_tasks = false;

	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct job_task *task =
			g_ptr_array_index(worker->tasks, i);

		if (!task->group->step->is_long_running)
			short_tasks = true;
		else if (task->speed_percent < task->ordered_speed_percent ||
			 owner_health_awaits(worker, task, loop_now_ms()))
			needs_frequent_reports = true;
	}
	worker->poll_wait_ms = 0;
	if (short_tasks)
		worker->poll_wait_ms = OWNER_POLL_WAIT_SHORT_TASKS_MS;
	if (needs_frequent_reports)
		worker->poll_wait_ms = OWNER_POLL_WAIT_STARTING_MS;
}

/* Returns how long a task is expected to take, at least at its pace so far. */
static uint32_t paced_duration_ms(const struct job_task *task)
{
	uint64_t paced_ms = 0;

	if (task->speed_percent > 0)
		paced_ms = (task->speed_changed_ms - task->ordered_ms) * 100 /
			   task->speed_percent;
	return (uint32_t)MIN(MAX(paced_ms, task->group->expected_ms),
			     UINT32_MAX);
}

/* Stops tasks that make no progress, so that they are run elsewhere. */
static void stalled_tasks_stop(struct owner *owner, struct worker *worker)
{
	uint64_t now_ms = loop_now_ms();

	for (guint i = 0; i < worker->tasks->len; i++) {
		struct job_task *task = g_ptr_array_index(worker->tasks, i);

		if (task->group->step->is_long_running ||
		    task->group->step->is_gang ||
		    task->state != JOB_TASK_RUNNING ||
		    task->stall_evictions >= OWNER_STALL_STOPS_MAX ||
		    !breaker_task_is_stalled(task->speed_percent,
					     now_ms - task->speed_changed_ms,
					     paced_duration_ms(task)))
			continue;
		task->stall_evictions++;
		owner_health_record_failure(owner, worker);
		owner->counters.stalled++;
		owner_task_stop(owner, task, "it makes no progress");
	}
}

static void on_report(void *data, struct worker *worker,
		      const struct adapter_report *report,
		      const struct worker_poll *poll)
{
	struct owner *owner = data;
	uint64_t marked_before = commit_newest_mark(owner->log);

	owner->report_serial++;
	owner->counters.reports++;
	owner_witness_record(owner, worker);
	for (size_t i = 0; i < report->end_count; i++) {
		const struct adapter_run_end *end = &report->ends[i];
		struct worker_end ended = { .number = end->number };

		if (end->number <= worker->ends_seen)
			continue;
		worker->ends_seen = end->number;
		ended_run_process(owner, worker, end);
		ended.commit_mark = commit_newest_mark(owner->log);
		g_array_append_val(worker->ends, ended);
	}
	worker->stray_runs = 0;
	owner_account_strays_clear(worker);
	for (size_t i = 0; i < report->run_count; i++)
		reported_run_process(owner, worker, &report->runs[i], poll);
	if (worker->crash_pending)
		owner_crash_judge_deferred(owner, worker);
	owner_health_check_probe(worker);
	poll_wait_set(worker);
	stalled_tasks_stop(owner, worker);
	owner_throttle_worker(owner, worker);
	worker->has_more_ends = report->end_count >= OWNER_REPORT_ENDS_MAX;
	if (!worker->has_more_ends)
		missing_tasks_requeue(owner, worker, poll);
	if (marked_before == commit_newest_mark(owner->log))
		worker_ack_ends(worker, commit_durable_mark(owner->log));
	if (owner->has_unknown_tasks)
		owner_takeover_try_finish(owner);
	owner_schedule_request(owner);
}

static void refused_start_process(struct owner *owner, struct worker *worker,
				  struct job_task *task,
				  const struct adapter_reply *reply)
{
	bool gang_had_ended = task->group->gang_ended;
	struct job_group *group = task->group;
	bool live = owner_job_is_live(group->occurrence->job);
	uint64_t now_ms = loop_now_ms();

	owner->counters.starts_refused++;
	log_info("start-refused",
		 "task %s.%u.%u.%u run %u not started at worker %s: %s",
		 task->group->occurrence->job->id,
		 task->group->occurrence->number, task->group->step_index,
		 task->index, task->run, worker->id,
		 reply->err != ERR_NONE ? err_name(reply->err)
					: adapter_verdict_name(reply->verdict));
	if (reply->err == ERR_NONE && reply->verdict == ADAPTER_REFUSED_TICKET)
		owner_advice_ticket_drop(task->group, worker);
	if (reply->err != ERR_NONE ||
	    reply->verdict == ADAPTER_REFUSED_CAPACITY ||
	    reply->verdict == ADAPTER_REFUSED_BUSY)
		worker->pause_until_ms = now_ms + OWNER_REFUSAL_BACKOFF_MS;
	owner_task_requeue(owner, task,
			   reply->verdict == ADAPTER_REFUSED_STALE_RUN ||
					   group->step->is_gang
				   ? 0
				   : OWNER_RESTART_DELAY_MS,
			   JOB_REQUEUE_START_REFUSED);
	/* A member that never ran does not end its gang: it may still be
	 * started and join the others. The group of an ended job may have been
	 * freed by now. */
	if (live && (reply->err != ERR_NONE ||
		     reply->verdict != ADAPTER_REFUSED_STALE_RUN))
		group->gang_ended = gang_had_ended;
	/* A worker that refused has renewed its lease, and an unreachable one
	 * must be probed: poll it at once. */
	worker_poll_within(worker, 0);
}

static void on_start_answered(void *data, struct worker *worker,
			      const struct worker_order *order,
			      const struct adapter_reply *reply)
{
	struct owner *owner = data;
	struct job_task *task = owner_task_find_by_name(owner, order->task);

	if (task && reply->err == ERR_NONE &&
	    reply->verdict == ADAPTER_ACCEPTED)
		owner_task_mark_begun(owner, task);
	if (!task || task->worker != worker || task->run != order->run)
		return;
	task->start_in_flight = false;
	if (reply->err == ERR_NONE && reply->verdict == ADAPTER_ACCEPTED &&
	    (task->started_clock_ms == 0 ||
	     reply->clock_ms < task->started_clock_ms))
		task->started_clock_ms = reply->clock_ms;
	if (task->state != JOB_TASK_STARTING)
		return;
	if (reply->err == ERR_NONE && reply->verdict == ADAPTER_ACCEPTED) {
		job_task_set_state(task, JOB_TASK_RUNNING);
		task->last_seen_poll = worker->poll_serial;
		if (!owner_job_is_live(task->group->occurrence->job))
			owner_task_stop_ended(owner, task);
		worker_poll_within(worker, 0);
	} else if (reply->err == ERR_NONE || reply->err == ERR_CONNECT) {
		refused_start_process(owner, worker, task, reply);
	} else {
		owner->counters.starts_unanswered++;
		log_info("start-unanswered",
			 "task %s run %u at worker %s may have started, a poll "
			 "will show: %s",
			 order->task, order->run, worker->id,
			 err_name(reply->err));
		worker_resolve_orders(worker);
	}
}

static void on_worker_restarted(void *data, struct worker *worker)
{
	owner_worker_check_ownership(data, worker);
	/* It gets no tasks before its new entry has been read. */
	owner_workers_list(data);
	if (worker->end_judged)
		worker->unsuspected = false;
	else
		owner_crash_defer(worker);
	worker->end_judged = false;
}

static void on_worker_ended(void *data, struct worker *worker,
			    enum worker_end_cause cause)
{
	struct owner *owner = data;
	GPtrArray *convicted_jobs = owner_crash_process(
		owner, worker, worker->crash_pending ? WORKER_CRASHED : cause);

	worker->crash_pending = false;
	worker->end_judged = true;
	worker->unsuspected = false;
	while (worker->tasks->len > 0) {
		struct job_task *task = g_ptr_array_index(
			worker->tasks, worker->tasks->len - 1);

		owner->counters.tasks_lost++;
		owner_task_requeue_lost(owner, task,
					owner_trace_worker_cause(cause));
	}
	owner_account_strays_clear(worker);
	owner_crash_fail_jobs(owner, convicted_jobs);
	owner_health_save(owner, worker);
}

static void on_newer_owner_detected(void *data, const char *shown_by)
{
	struct owner *owner = data;

	if (owner->fenced)
		return;
	owner->fenced = true;
	owner_lease_trace_deposed(owner, shown_by);
	/* Deferred, because this may be called by a worker, which the owner
	 * frees when it steps down. */
	loop_timer_set(owner->config.loop, &owner->step_down_timer, 0);
}

static bool may_renew_leases(void *data)
{
	bool renews = owner_is_unchallenged(data, loop_now_ms());

	owner_lease_trace_renewal(data, renews);
	return renews;
}

const struct worker_ops owner_worker_ops = {
	.on_report = on_report,
	.on_started = on_start_answered,
	.on_restarted = on_worker_restarted,
	.on_ended = on_worker_ended,
	.on_deposed = on_newer_owner_detected,
	.may_renew = may_renew_leases,
};
