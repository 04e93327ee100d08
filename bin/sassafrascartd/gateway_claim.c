/* Idempotency keys of requests that are not idempotent. */
#include <string.h>

#include "gateway_private.h"

bool gateway_claim_is_needed(const struct gateway_exchange *work)
{
	return !work->retry.idempotent &&
	       ingress_request_header(work->request,
				      INGRESS_HEADER_IDEMPOTENCY_KEY);
}

static void on_claim_end(void *data, enum err_kind err)
{
	struct gateway_exchange *work = data;
	struct gateway_pool *pool = work->pool;

	if (err != ERR_NONE) {
		work->claim = NULL;
		admission_queue_remove(pool->queue, &work->item);
		gateway_exchange_refuse(work, err == ERR_CONFLICT
						      ? OUTCOME_DUPLICATE_KEY
						      : OUTCOME_CLAIM_FAILED);
		return;
	}
	admission_queue_enqueue(pool->queue, &work->item, loop_now_ms());
	gateway_pool_dispatch(work->gateway, pool);
}

enum outcome gateway_claim_begin(struct gateway_exchange *work)
{
	const char *key = ingress_request_header(
		work->request, INGRESS_HEADER_IDEMPOTENCY_KEY);

	work->claim = claim_acquire(work->gateway->claims, work->route, key,
				    work->request_id, on_claim_end, work);
	return work->claim ? OUTCOME_ANSWERED : OUTCOME_DUPLICATE_KEY;
}

void gateway_claim_end(struct gateway_exchange *work)
{
	if (!work->claim)
		return;
	if (work->sent_outcome != OUTCOME_COUNT)
		claim_keep(work->claim);
	else
		claim_release(work->claim);
	work->claim = NULL;
}
