#include "commit_log.h"

#include <jansson.h>
#include <string.h>

#include "backoff.h"
#include "weak_ref.h"
#include "job_record.h"
#include "log.h"
#include "segment.h"

/* The store allows 32 entries per transaction; one is the comparison. */
#define COMMIT_WRITES_MAX 31
/* Writes reserved for segments, and minimum reserved for deletions. */
#define COMMIT_WRITES_FOR_RECORDS 2
#define COMMIT_WRITES_FOR_DELETIONS 3
/* How long deletions wait for other writes that they can be sent with. */
#define COMMIT_CLEANUP_INTERVAL_MS 500
/* Keeps a transaction well below the store's limit of 1 MB per value. */
#define COMMIT_BYTES_MAX (512u * 1024u)
/* Backoff limits for retries of a transaction. */
#define COMMIT_RETRY_MIN_MS 40
#define COMMIT_RETRY_MAX_MS 400

/* A write requested by commit_put(). */
struct commit_extra {
	char *key;
	char *value;
	commit_put_cb cb;
	void *data;
};

struct commit_log {
	struct loop *loop;
	struct platform *platform;
	char *guard_key;
	int64_t guard_revision;
	uint32_t min_interval_ms;
	const struct commit_ops *ops;
	void *data;
	/* lets callbacks of calls in flight outlive the log */
	struct weak_ref *weak_ref;
	bool open;
	bool fenced;
	uint64_t epoch;
	uint64_t sequence;
	int64_t log_revision;
	/* of struct job: changed, and not part of the transaction in flight */
	GQueue queue;
	/* of struct commit_extra */
	GQueue extras;
	struct segment_table *segments;
	/* of struct job: ended jobs whose definition is still stored */
	GQueue ended_jobs;
	uint64_t newest_mark;
	uint64_t durable_mark;
	/* a transaction is in flight, with these jobs and writes */
	bool in_flight;
	GPtrArray *jobs;
	/* of struct job: those whose definition it deletes */
	GPtrArray *deleted_definitions;
	GPtrArray *sent_extras;
	GPtrArray *keys;
	GPtrArray *values;
	uint64_t in_flight_mark;
	uint64_t sent_ms;
	uint32_t failures;
	uint64_t unanswered_since_ms;
	struct timer timer;
};

static void extra_free(gpointer data)
{
	struct commit_extra *extra = data;

	g_free(extra->key);
	g_free(extra->value);
	g_free(extra);
}

static bool has_writes(const struct commit_log *log)
{
	return log->queue.length > 0 || log->extras.length > 0;
}

static bool has_deletions(const struct commit_log *log)
{
	return log->ended_jobs.length > 0 ||
	       segment_garbage_count(log->segments) > 0;
}

static void transaction_send(struct commit_log *log);
static void log_fetch(struct commit_log *log);

static void on_timer(void *data)
{
	struct commit_log *log = data;

	if (log->fenced)
		return;
	if (!log->open)
		log_fetch(log);
	else if (log->in_flight || has_writes(log) || has_deletions(log))
		transaction_send(log);
}

static void retry_schedule(struct commit_log *log, enum err_kind err)
{
	const struct backoff_limits limits = { COMMIT_RETRY_MIN_MS,
					       COMMIT_RETRY_MAX_MS };

	log->failures++;
	if (log->unanswered_since_ms == 0) {
		log->unanswered_since_ms = loop_now_ms();
		log_warning("store-lost", "write to the store failed: %s",
			    err_name(err));
	}
	loop_timer_set(
		log->loop, &log->timer,
		backoff_delay_ms(&limits, log->failures, g_random_int()));
}

static void store_answered(struct commit_log *log)
{
	log->failures = 0;
	if (log->unanswered_since_ms == 0)
		return;
	log_info("store-regained",
		 "store answers again after %" G_GUINT64_FORMAT " ms",
		 loop_now_ms() - log->unanswered_since_ms);
	log->unanswered_since_ms = 0;
}

