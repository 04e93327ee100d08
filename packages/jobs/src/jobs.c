#include "jobs.h"

#include <string.h>

#include "weak_ref.h"
#include "election.h"
#include "log.h"
#include "owner.h"

/* How long a call waits for an owner; a takeover takes less. */
#define JOBS_OWNER_WAIT_MS 1500
/* Time of the caller that is left for its answer. */
#define JOBS_ANSWER_MARGIN_MS 200
/* When to come back if no owner was found. */
#define JOBS_RETRY_AFTER_MS 1000
/* Pause before a call that could not be sent to the owner is tried again, and
 * between two questions to an owner that does not answer. */
#define JOBS_RESEND_MS 60
#define JOBS_PROBE_MS 120
/* Deadline of such a question. */
#define JOBS_PROBE_DEADLINE_MS 400
/* An owner that has not answered for this long is taken as out of reach: calls
 * are refused at once, and callers go to other processes. */
#define JOBS_UNREACHABLE_MS 700

struct jobs_service {
	struct loop *loop;
	struct platform *store;
	struct jobs_config config;
	const struct adapter_ops *ops;
	void *ops_self;
	const struct jobs_peers *peers;
	void *peers_self;
	struct catalogue *catalogue;
	struct election *election;
	int64_t guard_revision;
	struct owner *owner;
	/* of struct jobs_pending: all calls, and those that wait for an owner
	 */
	GQueue calls;
	GQueue pending;
	bool ending;
	/* since when the owner elsewhere does not answer, 0 if it does */
	uint64_t silent_since_ms;
	/* since when no owner is known, 0 if one is */
	uint64_t ownerless_since_ms;
	bool probing;
	struct timer probe_timer;
	struct weak_ref *cell;
	uint64_t outcomes[JOBS_OUTCOME_COUNT];
	uint64_t handed_on;
	uint64_t waited;
};

/* A call on its way; owns copies of what it was given. */
struct jobs_pending {
	/* NULL once the service has ended while another process has the call */
	struct jobs_service *service;
	struct jobs_call call;
	char *queue;
	char *id;
	char *spec;
	uint64_t due_ms;
	uint64_t give_up_ms;
	bool may_hand_on;
	bool queued;
	/* another process has it, and will call back */
	bool handed_on;
	/* an earlier try may have taken effect */
	bool maybe_done;
	GList link;
	GList calls_link;
	struct timer timer;
	jobs_cb cb;
	void *data;
};

static void pending_run(struct jobs_pending *pending);

const char *jobs_outcome_name(enum jobs_outcome outcome)
{
	static const char *const names[] = {
		[JOBS_OK] = "ok",
		[JOBS_NO_JOB] = "no-job",
		[JOBS_REFUSED] = "refused",
		[JOBS_UNKNOWN] = "unknown",
		[JOBS_CONFLICT] = "conflict",
		[JOBS_NOT_OWNER] = "not-owner",
		[JOBS_OWNERSHIP_LOST] = "owner-gone",
	};

	g_assert(outcome < G_N_ELEMENTS(names));
	return names[outcome];
}

static void pending_free(struct jobs_pending *pending)
{
	g_free(pending->queue);
	g_free(pending->id);
	g_free(pending->spec);
	g_free(pending);
}

static void pending_end(struct jobs_pending *pending,
			const struct jobs_answer *answer)
{
	struct jobs_service *service = pending->service;

	g_assert(service);
	service->outcomes[answer->outcome]++;
	timer_cancel(&pending->timer);
	if (pending->queued)
		g_queue_unlink(&service->pending, &pending->link);
	g_queue_unlink(&service->calls, &pending->calls_link);
	pending->cb(pending->data, answer);
	pending->service = NULL;
	if (!pending->handed_on)
		pending_free(pending);
}

/* Tells whether another call here may yet submit the same job, as that of a
 * caller whose connection ended and who came again. */
static bool is_submitted_beside(const struct jobs_pending *pending)
{
	for (GList *link = pending->service->calls.head; link;
	     link = link->next) {
		const struct jobs_pending *other = link->data;

		if (other != pending && other->call.verb == JOBS_SUBMIT &&
		    g_strcmp0(other->id, pending->id) == 0)
			return true;
	}
	return false;
}

/* Ends a call that this process has given up on. */
static void pending_fail(struct jobs_pending *pending, const char *why)
{
	bool not_run = pending->call.verb == JOBS_SUBMIT &&
		       !pending->maybe_done && !is_submitted_beside(pending);
	const struct jobs_answer answer = {
		.outcome = not_run ? JOBS_REFUSED : JOBS_UNKNOWN,
		.retry_after_ms = JOBS_RETRY_AFTER_MS,
		.why = why,
	};

	pending_end(pending, &answer);
}

