#include <jansson.h>
#include <string.h>

#include "owner_schedule.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC(json_t, json_decref)

/* Resources of a task of which only the queue is known. */
#define EXPLAIN_CPU_DEFAULT_MILLI 1000

/* What is to be explained: a task that waits, or one that might be submitted.
 */
struct subject {
	const struct catalogue_queue *queue;
	/* NULL for a task that has not been submitted */
	struct job_group *group;
	struct binpack_request need;
	struct owner_account *account;
};

static void worker_append(json_t *workers, const struct worker *worker,
			  const char *why)
{
	json_t *row = json_pack("{s:s, s:I, s:I, s:I}", "worker", worker->id,
				"cpu_free_milli",
				(json_int_t)(worker->capacity.cpu_milli -
					     worker->used.cpu_milli),
				"memory_free_mb",
				(json_int_t)(worker->capacity.memory_mb -
					     worker->used.memory_mb),
				"tasks", (json_int_t)worker->tasks->len);

	if (why)
		json_object_set_new(row, "passed_over", json_string(why));
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
		const char *why = owner_worker_refusal(owner, worker, now_ms);

		if (strcmp(worker->service, pool->service) != 0)
			continue;
		if (!why && owner_crash_has_isolated(worker, now_ms))
			why = "it runs a task that may crash it";
		if (why)
			worker_append(workers, worker, why);
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

/* Returns what holds the task back before workers are looked at, NULL if
 * nothing does. @param task NULL for one that has not been submitted */
static const char *held_back(struct owner *owner, const struct subject *subject,
			     struct job_task *task)
{
	const struct resources need = {
		.cpu_milli = subject->need.cpu_milli,
		.memory_mb = subject->need.memory_mb,
		.accelerators = subject->need.accelerators,
	};

	if (owner_store_is_unavailable(owner) && !subject->group)
		return "refused: the store is away";
	if (subject->account &&
	    !owner_account_has_room(owner, subject->account, &need, 1))
		return "waits: its account has reached its limit";
	if (subject->group && !job_group_is_ready(subject->group))
		return "waits: earlier steps are not done";
	if (task && !owner_task_may_start(owner, task))
		return "waits: no worker has reported how its last run ended, "
		       "and the owner's lease is not valid";
	if (task && suspect_needs_isolation(task->suspect))
		return "waits: it may have crashed a worker";
	return NULL;
}

static json_t *subject_describe(struct owner *owner, struct subject *subject)
{
	g_autoptr(GHashTable) pools = NULL;
	struct schedule_pool *pool =
		owner_pool_view(owner, &pools, subject->queue->service);
	struct job_task *task = waiting_task(subject->group);
	const char *held = held_back(owner, subject, task);
	json_t *out = json_pack(
		"{s:s, s:s, s:I, s:I, s:I, s:I}", "queue", subject->queue->name,
		"pool", pool->service, "config_version",
		(json_int_t)owner->catalogue->version, "cpu_milli",
		(json_int_t)subject->need.cpu_milli, "memory_mb",
		(json_int_t)subject->need.memory_mb, "pool_backlog_ms",
		(json_int_t)(pool->cpu_milli > 0
				     ? pool->backlog / (double)pool->cpu_milli
				     : 0));
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
	if (!held && chosen < 0)
		held = "waits: it fits on no worker now";
	json_object_set_new(out, "outcome",
			    json_string(held ? held : "starts"));
	if (!held)
		json_object_set_new(
			out, "worker",
			json_string(((const struct worker *)g_ptr_array_index(
					     pool->workers, chosen))
					    ->id));
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

static json_t *job_explain(struct owner *owner, const char *id)
{
	const struct job *job = g_hash_table_lookup(owner->jobs, id);
	struct subject subject = { 0 };

	if (!job)
		return json_pack("{s:s}", "outcome", "no such job");
	subject.queue = owner_job_queue(owner, job);
	subject.group = waiting_group(job);
	subject.account = job->account_use;
	if (!owner_job_is_live(job))
		return json_pack("{s:s}", "outcome", "the job has ended");
	if (!subject.queue)
		return json_pack("{s:s}", "outcome",
				 "waits: the configuration lacks its queue");
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
