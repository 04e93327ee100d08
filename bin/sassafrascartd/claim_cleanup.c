/*
 * Deletes claims of requests that did not run: those that exist, and those
 * whose transaction ended without an answer.
 */
#include <string.h>

#include "claim_private.h"

#define CLAIM_CLEANUP_RETRY_MS 1000

static void clean_later(struct claim_set *claims, uint64_t delay_ms)
{
	if (!timer_is_set(&claims->clean_timer))
		loop_timer_set(claims->config.loop, &claims->clean_timer,
			       delay_ms);
}

static void oldest_drop(GQueue *queue)
{
	if (queue->length >= CLAIM_CLEANUP_MAX)
		claim_free(g_queue_pop_head_link(queue)->data);
}

void claim_cleanup_delete(struct claim *claim)
{
	struct claim_set *claims = claim->claims;

	/* One that is dropped ends with its life instead. */
	oldest_drop(&claims->releasing);
	g_queue_push_tail_link(&claims->releasing, &claim->link);
	clean_later(claims, 0);
}

void claim_cleanup_verify(struct claim *claim)
{
	struct claim_set *claims = claim->claims;

	oldest_drop(&claims->doubts);
	g_queue_push_tail_link(&claims->doubts, &claim->link);
	clean_later(claims, CLAIM_CLEANUP_RETRY_MS);
}

static void on_deleted(void *data, enum err_kind err,
		       const struct platform_result *result)
{
	struct claim_batch *batch = data;
	struct claim_set *claims = batch->claims;

	claims->deleting = false;
	for (guint i = 0; i < batch->items->len; i++) {
		struct claim *claim = g_ptr_array_index(batch->items, i);

		/* A failed comparison means that a claim has ended already. */
		if (err == ERR_NONE)
			claim_free(claim);
		else
			g_queue_push_tail_link(&claims->releasing,
					       &claim->link);
	}
	claim_batch_free(batch);
	clean_later(claims, err == ERR_NONE ? 0 : CLAIM_CLEANUP_RETRY_MS);
}

static void delete_send(struct claim_set *claims)
{
	struct platform_compare compares[CLAIM_BATCH_MAX];
	struct platform_write writes[CLAIM_BATCH_MAX];
	struct platform_txn txn = { compares, 0, writes, 0 };
	struct claim_batch *batch = claim_batch_create(claims);
	GList *link;

	while (txn.write_count < CLAIM_BATCH_MAX &&
	       (link = g_queue_pop_head_link(&claims->releasing))) {
		struct claim *claim = link->data;

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
	struct claim_set *claims = data;
	struct claim *claim;

	claims->resolving = false;
	if (err != ERR_NONE) {
		clean_later(claims, CLAIM_CLEANUP_RETRY_MS);
		return;
	}
	claim = g_queue_pop_head_link(&claims->doubts)->data;
	if (result->kv_count > 0 &&
	    strcmp(result->kvs[0].value, claim->value) == 0) {
		claim->create_revision = result->kvs[0].create_revision;
		claim_cleanup_delete(claim);
	} else {
		claim_free(claim);
	}
	clean_later(claims, 0);
}

void claim_cleanup_run(void *data)
{
	struct claim_set *claims = data;
	const struct claim *doubt = g_queue_peek_head(&claims->doubts);

	if (claims->releasing.length > 0 && !claims->deleting)
		delete_send(claims);
	if (doubt && !claims->resolving) {
		claims->resolving = true;
		platform_range(claims->config.platform, doubt->key, false,
			       on_looked_up, claims);
	}
}
