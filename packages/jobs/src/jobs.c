#include <string.h>

#include "jobs_private.h"
#include "log.h"
#include "weak_ref.h"

/* How long a call waits for an owner; longer than a takeover. */
#define JOBS_OWNER_WAIT_MS 1500
/* Part of the caller's deadline that is reserved for returning the answer. */
#define JOBS_ANSWER_MARGIN_MS 200
/* Retry-after time if no owner was found. */
#define JOBS_RETRY_AFTER_MS 1000
/* Delay before a call that could not be sent to the owner is retried. */
#define JOBS_RETRY_MS 60
/* Interval and deadline of probes to an owner that does not answer. */
#define JOBS_PROBE_INTERVAL_MS 120
#define JOBS_PROBE_DEADLINE_MS 400
/* After this time without an answer the owner is considered unreachable: calls
 * are refused at once, so that callers go to other processes. */
#define JOBS_UNREACHABLE_MS 700

/* An open call; owns copies of the strings of struct jobs_call. */
struct jobs_request {
	/* NULL once the call has been answered; a forwarded request is then
	 * freed when the other process calls back */
	struct jobs_service *service;
	struct jobs_call call;
	char *queue;
	char *id;
	char *spec;
	char *account;
	uint64_t expires_ms;
	uint64_t give_up_ms;
	/* see struct jobs_call; not passed on to another process */
	bool (*is_awaited)(void *data);
	bool may_forward;
	bool queued;
	/* forwarded to another process, which has not answered yet */
	bool forwarded;
	/* an earlier attempt may have taken effect */
	bool effect_unknown;
	GList link;
	GList requests_link;
	struct timer timer;
	jobs_cb cb;
	void *data;
};

static void request_dispatch(struct jobs_request *request);

static void request_free(struct jobs_request *request)
{
	g_free(request->queue);
	g_free(request->id);
	g_free(request->spec);
	g_free(request->account);
	g_free(request);
}

static void request_finish(struct jobs_request *request,
			   const struct jobs_answer *answer)
{
	struct jobs_service *service = request->service;

	g_assert(service);
	service->outcomes[answer->outcome]++;
	timer_cancel(&request->timer);
	if (request->queued)
		g_queue_unlink(&service->waiting, &request->link);
	g_queue_unlink(&service->requests, &request->requests_link);
	request->cb(request->data, answer);
	request->service = NULL;
	if (!request->forwarded)
		request_free(request);
}

/* Returns whether another open call may still submit the same job, as when a
 * caller's connection ended and the caller retried. */
static bool has_concurrent_submit(const struct jobs_request *request)
{
	for (GList *link = request->service->requests.head; link;
	     link = link->next) {
		const struct jobs_request *other = link->data;

		if (other != request && other->call.verb == JOBS_SUBMIT &&
		    g_strcmp0(other->id, request->id) == 0)
			return true;
	}
	return false;
}

/* Ends a call without an answer from an owner. */
static void request_fail(struct jobs_request *request, const char *why)
{
	bool not_run = request->call.verb == JOBS_SUBMIT &&
		       !request->effect_unknown &&
		       !has_concurrent_submit(request);
	const struct jobs_answer answer = {
		.outcome = not_run ? JOBS_REFUSED : JOBS_UNKNOWN,
		.retry_after_ms = JOBS_RETRY_AFTER_MS,
		.why = why,
	};

	request_finish(request, &answer);
}

static bool owner_is_unreachable(const struct jobs_service *service)
{
	uint64_t since_ms = service->unanswered_since_ms != 0
				    ? service->unanswered_since_ms
				    : service->ownerless_since_ms;

	return since_ms != 0 && loop_now_ms() - since_ms > JOBS_UNREACHABLE_MS;
}

static void on_request_timer(void *data)
{
	struct jobs_request *request = data;

	if (loop_now_ms() >= request->give_up_ms)
		request_fail(request, "no owner is known");
	else
		request_dispatch(request);
}

