#include <string.h>
#include <time.h>

#include "job_record.h"
#include "log.h"
#include "owner_accounts.h"
#include "owner_private.h"
#include "segment.h"

/* An answer is sent this long before the caller's deadline. */
#define OWNER_ANSWER_MARGIN_MS 150
/* A store that has not answered for this long counts as unavailable: new jobs
 * are refused at once. */
#define OWNER_STORE_UNAVAILABLE_MS 600
/* Retry-after time of a call that is refused while the store is unavailable or
 * the service is being taken over. */
#define OWNER_RETRY_AFTER_MS 1000
/* Maximum size of what surrounds the specification in a job's definition. */
#define OWNER_DEFINITION_EXTRA_BYTES 2048

/* A call that waits until its effect is stored. */
struct pending_call {
	struct owner *owner;
	struct job *job;
	jobs_cb cb;
	void *data;
	enum jobs_verb verb;
	/** number of the change to the job that is the call's effect */
	uint64_t commit_mark;
	struct timer timer;
	GList queue_link;
	/** for a read of the store that this call waits for, else NULL */
	struct weak_ref *weak_ref;
};

static void pending_call_finish(struct pending_call *pending,
				const struct jobs_answer *answer)
{
	timer_cancel(&pending->timer);
	g_queue_unlink(&pending->owner->pending_calls, &pending->queue_link);
	if (pending->job)
		pending->job->waiters =
			g_slist_remove(pending->job->waiters, pending);
	if (pending->weak_ref)
		weak_ref_invalidate(pending->weak_ref);
	pending->cb(pending->data, answer);
	g_free(pending);
}

static void pending_answer_unknown(struct pending_call *pending,
				   const char *why)
{
	const struct jobs_answer answer = { .outcome = JOBS_UNKNOWN,
					    .why = why };

	pending_call_finish(pending, &answer);
}

static void pending_answer_refused(struct pending_call *pending,
				   const char *why)
{
	const struct jobs_answer answer = {
		.outcome = JOBS_REFUSED,
		.retry_after_ms = OWNER_RETRY_AFTER_MS,
		.why = why,
	};

	pending->owner->counters.refused++;
	pending_call_finish(pending, &answer);
}

static void refusal_log(const char *id, const char *queue, const char *why)
{
	log_info("job-refused", "job %s of queue %s refused: %s", id, queue,
		 why);
}

static void account_refusal_log(const struct jobs_call *call,
				const struct jobs_answer *refusal)
{
	log_info("job-refused",
		 "job %s of queue %s, account %s, refused, retry after %u ms: "
		 "%s",
		 call->id, call->queue, call->account, refusal->retry_after_ms,
		 refusal->why);
}

void owner_calls_refuse_job(struct owner *owner, struct job *job,
			    const char *why)
{
	refusal_log(job->id, job->queue, why);
	while (job->waiters)
		pending_answer_refused(job->waiters->data, why);
	owner_job_remove(owner, job);
}

/* Refuses a job that was never sent to the store, together with all calls that
 * wait for it. Returns false if the job has been sent. */
static bool job_withdraw(struct owner *owner, struct job *job, const char *why)
{
	if (!commit_withdraw(owner->log, job))
		return false;
	owner_calls_refuse_job(owner, job, why);
	return true;
}

static void on_deadline(void *data)
{
	struct pending_call *pending = data;
	struct owner *owner = pending->owner;

	if (pending->verb == JOBS_SUBMIT && pending->job &&
	    job_withdraw(owner, pending->job,
			 "the store did not answer in time"))
		return;
	pending_answer_unknown(pending, "the store did not answer in time");
}

/* Adds a call that waits for the store; job is NULL if there is none. */
static struct pending_call *pending_call_add(struct owner *owner,
					     struct job *job,
					     const struct jobs_call *call,
					     jobs_cb cb, void *data)
{
	struct pending_call *pending = g_new0(struct pending_call, 1);
	uint32_t wait_ms = call->deadline_ms;

	wait_ms -= MIN(wait_ms, OWNER_ANSWER_MARGIN_MS);
	pending->owner = owner;
	pending->job = job;
	pending->cb = cb;
	pending->data = data;
	pending->verb = call->verb;
	pending->commit_mark = job ? job->commit_mark : 0;
	pending->timer.cb = on_deadline;
	pending->timer.data = pending;
	pending->queue_link.data = pending;
	g_queue_push_tail_link(&owner->pending_calls, &pending->queue_link);
	if (job)
		job->waiters = g_slist_prepend(job->waiters, pending);
	loop_timer_set(owner->config.loop, &pending->timer, wait_ms);
	return pending;
}

