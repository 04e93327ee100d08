#include "log.h"
#include "own_private.h"
#include "pac.h"

/* Time between two changes of one worker's pace: a change shows in the tail
 * figures, which cover half a second, only after it. */
#define OWN_PACE_GAP_MS 700

/* The serving task that is nearest to its target, or over it by the most. */
static const struct jtp_task *worst_serving(const struct wrk_worker *worker)
{
	const struct jtp_task *worst = NULL;

	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct jtp_task *task =
			g_ptr_array_index(worker->tasks, i);
		uint32_t target_ms = task->group->step->target_ms;

		if (target_ms == 0 || task->group->step->is_filler ||
		    task->state != JTP_TASK_PRESENT)
			continue;
		if (!worst ||
		    (uint64_t)task->usage * worst->group->step->target_ms >
			    (uint64_t)worst->usage * target_ms)
			worst = task;
	}
	return worst;
}

void own_pace_worker(struct own_owner *owner, struct wrk_worker *worker)
{
	const struct jtp_task *worst = worst_serving(worker);
	uint64_t now_ms = loop_now_ms();

	for (guint i = 0; i < worker->tasks->len; i++) {
		struct jtp_task *task = g_ptr_array_index(worker->tasks, i);
		uint32_t percent = 100;

		if (!task->group->step->is_filler ||
		    task->state != JTP_TASK_PRESENT ||
		    now_ms - task->paced_ms < OWN_PACE_GAP_MS)
			continue;
		if (worst)
			percent = pac_next(task->pace_percent, worst->usage,
					   worst->group->step->target_ms);
		/* A report that shows another share: the order was lost. */
		if (percent == task->pace_percent &&
		    task->percent <= task->pace_percent)
			continue;
		log_info("task-paced",
			 "%s.%u.%u.%u at %s from %u to %u percent: tail %u of "
			 "%u ms",
			 task->group->occurrence->job->id,
			 task->group->occurrence->number,
			 task->group->step_index, task->index, worker->id,
			 task->pace_percent, percent, worst ? worst->usage : 0,
			 worst ? worst->group->step->target_ms : 0);
		task->pace_percent = percent;
		task->paced_ms = now_ms;
		wrk_pace(worker, task, percent);
	}
}

bool own_pace_is_needed(const struct wrk_worker *worker)
{
	bool fills = false;

	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct jtp_task *task =
			g_ptr_array_index(worker->tasks, i);

		fills |= task->group->step->is_filler;
	}
	return fills && worst_serving(worker);
}