static void request_enqueue(struct jobs_request *request)
{
	uint64_t now_ms = loop_now_ms();

	if (request->service->closing || now_ms >= request->give_up_ms ||
	    (owner_is_unreachable(request->service) &&
	     !request->effect_unknown)) {
		request_fail(request, "no owner is known");
		return;
	}
	request->queued = true;
	request->service->waited++;
	g_queue_push_tail_link(&request->service->waiting, &request->link);
	timer_set(loop_timers(request->service->loop), &request->timer,
		  request->give_up_ms);
}

/* Records that the call may have taken effect, which only an owner's answer can
 * clarify, and extends the time for retries to the caller's deadline. */
static void effect_unknown_set(struct jobs_request *request)
{
	request->effect_unknown = true;
	request->give_up_ms = request->expires_ms -
			      MIN(request->expires_ms, JOBS_ANSWER_MARGIN_MS);
}

/* All calls are idempotent: a retried submission keeps its identity. */
static void request_retry(struct jobs_request *request)
{
	if (loop_now_ms() + JOBS_RETRY_MS >= request->give_up_ms)
		request_fail(request, "the owner cannot be reached");
	else
		loop_timer_set(request->service->loop, &request->timer,
			       JOBS_RETRY_MS);
}

/* Returns whether a process answered that it does not own the service. */
static bool answer_is_not_owner(const struct jobs_answer *answer)
{
	return answer->outcome == JOBS_NOT_OWNER ||
	       answer->outcome == JOBS_OWNERSHIP_LOST;
}

/* Ends a call with an owner's answer, or retries it with the next owner. */
static void on_answer(void *data, const struct jobs_answer *answer)
{
	struct jobs_request *request = data;
	struct jobs_answer adjusted = *answer;

	if (answer_is_not_owner(answer) && request->may_forward &&
	    !request->service->closing) {
		if (answer->outcome == JOBS_OWNERSHIP_LOST)
			effect_unknown_set(request);
		election_refresh(request->service->election);
		request_retry(request);
		return;
	}
	/* A refusal promises that the job never runs, which cannot be promised
	 * while an earlier attempt may still take effect. */
	if (adjusted.outcome == JOBS_REFUSED && request->effect_unknown) {
		adjusted.outcome = JOBS_UNKNOWN;
		adjusted.why = "refused after an unanswered attempt";
	}
	request_finish(request, &adjusted);
}

static void queued_dispatch_all(struct jobs_service *service)
{
	guint count = service->waiting.length;

	for (guint i = 0; i < count && service->waiting.head; i++)
		request_dispatch(service->waiting.head->data);
}

static void owner_reachable(struct jobs_service *service)
{
	if (service->unanswered_since_ms == 0)
		return;
	log_info("owner-reachable",
		 "owner answers again after %" G_GUINT64_FORMAT " ms",
		 loop_now_ms() - service->unanswered_since_ms);
	service->unanswered_since_ms = 0;
	queued_dispatch_all(service);
}

static void on_probed(void *data, enum err_kind err,
		      const struct jobs_answer *answer)
{
	struct jobs_service *service = weak_ref_release(data);

	if (!service)
		return;
	service->probing = false;
	if (err == ERR_NONE && !answer_is_not_owner(answer))
		owner_reachable(service);
	else if (service->unanswered_since_ms != 0)
		loop_timer_set(service->loop, &service->probe_timer,
			       JOBS_PROBE_INTERVAL_MS);
}

/* Probes an unresponsive owner with a cheap call. */
static void on_probe_timer(void *data)
{
	struct jobs_service *service = data;
	const struct election_owner *owner = election_owner(service->election);
	const struct jobs_call call = {
		.verb = JOBS_WAITING,
		.queue = "",
		.deadline_ms = JOBS_PROBE_DEADLINE_MS,
	};

	if (service->probing || service->unanswered_since_ms == 0)
		return;
	if (service->owner || !owner) {
		service->unanswered_since_ms = 0;
		return;
	}
	service->probing = true;
	service->peers->send(service->peers_self, owner->ip, owner->port, &call,
			     on_probed, weak_ref_acquire(service->weak_ref));
}

