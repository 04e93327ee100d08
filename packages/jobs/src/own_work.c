#include <string.h>

#include "lgx.h"
#include "own_advice.h"
#include "own_private.h"

/* Pause before a task that failed or was refused is started again; longer
 * after each failure, so that a worker that fails all has time to be seen. */
#define OWN_RESTART_MS 50
#define OWN_RESTART_MAX_MS 1000
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

const struct jcf_queue *own_queue_of(const struct own_owner *owner,
				     const struct jtp_job *job)
{
	return jcf_queue_find(owner->catalogue, job->queue);
}

static int64_t cpu_taken(const struct jtp_task *task)
{
	const struct jtp_step *step = task->group->step;

	return step->is_filler ? 0 : step->need.cpu_milli;
}

void own_task_place(struct own_owner *owner, struct jtp_task *task,
		    struct wrk_worker *worker)
{
	const struct jpt_room *need = &task->group->step->need;

	g_assert(!task->worker);
	task->worker = worker;
	worker->used.cpu_milli += cpu_taken(task);
	worker->used.memory_mb += need->memory_mb;
	worker->used.accelerators += need->accelerators;
	g_ptr_array_add(worker->tasks, task);
}

void own_task_unplace(struct own_owner *owner, struct jtp_task *task)
{
	const struct jpt_room *need = &task->group->step->need;
	struct wrk_worker *worker = task->worker;

	if (!worker)
		return;
	worker->used.cpu_milli -= cpu_taken(task);
	worker->used.memory_mb -= need->memory_mb;
	worker->used.accelerators -= need->accelerators;
	g_ptr_array_remove_fast(worker->tasks, task);
	task->worker = NULL;
	task->percent = 0;
	task->present_clock_ms = 0;
	task->over_since_ms = 0;
	task->pace_percent = 100;
}

static bool job_is_live(const struct jtp_job *job)
{
	return job->state <= JTP_RUNNING;
}

struct jtp_task *own_task_find(struct own_owner *owner, const char *name)
{
	struct jtp_occurrence *occurrence;
	struct jtp_name parts;
	struct jtp_job *job;

	if (!jtp_name_parse(name, &parts))
		return NULL;
	job = g_hash_table_lookup(owner->jobs, parts.job);
	if (!job || !job->spec || parts.step >= job->spec->steps->len)
		return NULL;
	occurrence = jtp_occurrence_find(job, parts.occurrence);
	if (!occurrence ||
	    parts.index >= occurrence->groups[parts.step].step->count)
		return NULL;
	return &occurrence->groups[parts.step].tasks[parts.index];
}

static struct lrn_state *learnt_of(struct own_owner *owner, const char *queue)
{
	struct lrn_state *state = g_hash_table_lookup(owner->learnt, queue);

	if (!state) {
		state = g_new0(struct lrn_state, 1);
		g_hash_table_insert(owner->learnt, g_strdup(queue), state);
	}
	return state;
}

void own_occurrence_add(struct own_owner *owner, struct jtp_job *job)
{
	struct jtp_occurrence *occurrence =
		jtp_occurrence_begin(job, evl_now_ms(), evl_unix_ms());
	const struct lrn_state *learnt = learnt_of(owner, job->queue);
	const struct jcf_queue *queue = own_queue_of(owner, job);

	for (guint i = 0; i < job->spec->steps->len; i++)
		occurrence->groups[i].expected_ms = lrn_expect_ms(
			learnt, occurrence->groups[i].step->estimate_ms);
	occurrence->whole_chain_ms = jtp_chain_ms(occurrence, true);
	if (queue)
		own_inflow_note(owner, queue->service, occurrence);
	occurrence->live_slot = owner->live->len;
	g_ptr_array_add(owner->live, occurrence);
}

static void live_remove(struct own_owner *owner,
			struct jtp_occurrence *occurrence)
{
	uint32_t slot = occurrence->live_slot;
	struct jtp_occurrence *moved;

	g_ptr_array_remove_index_fast(owner->live, slot);
	if (slot >= owner->live->len)
		return;
	moved = g_ptr_array_index(owner->live, slot);
	moved->live_slot = slot;
}

static bool occurrence_is_off_workers(const struct jtp_occurrence *occurrence)
{
	const GArray *steps = occurrence->job->spec->steps;

	for (guint i = 0; i < steps->len; i++) {
		const struct jtp_group *group = &occurrence->groups[i];

		for (uint32_t j = 0; j < group->step->count; j++) {
			if (group->tasks[j].worker)
				return false;
		}
	}
	return true;
}

/* Drops the details of an ended job once none of its tasks is on a worker. */
static void job_trim_if_off(struct own_owner *owner, struct jtp_job *job)
{
	for (guint i = 0; i < job->occurrences->len; i++) {
		if (!occurrence_is_off_workers(
			    g_ptr_array_index(job->occurrences, i)))
			return;
	}
	for (guint i = 0; i < job->occurrences->len; i++)
		live_remove(owner, g_ptr_array_index(job->occurrences, i));
	jtp_job_trim(job);
}