static void log_fence(struct commit_log *log, const char *why)
{
	log->fenced = true;
	timer_cancel(&log->timer);
	log_warning("log-fenced", "epoch %" G_GUINT64_FORMAT " is over: %s",
		    log->epoch, why);
	log->ops->on_fenced(log->data);
}

static char *log_value_encode(const struct commit_log *log)
{
	return g_strdup_printf("{\"epoch\":%" G_GUINT64_FORMAT
			       ",\"sequence\":%" G_GUINT64_FORMAT "}",
			       log->epoch, log->sequence);
}

static bool log_value_decode(const struct platform_kv *kv, uint64_t *epoch,
			     uint64_t *sequence)
{
	json_t *json = json_loadb(kv->value, kv->value_len, 0, NULL);
	bool valid = json_is_object(json);

	*epoch = (uint64_t)json_integer_value(json_object_get(json, "epoch"));
	*sequence =
		(uint64_t)json_integer_value(json_object_get(json, "sequence"));
	json_decref(json);
	return valid;
}

static const struct platform_kv *kv_find(const struct platform_result *result,
					 const char *key)
{
	for (size_t i = 0; i < result->kv_count; i++) {
		if (strcmp(result->kvs[i].key, key) == 0)
			return &result->kvs[i];
	}
	return NULL;
}

static void next_schedule(struct commit_log *log)
{
	uint64_t interval_ms = has_writes(log) ? log->min_interval_ms
					       : COMMIT_CLEANUP_INTERVAL_MS;
	uint64_t now_ms = loop_now_ms();
	uint64_t due_ms = log->sent_ms + interval_ms;

	if (!log->open || log->in_flight || log->fenced ||
	    (!has_writes(log) && !has_deletions(log)))
		return;
	due_ms = MAX(due_ms, now_ms);
	if (!timer_is_set(&log->timer) || log->timer.due_ms > due_ms)
		loop_timer_set(log->loop, &log->timer, due_ms - now_ms);
}

static void transaction_end(struct commit_log *log)
{
	GPtrArray *jobs = g_steal_pointer(&log->jobs);
	GPtrArray *deleted = g_steal_pointer(&log->deleted_definitions);
	GPtrArray *extras = g_steal_pointer(&log->sent_extras);

	g_clear_pointer(&log->keys, g_ptr_array_unref);
	g_clear_pointer(&log->values, g_ptr_array_unref);
	log->in_flight = false;
	log->durable_mark = log->in_flight_mark;
	for (guint i = 0; i < deleted->len; i++)
		((struct job *)g_ptr_array_index(deleted, i))->has_definition =
			false;
	g_ptr_array_unref(deleted);
	for (guint i = 0; i < jobs->len; i++) {
		struct job *job = g_ptr_array_index(jobs, i);

		job->in_flight = false;
		job->stored_state = job->sent_state;
		log->ops->on_committed(log->data, job);
	}
	for (guint i = 0; i < extras->len; i++) {
		struct commit_extra *extra = g_ptr_array_index(extras, i);

		if (extra->cb)
			extra->cb(extra->data);
	}
	g_ptr_array_unref(jobs);
	g_ptr_array_unref(extras);
	log->ops->on_progress(log->data);
	next_schedule(log);
}

static void on_transaction_done(void *data, enum err_kind err,
				const struct platform_result *result)
{
	struct commit_log *log = weak_ref_release(data);
	const struct platform_kv *kv;
	uint64_t epoch = 0;
	uint64_t sequence = 0;

	if (!log)
		return;
	if (err != ERR_NONE) {
		retry_schedule(log, err);
		return;
	}
	store_answered(log);
	if (result->succeeded) {
		log->log_revision = result->revision;
		transaction_end(log);
		return;
	}
	/* An earlier attempt may have been committed without an answer. */
	kv = kv_find(result, COMMIT_KEY_LOG);
	if (kv && log_value_decode(kv, &epoch, &sequence) &&
	    epoch == log->epoch && sequence == log->sequence) {
		log->log_revision = kv->mod_revision;
		transaction_end(log);
		return;
	}
	log_fence(log, "another owner has written");
}

