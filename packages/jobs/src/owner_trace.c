#include "log.h"
#include "owner_private.h"

static uint64_t age_ms(uint64_t since_ms)
{
	return since_ms == 0 ? 0 : loop_now_ms() - since_ms;
}

/* Size of a buffer for ordered_text(). */
#define ORDERED_TEXT_BYTES 32

static const char *ordered_text(const struct job_task *task,
				char out[static ORDERED_TEXT_BYTES])
{
	if (task->ordered_ms > 0)
		g_snprintf(out, ORDERED_TEXT_BYTES,
			   "%" G_GUINT64_FORMAT " ms ago",
			   age_ms(task->ordered_ms));
	else
		g_strlcpy(out, "by an earlier owner, if ever",
			  ORDERED_TEXT_BYTES);
	return out;
}

enum job_requeue_cause owner_trace_end_cause(enum adapter_end_kind kind)
{
	switch (kind) {
	case ADAPTER_END_FAILED:
		return JOB_REQUEUE_FAILED;
	case ADAPTER_END_LEASE_EXPIRED:
		return JOB_REQUEUE_LEASE_ENDED;
	case ADAPTER_END_GANG_BROKEN:
	case ADAPTER_END_GANG_INCOMPLETE:
		return JOB_REQUEUE_GANG_ENDED;
	/* Of successes, only those of long-running tasks are requeued. */
	case ADAPTER_END_DONE:
	case ADAPTER_END_STOPPED:
		return JOB_REQUEUE_STOPPED;
	}
	g_assert_not_reached();
}

enum job_requeue_cause owner_trace_worker_cause(enum worker_end_cause cause)
{
	switch (cause) {
	case WORKER_CRASHED:
		return JOB_REQUEUE_WORKER_CRASHED;
	case WORKER_REPLACED:
		return JOB_REQUEUE_WORKER_REPLACED;
	case WORKER_REMOVED:
		return JOB_REQUEUE_WORKER_REMOVED;
	case WORKER_LEASE_EXPIRED:
		return JOB_REQUEUE_WORKER_UNREACHABLE;
	}
	g_assert_not_reached();
}

void owner_trace_requeue(const struct owner *owner, struct job_task *task,
			 const struct worker *worker,
			 enum job_requeue_cause cause)
{
	struct job_requeue *requeue = &task->requeue;

	if (!worker && requeue->cause != JOB_REQUEUE_NONE)
		return;
	requeue->cause = cause;
	requeue->run = task->run;
	requeue->requeued_ms = loop_now_ms();
	requeue->lease_was_valid = owner->ops->lease_is_valid(owner->data);
	g_free(requeue->worker);
	requeue->worker = worker ? g_strdup(worker->id) : NULL;
}

/* By what the run was last known to exist. */
static const char *last_evidence(const struct job_task *task)
{
	if (task->last_seen_poll == 0)
		return "nothing";
	return task->seen_in_report > 0 ? "a report"
					: "the answer to its start";
}

enum job_requeue_cause owner_trace_missing(const struct owner *owner,
					   const struct worker *worker,
					   const struct job_task *task,
					   const struct worker_poll *poll,
					   bool never_started)
{
	enum job_requeue_cause cause = JOB_REQUEUE_NOT_IN_REPORT;
	char ordered[ORDERED_TEXT_BYTES];
	char name[JOB_TASK_NAME_BYTES];

	if (task->ordered_ms <= worker->restarted_ms)
		cause = JOB_REQUEUE_WORKER_RESTARTED;
	else if (never_started)
		cause = JOB_REQUEUE_START_NOT_EXECUTED;
	job_task_name(task, name);
	log_info("task-missing",
		 "task %s run %u does not run at worker %s and is requeued: "
		 "%s; ordered %s, poll %" G_GUINT64_FORMAT
		 " sent %" G_GUINT64_FORMAT
		 " ms ago, worker's clock %" G_GUINT64_FORMAT
		 ", run last seen by %s when poll %" G_GUINT64_FORMAT
		 " was the newest, epoch %" G_GUINT64_FORMAT
		 ", owner's lease %s",
		 name, task->run, worker->id, job_requeue_cause_name(cause),
		 ordered_text(task, ordered), poll->serial,
		 age_ms(worker->answered_poll_sent_ms), worker->clock_ms,
		 last_evidence(task), task->last_seen_poll, owner->epoch,
		 owner_lease_name(owner));
	return cause;
}

