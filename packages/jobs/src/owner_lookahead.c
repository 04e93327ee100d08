#include "log.h"
#include "lookahead.h"
#include "owner_schedule.h"

/* Largest part of a pool's workers on which tasks may be planned at a time, as
 * a divisor: small work goes on on the others. */
#define OWNER_PLANNED_WORKERS_DIVISOR 2
/* Largest backlog of a pool for which large tasks are planned, in permille of
 * the work that the pool does while such a task runs. */
#define OWNER_LOOKAHEAD_BACKLOG_PERMILLE 300

/* Adds the expected ends of the tasks on a worker. */
static void ends_collect(const struct worker *worker, GArray *ends,
			 uint64_t now_ms)
{
	g_array_set_size(ends, 0);
	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct job_task *task =
			g_ptr_array_index(worker->tasks, i);
		const struct job_group *group = task->group;
		struct lookahead_end end = {
			.at_ms = lookahead_end_ms(task->ordered_ms,
						  group->expected_ms, now_ms),
			.frees = group->step->need,
		};

		if (group->step->is_long_running &&
		    task->state != JOB_TASK_STOPPING)
			continue;
		if (group->step->is_best_effort)
			end.frees.cpu_milli = 0;
		g_array_append_val(ends, end);
	}
}

static struct resources candidate_room(const struct binpack_candidate *from)
{
	return (struct resources){
		.cpu_milli = from->cpu_free_milli,
		.memory_mb = from->memory_free_mb,
		.accelerators = from->accelerators_free,
	};
}

/* Returns whether a task of the group could run on a worker but for the room.
 */
static bool is_suitable(const struct binpack_candidate *candidate,
			const struct job_step *step)
{
	return candidate->has_label && !candidate->reserved &&
	       !candidate->single_task_only && candidate->penalty == 0 &&
	       candidate->plan.at_ms == 0 &&
	       (step->max_per_worker == 0 ||
		candidate->same_group < step->max_per_worker);
}

struct planned_worker {
	guint index;
	struct lookahead_plan plan;
};

static gint planned_compare(gconstpointer a, gconstpointer b)
{
	const struct planned_worker *left = a;
	const struct planned_worker *right = b;

	if (left->plan.at_ms == right->plan.at_ms)
		return 0;
	return left->plan.at_ms < right->plan.at_ms ? -1 : 1;
}

/* Returns the workers on which a task of the group will fit, the first one
 * first. */
static GArray *workers_plan(const struct schedule_pool *pool,
			    const struct job_step *step, uint64_t now_ms)
{
	GArray *planned =
		g_array_new(FALSE, FALSE, sizeof(struct planned_worker));
	g_autoptr(GArray) ends =
		g_array_new(FALSE, FALSE, sizeof(struct lookahead_end));

	for (guint i = 0; i < pool->workers->len; i++) {
		const struct worker *worker =
			g_ptr_array_index(pool->workers, i);
		const struct binpack_candidate *candidate = &g_array_index(
			pool->candidates, struct binpack_candidate, i);
		const struct resources room = candidate_room(candidate);
		struct planned_worker row = { .index = i };

		if (!is_suitable(candidate, step))
			continue;
		ends_collect(worker, ends, now_ms);
		row.plan = lookahead_plan_task(
			&room, (struct lookahead_end *)ends->data, ends->len,
			&step->need, now_ms);
		if (row.plan.at_ms != UINT64_MAX)
			g_array_append_val(planned, row);
	}
	g_array_sort(planned, planned_compare);
	return planned;
}

void owner_lookahead_plan(struct owner *owner, struct schedule_pool *pool,
			  const struct job_group *group, uint64_t now_ms)
{
	const struct job_step *step = group->step;
	const struct resources worker = {
		.cpu_milli = pool->cpu_milli / MAX(pool->workers->len, 1),
		.memory_mb = pool->memory_mb / MAX(pool->workers->len, 1),
	};
	uint32_t most = MIN(owner->config.service->lookahead_plans,
			    pool->workers->len / OWNER_PLANNED_WORKERS_DIVISOR);
	const struct catalogue_queue *queue =
		owner_job_queue(owner, group->occurrence->job);
	g_autoptr(GArray) planned = NULL;
	struct urgency_work work;

	if (pool->plans >= most || step->is_long_running || !queue ||
	    !lookahead_is_large(&step->need, &worker))
		return;
	/* A plan leaves room idle for a while. If more waits than can start
	 * soon anyway, smaller work makes better use of it. */
	if (pool->backlog * 1000 > (double)pool->cpu_milli *
					   group->expected_ms *
					   OWNER_LOOKAHEAD_BACKLOG_PERMILLE)
		return;
	work = owner_occurrence_work(group->occurrence, queue);
	planned = workers_plan(pool, step, now_ms);
	for (guint i = 0;
	     i < MIN(planned->len, group->tasks_waiting) && pool->plans < most;
	     i++) {
		const struct planned_worker *row =
			&g_array_index(planned, struct planned_worker, i);

		/* A job that will be late even so is not worth the wait of
		 * others. */
		if (urgency_band_of(&work, row->plan.at_ms) !=
		    URGENCY_BAND_ON_TIME)
			return;
		g_array_index(pool->candidates, struct binpack_candidate,
			      row->index)
			.plan = row->plan;
		pool->plans++;
		owner->counters.plans++;
	}
}