static void write_add(struct commit_log *log, char *key, char *value)
{
	g_ptr_array_add(log->keys, key);
	g_ptr_array_add(log->values, value);
}

/* Records of one kind in a transaction, and their segment. */
struct commit_records {
	const char *prefix;
	enum job_segment_kind kind;
	json_t *records;
	struct segment *segment;
};

static void records_attach(struct commit_log *log,
			   struct commit_records *records, struct job *job)
{
	if (!records->segment) {
		/* Zero-padded so that keys sort by age. */
		g_autofree char *key = g_strdup_printf(
			"%s%010" G_GUINT64_FORMAT "-%010" G_GUINT64_FORMAT,
			records->prefix, log->epoch, log->sequence);

		records->segment = segment_add(log->segments, key);
		records->records = json_object();
	}
	segment_attach(records->segment, job, records->kind);
}

static void records_write(struct commit_log *log,
			  struct commit_records *records)
{
	if (!records->segment)
		return;
	write_add(log, g_strdup(segment_key(records->segment)),
		  json_dumps(records->records, JSON_COMPACT));
	json_decref(records->records);
}

static char *definition_key(const struct job *job)
{
	return g_strconcat(JOB_RECORD_PREFIX_DEFINITION, job->id, NULL);
}

/* Adds the writes of a job. @return approximate number of bytes added */
static size_t job_writes_add(struct commit_log *log, struct job *job,
			     struct commit_records *progress,
			     struct commit_records *ends)
{
	bool ended = job->state > JOB_RUNNING;
	size_t bytes = strlen(job->id);

	if (!job->is_sent && !ended) {
		char *text = job_record_job_encode(job);

		bytes += strlen(text);
		write_add(log, definition_key(job), text);
		job->has_definition = true;
	}
	if (ended) {
		records_attach(log, ends, job);
		job_record_end_add(ends->records, job);
		segment_detach(job, JOB_SEGMENT_PROGRESS);
		if (job->has_definition)
			g_queue_push_tail(&log->ended_jobs, job);
	} else if (job->has_started) {
		records_attach(log, progress, job);
		job_record_progress_add(progress->records, job);
		for (guint i = 0; i < job->spec->steps->len; i++)
			bytes += g_array_index(job->spec->steps,
					       struct job_step, i)
					 .count;
	}
	job->dirty = false;
	job->in_flight = true;
	job->is_sent = true;
	job->sent_state = job->state;
	log->in_flight_mark = job->commit_mark;
	g_ptr_array_add(log->jobs, job);
	return bytes;
}

/* Fills up the transaction with deletions of obsolete keys. A definition is
 * deleted together with or after the write of the job's end record. */
static void deletions_add(struct commit_log *log)
{
	while (log->ended_jobs.length > 0 &&
	       log->keys->len < COMMIT_WRITES_MAX) {
		struct job *job = g_queue_pop_head(&log->ended_jobs);

		write_add(log, definition_key(job), NULL);
		g_ptr_array_add(log->deleted_definitions, job);
	}
	while (segment_garbage_count(log->segments) > 0 &&
	       log->keys->len < COMMIT_WRITES_MAX)
		write_add(log, segment_garbage_pop(log->segments), NULL);
}

