#include <string.h>

#include "log.h"
#include "owner_advice.h"
#include "owner_schedule.h"

/* Changes that arrive within this time share one scheduling pass. */
#define OWNER_SCHEDULE_DELAY_MS 3

static void pool_destroy(gpointer data)
{
	struct schedule_pool *pool = data;

	g_ptr_array_unref(pool->workers);
	g_ptr_array_unref(pool->quarantined);
	g_ptr_array_unref(pool->cordoned);
	g_array_unref(pool->candidates);
	g_ptr_array_unref(pool->pending);
	owner_shares_destroy(pool->shares);
	g_free(pool);
}

void owner_schedule_request_within(struct owner *owner, uint32_t delay_ms)
{
	if (!timer_is_set(&owner->schedule_timer) ||
	    owner->schedule_timer.due_ms > loop_now_ms() + delay_ms)
		loop_timer_set(owner->config.loop, &owner->schedule_timer,
			       delay_ms);
}

void owner_schedule_request(struct owner *owner)
{
	owner_schedule_request_within(owner, OWNER_SCHEDULE_DELAY_MS);
}

static struct schedule_pool *pool_get_or_create(const struct owner *owner,
						GHashTable *pools,
						const char *service)
{
	struct schedule_pool *pool = g_hash_table_lookup(pools, service);

	if (pool)
		return pool;
	pool = g_new0(struct schedule_pool, 1);
	pool->service = service;
	pool->workers = g_ptr_array_new();
	pool->quarantined = g_ptr_array_new();
	pool->cordoned = g_ptr_array_new();
	pool->candidates =
		g_array_new(FALSE, TRUE, sizeof(struct binpack_candidate));
	pool->pending = g_ptr_array_new();
	if (g_hash_table_size(owner->accounts) > 0)
		pool->shares = owner_shares_create();
	g_hash_table_insert(pools, (gpointer)service, pool);
	return pool;
}

enum hold owner_worker_refusal(const struct owner *owner, struct worker *worker,
			       uint64_t now_ms)
{
	if (worker->discovered_without_lease)
		owner_worker_check_ownership(owner, worker);
	if (worker->discovered_without_lease)
		return HOLD_WORKER_FENCE;
	if (!owner_worker_is_verified(owner, worker, now_ms))
		return HOLD_WORKER_UNVERIFIED;
	if (worker->ended || !worker->listed)
		return HOLD_WORKER_ENDED;
	if (!worker->has_reported || !worker->in_roster)
		return HOLD_WORKER_UNREPORTED;
	if (worker_entry_is_outdated(worker))
		return HOLD_WORKER_OUTDATED;
	if (owner_worker_capacity_is_uncertain(owner, worker, now_ms))
		return HOLD_WORKER_CAPACITY;
	if (worker->draining)
		return HOLD_WORKER_DRAINS;
	if (!worker_is_reachable(worker) || worker->resolving)
		return HOLD_WORKER_SILENT;
	if (worker->stray_runs > 0)
		return HOLD_WORKER_STRAYS;
	if (worker->pause_until_ms > now_ms)
		return HOLD_WORKER_REFUSED;
	if (worker->cordoned)
		return HOLD_WORKER_CORDONED;
	if (!owner_health_allows_start(worker, now_ms))
		return HOLD_WORKER_BREAKER;
	if (owner_crash_has_isolated(worker, now_ms))
		return HOLD_WORKER_ISOLATES;
	return HOLD_NONE;
}

struct binpack_candidate owner_worker_candidate(const struct worker *worker)
{
	return (struct binpack_candidate){
		.cpu_free_milli =
			worker->capacity.cpu_milli - worker->used.cpu_milli,
		.memory_free_mb =
			worker->capacity.memory_mb - worker->used.memory_mb,
		.accelerators_free = worker->capacity.accelerators -
				     worker->used.accelerators,
		.capacity = worker->capacity,
	};
}

static void candidate_add(const struct owner *owner, struct schedule_pool *pool,
			  struct worker *worker, uint64_t now_ms)
{
	struct binpack_candidate candidate = owner_worker_candidate(worker);

