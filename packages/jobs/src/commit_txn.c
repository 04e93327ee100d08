#include "commit_private.h"

#include <string.h>

#include "job_record.h"
#include "log.h"

/* Writes reserved for segments, and minimum reserved for deletions. */
#define COMMIT_WRITES_FOR_RECORDS 2
#define COMMIT_WRITES_FOR_DELETIONS 3
/* Bound on the values of a transaction with more than one entry. */
#define COMMIT_BYTES_MAX (512u * 1024u)

static const char *const record_prefixes[] = {
	[JOB_SEGMENT_PROGRESS] = JOB_RECORD_PREFIX_PROGRESS,
	[JOB_SEGMENT_END] = JOB_RECORD_PREFIX_END,
};

void commit_extra_free(gpointer data)
{
	struct commit_extra *extra = data;

	g_free(extra->key);
	g_free(extra->value);
	g_free(extra);
}

void commit_extra_refuse(struct commit_extra *extra, enum err_kind err)
{
	log_error("write-refused",
		  "value of %zu bytes for key %s cannot be stored: %s",
		  extra->value ? strlen(extra->value) : 0, extra->key,
		  err_name(err));
	if (extra->cb)
		extra->cb(extra->data, err);
	commit_extra_free(extra);
}

static void write_add(struct commit_txn *txn, char *key, char *value)
{
	g_ptr_array_add(txn->keys, key);
	g_ptr_array_add(txn->values, value);
}

static char *definition_key(const struct job *job)
{
	return g_strconcat(JOB_RECORD_PREFIX_DEFINITION, job->id, NULL);
}

static struct commit_txn *txn_create(struct commit_log *log)
{
	struct commit_txn *txn = g_new0(struct commit_txn, 1);

	txn->sequence = ++log->sequence;
	txn->items = g_array_new(FALSE, TRUE, sizeof(struct commit_item));
	txn->extras = g_ptr_array_new_with_free_func(commit_extra_free);
	txn->deleted_definitions = g_ptr_array_new();
	txn->deleted_segments = g_ptr_array_new_with_free_func(g_free);
	txn->keys = g_ptr_array_new_with_free_func(g_free);
	txn->values = g_ptr_array_new_with_free_func(g_free);
	for (int kind = 0; kind < JOB_SEGMENT_COUNT; kind++) {
		/* Zero-padded so that keys sort by age. */
		txn->records[kind].key = g_strdup_printf(
			"%s%010" G_GUINT64_FORMAT "-%010" G_GUINT64_FORMAT,
			record_prefixes[kind], log->epoch, log->sequence);
		txn->records[kind].records = json_object();
	}
	write_add(txn, g_strdup(COMMIT_KEY_LOG), commit_log_value_encode(log));
	return txn;
}

void commit_txn_free(struct commit_txn *txn)
{
	if (!txn)
		return;
	g_array_unref(txn->items);
	g_ptr_array_unref(txn->extras);
	g_ptr_array_unref(txn->deleted_definitions);
	g_ptr_array_unref(txn->deleted_segments);
	for (int kind = 0; kind < JOB_SEGMENT_COUNT; kind++) {
		g_free(txn->records[kind].key);
		json_decref(txn->records[kind].records);
	}
	g_ptr_array_unref(txn->keys);
	g_ptr_array_unref(txn->values);
	g_free(txn);
}

/* An entry that fits no value together with others is sent alone. */
static bool txn_has_room(const struct commit_log *log,
			 const struct commit_txn *txn, size_t bytes)
{
	return (txn->items->len == 0 && txn->extras->len == 0) ||
	       txn->bytes + bytes <=
		       MIN((size_t)COMMIT_BYTES_MAX, log->value_max_bytes);
}

static void extras_add(struct commit_log *log, struct commit_txn *txn,
		       guint max_writes)
{
	while (log->extras.length > 0 && txn->keys->len < max_writes) {
		struct commit_extra *extra = log->extras.head->data;
		size_t bytes = extra->value ? strlen(extra->value) : 0;

		if (!txn_has_room(log, txn, bytes))
			return;
		g_queue_pop_head(&log->extras);
		if (bytes > log->value_max_bytes) {
			commit_extra_refuse(extra, ERR_TOO_LARGE);
			continue;
		}
		txn->bytes += bytes;
		write_add(txn, g_strdup(extra->key), g_strdup(extra->value));
		g_ptr_array_add(txn->extras, extra);
	}
}

static size_t json_bytes(const json_t *json)
{
	return json_dumpb(json, NULL, 0, JSON_COMPACT);
}

