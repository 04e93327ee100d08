#include <jansson.h>
#include <string.h>

#include "owner_schedule.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC(json_t, json_decref)

/* Resources of a task of which only the queue is known. */
#define EXPLAIN_CPU_DEFAULT_MILLI 1000

/* What is to be explained: a task that waits, or one that might be submitted.
 */
struct subject {
	/* its name too, which the stored queue of a job lacks */
	const struct catalogue_queue *queue;
	const char *queue_name;
	/* NULL for a task that has not been submitted */
	struct job_group *group;
	struct binpack_request need;
	struct owner_account *account;
};

/* Adds a reason under a key, what ends it, when that is if it is known, and
 * when it yields. */
static void hold_append(json_t *out, const char *key, const char *prefix,
			enum hold hold, uint64_t ends_ms)
{
	const struct hold_row *row = hold_row(hold);
	g_autofree char *text = g_strconcat(prefix, row->text, NULL);
	uint64_t now_ms = loop_now_ms();

	json_object_set_new(out, key, json_string(text));
	json_object_set_new(out, "ends", json_string(row->ends));
	if (ends_ms > now_ms)
		json_object_set_new(
			out, "ends_in_ms",
			json_integer((json_int_t)(ends_ms - now_ms)));
	if (row->yields_after_ms > 0)
		json_object_set_new(
			out, "yields_after_ms",
			json_integer((json_int_t)row->yields_after_ms));
}

/* Returns the local time at which a reason ends, 0 if that is not known. */
static uint64_t worker_hold_ends_ms(const struct worker *worker, enum hold hold)
{
	switch (hold) {
	case HOLD_WORKER_REFUSED:
		return worker->pause_until_ms;
	case HOLD_WORKER_BREAKER:
		return worker->health.open_until_ms;
	case HOLD_RESERVED:
		return worker->reserved_until_ms;
	default:
		return 0;
	}
}

static void worker_append(json_t *workers, const struct worker *worker,
			  enum hold hold)
{
	json_t *row = json_pack("{s:s, s:I, s:I, s:I}", "worker", worker->id,
				"cpu_free_milli",
				(json_int_t)(worker->capacity.cpu_milli -
					     worker->used.cpu_milli),
				"memory_free_mb",
				(json_int_t)(worker->capacity.memory_mb -
					     worker->used.memory_mb),
				"tasks", (json_int_t)worker->tasks->len);

	if (hold != HOLD_NONE)
		hold_append(row, "passed_over", "", hold,
			    worker_hold_ends_ms(worker, hold));
	json_array_append_new(workers, row);
}

/* Appends the workers of the pool: those that were weighed, and those that get
 * no tasks now. */
static json_t *workers_describe(struct owner *owner,
				const struct schedule_pool *pool,
				const struct subject *subject)
{
	json_t *workers = json_array();
	uint64_t now_ms = loop_now_ms();
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < pool->workers->len; i++)
		worker_append(
			workers, g_ptr_array_index(pool->workers, i),
			binpack_refusal(&g_array_index(pool->candidates,
						       struct binpack_candidate,
						       i),
					&subject->need));
	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;
		enum hold hold = owner_worker_refusal(owner, worker, now_ms);

		if (hold != HOLD_NONE &&
		    strcmp(worker->service, pool->service) == 0)
			worker_append(workers, worker, hold);
	}
	return workers;
}

static json_t *account_describe(const struct owner *owner,
				const struct owner_account *account)
{
	const struct catalogue_account *config =
		catalogue_account_find(owner->catalogue, account->name);

	return json_pack("{s:s, s:f, s:I, s:I, s:I, s:I, s:I}", "name",
			 account->name, "weight", config ? config->weight : 0.0,
			 "cpu_used_milli", (json_int_t)account->used.cpu_milli,
			 "cpu_limit_milli",
			 (json_int_t)(config ? config->limit.cpu_milli : 0),
			 "memory_used_mb", (json_int_t)account->used.memory_mb,
			 "memory_limit_mb",
			 (json_int_t)(config ? config->limit.memory_mb : 0),
			 "jobs_waiting", (json_int_t)account->waiting_jobs);
}

