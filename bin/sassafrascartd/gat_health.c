/* What attempts tell of the health of backend servers. */
#include "gat_private.h"

#include "lgx.h"

/* An error that comes sooner than this is no result of work. */
#define GAT_FAST_ERROR_MS 50

static enum ejt_evidence answer_evidence(const struct gat_work *work,
					 const struct hcl_answer *answer)
{
	uint64_t took_ms = evl_now_ms() - work->attempt_began_ms;
	uint64_t mean_ms = adm_queue_mean_ms(work->pool->queue);

	if (answer->status < 500)
		return EJT_ANSWERED;
	return took_ms <= MAX(mean_ms / 2, GAT_FAST_ERROR_MS) ? EJT_FAILED
							      : EJT_SLOW;
}

static enum ejt_evidence evidence_of(const struct gat_work *work,
				     enum backend_result result,
				     const struct hcl_answer *answer)
{
	switch (result) {
	case BACKEND_ANSWERED:
		return answer_evidence(work, answer);
	case BACKEND_TOO_LARGE:
		return EJT_ANSWERED;
	case BACKEND_TIMEOUT:
		return EJT_SLOW;
	case BACKEND_NOT_SENT:
	case BACKEND_DISCONNECTED:
	case BACKEND_ID_MISMATCH:
		break;
	}
	return EJT_FAILED;
}

void gat_health_record(struct gat_work *work, enum backend_result result,
		       const struct hcl_answer *answer, const char *vm_name)
{
	struct gat_gateway *gateway = work->gateway;
	const struct sel_server *server = gat_server_find(gateway, vm_name);
	enum ejt_evidence evidence = evidence_of(work, result, answer);
	uint32_t vm;

	if (evidence == EJT_ANSWERED || result == BACKEND_TIMEOUT)
		adm_queue_served(work->pool->queue,
				 evl_now_ms() - work->attempt_began_ms);
	/* This process's own refusal to send says nothing of the server. */
	if (!server || (result == BACKEND_NOT_SENT &&
			!gateway->config.may_dispatch(gateway->config.data)))
		return;
	vm = (uint32_t)(server - gateway->servers->servers);
	if (!sel_record(gateway->servers, vm, evidence, work->attempt_began_ms,
			evl_now_ms(), g_random_int()))
		return;
	ctr_add(gateway->config.counters, CTR_EJECTIONS);
	lgx_warning("backend_server_ejected", "%s ejected, for the %u. time",
		    vm_name, server->health.ejections);
}

void gat_health_pardon(struct gat_gateway *gateway, const char *vm_name)
{
	struct sel_server *server = gat_server_find(gateway, vm_name);

	if (server)
		ejt_pardon(&server->health);
}