	candidate.crash_loss =
		owner_crash_loss(worker, now_ms, &candidate.has_suspects);
	candidate.vm = owner_vm_hash(worker);
	candidate.reserved = worker->reserved_until_ms > now_ms;
	pool->reserved += candidate.reserved;
	pool->cpu_milli += worker->capacity.cpu_milli;
	pool->memory_mb += worker->capacity.memory_mb;
	pool->cpu_free_milli += MAX(candidate.cpu_free_milli, 0);
	candidate.penalty = worker->health.consecutive_failures;
	candidate.single_task_only =
		breaker_state_at(&worker->health, now_ms) == BREAKER_HALF_OPEN;
	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct job_task *task =
			g_ptr_array_index(worker->tasks, i);
		const struct job_step *step = task->group->step;

		if (pool->shares)
			owner_shares_add(pool->shares, owner,
					 task->group->occurrence->job,
					 step->need.cpu_milli);
		candidate.best_effort_tasks += step->is_best_effort;
		candidate.latency_sensitive_tasks +=
			step->latency_target_ms > 0 && !step->is_best_effort;
	}
	g_ptr_array_add(pool->workers, worker);
	g_array_append_val(pool->candidates, candidate);
}

static bool
occurrence_has_waiting_tasks(const struct job_occurrence *occurrence)
{
	const GArray *steps = occurrence->job->spec->steps;

	if (!owner_job_is_live(occurrence->job))
		return false;
	for (guint i = 0; i < steps->len; i++) {
		const struct job_group *group = &occurrence->groups[i];

		if (group->tasks_waiting > 0 && job_group_is_ready(group))
			return true;
	}
	return false;
}

struct urgency_work
owner_occurrence_work(const struct job_occurrence *occurrence,
		      const struct catalogue_queue *queue)
{
	return (struct urgency_work){
		.long_running = occurrence->groups[0].step->is_long_running,
		.excess = occurrence->job->is_excess,
		.priority = queue->priority,
		.since_ms = occurrence->due_ms,
		.objective_ms = (uint64_t)occurrence->critical_path_ms *
					queue->stretch_permille / 1000 +
				queue->slo_ms,
		.critical_path_ms = job_critical_path_ms(occurrence, false),
	};
}

static void sort_key_set(struct job_occurrence *occurrence,
			 const struct catalogue_queue *queue, uint64_t now_ms)
{
	const struct urgency_work work =
		owner_occurrence_work(occurrence, queue);

	occurrence->sort_key = urgency_sort_key(&work, now_ms);
}

static gint occurrence_compare(gconstpointer a, gconstpointer b)
{
	const struct job_occurrence *left = *(struct job_occurrence *const *)a;
	const struct job_occurrence *right = *(struct job_occurrence *const *)b;

	if (left->sort_key == right->sort_key)
		return 0;
	return left->sort_key < right->sort_key ? -1 : 1;
}

uint32_t owner_run_base(const struct owner *owner)
{
	return (uint32_t)(owner->epoch * OWNER_RUNS_PER_EPOCH);
}

void owner_task_start(struct owner *owner, struct job_task *task,
		      struct worker *worker)
{
	struct job_occurrence *occurrence = task->group->occurrence;
	uint32_t run = MAX(task->run, owner_run_base(owner)) + 1;

	owner_trace_start(owner, task, worker, run);
	task->run = run;
	task->ordered_ms = loop_now_ms();
	task->started_clock_ms = 0;
	task->speed_changed_ms = task->ordered_ms;
	task->seen_in_report = 0;
	task->adopted = false;
	task->start_in_flight = true;
	owner_task_assign(owner, task, worker);
	job_task_set_state(task, JOB_TASK_STARTING);
	owner->counters.starts++;
	log_debug("task-start",
		  "task %s.%u.%u.%u run %u is started at worker %s, milli-CPU "
		  "free before %" G_GINT64_FORMAT,
		  occurrence->job->id, occurrence->number,
		  task->group->step_index, task->index, task->run, worker->id,
		  worker->capacity.cpu_milli - worker->used.cpu_milli);
	worker_task_start(worker, task, occurrence->job->spec->payload,
			  owner_advice_ticket(task->group, worker));
}

