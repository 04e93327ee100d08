/* Health evidence of backend servers, from the results of attempts. */
#include "gateway_private.h"

#include "lgx.h"

/*
 * Server errors faster than this are taken for failures of the server, not for
 * the result of processing a request.
 */
#define GATEWAY_FAST_ERROR_MAX_MS 50

static enum ejt_evidence
answer_evidence(const struct gateway_exchange *exchange,
		const struct hcl_answer *answer)
{
	uint64_t took_ms = evl_now_ms() - exchange->attempt_began_ms;
	uint64_t mean_ms = adm_queue_mean_ms(exchange->pool->queue);

	if (answer->status < 500)
		return EJT_ANSWERED;
	return took_ms <= MAX(mean_ms / 2, GATEWAY_FAST_ERROR_MAX_MS)
		       ? EJT_FAILED
		       : EJT_SLOW;
}

static enum ejt_evidence evidence_of(const struct gateway_exchange *exchange,
				     enum att_result result,
				     const struct hcl_answer *answer)
{
	switch (result) {
	case ATT_ANSWERED:
		return answer_evidence(exchange, answer);
	case ATT_TOO_LARGE:
		return EJT_ANSWERED;
	case ATT_TIMEOUT:
		return EJT_SLOW;
	case ATT_NOT_SENT:
	case ATT_CUT:
	case ATT_MISMATCH:
		break;
	}
	return EJT_FAILED;
}

void gateway_health_record(struct gateway_exchange *exchange,
			   enum att_result result,
			   const struct hcl_answer *answer, const char *vm_name)
{
	struct gateway *gateway = exchange->gateway;
	const struct sel_server *server = gateway_server_find(gateway, vm_name);
	enum ejt_evidence evidence = evidence_of(exchange, result, answer);
	uint32_t vm;

	if (evidence == EJT_ANSWERED || result == ATT_TIMEOUT)
		adm_queue_served(exchange->pool->queue,
				 evl_now_ms() - exchange->attempt_began_ms);
	/* A send that this process declined says nothing about the server. */
	if (!server || (result == ATT_NOT_SENT &&
			!gateway->config.may_dispatch(gateway->config.data)))
		return;
	vm = (uint32_t)(server - gateway->servers->servers);
	if (!sel_record(gateway->servers, vm, evidence,
			exchange->attempt_began_ms, evl_now_ms(),
			g_random_int()))
		return;
	ctr_add(gateway->config.counters, CTR_EJECTIONS);
	lgx_warning("backend_server_ejected", "%s ejected (ejection %u)",
		    vm_name, server->health.ejections);
}

void gateway_health_retract(struct gateway *gateway, const char *vm_name)
{
	struct sel_server *server = gateway_server_find(gateway, vm_name);

	if (server)
		ejt_pardon(&server->health);
}
