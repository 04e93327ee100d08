#include "lgx.h"
#include "owner_private.h"
#include "throttle.h"

/* Minimum interval between two changes of a task's share. The tail latency that
 * a worker reports covers half a second, so the effect of a change shows only
 * after that. */
#define OWNER_THROTTLE_INTERVAL_MS 700

/* Returns the latency-sensitive task with the highest ratio of tail latency to
 * target, NULL if the worker has none. */
static const struct jtp_task *
worst_latency_task(const struct wrk_worker *worker)
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

void owner_throttle_worker(struct owner *owner, struct wrk_worker *worker)
{
	const struct jtp_task *worst = worst_latency_task(worker);
	uint64_t now_ms = evl_now_ms();

	for (guint i = 0; i < worker->tasks->len; i++) {
		struct jtp_task *task = g_ptr_array_index(worker->tasks, i);
		uint32_t percent = 100;

		if (!task->group->step->is_filler ||
		    task->state != JTP_TASK_PRESENT ||
		    now_ms - task->paced_ms < OWNER_THROTTLE_INTERVAL_MS)
			continue;
		if (worst)
			percent = throttle_next_percent(
				task->pace_percent, worst->usage,
				worst->group->step->target_ms);
		/* A reported share above the requested one means that the
		 * request was lost: it is sent again. */
		if (percent == task->pace_percent &&
		    task->percent <= task->pace_percent)
			continue;
		lgx_info("task-share-set",
			 "%s.%u.%u.%u at %s from %u to %u percent: tail "
			 "latency %u ms, target %u ms",
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

bool owner_throttle_is_needed(const struct wrk_worker *worker)
{
	bool has_best_effort = false;

	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct jtp_task *task =
			g_ptr_array_index(worker->tasks, i);

		has_best_effort |= task->group->step->is_filler;
	}
	return has_best_effort && worst_latency_task(worker);
}
