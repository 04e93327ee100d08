#include "claim.h"

#include <jansson.h>
#include <string.h>

#include "claim_private.h"

/* Rate limit of claim transactions, shared by all processes. */
#define CLAIM_TRANSACTIONS_PER_S 200
#define CLAIM_BURST_TRANSACTIONS 4
/*
 * A lease accepts new claims for at most this long; its time-to-live is that of
 * a claim plus this window.
 */
#define CLAIM_LEASE_WINDOW_MAX_S 60

static void queue_flush(void *data);

void claim_free(struct claim *claim)
{
	g_free(claim->key);
	g_free(claim->value);
	g_free(claim);
}

static void claim_free_cb(gpointer data)
{
	claim_free(data);
}

struct claim_set *claim_set_create(const struct claim_config *config)
{
	struct claim_set *claims = g_new0(struct claim_set, 1);

	claims->config = *config;
	claims->pending = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&claims->queued);
	g_queue_init(&claims->to_delete);
	g_queue_init(&claims->unverified_claims);
	g_queue_init(&claims->batches);
	claims->flush_timer.cb = queue_flush;
	claims->flush_timer.data = claims;
	claims->cleanup_timer.cb = claim_cleanup_run;
	claims->cleanup_timer.data = claims;
	return claims;
}

struct claim_batch *claim_batch_create(struct claim_set *claims)
{
	struct claim_batch *batch = g_new0(struct claim_batch, 1);

	batch->claims = claims;
	batch->items = g_ptr_array_new();
	batch->link.data = batch;
	g_queue_push_tail_link(&claims->batches, &batch->link);
	return batch;
}

void claim_batch_free(struct claim_batch *batch)
{
	g_queue_unlink(&batch->claims->batches, &batch->link);
	g_ptr_array_unref(batch->items);
	g_free(batch);
}

static void queue_free(GQueue *queue)
{
	GList *link;

	while ((link = g_queue_pop_head_link(queue)))
		claim_free_cb(link->data);
}

void claim_set_destroy(struct claim_set *claims)
{
	if (!claims)
		return;
	timer_cancel(&claims->flush_timer);
	timer_cancel(&claims->cleanup_timer);
	while (claims->batches.head) {
		struct claim_batch *batch = claims->batches.head->data;

		g_ptr_array_set_free_func(batch->items, claim_free_cb);
		claim_batch_free(batch);
	}
	queue_free(&claims->queued);
	queue_free(&claims->to_delete);
	queue_free(&claims->unverified_claims);
	g_hash_table_unref(claims->pending);
	g_free(claims);
}

/*
 * Returns whether the transaction may have been applied. After the errors named
 * here the platform did not receive it or rejected it.
 */
static bool claim_may_exist(enum err_kind err)
{
	return err != ERR_NONE && err != ERR_CONFLICT && err != ERR_CONNECT &&
	       err != ERR_RATE_LIMITED && err != ERR_NOT_FOUND;
}

/*
 * Reports the result of an acquisition. Without an error the claim stays with
 * its caller, else it is freed or left to the cleanup.
 */
static void claim_complete(struct claim *claim, enum err_kind err)
{
	bool unknown = claim->submitted && claim_may_exist(err);

	g_hash_table_remove(claim->claims->pending, claim->key);
	claim->submitted = false;
	if (err == ERR_NONE)
		claim->claims->acquired_count++;
	claim->acquired = err == ERR_NONE;
	if (!claim->release_requested)
		claim->cb(claim->data, err);
	else if (claim->acquired)
		claim_cleanup_delete(claim);
	if (err == ERR_NONE)
		return;
	if (unknown)
		claim_cleanup_verify(claim);
	else
		claim_free(claim);
}

static void queued_claims_fail(struct claim_set *claims, enum err_kind err)
{
	GList *link;

	while ((link = g_queue_pop_head_link(&claims->queued)))
		claim_complete(link->data, err);
}

