#include "log.h"
#include "owner_private.h"

/* Weights of tasks that a crash would take with it; a short task counts one. */
#define OWNER_CRASH_LOSS_GANG 4
#define OWNER_CRASH_LOSS_LONG_RUNNING 8
/* Interval at which the time that workers run without a suspect is counted. */
#define OWNER_CRASH_OBSERVE_MS 200

static const char *cause_name(enum worker_end_cause cause)
{
	static const char *const names[] = {
		[WORKER_CRASHED] = "crashed",
		[WORKER_REPLACED] = "crashed",
		[WORKER_REMOVED] = "moved, maintained or removed",
		[WORKER_LEASE_EXPIRED] = "unreachable",
	};

	return names[cause];
}

/* Time that the newest run of a task had lasted at a local time at which its
 * worker answered. The answer may have been late, which the worker's clock in
 * it tells, if known. */
static uint64_t age_at_answer_ms(const struct job_task *task,
				 uint64_t answered_ms, uint64_t clock_ms)
{
	uint64_t begun_clock_ms = task->started_clock_ms;
	uint64_t age_ms = answered_ms > task->ordered_ms
				  ? answered_ms - task->ordered_ms
				  : 0;

	if (begun_clock_ms == 0 || clock_ms == 0)
		return age_ms;
	return MIN(age_ms, clock_ms - MIN(begun_clock_ms, clock_ms));
}

/* Time that a task had certainly run when its worker ended. */
static uint64_t task_age_ms(const struct worker *worker,
			    const struct job_task *task)
{
	uint64_t until_ms = worker->ran_until_ms;

	if (worker->crash_pending)
		return age_at_answer_ms(task, worker->crash_until_ms,
					worker->crash_clock_ms);
	/* Its connection was cut. */
	if (until_ms > worker->clock_at_ms)
		return until_ms > task->ordered_ms ? until_ms - task->ordered_ms
						   : 0;
	return age_at_answer_ms(task, worker->clock_at_ms, worker->clock_ms);
}

/* Logs the tasks of a worker that has ended for another cause than a crash. */
static void lost_tasks_log(const struct worker *worker,
			   enum worker_end_cause cause)
{
	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct job_task *task =
			g_ptr_array_index(worker->tasks, i);
		char name[JOB_TASK_NAME_BYTES];

		job_task_name(task, name);
		log_info("task-lost",
			 "task %s run %u ended with worker %s on VM %s, which "
			 "was %s, after %" G_GUINT64_FORMAT " ms",
			 name, task->run, worker->id,
			 worker->vm ? worker->vm : "unknown", cause_name(cause),
			 task_age_ms(worker, task));
	}
}

/* Returns how many workers have become unreachable at about the same time as
 * this one. */
static uint32_t simultaneous_ends(const struct owner *owner,
				  const struct worker *worker)
{
	uint64_t end_ms = worker->unanswered_since_ms;
	uint32_t count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->workers);
	while (end_ms != 0 && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct worker *other = value;

		/* A worker whose VM is moved or maintained ends for that
		 * reason. */
		if (other->draining || other->cordoned)
			continue;
		count += other->unanswered_since_ms != 0 &&
			 other->unanswered_since_ms + SUSPECT_SAME_MOMENT_MS >=
				 end_ms &&
			 other->unanswered_since_ms <=
				 end_ms + SUSPECT_SAME_MOMENT_MS;
	}
	return count;
}

uint32_t owner_vm_hash(const struct worker *worker)
{
	return worker->vm ? g_str_hash(worker->vm) : 0;
}

/* The members of a gang start and end together, so they are one suspect. */
static uint64_t suspect_unit(const struct job_task *task)
{
	const void *unit = task->group->step->is_gang
				   ? (const void *)task->group
				   : (const void *)task;

	return (uint64_t)(uintptr_t)unit;
}

/* What shows that an incarnation has ended. */
enum crash_sign {
	/* its VM is not up, or has another worker */
	CRASH_LISTED,
	/* another incarnation answers at its address: orders that are not
	 * answered yet have been sent to that one, as far as is known */
	CRASH_ANSWERED,
	/* the report, being processed, of the incarnation that followed it, and
	 * that has received the orders whose runs it lists */
	CRASH_REPORTED,
};

/* Returns whether the newest run of a task was begun by a later incarnation
 * than the one that has ended, if at all. */