bool owner_store_is_unavailable(const struct owner *owner)
{
	uint64_t since_ms = commit_unanswered_since_ms(owner->log);

	return since_ms != 0 &&
	       loop_now_ms() - since_ms > OWNER_STORE_UNAVAILABLE_MS;
}

/* Refuses jobs that were not sent before the store became unavailable, so that
 * their callers can retry. A job that was sent may still be stored, so calls
 * for that job keep waiting. */
void owner_calls_refuse_unsent(struct owner *owner)
{
	GList *next;

	if (!owner_store_is_unavailable(owner))
		return;
	for (GList *at = owner->pending_calls.head; at; at = next) {
		struct pending_call *pending = at->data;

		next = at->next;
		if (pending->verb != JOBS_SUBMIT || !pending->job ||
		    pending->job->is_sent)
			continue;
		job_withdraw(owner, pending->job, "the store is away");
		/* All calls for this job have been freed, which may include
		 * the next one in the queue. */
		next = owner->pending_calls.head;
	}
}

void owner_calls_answer_committed(struct owner *owner, struct job *job)
{
	struct jobs_answer answer = { .outcome = JOBS_OK };
	GSList *next;

	for (GSList *at = job->waiters; at; at = next) {
		struct pending_call *pending = at->data;

		next = at->next;
		answer.outcome =
			job->is_cancel_only || (pending->verb == JOBS_CANCEL &&
						job->is_abandoned)
				? JOBS_NO_JOB
				: JOBS_OK;
		if (pending->commit_mark <= job->stored_mark)
			pending_call_finish(pending, &answer);
	}
}

/* The callers' processes pass the calls on to the next owner. A job that was
 * never sent to the store is submitted as a new call, all others are repeated
 * because their effect is unknown. */
void owner_calls_abort(struct owner *owner)
{
	while (owner->pending_calls.length > 0) {
		struct pending_call *pending = owner->pending_calls.head->data;
		bool sent = pending->verb != JOBS_SUBMIT || !pending->job ||
			    pending->job->is_sent;
		const struct jobs_answer answer = {
			.outcome = sent ? JOBS_OWNERSHIP_LOST : JOBS_NOT_OWNER,
			.why = "ownership has ended",
		};

		pending_call_finish(pending, &answer);
	}
}

static void call_answer(jobs_cb cb, void *data, enum jobs_outcome outcome,
			const char *why)
{
	const struct jobs_answer answer = {
		.outcome = outcome,
		.retry_after_ms = OWNER_RETRY_AFTER_MS,
		.why = why,
	};

	cb(data, &answer);
}

static void new_job_submit(struct owner *owner, const struct jobs_call *call,
			   jobs_cb cb, void *data)
{
	struct jobs_answer refusal = {
		.outcome = JOBS_REFUSED,
		.retry_after_ms = OWNER_RETRY_AFTER_MS,
	};
	struct job_spec *spec = NULL;
	struct job *job;
	enum err_kind err =
		job_record_spec_decode(call->spec, strlen(call->spec), &spec);

	if (err != ERR_NONE) {
		log_warning("job-malformed",
			    "job %s from a peer process refused, its "
			    "specification cannot be parsed: %s",
			    call->id, err_name(err));
		call_answer(cb, data, JOBS_REFUSED, "the record is malformed");
		return;
	}
	if (owner_store_is_unavailable(owner)) {
		job_spec_destroy(spec);
		owner->counters.refused++;
		refusal_log(call->id, call->queue, "the store is away");
		call_answer(cb, data, JOBS_REFUSED, "the store is away");
		return;
	}
	if (strlen(call->spec) + OWNER_DEFINITION_EXTRA_BYTES >
	    commit_value_max_bytes(owner->log)) {
		job_spec_destroy(spec);
		owner->counters.refused++;
		refusal_log(call->id, call->queue, "the job does not fit");
		call_answer(cb, data, JOBS_REFUSED, "the job does not fit");
		return;
	}
	job = job_create(call->id, call->queue, spec);
	job->account = g_strdup(call->account);
	if (!owner_account_admit(owner, job, &refusal.retry_after_ms,
				 &refusal.why)) {
		owner->counters.refused++;
		account_refusal_log(call, &refusal);
		job_destroy(job);
		cb(data, &refusal);
		return;
	}
	job->accepted_unix_ms = loop_unix_ms();
	job->accepted_ms = loop_now_ms();
	g_hash_table_insert(owner->jobs, job->id, job);
	commit_mark_dirty(owner->log, job);
	pending_call_add(owner, job, call, cb, data);
}

