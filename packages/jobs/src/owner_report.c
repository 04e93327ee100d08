#include <string.h>

#include "log.h"
#include "owner_advice.h"
#include "owner_private.h"

/* A worker that refused a start for want of room, or as unhealthy, gets no
 * further one for this long. */
#define OWN_REFUSED_PAUSE_MS 300
/* How long a look waits for an end at a worker with tasks that end by
 * themselves, and at one with lasting tasks that are starting up. */
#define OWN_LOOK_SHORT_TASKS_MS 700
#define OWN_LOOK_STARTING_MS 400
/* A task is taken away from a worker this often, at most: it may just be long.
 */
#define OWN_TAKEN_AWAY_MAX 2
/* A worker lists at most this many ends at once: a report with as many may
 * leave others out. */
#define OWN_REPORT_ENDS_MAX 500

static void end_take(struct owner *owner, struct worker *worker,
		     const struct adapter_run_end *end)
{
	struct job_task *task = own_task_find(owner, end->task);
	bool current;

	owner->counters.ends[end->kind]++;
	if (end->kind == ADAPTER_END_DONE || end->kind == ADAPTER_END_STOPPED)
		log_debug("task-end", "%s run %u at %s: %s", end->task,
			  end->run, worker->id, adapter_end_name(end->kind));
	else
		log_info("task-end",
			 "%s run %u at %s, bad ends in a row %u: %s", end->task,
			 end->run, worker->id,
			 worker->health.consecutive_failures,
			 adapter_end_name(end->kind));
	if (!task || task->state == JOB_TASK_DONE)
		return;
	current = task->worker == worker && task->run == end->run;
	if (!own_job_is_live(task->group->occurrence->job)) {
		if (current)
			own_task_wait(owner, task, 0);
		return;
	}
	job_task_set_checkpoint(task, end->checkpoint);
	if (!task->worker && task->run < end->run)
		task->run = end->run;
	if (end->kind == ADAPTER_END_DONE &&
	    !task->group->step->is_long_running) {
		/* Its worker's lease had run out, and a newer run is under
		 * way elsewhere: that one's end counts. */
		if (task->worker && !current)
			return;
		breaker_record_success(&worker->health);
		own_duration_note(owner, task);
		if (task->group->step->is_gang)
			own_gang_done(owner, task->group);
		else
			own_task_done(owner, task);
	} else if (end->kind == ADAPTER_END_FAILED) {
		own_task_failed(owner, worker, task, end);
	} else if (current) {
		own_task_wait(
			owner, task,
			end->kind == ADAPTER_END_STOPPED ? 0 : OWN_RESTART_MS);
	}
}

static void running_take(struct owner *owner, struct worker *worker,
			 const struct adapter_run *running, uint64_t clock_ms)
{
	struct job_task *task = own_task_find(owner, running->task);
	bool wanted = task && task->state != JOB_TASK_DONE &&
		      own_job_is_live(task->group->occurrence->job);

	if (wanted && !task->worker && running->run >= task->run) {
		owner->counters.tasks_adopted++;
		task->run = running->run;
		own_task_place(owner, task, worker);
		job_task_set_state(task, JOB_TASK_RUNNING);
		task->group->occurrence->has_started = true;
		task->group->occurrence->job->has_started = true;
		task->ordered_ms = loop_now_ms();
		task->group->gang_since_ms = loop_now_ms();
		task->group->gang_run = running->run;
	}
	if (!task || task->worker != worker || task->run != running->run) {
		g_assert(worker);
		owner->counters.strays++;
		log_info("stray-run", "%s run %u at %s is stopped",
			 running->task, running->run, worker->id);
		worker_run_stop(worker, running->task, running->run);
		/* It takes room that is not accounted for until it ends. */
		worker->pause_until_ms = loop_now_ms() + OWN_REFUSED_PAUSE_MS;
		return;
	}
	task->seen_in_report = owner->reports;
	if (task->state == JOB_TASK_STARTING)
		job_task_set_state(task, JOB_TASK_RUNNING);
	task->present_clock_ms = clock_ms;
	if (task->speed_percent != running->speed_percent)
		task->speed_changed_ms = loop_now_ms();
	task->speed_percent = running->speed_percent;
	task->usage = running->usage;
	job_task_set_checkpoint(task, running->checkpoint);
	if (!wanted && task->state != JOB_TASK_STOPPING)
		own_task_stop(owner, task, "its job has ended");
	else if (task->state == JOB_TASK_STOPPING)
		/* An order to stop may have been lost; it does no harm twice.
		 */
		worker_task_stop(worker, task);
}

