#include "catalogue.h"

#include <string.h>

static void queue_clear(gpointer data)
{
	struct catalogue_queue *queue = data;

	g_free(queue->name);
	g_free(queue->host);
	g_free(queue->prefix);
	g_free(queue->service);
}

struct catalogue_queue *
catalogue_queue_copy(const struct catalogue_queue *queue)
{
	struct catalogue_queue *copy = g_memdup2(queue, sizeof(*queue));

	copy->name = g_strdup(queue->name);
	copy->host = g_strdup(queue->host);
	copy->prefix = g_strdup(queue->prefix);
	copy->service = g_strdup(queue->service);
	return copy;
}

bool catalogue_queue_runs_same(const struct catalogue_queue *a,
			       const struct catalogue_queue *b)
{
	return strcmp(a->service, b->service) == 0 &&
	       a->priority == b->priority && a->attempts == b->attempts &&
	       a->stretch_permille == b->stretch_permille &&
	       a->slo_ms == b->slo_ms && a->needs_advice == b->needs_advice &&
	       a->ticket_ms == b->ticket_ms;
}

void catalogue_queue_free(struct catalogue_queue *queue)
{
	if (!queue)
		return;
	queue_clear(queue);
	g_free(queue);
}

static void service_clear(gpointer data)
{
	struct catalogue_service *service = data;

	g_free(service->name);
}

static void account_clear(gpointer data)
{
	struct catalogue_account *account = data;

	g_free(account->name);
}

struct catalogue *catalogue_create(uint64_t version)
{
	struct catalogue *catalogue = g_rc_box_new0(struct catalogue);

	catalogue->version = version;
	catalogue->queues =
		g_array_new(FALSE, TRUE, sizeof(struct catalogue_queue));
	g_array_set_clear_func(catalogue->queues, queue_clear);
	catalogue->services =
		g_array_new(FALSE, TRUE, sizeof(struct catalogue_service));
	g_array_set_clear_func(catalogue->services, service_clear);
	catalogue->accounts =
		g_array_new(FALSE, TRUE, sizeof(struct catalogue_account));
	g_array_set_clear_func(catalogue->accounts, account_clear);
	catalogue->keys = account_keys_create();
	catalogue->queue_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	catalogue->account_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	return catalogue;
}

struct catalogue *catalogue_ref(struct catalogue *catalogue)
{
	return g_rc_box_acquire(catalogue);
}

static void catalogue_clear(gpointer data)
{
	struct catalogue *catalogue = data;

	g_hash_table_unref(catalogue->queue_by_name);
	g_hash_table_unref(catalogue->account_by_name);
	account_keys_destroy(catalogue->keys);
	g_array_unref(catalogue->accounts);
	g_array_unref(catalogue->queues);
	g_array_unref(catalogue->services);
}

void catalogue_unref(struct catalogue *catalogue)
{
	if (catalogue)
		g_rc_box_release_full(catalogue, catalogue_clear);
}

void catalogue_index(struct catalogue *catalogue)
{
	for (guint i = 0; i < catalogue->queues->len; i++) {
		struct catalogue_queue *queue = &g_array_index(
			catalogue->queues, struct catalogue_queue, i);

		g_hash_table_insert(catalogue->queue_by_name, queue->name,
				    queue);
	}
	for (guint i = 0; i < catalogue->accounts->len; i++) {
		struct catalogue_account *account = &g_array_index(
			catalogue->accounts, struct catalogue_account, i);

		g_hash_table_insert(catalogue->account_by_name, account->name,
				    account);
	}
	account_keys_seal(catalogue->keys);
}

const struct catalogue_queue *
catalogue_queue_find(const struct catalogue *catalogue, const char *name)
{
	return g_hash_table_lookup(catalogue->queue_by_name, name);
}

const struct catalogue_queue *
catalogue_queue_route(const struct catalogue *catalogue, const char *host,
		      const char *path)
{
	const struct catalogue_queue *best = NULL;
	size_t best_len = 0;

	for (guint i = 0; i < catalogue->queues->len; i++) {
		const struct catalogue_queue *queue = &g_array_index(
			catalogue->queues, struct catalogue_queue, i);
		size_t len = strlen(queue->prefix);

		if ((best && len <= best_len) ||
		    strncmp(path, queue->prefix, len) != 0 ||
		    g_ascii_strcasecmp(queue->host, host) != 0)
			continue;
		best = queue;
		best_len = len;
	}
	return best;
}

const struct catalogue_service *
catalogue_service_find(const struct catalogue *catalogue, const char *name)
{
	for (guint i = 0; i < catalogue->services->len; i++) {
		const struct catalogue_service *service = &g_array_index(
			catalogue->services, struct catalogue_service, i);

		if (strcmp(service->name, name) == 0)
			return service;
	}
	return NULL;
}

const struct catalogue_account *
catalogue_account_find(const struct catalogue *catalogue, const char *name)
{
	return g_hash_table_lookup(catalogue->account_by_name, name);
}

const struct catalogue_account *
catalogue_account_by_key(const struct catalogue *catalogue, const char *key)
{
	int32_t index = account_keys_find(catalogue->keys, key);

	return index < 0 ? NULL
			 : &g_array_index(catalogue->accounts,
					  struct catalogue_account, index);
}

bool catalogue_names_service(const struct catalogue *catalogue,
			     const char *name)
{
	for (guint i = 0; i < catalogue->queues->len; i++) {
		const struct catalogue_queue *queue = &g_array_index(
			catalogue->queues, struct catalogue_queue, i);

		if (strcmp(queue->service, name) == 0)
			return true;
	}
	return catalogue_service_find(catalogue, name) != NULL;
}
