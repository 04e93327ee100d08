#include <string.h>
#include <time.h>

#include "job_record.h"
#include "log.h"
#include "owner_private.h"

/* An answer leaves this long before the caller stops waiting. */
#define OWN_ANSWER_MARGIN_MS 150
/* A store that has been silent for this long is taken as away: what must be
 * stored is refused at once. */
#define OWN_STORE_AWAY_MS 600
/* When to come back while the store is away or the service is taken over. */
#define OWN_RETRY_AFTER_MS 1000

/* A caller that waits for the store. */
struct own_wait {
	struct owner *owner;
	struct job *job;
	jobs_cb cb;
	void *data;
	enum jobs_verb verb;
	/** mark of the log that covers the call's effect */
	uint64_t ticket;
	struct timer timer;
	GList link;
};

static void wait_end(struct own_wait *wait, const struct jobs_answer *answer)
{
	timer_cancel(&wait->timer);
	g_queue_unlink(&wait->owner->waits, &wait->link);
	if (wait->job)
		wait->job->waiters = g_slist_remove(wait->job->waiters, wait);
	wait->cb(wait->data, answer);
	g_free(wait);
}

static void answer_unknown(struct own_wait *wait, const char *why)
{
	const struct jobs_answer answer = { .outcome = JOBS_UNKNOWN,
					    .why = why };

	wait_end(wait, &answer);
}

static void answer_refused(struct own_wait *wait, const char *why)
{
	const struct jobs_answer answer = {
		.outcome = JOBS_REFUSED,
		.retry_after_ms = OWN_RETRY_AFTER_MS,
		.why = why,
	};

	wait->owner->counters.refused++;
	wait_end(wait, &answer);
}

static void refusal_log(const char *id, const char *queue, const char *why)
{
	log_info("job-refused", "%s queue %s: %s", id, queue, why);
}

/* Refuses a job that was never sent to the store, with all who wait for it. */
static bool job_withdraw(struct owner *owner, struct job *job, const char *why)
{
	if (!commit_withdraw(owner->log, job))
		return false;
	refusal_log(job->id, job->queue, why);
	while (job->waiters)
		answer_refused(job->waiters->data, why);
	own_job_remove(owner, job);
	return true;
}

static void on_wait_over(void *data)
{
	struct own_wait *wait = data;
	struct owner *owner = wait->owner;

	if (wait->verb == JOBS_SUBMIT && wait->job &&
	    job_withdraw(owner, wait->job, "the store did not answer in time"))
		return;
	answer_unknown(wait, "the store did not answer in time");
}

static void wait_add(struct owner *owner, struct job *job,
		     const struct jobs_call *call, jobs_cb cb, void *data)
{
	struct own_wait *wait = g_new0(struct own_wait, 1);
	uint32_t wait_ms = call->deadline_ms;

	wait_ms -= MIN(wait_ms, OWN_ANSWER_MARGIN_MS);
	wait->owner = owner;
	wait->job = job;
	wait->cb = cb;
	wait->data = data;
	wait->verb = call->verb;
	wait->ticket = job->commit_mark;
	wait->timer.cb = on_wait_over;
	wait->timer.data = wait;
	wait->link.data = wait;
	g_queue_push_tail_link(&owner->waits, &wait->link);
	job->waiters = g_slist_prepend(job->waiters, wait);
	loop_timer_set(owner->config.loop, &wait->timer, wait_ms);
}

bool owner_store_is_unavailable(const struct owner *owner)
{
	uint64_t since_ms = commit_unanswered_since_ms(owner->log);

	return since_ms != 0 && loop_now_ms() - since_ms > OWN_STORE_AWAY_MS;
}

/* What waits and was never sent cannot be accepted for now: its callers learn
 * it at once. What was sent may be accepted, so it waits on. */
void own_calls_store_away(struct owner *owner)
{
	GList *next;

	if (!owner_store_is_unavailable(owner))
		return;
	for (GList *at = owner->waits.head; at; at = next) {
		struct own_wait *wait = at->data;

		next = at->next;
		if (wait->verb != JOBS_SUBMIT || !wait->job ||
		    wait->job->is_sent)
			continue;
		job_withdraw(owner, wait->job, "the store is away");
		/* Others that waited for the same job are gone too. */
		next = owner->waits.head;
	}
}

void own_calls_committed(struct owner *owner, struct job *job)
{
	const struct jobs_answer answer = { .outcome = JOBS_OK };
	GSList *next;

	for (GSList *at = job->waiters; at; at = next) {
		struct own_wait *wait = at->data;

		next = at->next;
		if (wait->ticket <= commit_durable_mark(owner->log))
			wait_end(wait, &answer);
	}
}

/* The next owner answers: what was never sent as a new call, the rest as one
 * that is repeated. */
