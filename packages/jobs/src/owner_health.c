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

bool owner_health_allows_start(const struct worker *worker, uint64_t now_ms)
{
	enum breaker_state state = breaker_state_at(&worker->health, now_ms);

	return state == BREAKER_CLOSED ||
	       (state == BREAKER_HALF_OPEN && worker->tasks->len == 0);
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
