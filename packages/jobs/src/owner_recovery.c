#include <string.h>

#include "job_record.h"
#include "log.h"
#include "owner_accounts.h"
#include "owner_private.h"

#define OWNER_READ_RETRY_DELAY_MS 100

bool owner_is_ready(const struct owner *owner)
{
	return owner->jobs_read && owner->ends_read && owner->progress_read;
}

static void on_records_loaded(struct owner *owner)
{
	uint64_t now_ms = loop_now_ms();
	GHashTableIter iter;
	gpointer value;
	guint ended[JOB_CANCELLED + 1] = { 0 };
	guint live = 0;

	g_hash_table_iter_init(&iter, owner->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job *job = value;

		job->accepted_ms = now_ms;
		job->ended_ms = now_ms;
		job->is_restored = true;
		ended[job->state]++;
		owner_account_join(owner, job);
		if (!owner_job_is_live(job)) {
			if (job->spec)
				owner_occurrence_add(owner, job);
			continue;
		}
		live++;
		if (job->occurrences->len == 0 &&
		    job->spec->occurrence_count == 0)
			owner_occurrence_add(owner, job);
		/* An occurrence that is under way has no record before the
		 * first of its tasks has ended. */
		owner_occurrences_begin_due(owner, job);
	}
	owner_tasks_set_unknown(owner);
	log_info("takeover-read",
		 "epoch %" G_GUINT64_FORMAT
		 ": %u stored jobs, %u of them live, %u succeeded, %u failed, "
		 "%u cancelled, read after %" G_GUINT64_FORMAT " ms",
		 owner->epoch, g_hash_table_size(owner->jobs), live,
		 ended[JOB_SUCCEEDED], ended[JOB_FAILED], ended[JOB_CANCELLED],
		 now_ms - owner->takeover_started_ms);
	owner->ops->on_ready(owner->data);
	/* Workers are polled only now, because reports refer to tasks of jobs
	 * that must have been loaded. */
	owner_roster_load(owner);
	owner_workers_list(owner);
	loop_timer_set(owner->config.loop, &owner->sweep_timer,
		       OWNER_SWEEP_INTERVAL_MS);
	owner_takeover_try_finish(owner);
	owner_schedule_request(owner);
}

/* Completes a read of records. Returns the owner if the records are to be
 * processed, NULL if the owner was freed or the read failed. */
static struct owner *read_complete(void *data, enum err_kind err)
{
	struct owner *owner = weak_ref_release(data);

	if (!owner)
		return NULL;
	owner->records_read_in_flight = false;
	if (err == ERR_NONE)
		return owner;
	owner_read_retry_schedule(owner, err);
	return NULL;
}

typedef void (*record_cb)(struct owner *owner, struct segment *segment,
			  const char *id, json_t *record, GHashTable *newest);

static gint key_compare(gconstpointer a, gconstpointer b)
{
	const struct platform_kv *const *left = a;
	const struct platform_kv *const *right = b;

	return strcmp((*left)->key, (*right)->key);
}

/* Calls back for each record of all values in the order in which they were
 * written, which is the order of the numbers in their keys. */
static void records_foreach(struct owner *owner,
			    const struct platform_result *result, record_cb cb,
			    GHashTable *newest)
{
	g_autoptr(GPtrArray) kvs = g_ptr_array_new();

	for (size_t i = 0; i < result->kv_count; i++)
		g_ptr_array_add(kvs, (gpointer)&result->kvs[i]);
	g_ptr_array_sort(kvs, key_compare);
	for (guint i = 0; i < kvs->len; i++) {
		const struct platform_kv *kv = g_ptr_array_index(kvs, i);
		json_t *records =
			job_record_batch_decode(kv->value, kv->value_len);
		struct segment *segment;
		const char *id;
		json_t *record;

		if (!records)
			log_warning("job-records-malformed",
				    "records at key %s cannot be parsed and "
				    "are ignored",
				    kv->key);
		segment = commit_restore_begin(owner->log, kv->key);
		json_object_foreach(records, id, record)
			cb(owner, segment, id, record, newest);
		commit_restore_end(owner->log, segment);
		json_decref(records);
	}
}

static void record_unref(gpointer record)
{
	json_decref(record);
}

/* Keeps the newest progress record of each job. */
static void progress_collect(struct owner *owner, struct segment *segment,
			     const char *id, json_t *record, GHashTable *newest)
{
	struct job *job = g_hash_table_lookup(owner->jobs, id);

	if (!job || !owner_job_is_live(job))
		return;
	commit_restore_add(owner->log, segment, job, JOB_SEGMENT_PROGRESS);
	g_hash_table_replace(newest, job->id, json_incref(record));
}

