#include "commit_private.h"

#include <string.h>

#include "backoff.h"
#include "log.h"

/* Backoff limits for retries of a transaction. */
#define COMMIT_RETRY_MIN_MS 40
#define COMMIT_RETRY_MAX_MS 400

/* Interval between attempts to store a job whose records the store refuses. */
#define COMMIT_HELD_RETRY_MS 5000
/* How long deletions wait for other writes that they can be sent with. */
#define COMMIT_CLEANUP_INTERVAL_MS 500

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
	else if (log->txn || has_writes(log) || log->held.length > 0 ||
		 has_deletions(log))
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

char *commit_log_value_encode(const struct commit_log *log)
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

/* Returns whether a failed comparison shows that this owner's write with a
 * sequence number was committed, and takes over its revision. */
static bool log_was_written(struct commit_log *log,
			    const struct platform_result *result,
			    uint64_t expected_sequence)
{
	const struct platform_kv *kv = kv_find(result, COMMIT_KEY_LOG);
	uint64_t epoch = 0;
	uint64_t sequence = 0;

	if (!kv || !log_value_decode(kv, &epoch, &sequence) ||
	    epoch != log->epoch || sequence != expected_sequence)
		return false;
	log->log_revision = kv->mod_revision;
	return true;
}

static void next_schedule(struct commit_log *log)
{
	uint64_t interval_ms = has_writes(log) ? log->min_interval_ms
					       : COMMIT_CLEANUP_INTERVAL_MS;
	uint64_t now_ms = loop_now_ms();
	uint64_t due_ms = log->sent_ms + interval_ms;

	if (!log->open || log->txn || log->fenced)
		return;
	if (!has_writes(log) && !has_deletions(log))
		due_ms = UINT64_MAX;
	if (log->singles > 0 && has_writes(log))
		due_ms = now_ms;
	if (log->held.length > 0)
		due_ms = MIN(due_ms, log->held_due_ms);
	if (due_ms == UINT64_MAX)
		return;
	due_ms = MAX(due_ms, now_ms);
	if (!timer_is_set(&log->timer) || log->timer.due_ms > due_ms)
		loop_timer_set(log->loop, &log->timer, due_ms - now_ms);
}

static void transaction_end(struct commit_log *log)
{
	commit_txn_commit(log);
	log->ops->on_progress(log->data);
	next_schedule(log);
}

static void job_refuse(struct commit_log *log, bool defines)
{
	struct job *job = g_queue_peek_head(&log->queue);

	if (!defines && !job->is_reduced) {
		job->is_reduced = true;
		return;
	}
	log->singles--;
	g_queue_unlink(&log->queue, &job->queue_link);
	if (defines) {
		job->dirty = false;
		log->ops->on_refused(log->data, job);
		return;
	}
	log_error("job-not-stored",
		  "the store refuses the records of job %s; they are sent "
		  "again every %d ms, and no end of a run is acknowledged "
		  "before",
		  job->id, COMMIT_HELD_RETRY_MS);
	g_queue_push_tail_link(&log->held, &job->queue_link);
	log->held_due_ms = loop_now_ms() + COMMIT_HELD_RETRY_MS;
}

/*
 * Ends a transaction that the store refuses and whose attempts are all void.
 * Its entries are written one by one; one that is refused alone is at fault.
 */
static void transaction_refuse(struct commit_log *log)
{
	guint jobs = log->txn->items->len;
	guint extras = log->txn->extras->len;
	bool defines =
		jobs > 0 &&
		g_array_index(log->txn->items, struct commit_item, 0).defines;

	commit_txn_undo(log);
	if (log->void_refused) {
		log->void_refused = false;
	} else if (jobs + extras > 1) {
		log_warning("transaction-refused",
			    "the store refused a transaction; its %u entries "
			    "are written one by one",
			    jobs + extras);
		log->singles = jobs + extras;
	} else if (extras == 1) {
		log->singles -= MIN(log->singles, 1);
		commit_extra_refuse(g_queue_pop_head(&log->extras),
				    ERR_INVALID);
	} else if (jobs == 1) {
		log->singles = MAX(log->singles, 1);
		job_refuse(log, defines);
	}
	next_schedule(log);
}

static void void_send(struct commit_log *log);