static const struct platform_kv *kv_find(const struct platform_result *result,
					 const char *key)
{
	for (size_t i = 0; i < result->kv_count; i++) {
		if (strcmp(result->kvs[i].key, key) == 0)
			return &result->kvs[i];
	}
	return NULL;
}

/*
 * A transaction fails as a whole if one of its keys exists: claims on existing
 * keys end with a conflict, the others are queued again.
 */
static void batch_split_conflicts(const struct claim_batch *batch,
				  const struct platform_result *result)
{
	for (guint i = batch->items->len; i-- > 0;) {
		struct claim *claim = g_ptr_array_index(batch->items, i);

		if (result->kv_count == 0) {
			claim_complete(claim, ERR_UNAVAILABLE);
		} else if (kv_find(result, claim->key)) {
			claim_complete(claim, ERR_CONFLICT);
		} else if (claim->release_requested) {
			claim->submitted = false;
			claim_complete(claim, ERR_CONFLICT);
		} else {
			claim->submitted = false;
			g_queue_push_head_link(&claim->claims->queued,
					       &claim->link);
		}
	}
}

static void on_batch_done(void *data, enum err_kind err,
			  const struct platform_result *result)
{
	struct claim_batch *batch = data;
	struct claim_set *claims = batch->claims;

	if (err == ERR_NONE && !result->succeeded) {
		batch_split_conflicts(batch, result);
	} else {
		for (guint i = 0; i < batch->items->len; i++) {
			struct claim *claim =
				g_ptr_array_index(batch->items, i);

			if (err == ERR_NONE)
				claim->create_revision = result->revision;
			claim_complete(claim, err);
		}
	}
	if (err == ERR_NOT_FOUND)
		claims->lease_usable_until_ms = 0;
	if (err != ERR_NONE)
		counter_inc(claims->config.counters, COUNTER_PLATFORM_ERRORS);
	claim_batch_free(batch);
	queue_flush(claims);
}

static void batch_send(struct claim_set *claims)
{
	struct platform_compare compares[CLAIM_BATCH_MAX];
	struct platform_write writes[CLAIM_BATCH_MAX];
	struct platform_txn txn = { compares, 0, writes, 0 };
	struct claim_batch *batch = claim_batch_create(claims);
	GList *link;

	while (txn.write_count < CLAIM_BATCH_MAX &&
	       (link = g_queue_pop_head_link(&claims->queued))) {
		struct claim *claim = link->data;

		claim->submitted = true;
		g_ptr_array_add(batch->items, claim);
		compares[txn.compare_count++] = (struct platform_compare){
			claim->key, PLATFORM_TARGET_CREATE_REVISION, 0
		};
		writes[txn.write_count++] =
			(struct platform_write){ claim->key, claim->value,
						 claims->lease };
	}
	claims->transaction_count++;
	platform_txn(claims->config.platform, &txn, on_batch_done, batch);
}

static void on_lease_granted(void *data, enum err_kind err, int64_t lease,
			     uint32_t ttl_s)
{
	struct claim_set *claims = data;

	claims->lease_requested = false;
	if (err == ERR_NONE && ttl_s < claims->config.ttl_s)
		err = ERR_UNAVAILABLE;
	if (err != ERR_NONE) {
		counter_inc(claims->config.counters, COUNTER_PLATFORM_ERRORS);
		queued_claims_fail(claims, err);
		return;
	}
	claims->lease = lease;
	/*
	 * The window starts with the answer, which is later than the grant of
	 * the lease. This is safe: the platform enforces the time-to-live, and
	 * the window only limits how often a lease is granted.
	 */
	claims->lease_usable_until_ms =
		loop_now_ms() + (ttl_s - claims->config.ttl_s) * 1000ull;
	queue_flush(claims);
}

static uint32_t lease_ttl_s(const struct claim_config *config)
{
	return config->ttl_s +
	       CLAMP(config->ttl_s / 2, 1, CLAIM_LEASE_WINDOW_MAX_S);
}