/* Returns the first waiting task of a group, NULL for none. */
static struct job_task *waiting_task(struct job_group *group)
{
	for (uint32_t i = 0; group && i < group->step->count; i++) {
		if (group->tasks[i].state == JOB_TASK_WAITING)
			return &group->tasks[i];
	}
	return NULL;
}

/* Returns what holds the waiting tasks of a group back, HOLD_NONE if nothing
 * does before workers are looked at. @param task the first one, NULL for none
 */
static enum hold group_hold(const struct owner *owner,
			    const struct job_group *group,
			    const struct job_task *task)
{
	if (!job_group_is_ready(group))
		return HOLD_STEPS;
	if (task && !owner_task_may_start(owner, task))
		return HOLD_END_UNREPORTED;
	if (group->step->is_gang && group->gang_unplaced_since_ms != 0)
		return group->gang_is_unplaceable ? HOLD_GANG_UNPLACEABLE
						  : HOLD_GANG_WAITS;
	if (task && !owner_crash_is_stored(owner, task))
		return HOLD_EVIDENCE;
	if (task && suspect_needs_isolation(task->suspect))
		return HOLD_SUSPECT;
	if (task && task->not_before_ms > loop_now_ms())
		return HOLD_BACKOFF;
	return group->held_by_plan ? HOLD_PLANNED_ROOM : HOLD_NONE;
}

static enum hold subject_hold(struct owner *owner,
			      const struct subject *subject,
			      const struct job_task *task)
{
	const struct resources need = {
		.cpu_milli = subject->need.cpu_milli,
		.memory_mb = subject->need.memory_mb,
		.accelerators = subject->need.accelerators,
	};
	/* A gang is started as a whole. */
	uint32_t count = subject->group && subject->group->step->is_gang
				 ? MAX(subject->group->tasks_waiting, 1)
				 : 1;

	if (owner_store_is_unavailable(owner) && !subject->group)
		return HOLD_STORE_UNAVAILABLE;
	if (subject->account &&
	    !owner_account_has_room(owner, subject->account, &need, count))
		return HOLD_ACCOUNT_LIMIT;
	return subject->group ? group_hold(owner, subject->group, task)
			      : HOLD_NONE;
}

/* Returns the local time at which a reason ends, 0 if that is not known. */
static uint64_t task_hold_ends_ms(const struct job_group *group,
				  const struct job_task *task, enum hold hold)
{
	if (hold == HOLD_BACKOFF)
		return task->not_before_ms;
	if (group && hold == HOLD_PLANNED_ROOM && group->held_since_ms != 0)
		return group->held_since_ms + hold_row(hold)->yields_after_ms;
	return 0;
}

static json_t *subject_describe(struct owner *owner, struct subject *subject)
{
	g_autoptr(GHashTable) pools = NULL;
	struct schedule_pool *pool =
		owner_pool_view(owner, &pools, subject->queue->service);
	struct job_task *task = waiting_task(subject->group);
	enum hold hold = subject_hold(owner, subject, task);
	json_t *out = json_pack(
		"{s:s, s:s, s:I, s:I, s:I, s:I}", "queue", subject->queue_name,
		"pool", pool->service, "config_version",
		(json_int_t)owner->catalogue->version, "cpu_milli",
		(json_int_t)subject->need.cpu_milli, "memory_mb",
		(json_int_t)subject->need.memory_mb, "pool_backlog_ms",
		(json_int_t)(pool->cpu_milli > 0
				     ? pool->backlog / (double)pool->cpu_milli
				     : 0));
	const struct worker *worker;
	int32_t chosen;

	/* A group that waits may need labels, racks or distance. */
	if (subject->group)
		owner_candidates_set_group(pool, subject->group,
					   subject->queue->needs_advice);
	if (task)
		owner_request_set_task(owner, pool, task, &subject->need,
				       loop_now_ms());
	for (guint i = 0; !subject->group && i < pool->candidates->len; i++)
		g_array_index(pool->candidates, struct binpack_candidate, i)
			.has_label = true;
	chosen = binpack_choose(
		(const struct binpack_candidate *)pool->candidates->data,
		pool->candidates->len, &subject->need);
	if (hold == HOLD_NONE && chosen < 0)
		hold = HOLD_NO_ROOM;
	if (hold == HOLD_NONE) {
		worker = g_ptr_array_index(pool->workers, chosen);
		json_object_set_new(out, "outcome", json_string("starts"));
		json_object_set_new(out, "worker", json_string(worker->id));
	} else {
		hold_append(out, "outcome",
			    hold == HOLD_STORE_UNAVAILABLE ? "refused: "
							   : "waits: ",
			    hold,
			    task_hold_ends_ms(subject->group, task, hold));
	}
	json_object_set_new(
		out, "jobs_ahead",
		json_integer(pool->pending->len - (subject->group ? 1 : 0)));
	if (subject->account)
		json_object_set_new(out, "account",
				    account_describe(owner, subject->account));
	json_object_set_new(out, "workers",
			    workers_describe(owner, pool, subject));
	return out;
}

