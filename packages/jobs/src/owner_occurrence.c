#include "log.h"
#include "owner_private.h"

/* How far the time of day of two processes may differ. */
#define OWNER_CLOCK_SKEW_MAX_MS 10000
/* An earlier owner knew of ends that were not stored, so its live occurrences
 * may have followed others that are live again; bounds what a worker can make
 * the owner begin. */
#define OWNER_REPORTED_TASKS_MAX ((uint64_t)2 * JOB_TASKS_MAX)

void owner_occurrences_begin_due(struct owner *owner, struct job *job)
{
	while (job->spec && job->spec->occurrence_count > 0 &&
	       owner_job_is_live(job) && job->is_sent && !job->in_flight &&
	       job_next_may_begin(job, loop_unix_ms())) {
		owner_occurrence_add(owner, job);
		owner_schedule_request(owner);
	}
}

/* Returns whether an earlier owner may have begun the occurrence of a task that
 * this owner has not begun. */
static bool may_have_begun(const struct job *job,
			   const struct job_task_id *task)
{
	const struct job_spec *spec = job->spec;
	uint64_t live;

	if (!job->is_restored || task->occurrence < job->occurrences_begun ||
	    task->occurrence >= spec->occurrence_count ||
	    job_due_unix_ms(spec, task->occurrence) >
		    loop_unix_ms() + OWNER_CLOCK_SKEW_MAX_MS)
		return false;
	live = job->occurrences->len + task->occurrence -
	       job->occurrences_begun + 1;
	return live * job_spec_task_count(spec) <= OWNER_REPORTED_TASKS_MAX;
}

/* Begins the occurrence of a task that a worker reports, if an earlier owner
 * must have begun it: on its clock it was due, or it had room for it. */
static void reported_occurrence_begin(struct owner *owner, const char *name)
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

struct job_task *owner_task_find_reported(struct owner *owner, const char *name)
{
	struct job_task *task = owner_task_find_by_name(owner, name);

	if (task)
		return task;
	reported_occurrence_begin(owner, name);
	return owner_task_find_by_name(owner, name);
}