/* Sets the fields of the candidates that depend on the group. */
void owner_candidates_set_group(struct schedule_pool *pool,
				const struct job_group *group,
				bool needs_ticket)
{
	const struct job_step *step = group->step;

	for (guint i = 0; i < pool->workers->len; i++) {
		const struct worker *worker =
			g_ptr_array_index(pool->workers, i);
		struct binpack_candidate *candidate = &g_array_index(
			pool->candidates, struct binpack_candidate, i);

		candidate->same_group = 0;
		candidate->has_label =
			worker_has_label(worker, step->label) &&
			(!needs_ticket || owner_advice_ticket(group, worker));
		candidate->on_data_rack =
			step->data_rack &&
			worker_has_label(worker, step->data_rack);
	}
	if (step->max_per_worker == 0)
		return;
	for (uint32_t i = 0; i < step->count; i++) {
		guint at;

		if (group->tasks[i].worker &&
		    g_ptr_array_find(pool->workers, group->tasks[i].worker,
				     &at))
			g_array_index(pool->candidates,
				      struct binpack_candidate, at)
				.same_group++;
	}
}

void owner_candidate_reserve(struct binpack_candidate *candidate,
			     const struct binpack_request *need)
{
	const struct resources reserved = binpack_reserved(need);

	candidate->cpu_free_milli -= reserved.cpu_milli;
	candidate->memory_free_mb -= reserved.memory_mb;
	candidate->accelerators_free -= reserved.accelerators;
	candidate->same_group++;
	candidate->has_suspects = true;
	lookahead_take(&candidate->plan, &reserved, need->ends_ms);
	if (candidate->single_task_only)
		candidate->memory_free_mb = -1;
	candidate->best_effort_tasks += need->best_effort;
	candidate->latency_sensitive_tasks += need->latency_sensitive;
}

struct binpack_request owner_group_need(const struct job_group *group,
					uint64_t now_ms)
{
	const struct job_step *step = group->step;

	return (struct binpack_request){
		.cpu_milli = step->need.cpu_milli,
		.memory_mb = step->need.memory_mb,
		.accelerators = step->need.accelerators,
		.max_per_worker = step->max_per_worker,
		.has_data_rack = step->data_rack != NULL,
		.latency_sensitive =
			step->latency_target_ms > 0 && !step->is_best_effort,
		.best_effort = step->is_best_effort,
		.long_running = step->is_long_running,
		.ends_ms = step->is_long_running ? UINT64_MAX
						 : now_ms + group->expected_ms,
	};
}

/* Returns whether the account of a group may start another task: its limit
 * allows it, and it has no more than its share while shares bind. */
static bool account_may_start(struct owner *owner, struct schedule_pool *pool,
			      struct job_group *group)
{
	const struct job *job = group->occurrence->job;

	if (!pool->shares)
		return true;
	if (!owner_account_allows(owner, group, 1))
		return false;
	if (!pool->shares_bind ||
	    !owner_shares_exceeded(pool->shares, owner, job, pool->cpu_milli))
		return true;
	pool->left_by_share = true;
	return false;
}

/* Starts the waiting tasks of a group that fit on a worker. */
static void group_start(struct owner *owner, struct schedule_pool *pool,
			struct job_group *group, uint64_t now_ms)
{
	const struct catalogue_queue *queue =
		owner_job_queue(owner, group->occurrence->job);
	struct binpack_request need = owner_group_need(group, now_ms);
	bool needs_ticket = queue && queue->needs_advice;