static void progress_apply(struct owner *owner, struct job *job,
			   const json_t *record)
{
	if (job_record_progress_apply(job, record, loop_now_ms(),
				      loop_unix_ms()) != ERR_NONE)
		log_warning("progress-malformed",
			    "progress of job %s cannot be parsed and is "
			    "ignored in whole or in part",
			    job->id);
	for (guint i = 0; i < job->occurrences->len; i++) {
		struct job_occurrence *occurrence =
			g_ptr_array_index(job->occurrences, i);

		occurrence->live_slot = owner->live_occurrences->len;
		g_ptr_array_add(owner->live_occurrences, occurrence);
	}
}

static void on_progress_read(void *data, enum err_kind err,
			     const struct platform_result *result)
{
	struct owner *owner = read_complete(data, err);
	g_autoptr(GHashTable) newest = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, record_unref);
	GHashTableIter iter;
	gpointer id;
	gpointer record;

	if (!owner)
		return;
	records_foreach(owner, result, progress_collect, newest);
	g_hash_table_iter_init(&iter, newest);
	while (g_hash_table_iter_next(&iter, &id, &record))
		progress_apply(owner, g_hash_table_lookup(owner->jobs, id),
			       record);
	owner->progress_read = true;
	on_records_loaded(owner);
}

static void end_restore(struct owner *owner, struct segment *segment,
			const char *id, json_t *record, GHashTable *newest)
{
	struct job *job = g_hash_table_lookup(owner->jobs, id);
	struct job *ended;

	if (job_record_end_decode(id, record, &ended) != ERR_NONE) {
		log_warning("job-end-malformed",
			    "end of job %s cannot be parsed and is ignored",
			    id);
		return;
	}
	if (ended->is_cancel_only) {
		owner_cancels_restore(owner->cancels, ended, loop_now_ms());
		commit_restore_add(owner->log, segment, ended, JOB_SEGMENT_END);
		return;
	}
	/* A job's definition is deleted some time after its end is stored, so
	 * both may be present. */
	ended->has_definition = job && job->has_definition;
	if (job)
		ended->spec = g_steal_pointer(&job->spec);
	if (!job_outlives_end(ended))
		job_trim(ended);
	g_hash_table_replace(owner->jobs, ended->id, ended);
	commit_restore_add(owner->log, segment, ended, JOB_SEGMENT_END);
}

static void on_ends_read(void *data, enum err_kind err,
			 const struct platform_result *result)
{
	struct owner *owner = read_complete(data, err);

	if (!owner)
		return;
	records_foreach(owner, result, end_restore, NULL);
	owner->ends_read = true;
	owner_records_load(owner);
}

static void on_jobs_read(void *data, enum err_kind err,
			 const struct platform_result *result)
{
	struct owner *owner = read_complete(data, err);
	size_t prefix_len = strlen(JOB_RECORD_PREFIX_DEFINITION);

	if (!owner)
		return;
	for (size_t i = 0; i < result->kv_count; i++) {
		const struct platform_kv *kv = &result->kvs[i];
		struct job *job = NULL;

		if (job_record_job_decode(kv->key + prefix_len, kv->value,
					  kv->value_len, &job) == ERR_NONE)
			g_hash_table_replace(owner->jobs, job->id, job);
		else
			log_warning(
				"job-record-malformed",
				"job record %s cannot be parsed and is ignored",
				kv->key);
	}
	owner->jobs_read = true;
	owner_records_load(owner);
}

/* Reads definitions first, then ends, so that progress is applied only to jobs
 * that have not ended. */
void owner_records_load(struct owner *owner)
{
	const char *prefix = JOB_RECORD_PREFIX_PROGRESS;
	platform_cb cb = on_progress_read;

	if (owner_is_ready(owner) || owner->records_read_in_flight)
		return;
	if (!owner->jobs_read) {
		prefix = JOB_RECORD_PREFIX_DEFINITION;
		cb = on_jobs_read;
	} else if (!owner->ends_read) {
		prefix = JOB_RECORD_PREFIX_END;
		cb = on_ends_read;
	}
	owner->records_read_in_flight = true;
	platform_range(owner->config.store, prefix, true, cb,
		       weak_ref_acquire(owner->weak_ref));
}

void owner_on_read_retry(void *data)
{
	struct owner *owner = data;

	owner_records_load(owner);
	if (owner_is_ready(owner))
		owner_roster_load(owner);
}

void owner_read_retry_schedule(struct owner *owner, enum err_kind err)
{
	log_warning("takeover-read-failed",
		    "stored state cannot be read and is read again: %s",
		    err_name(err));
	if (!timer_is_set(&owner->read_retry_timer))
		loop_timer_set(owner->config.loop, &owner->read_retry_timer,
			       OWNER_READ_RETRY_DELAY_MS);
}