static void owner_unreachable(struct jobs_service *service, enum err_kind err)
{
	election_refresh(service->election);
	if (service->unanswered_since_ms != 0)
		return;
	service->unanswered_since_ms = loop_now_ms();
	log_warning("owner-unreachable", "no answer from the owner: %s",
		    err_name(err));
	loop_timer_set(service->loop, &service->probe_timer, 0);
}

static void on_forwarded(void *data, enum err_kind err,
			 const struct jobs_answer *answer)
{
	struct jobs_request *request = data;

	request->forwarded = false;
	if (!request->service) {
		request_free(request);
		return;
	}
	if (err == ERR_NONE) {
		/* The last known owner may have lost ownership while this
		 * process cannot read the store. */
		if (answer_is_not_owner(answer))
			owner_unreachable(request->service, ERR_STALE);
		else
			owner_reachable(request->service);
		on_answer(request, answer);
		return;
	}
	if (err == ERR_TOO_LARGE) {
		request_fail(request, "the call does not fit a message");
		return;
	}
	owner_unreachable(request->service, err);
	if (err != ERR_CONNECT)
		effect_unknown_set(request);
	request_retry(request);
}

/* A submission whose caller has left must not take effect: the caller may have
 * cancelled the job at another process, which has told it that there is none.
 */
static bool submission_is_stale(const struct jobs_request *request,
				uint64_t now_ms)
{
	return request->call.verb == JOBS_SUBMIT &&
	       (now_ms >= request->expires_ms ||
		(request->is_awaited && !request->is_awaited(request->data)));
}

static void request_dispatch(struct jobs_request *request)
{
	struct jobs_service *service = request->service;
	const struct election_owner *owner;
	uint64_t now_ms = loop_now_ms();

	g_assert(service);
	if (request->queued)
		g_queue_unlink(&service->waiting, &request->link);
	request->queued = false;
	timer_cancel(&request->timer);
	if (submission_is_stale(request, now_ms)) {
		request_fail(request, "the caller does not wait any more");
		return;
	}
	request->call.deadline_ms =
		request->expires_ms > now_ms
			? (uint32_t)(request->expires_ms - now_ms)
			: 0;
	if (service->owner) {
		if (owner_is_ready(service->owner))
			owner_call_handle(service->owner, &request->call,
					  on_answer, request);
		else
			request_enqueue(request);
		return;
	}
	owner = election_owner(service->election);
	if (!request->may_forward) {
		request_finish(request, &(struct jobs_answer){
						.outcome = JOBS_NOT_OWNER });
		return;
	}
	if (!owner || service->unanswered_since_ms != 0) {
		request_enqueue(request);
		return;
	}
	service->forwarded++;
	request->forwarded = true;
	service->peers->send(service->peers_self, owner->ip, owner->port,
			     &request->call, on_forwarded, request);
}

static void request_start(struct jobs_service *service,
			  const struct jobs_call *call, bool may_forward,
			  jobs_cb cb, void *data)
{
	struct jobs_request *request = g_new0(struct jobs_request, 1);
	uint64_t now_ms = loop_now_ms();
	uint32_t left_ms = call->deadline_ms;

	left_ms -= MIN(left_ms, JOBS_ANSWER_MARGIN_MS);
	request->service = service;
	request->queue = g_strdup(call->queue);
	request->id = g_strdup(call->id);
	request->spec = g_strdup(call->spec);
	request->account = g_strdup(call->account);
	request->is_awaited = call->is_awaited;
	request->call = *call;
	request->call.is_awaited = NULL;
	request->call.queue = request->queue;
	request->call.id = request->id;
	request->call.spec = request->spec;
	request->call.account = request->account;
	request->expires_ms = now_ms + call->deadline_ms;
	request->give_up_ms = now_ms + MIN(left_ms, JOBS_OWNER_WAIT_MS);
	request->may_forward = may_forward;
	request->link.data = request;
	request->requests_link.data = request;
	g_queue_push_tail_link(&service->requests, &request->requests_link);
	request->timer.cb = on_request_timer;
	request->timer.data = request;
	request->cb = cb;
	request->data = data;
	request_dispatch(request);
}

