#include "log.h"
#include "owner_private.h"
#include "throttle.h"

/* Time between two changes of one worker's pace: a change shows in the tail
 * figures, which cover half a second, only after it. */
#define OWN_PACE_GAP_MS 700

/* The serving task that is nearest to its target, or over it by the most. */
static const struct job_task *worst_serving(const struct worker *worker)
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

void own_pace_worker(struct owner *owner, struct worker *worker)
{
	const struct job_task *worst = worst_serving(worker);
	uint64_t now_ms = loop_now_ms();

	for (guint i = 0; i < worker->tasks->len; i++) {
		struct job_task *task = g_ptr_array_index(worker->tasks, i);
		uint32_t percent = 100;

		if (!task->group->step->is_best_effort ||
		    task->state != JOB_TASK_RUNNING ||
		    now_ms - task->speed_ordered_ms < OWN_PACE_GAP_MS)
			continue;
		if (worst)
			percent = throttle_next_percent(
				task->ordered_speed_percent, worst->usage,
				worst->group->step->latency_target_ms);
		/* A report that shows another share: the order was lost. */
		if (percent == task->ordered_speed_percent &&
		    task->speed_percent <= task->ordered_speed_percent)
			continue;
		log_info("task-paced",
			 "%s.%u.%u.%u at %s from %u to %u percent: tail %u of "
			 "%u ms",
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

bool own_pace_is_needed(const struct worker *worker)
{
	bool fills = false;

	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct job_task *task =
			g_ptr_array_index(worker->tasks, i);

		fills |= task->group->step->is_best_effort;
	}
	return fills && worst_serving(worker);
}