/* An account sees its own jobs only. Calls to public queues, and jobs that
 * were submitted without an account, are not bound. */
static bool call_sees_job(const struct jobs_call *call, const struct job *job)
{
	return !call->account || !job->account ||
	       strcmp(call->account, job->account) == 0;
}

static void cancelled_job_refuse(struct owner *owner,
				 const struct jobs_call *call, jobs_cb cb,
				 void *data)
{
	static const char why[] = "it was cancelled before it arrived";

	owner->counters.refused++;
	refusal_log(call->id, call->queue, why);
	call_answer(cb, data, JOBS_REFUSED, why);
}

static void job_submit(struct owner *owner, const struct jobs_call *call,
		       jobs_cb cb, void *data)
{
	struct job *job = g_hash_table_lookup(owner->jobs, call->id);

	if (!job && owner_cancels_find(owner->cancels, call))
		cancelled_job_refuse(owner, call, cb, data);
	else if (!job)
		new_job_submit(owner, call, cb, data);
	else if (strcmp(job->queue, call->queue) != 0 ||
		 !call_sees_job(call, job))
		call_answer(cb, data, JOBS_CONFLICT, "the identity is taken");
	else if (job->waiters || job->in_flight || job->dirty)
		pending_call_add(owner, job, call, cb, data);
	else
		call_answer(cb, data, JOBS_OK, NULL);
}

static struct job *job_of_call(struct owner *owner,
			       const struct jobs_call *call)
{
	struct job *job = g_hash_table_lookup(owner->jobs, call->id);

	return job && strcmp(job->queue, call->queue) == 0 &&
			       call_sees_job(call, job)
		       ? job
		       : NULL;
}

static void on_definition_read(void *data, enum err_kind err,
			       const struct platform_result *result)
{
	struct pending_call *pending = weak_ref_release(data);
	const struct jobs_answer absent = { .outcome = JOBS_NO_JOB };
	const struct owner *owner;

	if (!pending)
		return;
	owner = pending->owner;
	if (err != ERR_NONE)
		pending_answer_unknown(pending, "the store cannot be read");
	else if (result->kv_count > 0)
		pending_answer_unknown(pending,
				       "another owner has accepted the job");
	else if (!owner->ops->lease_is_valid(owner->data))
		pending_answer_unknown(pending,
				       "another owner may have ended the job");
	else
		pending_call_finish(pending, &absent);
}

/* Another owner may have accepted the job meanwhile: without a valid lease, but
 * also with one that the platform has revoked without notice. Only the store
 * proves that there is no such job, and only while no other owner can have
 * ended the job, whose definition is then deleted. */
static void call_answer_not_found(struct owner *owner,
				  const struct jobs_call *call, jobs_cb cb,
				  void *data)
{
	g_autofree char *key =
		g_strconcat(JOB_RECORD_PREFIX_DEFINITION, call->id, NULL);
	const struct job *hidden = g_hash_table_lookup(owner->jobs, call->id);
	struct pending_call *pending;

	if (hidden && !call_sees_job(call, hidden)) {
		call_answer(cb, data, JOBS_NO_JOB, NULL);
		return;
	}

	if (!owner->ops->lease_is_valid(owner->data)) {
		call_answer(cb, data, JOBS_UNKNOWN, "ownership is not proved");
		return;
	}
	pending = pending_call_add(owner, NULL, call, cb, data);
	pending->weak_ref = weak_ref_create(pending);
	platform_range(owner->config.store, key, false, on_definition_read,
		       weak_ref_acquire(pending->weak_ref));
}