static void checkpoints_report(struct job *job, uint32_t left_out)
{
	if (left_out > 0 && job->checkpoints_left_out == 0)
		log_error("checkpoints-not-stored",
			  "checkpoints of %u tasks of job %s do not fit a "
			  "value of the store; a successor gets them from "
			  "the workers only",
			  left_out, job->id);
	job->checkpoints_left_out = left_out;
}

/* Adds the writes of a job; returns false if there is no room for them. */
static bool job_add(struct commit_log *log, struct commit_txn *txn,
		    struct job *job)
{
	struct commit_item item = { .job = job,
				    .mark = job->commit_mark,
				    .oldest_mark = job->oldest_mark };
	json_t *records = json_object();
	char *definition = NULL;
	uint32_t left_out = 0;
	size_t bytes = 0;

	item.has_end = job->state > JOB_RUNNING;
	item.defines = !job->is_sent && !item.has_end;
	/* What changes after the definition was written is progress, also of a
	 * job that no worker is known to have begun: its start may have been
	 * the last order to a worker that has crashed. */
	item.has_progress = !item.has_end && (!item.defines || job->has_begun ||
					      job->records_queue);
	if (item.defines)
		definition = job_record_job_encode(job);
	if (item.has_end)
		job_record_end_add(records, job);
	else if (item.has_progress)
		left_out = job_record_progress_add(
			records, job,
			job->is_reduced ? 0 : log->value_max_bytes);
	bytes = json_bytes(records) + (definition ? strlen(definition) : 0);
	if (!txn_has_room(log, txn, bytes)) {
		free(definition);
		json_decref(records);
		return false;
	}
	txn->bytes += bytes;
	if (definition)
		write_add(txn, definition_key(job), definition);
	json_object_update(txn->records[item.has_end ? JOB_SEGMENT_END
						     : JOB_SEGMENT_PROGRESS]
				   .records,
			   records);
	json_decref(records);
	if (item.has_progress)
		checkpoints_report(job, left_out);
	job->dirty = false;
	job->in_flight = true;
	job->is_sent = true;
	job->sent_state = job->state;
	g_array_append_val(txn->items, item);
	return true;
}

static void jobs_add(struct commit_log *log, struct commit_txn *txn,
		     guint max_writes)
{
	while (log->queue.length > 0 && txn->keys->len < max_writes) {
		GList *link = log->queue.head;

		if (!job_add(log, txn, link->data))
			return;
		g_queue_unlink(&log->queue, link);
	}
}

static void records_write(struct commit_txn *txn)
{
	for (int kind = 0; kind < JOB_SEGMENT_COUNT; kind++) {
		const struct commit_records *records = &txn->records[kind];

		if (json_object_size(records->records) > 0)
			write_add(txn, g_strdup(records->key),
				  json_dumps(records->records, JSON_COMPACT));
	}
}

/* Fills up the transaction with deletions of obsolete keys. A definition is
 * deleted together with or after the write of the job's end record. */
static void deletions_add(struct commit_log *log, struct commit_txn *txn)
{
	for (guint i = 0;
	     i < txn->items->len && txn->keys->len < COMMIT_WRITES_MAX; i++) {
		struct commit_item *item =
			&g_array_index(txn->items, struct commit_item, i);

		if (!item->has_end || !item->job->has_definition ||
		    job_outlives_end(item->job))
			continue;
		item->deletes_definition = true;
		write_add(txn, definition_key(item->job), NULL);
	}
	while (log->ended_jobs.length > 0 &&
	       txn->keys->len < COMMIT_WRITES_MAX) {
		struct job *job = g_queue_pop_head(&log->ended_jobs);

		write_add(txn, definition_key(job), NULL);
		g_ptr_array_add(txn->deleted_definitions, job);
	}
	while (segment_garbage_count(log->segments) > 0 &&
	       txn->keys->len < COMMIT_WRITES_MAX) {
		char *key = segment_garbage_pop(log->segments);

		write_add(txn, g_strdup(key), NULL);
		g_ptr_array_add(txn->deleted_segments, key);
	}
}

/* Puts a job whose records were refused before in front; returns false if it
 * is not time for one. */
static bool held_take(struct commit_log *log)
{
	struct job *job;

	if (log->held.length == 0 || loop_now_ms() < log->held_due_ms)
		return false;
	job = log->held.head->data;
	g_queue_unlink(&log->held, &job->queue_link);
	g_queue_push_head_link(&log->queue, &job->queue_link);
	return true;
}

