#include <string.h>

#include "log.h"
#include "owner_accounts.h"
#include "owner_advice.h"
#include "owner_schedule.h"
#include "owner_private.h"

const struct catalogue_queue *owner_job_queue(const struct owner *owner,
					      const struct job *job)
{
	const struct catalogue_queue *queue =
		catalogue_queue_find(owner->catalogue, job->queue);

	return queue || !job->spec ? queue : job->spec->queue;
}

void owner_queue_drop(struct owner *owner, const struct catalogue_queue *queue)
{
	guint live = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job *job = value;

		if (!owner_job_is_live(job) ||
		    strcmp(job->queue, queue->name) != 0)
			continue;
		live++;
		if (job_set_queue(job, queue))
			commit_mark_dirty(owner->log, job);
	}
	log_info("queue-dropped",
		 "the configuration drops queue %s of service %s, %u jobs are "
		 "carried on",
		 queue->name, queue->service, live);
}

bool owner_needs_service(const struct owner *owner, const char *service)
{
	if (catalogue_names_service(owner->catalogue, service))
		return true;
	for (guint i = 0; i < owner->live_occurrences->len; i++) {
		const struct job_occurrence *occurrence =
			g_ptr_array_index(owner->live_occurrences, i);
		const struct catalogue_queue *queue =
			owner_job_queue(owner, occurrence->job);

		if (queue && strcmp(queue->service, service) == 0)
			return true;
	}
	return false;
}

static int64_t task_cpu_milli(const struct job_task *task)
{
	const struct job_step *step = task->group->step;

	return step->is_best_effort ? 0 : step->need.cpu_milli;
}

void owner_task_assign(struct owner *owner, struct job_task *task,
		       struct worker *worker)
{
	const struct resources *need = &task->group->step->need;

	g_assert(!task->worker);
	task->worker = worker;
	task->end_unreported = false;
	worker->used.cpu_milli += task_cpu_milli(task);
	worker->used.memory_mb += need->memory_mb;
	worker->used.accelerators += need->accelerators;
	g_ptr_array_add(worker->tasks, task);
	owner_account_count_task(task, 1);
}

void owner_task_unassign(struct owner *owner, struct job_task *task)
{
	const struct resources *need = &task->group->step->need;
	struct worker *worker = task->worker;

	if (!worker)
		return;
	worker->used.cpu_milli -= task_cpu_milli(task);
	worker->used.memory_mb -= need->memory_mb;
	worker->used.accelerators -= need->accelerators;
	g_ptr_array_remove_fast(worker->tasks, task);
	owner_account_count_task(task, -1);
	task->worker = NULL;
	task->speed_percent = 0;
	task->last_seen_poll = 0;
	task->over_target_since_ms = 0;
	task->ordered_speed_percent = 100;
}

bool owner_job_is_live(const struct job *job)
{
	return job->state <= JOB_RUNNING;
}

static uint32_t group_release_unknown(const struct owner *owner,
				      struct job_group *group,
				      bool all_reported)
{
	uint32_t released = 0;

	for (uint32_t i = 0; i < group->step->count; i++) {
		struct job_task *task = &group->tasks[i];

		if (task->state != JOB_TASK_UNKNOWN)
			continue;
		owner_trace_requeue(owner, task, NULL, JOB_REQUEUE_TAKEOVER);
		job_task_set_state(task, JOB_TASK_WAITING);
		task->end_unreported = !all_reported;
		released++;
	}
	return released;
}

uint32_t owner_unknown_tasks_release(struct owner *owner, bool all_reported)
{
	uint32_t released = 0;

	for (guint i = 0; i < owner->live_occurrences->len; i++) {
		struct job_occurrence *occurrence =
			g_ptr_array_index(owner->live_occurrences, i);

		for (guint j = 0; j < occurrence->job->spec->steps->len; j++)
			released += group_release_unknown(
				owner, &occurrence->groups[j], all_reported);
	}
	return released;
}

/* Makes the waiting tasks of an occurrence unknown, since an earlier owner may
 * have begun it. */
static void occurrence_set_unknown(struct job_occurrence *occurrence)
{
	const GArray *steps = occurrence->job->spec->steps;

	for (guint i = 0; i < steps->len; i++) {
		struct job_group *group = &occurrence->groups[i];

		for (uint32_t j = 0; j < group->step->count; j++) {
			if (group->tasks[j].state == JOB_TASK_WAITING)
				job_task_set_state(&group->tasks[j],
						   JOB_TASK_UNKNOWN);
		}
	}
}

