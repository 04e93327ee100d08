#include "owner_schedule.h"

/* Share of a pool's CPU from which on room is no longer kept free for long. */
#define OWNER_YIELD_FREE_PERCENT 40

bool owner_holds_may_yield(const struct schedule_pool *pool,
			   const struct job_group *group)
{
	int64_t free_milli = pool->cpu_free_milli + pool->held_free_milli;
	int64_t cpu_milli = pool->cpu_milli + pool->held_milli;

	return group->step->is_long_running ||
	       free_milli * 100 >= cpu_milli * OWNER_YIELD_FREE_PERCENT;
}

bool owner_plans_yield(struct owner *owner, const struct schedule_pool *pool,
		       struct job_group *group, uint64_t now_ms)
{
	uint64_t until_ms;

	if (!owner_holds_may_yield(pool, group)) {
		group->held_since_ms = 0;
		return false;
	}
	if (group->held_since_ms == 0)
		group->held_since_ms = now_ms;
	until_ms = group->held_since_ms +
		   hold_row(HOLD_PLANNED_ROOM)->yields_after_ms;
	if (now_ms >= until_ms)
		return true;
	owner_schedule_request_within(owner, (uint32_t)(until_ms - now_ms));
	return false;
}

/* Returns whether a task of a group could run on a worker that is not among the
 * candidates. */
static bool has_room(const struct worker *worker, const struct job_group *group,
		     const struct binpack_request *request)
{
	const struct resources need = binpack_reserved(request);
	uint32_t same_group = 0;

	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct job_task *task =
			g_ptr_array_index(worker->tasks, i);

		same_group += task->group == group;
	}
	return worker_has_label(worker, group->step->label) &&
	       worker->capacity.cpu_milli - worker->used.cpu_milli >=
		       need.cpu_milli &&
	       worker->capacity.memory_mb - worker->used.memory_mb >=
		       need.memory_mb &&
	       worker->capacity.accelerators - worker->used.accelerators >=
		       need.accelerators &&
	       (request->max_per_worker == 0 ||
		same_group < request->max_per_worker);
}

/* Returns the first worker in quarantine that has room for a task of a group,
 * from an index on. */
static struct worker *quarantined_next(const struct schedule_pool *pool,
				       const struct job_group *group,
				       const struct binpack_request *need,
				       guint *index)
{
	while (*index < pool->quarantined->len) {
		struct worker *worker =
			g_ptr_array_index(pool->quarantined, (*index)++);

		if (has_room(worker, group, need))
			return worker;
	}
	return NULL;
}

/* Ends the quarantine of a worker for a task that no other one has had room for
 * for some time, or requests a pass for when it may end. Returns whether the
 * task is held back only by quarantine. */
static bool quarantine_yield(struct owner *owner, struct schedule_pool *pool,
			     struct job_group *group,
			     const struct binpack_request *need,
			     uint64_t now_ms)
{
	uint32_t yields_after_ms =
		hold_row(HOLD_WORKER_BREAKER)->yields_after_ms;
	struct worker *worker;
	uint64_t until_ms;
	guint index = 0;

	worker = quarantined_next(pool, group, need, &index);
	if (!worker || !owner_holds_may_yield(pool, group))
		return false;
	if (group->held_since_ms == 0)
		group->held_since_ms = now_ms;
	until_ms = group->held_since_ms + yields_after_ms;
	if (now_ms < until_ms) {
		owner_schedule_request_within(owner,
					      (uint32_t)(until_ms - now_ms));
		return true;
	}
	for (; worker && !pool->quarantine_yields;
	     worker = quarantined_next(pool, group, need, &index)) {
		uint32_t wait_ms =
			owner_health_yield(worker, yields_after_ms, now_ms);

		owner_schedule_request_within(owner, wait_ms);
		pool->quarantine_yields = wait_ms == 0;
	}
	return true;
}

void owner_cordoned_room_want(struct schedule_pool *pool,
			      const struct job_group *group,
			      const struct binpack_request *need,
			      uint64_t now_ms)
{
	if (!owner_holds_may_yield(pool, group))
		return;
	for (guint i = 0; i < pool->cordoned->len; i++) {
		struct worker *worker = g_ptr_array_index(pool->cordoned, i);

		if (!has_room(worker, group, need))
			continue;
		worker->room_is_wanted = true;
		if (worker->room_wanted_since_ms == 0)
			worker->room_wanted_since_ms = now_ms;
	}
}

int32_t owner_worker_choose(struct owner *owner, struct schedule_pool *pool,
			    struct job_group *group,
			    const struct binpack_request *need, uint64_t now_ms)
{
	const struct binpack_candidate *candidates =
		(const struct binpack_candidate *)pool->candidates->data;
	struct binpack_request any = *need;
	int32_t chosen =
		binpack_choose(candidates, pool->candidates->len, need);

	if (chosen < 0 && (pool->plans > 0 || pool->has_gang)) {
		any.ignores_plans = true;
		chosen =
			binpack_choose(candidates, pool->candidates->len, &any);
	}
	group->held_by_plan = false;
	if (chosen < 0) {
		owner_cordoned_room_want(pool, group, need, now_ms);
		if (!quarantine_yield(owner, pool, group, need, now_ms))
			group->held_since_ms = 0;
		return -1;
	}
	if (!any.ignores_plans) {
		group->held_since_ms = 0;
		return chosen;
	}
	group->held_by_plan = !owner_plans_yield(owner, pool, group, now_ms);
	return group->held_by_plan ? -1 : chosen;
}

bool owner_task_waits_for_preferred(struct owner *owner,
				    const struct schedule_pool *pool,
				    const struct job_task *task,
				    const struct binpack_request *need,
				    uint64_t now_ms)
{
	uint64_t until_ms =
		task->not_before_ms +
		hold_row(need->has_failed ? HOLD_FAILED_THERE : HOLD_AVOIDED_VM)
			->yields_after_ms;

	if (now_ms >= until_ms ||
	    !binpack_has_preferred(
		    (const struct binpack_candidate *)pool->candidates->data,
		    pool->candidates->len, need))
		return false;
	owner_schedule_request_within(owner, (uint32_t)(until_ms - now_ms));
	return true;
}

void owner_request_set_task(struct owner *owner,
			    const struct schedule_pool *pool,
			    const struct job_task *task,
			    struct binpack_request *need, uint64_t now_ms)
{
	need->has_failed = job_task_failures(task) > 0;
	if (need->has_failed &&
	    !owner_task_waits_for_preferred(owner, pool, task, need, now_ms))
		need->has_failed = false;
}
