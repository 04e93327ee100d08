#include <string.h>

#include "lgx.h"
#include "owner_advice.h"
#include "owner_private.h"

/* A worker that refused a start for want of room, or as unhealthy, gets no
 * further one for this long. */
#define OWNER_REFUSAL_BACKOFF_MS 300
/* How long a look waits for an end at a worker with tasks that end by
 * themselves, and at one with lasting tasks that are starting up. */
#define OWNER_POLL_WAIT_SHORT_TASKS_MS 700
#define OWNER_POLL_WAIT_STARTING_MS 400
/* A task is taken away from a worker this often, at most: it may just be long.
 */
#define OWNER_STALL_STOPS_MAX 2
/* A worker lists at most this many ends at once: a report with as many may
 * leave others out. */
#define OWNER_REPORT_ENDS_MAX 500

static void end_take(struct owner *owner, struct wrk_worker *worker,
		     const struct jpt_end *end)
{
	struct jtp_task *task = owner_task_find_by_name(owner, end->task);
	bool current;

	owner->counters.ends[end->kind]++;
	if (end->kind == JPT_END_DONE || end->kind == JPT_END_STOPPED)
		lgx_debug("task-end", "%s run %u at %s: %s", end->task,
			  end->run, worker->id, jpt_end_name(end->kind));
	else
		lgx_info("task-end",
			 "%s run %u at %s, bad ends in a row %u: %s", end->task,
			 end->run, worker->id, worker->health.bad_in_row,
			 jpt_end_name(end->kind));
	if (!task || task->state == JTP_TASK_DONE)
		return;
	current = task->worker == worker && task->run == end->run;
	if (!owner_job_is_live(task->group->occurrence->job)) {
		if (current)
			owner_task_requeue(owner, task, 0);
		return;
	}
	jtp_task_set_checkpoint(task, end->checkpoint);
	if (!task->worker && task->run < end->run)
		task->run = end->run;
	if (end->kind == JPT_END_DONE && !task->group->step->is_lasting) {
		/* Its worker's lease had run out, and a newer run is under
		 * way elsewhere: that one's end counts. */
		if (task->worker && !current)
			return;
		hlt_good(&worker->health);
		owner_task_record_duration(owner, task);
		if (task->group->step->is_gang)
			owner_gang_complete(owner, task->group);
		else
			owner_task_complete(owner, task);
	} else if (end->kind == JPT_END_FAILED) {
		owner_task_handle_failure(owner, worker, task, end);
	} else if (current) {
		owner_task_requeue(owner, task,
				   end->kind == JPT_END_STOPPED
					   ? 0
					   : OWNER_RESTART_DELAY_MS);
	}
}

static void running_take(struct owner *owner, struct wrk_worker *worker,
			 const struct jpt_running *running, uint64_t clock_ms)
{
	struct jtp_task *task = owner_task_find_by_name(owner, running->task);
	bool wanted = task && task->state != JTP_TASK_DONE &&
		      owner_job_is_live(task->group->occurrence->job);

	if (wanted && !task->worker && running->run >= task->run) {
		owner->counters.tasks_adopted++;
		task->run = running->run;
		owner_task_assign(owner, task, worker);
		jtp_task_set_state(task, JTP_TASK_PRESENT);
		task->group->occurrence->begun = true;
		task->group->occurrence->job->begun = true;
		task->ordered_ms = evl_now_ms();
		task->group->gang_since_ms = evl_now_ms();
		task->group->gang_run = running->run;
	}
	if (!task || task->worker != worker || task->run != running->run) {
		g_assert(worker);
		owner->counters.orphaned_runs++;
		lgx_info("stray-run", "%s run %u at %s is stopped",
			 running->task, running->run, worker->id);
		wrk_stop_stray(worker, running->task, running->run);
		/* It takes room that is not accounted for until it ends. */
		worker->pause_until_ms =
			evl_now_ms() + OWNER_REFUSAL_BACKOFF_MS;
		return;
	}
	task->seen_in_report = owner->report_serial;
	if (task->state == JTP_TASK_STARTING)
		jtp_task_set_state(task, JTP_TASK_PRESENT);
	task->present_clock_ms = clock_ms;
	if (task->percent != running->percent)
		task->moved_ms = evl_now_ms();
	task->percent = running->percent;
	task->usage = running->usage;
	jtp_task_set_checkpoint(task, running->checkpoint);
	if (!wanted && task->state != JTP_TASK_STOPPING)
		owner_task_stop(owner, task, "its job has ended");
	else if (task->state == JTP_TASK_STOPPING)
		/* An order to stop may have been lost; it does no harm twice.
		 */
		wrk_stop(worker, task);
}