static void transaction_fill(struct commit_log *log)
{
	const guint max_writes = COMMIT_WRITES_MAX - COMMIT_WRITES_FOR_RECORDS -
				 COMMIT_WRITES_FOR_DELETIONS;
	struct commit_records progress = { .prefix = JOB_RECORD_PREFIX_PROGRESS,
					   .kind = JOB_SEGMENT_PROGRESS };
	struct commit_records ends = { .prefix = JOB_RECORD_PREFIX_END,
				       .kind = JOB_SEGMENT_END };
	size_t bytes = 0;

	log->in_flight = true;
	log->sequence++;
	log->in_flight_mark = log->durable_mark;
	log->jobs = g_ptr_array_new();
	log->deleted_definitions = g_ptr_array_new();
	log->sent_extras = g_ptr_array_new_with_free_func(extra_free);
	log->keys = g_ptr_array_new_with_free_func(g_free);
	log->values = g_ptr_array_new_with_free_func(g_free);
	write_add(log, g_strdup(COMMIT_KEY_LOG), log_value_encode(log));
	while (log->extras.length > 0 && log->keys->len < max_writes) {
		struct commit_extra *extra = g_queue_pop_head(&log->extras);

		write_add(log, g_strdup(extra->key), g_strdup(extra->value));
		g_ptr_array_add(log->sent_extras, extra);
	}
	while (log->queue.length > 0 && log->keys->len < max_writes &&
	       bytes < COMMIT_BYTES_MAX) {
		GList *link = g_queue_pop_head_link(&log->queue);

		bytes += job_writes_add(log, link->data, &progress, &ends);
	}
	records_write(log, &progress);
	records_write(log, &ends);
	deletions_add(log);
}

static void transaction_send(struct commit_log *log)
{
	struct platform_write writes[COMMIT_WRITES_MAX];
	const struct platform_compare compare = { COMMIT_KEY_LOG,
						  PLATFORM_TARGET_MOD_REVISION,
						  log->log_revision };
	struct platform_txn txn = { .compares = &compare,
				    .compare_count = 1,
				    .writes = writes };

	if (!log->in_flight)
		transaction_fill(log);
	log->sent_ms = loop_now_ms();
	for (guint i = 0; i < log->keys->len; i++)
		writes[i] = (struct platform_write){
			.key = g_ptr_array_index(log->keys, i),
			.value = g_ptr_array_index(log->values, i),
		};
	txn.write_count = log->keys->len;
	platform_txn(log->platform, &txn, on_transaction_done,
		     weak_ref_acquire(log->weak_ref));
}

static void on_opened(void *data, enum err_kind err,
		      const struct platform_result *result)
{
	struct commit_log *log = weak_ref_release(data);

	if (!log)
		return;
	if (err != ERR_NONE) {
		retry_schedule(log, err);
		return;
	}
	store_answered(log);
	if (!result->succeeded) {
		const struct platform_kv *guard =
			kv_find(result, log->guard_key);

		/* The comparison fails if an unanswered attempt of this owner
		 * has changed the log key, or if ownership is lost. */
		if (guard && guard->mod_revision == log->guard_revision)
			log_fetch(log);
		else
			log_fence(log, "ownership lost before the log opened");
		return;
	}
	log->log_revision = result->revision;
	log->open = true;
	log->ops->on_open(log->data, log->epoch);
	next_schedule(log);
}

static void on_log_fetched(void *data, enum err_kind err,
			   const struct platform_result *result)
{
	struct commit_log *log = weak_ref_release(data);
	const struct platform_kv *kv;
	struct platform_compare compares[2];
	struct platform_write write = { .key = COMMIT_KEY_LOG };
	struct platform_txn txn = { compares, 2, &write, 1 };
	g_autofree char *value = NULL;
	uint64_t sequence = 0;

	if (!log)
		return;
	if (err != ERR_NONE) {
		retry_schedule(log, err);
		return;
	}
	kv = kv_find(result, COMMIT_KEY_LOG);
	log->epoch = 0;
	if (kv && log_value_decode(kv, &log->epoch, &sequence))
		log->epoch++;
	value = log_value_encode(log);
	write.value = value;
	compares[0] = (struct platform_compare){ log->guard_key,
						 PLATFORM_TARGET_MOD_REVISION,
						 log->guard_revision };
	compares[1] = (struct platform_compare){ COMMIT_KEY_LOG,
						 PLATFORM_TARGET_MOD_REVISION,
						 kv ? kv->mod_revision : 0 };
	platform_txn(log->platform, &txn, on_opened,
		     weak_ref_acquire(log->weak_ref));
}

