#include <string.h>

#include "log.h"
#include "own_advice.h"
#include "own_private.h"

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

static void end_take(struct own_owner *owner, struct wrk_worker *worker,
		     const struct jpt_end *end)
{
	struct jtp_task *task = own_task_find(owner, end->task);
	bool current;

	owner->counters.ends[end->kind]++;
	if (end->kind == JPT_END_DONE || end->kind == JPT_END_STOPPED)
		log_debug("task-end", "%s run %u at %s: %s", end->task,
			  end->run, worker->id, jpt_end_name(end->kind));
	else
		log_info("task-end",
			 "%s run %u at %s, bad ends in a row %u: %s", end->task,
			 end->run, worker->id, worker->health.bad_in_row,
			 jpt_end_name(end->kind));
	if (!task || task->state == JTP_TASK_DONE)
		return;
	current = task->worker == worker && task->run == end->run;
	if (!own_job_is_live(task->group->occurrence->job)) {
		if (current)
			own_task_wait(owner, task, 0);
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
		own_duration_note(owner, task);
		if (task->group->step->is_gang)
			own_gang_done(owner, task->group);
		else
			own_task_done(owner, task);
	} else if (end->kind == JPT_END_FAILED) {
		own_task_failed(owner, worker, task, end);
	} else if (current) {
		own_task_wait(owner, task,
			      end->kind == JPT_END_STOPPED ? 0
							   : OWN_RESTART_MS);
	}
}

static void running_take(struct own_owner *owner, struct wrk_worker *worker,
			 const struct jpt_running *running, uint64_t clock_ms)
{
	struct jtp_task *task = own_task_find(owner, running->task);
	bool wanted = task && task->state != JTP_TASK_DONE &&
		      own_job_is_live(task->group->occurrence->job);

	if (wanted && !task->worker && running->run >= task->run) {
		owner->counters.tasks_adopted++;
		task->run = running->run;
		own_task_place(owner, task, worker);
		jtp_task_set_state(task, JTP_TASK_PRESENT);
		task->group->occurrence->begun = true;
		task->group->occurrence->job->begun = true;
		task->ordered_ms = loop_now_ms();
		task->group->gang_since_ms = loop_now_ms();
		task->group->gang_run = running->run;
	}
	if (!task || task->worker != worker || task->run != running->run) {
		g_assert(worker);
		owner->counters.strays++;
		log_info("stray-run", "%s run %u at %s is stopped",
			 running->task, running->run, worker->id);
		wrk_stop_stray(worker, running->task, running->run);
		/* It takes room that is not accounted for until it ends. */
		worker->pause_until_ms = loop_now_ms() + OWN_REFUSED_PAUSE_MS;
		return;
	}
	task->seen_in_report = owner->reports;
	if (task->state == JTP_TASK_STARTING)
		jtp_task_set_state(task, JTP_TASK_PRESENT);
	task->present_clock_ms = clock_ms;
	if (task->percent != running->percent)
		task->moved_ms = loop_now_ms();
	task->percent = running->percent;
	task->usage = running->usage;
	jtp_task_set_checkpoint(task, running->checkpoint);
	if (!wanted && task->state != JTP_TASK_STOPPING)
		own_task_stop(owner, task, "its job has ended");
	else if (task->state == JTP_TASK_STOPPING)
		/* An order to stop may have been lost; it does no harm twice.
		 */
		wrk_stop(worker, task);
}