/* Finds tasks that the worker should list and does not. */
static void missing_find(struct owner *owner, struct worker *worker,
			 const struct adapter_report *report,
			 uint64_t look_fence)
{
	for (guint i = worker->tasks->len; i-- > 0;) {
		struct job_task *task;
		bool never_ran;
		bool lost;

		if (i >= worker->tasks->len)
			continue;
		task = g_ptr_array_index(worker->tasks, i);
		if (task->seen_in_report == owner->reports)
			continue;
		/* An order still on its way may reach the worker's next
		 * incarnation, which knows no token yet. */
		never_ran = task->state == JOB_TASK_STARTING &&
			    task->fence < look_fence && !task->start_in_flight;
		lost = task->state != JOB_TASK_STARTING &&
		       task->present_clock_ms < report->clock_ms;
		if (!never_ran && !lost)
			continue;
		owner->counters.tasks_lost++;
		log_info("task-missing", "%s.%u.%u.%u run %u at %s: %s",
			 task->group->occurrence->job->id,
			 task->group->occurrence->number,
			 task->group->step_index, task->index, task->run,
			 worker->id, never_ran ? "order not taken" : "lost");
		own_task_wait(owner, task, 0);
	}
}

/* Sets how long the next look waits. A lasting task counts as at work once it
 * shows its whole share; a task that stands still must be seen in time. */
static void look_wait_set(struct worker *worker)
{
	bool starting = own_pace_is_needed(worker);
	bool short_tasks = false;

	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct job_task *task =
			g_ptr_array_index(worker->tasks, i);

		if (!task->group->step->is_long_running)
			short_tasks = true;
		else if (task->speed_percent < task->ordered_speed_percent)
			starting = true;
	}
	worker->poll_wait_ms = 0;
	if (short_tasks)
		worker->poll_wait_ms = OWN_LOOK_SHORT_TASKS_MS;
	if (starting)
		worker->poll_wait_ms = OWN_LOOK_STARTING_MS;
}

/* Takes tasks that stand still away from a worker. */
static void still_tasks_stop(struct owner *owner, struct worker *worker)
{
	uint64_t now_ms = loop_now_ms();

	for (guint i = 0; i < worker->tasks->len; i++) {
		struct job_task *task = g_ptr_array_index(worker->tasks, i);

		if (task->group->step->is_long_running ||
		    task->group->step->is_gang ||
		    task->state != JOB_TASK_RUNNING ||
		    task->stall_evictions >= OWN_TAKEN_AWAY_MAX ||
		    !breaker_task_is_stalled(task->speed_percent,
					     now_ms - task->speed_changed_ms))
			continue;
		task->stall_evictions++;
		breaker_record_failure(&worker->health, now_ms);
		owner->counters.stood_still++;
		own_task_stop(owner, task, "it stands still");
	}
}

static void on_report(void *data, struct worker *worker,
		      const struct adapter_report *report, uint64_t look_fence)
{
	struct owner *owner = data;
	uint64_t marked = commit_newest_mark(owner->log);

	owner->reports++;
	owner->counters.reports++;
	for (size_t i = 0; i < report->end_count; i++) {
		const struct adapter_run_end *end = &report->ends[i];
		struct worker_end taken = { .number = end->number };

		if (end->number <= worker->ends_seen)
			continue;
		worker->ends_seen = end->number;
		end_take(owner, worker, end);
		taken.commit_mark = commit_newest_mark(owner->log);
		g_array_append_val(worker->ends, taken);
	}
	for (size_t i = 0; i < report->run_count; i++)
		running_take(owner, worker, &report->runs[i], report->clock_ms);
	look_wait_set(worker);
	still_tasks_stop(owner, worker);
	own_pace_worker(owner, worker);
	if (report->end_count < OWN_REPORT_ENDS_MAX)
		missing_find(owner, worker, report, look_fence);
	if (marked == commit_newest_mark(owner->log))
		worker_ack_ends(worker, commit_durable_mark(owner->log));
	if (owner->has_unknown)
		own_roster_settle(owner);
	own_plan_soon(owner);
}

