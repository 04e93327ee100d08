/* Claims on the idempotency keys of non-idempotent requests. */
#include <string.h>

#include "gateway_private.h"

bool gateway_claim_is_needed(const struct gateway_exchange *exchange)
{
	return !exchange->retry.idempotent &&
	       ingress_request_header(exchange->request,
				      INGRESS_HEADER_IDEMPOTENCY_KEY);
}

static void on_claim_done(void *data, enum err_kind err)
{
	struct gateway_exchange *exchange = data;
	struct gateway_pool *pool = exchange->pool;

	if (err != ERR_NONE) {
		exchange->claim = NULL;
		admission_queue_remove(pool->queue, &exchange->item);
		gateway_exchange_refuse(
			exchange, err == ERR_CONFLICT ? OUTCOME_DUPLICATE_KEY
						      : OUTCOME_CLAIM_FAILED);
		return;
	}
	admission_queue_enqueue(pool->queue, &exchange->item, loop_now_ms());
	gateway_pool_dispatch(exchange->gateway, pool);
}

enum outcome gateway_claim_begin(struct gateway_exchange *exchange)
{
	const char *key = ingress_request_header(
		exchange->request, INGRESS_HEADER_IDEMPOTENCY_KEY);

	exchange->claim = claim_acquire(
		exchange->gateway->claims, exchange->route_path, key,
		exchange->request_id, on_claim_done, exchange);
	return exchange->claim ? OUTCOME_ANSWERED : OUTCOME_DUPLICATE_KEY;
}

void gateway_claim_end(struct gateway_exchange *exchange)
{
	if (!exchange->claim)
		return;
	if (exchange->last_sent_outcome != OUTCOME_COUNT)
		claim_keep(exchange->claim);
	else
		claim_release(exchange->claim);
	exchange->claim = NULL;
}