void own_calls_end(struct owner *owner)
{
	while (owner->waits.length > 0) {
		struct own_wait *wait = owner->waits.head->data;
		bool sent = wait->verb != JOBS_SUBMIT || !wait->job ||
			    wait->job->is_sent;
		const struct jobs_answer answer = {
			.outcome = sent ? JOBS_OWNERSHIP_LOST : JOBS_NOT_OWNER,
			.why = "ownership has ended",
		};

		wait_end(wait, &answer);
	}
}

static void answer_now(jobs_cb cb, void *data, enum jobs_outcome outcome,
		       const char *why)
{
	const struct jobs_answer answer = {
		.outcome = outcome,
		.retry_after_ms = OWN_RETRY_AFTER_MS,
		.why = why,
	};

	cb(data, &answer);
}

static void submit_new(struct owner *owner, const struct jobs_call *call,
		       jobs_cb cb, void *data)
{
	struct job_spec *spec = NULL;
	struct job *job;
	enum err_kind err =
		job_record_spec_decode(call->spec, strlen(call->spec), &spec);

	if (err != ERR_NONE) {
		log_warning("job-malformed", "%s from a peer: %s", call->id,
			    err_name(err));
		answer_now(cb, data, JOBS_REFUSED, "the record is malformed");
		return;
	}
	if (owner_store_is_unavailable(owner)) {
		job_spec_destroy(spec);
		owner->counters.refused++;
		refusal_log(call->id, call->queue, "the store is away");
		answer_now(cb, data, JOBS_REFUSED, "the store is away");
		return;
	}
	job = job_create(call->id, call->queue, spec);
	job->accepted_unix_ms = loop_unix_ms();
	job->accepted_ms = loop_now_ms();
	g_hash_table_insert(owner->jobs, job->id, job);
	commit_mark_dirty(owner->log, job);
	wait_add(owner, job, call, cb, data);
}

static void submit(struct owner *owner, const struct jobs_call *call,
		   jobs_cb cb, void *data)
{
	struct job *job = g_hash_table_lookup(owner->jobs, call->id);

	if (!job)
		submit_new(owner, call, cb, data);
	else if (strcmp(job->queue, call->queue) != 0)
		answer_now(cb, data, JOBS_CONFLICT, "the identity is taken");
	else if (job->waiters || job->in_flight || job->dirty)
		wait_add(owner, job, call, cb, data);
	else
		answer_now(cb, data, JOBS_OK, NULL);
}

static struct job *job_of(struct owner *owner, const struct jobs_call *call)
{
	struct job *job = g_hash_table_lookup(owner->jobs, call->id);

	return job && strcmp(job->queue, call->queue) == 0 ? job : NULL;
}

/* Another owner may have accepted it meanwhile. */
static void answer_no_job(struct owner *owner, jobs_cb cb, void *data)
{
	if (owner->ops->lease_is_valid(owner->data))
		answer_now(cb, data, JOBS_NO_JOB, NULL);
	else
		answer_now(cb, data, JOBS_UNKNOWN, "ownership is not proved");
}

static void tell_state(struct owner *owner, const struct jobs_call *call,
		       jobs_cb cb, void *data)
{
	const struct job *job = job_of(owner, call);
	struct jobs_answer answer = { .outcome = JOBS_OK };

	if (!job) {
		answer_no_job(owner, cb, data);
		return;
	}
	answer.state = job->stored_state;
	if (answer.state <= JOB_RUNNING)
		answer.state = job->has_started ? JOB_RUNNING : JOB_PENDING;
	cb(data, &answer);
}

static void cancel(struct owner *owner, const struct jobs_call *call,
		   jobs_cb cb, void *data)
{
	struct job *job = job_of(owner, call);

	if (!job) {
		answer_no_job(owner, cb, data);
		return;
	}
	if (job->state == JOB_SUCCEEDED || job->state == JOB_FAILED) {
		answer_now(cb, data, JOBS_NO_JOB, NULL);
		return;
	}
	if (job->state != JOB_CANCELLED)
		own_job_finish(owner, job, JOB_CANCELLED, "a caller asked");
	if (job->stored_state == JOB_CANCELLED && !job->dirty)
		answer_now(cb, data, JOBS_OK, NULL);
	else
		wait_add(owner, job, call, cb, data);
}

static void tell_waiting(struct owner *owner, const struct jobs_call *call,
			 jobs_cb cb, void *data)
{
	struct jobs_answer answer = { .outcome = JOBS_OK };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct job *job = value;

		if (!job->has_started && own_job_is_live(job) &&
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
		submit(owner, call, cb, data);
		break;
	case JOBS_STATE:
		tell_state(owner, call, cb, data);
		break;
	case JOBS_CANCEL:
		cancel(owner, call, cb, data);
		break;
	case JOBS_WAITING:
		tell_waiting(owner, call, cb, data);
		break;
	}
}