/* Returns the first group of a job that has waiting tasks, NULL for none. */
static struct job_group *waiting_group(const struct job *job)
{
	for (guint i = 0; job->spec && i < job->occurrences->len; i++) {
		struct job_occurrence *occurrence =
			g_ptr_array_index(job->occurrences, i);

		for (guint j = 0; j < job->spec->steps->len; j++) {
			if (occurrence->groups[j].tasks_waiting > 0)
				return &occurrence->groups[j];
		}
	}
	return NULL;
}

static json_t *queue_removed_describe(void)
{
	json_t *out = json_object();

	hold_append(out, "outcome", "waits: ", HOLD_QUEUE_REMOVED, 0);
	return out;
}

static json_t *job_explain(struct owner *owner, const char *id)
{
	const struct job *job = g_hash_table_lookup(owner->jobs, id);
	struct subject subject = { 0 };

	if (!job)
		return json_pack("{s:s}", "outcome", "no such job");
	subject.queue = owner_job_queue(owner, job);
	subject.queue_name = job->queue;
	subject.group = waiting_group(job);
	subject.account = job->account_use;
	if (!owner_job_is_live(job))
		return json_pack("{s:s}", "outcome", "the job has ended");
	if (!subject.queue)
		return queue_removed_describe();
	if (!subject.group)
		return json_pack("{s:s}", "outcome",
				 "all tasks that may run are on workers");
	subject.need = owner_group_need(subject.group, loop_now_ms());
	return subject_describe(owner, &subject);
}

/* Explains QUEUE[/ACCOUNT[/CPU_MILLI[/MEMORY_MB]]]. */
static json_t *request_explain(struct owner *owner, const char *text)
{
	g_auto(GStrv) words = g_strsplit(text, "/", 4);
	guint count = g_strv_length(words);
	struct subject subject = {
		.queue = count > 0 ? catalogue_queue_find(owner->catalogue,
							  words[0])
				   : NULL,
		.need.cpu_milli = EXPLAIN_CPU_DEFAULT_MILLI,
	};

	if (!subject.queue)
		return json_pack("{s:s}", "outcome", "no such queue");
	subject.queue_name = words[0];
	if (count > 1)
		subject.account =
			g_hash_table_lookup(owner->accounts, words[1]);
	if (count > 2)
		subject.need.cpu_milli = g_ascii_strtoll(words[2], NULL, 10);
	if (count > 3)
		subject.need.memory_mb = g_ascii_strtoll(words[3], NULL, 10);
	return subject_describe(owner, &subject);
}

void owner_explain(struct owner *owner, enum jobs_explain kind,
		   const char *text, GString *out)
{
	g_autoptr(json_t) json = NULL;
	char *encoded;

	if (!owner_is_ready(owner))
		json = json_pack("{s:s}", "outcome",
				 "unknown: the owner still reads its state");
	else if (kind == JOBS_EXPLAIN_JOB)
		json = job_explain(owner, text);
	else
		json = request_explain(owner, text);
	encoded = json_dumps(json, JSON_COMPACT);
	g_string_append(out, encoded ? encoded : "{}");
	free(encoded);
}