/* Finds tasks that the worker should list and does not. */
static void missing_find(struct owner *owner, struct wrk_worker *worker,
			 const struct jpt_report *report, uint64_t look_fence)
{
	for (guint i = worker->tasks->len; i-- > 0;) {
		struct jtp_task *task;
		bool never_ran;
		bool lost;

		if (i >= worker->tasks->len)
			continue;
		task = g_ptr_array_index(worker->tasks, i);
		if (task->seen_in_report == owner->report_serial)
			continue;
		/* An order still on its way may reach the worker's next
		 * incarnation, which knows no token yet. */
		never_ran = task->state == JTP_TASK_STARTING &&
			    task->fence < look_fence && !task->order_open;
		lost = task->state != JTP_TASK_STARTING &&
		       task->present_clock_ms < report->clock_ms;
		if (!never_ran && !lost)
			continue;
		owner->counters.tasks_lost++;
		lgx_info("task-missing", "%s.%u.%u.%u run %u at %s: %s",
			 task->group->occurrence->job->id,
			 task->group->occurrence->number,
			 task->group->step_index, task->index, task->run,
			 worker->id, never_ran ? "order not taken" : "lost");
		owner_task_requeue(owner, task, 0);
	}
}

/* Sets how long the next look waits. A lasting task counts as at work once it
 * shows its whole share; a task that stands still must be seen in time. */
static void look_wait_set(struct wrk_worker *worker)
{
	bool starting = owner_throttle_is_needed(worker);
	bool short_tasks = false;

	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct jtp_task *task =
			g_ptr_array_index(worker->tasks, i);

		if (!task->group->step->is_lasting)
			short_tasks = true;
		else if (task->percent < task->pace_percent)
			starting = true;
	}
	worker->look_wait_ms = 0;
	if (short_tasks)
		worker->look_wait_ms = OWNER_POLL_WAIT_SHORT_TASKS_MS;
	if (starting)
		worker->look_wait_ms = OWNER_POLL_WAIT_STARTING_MS;
}

/* Takes tasks that stand still away from a worker. */
static void still_tasks_stop(struct owner *owner, struct wrk_worker *worker)
{
	uint64_t now_ms = evl_now_ms();

	for (guint i = 0; i < worker->tasks->len; i++) {
		struct jtp_task *task = g_ptr_array_index(worker->tasks, i);

		if (task->group->step->is_lasting ||
		    task->group->step->is_gang ||
		    task->state != JTP_TASK_PRESENT ||
		    task->taken_away >= OWNER_STALL_STOPS_MAX ||
		    !hlt_stands_still(task->percent, now_ms - task->moved_ms))
			continue;
		task->taken_away++;
		hlt_bad(&worker->health, now_ms);
		owner->counters.stalled++;
		owner_task_stop(owner, task, "it stands still");
	}
}

static void on_report(void *data, struct wrk_worker *worker,
		      const struct jpt_report *report, uint64_t look_fence)
{
	struct owner *owner = data;
	uint64_t marked = cmt_marked(owner->log);

	owner->report_serial++;
	owner->counters.reports++;
	for (size_t i = 0; i < report->end_count; i++) {
		const struct jpt_end *end = &report->ends[i];
		struct wrk_end taken = { .number = end->number };

		if (end->number <= worker->ends_seen)
			continue;
		worker->ends_seen = end->number;
		end_take(owner, worker, end);
		taken.ticket = cmt_marked(owner->log);
		g_array_append_val(worker->ends, taken);
	}
	for (size_t i = 0; i < report->running_count; i++)
		running_take(owner, worker, &report->running[i],
			     report->clock_ms);
	look_wait_set(worker);
	still_tasks_stop(owner, worker);
	owner_throttle_worker(owner, worker);
	if (report->end_count < OWNER_REPORT_ENDS_MAX)
		missing_find(owner, worker, report, look_fence);
	if (marked == cmt_marked(owner->log))
		wrk_stored(worker, cmt_committed(owner->log));
	if (owner->has_unplaced_tasks)
		owner_takeover_try_finish(owner);
	owner_schedule_request(owner);
}