void own_job_remove(struct own_owner *owner, struct jtp_job *job)
{
	if (job->spec) {
		for (guint i = 0; i < job->occurrences->len; i++)
			live_remove(owner,
				    g_ptr_array_index(job->occurrences, i));
	}
	g_hash_table_remove(owner->jobs, job->id);
}

void own_task_stop(struct own_owner *owner, struct jtp_task *task,
		   const char *why)
{
	char name[JTP_TASK_NAME_BYTES];

	jtp_task_name(task, name);
	lgx_info("task-stop", "%s run %u at %s: %s", name, task->run,
		 task->worker->id, why);
	if (task->state == JTP_TASK_STARTING) {
		/* The order may not have arrived: settle it first. */
		wrk_resolve(task->worker);
		return;
	}
	jtp_task_set_state(task, JTP_TASK_STOPPING);
	wrk_stop(task->worker, task);
}

static void occurrence_stop(struct own_owner *owner,
			    struct jtp_occurrence *occurrence)
{
	const GArray *steps = occurrence->job->spec->steps;

	for (guint i = 0; i < steps->len; i++) {
		struct jtp_group *group = &occurrence->groups[i];

		for (uint32_t j = 0; j < group->step->count; j++) {
			if (group->tasks[j].worker &&
			    group->tasks[j].state != JTP_TASK_STOPPING)
				own_task_stop(owner, &group->tasks[j],
					      "its job has ended");
		}
	}
}

void own_job_finish(struct own_owner *owner, struct jtp_job *job,
		    enum jtp_state state, const char *why)
{
	static const char *const names[] = { "pending", "running", "succeeded",
					     "failed", "cancelled" };

	g_assert(job_is_live(job));
	lgx_info("job-ended",
		 "%s queue %s: %s after %" G_GUINT64_FORMAT " ms: %s", job->id,
		 job->queue, names[state], evl_now_ms() - job->accepted_ms,
		 why);
	job->state = state;
	job->ended_ms = evl_now_ms();
	owner->counters.succeeded += state == JTP_SUCCEEDED;
	owner->counters.failed += state == JTP_FAILED;
	owner->counters.cancelled += state == JTP_CANCELLED;
	for (guint i = 0; i < job->occurrences->len; i++)
		occurrence_stop(owner, g_ptr_array_index(job->occurrences, i));
	job_trim_if_off(owner, job);
	cmt_mark(owner->log, job);
}

/* A task is off its worker and its job has not ended: it waits again. */
static void task_wait(struct own_owner *owner, struct jtp_task *task,
		      uint32_t pause_ms)
{
	own_task_unplace(owner, task);
	task->group->gang_over = true;
	if (!job_is_live(task->group->occurrence->job)) {
		job_trim_if_off(owner, task->group->occurrence->job);
		return;
	}
	/* What an earlier owner ordered may run on a worker not yet seen. */
	if (task->state != JTP_TASK_UNKNOWN)
		jtp_task_set_state(task, JTP_TASK_WAITING);
	task->not_before_ms = evl_now_ms() + pause_ms;
	own_plan_soon(owner);
}

static void occurrence_finish(struct own_owner *owner,
			      struct jtp_occurrence *occurrence)
{
	struct jtp_job *job = occurrence->job;

	live_remove(owner, occurrence);
	jtp_occurrence_end(occurrence);
	if (job->occurrences->len == 0 &&
	    jtp_next_due_unix_ms(job) == UINT64_MAX)
		own_job_finish(owner, job, JTP_SUCCEEDED, "all tasks are done");
	else
		cmt_mark(owner->log, job);
}

/* Notes what a task took; the rest of its step is expected to take as long. */
static void duration_note(struct own_owner *owner, struct jtp_task *task)
{
	struct jtp_group *group = task->group;
	uint64_t took_ms = evl_now_ms() - task->ordered_ms;

	if (!task->worker || task->ordered_ms == 0)
		return;
	lrn_note(learnt_of(owner, group->occurrence->job->queue), took_ms);
	group->took_ms += took_ms;
	group->timed++;
	group->expected_ms = (uint32_t)(group->took_ms / group->timed);
}

/* Marks a task as done; its run, if any is left elsewhere, is stopped. */
static void task_done(struct own_owner *owner, struct jtp_task *task)
{
	struct jtp_occurrence *occurrence = task->group->occurrence;

	if (task->state == JTP_TASK_DONE)
		return;
	own_task_unplace(owner, task);
	jtp_task_set_state(task, JTP_TASK_DONE);
	occurrence->job->begun = true;
	if (occurrence->groups_done == occurrence->job->spec->steps->len)
		occurrence_finish(owner, occurrence);
	else
		cmt_mark(owner->log, occurrence->job);
	own_plan_soon(owner);
}

static void gang_done(struct own_owner *owner, struct jtp_group *group)
{
	uint32_t count = group->step->count;

	for (uint32_t i = 0; i < count; i++) {
		bool last = group->done + 1 == count;

		if (group->tasks[i].state == JTP_TASK_DONE)
			continue;
		task_done(owner, &group->tasks[i]);
		if (last)
			return;
	}
}