static void start_refused(struct owner *owner, struct worker *worker,
			  struct job_task *task,
			  const struct adapter_reply *reply)
{
	bool gang_was_over = task->group->gang_ended;
	struct job_group *group = task->group;
	bool live = own_job_is_live(group->occurrence->job);
	uint64_t now_ms = loop_now_ms();

	owner->counters.starts_refused++;
	log_info("start-refused", "%s.%u.%u.%u run %u at %s: %s",
		 task->group->occurrence->job->id,
		 task->group->occurrence->number, task->group->step_index,
		 task->index, task->run, worker->id,
		 reply->err != ERR_NONE ? err_name(reply->err)
					: adapter_verdict_name(reply->verdict));
	if (reply->err == ERR_NONE && reply->verdict == ADAPTER_REFUSED_TICKET)
		own_advice_refused(task->group, worker);
	if (reply->err != ERR_NONE ||
	    reply->verdict == ADAPTER_REFUSED_CAPACITY ||
	    reply->verdict == ADAPTER_REFUSED_BUSY)
		worker->pause_until_ms = now_ms + OWN_REFUSED_PAUSE_MS;
	own_task_wait(owner, task,
		      reply->verdict == ADAPTER_REFUSED_STALE_RUN ||
				      group->step->is_gang
			      ? 0
			      : OWN_RESTART_MS);
	/* A member that never ran may still join the others. A job that has
	 * ended may have been freed with its groups. */
	if (live && (reply->err != ERR_NONE ||
		     reply->verdict != ADAPTER_REFUSED_STALE_RUN))
		group->gang_ended = gang_was_over;
	/* A refused order has renewed the lease; a silent worker is probed. */
	worker_poll_within(worker, 0);
}

static void on_started(void *data, struct worker *worker,
		       const struct worker_order *order,
		       const struct adapter_reply *reply)
{
	struct owner *owner = data;
	struct job_task *task = own_task_find(owner, order->task);

	if (!task || task->worker != worker || task->run != order->run)
		return;
	task->start_in_flight = false;
	if (task->state != JOB_TASK_STARTING)
		return;
	if (reply->err == ERR_NONE && reply->verdict == ADAPTER_ACCEPTED) {
		job_task_set_state(task, JOB_TASK_RUNNING);
		task->present_clock_ms = reply->clock_ms;
		if (!own_job_is_live(task->group->occurrence->job))
			own_task_stop(owner, task, "its job has ended");
		worker_poll_within(worker, 0);
	} else if (reply->err == ERR_NONE || reply->err == ERR_CONNECT) {
		start_refused(owner, worker, task, reply);
	} else {
		owner->counters.starts_unanswered++;
		log_info("start-unanswered", "%s run %u at %s: %s", order->task,
			 order->run, worker->id, err_name(reply->err));
		worker_resolve_orders(worker);
	}
}

static void on_life_changed(void *data, struct worker *worker)
{
	own_worker_met(data, worker);
	/* Clocks of the new incarnation are not those of the old one. */
	for (guint i = 0; i < worker->tasks->len; i++) {
		struct job_task *task = g_ptr_array_index(worker->tasks, i);

		task->present_clock_ms = 0;
	}
}

static void on_life_over(void *data, struct worker *worker)
{
	struct owner *owner = data;

	while (worker->tasks->len > 0) {
		struct job_task *task = g_ptr_array_index(
			worker->tasks, worker->tasks->len - 1);

		owner->counters.tasks_lost++;
		own_task_wait(owner, task, 0);
	}
	own_health_keep(owner, worker);
}

static void on_deposed(void *data)
{
	struct owner *owner = data;

	if (owner->fenced)
		return;
	owner->fenced = true;
	/* Not from within a call of a worker that this would free. */
	loop_timer_set(owner->config.loop, &owner->depose_timer, 0);
}

const struct worker_ops own_worker_ops = {
	.on_report = on_report,
	.on_started = on_started,
	.on_restarted = on_life_changed,
	.on_ended = on_life_over,
	.on_deposed = on_deposed,
};
