#include "log.h"
#include "owner_private.h"

static const char *cause_name(enum worker_end_cause cause)
{
	static const char *const names[] = {
		[WORKER_CRASHED] = "crashed",
		[WORKER_REMOVED] = "moved, maintained or removed",
		[WORKER_LEASE_EXPIRED] = "unreachable",
	};

	return names[cause];
}

/* Time that a task had run when its worker was last known to run. */
static uint64_t task_age_ms(const struct worker *worker,
			    const struct job_task *task)
{
	uint64_t end_ms = worker->unanswered_since_ms
				  ? worker->unanswered_since_ms
				  : loop_now_ms();

	return end_ms > task->ordered_ms ? end_ms - task->ordered_ms : 0;
}

void owner_crash_log(struct owner *owner, const struct worker *worker,
		     enum worker_end_cause cause)
{
	if (cause == WORKER_CRASHED && worker->tasks->len > 0) {
		owner->counters.worker_crashes++;
		owner->counters.tasks_lost_in_crashes += worker->tasks->len;
	}
	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct job_task *task =
			g_ptr_array_index(worker->tasks, i);
		char name[JOB_TASK_NAME_BYTES];

		job_task_name(task, name);
		log_info("task-lost",
			 "task %s run %u ended with worker %s on VM %s (%s) "
			 "after %" G_GUINT64_FORMAT " ms, other tasks there %u",
			 name, task->run, worker->id,
			 worker->vm ? worker->vm : "unknown", cause_name(cause),
			 task_age_ms(worker, task), worker->tasks->len - 1);
	}
}
