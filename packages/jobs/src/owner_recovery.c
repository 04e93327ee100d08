#include <string.h>

#include "job_record.h"
#include "log.h"
#include "owner_private.h"

/* Pause before a read of the store that failed is repeated. */
#define OWN_READ_RETRY_MS 100

bool owner_is_ready(const struct owner *owner)
{
	return owner->jobs_read && owner->ends_read && owner->progress_read;
}

static void records_are_read(struct owner *owner)
{
	uint64_t now_ms = loop_now_ms();
	GHashTableIter iter;
	gpointer value;
	guint live = 0;

	g_hash_table_iter_init(&iter, owner->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job *job = value;

		job->accepted_ms = now_ms;
		job->ended_ms = now_ms;
		if (!own_job_is_live(job))
			continue;
		live++;
		if (job->occurrences->len == 0 &&
		    job->spec->occurrence_count == 0)
			own_occurrence_add(owner, job);
	}
	own_tasks_restate(owner, JOB_TASK_WAITING, JOB_TASK_UNKNOWN);
	owner->has_unknown = true;
	log_info("takeover-read",
		 "epoch %" G_GUINT64_FORMAT ": %u jobs, %u of them live, "
		 "after %" G_GUINT64_FORMAT " ms",
		 owner->epoch, g_hash_table_size(owner->jobs), live,
		 now_ms - owner->began_ms);
	owner->ops->on_ready(owner->data);
	/* Not sooner: a report names tasks of jobs that must be known. */
	own_roster_read(owner);
	own_list_workers(owner);
	loop_timer_set(owner->config.loop, &owner->due_timer, OWN_DUE_MS);
	own_roster_settle(owner);
	own_plan_soon(owner);
}

/* Ends a reading of records; the owner goes on with them unless it is NULL. */
static struct owner *read_end(void *data, enum err_kind err)
{
	struct owner *owner = weak_ref_release(data);

	if (!owner)
		return NULL;
	owner->reading_records = false;
	if (err == ERR_NONE)
		return owner;
	own_read_again(owner, err);
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

/* Passes on each record of all values, those written last at the end: the
 * numbers in their keys grow. */
static void records_each(struct owner *owner,
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
			log_warning("job-records-malformed", "%s", kv->key);
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

/* Only the newest record of a job counts. */
static void progress_take(struct owner *owner, struct segment *segment,
			  const char *id, json_t *record, GHashTable *newest)
{
	struct job *job = g_hash_table_lookup(owner->jobs, id);

	if (!job || !own_job_is_live(job))
		return;
	commit_restore_add(owner->log, segment, job, JOB_SEGMENT_PROGRESS);
	g_hash_table_replace(newest, job->id, json_incref(record));
}

static void progress_apply(struct owner *owner, struct job *job,
			   const json_t *record)
{
	if (job_record_progress_apply(job, record, loop_now_ms(),
				      loop_unix_ms()) != ERR_NONE)
		log_warning("progress-malformed", "%s", job->id);
	for (guint i = 0; i < job->occurrences->len; i++) {
		struct job_occurrence *occurrence =
			g_ptr_array_index(job->occurrences, i);

		occurrence->live_slot = owner->live->len;
		g_ptr_array_add(owner->live, occurrence);
	}
}

static void on_progress_read(void *data, enum err_kind err,
			     const struct platform_result *result)
{
	struct owner *owner = read_end(data, err);
	g_autoptr(GHashTable) newest = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, record_unref);
	GHashTableIter iter;
	gpointer id;
	gpointer record;

	if (!owner)
		return;
	records_each(owner, result, progress_take, newest);
	g_hash_table_iter_init(&iter, newest);
	while (g_hash_table_iter_next(&iter, &id, &record))
		progress_apply(owner, g_hash_table_lookup(owner->jobs, id),
			       record);
	owner->progress_read = true;
	records_are_read(owner);
}

static void end_take(struct owner *owner, struct segment *segment,
		     const char *id, json_t *record, GHashTable *newest)
{
	struct job *job = g_hash_table_lookup(owner->jobs, id);
	struct job *ended;

	if (job_record_end_decode(id, record, &ended) != ERR_NONE) {
		log_warning("job-end-malformed", "%s", id);
		return;
	}
	/* The definition is deleted some time after the end is written. */
	ended->has_definition = job && job->has_definition;
	g_hash_table_replace(owner->jobs, ended->id, ended);
	commit_restore_add(owner->log, segment, ended, JOB_SEGMENT_END);
}

static void on_ends_read(void *data, enum err_kind err,
			 const struct platform_result *result)
{
	struct owner *owner = read_end(data, err);

	if (!owner)
		return;
	records_each(owner, result, end_take, NULL);
	owner->ends_read = true;
	own_records_read(owner);
}

static void on_jobs_read(void *data, enum err_kind err,
			 const struct platform_result *result)
{
	struct owner *owner = read_end(data, err);
	size_t prefix_len = strlen(JOB_RECORD_PREFIX_DEFINITION);

	if (!owner)
		return;
	for (size_t i = 0; i < result->kv_count; i++) {
		const struct platform_kv *kv = &result->kvs[i];
		struct job *job = NULL;

		if (job_record_job_decode(kv->key + prefix_len, kv->value,
					  kv->value_len, &job) == ERR_NONE)
			g_hash_table_insert(owner->jobs, job->id, job);
		else
			log_warning("job-record-malformed", "%s", kv->key);
	}
	owner->jobs_read = true;
	own_records_read(owner);
}

/* Definitions first, then ends, so that progress is applied to live jobs. */
void own_records_read(struct owner *owner)
{
	const char *prefix = JOB_RECORD_PREFIX_PROGRESS;
	platform_cb cb = on_progress_read;

	if (owner_is_ready(owner) || owner->reading_records)
		return;
	if (!owner->jobs_read) {
		prefix = JOB_RECORD_PREFIX_DEFINITION;
		cb = on_jobs_read;
	} else if (!owner->ends_read) {
		prefix = JOB_RECORD_PREFIX_END;
		cb = on_ends_read;
	}
	owner->reading_records = true;
	platform_range(owner->config.store, prefix, true, cb,
		       weak_ref_acquire(owner->cell));
}

void own_on_read_again(void *data)
{
	struct owner *owner = data;

	own_records_read(owner);
	if (owner_is_ready(owner))
		own_roster_read(owner);
}

void own_read_again(struct owner *owner, enum err_kind err)
{
	log_warning("takeover-read-failed", "%s", err_name(err));
	if (!timer_is_set(&owner->read_timer))
		loop_timer_set(owner->config.loop, &owner->read_timer,
			       OWN_READ_RETRY_MS);
}
