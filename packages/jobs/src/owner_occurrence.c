#include "log.h"
#include "owner_private.h"

/* How far the time of day of two processes may differ. */
#define OWNER_CLOCK_SKEW_MAX_MS 10000
/* An earlier owner knew of ends that were not stored, so its live occurrences
 * may have followed others that are live again; bounds what a worker can make
 * the owner begin. */
#define OWNER_REPORTED_TASKS_MAX ((uint64_t)2 * JOB_TASKS_MAX)

/* Begins the occurrences of a scheduled job that are due. */
static void due_occurrences_begin(struct owner *owner, struct job *job)
{
	uint64_t unix_ms = loop_unix_ms();

	while (job->spec && job->spec->occurrence_count > 0 &&
	       owner_job_is_live(job) && job->is_sent && !job->in_flight &&
	       job_next_may_begin(job, unix_ms)) {
		owner_occurrence_add(owner, job);
		owner_schedule_request(owner);
	}
}

void owner_occurrences_begin_due(struct owner *owner)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		due_occurrences_begin(owner, value);
}

/* Returns whether an earlier owner may have begun the occurrence of a task that
 * this owner has not begun. */
static bool may_have_begun(const struct job *job,
			   const struct job_task_id *task)
{
	const struct job_spec *spec = job->spec;
	uint64_t tasks = 0;
	uint64_t live;

	if (!job->is_restored || task->occurrence < job->occurrences_begun ||
	    task->occurrence >= spec->occurrence_count ||
	    spec->first_run_unix_ms + task->occurrence * spec->interval_ms >
		    loop_unix_ms() + OWNER_CLOCK_SKEW_MAX_MS)
		return false;
	for (guint i = 0; i < spec->steps->len; i++)
		tasks += g_array_index(spec->steps, struct job_step, i).count;
	live = job->occurrences->len + task->occurrence -
	       job->occurrences_begun + 1;
	return live * tasks <= OWNER_REPORTED_TASKS_MAX;
}

void owner_occurrence_restore_reported(struct owner *owner, const char *name)
{
	struct job_task_id task;
	struct job *job;

	if (!job_task_id_parse(name, &task))
		return;
	job = g_hash_table_lookup(owner->jobs, task.job);
	if (!job || !job->spec || !owner_job_is_live(job) ||
	    !may_have_begun(job, &task))
		return;
	log_info("occurrence-restored",
		 "occurrence %u of job %s was begun by an earlier owner, as a "
		 "report of task %s shows; occurrences begun here %u",
		 task.occurrence, job->id, name, job->occurrences_begun);
	while (job->occurrences_begun <= task.occurrence)
		owner_occurrence_add(owner, job);
}
