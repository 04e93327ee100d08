/* Idempotency keys of requests that are not idempotent. */
#include <string.h>

#include "gat_private.h"

bool gat_claim_is_needed(const struct gat_work *work)
{
	return !work->retry.idempotent &&
	       ingress_request_header(work->request,
				      INGRESS_HEADER_IDEMPOTENCY_KEY);
}

static void on_claim_end(void *data, enum err_kind err)
{
	struct gat_work *work = data;
	struct gat_pool *pool = work->pool;

	if (err != ERR_NONE) {
		work->claim = NULL;
		admission_queue_remove(pool->queue, &work->item);
		gat_work_refuse(work, err == ERR_CONFLICT
					      ? OUTCOME_DUPLICATE_KEY
					      : OUTCOME_CLAIM_FAILED);
		return;
	}
	admission_queue_enqueue(pool->queue, &work->item, loop_now_ms());
	gat_pool_pump(work->gateway, pool);
}

enum outcome gat_claim_begin(struct gat_work *work)
{
	const char *key = ingress_request_header(
		work->request, INGRESS_HEADER_IDEMPOTENCY_KEY);

	work->claim = clm_take(work->gateway->claims, work->route, key,
			       work->request_id, on_claim_end, work);
	return work->claim ? OUTCOME_ANSWERED : OUTCOME_DUPLICATE_KEY;
}

void gat_claim_end(struct gat_work *work)
{
	if (!work->claim)
		return;
	if (work->sent_outcome != OUTCOME_COUNT)
		clm_keep(work->claim);
	else
		clm_release(work->claim);
	work->claim = NULL;
}