static bool run_is_later(const struct owner *owner, const struct job_task *task,
			 enum crash_sign sign)
{
	if (sign == CRASH_ANSWERED)
		return task->start_in_flight;
	return sign == CRASH_REPORTED &&
	       task->seen_in_report == owner->report_serial;
}

/* Collects the tasks whose newest run has not been judged yet, and that were on
 * the incarnation that has ended. */
static GArray *suspects_collect(const struct owner *owner,
				const struct worker *worker,
				enum crash_sign sign, GPtrArray *tasks)
{
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct suspect_task));

	for (guint i = 0; i < worker->tasks->len; i++) {
		struct job_task *task = g_ptr_array_index(worker->tasks, i);
		struct suspect_task suspect = {
			.age_ms = (uint32_t)MIN(task_age_ms(worker, task),
						UINT32_MAX),
			.age_known = !task->adopted,
			/* An order without an answer may have gone over a
			 * connection that had ended with an earlier
			 * incarnation. */
			.certain = task->state != JOB_TASK_STARTING,
			.unit = suspect_unit(task),
			.place = owner_vm_hash(worker),
			.long_running = task->group->step->is_long_running,
		};

		if (task->crashed_run == task->run ||
		    !owner_job_is_live(task->group->occurrence->job) ||
		    run_is_later(owner, task, sign))
			continue;
		suspect.evidence = job_task_suspect(task);
		task->crashed_run = task->run;
		g_array_append_val(out, suspect);
		g_ptr_array_add(tasks, task);
	}
	return out;
}

static void verdict_log(const struct worker *worker,
			const struct job_task *task,
			const struct suspect_task *suspect, guint others,
			bool convicted)
{
	static const char *const names[] = {
		[SUSPECT_EXONERATED] = "not suspected",
		[SUSPECT_POSSIBLE] = "suspected",
		[SUSPECT_SOLE] = "the only suspect",
	};
	char name[JOB_TASK_NAME_BYTES];

	job_task_name(task, name);
	log_info(convicted ? "task-given-up" : "task-lost",
		 "task %s run %u ended with worker %s on VM %s, which crashed, "
		 "after %u ms, other tasks there %u: %s; crashes %u, as the "
		 "only suspect %u, shortly after its start %u; chance of these "
		 "if it is harmless %u ppb, each worker crashing by itself "
		 "every %u s%s",
		 name, task->run, worker->id,
		 worker->vm ? worker->vm : "unknown", suspect->age_ms, others,
		 names[suspect->verdict], suspect->evidence->crashes,
		 suspect->evidence->sole,
		 suspect_prompt_crashes(suspect->evidence),
		 suspect_chance_ppb(suspect->evidence),
		 1000000 / MAX(suspect->evidence->rate_ppb, 1),
		 convicted ? "; it is given up" : "");
}

/* Calls a function for each task of the occurrences that have not ended. */
static void tasks_foreach(struct owner *owner,
			  void (*each)(struct owner *owner,
				       struct job_task *task,
				       const struct suspect *convict),
			  const struct suspect *convict)
{
	for (guint i = 0; i < owner->live_occurrences->len; i++) {
		struct job_occurrence *occurrence =
			g_ptr_array_index(owner->live_occurrences, i);
		const GArray *steps = occurrence->job->spec->steps;

		for (guint j = 0; j < steps->len; j++) {
			struct job_group *group = &occurrence->groups[j];

			for (uint32_t k = 0; k < group->step->count; k++)
				each(owner, &group->tasks[k], convict);
		}
	}
}

static void task_exonerate(struct owner *owner, struct job_task *task,
			   const struct suspect *convict)
{
	for (uint32_t i = 0; task->suspect && i < convict->crashes; i++) {
		if (convict->events[i].crash != 0)
			suspect_exonerate(task->suspect,
					  convict->events[i].crash);
	}
}

static struct suspect_background *background_of(struct owner *owner,
						const struct worker *worker)
{
	struct suspect_background *background =
		g_hash_table_lookup(owner->backgrounds, worker->service);

	if (!background) {
		background = g_new0(struct suspect_background, 1);
		g_hash_table_insert(owner->backgrounds,
				    g_strdup(worker->service), background);
	}
	return background;
}

static uint32_t pool_size(const struct owner *owner, const char *service)
{
	uint32_t count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct worker *worker = value;

		count += g_strcmp0(worker->service, service) == 0;
	}
	return MAX(count, 1);
}