/* Finds tasks that the worker should list and does not. */
static void missing_find(struct own_owner *owner, struct wrk_worker *worker,
			 const struct jpt_report *report, uint64_t look_fence)
{
	for (guint i = worker->tasks->len; i-- > 0;) {
		struct jtp_task *task;
		bool never_ran;
		bool lost;

		if (i >= worker->tasks->len)
			continue;
		task = g_ptr_array_index(worker->tasks, i);
		if (task->seen_in_report == owner->reports)
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
static void look_wait_set(struct wrk_worker *worker)
{
	bool starting = own_pace_is_needed(worker);
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
		worker->look_wait_ms = OWN_LOOK_SHORT_TASKS_MS;
	if (starting)
		worker->look_wait_ms = OWN_LOOK_STARTING_MS;
}

/* Takes tasks that stand still away from a worker. */
static void still_tasks_stop(struct own_owner *owner, struct wrk_worker *worker)
{
	uint64_t now_ms = loop_now_ms();

	for (guint i = 0; i < worker->tasks->len; i++) {
		struct jtp_task *task = g_ptr_array_index(worker->tasks, i);

		if (task->group->step->is_lasting ||
		    task->group->step->is_gang ||
		    task->state != JTP_TASK_PRESENT ||
		    task->taken_away >= OWN_TAKEN_AWAY_MAX ||
		    !hlt_stands_still(task->percent, now_ms - task->moved_ms))
			continue;
		task->taken_away++;
		hlt_bad(&worker->health, now_ms);
		owner->counters.stood_still++;
		own_task_stop(owner, task, "it stands still");
	}
}

static void on_report(void *data, struct wrk_worker *worker,
		      const struct jpt_report *report, uint64_t look_fence)
{
	struct own_owner *owner = data;
	uint64_t marked = cmt_marked(owner->log);

	owner->reports++;
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
	own_pace_worker(owner, worker);
	if (report->end_count < OWN_REPORT_ENDS_MAX)
		missing_find(owner, worker, report, look_fence);
	if (marked == cmt_marked(owner->log))
		wrk_stored(worker, cmt_committed(owner->log));
	if (owner->has_unknown)
		own_roster_settle(owner);
	own_plan_soon(owner);
}

static void start_refused(struct own_owner *owner, struct wrk_worker *worker,
			  struct jtp_task *task, const struct jpt_reply *reply)
{
	bool gang_was_over = task->group->gang_over;
	struct jtp_group *group = task->group;
	bool live = own_job_is_live(group->occurrence->job);
	uint64_t now_ms = loop_now_ms();

	owner->counters.starts_refused++;
	log_info("start-refused", "%s.%u.%u.%u run %u at %s: %s",
		 task->group->occurrence->job->id,
		 task->group->occurrence->number, task->group->step_index,
		 task->index, task->run, worker->id,
		 reply->err != ERR_NONE ? err_name(reply->err)
					: jpt_verdict_name(reply->verdict));
	if (reply->err == ERR_NONE && reply->verdict == JPT_REFUSED_TICKET)
		own_advice_refused(task->group, worker);
	if (reply->err != ERR_NONE || reply->verdict == JPT_REFUSED_ROOM ||
	    reply->verdict == JPT_REFUSED_BUSY)
		worker->pause_until_ms = now_ms + OWN_REFUSED_PAUSE_MS;
	own_task_wait(owner, task,
		      reply->verdict == JPT_REFUSED_OLD || group->step->is_gang
			      ? 0
			      : OWN_RESTART_MS);
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
	struct own_owner *owner = data;
	struct jtp_task *task = own_task_find(owner, order->task);

	if (!task || task->worker != worker || task->run != order->run)
		return;
	task->order_open = false;
	if (task->state != JTP_TASK_STARTING)
		return;
	if (reply->err == ERR_NONE && reply->verdict == JPT_TAKEN) {
		jtp_task_set_state(task, JTP_TASK_PRESENT);
		task->present_clock_ms = reply->clock_ms;
		if (!own_job_is_live(task->group->occurrence->job))
			own_task_stop(owner, task, "its job has ended");
		wrk_look_within(worker, 0);
	} else if (reply->err == ERR_NONE || reply->err == ERR_CONNECT) {
		start_refused(owner, worker, task, reply);
	} else {
		owner->counters.starts_unanswered++;
		log_info("start-unanswered", "%s run %u at %s: %s", order->task,
			 order->run, worker->id, err_name(reply->err));
		wrk_resolve(worker);
	}
}

static void on_life_changed(void *data, struct wrk_worker *worker)
{
	own_worker_met(data, worker);
	/* Clocks of the new incarnation are not those of the old one. */
	for (guint i = 0; i < worker->tasks->len; i++) {
		struct jtp_task *task = g_ptr_array_index(worker->tasks, i);

		task->present_clock_ms = 0;
	}
}

static void on_life_over(void *data, struct wrk_worker *worker)
{
	struct own_owner *owner = data;

	while (worker->tasks->len > 0) {
		struct jtp_task *task = g_ptr_array_index(
			worker->tasks, worker->tasks->len - 1);

		owner->counters.tasks_lost++;
		own_task_wait(owner, task, 0);
	}
	own_health_keep(owner, worker);
}

static void on_deposed(void *data)
{
	struct own_owner *owner = data;

	if (owner->fenced)
		return;
	owner->fenced = true;
	/* Not from within a call of a worker that this would free. */
	loop_timer_set(owner->config.loop, &owner->depose_timer, 0);
}

const struct wrk_ops own_worker_ops = {
	.on_report = on_report,
	.on_started = on_started,
	.on_life_changed = on_life_changed,
	.on_life_over = on_life_over,
	.on_deposed = on_deposed,
};