void commit_txn_fill(struct commit_log *log)
{
	struct commit_txn *txn = txn_create(log);
	guint max_writes = COMMIT_WRITES_MAX - COMMIT_WRITES_FOR_RECORDS -
			   COMMIT_WRITES_FOR_DELETIONS;

	log->txn = txn;
	if (log->extras.length == 0 && log->queue.length == 0)
		log->singles = 0;
	if (held_take(log)) {
		log->singles++;
		job_add(log, txn, log->queue.head->data);
		g_queue_unlink(&log->queue, log->queue.head);
	} else if (log->singles > 0) {
		max_writes = txn->keys->len + 1;
		extras_add(log, txn, max_writes);
		if (txn->extras->len == 0 && log->queue.length > 0) {
			job_add(log, txn, log->queue.head->data);
			g_queue_unlink(&log->queue, log->queue.head);
		}
	} else {
		extras_add(log, txn, max_writes);
		jobs_add(log, txn, max_writes);
	}
	records_write(txn);
	if (log->singles == 0)
		deletions_add(log, txn);
}

static void item_commit(struct commit_log *log, const struct commit_item *item,
			struct segment *const segments[])
{
	struct job *job = item->job;

	job->in_flight = false;
	job->stored_state = job->sent_state;
	job->stored_mark = item->mark;
	if (item->defines)
		job->has_definition = true;
	if (item->deletes_definition)
		job->has_definition = false;
	if (item->has_progress)
		segment_attach(segments[JOB_SEGMENT_PROGRESS], job,
			       JOB_SEGMENT_PROGRESS);
	if (!item->has_end)
		return;
	segment_attach(segments[JOB_SEGMENT_END], job, JOB_SEGMENT_END);
	segment_detach(job, JOB_SEGMENT_PROGRESS);
	/* A job that has changed meanwhile is written again, with the deletion.
	 */
	if (job->has_definition && !job->dirty && !job_outlives_end(job))
		g_queue_push_tail(&log->ended_jobs, job);
}

/* All changes before the oldest one that waits have been stored. */
static void durable_mark_update(struct commit_log *log)
{
	const struct job *head = g_queue_peek_head(&log->queue);
	uint64_t mark = log->newest_mark;

	if (head)
		mark = MIN(mark, head->oldest_mark - 1);
	for (GList *link = log->held.head; link; link = link->next)
		mark = MIN(mark,
			   ((const struct job *)link->data)->oldest_mark - 1);
	log->durable_mark = MAX(log->durable_mark, mark);
}

void commit_txn_commit(struct commit_log *log)
{
	struct commit_txn *txn = g_steal_pointer(&log->txn);
	struct segment *segments[JOB_SEGMENT_COUNT] = { NULL };

	if (log->singles > 0)
		log->singles--;
	for (int kind = 0; kind < JOB_SEGMENT_COUNT; kind++) {
		if (json_object_size(txn->records[kind].records) > 0)
			segments[kind] = segment_add(log->segments,
						     txn->records[kind].key);
	}
	for (guint i = 0; i < txn->deleted_definitions->len; i++) {
		struct job *job =
			g_ptr_array_index(txn->deleted_definitions, i);

		job->has_definition = false;
	}
	for (guint i = 0; i < txn->items->len; i++)
		item_commit(log,
			    &g_array_index(txn->items, struct commit_item, i),
			    segments);
	durable_mark_update(log);
	for (guint i = 0; i < txn->items->len; i++)
		log->ops->on_committed(
			log->data,
			g_array_index(txn->items, struct commit_item, i).job);
	for (guint i = 0; i < txn->extras->len; i++) {
		struct commit_extra *extra = g_ptr_array_index(txn->extras, i);

		if (extra->cb)
			extra->cb(extra->data, ERR_NONE);
	}
	commit_txn_free(txn);
}

static void item_undo(struct commit_log *log, const struct commit_item *item)
{
	struct job *job = item->job;

	/* A job that has changed meanwhile is in the queue already. */
	if (job->dirty)
		g_queue_unlink(&log->queue, &job->queue_link);
	job->dirty = true;
	job->in_flight = false;
	job->oldest_mark = item->oldest_mark;
	if (item->defines)
		job->is_sent = false;
	g_queue_push_head_link(&log->queue, &job->queue_link);
}

void commit_txn_undo(struct commit_log *log)
{
	struct commit_txn *txn = g_steal_pointer(&log->txn);

	for (guint i = txn->items->len; i > 0; i--)
		item_undo(log, &g_array_index(txn->items, struct commit_item,
					      i - 1));
	for (guint i = txn->deleted_definitions->len; i > 0; i--)
		g_queue_push_head(
			&log->ended_jobs,
			g_ptr_array_index(txn->deleted_definitions, i - 1));
	while (txn->deleted_segments->len > 0)
		segment_garbage_push(log->segments,
				     g_ptr_array_steal_index(
					     txn->deleted_segments,
					     txn->deleted_segments->len - 1));
	while (txn->extras->len > 0)
		g_queue_push_head(&log->extras,
				  g_ptr_array_steal_index(
					  txn->extras, txn->extras->len - 1));
	commit_txn_free(txn);
}
