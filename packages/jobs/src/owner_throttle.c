#include "log.h"
#include "owner_private.h"
#include "throttle.h"

/* Minimum interval between two changes of a task's speed. The tail latency that
 * a worker reports covers half a second, so the effect of a change shows only
 * after that. */
#define OWNER_THROTTLE_INTERVAL_MS 700

/* Returns the latency-sensitive task with the highest ratio of tail latency to
 * target, NULL if the worker has none. */
static const struct job_task *worst_latency_task(const struct worker *worker)
{
	const struct job_task *worst = NULL;

	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct job_task *task =
			g_ptr_array_index(worker->tasks, i);
		uint32_t target_ms = task->group->step->latency_target_ms;

		if (target_ms == 0 || task->group->step->is_best_effort ||
		    task->state != JOB_TASK_RUNNING)
			continue;
		if (!worst ||
		    (uint64_t)task->usage *
				    worst->group->step->latency_target_ms >
			    (uint64_t)worst->usage * target_ms)
			worst = task;
	}
	return worst;
}

void owner_throttle_worker(struct owner *owner, struct worker *worker)
{
	const struct job_task *worst = worst_latency_task(worker);
	uint64_t now_ms = loop_now_ms();

	for (guint i = 0; i < worker->tasks->len; i++) {
		struct job_task *task = g_ptr_array_index(worker->tasks, i);
		uint32_t percent = 100;

		if (!task->group->step->is_best_effort ||
		    task->state != JOB_TASK_RUNNING ||
		    now_ms - task->speed_ordered_ms <
			    OWNER_THROTTLE_INTERVAL_MS)
			continue;
		if (worst)
			percent = throttle_next_percent(
				task->ordered_speed_percent, worst->usage,
				worst->group->step->latency_target_ms);
		/* A reported speed above the ordered one means that the order
		 * was lost, so the order is sent again. */
		if (percent == task->ordered_speed_percent &&
		    task->speed_percent <= task->ordered_speed_percent)
			continue;
		log_info("task-share-set",
			 "speed of task %s.%u.%u.%u at worker %s changes "
			 "from %u to %u percent: tail latency %u ms, target %u "
			 "ms",
			 task->group->occurrence->job->id,
			 task->group->occurrence->number,
			 task->group->step_index, task->index, worker->id,
			 task->ordered_speed_percent, percent,
			 worst ? worst->usage : 0,
			 worst ? worst->group->step->latency_target_ms : 0);
		task->ordered_speed_percent = percent;
		task->speed_ordered_ms = now_ms;
		worker_task_set_speed(worker, task, percent);
	}
}

bool owner_throttle_is_needed(const struct worker *worker)
{
	bool has_best_effort = false;

	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct job_task *task =
			g_ptr_array_index(worker->tasks, i);

		has_best_effort |= task->group->step->is_best_effort;
	}
	return has_best_effort && worst_latency_task(worker);
}
