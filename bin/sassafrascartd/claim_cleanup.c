/*
 * Deletes claims of requests that did not run: those known to exist, and those
 * whose transaction ended with an unknown effect.
 */
#include <string.h>

#include "claim_private.h"

#define CLAIM_CLEANUP_RETRY_MS 1000

static void cleanup_schedule(struct claim_set *claims, uint64_t delay_ms)
{
	if (!timer_is_set(&claims->cleanup_timer))
		loop_timer_set(claims->config.loop, &claims->cleanup_timer,
			       delay_ms);
}

static void queue_make_room(GQueue *queue)
{
	if (queue->length >= CLAIM_CLEANUP_MAX)
		claim_free(g_queue_pop_head_link(queue)->data);
}

void claim_cleanup_delete(struct claim *claim)
{
	struct claim_set *claims = claim->claims;

	/* A claim dropped from a full queue expires with its lease. */
	queue_make_room(&claims->to_delete);
	g_queue_push_tail_link(&claims->to_delete, &claim->link);
	cleanup_schedule(claims, 0);
}

void claim_cleanup_verify(struct claim *claim)
{
	struct claim_set *claims = claim->claims;

	queue_make_room(&claims->unverified_claims);
	g_queue_push_tail_link(&claims->unverified_claims, &claim->link);
	cleanup_schedule(claims, CLAIM_CLEANUP_RETRY_MS);
}

static void on_deleted(void *data, enum err_kind err,
		       const struct platform_result *result)
{
	struct claim_batch *batch = data;
	struct claim_set *claims = batch->claims;

	claims->deleting = false;
	for (guint i = 0; i < batch->items->len; i++) {
		struct claim *claim = g_ptr_array_index(batch->items, i);

		/* If the comparison failed, a claim had expired already. */
		if (err == ERR_NONE)
			claim_free(claim);
		else
			g_queue_push_tail_link(&claims->to_delete,
					       &claim->link);
	}
	claim_batch_free(batch);
	cleanup_schedule(claims, err == ERR_NONE ? 0 : CLAIM_CLEANUP_RETRY_MS);
}

static void delete_send(struct claim_set *claims)
{
	struct platform_compare compares[CLAIM_BATCH_MAX];
	struct platform_write writes[CLAIM_BATCH_MAX];
	struct platform_txn txn = { compares, 0, writes, 0 };
	struct claim_batch *batch = claim_batch_create(claims);
	GList *link;

	while (txn.write_count < CLAIM_BATCH_MAX &&
	       (link = g_queue_pop_head_link(&claims->to_delete))) {
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

static void on_claim_read(void *data, enum err_kind err,
			  const struct platform_result *result)
{
	struct claim_set *claims = data;
	struct claim *claim;

	claims->verifying = false;
	if (err != ERR_NONE) {
		cleanup_schedule(claims, CLAIM_CLEANUP_RETRY_MS);
		return;
	}
	claim = g_queue_pop_head_link(&claims->unverified_claims)->data;
	if (result->kv_count > 0 &&
	    strcmp(result->kvs[0].value, claim->value) == 0) {
		claim->create_revision = result->kvs[0].create_revision;
		claim_cleanup_delete(claim);
	} else {
		claim_free(claim);
	}
	cleanup_schedule(claims, 0);
}

void claim_cleanup_run(void *data)
{
	struct claim_set *claims = data;
	const struct claim *unverified =
		g_queue_peek_head(&claims->unverified_claims);

	if (claims->to_delete.length > 0 && !claims->deleting)
		delete_send(claims);
	if (unverified && !claims->verifying) {
		claims->verifying = true;
		platform_range(claims->config.platform, unverified->key, false,
			       on_claim_read, claims);
	}
}