/*
 * Returns whether the lease accepts new claims; requests another lease if not.
 */
static bool lease_ensure_usable(struct claim_set *claims)
{
	if (loop_now_ms() < claims->lease_usable_until_ms)
		return true;
	if (!claims->lease_requested) {
		claims->lease_requested = true;
		platform_lease_grant(claims->config.platform,
				     lease_ttl_s(&claims->config),
				     on_lease_granted, claims);
	}
	return false;
}

/*
 * Admits one transaction under this process's share of the rate limit, or sets
 * the timer for the next try.
 */
static bool rate_limit_acquire(struct claim_set *claims)
{
	uint32_t processes =
		claims->config.live_process_count(claims->config.data);
	uint64_t interval_ms = processes * 1000ull / CLAIM_TRANSACTIONS_PER_S;
	uint64_t now_ms = loop_now_ms();

	if (now_ms + interval_ms * (CLAIM_BURST_TRANSACTIONS - 1) <
	    claims->next_transaction_ms) {
		loop_timer_set(claims->config.loop, &claims->flush_timer,
			       interval_ms);
		return false;
	}
	claims->next_transaction_ms =
		MAX(claims->next_transaction_ms, now_ms) + interval_ms;
	return true;
}

static void queue_flush(void *data)
{
	struct claim_set *claims = data;

	while (claims->queued.length > 0 &&
	       claims->batches.length < CLAIM_IN_FLIGHT_MAX &&
	       lease_ensure_usable(claims) && rate_limit_acquire(claims))
		batch_send(claims);
}

static char *key_build(const char *route, const char *key)
{
	g_autofree char *text = g_strconcat(route, "\n", key, NULL);
	g_autofree char *digest =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);

	return g_strconcat(PLATFORM_PREFIX_CLAIM, digest, NULL);
}

static char *value_build(const struct claim_config *config,
			 const char *request_id)
{
	json_t *root = json_pack("{s:s, s:I, s:s}", "process", config->id,
				 "incarnation", (json_int_t)config->incarnation,
				 "request", request_id);
	char *text = json_dumps(root, JSON_COMPACT);
	char *copy = g_strdup(text);

	free(text);
	json_decref(root);
	return copy;
}

struct claim *claim_acquire(struct claim_set *claims, const char *route,
			    const char *key, const char *request_id,
			    claim_cb cb, void *data)
{
	struct claim *claim;
	g_autofree char *full = key_build(route, key);

	if (g_hash_table_contains(claims->pending, full))
		return NULL;
	claim = g_new0(struct claim, 1);
	claim->claims = claims;
	claim->key = g_steal_pointer(&full);
	claim->value = value_build(&claims->config, request_id);
	claim->cb = cb;
	claim->data = data;
	claim->link.data = claim;
	g_hash_table_insert(claims->pending, claim->key, claim);
	g_queue_push_tail_link(&claims->queued, &claim->link);
	/*
	 * Deferred to the event loop, so that claims of one iteration share a
	 * transaction.
	 */
	if (!timer_is_set(&claims->flush_timer))
		loop_timer_set(claims->config.loop, &claims->flush_timer, 0);
	return claim;
}

void claim_keep(struct claim *claim)
{
	g_assert(claim->acquired);
	claim_free(claim);
}

void claim_release(struct claim *claim)
{
	if (!claim)
		return;
	if (claim->acquired) {
		claim_cleanup_delete(claim);
		return;
	}
	if (claim->submitted) {
		claim->release_requested = true;
		return;
	}
	g_queue_unlink(&claim->claims->queued, &claim->link);
	g_hash_table_remove(claim->claims->pending, claim->key);
	claim_free(claim);
}

void claim_set_counts(const struct claim_set *claims, uint64_t *acquired,
		      uint64_t *transactions)
{
	*acquired = claims->acquired_count;
	*transactions = claims->transaction_count;
}
