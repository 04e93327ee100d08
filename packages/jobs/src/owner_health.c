#include "log.h"
#include "owner_private.h"

/* Health is kept per VM, because a faulty VM makes the tasks of its next worker
 * fail as well. */
void owner_health_save(struct owner *owner, const struct worker *worker)
{
	if (worker->vm)
		g_hash_table_insert(
			owner->vm_health, g_strdup(worker->vm),
			g_memdup2(&worker->health, sizeof(worker->health)));
}

void owner_health_restore(const struct owner *owner, struct worker *worker)
{
	const struct breaker *kept =
		worker->vm ? g_hash_table_lookup(owner->vm_health, worker->vm)
			   : NULL;

	if (kept)
		worker->health = *kept;
}

/* Returns whether a task was started since the breaker of its worker opened, so
 * that its outcome decides. An earlier one may be long-running and have none.
 */
static bool is_probe(const struct worker *worker, const struct job_task *task)
{
	return task->ordered_ms >= worker->health.open_until_ms;
}

bool owner_health_awaits(const struct worker *worker,
			 const struct job_task *task, uint64_t now_ms)
{
	return breaker_state_at(&worker->health, now_ms) == BREAKER_HALF_OPEN &&
	       is_probe(worker, task);
}

static bool has_probe(const struct worker *worker)
{
	for (guint i = 0; i < worker->tasks->len; i++) {
		if (is_probe(worker, g_ptr_array_index(worker->tasks, i)))
			return true;
	}
	return false;
}

bool owner_health_allows_start(const struct worker *worker, uint64_t now_ms)
{
	enum breaker_state state = breaker_state_at(&worker->health, now_ms);

	return state == BREAKER_CLOSED ||
	       (state == BREAKER_HALF_OPEN && !has_probe(worker));
}

uint32_t owner_health_yield(struct worker *worker, uint32_t yields_after_ms,
			    uint64_t now_ms)
{
	uint64_t since_ms = breaker_idle_since_ms(&worker->health, now_ms);

	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct job_task *task =
			g_ptr_array_index(worker->tasks, i);

		since_ms = MAX(since_ms, task->ordered_ms);
	}
	if (!breaker_yield(&worker->health, since_ms, yields_after_ms, now_ms))
		return (uint32_t)(since_ms + yields_after_ms - now_ms);
	log_info("breaker-yields",
		 "worker %s gets a task although its tasks fail, since no "
		 "other worker has room for it: consecutive failures %u, tasks "
		 "left %u",
		 worker->id, worker->health.consecutive_failures,
		 worker->tasks->len);
	return 0;
}

void owner_health_record_failure(struct owner *owner, struct worker *worker)
{
	uint64_t now_ms = loop_now_ms();
	uint64_t open_until_ms = worker->health.open_until_ms;

	breaker_record_failure(&worker->health, now_ms);
	if (worker->health.open_until_ms == open_until_ms)
		return;
	owner->counters.quarantines++;
	log_info("worker-quarantined",
		 "worker %s gets no tasks for %u ms, then one at a time: "
		 "consecutive failures %u, tasks left %u",
		 worker->id, worker->health.open_ms,
		 worker->health.consecutive_failures, worker->tasks->len);
}

void owner_health_record_success(struct worker *worker)
{
	if (breaker_state_at(&worker->health, loop_now_ms()) != BREAKER_CLOSED)
		log_info("worker-recovered",
			 "worker %s gets tasks again after %u consecutive "
			 "failures",
			 worker->id, worker->health.consecutive_failures);
	breaker_record_success(&worker->health);
}

/* Returns whether a long-running task is a probe that has succeeded. */
static bool is_sound_long_running(const struct worker *worker,
				  const struct job_task *task, uint64_t now_ms)
{
	return task->group->step->is_long_running && is_probe(worker, task) &&
	       task->state == JOB_TASK_RUNNING && task->speed_percent > 0 &&
	       task->speed_percent >= task->ordered_speed_percent &&
	       breaker_long_running_succeeded(now_ms - task->speed_changed_ms);
}

void owner_health_check_probe(struct worker *worker)
{
	uint64_t now_ms = loop_now_ms();

	if (breaker_state_at(&worker->health, now_ms) != BREAKER_HALF_OPEN)
		return;
	for (guint i = 0; i < worker->tasks->len; i++) {
		if (!is_sound_long_running(worker,
					   g_ptr_array_index(worker->tasks, i),
					   now_ms))
			continue;
		owner_health_record_success(worker);
		return;
	}
}
