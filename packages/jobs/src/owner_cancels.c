#include "commit_log.h"
#include "job_record.h"
#include "owner_private.h"

/* Oldest ones give way to new ones beyond this number. */
#define OWNER_CANCELS_MAX 16384

/* Stored as the end of a job, with the ends of other jobs. */
struct cancel {
	struct job *job;
	char *key;
	uint64_t added_ms;
	GList link;
};

struct owner_cancels {
	struct commit_log *log;
	/* key to struct cancel; not in the table of jobs, because another
	 * account or queue may submit a job with the same identity */
	GHashTable *by_key;
	/* oldest first */
	GQueue queue;
};

static void cancel_free(gpointer data)
{
	struct cancel *cancel = data;

	job_destroy(cancel->job);
	g_free(cancel->key);
	g_free(cancel);
}

struct owner_cancels *owner_cancels_create(struct commit_log *log)
{
	struct owner_cancels *cancels = g_new0(struct owner_cancels, 1);

	cancels->log = log;
	cancels->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						cancel_free);
	g_queue_init(&cancels->queue);
	return cancels;
}

void owner_cancels_destroy(struct owner_cancels *cancels)
{
	g_hash_table_unref(cancels->by_key);
	g_free(cancels);
}

/* Returns false if the store may still get its record, or a call waits. */
static bool cancel_forget(struct owner_cancels *cancels, struct cancel *cancel)
{
	if (cancel->job->waiters || !commit_forget(cancels->log, cancel->job))
		return false;
	g_queue_unlink(&cancels->queue, &cancel->link);
	g_hash_table_remove(cancels->by_key, cancel->key);
	return true;
}

static bool is_full(const struct owner_cancels *cancels)
{
	return cancels->queue.length >= OWNER_CANCELS_MAX;
}

static void cancel_insert(struct owner_cancels *cancels, struct job *job,
			  uint64_t now_ms)
{
	struct cancel *cancel = g_new0(struct cancel, 1);

	cancel->job = job;
	cancel->key = job_record_cancel_key(job->id, job->queue, job->account);
	cancel->added_ms = now_ms;
	cancel->link.data = cancel;
	g_hash_table_insert(cancels->by_key, cancel->key, cancel);
	g_queue_push_tail_link(&cancels->queue, &cancel->link);
}

static struct cancel *cancel_find(const struct owner_cancels *cancels,
				  const struct jobs_call *call)
{
	g_autofree char *key =
		job_record_cancel_key(call->id, call->queue, call->account);

	return g_hash_table_lookup(cancels->by_key, key);
}

struct job *owner_cancels_add(struct owner_cancels *cancels,
			      const struct jobs_call *call, uint64_t now_ms)
{
	struct cancel *earlier = cancel_find(cancels, call);
	struct job *job;

	if (earlier) {
		earlier->added_ms = now_ms;
		g_queue_unlink(&cancels->queue, &earlier->link);
		g_queue_push_tail_link(&cancels->queue, &earlier->link);
		return earlier->job;
	}
	if (is_full(cancels) &&
	    !cancel_forget(cancels, cancels->queue.head->data))
		return NULL;
	job = job_create(call->id, call->queue, NULL);
	job->account = g_strdup(call->account);
	job->state = JOB_CANCELLED;
	job->is_cancel_only = true;
	cancel_insert(cancels, job, now_ms);
	commit_mark_dirty(cancels->log, job);
	return job;
}

void owner_cancels_restore(struct owner_cancels *cancels, struct job *job,
			   uint64_t now_ms)
{
	g_autofree char *key =
		job_record_cancel_key(job->id, job->queue, job->account);
	struct cancel *earlier = g_hash_table_lookup(cancels->by_key, key);

	if (earlier)
		cancel_forget(cancels, earlier);
	else if (is_full(cancels))
		cancel_forget(cancels, cancels->queue.head->data);
	cancel_insert(cancels, job, now_ms);
}

bool owner_cancels_find(const struct owner_cancels *cancels,
			const struct jobs_call *call)
{
	return cancel_find(cancels, call) != NULL;
}

void owner_cancels_expire(struct owner_cancels *cancels, uint64_t now_ms,
			  uint64_t keep_ms)
{
	struct cancel *oldest;

	while ((oldest = g_queue_peek_head(&cancels->queue)) &&
	       now_ms - oldest->added_ms >= keep_ms &&
	       cancel_forget(cancels, oldest))
		;
}