/* Ends of several runs may arrive in any order after a takeover, and again
 * after their record was stored: each run counts once. */
static void task_failed(struct own_owner *owner, struct wrk_worker *worker,
			struct jtp_task *task, const struct jpt_end *end)
{
	struct jtp_job *job = task->group->occurrence->job;
	const struct jcf_queue *queue = own_queue_of(owner, job);
	bool lasts = task->group->step->is_lasting;
	uint32_t pause_ms = OWN_RESTART_MS;

	job->begun = true;
	hlt_bad(&worker->health, evl_now_ms());
	if (!lasts && jtp_task_count_failure(task, end->run)) {
		cmt_mark(owner->log, job);
		pause_ms <<= MIN(jtp_task_failures(task), 5);
	}
	if (!lasts && queue && jtp_task_failures(task) >= queue->attempts) {
		own_task_unplace(owner, task);
		own_job_finish(owner, job, JTP_FAILED,
			       "a task has used up its attempts");
	} else if (!task->worker || task->run == end->run) {
		task_wait(owner, task, MIN(pause_ms, OWN_RESTART_MAX_MS));
	}
}

static void end_take(struct own_owner *owner, struct wrk_worker *worker,
		     const struct jpt_end *end)
{
	struct jtp_task *task = own_task_find(owner, end->task);
	bool current;

	owner->counters.ends[end->kind]++;
	lgx_debug("task-end", "%s run %u at %s: %s", end->task, end->run,
		  worker->id, jpt_end_name(end->kind));
	if (!task || task->state == JTP_TASK_DONE)
		return;
	current = task->worker == worker && task->run == end->run;
	if (!job_is_live(task->group->occurrence->job)) {
		if (current)
			task_wait(owner, task, 0);
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
		duration_note(owner, task);
		if (task->group->step->is_gang)
			gang_done(owner, task->group);
		else
			task_done(owner, task);
	} else if (end->kind == JPT_END_FAILED) {
		task_failed(owner, worker, task, end);
	} else if (current) {
		task_wait(owner, task,
			  end->kind == JPT_END_STOPPED ? 0 : OWN_RESTART_MS);
	}
}

static void running_take(struct own_owner *owner, struct wrk_worker *worker,
			 const struct jpt_running *running, uint64_t clock_ms)
{
	struct jtp_task *task = own_task_find(owner, running->task);
	bool wanted = task && task->state != JTP_TASK_DONE &&
		      job_is_live(task->group->occurrence->job);

	if (wanted && !task->worker && running->run >= task->run) {
		owner->counters.tasks_adopted++;
		task->run = running->run;
		own_task_place(owner, task, worker);
		jtp_task_set_state(task, JTP_TASK_PRESENT);
		task->group->occurrence->begun = true;
		task->group->occurrence->job->begun = true;
		task->ordered_ms = evl_now_ms();
		task->group->gang_since_ms = evl_now_ms();
		task->group->gang_run = running->run;
	}
	if (!task || task->worker != worker || task->run != running->run) {
		owner->counters.strays++;
		lgx_info("stray-run", "%s run %u at %s is stopped",
			 running->task, running->run, worker->id);
		wrk_stop_stray(worker, running->task, running->run);
		/* It takes room that is not accounted for until it ends. */
		worker->pause_until_ms = evl_now_ms() + OWN_REFUSED_PAUSE_MS;
		return;
	}
	task->seen_in_report = owner->reports;
	if (task->state == JTP_TASK_STARTING)
		jtp_task_set_state(task, JTP_TASK_PRESENT);
	task->present_clock_ms = clock_ms;
	if (task->percent != running->percent)
		task->moved_ms = evl_now_ms();
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
		never_ran = task->state == JTP_TASK_STARTING &&
			    task->fence < look_fence;
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
		task_wait(owner, task, 0);
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
	uint64_t now_ms = evl_now_ms();

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
	uint64_t now_ms = evl_now_ms();

	owner->counters.starts_refused++;
	lgx_info("start-refused", "%s.%u.%u.%u run %u at %s: %s",
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
	task_wait(owner, task,
		  reply->verdict == JPT_REFUSED_OLD || group->step->is_gang
			  ? 0
			  : OWN_RESTART_MS);
	/* A member that never ran may still join the others. */
	if (reply->err != ERR_NONE || reply->verdict != JPT_REFUSED_OLD)
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

	if (!task || task->worker != worker || task->run != order->run ||
	    task->state != JTP_TASK_STARTING)
		return;
	if (reply->err == ERR_NONE && reply->verdict == JPT_TAKEN) {
		jtp_task_set_state(task, JTP_TASK_PRESENT);
		task->present_clock_ms = reply->clock_ms;
		if (!job_is_live(task->group->occurrence->job))
			own_task_stop(owner, task, "its job has ended");
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
		task_wait(owner, task, 0);
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
	evl_timer_set(owner->config.loop, &owner->depose_timer, 0);
}

const struct wrk_ops own_worker_ops = {
	.on_report = on_report,
	.on_started = on_started,
	.on_life_changed = on_life_changed,
	.on_life_over = on_life_over,
	.on_deposed = on_deposed,
};
