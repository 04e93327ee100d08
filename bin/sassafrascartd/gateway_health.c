/* Health evidence of backend servers, from the results of attempts. */
#include "gateway_private.h"

#include "log.h"

/*
 * Server errors faster than this are taken for failures of the server, not for
 * the result of processing a request.
 */
#define GATEWAY_FAST_ERROR_MAX_MS 50

static enum outlier_result
response_evidence(const struct gateway_exchange *exchange,
		  const struct http_client_response *response)
{
	uint64_t took_ms = loop_now_ms() - exchange->attempt_began_ms;
	uint64_t mean_ms =
		admission_queue_mean_service_ms(exchange->pool->queue);

	if (response->status < 500)
		return OUTLIER_ANSWERED;
	return took_ms <= MAX(mean_ms / 2, GATEWAY_FAST_ERROR_MAX_MS)
		       ? OUTLIER_FAILED
		       : OUTLIER_SLOW;
}

static enum outlier_result
evidence_of(const struct gateway_exchange *exchange, enum backend_result result,
	    const struct http_client_response *response)
{
	switch (result) {
	case BACKEND_ANSWERED:
		return response_evidence(exchange, response);
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

void gateway_health_record(struct gateway_exchange *exchange,
			   enum backend_result result,
			   const struct http_client_response *response,
			   const char *vm_name)
{
	struct gateway *gateway = exchange->gateway;
	const struct balancer_server *server =
		gateway_server_find(gateway, vm_name);
	enum outlier_result evidence = evidence_of(exchange, result, response);
	uint32_t vm;

	if (evidence == OUTLIER_ANSWERED || result == BACKEND_TIMEOUT)
		admission_queue_record_service(
			exchange->pool->queue,
			loop_now_ms() - exchange->attempt_began_ms);
	/* A send that this process declined says nothing about the server. */
	if (!server || (result == BACKEND_NOT_SENT &&
			!gateway->config.may_dispatch(gateway->config.data)))
		return;
	vm = (uint32_t)(server - gateway->servers->servers);
	if (!balancer_record_result(gateway->servers, vm, evidence,
				    exchange->attempt_began_ms, loop_now_ms(),
				    g_random_int()))
		return;
	counter_inc(gateway->config.counters, COUNTER_EJECTIONS);
	log_warning("backend_server_ejected", "%s ejected (ejection %u)",
		    vm_name, server->health.ejections);
}

void gateway_health_retract(struct gateway *gateway, const char *vm_name)
{
	struct balancer_server *server = gateway_server_find(gateway, vm_name);

	if (server)
		outlier_undo_failure(&server->health);
}