static bool is_unsuspected(const struct worker *worker, uint64_t now_ms)
{
	bool has_suspects;

	owner_crash_loss(worker, now_ms, &has_suspects);
	return !has_suspects && !worker->ended && worker->has_reported &&
	       !worker->draining;
}

void owner_crash_observe(struct owner *owner, uint64_t now_ms)
{
	uint64_t elapsed_ms = now_ms - owner->crash_observed_ms;
	GHashTableIter iter;
	gpointer value;

	if (elapsed_ms < OWNER_CRASH_OBSERVE_MS)
		return;
	owner->crash_observed_ms = now_ms;
	elapsed_ms = MIN(elapsed_ms, 2 * OWNER_CRASH_OBSERVE_MS);
	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;
		bool was_unsuspected = worker->unsuspected;

		/* It may have crashed. */
		if (!worker_is_reachable(worker) || worker->crash_pending)
			continue;
		worker->unsuspected = is_unsuspected(worker, now_ms);
		if (was_unsuspected && worker->unsuspected)
			suspect_background_observe(background_of(owner, worker),
						   elapsed_ms, now_ms);
	}
}

/* Removes the crashes that a task was convicted of from the evidence against
 * others. */
static void crashes_explain(struct owner *owner, const struct worker *worker,
			    const struct suspect *convict)
{
	const struct suspect explained = *convict;

	suspect_background_explain(background_of(owner, worker), &explained,
				   loop_now_ms());
	tasks_foreach(owner, task_exonerate, &explained);
}

/* Processes the verdict on a task. Returns whether it is given up. */
static bool verdict_process(struct owner *owner, const struct worker *worker,
			    struct job_task *task,
			    const struct suspect_task *suspect, guint others)
{
	bool convicted = suspect_is_convicted(suspect);

	verdict_log(worker, task, suspect, others, convicted);
	if (suspect->verdict == SUSPECT_EXONERATED)
		return false;
	owner->counters.tasks_suspected++;
	owner->counters.tasks_given_up += convicted;
	commit_mark_dirty(owner->log, task->group->occurrence->job);
	task->crash_mark = commit_newest_mark(owner->log);
	if (convicted)
		crashes_explain(owner, worker, suspect->evidence);
	return convicted;
}

/* Updates the evidence against the tasks on a worker that has crashed, and
 * collects the jobs of those that are convicted. */
static void crash_judge(struct owner *owner, const struct worker *worker,
			enum crash_sign sign, GPtrArray *convicted_jobs)
{
	g_autoptr(GPtrArray) tasks = g_ptr_array_new();
	g_autoptr(GArray) suspects =
		suspects_collect(owner, worker, sign, tasks);
	struct suspect_background *background = background_of(owner, worker);
	struct suspect_task *data = (struct suspect_task *)suspects->data;
	struct suspect_crash crash = {
		.number = ++owner->last_crash,
		.common_cause = suspect_cause_may_be_common(
			simultaneous_ends(owner, worker)),
		.in_background = worker->unsuspected &&
				 !suspect_any_likely(data, suspects->len),
		.background = background,
		.workers = pool_size(owner, worker->service),
		.now_ms = loop_now_ms(),
	};

	suspect_judge(&crash, data, suspects->len);
	if (crash.in_background)
		suspect_background_add(background, crash.now_ms);
	owner->counters.worker_crashes++;
	owner->counters.tasks_lost_in_crashes += tasks->len;
	log_info("worker-crashed",
		 "worker %s on VM %s crashed with %u tasks; at the same moment "
		 "as others: %s; recent crashes without a likely suspect %.1f "
		 "in %.0f s of its pool's workers",
		 worker->id, worker->vm ? worker->vm : "unknown", tasks->len,
		 crash.common_cause ? "yes" : "no", background->crashes,
		 background->exposure_ms / 1000);
	for (guint i = 0; i < tasks->len; i++) {
		struct job_task *task = g_ptr_array_index(tasks, i);

		if (verdict_process(
			    owner, worker, task,
			    &g_array_index(suspects, struct suspect_task, i),
			    suspects->len - 1))
			g_ptr_array_add(convicted_jobs,
					task->group->occurrence->job);
	}
}

GPtrArray *owner_crash_process(struct owner *owner, const struct worker *worker,
			       enum worker_end_cause cause)
{
	GPtrArray *convicted_jobs = g_ptr_array_new();

