#include "owner_advice.h"
#include "owner_schedule.h"

/* A task that waits for the quarantine of workers for this long starts beside
 * the one that decides whether the quarantine ends. */
#define OWNER_QUARANTINE_WAIT_MAX_MS 2500
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
	const struct binpack_candidate room = owner_worker_candidate(worker);
	uint32_t same_group = 0;

	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct job_task *task =
			g_ptr_array_index(worker->tasks, i);

		same_group += task->group == group;
	}
	return worker_has_label(worker, group->step->label) &&
	       room.cpu_free_milli >= need.cpu_milli &&
	       room.memory_free_mb >= need.memory_mb &&
	       room.accelerators_free >= need.accelerators &&
	       (request->max_per_worker == 0 ||
		same_group < request->max_per_worker);
}

/* Returns the worker at an index of those whose tasks fail: in quarantine, or
 * candidates for a single task; NULL for another candidate. */
static struct worker *failing_worker(const struct schedule_pool *pool,
				     guint index)
{
	guint at = index - pool->quarantined->len;

	if (index < pool->quarantined->len)
		return g_ptr_array_index(pool->quarantined, index);
	return g_array_index(pool->candidates, struct binpack_candidate, at)
			       .single_task_only
		       ? g_ptr_array_index(pool->workers, at)
		       : NULL;
}

/* Returns the first worker whose tasks fail that has room for a task of a
 * group, from an index on. */
static struct worker *failing_next(const struct schedule_pool *pool,
				   const struct job_group *group,
				   const struct binpack_request *need,
				   guint *index)
{
	while (*index < pool->quarantined->len + pool->workers->len) {
		struct worker *worker = failing_worker(pool, (*index)++);

		if (worker && has_room(worker, group, need))
			return worker;
	}
	return NULL;
}

/* Lets the next workers in quarantine that have room for a task take one, if
 * they have been without for some time. */
static void quarantine_end(struct owner *owner, struct schedule_pool *pool,
			   const struct job_group *group,
			   const struct binpack_request *need, uint64_t now_ms)
{
	uint32_t yields_after_ms =
		hold_row(HOLD_WORKER_BREAKER)->yields_after_ms;
	struct worker *worker;
	guint index = 0;

	while (!pool->quarantine_yields &&
	       (worker = failing_next(pool, group, need, &index))) {
		uint32_t wait_ms =
			owner_health_yield(worker, yields_after_ms, now_ms);

		owner_schedule_request_within(owner, wait_ms);
		pool->quarantine_yields = wait_ms == 0;
	}
}

/* Adds a worker in quarantine to the candidates, for one task. Returns its
 * index, -1 if a group has no ticket for it. */
static int32_t quarantined_add(struct owner *owner, struct schedule_pool *pool,
			       const struct job_group *group,
			       struct worker *worker)
{
	const struct catalogue_queue *queue =
		owner_job_queue(owner, group->occurrence->job);
	struct binpack_candidate candidate = owner_worker_candidate(worker);

	if (queue && queue->needs_advice && !owner_advice_ticket(group, worker))
		return -1;
	candidate.single_task_only = true;
	g_ptr_array_add(pool->workers, worker);
	g_array_append_val(pool->candidates, candidate);
	return (int32_t)pool->workers->len - 1;
}

/* Handles a task that no worker has room for but those in quarantine, if any:
 * ends a quarantine, chooses a worker in quarantine, or requests a pass for
 * when that may be. Returns the index of the worker, -1 for none. */
static int32_t quarantine_yield(struct owner *owner, struct schedule_pool *pool,
				struct job_group *group,
				const struct binpack_request *need,
				uint64_t now_ms)
{
	uint32_t yields_after_ms =
		hold_row(HOLD_WORKER_BREAKER)->yields_after_ms;
	struct worker *worker;
	int32_t chosen = -1;
	uint64_t held_ms;
	guint index = 0;

	worker = failing_next(pool, group, need, &index);
	if (!worker || !owner_holds_may_yield(pool, group)) {
		group->held_since_ms = 0;
		return -1;
	}
	if (group->held_since_ms == 0)
		group->held_since_ms = now_ms;
	held_ms = now_ms - group->held_since_ms;
	if (held_ms < yields_after_ms) {
		owner_schedule_request_within(owner, yields_after_ms -
							     (uint32_t)held_ms);
		return -1;
	}
	if (held_ms >= OWNER_QUARANTINE_WAIT_MAX_MS && !need->may_crash) {
		chosen = quarantined_add(owner, pool, group, worker);
	} else {
		quarantine_end(owner, pool, group, need, now_ms);
		if (held_ms < OWNER_QUARANTINE_WAIT_MAX_MS)
			owner_schedule_request_within(
				owner, OWNER_QUARANTINE_WAIT_MAX_MS -
					       (uint32_t)held_ms);
	}
	if (chosen >= 0)
		group->held_since_ms = 0;
	return chosen;
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
		return quarantine_yield(owner, pool, group, need, now_ms);
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