static bool owner_is_out_of_reach(const struct jobs_service *service)
{
	uint64_t since_ms = service->silent_since_ms != 0
				    ? service->silent_since_ms
				    : service->ownerless_since_ms;

	return since_ms != 0 && loop_now_ms() - since_ms > JOBS_UNREACHABLE_MS;
}

static void on_pending_timer(void *data)
{
	struct jobs_pending *pending = data;

	if (loop_now_ms() >= pending->give_up_ms)
		pending_fail(pending, "no owner is known");
	else
		pending_run(pending);
}

static void pending_queue(struct jobs_pending *pending)
{
	uint64_t now_ms = loop_now_ms();

	if (pending->service->ending || now_ms >= pending->give_up_ms ||
	    (owner_is_out_of_reach(pending->service) && !pending->maybe_done)) {
		pending_fail(pending, "no owner is known");
		return;
	}
	pending->queued = true;
	pending->service->waited++;
	g_queue_push_tail_link(&pending->service->pending, &pending->link);
	timer_set(loop_timers(pending->service->loop), &pending->timer,
		  pending->give_up_ms);
}

/* It may have taken effect: only an owner's answer tells. */
static void maybe_done_set(struct jobs_pending *pending)
{
	pending->maybe_done = true;
	pending->give_up_ms =
		pending->due_ms - MIN(pending->due_ms, JOBS_ANSWER_MARGIN_MS);
}

/* A submission keeps its identity, so any call may be sent again. */
static void pending_resend(struct jobs_pending *pending)
{
	if (loop_now_ms() + JOBS_RESEND_MS >= pending->give_up_ms)
		pending_fail(pending, "the owner cannot be reached");
	else
		loop_timer_set(pending->service->loop, &pending->timer,
			       JOBS_RESEND_MS);
}

/* Tells whether a process answers that it is not, or no longer, the owner. */
static bool is_elsewhere(const struct jobs_answer *answer)
{
	return answer->outcome == JOBS_NOT_OWNER ||
	       answer->outcome == JOBS_OWNERSHIP_LOST;
}

/* Ends a call by an owner's answer, or looks for the next owner. */
static void on_answer(void *data, const struct jobs_answer *answer)
{
	struct jobs_pending *pending = data;
	struct jobs_answer told = *answer;

	if (is_elsewhere(answer) && pending->may_hand_on &&
	    !pending->service->ending) {
		if (answer->outcome == JOBS_OWNERSHIP_LOST)
			maybe_done_set(pending);
		election_refresh(pending->service->election);
		pending_resend(pending);
		return;
	}
	/* A refusal says that the job never runs, which an earlier try that is
	 * still on its way could belie. */
	if (told.outcome == JOBS_REFUSED && pending->maybe_done) {
		told.outcome = JOBS_UNKNOWN;
		told.why = "refused after a try without an answer";
	}
	pending_end(pending, &told);
}

static void pending_run_all(struct jobs_service *service)
{
	guint count = service->pending.length;

	for (guint i = 0; i < count && service->pending.head; i++)
		pending_run(service->pending.head->data);
}

static void owner_answered(struct jobs_service *service)
{
	if (service->silent_since_ms == 0)
		return;
	log_info("owner-answers", "after %" G_GUINT64_FORMAT " ms",
		 loop_now_ms() - service->silent_since_ms);
	service->silent_since_ms = 0;
	pending_run_all(service);
}

static void on_probed(void *data, enum err_kind err,
		      const struct jobs_answer *answer)
{
	struct jobs_service *service = weak_ref_release(data);

	if (!service)
		return;
	service->probing = false;
	if (err == ERR_NONE && !is_elsewhere(answer))
		owner_answered(service);
	else if (service->silent_since_ms != 0)
		loop_timer_set(service->loop, &service->probe_timer,
			       JOBS_PROBE_MS);
}

/* Asks an owner that did not answer for something small. */
static void on_probe_timer(void *data)
{
	struct jobs_service *service = data;
	const struct election_owner *owner = election_owner(service->election);
	const struct jobs_call call = {
		.verb = JOBS_WAITING,
		.queue = "",
		.deadline_ms = JOBS_PROBE_DEADLINE_MS,
	};

	if (service->probing || service->silent_since_ms == 0)
		return;
	if (service->owner || !owner) {
		service->silent_since_ms = 0;
		return;
	}
	service->probing = true;
	service->peers->send(service->peers_self, owner->ip, owner->port, &call,
			     on_probed, weak_ref_acquire(service->cell));
}