	/* A worker that drains ends for that reason. */
	if ((cause == WORKER_CRASHED || cause == WORKER_REPLACED) &&
	    !worker->draining)
		crash_judge(owner, worker,
			    cause == WORKER_REPLACED ? CRASH_ANSWERED
						     : CRASH_LISTED,
			    convicted_jobs);
	else
		lost_tasks_log(worker, cause);
	return convicted_jobs;
}

void owner_crash_defer(struct worker *worker)
{
	if (worker->crash_pending)
		return;
	if (worker->draining) {
		lost_tasks_log(worker, WORKER_CRASHED);
		worker->unsuspected = false;
		return;
	}
	worker->crash_until_ms = worker->clock_at_ms;
	worker->crash_clock_ms = worker->clock_ms;
	worker->crash_pending = true;
}

void owner_crash_judge_deferred(struct owner *owner, struct worker *worker)
{
	GPtrArray *convicted_jobs = g_ptr_array_new();

	crash_judge(owner, worker, CRASH_REPORTED, convicted_jobs);
	worker->crash_pending = false;
	worker->unsuspected = false;
	owner_crash_fail_jobs(owner, convicted_jobs);
}

void owner_crash_fail_jobs(struct owner *owner, GPtrArray *jobs)
{
	for (guint i = 0; i < jobs->len; i++) {
		struct job *job = g_ptr_array_index(jobs, i);

		if (owner_job_is_live(job))
			owner_job_finish(owner, job, JOB_FAILED,
					 "a task crashed its workers");
	}
	g_ptr_array_unref(jobs);
}

/* Time since the newest run was ordered. */
static uint64_t run_age_ms(const struct job_task *task, uint64_t now_ms)
{
	return now_ms > task->ordered_ms ? now_ms - task->ordered_ms : 0;
}

void owner_crash_try_clear(struct owner *owner, struct job_task *task)
{
	uint32_t crashes = task->suspect ? task->suspect->crashes : 0;
	char name[JOB_TASK_NAME_BYTES];
	uint64_t age_ms;

	if (task->state != JOB_TASK_RUNNING)
		return;
	age_ms = age_at_answer_ms(task, loop_now_ms(),
				  task->worker->report_clock_ms);
	if (!suspect_try_clear(task->suspect, age_ms))
		return;
	job_task_name(task, name);
	owner->counters.tasks_cleared++;
	log_info("task-cleared",
		 "task %s run %u at worker %s has run for %" G_GUINT64_FORMAT
		 " ms and is no suspect of %u crashes any more",
		 name, task->run, task->worker->id, age_ms, crashes);
	/* A successor may take up an old suspicion, but not an old verdict. */
	if (crashes > 1)
		commit_mark_dirty(owner->log, task->group->occurrence->job);
}

bool owner_crash_is_stored(const struct owner *owner,
			   const struct job_task *task)
{
	return task->crash_mark <= commit_durable_mark(owner->log);
}

bool owner_crash_has_isolated(const struct worker *worker, uint64_t now_ms)
{
	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct job_task *task =
			g_ptr_array_index(worker->tasks, i);

		if (suspect_needs_isolation(task->suspect) &&
		    suspect_on_probation(task->suspect,
					 run_age_ms(task, now_ms)))
			return true;
	}
	return false;
}

uint32_t owner_crash_loss(const struct worker *worker, uint64_t now_ms,
			  bool *has_suspects)
{
	uint32_t loss = 0;

	*has_suspects = false;
	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct job_task *task =
			g_ptr_array_index(worker->tasks, i);
		uint32_t weight = 1;

		if (task->group->step->is_gang)
			weight = OWNER_CRASH_LOSS_GANG;
		if (task->group->step->is_long_running)
			weight = OWNER_CRASH_LOSS_LONG_RUNNING;
		*has_suspects |= suspect_is_likely(task->suspect,
						   run_age_ms(task, now_ms));
		loss += weight;
	}
	return loss;
}

static void task_presume_crash(struct owner *owner, struct job_task *task,
			       const struct suspect *convict)
{
	if (task->state != JOB_TASK_UNKNOWN ||
	    !suspect_needs_isolation(task->suspect))
		return;
	suspect_presume_crash(task->suspect);
	commit_mark_dirty(owner->log, task->group->occurrence->job);
	task->crash_mark = commit_newest_mark(owner->log);
}

void owner_crash_presume(struct owner *owner)
{
	tasks_foreach(owner, task_presume_crash, NULL);
}