/* Logs once where the end of a job comes from that an earlier owner accepted.
 */
static void restored_end_log(const struct owner *owner, struct job *job)
{
	const struct segment *segment = job->segments[JOB_SEGMENT_END];

	if (!job->is_restored || job->stored_state <= JOB_RUNNING ||
	    job->end_is_told)
		return;
	job->end_is_told = true;
	log_info("job-end-told",
		 "a caller is told that job %s of queue %s, which an earlier "
		 "owner accepted, is %s; its end is stored at %s, epoch "
		 "%" G_GUINT64_FORMAT,
		 job->id, job->queue, job_state_name(job->stored_state),
		 segment ? segment_key(segment) : "no key", owner->epoch);
}

static void call_answer_state(struct owner *owner, const struct jobs_call *call,
			      jobs_cb cb, void *data)
{
	struct job *job = job_of_call(owner, call);
	struct jobs_answer answer = { .outcome = JOBS_OK };

	if (!job) {
		call_answer_not_found(owner, call, cb, data);
		return;
	}
	restored_end_log(owner, job);
	answer.state = job->stored_state;
	if (answer.state > JOB_RUNNING) {
		cb(data, &answer);
		return;
	}
	/* A successor may have ended the job. */
	if (!owner_is_unchallenged(owner, loop_now_ms())) {
		call_answer(cb, data, JOBS_UNKNOWN, "ownership is not proved");
		return;
	}
	answer.state = job->has_begun ? JOB_RUNNING : JOB_PENDING;
	cb(data, &answer);
}

/* The cancellation is stored before it is acknowledged, because the submission
 * may reach the next owner. That it was stored also proves that no other owner
 * has accepted the job. */
static void unknown_job_cancel(struct owner *owner,
			       const struct jobs_call *call, jobs_cb cb,
			       void *data)
{
	struct job *job =
		owner_cancels_add(owner->cancels, call, loop_now_ms());

	if (!job)
		call_answer(cb, data, JOBS_UNKNOWN,
			    "too many cancellations wait for the store");
	else if (job->dirty || job->in_flight)
		pending_call_add(owner, job, call, cb, data);
	else
		call_answer(cb, data, JOBS_NO_JOB, NULL);
}

static void job_cancel(struct owner *owner, const struct jobs_call *call,
		       jobs_cb cb, void *data)
{
	struct job *job = job_of_call(owner, call);

	if (!job) {
		unknown_job_cancel(owner, call, cb, data);
		return;
	}
	if (job->state == JOB_SUCCEEDED || job->state == JOB_FAILED) {
		owner_job_abandon(owner, job);
		if (job->is_abandoned && (job->dirty || job->in_flight))
			pending_call_add(owner, job, call, cb, data);
		else
			call_answer(cb, data, JOBS_NO_JOB, NULL);
		return;
	}
	if (job->state != JOB_CANCELLED)
		owner_job_finish(owner, job, JOB_CANCELLED,
				 "cancelled by a caller");
	if (job->stored_state == JOB_CANCELLED && !job->dirty)
		call_answer(cb, data, JOBS_OK, NULL);
	else
		pending_call_add(owner, job, call, cb, data);
}

static void call_answer_waiting(struct owner *owner,
				const struct jobs_call *call, jobs_cb cb,
				void *data)
{
	struct jobs_answer answer = { .outcome = JOBS_OK };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct job *job = value;

		if (!job->has_begun && owner_job_is_live(job) &&
		    strcmp(job->queue, call->queue) == 0)
			answer.waiting++;
	}
	cb(data, &answer);
}

void owner_call_handle(struct owner *owner, const struct jobs_call *call,
		       jobs_cb cb, void *data)
{
	switch (call->verb) {
	case JOBS_SUBMIT:
		job_submit(owner, call, cb, data);
		break;
	case JOBS_STATE:
		call_answer_state(owner, call, cb, data);
		break;
	case JOBS_CANCEL:
		job_cancel(owner, call, cb, data);
		break;
	case JOBS_WAITING:
		call_answer_waiting(owner, call, cb, data);
		break;
	}
}
