#include "owner.h"

#include <string.h>

#include "job_record.h"
#include "log.h"
#include "owner_accounts.h"
#include "owner_private.h"

/* Minimum interval between transactions: changes made within it share one. */
#define OWNER_COMMIT_INTERVAL_MS 20
/* The state of an ended job is kept for this multiple of the promised time. */
#define OWNER_STATUS_RETENTION_FACTOR 2

static void on_open(void *data, uint64_t epoch)
{
	struct owner *owner = data;

	owner->epoch = epoch;
	owner_records_load(owner);
}

static void on_committed(void *data, struct job *job)
{
	struct owner *owner = data;

	if (job->stored_state <= JOB_RUNNING && job->spec &&
	    job->spec->occurrence_count == 0 && job->occurrences_begun == 0 &&
	    owner_job_is_live(job)) {
		owner->counters.accepted++;
		log_info("job-accepted",
			 "job %s of queue %s accepted, account %s%s, steps %u, "
			 "stored after %" G_GUINT64_FORMAT " ms",
			 job->id, job->queue, job->account ? job->account : "-",
			 job->is_excess ? ", beyond its rate" : "",
			 job->spec->steps->len,
			 loop_now_ms() - job->accepted_ms);
		owner_occurrence_add(owner, job);
		owner_schedule_request(owner);
	}
	owner_calls_answer_committed(owner, job);
}

static void on_refused(void *data, struct job *job)
{
	owner_calls_refuse_job(data, job, "the store refuses it");
}

static void on_progress(void *data)
{
	struct owner *owner = data;
	uint64_t committed = commit_durable_mark(owner->log);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;

		if (worker->ends->len > 0)
			worker_ack_ends(worker, committed);
	}
	if (owner->suspects_wait)
		owner_schedule_request(owner);
}

static void on_fenced(void *data)
{
	struct owner *owner = data;

	owner->env.ops->on_deposed(owner, "the store");
}

static const struct commit_ops log_ops = {
	.on_open = on_open,
	.on_refused = on_refused,
	.on_committed = on_committed,
	.on_progress = on_progress,
	.on_fenced = on_fenced,
};

static void on_schedule(void *data)
{
	struct owner *owner = data;

	if (owner_is_ready(owner) && !owner->fenced)
		owner_schedule_run(owner);
}

static void on_list(void *data)
{
	owner_workers_list(data);
}

static void on_step_down(void *data)
{
	struct owner *owner = data;

	owner->ops->on_ownership_lost(owner->data);
}

/* Begins due occurrences and removes jobs whose retention time is over. */
static void on_sweep(void *data)
{
	struct owner *owner = data;
	uint64_t now_ms = loop_now_ms();
	uint64_t keep_ms = (uint64_t)owner->config.service->ended_retention_ms *
			   OWNER_STATUS_RETENTION_FACTOR;
	GHashTableIter iter;
	gpointer value;

	owner_lease_trace_tick(owner);
	owner_ownership_verify(owner);
	g_hash_table_iter_init(&iter, owner->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job *job = value;

		owner_occurrences_begin_due(owner, job);
		if (owner_job_is_live(job) || job->spec || job->dirty ||
		    job->in_flight || job->waiters ||
		    now_ms - job->ended_ms < keep_ms)
			continue;
		if (commit_forget(owner->log, job))
			g_hash_table_iter_remove(&iter);
	}
	owner_cancels_expire(owner->cancels, now_ms, keep_ms);
	owner_gangs_stop_overdue(owner);
	owner_crash_observe(owner, now_ms);
	owner_calls_refuse_unsent(owner);
	loop_timer_set(owner->config.loop, &owner->sweep_timer,
		       OWNER_SWEEP_INTERVAL_MS);
}

static void job_free(gpointer data)
{
	job_destroy(data);
}

static void worker_free(gpointer data)
{
	worker_drop(data);
}

static void timer_init(struct timer *timer, timer_cb cb, struct owner *owner)
{
	timer->cb = cb;
	timer->data = owner;
}

static void worker_env_init(struct owner *owner)
{
	owner->env = (struct worker_env){
		.loop = owner->config.loop,
		.platform = owner->config.platform,
		.platform_self = owner->config.platform_self,
		.fence_base = (uint64_t)owner->config.guard_revision *
			      WORKER_FENCE_SPAN,
		.lease_ms = owner->config.service->worker_lease_ms,
		.poll_wait_max_ms = worker_poll_wait_max_ms(
			owner->config.service->worker_lease_ms),
		.ops = &owner_worker_ops,
		.data = owner,
	};
}

/* Values are sent as base64, and the limit may apply to the encoded form. */
static size_t value_max_bytes(const struct jobs_config *service)
{
	return (size_t)service->value_bytes / 4 * 3;
}

