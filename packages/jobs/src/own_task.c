#include <string.h>

#include "log.h"
#include "own_advice.h"
#include "own_plan.h"
#include "own_private.h"

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

bool own_job_is_live(const struct jtp_job *job)
{
	return job->state <= JTP_RUNNING;
}

/* Sets the state of tasks of one occurrence that are in another one. */
static uint32_t occurrence_restate(struct jtp_occurrence *occurrence,
				   enum jtp_task_state from,
				   enum jtp_task_state to)
{
	const GArray *steps = occurrence->job->spec->steps;
	uint32_t changed = 0;

	for (guint i = 0; i < steps->len; i++) {
		struct jtp_group *group = &occurrence->groups[i];

		for (uint32_t j = 0; j < group->step->count; j++) {
			if (group->tasks[j].state != from)
				continue;
			jtp_task_set_state(&group->tasks[j], to);
			changed++;
		}
	}
	return changed;
}

uint32_t own_tasks_restate(struct own_owner *owner, enum jtp_task_state from,
			   enum jtp_task_state to)
{
	uint32_t changed = 0;

	for (guint i = 0; i < owner->live->len; i++)
		changed += occurrence_restate(g_ptr_array_index(owner->live, i),
					      from, to);
	return changed;
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
		jtp_occurrence_begin(job, loop_now_ms(), loop_unix_ms());
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
	log_info("task-stop", "%s run %u at %s: %s", name, task->run,
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

	g_assert(own_job_is_live(job));
	log_info("job-ended",
		 "%s queue %s: %s after %" G_GUINT64_FORMAT " ms: %s", job->id,
		 job->queue, names[state], loop_now_ms() - job->accepted_ms,
		 why);
	job->state = state;
	job->ended_ms = loop_now_ms();
	owner->counters.succeeded += state == JTP_SUCCEEDED;
	owner->counters.failed += state == JTP_FAILED;
	owner->counters.cancelled += state == JTP_CANCELLED;
	for (guint i = 0; i < job->occurrences->len; i++)
		occurrence_stop(owner, g_ptr_array_index(job->occurrences, i));
	job_trim_if_off(owner, job);
	cmt_mark(owner->log, job);
}

/* A task is off its worker and its job has not ended: it waits again. */
void own_task_wait(struct own_owner *owner, struct jtp_task *task,
		   uint32_t pause_ms)
{
	own_task_unplace(owner, task);
	task->group->gang_over = true;
	if (!own_job_is_live(task->group->occurrence->job)) {
		job_trim_if_off(owner, task->group->occurrence->job);
		return;
	}
	/* An earlier owner may have ordered it at a worker not yet seen, or may
	 * do so now, as it learns of the same end. */
	if (owner->has_unknown && task->run <= own_run_base(owner))
		jtp_task_set_state(task, JTP_TASK_UNKNOWN);
	else if (task->state != JTP_TASK_UNKNOWN)
		jtp_task_set_state(task, JTP_TASK_WAITING);
	task->not_before_ms = loop_now_ms() + pause_ms;
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
void own_duration_note(struct own_owner *owner, struct jtp_task *task)
{
	struct jtp_group *group = task->group;
	uint64_t took_ms = loop_now_ms() - task->ordered_ms;

	if (!task->worker || task->ordered_ms == 0)
		return;
	lrn_note(learnt_of(owner, group->occurrence->job->queue), took_ms);
	group->took_ms += took_ms;
	group->timed++;
	group->expected_ms = (uint32_t)(group->took_ms / group->timed);
}

/* Marks a task as done; its run, if any is left elsewhere, is stopped. */
void own_task_done(struct own_owner *owner, struct jtp_task *task)
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

void own_gang_done(struct own_owner *owner, struct jtp_group *group)
{
	uint32_t count = group->step->count;

	for (uint32_t i = 0; i < count; i++) {
		bool last = group->done + 1 == count;

		if (group->tasks[i].state == JTP_TASK_DONE)
			continue;
		own_task_done(owner, &group->tasks[i]);
		if (last)
			return;
	}
}

/* Ends of several runs may arrive in any order after a takeover, and again
 * after their record was stored: each run counts once. */
void own_task_failed(struct own_owner *owner, struct wrk_worker *worker,
		     struct jtp_task *task, const struct jpt_end *end)
{
	struct jtp_job *job = task->group->occurrence->job;
	const struct jcf_queue *queue = own_queue_of(owner, job);
	bool lasts = task->group->step->is_lasting;
	uint32_t pause_ms = OWN_RESTART_MS;

	job->begun = true;
	hlt_bad(&worker->health, loop_now_ms());
	if (!lasts && jtp_task_count_failure(task, end->run)) {
		cmt_mark(owner->log, job);
		pause_ms <<= MIN(jtp_task_failures(task), 5);
	}
	if (!lasts && queue && jtp_task_failures(task) >= queue->attempts) {
		own_task_unplace(owner, task);
		own_job_finish(owner, job, JTP_FAILED,
			       "a task has used up its attempts");
	} else if (!task->worker || task->run == end->run) {
		own_task_wait(owner, task, MIN(pause_ms, OWN_RESTART_MAX_MS));
	}
}
