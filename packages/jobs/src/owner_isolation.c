#include "owner_schedule.h"
#include "suspect.h"

/* Delay before suspects that wait are considered again. */
#define OWNER_ISOLATION_RETRY_MS 20

static uint32_t isolation_limit(const struct schedule_pool *pool)
{
	int64_t free_percent =
		pool->cpu_free_milli * 100 / MAX(pool->cpu_milli, 1);

	return suspect_isolation_limit(pool->workers->len + pool->isolating,
				       (uint32_t)free_percent);
}

/* Returns whether a suspect may be isolated beyond the limit: it has waited for
 * long, and others have room on the workers that are left. */
static bool limit_yields(const struct schedule_pool *pool,
			 const struct job_task *task, uint64_t now_ms)
{
	uint64_t since_ms = MAX(task->requeue.requeued_ms, task->not_before_ms);

	return now_ms >= since_ms + hold_row(HOLD_SUSPECT)->yields_after_ms &&
	       pool->workers->len > 1 + pool->isolated_now &&
	       owner_holds_may_yield(pool, task->group);
}

/* Returns whether a waiting suspect may be started in isolation now. */
static bool isolation_may_begin(struct owner *owner,
				const struct schedule_pool *pool,
				const struct job_task *task, uint64_t now_ms)
{
	if (!owner_crash_is_stored(owner, task)) {
		owner->suspects_wait = true;
		return false;
	}
	/* A worker becomes available when time has passed, which no event
	 * tells. */
	owner_schedule_request_within(owner, OWNER_ISOLATION_RETRY_MS);
	return (pool->isolating < isolation_limit(pool) ||
		limit_yields(pool, task, now_ms)) &&
	       suspect_isolation_may_begin(owner->isolation_begun_ms, now_ms);
}

/* Starts a suspect on a worker, and closes the worker to further tasks. */
static void isolation_begin(struct owner *owner, struct schedule_pool *pool,
			    struct job_task *task, int32_t chosen,
			    const struct binpack_request *need, uint64_t now_ms)
{
	struct worker *worker = g_ptr_array_index(pool->workers, chosen);
	struct binpack_candidate *candidate = &g_array_index(
		pool->candidates, struct binpack_candidate, chosen);

	pool->reserved -= worker->reserved_until_ms > now_ms;
	pool->isolating++;
	pool->isolated_now++;
	worker->reserved_until_ms = 0;
	owner_candidate_reserve(candidate, need);
	candidate->reserved = true;
	owner->isolation_begun_ms = now_ms;
	owner_task_start(owner, task, worker);
}

bool owner_isolation_reserve(struct schedule_pool *pool,
			     const struct binpack_request *need,
			     uint64_t now_ms)
{
	struct binpack_request any = *need;
	struct binpack_candidate *candidate;
	struct worker *worker;
	int32_t chosen;

	if (++pool->suspects_unplaced <= pool->reserved ||
	    pool->isolating + pool->reserved >= isolation_limit(pool))
		return true;
	any.apart_from_suspects = false;
	chosen = binpack_choose(
		(const struct binpack_candidate *)pool->candidates->data,
		pool->candidates->len, &any);
	if (chosen < 0)
		return false;
	candidate = &g_array_index(pool->candidates, struct binpack_candidate,
				   chosen);
	worker = g_ptr_array_index(pool->workers, chosen);
	pool->reserved += !candidate->reserved;
	candidate->reserved = true;
	worker->reserved_until_ms = now_ms + SUSPECT_RESERVATION_MS;
	return true;
}

/* Returns whether a worker is on the VM that a task should avoid for now. */
static bool is_avoided(struct owner *owner, const struct schedule_pool *pool,
		       const struct job_task *task, int32_t chosen,
		       const struct binpack_request *need, uint64_t now_ms)
{
	const struct binpack_candidate *candidate = &g_array_index(
		pool->candidates, struct binpack_candidate, chosen);

	return need->avoided_vm != 0 && candidate->vm == need->avoided_vm &&
	       owner_task_waits_for_preferred(owner, pool, task, need, now_ms);
}

bool owner_suspect_start(struct owner *owner, struct schedule_pool *pool,
			 struct job_task *task, struct binpack_request need,
			 uint64_t now_ms)
{
	int32_t chosen;

	need.has_failed = false;
	need.may_crash = true;
	/* A second crash of one VM would leave open whether the VM is faulty.
	 */
	need.avoided_vm = task->suspect->place;
	need.apart_from_suspects = true;
	if (!isolation_may_begin(owner, pool, task, now_ms))
		return true;
	chosen = owner_worker_choose(owner, pool, task->group, &need, now_ms);
	if (chosen < 0 || is_avoided(owner, pool, task, chosen, &need, now_ms))
		return owner_isolation_reserve(pool, &need, now_ms);
	isolation_begin(owner, pool, task, chosen, &need, now_ms);
	return true;
}
