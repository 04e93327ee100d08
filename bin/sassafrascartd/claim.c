#include "claim.h"

#include <jansson.h>
#include <string.h>

#include "claim_private.h"

/* Transactions a second that all processes together use for claims. */
#define CLAIM_CALLS_PER_S 200
#define CLAIM_BURST_CALLS 4
/* How long a lease takes new claims at most, beyond the life of a claim. */
#define CLAIM_LEASE_WINDOW_MAX_S 60

static void flush(void *data);

void claim_free(struct claim *claim)
{
	g_free(claim->key);
	g_free(claim->value);
	g_free(claim);
}

static void claim_free_item(gpointer data)
{
	claim_free(data);
}

struct claim_set *claim_set_create(const struct claim_config *config)
{
	struct claim_set *claims = g_new0(struct claim_set, 1);

	claims->config = *config;
	claims->pending = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&claims->waiting);
	g_queue_init(&claims->releasing);
	g_queue_init(&claims->doubts);
	g_queue_init(&claims->batches);
	claims->flush_timer.cb = flush;
	claims->flush_timer.data = claims;
	claims->clean_timer.cb = claim_cleanup_run;
	claims->clean_timer.data = claims;
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
		claim_free_item(link->data);
}

void claim_set_destroy(struct claim_set *claims)
{
	if (!claims)
		return;
	timer_cancel(&claims->flush_timer);
	timer_cancel(&claims->clean_timer);
	while (claims->batches.head) {
		struct claim_batch *batch = claims->batches.head->data;

		g_ptr_array_set_free_func(batch->items, claim_free_item);
		claim_batch_free(batch);
	}
	queue_free(&claims->waiting);
	queue_free(&claims->releasing);
	queue_free(&claims->doubts);
	g_hash_table_unref(claims->pending);
	g_free(claims);
}

/* After these errors the platform has not seen, or has refused, the claim. */
static bool may_exist(enum err_kind err)
{
	return err != ERR_NONE && err != ERR_CONFLICT && err != ERR_CONNECT &&
	       err != ERR_RATE_LIMITED && err != ERR_NOT_FOUND;
}

/* Ends the taking of a claim; only a held one lives on with its owner. */
static void claim_end(struct claim *claim, enum err_kind err)
{
	bool unknown = claim->asked && may_exist(err);

	g_hash_table_remove(claim->claims->pending, claim->key);
	claim->asked = false;
	if (err == ERR_NONE)
		claim->claims->taken++;
	claim->held = err == ERR_NONE;
	if (!claim->released)
		claim->cb(claim->data, err);
	else if (claim->held)
		claim_cleanup_delete(claim);
	if (err == ERR_NONE)
		return;
	if (unknown)
		claim_cleanup_verify(claim);
	else
		claim_free(claim);
}