	group->fits_nowhere = false;
	group->held_by_limit = false;
	group->held_by_plan = false;
	owner_candidates_set_group(pool, group, needs_ticket);
	if (needs_ticket)
		owner_advice_request(
			owner, group,
			(struct worker *const *)pool->workers->pdata,
			pool->workers->len);
	if (group->step->is_gang) {
		owner_gang_start(owner, pool, group, &need, now_ms);
		return;
	}
	for (uint32_t i = 0; i < group->step->count && group->tasks_waiting > 0;
	     i++) {
		struct job_task *task = &group->tasks[i];
		int32_t chosen;

		if (task->state != JOB_TASK_WAITING ||
		    !owner_task_may_start(owner, task))
			continue;
		if (task->not_before_ms > now_ms) {
			owner_schedule_request(owner);
			continue;
		}
		if (!account_may_start(owner, pool, group))
			return;
		if (suspect_needs_isolation(task->suspect)) {
			group->fits_nowhere |= !owner_suspect_start(
				owner, pool, task, need, now_ms);
			continue;
		}
		owner_request_set_task(owner, pool, task, &need, now_ms);
		chosen = owner_worker_choose(owner, pool, group, &need, now_ms);
		if (chosen < 0 && need.has_failed)
			continue;
		if (chosen < 0) {
			group->fits_nowhere = !needs_ticket;
			owner_lookahead_plan(owner, pool, group, now_ms);
			return;
		}
		owner_candidate_reserve(&g_array_index(pool->candidates,
						       struct binpack_candidate,
						       chosen),
					&need);
		owner_task_start(owner, task,
				 g_ptr_array_index(pool->workers, chosen));
		if (pool->shares)
			owner_shares_add(pool->shares, owner,
					 group->occurrence->job,
					 group->step->need.cpu_milli);
	}
}

static void occurrence_start(struct owner *owner, struct schedule_pool *pool,
			     struct job_occurrence *occurrence, uint64_t now_ms)
{
	const GArray *steps = occurrence->job->spec->steps;

	for (guint i = 0; i < steps->len; i++) {
		struct job_group *group = &occurrence->groups[i];

		if (group->tasks_waiting > 0 && job_group_is_ready(group))
			group_start(owner, pool, group, now_ms);
	}
}

static void pending_collect(struct owner *owner, GHashTable *pools,
			    uint64_t now_ms)
{
	for (guint i = 0; i < owner->live_occurrences->len; i++) {
		struct job_occurrence *occurrence =
			g_ptr_array_index(owner->live_occurrences, i);
		const struct catalogue_queue *queue;
		struct schedule_pool *pool;

		if (!occurrence_has_waiting_tasks(occurrence))
			continue;
		/* An earlier owner may have begun it by a clock that was ahead.
		 */
		if (occurrence->due_ms > now_ms) {
			owner_schedule_request_within(
				owner, (uint32_t)(occurrence->due_ms - now_ms));
			continue;
		}
		queue = owner_job_queue(owner, occurrence->job);
		if (!queue)
			continue;
		sort_key_set(occurrence, queue, now_ms);
		pool = pool_get_or_create(owner, pools, queue->service);
		g_ptr_array_add(pool->pending, occurrence);
		owner_backlog_add(pool, occurrence);
		if (pool->shares)
			owner_shares_add(pool->shares, owner, occurrence->job,
					 0);
	}
}

/* Returns whether shares decide between an occurrence and others of its band,
 * since more work waits than can be in time. */
static bool shares_bind(struct owner *owner, const struct schedule_pool *pool,
			const struct job_occurrence *occurrence)
{
	const struct catalogue_queue *queue =
		pool->shares ? owner_job_queue(owner, occurrence->job) : NULL;
	struct urgency_work work;

	if (!queue)
		return false;
	work = owner_occurrence_work(occurrence, queue);
	return quota_pool_is_short(
		pool->backlog, pool->cpu_milli,
		work.objective_ms -
			MIN(work.objective_ms, work.critical_path_ms));
}

/* Starts work of one band and priority, pending[first] to pending[end - 1]:
 * first that of accounts that have no more than their share, then the rest. */
static void class_start(struct owner *owner, struct schedule_pool *pool,
			guint first, guint end, uint64_t now_ms)
{
	g_autoptr(GPtrArray) left = NULL;

	for (guint i = first; i < end; i++) {
		struct job_occurrence *occurrence =
			g_ptr_array_index(pool->pending, i);

		pool->shares_bind = shares_bind(owner, pool, occurrence);
		pool->left_by_share = false;
		occurrence_start(owner, pool, occurrence, now_ms);
		if (!pool->left_by_share)
			continue;
		if (!left)
			left = g_ptr_array_new();
		g_ptr_array_add(left, occurrence);
	}
	pool->shares_bind = false;
	for (guint i = 0; left && i < left->len; i++)
		occurrence_start(owner, pool, g_ptr_array_index(left, i),
				 now_ms);
}