static void log_fetch(struct commit_log *log)
{
	platform_range(log->platform, COMMIT_KEY_LOG, false, on_log_fetched,
		       weak_ref_acquire(log->weak_ref));
}

struct commit_log *commit_log_create(struct loop *loop,
				     struct platform *platform,
				     const char *guard_key,
				     int64_t guard_revision,
				     uint32_t min_interval_ms,
				     const struct commit_ops *ops, void *data)
{
	struct commit_log *log = g_new0(struct commit_log, 1);

	log->loop = loop;
	log->platform = platform;
	log->guard_key = g_strdup(guard_key);
	log->guard_revision = guard_revision;
	log->min_interval_ms = min_interval_ms;
	log->ops = ops;
	log->data = data;
	log->weak_ref = weak_ref_create(log);
	log->timer.cb = on_timer;
	log->timer.data = log;
	g_queue_init(&log->queue);
	g_queue_init(&log->extras);
	g_queue_init(&log->ended_jobs);
	log->segments = segment_table_create();
	log_fetch(log);
	return log;
}

void commit_log_destroy(struct commit_log *log)
{
	if (!log)
		return;
	timer_cancel(&log->timer);
	while (g_queue_pop_head_link(&log->queue))
		;
	g_queue_clear_full(&log->extras, extra_free);
	g_queue_clear(&log->ended_jobs);
	segment_table_destroy(log->segments);
	g_clear_pointer(&log->jobs, g_ptr_array_unref);
	g_clear_pointer(&log->deleted_definitions, g_ptr_array_unref);
	g_clear_pointer(&log->sent_extras, g_ptr_array_unref);
	g_clear_pointer(&log->keys, g_ptr_array_unref);
	g_clear_pointer(&log->values, g_ptr_array_unref);
	weak_ref_invalidate(log->weak_ref);
	g_free(log->guard_key);
	g_free(log);
}

void commit_mark_dirty(struct commit_log *log, struct job *job)
{
	if (job->dirty)
		return;
	job->dirty = true;
	job->commit_mark = ++log->newest_mark;
	g_queue_push_tail_link(&log->queue, &job->queue_link);
	next_schedule(log);
}

bool commit_withdraw(struct commit_log *log, struct job *job)
{
	if (!job->dirty || job->is_sent)
		return false;
	g_queue_unlink(&log->queue, &job->queue_link);
	job->dirty = false;
	return true;
}

bool commit_forget(struct commit_log *log, struct job *job)
{
	if (job->dirty || job->in_flight)
		return false;
	if (job->has_definition)
		return false;
	segment_detach(job, JOB_SEGMENT_END);
	next_schedule(log);
	return true;
}

struct segment *commit_restore_begin(struct commit_log *log, const char *key)
{
	return segment_add(log->segments, key);
}

void commit_restore_add(struct commit_log *log, struct segment *segment,
			struct job *job, enum job_segment_kind kind)
{
	segment_attach(segment, job, kind);
	if (kind == JOB_SEGMENT_END && job->has_definition)
		g_queue_push_tail(&log->ended_jobs, job);
}

void commit_restore_end(struct commit_log *log, struct segment *segment)
{
	segment_retire_if_empty(segment);
}

void commit_put(struct commit_log *log, const char *key, const char *value,
		commit_put_cb cb, void *data)
{
	struct commit_extra *extra = g_new0(struct commit_extra, 1);

	extra->key = g_strdup(key);
	extra->value = g_strdup(value);
	extra->cb = cb;
	extra->data = data;
	g_queue_push_tail(&log->extras, extra);
	next_schedule(log);
}

uint64_t commit_newest_mark(const struct commit_log *log)
{
	return log->newest_mark;
}

uint64_t commit_durable_mark(const struct commit_log *log)
{
	return log->durable_mark;
}

uint64_t commit_unanswered_since_ms(const struct commit_log *log)
{
	return log->unanswered_since_ms;
}
