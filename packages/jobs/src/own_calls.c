#include <string.h>
#include <time.h>

#include "jrc.h"
#include "log.h"
#include "own_private.h"

/* An answer leaves this long before the caller stops waiting. */
#define OWN_ANSWER_MARGIN_MS 150
/* A store that has been silent for this long is taken as away: what must be
 * stored is refused at once. */
#define OWN_STORE_AWAY_MS 600
/* When to come back while the store is away or the service is taken over. */
#define OWN_RETRY_AFTER_MS 1000

/* A caller that waits for the store. */
struct own_wait {
	struct own_owner *owner;
	struct jtp_job *job;
	jsv_cb cb;
	void *data;
	enum jsv_verb verb;
	/** mark of the log that covers the call's effect */
	uint64_t ticket;
	struct timer timer;
	GList link;
};

static void wait_end(struct own_wait *wait, const struct jsv_answer *answer)
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
	const struct jsv_answer answer = { .outcome = JSV_UNKNOWN, .why = why };

	wait_end(wait, &answer);
}

static void answer_refused(struct own_wait *wait, const char *why)
{
	const struct jsv_answer answer = {
		.outcome = JSV_REFUSED,
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
static bool job_withdraw(struct own_owner *owner, struct jtp_job *job,
			 const char *why)
{
	if (!cmt_withdraw(owner->log, job))
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
	struct own_owner *owner = wait->owner;

	if (wait->verb == JSV_SUBMIT && wait->job &&
	    job_withdraw(owner, wait->job, "the store did not answer in time"))
		return;
	answer_unknown(wait, "the store did not answer in time");
}

static void wait_add(struct own_owner *owner, struct jtp_job *job,
		     const struct jsv_call *call, jsv_cb cb, void *data)
{
	struct own_wait *wait = g_new0(struct own_wait, 1);
	uint32_t wait_ms = call->deadline_ms;

	wait_ms -= MIN(wait_ms, OWN_ANSWER_MARGIN_MS);
	wait->owner = owner;
	wait->job = job;
	wait->cb = cb;
	wait->data = data;
	wait->verb = call->verb;
	wait->ticket = job->ticket;
	wait->timer.cb = on_wait_over;
	wait->timer.data = wait;
	wait->link.data = wait;
	g_queue_push_tail_link(&owner->waits, &wait->link);
	job->waiters = g_slist_prepend(job->waiters, wait);
	loop_timer_set(owner->config.loop, &wait->timer, wait_ms);
}

bool own_store_is_away(const struct own_owner *owner)
{
	uint64_t since_ms = cmt_silent_since_ms(owner->log);

	return since_ms != 0 && loop_now_ms() - since_ms > OWN_STORE_AWAY_MS;
}

/* What waits and was never sent cannot be accepted for now: its callers learn
 * it at once. What was sent may be accepted, so it waits on. */
void own_calls_store_away(struct own_owner *owner)
{
	GList *next;

	if (!own_store_is_away(owner))
		return;
	for (GList *at = owner->waits.head; at; at = next) {
		struct own_wait *wait = at->data;

		next = at->next;
		if (wait->verb != JSV_SUBMIT || !wait->job ||
		    wait->job->is_sent)
			continue;
		job_withdraw(owner, wait->job, "the store is away");
		/* Others that waited for the same job are gone too. */
		next = owner->waits.head;
	}
}

void own_calls_committed(struct own_owner *owner, struct jtp_job *job)
{
	const struct jsv_answer answer = { .outcome = JSV_OK };
	GSList *next;

	for (GSList *at = job->waiters; at; at = next) {
		struct own_wait *wait = at->data;

		next = at->next;
		if (wait->ticket <= cmt_committed(owner->log))
			wait_end(wait, &answer);
	}
}

/* The next owner answers: what was never sent as a new call, the rest as one
 * that is repeated. */
void own_calls_end(struct own_owner *owner)
{
	while (owner->waits.length > 0) {
		struct own_wait *wait = owner->waits.head->data;
		bool sent = wait->verb != JSV_SUBMIT || !wait->job ||
			    wait->job->is_sent;
		const struct jsv_answer answer = {
			.outcome = sent ? JSV_OWNER_GONE : JSV_NOT_OWNER,
			.why = "ownership has ended",
		};

		wait_end(wait, &answer);
	}
}

static void answer_now(jsv_cb cb, void *data, enum jsv_outcome outcome,
		       const char *why)
{
	const struct jsv_answer answer = {
		.outcome = outcome,
		.retry_after_ms = OWN_RETRY_AFTER_MS,
		.why = why,
	};

	cb(data, &answer);
}

static void submit_new(struct own_owner *owner, const struct jsv_call *call,
		       jsv_cb cb, void *data)
{
	struct jtp_spec *spec = NULL;
	struct jtp_job *job;
	enum err_kind err =
		jrc_spec_decode(call->spec, strlen(call->spec), &spec);

	if (err != ERR_NONE) {
		log_warning("job-malformed", "%s from a peer: %s", call->id,
			    err_name(err));
		answer_now(cb, data, JSV_REFUSED, "the record is malformed");
		return;
	}
	if (own_store_is_away(owner)) {
		jtp_spec_destroy(spec);
		owner->counters.refused++;
		refusal_log(call->id, call->queue, "the store is away");
		answer_now(cb, data, JSV_REFUSED, "the store is away");
		return;
	}
	job = jtp_job_create(call->id, call->queue, spec);
	job->accepted_unix_ms = loop_unix_ms();
	job->accepted_ms = loop_now_ms();
	g_hash_table_insert(owner->jobs, job->id, job);
	cmt_mark(owner->log, job);
	wait_add(owner, job, call, cb, data);
}

static void submit(struct own_owner *owner, const struct jsv_call *call,
		   jsv_cb cb, void *data)
{
	struct jtp_job *job = g_hash_table_lookup(owner->jobs, call->id);

	if (!job)
		submit_new(owner, call, cb, data);
	else if (strcmp(job->queue, call->queue) != 0)
		answer_now(cb, data, JSV_CONFLICT, "the identity is taken");
	else if (job->waiters || job->in_flight || job->dirty)
		wait_add(owner, job, call, cb, data);
	else
		answer_now(cb, data, JSV_OK, NULL);
}

static struct jtp_job *job_of(struct own_owner *owner,
			      const struct jsv_call *call)
{
	struct jtp_job *job = g_hash_table_lookup(owner->jobs, call->id);

	return job && strcmp(job->queue, call->queue) == 0 ? job : NULL;
}

/* Another owner may have accepted it meanwhile. */
static void answer_no_job(struct own_owner *owner, jsv_cb cb, void *data)
{
	if (owner->ops->is_proved(owner->data))
		answer_now(cb, data, JSV_NO_JOB, NULL);
	else
		answer_now(cb, data, JSV_UNKNOWN, "ownership is not proved");
}

static void tell_state(struct own_owner *owner, const struct jsv_call *call,
		       jsv_cb cb, void *data)
{
	const struct jtp_job *job = job_of(owner, call);
	struct jsv_answer answer = { .outcome = JSV_OK };

	if (!job) {
		answer_no_job(owner, cb, data);
		return;
	}
	answer.state = job->stored_state;
	if (answer.state <= JTP_RUNNING)
		answer.state = job->begun ? JTP_RUNNING : JTP_PENDING;
	cb(data, &answer);
}

static void cancel(struct own_owner *owner, const struct jsv_call *call,
		   jsv_cb cb, void *data)
{
	struct jtp_job *job = job_of(owner, call);

	if (!job) {
		answer_no_job(owner, cb, data);
		return;
	}
	if (job->state == JTP_SUCCEEDED || job->state == JTP_FAILED) {
		answer_now(cb, data, JSV_NO_JOB, NULL);
		return;
	}
	if (job->state != JTP_CANCELLED)
		own_job_finish(owner, job, JTP_CANCELLED, "a caller asked");
	if (job->stored_state == JTP_CANCELLED && !job->dirty)
		answer_now(cb, data, JSV_OK, NULL);
	else
		wait_add(owner, job, call, cb, data);
}

static void tell_waiting(struct own_owner *owner, const struct jsv_call *call,
			 jsv_cb cb, void *data)
{
	struct jsv_answer answer = { .outcome = JSV_OK };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct jtp_job *job = value;

		if (!job->begun && own_job_is_live(job) &&
		    strcmp(job->queue, call->queue) == 0)
			answer.waiting++;
	}
	cb(data, &answer);
}

void own_call(struct own_owner *owner, const struct jsv_call *call, jsv_cb cb,
	      void *data)
{
	switch (call->verb) {
	case JSV_SUBMIT:
		submit(owner, call, cb, data);
		break;
	case JSV_STATE:
		tell_state(owner, call, cb, data);
		break;
	case JSV_CANCEL:
		cancel(owner, call, cb, data);
		break;
	case JSV_WAITING:
		tell_waiting(owner, call, cb, data);
		break;
	}
}