struct owner *owner_create(const struct owner_config *config,
			   struct catalogue *catalogue,
			   const struct owner_ops *ops, void *data)
{
	struct owner *owner = g_new0(struct owner, 1);

	owner->config = *config;
	owner->ops = ops;
	owner->data = data;
	owner->catalogue = catalogue_ref(catalogue);
	owner->takeover_started_ms = loop_now_ms();
	owner->jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
	owner->workers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       worker_free);
	owner->duration_estimates =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	owner->backgrounds =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	owner->demand_trends =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	owner->vm_health =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	owner->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						owner_account_free);
	owner->backlogs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	owner->live_occurrences = g_ptr_array_new();
	owner->lease_trace =
		owner_lease_trace_create(owner->takeover_started_ms);
	owner->weak_ref = weak_ref_create(owner);
	g_queue_init(&owner->pending_calls);
	timer_init(&owner->schedule_timer, on_schedule, owner);
	timer_init(&owner->list_timer, on_list, owner);
	timer_init(&owner->sweep_timer, on_sweep, owner);
	timer_init(&owner->step_down_timer, on_step_down, owner);
	timer_init(&owner->read_retry_timer, owner_on_read_retry, owner);
	worker_env_init(owner);
	owner->fleet = owner_fleet_create(owner);
	owner->log = commit_log_create(
		config->loop, config->store, config->guard_key,
		config->guard_revision, OWNER_COMMIT_INTERVAL_MS,
		value_max_bytes(config->service), &log_ops, owner);
	owner->cancels = owner_cancels_create(owner->log);
	return owner;
}

void owner_destroy(struct owner *owner)
{
	if (!owner)
		return;
	owner->fenced = true;
	owner_calls_abort(owner);
	timer_cancel(&owner->schedule_timer);
	timer_cancel(&owner->list_timer);
	timer_cancel(&owner->sweep_timer);
	timer_cancel(&owner->step_down_timer);
	timer_cancel(&owner->read_retry_timer);
	owner_fleet_destroy(owner->fleet);
	commit_log_destroy(owner->log);
	g_hash_table_unref(owner->workers);
	g_ptr_array_unref(owner->live_occurrences);
	g_hash_table_unref(owner->duration_estimates);
	g_hash_table_unref(owner->vm_health);
	g_hash_table_unref(owner->backgrounds);
	g_hash_table_unref(owner->demand_trends);
	g_hash_table_unref(owner->jobs);
	g_hash_table_unref(owner->backlogs);
	g_hash_table_unref(owner->accounts);
	owner_cancels_destroy(owner->cancels);
	owner_lease_trace_destroy(owner->lease_trace);
	catalogue_unref(owner->catalogue);
	weak_ref_invalidate(owner->weak_ref);
	g_free(owner);
}

void owner_log_lost(struct owner *owner)
{
	owner_lease_trace_lost(owner);
}

void owner_set_catalogue(struct owner *owner, struct catalogue *catalogue)
{
	const GArray *before = owner->catalogue->queues;

	for (guint i = 0; i < before->len; i++) {
		const struct catalogue_queue *queue =
			&g_array_index(before, struct catalogue_queue, i);

		if (!catalogue_queue_find(catalogue, queue->name))
			owner_queue_drop(owner, queue);
	}
	catalogue_unref(owner->catalogue);
	owner->catalogue = catalogue_ref(catalogue);
	owner_schedule_request(owner);
}

void owner_metrics_append(const struct owner *owner, GString *out)
{
	const struct owner_counters *counters = &owner->counters;
	const struct {
		const char *name;
		uint64_t value;
	} rows[] = {
		{ "jobs_accepted_total", counters->accepted },
		{ "jobs_refused_total", counters->refused },
		{ "jobs_ended_total{state=\"succeeded\"}",
		  counters->succeeded },
		{ "jobs_ended_total{state=\"failed\"}", counters->failed },
		{ "jobs_ended_total{state=\"cancelled\"}",
		  counters->cancelled },
		{ "task_starts_total", counters->starts },
		{ "task_starts_refused_total", counters->starts_refused },
		{ "task_starts_unanswered_total", counters->starts_unanswered },
		{ "tasks_lost_total", counters->tasks_lost },
		{ "superseded_successes_total",
		  counters->superseded_successes },
		{ "unknown_ends_total", counters->unknown_ends },
		{ "worker_crashes_total", counters->worker_crashes },
		{ "tasks_lost_in_crashes_total",
		  counters->tasks_lost_in_crashes },
		{ "tasks_suspected_total", counters->tasks_suspected },
		{ "tasks_cleared_total", counters->tasks_cleared },
		{ "tasks_given_up_total", counters->tasks_given_up },
		{ "tasks_adopted_total", counters->tasks_adopted },
		{ "stray_runs_total", counters->orphaned_runs },
		{ "tasks_stood_still_total", counters->stalled },
		{ "worker_quarantines_total", counters->quarantines },
		{ "worker_reports_total", counters->reports },
		{ "task_plans_total", counters->plans },
		{ "vm_moves_total", counters->moves },
		{ "vm_maintenances_total", counters->maintenances },
		{ "jobs", g_hash_table_size(owner->jobs) },
		{ "workers", g_hash_table_size(owner->workers) },
		{ "workers_out_of_touch", owner->workers_out_of_touch },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		g_string_append_printf(
			out, "sassafrascart_%s %" G_GUINT64_FORMAT "\n",
			rows[i].name, rows[i].value);
	for (size_t i = 0; i < G_N_ELEMENTS(counters->ends); i++)
		g_string_append_printf(out,
				       "sassafrascart_task_ends_total{kind="
				       "\"%s\"} %" G_GUINT64_FORMAT "\n",
				       adapter_end_name(i), counters->ends[i]);
	for (size_t i = JOB_REQUEUE_NONE + 1; i < JOB_REQUEUE_COUNT; i++)
		g_string_append_printf(
			out,
			"sassafrascart_task_restarts_total{cause=\"%s\"} "
			"%" G_GUINT64_FORMAT "\n",
			job_requeue_cause_name(i), counters->restarts[i]);
	owner_lease_trace_metrics_append(owner, out);
	owner_accounts_metrics_append(owner, out);
}
