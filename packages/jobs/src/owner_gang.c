#include "log.h"
#include "owner_schedule.h"

/* Members that were refused are placed again for this long; the others wait
 * for them at their workers for longer. */
#define OWN_GANG_FILL_MS 1000
/* A gang that has found no room for this long gets what becomes free. */
#define OWN_GANG_PATIENCE_MS 2000

/* A choice of workers, an index of the pool for each task of the group. */
struct gang_choice {
	int32_t *workers;
	GArray *candidates;
};

static bool rack_matches(const struct worker *worker, const char *rack)
{
	return !rack || g_strcmp0(worker->rack, rack) == 0;
}

/* Chooses a worker for each member that waits; false if one finds none. */
static bool choose_all(struct plan_pool *pool, const struct job_group *group,
		       const struct binpack_request *need, const char *rack,
		       struct gang_choice *choice)
{
	g_array_set_size(choice->candidates, 0);
	g_array_append_vals(choice->candidates, pool->candidates->data,
			    pool->candidates->len);
	for (guint i = 0; i < pool->workers->len; i++) {
		if (!rack_matches(g_ptr_array_index(pool->workers, i), rack))
			g_array_index(choice->candidates,
				      struct binpack_candidate, i)
				.has_label = false;
	}
	for (uint32_t i = 0; i < group->step->count; i++) {
		choice->workers[i] = -1;
		if (group->tasks[i].state != JOB_TASK_WAITING)
			continue;
		choice->workers[i] =
			binpack_choose((const struct binpack_candidate *)
					       choice->candidates->data,
				       choice->candidates->len, need);
		if (choice->workers[i] < 0)
			return false;
		own_candidate_take(&g_array_index(choice->candidates,
						  struct binpack_candidate,
						  choice->workers[i]),
				   need);
	}
	return true;
}

/* Tries one rack after another for a gang that slows down across racks. */
static bool choose(struct plan_pool *pool, const struct job_group *group,
		   const struct binpack_request *need,
		   struct gang_choice *choice)
{
	for (guint i = 0; group->step->one_rack && i < pool->workers->len;
	     i++) {
		const struct worker *worker =
			g_ptr_array_index(pool->workers, i);

		if (worker->rack &&
		    choose_all(pool, group, need, worker->rack, choice))
			return true;
	}
	return choose_all(pool, group, need, NULL, choice);
}

/* The newest checkpoint of any member holds for all. */
static void checkpoint_share(struct job_group *group)
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

static uint32_t members_on_workers(const struct job_group *group)
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
			own_task_stop(owner, task, "its gang is not whole");
	}
}

static uint32_t next_run(const struct owner *owner,
			 const struct job_group *group)
{
	uint32_t run = own_run_base(owner);

	for (uint32_t i = 0; i < group->step->count; i++)
		run = MAX(run, group->tasks[i].run);
	return run + 1;
}

static void start_chosen(struct owner *owner, struct plan_pool *pool,
			 struct job_group *group,
			 const struct binpack_request *need,
			 const struct gang_choice *choice)
{
	for (uint32_t i = 0; i < group->step->count; i++) {
		int32_t worker = choice->workers[i];

		if (worker < 0)
			continue;
		own_candidate_take(&g_array_index(pool->candidates,
						  struct binpack_candidate,
						  worker),
				   need);
		group->tasks[i].run = group->gang_run - 1;
		own_task_start(owner, &group->tasks[i],
			       g_ptr_array_index(pool->workers, worker));
	}
}

bool own_gang_start(struct owner *owner, struct plan_pool *pool,
		    struct job_group *group, const struct binpack_request *need,
		    uint64_t now_ms)
{
	g_autofree int32_t *workers = g_new0(int32_t, group->step->count);
	g_autoptr(GArray) candidates =
		g_array_new(FALSE, FALSE, sizeof(struct binpack_candidate));
	struct gang_choice choice = { workers, candidates };
	bool starts_anew = members_on_workers(group) == 0;
	bool found;

	/* Some are there: the rest joins them soon, or all start anew. */
	if (!starts_anew &&
	    (group->gang_ended ||
	     now_ms - group->gang_since_ms > OWN_GANG_FILL_MS)) {
		members_stop(owner, group);
		return true;
	}
	if (group->tasks_waiting + members_on_workers(group) <
	    group->step->count)
		return true;
	found = choose(pool, group, need, &choice);
	if (!found) {
		if (group->gang_unplaced_since_ms == 0)
			group->gang_unplaced_since_ms = now_ms;
		return now_ms - group->gang_unplaced_since_ms <
		       OWN_GANG_PATIENCE_MS;
	}
	group->gang_unplaced_since_ms = 0;
	if (starts_anew) {
		group->gang_run = next_run(owner, group);
		group->gang_since_ms = now_ms;
		group->gang_ended = false;
		checkpoint_share(group);
	}
	start_chosen(owner, pool, group, need, &choice);
	return true;
}

/* Tells whether a gang has been incomplete for longer than it may be. */
static bool is_overdue(const struct job_group *group, uint64_t now_ms)
{
	uint32_t present = 0;

	if (!group->step->is_gang || group->gang_since_ms == 0 ||
	    now_ms - group->gang_since_ms <= OWN_GANG_FILL_MS)
		return false;
	for (uint32_t i = 0; i < group->step->count; i++)
		present += group->tasks[i].state == JOB_TASK_RUNNING;
	return present > 0 && present < group->step->count;
}

void own_gangs_check(struct owner *owner)
{
	uint64_t now_ms = loop_now_ms();

	for (guint i = 0; i < owner->live->len; i++) {
		struct job_occurrence *occurrence =
			g_ptr_array_index(owner->live, i);
		const GArray *steps = occurrence->job->spec->steps;

		for (guint j = 0; j < steps->len; j++) {
			if (is_overdue(&occurrence->groups[j], now_ms))
				members_stop(owner, &occurrence->groups[j]);
		}
	}
}