void owner_trace_start(struct owner *owner, struct job_task *task,
		       const struct worker *worker, uint32_t run)
{
	struct job_requeue *requeue = &task->requeue;
	enum job_requeue_cause cause = requeue->cause;
	char name[JOB_TASK_NAME_BYTES];
	char ordered[ORDERED_TEXT_BYTES];

	owner_lease_trace_start(owner, task, worker, run);
	requeue->cause = JOB_REQUEUE_NONE;
	if (cause == JOB_REQUEUE_NONE)
		return;
	/* All workers have reported, and none of them knew the task. */
	if (cause == JOB_REQUEUE_TAKEOVER && requeue->run == 0 &&
	    !task->end_unreported)
		return;
	owner->counters.restarts[cause]++;
	job_task_name(task, name);
	log_info("task-restart",
		 "task %s run %u is started at worker %s after run %u at "
		 "worker %s: %s, requeued %" G_GUINT64_FORMAT
		 " ms ago with the owner's lease %s, last ordered %s, its end "
		 "%s, epoch %" G_GUINT64_FORMAT ", owner's lease %s",
		 name, run, worker->id, requeue->run,
		 requeue->worker ? requeue->worker : "unknown",
		 job_requeue_cause_name(cause), age_ms(requeue->requeued_ms),
		 requeue->lease_was_valid ? "valid" : "not valid",
		 ordered_text(task, ordered),
		 task->end_unreported ? "not reported" : "accounted for",
		 owner->epoch, owner_lease_name(owner));
}

/* A repeated report of the success that counts is no second one. The run of a
 * gang that succeeded is not recorded for each member. */
static bool is_second_success(const struct job_task *task,
			      const struct adapter_run_end *end)
{
	if (end->kind != ADAPTER_END_DONE || task->group->step->is_long_running)
		return false;
	return task->state != JOB_TASK_DONE ||
	       (!task->group->step->is_gang && task->run != 0 &&
		task->run != end->run);
}

void owner_trace_superseded(struct owner *owner, const struct worker *worker,
			    const struct job_task *task,
			    const struct adapter_run_end *end)
{
	char ordered[ORDERED_TEXT_BYTES];

	if (!is_second_success(task, end))
		return;
	owner->counters.superseded_successes++;
	log_warning("superseded-success",
		    "task %s run %u succeeded at worker %s, and the result is "
		    "dropped and acknowledged: run %u %s%s is the current one, "
		    "ordered %s, worker's clock %" G_GUINT64_FORMAT
		    ", its lease until %" G_GUINT64_FORMAT
		    ", epoch %" G_GUINT64_FORMAT ", owner's lease %s",
		    end->task, end->run, worker->id, task->run,
		    task->worker ? "at worker " : "has succeeded and",
		    task->worker ? task->worker->id : "",
		    ordered_text(task, ordered), worker->clock_ms,
		    worker->lease_until_ms, owner->epoch,
		    owner_lease_name(owner));
}

static const char *unknown_why(const struct owner *owner, const char *task)
{
	struct job_task_id parts;
	const struct job *job;

	if (!job_task_id_parse(task, &parts))
		return "its name is malformed";
	job = g_hash_table_lookup(owner->jobs, parts.job);
	if (!job)
		return "its job is unknown";
	if (job->state == JOB_SUCCEEDED)
		return "its job has succeeded";
	if (!owner_job_is_live(job))
		return "its job has failed or was cancelled";
	return "its occurrence has ended, has not begun or lacks it";
}

void owner_trace_unknown_end(struct owner *owner, const struct worker *worker,
			     const struct adapter_run_end *end)
{
	owner->counters.unknown_ends++;
	log_info("unknown-end",
		 "task %s run %u ended at worker %s, which is acknowledged "
		 "without effect: %s; kind %s, epoch %" G_GUINT64_FORMAT
		 ", owner's lease %s",
		 end->task, end->run, worker->id, unknown_why(owner, end->task),
		 adapter_end_name(end->kind), owner->epoch,
		 owner_lease_name(owner));
}