void owner_tasks_set_unknown(struct owner *owner)
{
	for (guint i = 0; i < owner->live_occurrences->len; i++)
		occurrence_set_unknown(
			g_ptr_array_index(owner->live_occurrences, i));
	owner->has_unknown_tasks = true;
}

struct job_task *owner_task_find_by_name(struct owner *owner, const char *name)
{
	struct job_occurrence *occurrence;
	struct job_task_id parts;
	struct job *job;

	if (!job_task_id_parse(name, &parts))
		return NULL;
	job = g_hash_table_lookup(owner->jobs, parts.job);
	if (!job || !job->spec || parts.step >= job->spec->steps->len)
		return NULL;
	occurrence = job_occurrence_find(job, parts.occurrence);
	if (!occurrence ||
	    parts.index >= occurrence->groups[parts.step].step->count)
		return NULL;
	return &occurrence->groups[parts.step].tasks[parts.index];
}

static struct predictor *queue_durations(struct owner *owner, const char *queue)
{
	struct predictor *state =
		g_hash_table_lookup(owner->duration_estimates, queue);

	if (!state) {
		state = g_new0(struct predictor, 1);
		g_hash_table_insert(owner->duration_estimates, g_strdup(queue),
				    state);
	}
	return state;
}

void owner_occurrence_add(struct owner *owner, struct job *job)
{
	struct job_occurrence *occurrence =
		job_occurrence_begin(job, loop_now_ms(), loop_unix_ms());
	const struct predictor *durations = queue_durations(owner, job->queue);
	const struct catalogue_queue *queue = owner_job_queue(owner, job);

	for (guint i = 0; i < job->spec->steps->len; i++)
		occurrence->groups[i].expected_ms = predictor_duration_ms(
			durations, occurrence->groups[i].step->estimate_ms);
	occurrence->critical_path_ms = job_critical_path_ms(occurrence, true);
	if (queue && !job->is_excess && owner_job_is_live(job))
		owner_demand_record(owner, queue->service, occurrence);
	occurrence->live_slot = owner->live_occurrences->len;
	g_ptr_array_add(owner->live_occurrences, occurrence);
	if (owner->has_unknown_tasks && job->is_restored)
		occurrence_set_unknown(occurrence);
}

static void live_occurrence_remove(struct owner *owner,
				   struct job_occurrence *occurrence)
{
	uint32_t slot = occurrence->live_slot;
	struct job_occurrence *moved;

	g_ptr_array_remove_index_fast(owner->live_occurrences, slot);
	if (slot >= owner->live_occurrences->len)
		return;
	moved = g_ptr_array_index(owner->live_occurrences, slot);
	moved->live_slot = slot;
}

static bool occurrence_has_no_workers(const struct job_occurrence *occurrence)
{
	const GArray *steps = occurrence->job->spec->steps;

	for (guint i = 0; i < steps->len; i++) {
		const struct job_group *group = &occurrence->groups[i];

		for (uint32_t j = 0; j < group->step->count; j++) {
			if (group->tasks[j].worker)
				return false;
		}
	}
	return true;
}

/* Frees the details of an ended job once none of its tasks is on a worker. */
static void job_trim_if_unassigned(struct owner *owner, struct job *job)
{
	bool has_kept_definition = job_outlives_end(job);

	/* A run that no worker has reported yet uses the job's account until it
	 * has been found and stopped. */
	if (owner->has_unknown_tasks && job->is_restored)
		return;
	for (guint i = 0; i < job->occurrences->len; i++) {
		if (!occurrence_has_no_workers(
			    g_ptr_array_index(job->occurrences, i)))
			return;
	}
	for (guint i = 0; i < job->occurrences->len; i++)
		live_occurrence_remove(owner,
				       g_ptr_array_index(job->occurrences, i));
	job_trim(job);
	if (has_kept_definition)
		commit_mark_dirty(owner->log, job);
}

void owner_ended_jobs_trim(struct owner *owner)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job *job = value;

		if (job->spec && !owner_job_is_live(job))
			job_trim_if_unassigned(owner, job);
	}
}

void owner_job_remove(struct owner *owner, struct job *job)
{
	if (job->spec) {
		for (guint i = 0; i < job->occurrences->len; i++)
			live_occurrence_remove(
				owner, g_ptr_array_index(job->occurrences, i));
	}
	g_hash_table_remove(owner->jobs, job->id);
}

void owner_task_stop(struct owner *owner, struct job_task *task,
		     const char *why)
{
	char name[JOB_TASK_NAME_BYTES];

	job_task_name(task, name);
	log_info("task-stop",
		 "task %s run %u at worker %s is to be stopped: %s", name,
		 task->run, task->worker->id, why);
	if (task->state == JOB_TASK_STARTING) {
		/* The start order may not have arrived: its outcome has to be
		 * known first. */
		worker_resolve_orders(task->worker);
		return;
	}
	job_task_set_state(task, JOB_TASK_STOPPING);
	worker_task_stop(task->worker, task);
}