static void pool_start(struct owner *owner, struct schedule_pool *pool,
		       uint64_t now_ms)
{
	const GPtrArray *pending = pool->pending;
	guint end;

	g_ptr_array_sort(pool->pending, occurrence_compare);
	for (guint first = 0; first < pending->len; first = end) {
		const struct job_occurrence *head =
			g_ptr_array_index(pending, first);
		uint64_t class = urgency_class_of(head->sort_key);

		for (end = first + 1; end < pending->len; end++) {
			const struct job_occurrence *next =
				g_ptr_array_index(pending, end);

			if (urgency_class_of(next->sort_key) != class)
				break;
		}
		class_start(owner, pool, first, end, now_ms);
	}
}

static void held_add(struct schedule_pool *pool, GPtrArray *held,
		     struct worker *worker)
{
	g_ptr_array_add(held, worker);
	pool->held_milli += worker->capacity.cpu_milli;
	pool->held_free_milli +=
		MAX(worker->capacity.cpu_milli - worker->used.cpu_milli, 0);
}

static void workers_collect(struct owner *owner, GHashTable *pools,
			    uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;
		struct schedule_pool *pool =
			g_hash_table_lookup(pools, worker->service);
		enum hold hold;

		if (!pool)
			continue;
		hold = owner_worker_refusal(owner, worker, now_ms);
		if (owner_crash_has_isolated(worker, now_ms))
			pool->isolating += !worker->ended;
		else if (hold == HOLD_NONE)
			candidate_add(owner, pool, worker, now_ms);
		else if (hold == HOLD_WORKER_BREAKER)
			held_add(pool, pool->quarantined, worker);
		else if (hold == HOLD_WORKER_CORDONED)
			held_add(pool, pool->cordoned, worker);
	}
}

struct schedule_pool *owner_pool_view(struct owner *owner, GHashTable **pools,
				      const char *service)
{
	uint64_t now_ms = loop_now_ms();
	struct schedule_pool *pool;

	*pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				       pool_destroy);
	pool = pool_get_or_create(owner, *pools, service);
	pending_collect(owner, *pools, now_ms);
	workers_collect(owner, *pools, now_ms);
	g_ptr_array_sort(pool->pending, occurrence_compare);
	return pool;
}

/* Starts what fits, and finds out whose room is wanted besides. */
static void pool_run(struct owner *owner, struct schedule_pool *pool,
		     uint64_t now_ms)
{
	for (guint i = 0; i < pool->cordoned->len; i++)
		((struct worker *)g_ptr_array_index(pool->cordoned, i))
			->room_is_wanted = false;
	if (pool->workers->len > 0 || pool->quarantined->len > 0 ||
	    pool->cordoned->len > 0)
		pool_start(owner, pool, now_ms);
	for (guint i = 0; i < pool->cordoned->len; i++) {
		struct worker *worker = g_ptr_array_index(pool->cordoned, i);

		if (!worker->room_is_wanted)
			worker->room_wanted_since_ms = 0;
	}
}

static void pools_start(struct owner *owner, GHashTable *pools, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	workers_collect(owner, pools, now_ms);
	g_hash_table_iter_init(&iter, pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		pool_run(owner, value, now_ms);
}

void owner_schedule_run(struct owner *owner)
{
	g_autoptr(GHashTable) pools = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, pool_destroy);
	uint64_t now_ms = loop_now_ms();

	owner->suspects_wait = false;
	owner->env.checked_ms = now_ms;
	owner_ownership_verify(owner);
	owner_accounts_pass_begin(owner);
	pending_collect(owner, pools, now_ms);
	if (g_hash_table_size(pools) > 0)
		pools_start(owner, pools, now_ms);
	owner_backlogs_update(owner, pools);
	owner_accounts_pass_end(owner);
}
