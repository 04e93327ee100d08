/*
 * Deletes claims of requests that did not run: those that exist, and those
 * whose transaction ended without an answer.
 */
#include <string.h>

#include "clm_private.h"

#define CLM_CLEAN_RETRY_MS 1000

static void clean_later(struct clm_claims *claims, uint64_t delay_ms)
{
	if (!timer_is_set(&claims->clean_timer))
		loop_timer_set(claims->config.loop, &claims->clean_timer,
			       delay_ms);
}

static void oldest_drop(GQueue *queue)
{
	if (queue->length >= CLM_DOUBTS_MAX)
		clm_claim_free(g_queue_pop_head_link(queue)->data);
}

void clm_clean_release(struct clm_claim *claim)
{
	struct clm_claims *claims = claim->claims;

	/* One that is dropped ends with its life instead. */
	oldest_drop(&claims->releasing);
	g_queue_push_tail_link(&claims->releasing, &claim->link);
	clean_later(claims, 0);
}

void clm_clean_doubt(struct clm_claim *claim)
{
	struct clm_claims *claims = claim->claims;

	oldest_drop(&claims->doubts);
	g_queue_push_tail_link(&claims->doubts, &claim->link);
	clean_later(claims, CLM_CLEAN_RETRY_MS);
}

static void on_deleted(void *data, enum err_kind err,
		       const struct platform_result *result)
{
	struct clm_batch *batch = data;
	struct clm_claims *claims = batch->claims;

	claims->deleting = false;
	for (guint i = 0; i < batch->items->len; i++) {
		struct clm_claim *claim = g_ptr_array_index(batch->items, i);

		/* A failed comparison means that a claim has ended already. */
		if (err == ERR_NONE)
			clm_claim_free(claim);
		else
			g_queue_push_tail_link(&claims->releasing,
					       &claim->link);
	}
	clm_batch_free(batch);
	clean_later(claims, err == ERR_NONE ? 0 : CLM_CLEAN_RETRY_MS);
}

static void delete_send(struct clm_claims *claims)
{
	struct platform_compare compares[CLM_BATCH_MAX];
	struct platform_write writes[CLM_BATCH_MAX];
	struct platform_txn txn = { compares, 0, writes, 0 };
	struct clm_batch *batch = clm_batch_create(claims);
	GList *link;

	while (txn.write_count < CLM_BATCH_MAX &&
	       (link = g_queue_pop_head_link(&claims->releasing))) {
		struct clm_claim *claim = link->data;

		g_ptr_array_add(batch->items, claim);
		compares[txn.compare_count++] = (struct platform_compare){
			claim->key, PLATFORM_TARGET_CREATE_REVISION,
			claim->create_revision
		};
		writes[txn.write_count++] =
			(struct platform_write){ claim->key, NULL, 0 };
	}
	claims->deleting = true;
	platform_txn(claims->config.platform, &txn, on_deleted, batch);
}

static void on_looked_up(void *data, enum err_kind err,
			 const struct platform_result *result)
{
	struct clm_claims *claims = data;
	struct clm_claim *claim;

	claims->resolving = false;
	if (err != ERR_NONE) {
		clean_later(claims, CLM_CLEAN_RETRY_MS);
		return;
	}
	claim = g_queue_pop_head_link(&claims->doubts)->data;
	if (result->kv_count > 0 &&
	    strcmp(result->kvs[0].value, claim->value) == 0) {
		claim->create_revision = result->kvs[0].create_revision;
		clm_clean_release(claim);
	} else {
		clm_claim_free(claim);
	}
	clean_later(claims, 0);
}

void clm_clean(void *data)
{
	struct clm_claims *claims = data;
	const struct clm_claim *doubt = g_queue_peek_head(&claims->doubts);

	if (claims->releasing.length > 0 && !claims->deleting)
		delete_send(claims);
	if (doubt && !claims->resolving) {
		claims->resolving = true;
		platform_range(claims->config.platform, doubt->key, false,
			       on_looked_up, claims);
	}
}
