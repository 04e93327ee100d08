#include "log.h"
#include "owner_schedule.h"

/* Refused members of a gang are placed again for this long. Workers wait longer
 * than this for the other members of the gang. */
#define OWNER_GANG_ASSEMBLY_TIMEOUT_MS 1000
/* After a gang has lacked capacity for this long, capacity is reserved for it.
 */
#define OWNER_GANG_RESERVE_AFTER_MS 2000

/* A gang that may crash a worker waits this long for workers without other
 * suspects, and is considered again at this interval. */
#define OWNER_GANG_ISOLATE_WITHIN_MS 1000
#define OWNER_GANG_ISOLATE_RETRY_MS 50

/* A placement: for each task of the group the index of a worker in the pool, -1
 * for tasks that do not wait. */
struct gang_placement {
	int32_t *workers;
	GArray *candidates;
};

static bool rack_matches(const struct worker *worker, const char *rack)
{
	return !rack || g_strcmp0(worker->rack, rack) == 0;
}

/* Chooses a worker for each waiting member; returns false if one of them fits
 * on no worker. */
static bool members_choose_workers(struct schedule_pool *pool,
				   const struct job_group *group,
				   const struct binpack_request *need,
				   const char *rack,
				   struct gang_placement *placement)
{
	g_array_set_size(placement->candidates, 0);
	g_array_append_vals(placement->candidates, pool->candidates->data,
			    pool->candidates->len);
	for (guint i = 0; i < pool->workers->len; i++) {
		if (!rack_matches(g_ptr_array_index(pool->workers, i), rack))
			g_array_index(placement->candidates,
				      struct binpack_candidate, i)
				.has_label = false;
	}
	for (uint32_t i = 0; i < group->step->count; i++) {
		struct binpack_candidate *candidate;
		bool had_suspects;

		placement->workers[i] = -1;
		if (group->tasks[i].state != JOB_TASK_WAITING)
			continue;
		placement->workers[i] =
			binpack_choose((const struct binpack_candidate *)
					       placement->candidates->data,
				       placement->candidates->len, need);
		if (placement->workers[i] < 0)
			return false;
		candidate = &g_array_index(placement->candidates,
					   struct binpack_candidate,
					   placement->workers[i]);
		/* The members of a gang are one suspect. */
		had_suspects = candidate->has_suspects;
		owner_candidate_reserve(candidate, need);
		candidate->has_suspects = had_suspects;
	}
	return true;
}

/* Tries to place a gang that slows down across racks on a single rack, then
 * places it on any workers. */
static bool gang_choose_workers(struct schedule_pool *pool,
				const struct job_group *group,
				const struct binpack_request *need,
				struct gang_placement *placement)
{
	for (guint i = 0; group->step->one_rack && i < pool->workers->len;
	     i++) {
		const struct worker *worker =
			g_ptr_array_index(pool->workers, i);

		if (worker->rack &&
		    members_choose_workers(pool, group, need, worker->rack,
					   placement))
			return true;
	}
	return members_choose_workers(pool, group, need, NULL, placement);
}

/* Places a gang that may crash a worker where the least is lost, apart from
 * other suspects. Reserves workers for it for some time if there are too few
 * without suspects, then places it on any workers. */
static bool suspects_choose_workers(struct owner *owner,
				    struct schedule_pool *pool,
				    const struct job_group *group,
				    struct binpack_request need,
				    struct gang_placement *placement,
				    uint64_t now_ms)
{
	uint64_t since_ms = group->gang_unplaced_since_ms;

	need.may_crash = true;
	need.apart_from_suspects = true;
	if (gang_choose_workers(pool, group, &need, placement))
		return true;
	if (since_ms == 0 || now_ms - since_ms < OWNER_GANG_ISOLATE_WITHIN_MS) {
		for (uint32_t i = 0; i < group->tasks_waiting; i++)
			owner_isolation_reserve(pool, &need, now_ms);
		owner_schedule_request_within(owner,
					      OWNER_GANG_ISOLATE_RETRY_MS);
		return false;
	}
	need.apart_from_suspects = false;
	return gang_choose_workers(pool, group, &need, placement);
}

/* A checkpoint covers the whole gang: gives the newest one to all members. */
static void checkpoint_distribute(struct job_group *group)
{
	const char *newest = NULL;
	uint32_t newest_run = 0;

	for (uint32_t i = 0; i < group->step->count; i++) {
		const struct job_task *task = &group->tasks[i];

		if (task->checkpoint && task->run >= newest_run) {
			newest = task->checkpoint;
			newest_run = task->run;
		}
	}
	for (uint32_t i = 0; newest && i < group->step->count; i++)
		job_task_set_checkpoint(&group->tasks[i], newest);
}

static uint32_t members_assigned(const struct job_group *group)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < group->step->count; i++)
		count += group->tasks[i].worker != NULL;
	return count;
}

static void members_stop(struct owner *owner, struct job_group *group)
{
	for (uint32_t i = 0; i < group->step->count; i++) {
		struct job_task *task = &group->tasks[i];

		if (task->worker && task->state == JOB_TASK_RUNNING)
			owner_task_stop(owner, task, "its gang is incomplete");
	}
}

/* Returns whether all members that wait may be started. */
static bool members_may_start(const struct owner *owner,
			      const struct job_group *group)
{
	for (uint32_t i = 0; i < group->step->count; i++) {
		const struct job_task *task = &group->tasks[i];

		if (task->state == JOB_TASK_WAITING &&
		    !owner_task_may_start(owner, task))
			return false;
	}
	return true;
}