static void owner_silent(struct jobs_service *service, enum err_kind err)
{
	election_refresh(service->election);
	if (service->silent_since_ms != 0)
		return;
	service->silent_since_ms = loop_now_ms();
	log_warning("owner-silent", "%s", err_name(err));
	loop_timer_set(service->loop, &service->probe_timer, 0);
}

static void on_handed_on(void *data, enum err_kind err,
			 const struct jobs_answer *answer)
{
	struct jobs_pending *pending = data;

	pending->handed_on = false;
	if (!pending->service) {
		pending_free(pending);
		return;
	}
	if (err == ERR_NONE) {
		/* The process that the key named last may be cut off from the
		 * store together with this one. */
		if (is_elsewhere(answer))
			owner_silent(pending->service, ERR_STALE);
		else
			owner_answered(pending->service);
		on_answer(pending, answer);
		return;
	}
	owner_silent(pending->service, err);
	if (err != ERR_CONNECT)
		maybe_done_set(pending);
	pending_resend(pending);
}

static void pending_run(struct jobs_pending *pending)
{
	struct jobs_service *service = pending->service;
	const struct election_owner *owner;
	uint64_t now_ms = loop_now_ms();

	g_assert(service);
	if (pending->queued)
		g_queue_unlink(&service->pending, &pending->link);
	pending->queued = false;
	timer_cancel(&pending->timer);
	pending->call.deadline_ms =
		pending->due_ms > now_ms ? (uint32_t)(pending->due_ms - now_ms)
					 : 0;
	if (service->owner) {
		if (owner_is_ready(service->owner))
			owner_call_handle(service->owner, &pending->call,
					  on_answer, pending);
		else
			pending_queue(pending);
		return;
	}
	owner = election_owner(service->election);
	if (!pending->may_hand_on) {
		pending_end(pending,
			    &(struct jobs_answer){ .outcome = JOBS_NOT_OWNER });
		return;
	}
	if (!owner || service->silent_since_ms != 0) {
		pending_queue(pending);
		return;
	}
	service->handed_on++;
	pending->handed_on = true;
	service->peers->send(service->peers_self, owner->ip, owner->port,
			     &pending->call, on_handed_on, pending);
}

static void call_start(struct jobs_service *service,
		       const struct jobs_call *call, bool may_hand_on,
		       jobs_cb cb, void *data)
{
	struct jobs_pending *pending = g_new0(struct jobs_pending, 1);
	uint64_t now_ms = loop_now_ms();
	uint32_t left_ms = call->deadline_ms;

	left_ms -= MIN(left_ms, JOBS_ANSWER_MARGIN_MS);
	pending->service = service;
	pending->queue = g_strdup(call->queue);
	pending->id = g_strdup(call->id);
	pending->spec = g_strdup(call->spec);
	pending->call = *call;
	pending->call.queue = pending->queue;
	pending->call.id = pending->id;
	pending->call.spec = pending->spec;
	pending->due_ms = now_ms + call->deadline_ms;
	pending->give_up_ms = now_ms + MIN(left_ms, JOBS_OWNER_WAIT_MS);
	pending->may_hand_on = may_hand_on;
	pending->link.data = pending;
	pending->calls_link.data = pending;
	g_queue_push_tail_link(&service->calls, &pending->calls_link);
	pending->timer.cb = on_pending_timer;
	pending->timer.data = pending;
	pending->cb = cb;
	pending->data = data;
	pending_run(pending);
}

void jobs_call(struct jobs_service *service, const struct jobs_call *call,
	       jobs_cb cb, void *data)
{
	call_start(service, call, true, cb, data);
}

void jobs_call_forwarded(struct jobs_service *service,
			 const struct jobs_call *call, jobs_cb cb, void *data)
{
	call_start(service, call, false, cb, data);
}

static void on_owner_deposed(void *data)
{
	struct jobs_service *service = data;

	election_step_down(service->election);
}

static void on_owner_ready(void *data)
{
	pending_run_all(data);
}

static bool on_is_proved(void *data)
{
	struct jobs_service *service = data;

	return election_holds_lease(service->election);
}

static const struct owner_ops owner_ops = {
	.on_ownership_lost = on_owner_deposed,
	.on_ready = on_owner_ready,
	.lease_is_valid = on_is_proved,
};

/* Needs the election won and a configuration in force. */
static void owner_begin(struct jobs_service *service)
{
	const struct owner_config config = {
		.loop = service->loop,
		.store = service->store,
		.platform = service->ops,
		.platform_self = service->ops_self,
		.guard_key = ELECTION_KEY,
		.guard_revision = service->guard_revision,
		.service = &service->config,
	};

	if (service->owner || !service->catalogue ||
	    service->guard_revision == 0)
		return;
	service->owner =
		owner_create(&config, service->catalogue, &owner_ops, service);
}