void jobs_call(struct jobs_service *service, const struct jobs_call *call,
	       jobs_cb cb, void *data)
{
	request_start(service, call, true, cb, data);
}

void jobs_call_forwarded(struct jobs_service *service,
			 const struct jobs_call *call, jobs_cb cb, void *data)
{
	request_start(service, call, false, cb, data);
}

static void on_owner_deposed(void *data)
{
	struct jobs_service *service = data;

	election_step_down(service->election);
}

static void on_owner_ready(void *data)
{
	queued_dispatch_all(data);
}

static bool on_holds_lease(void *data)
{
	struct jobs_service *service = data;

	return election_holds_lease(service->election);
}

static const struct owner_ops owner_ops = {
	.on_ownership_lost = on_owner_deposed,
	.on_ready = on_owner_ready,
	.lease_is_valid = on_holds_lease,
};

/* Starts the owner once the election is won and a configuration applies. */
static void owner_start(struct jobs_service *service)
{
	const struct owner_config config = {
		.loop = service->loop,
		.store = service->store,
		.platform = service->ops,
		.platform_self = service->ops_self,
		.guard_key = ELECTION_KEY,
		.guard_revision = service->guard_revision,
		.lease_ttl_ms = election_lease_ttl_ms(service->election),
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
	owner_start(service);
}

static void on_owner(void *data, const struct election_owner *owner)
{
	struct jobs_service *service = data;

	if (owner)
		log_info("owner-known",
			 "owner %s at %s:%u, fencing token %" G_GINT64_FORMAT,
			 owner->id, owner->ip, (unsigned int)owner->port,
			 owner->fence);
	else
		log_info("owner-unknown", "the owner key is absent");
	service->unanswered_since_ms = 0;
	service->ownerless_since_ms = owner ? 0 : loop_now_ms();
	if (owner)
		queued_dispatch_all(service);
}

static void on_lost(void *data)
{
	struct jobs_service *service = data;
	struct owner *owner = g_steal_pointer(&service->owner);

	service->guard_revision = 0;
	service->ownerless_since_ms = loop_now_ms();
	if (owner)
		owner_log_lost(owner);
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
	g_queue_init(&service->waiting);
	g_queue_init(&service->requests);
	service->probe_timer.cb = on_probe_timer;
	service->probe_timer.data = service;
	service->weak_ref = weak_ref_create(service);
	service->election = election_create(loop, platform, &election,
					    &election_ops, service);
	return service;
}

void jobs_service_destroy(struct jobs_service *service)
{
	if (!service)
		return;
	service->closing = true;
	owner_destroy(g_steal_pointer(&service->owner));
	while (service->requests.head) {
		struct jobs_request *request = service->requests.head->data;

		request->effect_unknown |= request->forwarded;
		request_fail(request, "the process ends");
	}
	timer_cancel(&service->probe_timer);
	weak_ref_invalidate(service->weak_ref);
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
		owner_start(service);
}

void jobs_set_limits(struct jobs_service *service, uint32_t compete_delay_ms,
		     uint32_t ended_retention_ms)
{
	/* The owner, if any, reads its limits here. */
	service->config.ended_retention_ms = ended_retention_ms;
	election_set_delay(service->election, compete_delay_ms);
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
	       !owner_is_unreachable(service);
}