static void on_transaction_done(void *data, enum err_kind err,
				const struct platform_result *result)
{
	struct commit_log *log = weak_ref_release(data);

	if (!log)
		return;
	if (err == ERR_INVALID) {
		store_answered(log);
		log->voiding = true;
		log->sequence++;
		void_send(log);
		return;
	}
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
	if (log_was_written(log, result, log->txn->sequence))
		transaction_end(log);
	else
		log_fence(log, "another owner has written");
}

static void on_voided(void *data, enum err_kind err,
		      const struct platform_result *result)
{
	struct commit_log *log = weak_ref_release(data);

	if (!log)
		return;
	if (err != ERR_NONE) {
		log->void_refused |= err == ERR_INVALID;
		retry_schedule(log, err);
		return;
	}
	store_answered(log);
	if (result->succeeded)
		log->log_revision = result->revision;
	if (result->succeeded || log_was_written(log, result, log->sequence)) {
		log->voiding = false;
		transaction_refuse(log);
	} else if (log_was_written(log, result, log->txn->sequence)) {
		log->voiding = false;
		transaction_end(log);
	} else {
		log_fence(log, "another owner has written");
	}
}

/* Writes the log key alone: attempts of the refused transaction that were not
 * answered cannot be executed after that. */
static void void_send(struct commit_log *log)
{
	g_autofree char *value = commit_log_value_encode(log);
	const struct platform_write write = { .key = COMMIT_KEY_LOG,
					      .value = value };
	const struct platform_compare compare = { COMMIT_KEY_LOG,
						  PLATFORM_TARGET_MOD_REVISION,
						  log->log_revision };
	const struct platform_txn txn = { &compare, 1, &write, 1 };

	platform_txn(log->platform, &txn, on_voided,
		     weak_ref_acquire(log->weak_ref));
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

	if (!log->txn)
		commit_txn_fill(log);
	log->sent_ms = loop_now_ms();
	if (log->voiding) {
		void_send(log);
		return;
	}
	for (guint i = 0; i < log->txn->keys->len; i++)
		writes[i] = (struct platform_write){
			.key = g_ptr_array_index(log->txn->keys, i),
			.value = g_ptr_array_index(log->txn->values, i),
		};
	txn.write_count = log->txn->keys->len;
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
	value = commit_log_value_encode(log);
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

struct commit_log *
commit_log_create(struct loop *loop, struct platform *platform,
		  const char *guard_key, int64_t guard_revision,
		  uint32_t min_interval_ms, size_t value_max_bytes,
		  const struct commit_ops *ops, void *data)
{
	struct commit_log *log = g_new0(struct commit_log, 1);

	log->loop = loop;
	log->platform = platform;
	log->guard_key = g_strdup(guard_key);
	log->guard_revision = guard_revision;
	log->min_interval_ms = min_interval_ms;
	log->value_max_bytes = value_max_bytes;
	log->ops = ops;
	log->data = data;
	log->weak_ref = weak_ref_create(log);
	log->timer.cb = on_timer;
	log->timer.data = log;
	g_queue_init(&log->queue);
	g_queue_init(&log->held);
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
	while (g_queue_pop_head_link(&log->queue) ||
	       g_queue_pop_head_link(&log->held))
		;
	g_queue_clear_full(&log->extras, commit_extra_free);
	g_queue_clear(&log->ended_jobs);
	segment_table_destroy(log->segments);
	commit_txn_free(log->txn);
	weak_ref_invalidate(log->weak_ref);
	g_free(log->guard_key);
	g_free(log);
}

void commit_mark_dirty(struct commit_log *log, struct job *job)
{
	if (job->dirty) {
		/* An end record is short, so it may be accepted. */
		if (job->state > JOB_RUNNING && g_queue_find(&log->held, job)) {
			log->held_due_ms = loop_now_ms();
			next_schedule(log);
		}
		return;
	}
	job->dirty = true;
	job->commit_mark = ++log->newest_mark;
	job->oldest_mark = job->commit_mark;
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
	if (kind == JOB_SEGMENT_END && job->has_definition &&
	    !job_outlives_end(job))
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

size_t commit_value_max_bytes(const struct commit_log *log)
{
	return log->value_max_bytes;
}