static void start_refused(struct owner *owner, struct wrk_worker *worker,
			  struct jtp_task *task, const struct jpt_reply *reply)
{
	bool gang_was_over = task->group->gang_over;
	struct jtp_group *group = task->group;
	bool live = owner_job_is_live(group->occurrence->job);
	uint64_t now_ms = evl_now_ms();

	owner->counters.starts_refused++;
	lgx_info("start-refused", "%s.%u.%u.%u run %u at %s: %s",
		 task->group->occurrence->job->id,
		 task->group->occurrence->number, task->group->step_index,
		 task->index, task->run, worker->id,
		 reply->err != ERR_NONE ? err_name(reply->err)
					: jpt_verdict_name(reply->verdict));
	if (reply->err == ERR_NONE && reply->verdict == JPT_REFUSED_TICKET)
		owner_advice_refused(task->group, worker);
	if (reply->err != ERR_NONE || reply->verdict == JPT_REFUSED_ROOM ||
	    reply->verdict == JPT_REFUSED_BUSY)
		worker->pause_until_ms = now_ms + OWNER_REFUSAL_BACKOFF_MS;
	owner_task_requeue(owner, task,
			   reply->verdict == JPT_REFUSED_OLD ||
					   group->step->is_gang
				   ? 0
				   : OWNER_RESTART_DELAY_MS);
	/* A member that never ran may still join the others. A job that has
	 * ended may have been freed with its groups. */
	if (live &&
	    (reply->err != ERR_NONE || reply->verdict != JPT_REFUSED_OLD))
		group->gang_over = gang_was_over;
	/* A refused order has renewed the lease; a silent worker is probed. */
	wrk_look_within(worker, 0);
}

static void on_started(void *data, struct wrk_worker *worker,
		       const struct wrk_order *order,
		       const struct jpt_reply *reply)
{
	struct owner *owner = data;
	struct jtp_task *task = owner_task_find_by_name(owner, order->task);

	if (!task || task->worker != worker || task->run != order->run)
		return;
	task->order_open = false;
	if (task->state != JTP_TASK_STARTING)
		return;
	if (reply->err == ERR_NONE && reply->verdict == JPT_TAKEN) {
		jtp_task_set_state(task, JTP_TASK_PRESENT);
		task->present_clock_ms = reply->clock_ms;
		if (!owner_job_is_live(task->group->occurrence->job))
			owner_task_stop(owner, task, "its job has ended");
		wrk_look_within(worker, 0);
	} else if (reply->err == ERR_NONE || reply->err == ERR_CONNECT) {
		start_refused(owner, worker, task, reply);
	} else {
		owner->counters.starts_unanswered++;
		lgx_info("start-unanswered", "%s run %u at %s: %s", order->task,
			 order->run, worker->id, err_name(reply->err));
		wrk_resolve(worker);
	}
}

static void on_life_changed(void *data, struct wrk_worker *worker)
{
	owner_worker_check_lease(data, worker);
	/* Clocks of the new incarnation are not those of the old one. */
	for (guint i = 0; i < worker->tasks->len; i++) {
		struct jtp_task *task = g_ptr_array_index(worker->tasks, i);

		task->present_clock_ms = 0;
	}
}

static void on_life_over(void *data, struct wrk_worker *worker)
{
	struct owner *owner = data;

	while (worker->tasks->len > 0) {
		struct jtp_task *task = g_ptr_array_index(
			worker->tasks, worker->tasks->len - 1);

		owner->counters.tasks_lost++;
		owner_task_requeue(owner, task, 0);
	}
	owner_vm_health_save(owner, worker);
}

static void on_deposed(void *data)
{
	struct owner *owner = data;

	if (owner->fenced)
		return;
	owner->fenced = true;
	/* Not from within a call of a worker that this would free. */
	evl_timer_set(owner->config.loop, &owner->step_down_timer, 0);
}

const struct wrk_ops owner_worker_ops = {
	.on_report = on_report,
	.on_started = on_started,
	.on_life_changed = on_life_changed,
	.on_life_over = on_life_over,
	.on_deposed = on_deposed,
};