bool owner_task_may_outlive_job(const struct job_task *task)
{
	const struct job *job = task->group->occurrence->job;
	const struct job_step *step = task->group->step;

	return job->state == JOB_FAILED && !job->is_abandoned &&
	       step->is_long_running && step->max_unavailable >= 0;
}

/* Returns whether a task whose job has ended may be stopped now. */
static bool end_allows_stop(const struct job_task *task)
{
	return !owner_task_may_outlive_job(task) || task->worker->draining ||
	       owner_task_disruption_is_allowed(task);
}

void owner_task_stop_ended(struct owner *owner, struct job_task *task)
{
	if (end_allows_stop(task))
		owner_task_stop(owner, task, "its job has ended");
}

static void occurrence_stop(struct owner *owner,
			    struct job_occurrence *occurrence)
{
	const GArray *steps = occurrence->job->spec->steps;

	for (guint i = 0; i < steps->len; i++) {
		struct job_group *group = &occurrence->groups[i];

		for (uint32_t j = 0; j < group->step->count; j++) {
			if (group->tasks[j].worker &&
			    group->tasks[j].state != JOB_TASK_STOPPING)
				owner_task_stop_ended(owner, &group->tasks[j]);
		}
	}
}

static void occurrences_stop(struct owner *owner, struct job *job)
{
	for (guint i = 0; i < job->occurrences->len; i++)
		occurrence_stop(owner, g_ptr_array_index(job->occurrences, i));
}

void owner_job_abandon(struct owner *owner, struct job *job)
{
	if (!job_outlives_end(job))
		return;
	job->is_abandoned = true;
	occurrences_stop(owner, job);
	commit_mark_dirty(owner->log, job);
}

void owner_job_finish(struct owner *owner, struct job *job,
		      enum job_state state, const char *why)
{
	g_autofree char *text = NULL;

	g_assert(owner_job_is_live(job));
	text = g_strdup_printf("job %s of queue %s %s after %" G_GUINT64_FORMAT
			       " ms, epoch %" G_GUINT64_FORMAT ": %s",
			       job->id, job->queue, job_state_name(state),
			       loop_now_ms() - job->accepted_ms, owner->epoch,
			       why);
	/* The rate limit of the log drops no warnings. */
	if (state == JOB_FAILED)
		log_warning("job-ended", "%s", text);
	else
		log_info("job-ended", "%s", text);
	job->state = state;
	job->ended_ms = loop_now_ms();
	owner->counters.succeeded += state == JOB_SUCCEEDED;
	owner->counters.failed += state == JOB_FAILED;
	owner->counters.cancelled += state == JOB_CANCELLED;
	occurrences_stop(owner, job);
	job_trim_if_unassigned(owner, job);
	commit_mark_dirty(owner->log, job);
}

/* Takes a task off its worker and makes it wait again, unless its job has
 * ended. */
void owner_task_requeue(struct owner *owner, struct job_task *task,
			uint32_t pause_ms, enum job_requeue_cause cause)
{
	owner_trace_requeue(owner, task, task->worker, cause);
	owner_task_unassign(owner, task);
	task->group->gang_ended = true;
	if (!owner_job_is_live(task->group->occurrence->job)) {
		job_trim_if_unassigned(owner, task->group->occurrence->job);
		return;
	}
	/* An earlier owner may have started the task on a worker that has not
	 * reported yet, or may be doing so now if it has received the same
	 * result. */
	if (owner->has_unknown_tasks && task->run <= owner_run_base(owner))
		job_task_set_state(task, JOB_TASK_UNKNOWN);
	else if (task->state != JOB_TASK_UNKNOWN)
		job_task_set_state(task, JOB_TASK_WAITING);
	task->not_before_ms = loop_now_ms() + pause_ms;
	owner_schedule_request(owner);
}

void owner_task_requeue_lost(struct owner *owner, struct job_task *task,
			     enum job_requeue_cause cause)
{
	task->end_unreported = true;
	owner_task_requeue(owner, task, 0, cause);
}

bool owner_task_may_start(const struct owner *owner,
			  const struct job_task *task)
{
	return !task->end_unreported || owner->ops->lease_is_valid(owner->data);
}

static void occurrence_finish(struct owner *owner,
			      struct job_occurrence *occurrence)
{
	struct job *job = occurrence->job;