static uint32_t gang_next_run(const struct owner *owner,
			      const struct job_group *group)
{
	uint32_t run = owner_run_base(owner);

	for (uint32_t i = 0; i < group->step->count; i++)
		run = MAX(run, group->tasks[i].run);
	return run + 1;
}

static void placement_start(struct owner *owner, struct schedule_pool *pool,
			    struct job_group *group,
			    const struct binpack_request *need,
			    const struct gang_placement *placement)
{
	for (uint32_t i = 0; i < group->step->count; i++) {
		int32_t worker = placement->workers[i];

		if (worker < 0)
			continue;
		owner_candidate_reserve(&g_array_index(pool->candidates,
						       struct binpack_candidate,
						       worker),
					need);
		group->tasks[i].run = group->gang_run - 1;
		owner_task_start(owner, &group->tasks[i],
				 g_ptr_array_index(pool->workers, worker));
	}
}

/* Returns whether a member may only be started in isolation. */
static bool has_suspect(const struct job_group *group)
{
	for (uint32_t i = 0; i < group->step->count; i++) {
		if (suspect_needs_isolation(group->tasks[i].suspect))
			return true;
	}
	return false;
}

static bool evidence_is_stored(const struct owner *owner,
			       const struct job_group *group)
{
	for (uint32_t i = 0; i < group->step->count; i++) {
		if (!owner_crash_is_stored(owner, &group->tasks[i]))
			return false;
	}
	return true;
}

/* Places a gang. Room that is planned for others is used if there is no other
 * and it yields. */
static bool gang_choose(struct owner *owner, struct schedule_pool *pool,
			struct job_group *group, struct binpack_request need,
			struct gang_placement *placement, uint64_t now_ms)
{
	if (has_suspect(group))
		return suspects_choose_workers(owner, pool, group, need,
					       placement, now_ms);
	if (gang_choose_workers(pool, group, &need, placement)) {
		group->held_since_ms = 0;
		return true;
	}
	need.ignores_plans = true;
	return (pool->plans > 0 || pool->has_gang) &&
	       gang_choose_workers(pool, group, &need, placement) &&
	       owner_plans_yield(owner, pool, group, now_ms);
}

void owner_gang_start(struct owner *owner, struct schedule_pool *pool,
		      struct job_group *group,
		      const struct binpack_request *need, uint64_t now_ms)
{
	g_autofree int32_t *workers = g_new0(int32_t, group->step->count);
	g_autoptr(GArray) candidates =
		g_array_new(FALSE, FALSE, sizeof(struct binpack_candidate));
	struct gang_placement placement = { workers, candidates };
	bool is_new_run = members_assigned(group) == 0;

	/* Missing members may join the present ones for a limited time; then
	 * the present ones are stopped and the gang starts again. */
	if (!is_new_run &&
	    (group->gang_ended ||
	     now_ms - group->gang_since_ms > OWNER_GANG_ASSEMBLY_TIMEOUT_MS)) {
		members_stop(owner, group);
		return;
	}
	if (group->tasks_waiting + members_assigned(group) < group->step->count)
		return;
	/* Members that an earlier owner has started would wait in vain for one
	 * whose run has a number of this owner. */
	if (!is_new_run && group->gang_run <= owner_run_base(owner)) {
		members_stop(owner, group);
		return;
	}
	if (!members_may_start(owner, group))
		return;
	if (!owner_account_allows(owner, group, group->tasks_waiting))
		return;
	if (!evidence_is_stored(owner, group)) {
		owner->suspects_wait = true;
		return;
	}
	if (!gang_choose(owner, pool, group, *need, &placement, now_ms)) {
		owner_cordoned_room_want(pool, group, need, now_ms);
		if (group->gang_unplaced_since_ms == 0)
			group->gang_unplaced_since_ms = now_ms;
		if (now_ms - group->gang_unplaced_since_ms >=
		    OWNER_GANG_RESERVE_AFTER_MS)
			owner_gang_reserve(owner, pool, group, need, now_ms);
		return;
	}
	group->gang_unplaced_since_ms = 0;
	group->gang_is_unplaceable = false;
	group->gang_reservation = (struct lookahead_reservation){ 0 };
	if (is_new_run) {
		group->gang_run = gang_next_run(owner, group);
		group->gang_since_ms = now_ms;
		group->gang_ended = false;
		checkpoint_distribute(group);
	}
	placement_start(owner, pool, group, need, &placement);
}

/* Returns whether a gang has been incomplete for too long. */
static bool gang_is_overdue(const struct job_group *group, uint64_t now_ms)
{
	uint32_t present = 0;

	if (!group->step->is_gang || group->gang_since_ms == 0 ||
	    now_ms - group->gang_since_ms <= OWNER_GANG_ASSEMBLY_TIMEOUT_MS)
		return false;
	for (uint32_t i = 0; i < group->step->count; i++)
		present += group->tasks[i].state == JOB_TASK_RUNNING;
	return present > 0 && present < group->step->count;
}

void owner_gangs_stop_overdue(struct owner *owner)
{
	uint64_t now_ms = loop_now_ms();

	for (guint i = 0; i < owner->live_occurrences->len; i++) {
		struct job_occurrence *occurrence =
			g_ptr_array_index(owner->live_occurrences, i);
		const GArray *steps = occurrence->job->spec->steps;

		for (guint j = 0; j < steps->len; j++) {
			if (gang_is_overdue(&occurrence->groups[j], now_ms))
				members_stop(owner, &occurrence->groups[j]);
		}
	}
}