static void waiting_fail(struct claim_set *claims, enum err_kind err)
{
	GList *link;

	while ((link = g_queue_pop_head_link(&claims->waiting)))
		claim_end(link->data, err);
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

/* One existing key fails the whole transaction: the others ask again. */
static void batch_split(const struct claim_batch *batch,
			const struct platform_result *result)
{
	for (guint i = batch->items->len; i-- > 0;) {
		struct claim *claim = g_ptr_array_index(batch->items, i);

		if (result->kv_count == 0) {
			claim_end(claim, ERR_UNAVAILABLE);
		} else if (kv_find(result, claim->key)) {
			claim_end(claim, ERR_CONFLICT);
		} else if (claim->released) {
			claim->asked = false;
			claim_end(claim, ERR_CONFLICT);
		} else {
			claim->asked = false;
			g_queue_push_head_link(&claim->claims->waiting,
					       &claim->link);
		}
	}
}

static void on_asked(void *data, enum err_kind err,
		     const struct platform_result *result)
{
	struct claim_batch *batch = data;
	struct claim_set *claims = batch->claims;

	if (err == ERR_NONE && !result->succeeded) {
		batch_split(batch, result);
	} else {
		for (guint i = 0; i < batch->items->len; i++) {
			struct claim *claim =
				g_ptr_array_index(batch->items, i);

			if (err == ERR_NONE)
				claim->create_revision = result->revision;
			claim_end(claim, err);
		}
	}
	if (err == ERR_NOT_FOUND)
		claims->lease_until_ms = 0;
	if (err != ERR_NONE)
		counter_inc(claims->config.counters, COUNTER_PLATFORM_ERRORS);
	claim_batch_free(batch);
	flush(claims);
}

static void batch_send(struct claim_set *claims)
{
	struct platform_compare compares[CLAIM_BATCH_MAX];
	struct platform_write writes[CLAIM_BATCH_MAX];
	struct platform_txn txn = { compares, 0, writes, 0 };
	struct claim_batch *batch = claim_batch_create(claims);
	GList *link;

	while (txn.write_count < CLAIM_BATCH_MAX &&
	       (link = g_queue_pop_head_link(&claims->waiting))) {
		struct claim *claim = link->data;

		claim->asked = true;
		g_ptr_array_add(batch->items, claim);
		compares[txn.compare_count++] = (struct platform_compare){
			claim->key, PLATFORM_TARGET_CREATE_REVISION, 0
		};
		writes[txn.write_count++] =
			(struct platform_write){ claim->key, claim->value,
						 claims->lease };
	}
	claims->transactions++;
	platform_txn(claims->config.platform, &txn, on_asked, batch);
}

static void on_granted(void *data, enum err_kind err, int64_t lease,
		       uint32_t ttl_s)
{
	struct claim_set *claims = data;

	claims->granting = false;
	if (err == ERR_NONE && ttl_s < claims->config.life_s)
		err = ERR_UNAVAILABLE;
	if (err != ERR_NONE) {
		counter_inc(claims->config.counters, COUNTER_PLATFORM_ERRORS);
		waiting_fail(claims, err);
		return;
	}
	claims->lease = lease;
	/* Counted from the answer: the window only saves grants. */
	claims->lease_until_ms =
		loop_now_ms() + (ttl_s - claims->config.life_s) * 1000ull;
	flush(claims);
}

static uint32_t lease_ttl_s(const struct claim_config *config)
{
	return config->life_s +
	       CLAMP(config->life_s / 2, 1, CLAIM_LEASE_WINDOW_MAX_S);
}

static bool lease_is_ready(struct claim_set *claims)
{
	if (loop_now_ms() < claims->lease_until_ms)
		return true;
	if (!claims->granting) {
		claims->granting = true;
		platform_lease_grant(claims->config.platform,
				     lease_ttl_s(&claims->config), on_granted,
				     claims);
	}
	return false;
}

/* Takes one transaction of this process's share of the call rate. */
static bool rate_take(struct claim_set *claims)
{
	uint32_t processes = claims->config.processes(claims->config.data);
	uint64_t interval_ms = processes * 1000ull / CLAIM_CALLS_PER_S;
	uint64_t now_ms = loop_now_ms();

	if (now_ms + interval_ms * (CLAIM_BURST_CALLS - 1) < claims->next_ms) {
		loop_timer_set(claims->config.loop, &claims->flush_timer,
			       interval_ms);
		return false;
	}
	claims->next_ms = MAX(claims->next_ms, now_ms) + interval_ms;
	return true;
}

static void flush(void *data)
{
	struct claim_set *claims = data;

	while (claims->waiting.length > 0 &&
	       claims->batches.length < CLAIM_IN_FLIGHT_MAX &&
	       lease_is_ready(claims) && rate_take(claims))
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
	g_queue_push_tail_link(&claims->waiting, &claim->link);
	/* From the loop, so that claims of one turn share a transaction. */
	if (!timer_is_set(&claims->flush_timer))
		loop_timer_set(claims->config.loop, &claims->flush_timer, 0);
	return claim;
}

void claim_keep(struct claim *claim)
{
	g_assert(claim->held);
	claim_free(claim);
}

void claim_release(struct claim *claim)
{
	if (!claim)
		return;
	if (claim->held) {
		claim_cleanup_delete(claim);
		return;
	}
	if (claim->asked) {
		claim->released = true;
		return;
	}
	g_queue_unlink(&claim->claims->waiting, &claim->link);
	g_hash_table_remove(claim->claims->pending, claim->key);
	claim_free(claim);
}

void claim_set_counts(const struct claim_set *claims, uint64_t *taken,
		      uint64_t *transactions)
{
	*taken = claims->taken;
	*transactions = claims->transactions;
}