	live_occurrence_remove(owner, occurrence);
	job_occurrence_end(occurrence);
	if (job->occurrences->len == 0 &&
	    job_next_due_unix_ms(job) == UINT64_MAX)
		owner_job_finish(owner, job, JOB_SUCCEEDED,
				 "all tasks are done");
	else
		commit_mark_dirty(owner->log, job);
}

/* Records how long a task took. The remaining tasks of its step are expected to
 * take as long as the mean of those that are done. */
void owner_task_record_duration(struct owner *owner, struct job_task *task)
{
	struct job_group *group = task->group;
	uint64_t took_ms = loop_now_ms() - task->ordered_ms;

	if (!task->worker || task->ordered_ms == 0)
		return;
	predictor_sample_add(
		queue_durations(owner, group->occurrence->job->queue), took_ms);
	group->total_duration_ms += took_ms;
	group->timed_tasks++;
	group->expected_ms =
		(uint32_t)(group->total_duration_ms / group->timed_tasks);
}

void owner_task_mark_begun(struct owner *owner, const struct job_task *task)
{
	struct job_occurrence *occurrence = task->group->occurrence;

	/* Of a run that an earlier owner has ordered, that owner logged it. */
	if (!occurrence->has_begun && task->ordered_ms != 0)
		log_info("job-begun",
			 "job %s occurrence %u of queue %s began after "
			 "%" G_GUINT64_FORMAT
			 " ms, configuration version %" G_GUINT64_FORMAT
			 ", expected critical path %u ms",
			 occurrence->job->id, occurrence->number,
			 occurrence->job->queue,
			 loop_now_ms() - occurrence->due_ms,
			 owner->catalogue->version,
			 occurrence->critical_path_ms);
	occurrence->has_begun = true;
	occurrence->job->has_begun = true;
}

/* Marks a task as done. If another run of it is still on a worker, the next
 * report of that worker causes it to be stopped. */
void owner_task_complete(struct owner *owner, struct job_task *task)
{
	struct job_occurrence *occurrence = task->group->occurrence;

	if (task->state == JOB_TASK_DONE)
		return;
	owner_task_unassign(owner, task);
	job_task_set_state(task, JOB_TASK_DONE);
	if (occurrence->groups_done == occurrence->job->spec->steps->len)
		occurrence_finish(owner, occurrence);
	else
		commit_mark_dirty(owner->log, occurrence->job);
	owner_schedule_request(owner);
}

void owner_gang_complete(struct owner *owner, struct job_group *group)
{
	uint32_t count = group->step->count;

	for (uint32_t i = 0; i < count; i++) {
		bool last = group->tasks_done + 1 == count;

		if (group->tasks[i].state == JOB_TASK_DONE)
			continue;
		owner_task_complete(owner, &group->tasks[i]);
		if (last)
			return;
	}
}

/* After a takeover, the results of several runs of a task may arrive in any
 * order, and repeatedly after they were stored: each failed run counts once. */
void owner_task_handle_failure(struct owner *owner, struct worker *worker,
			       struct job_task *task,
			       const struct adapter_run_end *end)
{
	struct job *job = task->group->occurrence->job;
	const struct catalogue_queue *queue = owner_job_queue(owner, job);
	bool is_long_running = task->group->step->is_long_running;
	uint32_t pause_ms = OWNER_RESTART_DELAY_MS;

	owner_health_record_failure(owner, worker);
	if (!is_long_running && job_task_count_failure(task, end->run)) {
		commit_mark_dirty(owner->log, job);
		pause_ms <<= MIN(job_task_failures(task), 5);
	}
	if (!is_long_running && queue &&
	    job_task_failures(task) >= queue->attempts) {
		owner_task_unassign(owner, task);
		owner_job_finish(owner, job, JOB_FAILED,
				 "a task failed in all its attempts");
	} else if (!task->worker || task->run == end->run) {
		owner_task_requeue(owner, task,
				   MIN(pause_ms, OWNER_RESTART_DELAY_MAX_MS),
				   JOB_REQUEUE_FAILED);
	}
}

bool owner_task_disruption_is_allowed(const struct job_task *task)
{
	const struct job_group *group = task->group;
	int32_t unavailable = 0;

	for (uint32_t i = 0; i < group->step->count; i++) {
		const struct job_task *other = &group->tasks[i];

		if (other != task &&
		    (other->state != JOB_TASK_RUNNING ||
		     other->speed_percent < other->ordered_speed_percent ||
		     !worker_is_reachable(other->worker) ||
		     !other->worker->has_reported))
			unavailable++;
	}
	return unavailable < MAX(group->step->max_unavailable, 1);
}
