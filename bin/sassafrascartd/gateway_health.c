/* What attempts tell of the health of backend servers. */
#include "gateway_private.h"

#include "log.h"

/* An error that comes sooner than this is no result of work. */
#define GATEWAY_FAST_ERROR_MS 50

static enum outlier_result
answer_evidence(const struct gateway_exchange *work,
		const struct http_client_response *answer)
{
	uint64_t took_ms = loop_now_ms() - work->attempt_began_ms;
	uint64_t mean_ms = admission_queue_mean_service_ms(work->pool->queue);

	if (answer->status < 500)
		return OUTLIER_ANSWERED;
	return took_ms <= MAX(mean_ms / 2, GATEWAY_FAST_ERROR_MS)
		       ? OUTLIER_FAILED
		       : OUTLIER_SLOW;
}

static enum outlier_result
evidence_of(const struct gateway_exchange *work, enum backend_result result,
	    const struct http_client_response *answer)
{
	switch (result) {
	case BACKEND_ANSWERED:
		return answer_evidence(work, answer);
	case BACKEND_TOO_LARGE:
		return OUTLIER_ANSWERED;
	case BACKEND_TIMEOUT:
		return OUTLIER_SLOW;
	case BACKEND_NOT_SENT:
	case BACKEND_DISCONNECTED:
	case BACKEND_ID_MISMATCH:
		break;
	}
	return OUTLIER_FAILED;
}

void gateway_health_record(struct gateway_exchange *work,
			   enum backend_result result,
			   const struct http_client_response *answer,
			   const char *vm_name)
{
	struct gateway *gateway = work->gateway;
	const struct balancer_server *server =
		gateway_server_find(gateway, vm_name);
	enum outlier_result evidence = evidence_of(work, result, answer);
	uint32_t vm;

	if (evidence == OUTLIER_ANSWERED || result == BACKEND_TIMEOUT)
		admission_queue_record_service(work->pool->queue,
					       loop_now_ms() -
						       work->attempt_began_ms);
	/* This process's own refusal to send says nothing of the server. */
	if (!server || (result == BACKEND_NOT_SENT &&
			!gateway->config.may_dispatch(gateway->config.data)))
		return;
	vm = (uint32_t)(server - gateway->servers->servers);
	if (!balancer_record_result(gateway->servers, vm, evidence,
				    work->attempt_began_ms, loop_now_ms(),
				    g_random_int()))
		return;
	counter_inc(gateway->config.counters, COUNTER_EJECTIONS);
	log_warning("backend_server_ejected", "%s ejected, for the %u. time",
		    vm_name, server->health.ejections);
}

void gateway_health_retract(struct gateway *gateway, const char *vm_name)
{
	struct balancer_server *server = gateway_server_find(gateway, vm_name);

	if (server)
		outlier_undo_failure(&server->health);
}