static void on_won(void *data, int64_t revision)
{
	struct jobs_service *service = data;

	service->guard_revision = revision;
	service->ownerless_since_ms = 0;
	owner_begin(service);
}

static void on_owner(void *data, const struct election_owner *owner)
{
	struct jobs_service *service = data;

	if (owner)
		log_info("owner-known", "%s at %s:%u, fence %" G_GINT64_FORMAT,
			 owner->id, owner->ip, (unsigned int)owner->port,
			 owner->fence);
	else
		log_info("owner-unknown", "the owner's key is absent");
	service->silent_since_ms = 0;
	service->ownerless_since_ms = owner ? 0 : loop_now_ms();
	if (owner)
		pending_run_all(service);
}

static void on_lost(void *data)
{
	struct jobs_service *service = data;
	struct owner *owner = g_steal_pointer(&service->owner);

	service->guard_revision = 0;
	service->ownerless_since_ms = loop_now_ms();
	owner_destroy(owner);
}

static const struct election_ops election_ops = {
	.on_won = on_won,
	.on_owner = on_owner,
	.on_lost = on_lost,
};

struct jobs_service *
jobs_service_create(struct loop *loop, struct platform *platform,
		    const struct jobs_config *config,
		    const struct adapter_ops *ops, void *ops_self,
		    const struct jobs_peers *peers, void *peers_self)
{
	struct jobs_service *service = g_new0(struct jobs_service, 1);
	const struct election_config election = {
		.id = config->id,
		.ip = config->ip,
		.port = config->port,
		.ttl_s = config->lease_ttl_s,
		.delay_ms = config->compete_delay_ms,
	};

	service->loop = loop;
	service->store = platform;
	service->config = *config;
	service->config.id = g_strdup(config->id);
	service->config.availability_zone = g_strdup(config->availability_zone);
	service->config.ip = g_strdup(config->ip);
	service->ops = ops;
	service->ops_self = ops_self;
	service->peers = peers;
	service->peers_self = peers_self;
	g_queue_init(&service->pending);
	g_queue_init(&service->calls);
	service->probe_timer.cb = on_probe_timer;
	service->probe_timer.data = service;
	service->cell = weak_ref_create(service);
	service->election = election_create(loop, platform, &election,
					    &election_ops, service);
	return service;
}

void jobs_service_destroy(struct jobs_service *service)
{
	if (!service)
		return;
	service->ending = true;
	owner_destroy(g_steal_pointer(&service->owner));
	while (service->calls.head) {
		struct jobs_pending *pending = service->calls.head->data;

		pending->maybe_done |= pending->handed_on;
		pending_fail(pending, "the process ends");
	}
	timer_cancel(&service->probe_timer);
	weak_ref_invalidate(service->cell);
	election_destroy(service->election);
	catalogue_unref(service->catalogue);
	g_free((char *)service->config.id);
	g_free((char *)service->config.availability_zone);
	g_free((char *)service->config.ip);
	g_free(service);
}

void jobs_set_catalogue(struct jobs_service *service,
			struct catalogue *catalogue)
{
	if (service->catalogue &&
	    service->catalogue->version >= catalogue->version)
		return;
	catalogue_unref(service->catalogue);
	service->catalogue = catalogue_ref(catalogue);
	if (service->owner)
		owner_set_catalogue(service->owner, catalogue);
	else
		owner_begin(service);
}

void jobs_resign(struct jobs_service *service)
{
	election_resign(service->election);
}

bool jobs_has_owner(const struct jobs_service *service)
{
	if (service->owner)
		return owner_is_ready(service->owner) &&
		       !owner_store_is_unavailable(service->owner);
	return election_owner(service->election) &&
	       !owner_is_out_of_reach(service);
}

void jobs_metrics(const struct jobs_service *service, GString *out)
{
	for (size_t i = 0; i < JOBS_OUTCOME_COUNT; i++)
		g_string_append_printf(out,
				       "sassafrascart_job_calls_total{outcome="
				       "\"%s\"} %" G_GUINT64_FORMAT "\n",
				       jobs_outcome_name(i),
				       service->outcomes[i]);
	g_string_append_printf(out,
			       "sassafrascart_job_calls_handed_on_total "
			       "%" G_GUINT64_FORMAT "\n"
			       "sassafrascart_job_calls_waited_total "
			       "%" G_GUINT64_FORMAT "\n"
			       "sassafrascart_is_owner %d\n",
			       service->handed_on, service->waited,
			       service->owner != NULL);
	if (service->owner)
		owner_metrics_append(service->owner, out);
}