/* Time at which a worker has room for one more member of a gang. */
struct gang_slot {
	guint worker;
	uint64_t at_ms;
};

static gint slot_compare(gconstpointer a, gconstpointer b)
{
	const struct gang_slot *left = a;
	const struct gang_slot *right = b;

	if (left->at_ms == right->at_ms)
		return left->worker < right->worker ? -1 : 1;
	return left->at_ms < right->at_ms ? -1 : 1;
}

static uint32_t members_max(const struct binpack_candidate *candidate,
			    const struct job_group *group)
{
	uint32_t most = group->step->max_per_worker;

	if (!candidate->has_label || candidate->plan.at_ms != 0 ||
	    (most != 0 && candidate->same_group >= most))
		return 0;
	if (candidate->single_task_only)
		return 1;
	return most == 0 ? group->tasks_waiting
			 : MIN(group->tasks_waiting,
			       most - candidate->same_group);
}

/* Returns the slots of all workers, the earliest first. */
static GArray *slots_collect(const struct schedule_pool *pool,
			     const struct job_group *group,
			     const struct resources *need, GArray *ends,
			     uint64_t now_ms)
{
	GArray *slots = g_array_new(FALSE, FALSE, sizeof(struct gang_slot));
	g_autofree uint64_t *at_ms = g_new(uint64_t, group->tasks_waiting);

	for (guint i = 0; i < pool->workers->len; i++) {
		const struct binpack_candidate *candidate = &g_array_index(
			pool->candidates, struct binpack_candidate, i);
		const struct resources room = candidate_room(candidate);
		uint32_t most = members_max(candidate, group);
		uint32_t fitting;

		if (most == 0)
			continue;
		ends_collect(g_ptr_array_index(pool->workers, i), ends, now_ms);
		fitting = lookahead_plan_tasks(
			&room, (struct lookahead_end *)ends->data, ends->len,
			need, now_ms, most, at_ms);
		for (uint32_t j = 0; j < fitting; j++) {
			const struct gang_slot slot = { i, at_ms[j] };

			g_array_append_val(slots, slot);
		}
	}
	g_array_sort(slots, slot_compare);
	return slots;
}

/* Plans the members in the first slots on their workers. */
static void slots_reserve(struct schedule_pool *pool, const GArray *slots,
			  uint32_t members, const struct resources *need,
			  GArray *ends, uint64_t now_ms)
{
	g_autofree uint32_t *tasks = g_new0(uint32_t, pool->workers->len);
	uint64_t at_ms =
		g_array_index(slots, struct gang_slot, members - 1).at_ms;

	for (uint32_t i = 0; i < members; i++)
		tasks[g_array_index(slots, struct gang_slot, i).worker]++;
	for (guint i = 0; i < pool->workers->len; i++) {
		struct binpack_candidate *candidate = &g_array_index(
			pool->candidates, struct binpack_candidate, i);
		const struct resources room = candidate_room(candidate);

		if (tasks[i] == 0)
			continue;
		ends_collect(g_ptr_array_index(pool->workers, i), ends, now_ms);
		candidate->plan = lookahead_plan_at(
			&room, (const struct lookahead_end *)ends->data,
			ends->len, need, tasks[i], at_ms);
	}
}

/* Records whether all members will have room at some time, and logs it if they
 * will not. That is not known while room is planned for others, or workers are
 * in quarantine or cordoned. */
static void unplaceable_record(const struct schedule_pool *pool,
			       struct job_group *group, uint32_t slots)
{
	bool is_unplaceable = slots < group->tasks_waiting &&
			      pool->plans == 0 && pool->quarantined->len == 0 &&
			      pool->cordoned->len == 0;

	if (is_unplaceable && !group->gang_is_unplaceable)
		log_info("gang-unplaceable",
			 "step %u of job %s: the %u workers of %s will have "
			 "room for %u of the %u tasks of its gang, nothing is "
			 "reserved",
			 group->step_index, group->occurrence->job->id,
			 pool->workers->len, pool->service, slots,
			 group->tasks_waiting);
	group->gang_is_unplaceable = is_unplaceable;
}

void owner_gang_reserve(struct owner *owner, struct schedule_pool *pool,
			struct job_group *group,
			const struct binpack_request *need, uint64_t now_ms)
{
	const struct resources reserved = binpack_reserved(need);
	g_autoptr(GArray) ends =
		g_array_new(FALSE, FALSE, sizeof(struct lookahead_end));
	g_autoptr(GArray) slots = NULL;
	uint64_t planned_ms;

	/* Room for a second gang could delay the first one. */
	if (pool->has_gang)
		return;
	slots = slots_collect(pool, group, &reserved, ends, now_ms);
	unplaceable_record(pool, group, slots->len);
	if (slots->len < group->tasks_waiting)
		return;
	planned_ms =
		g_array_index(slots, struct gang_slot, group->tasks_waiting - 1)
			.at_ms;
	if (!lookahead_reserve(&group->gang_reservation, planned_ms, now_ms))
		return;
	slots_reserve(pool, slots, group->tasks_waiting, &reserved, ends,
		      now_ms);
	pool->has_gang = true;
	owner_schedule_request_within(
		owner, (uint32_t)MIN(group->gang_reservation.until_ms - now_ms,
				     UINT32_MAX));
}
