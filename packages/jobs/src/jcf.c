#include "jcf.h"

#include <string.h>

static void queue_clear(gpointer data)
{
	struct jcf_queue *queue = data;

	g_free(queue->name);
	g_free(queue->host);
	g_free(queue->prefix);
	g_free(queue->service);
}

static void service_clear(gpointer data)
{
	struct jcf_service *service = data;

	g_free(service->name);
}

struct jcf_catalogue *jcf_catalogue_create(uint64_t version)
{
	struct jcf_catalogue *catalogue = g_rc_box_new0(struct jcf_catalogue);

	catalogue->version = version;
	catalogue->queues = g_array_new(FALSE, TRUE, sizeof(struct jcf_queue));
	g_array_set_clear_func(catalogue->queues, queue_clear);
	catalogue->services =
		g_array_new(FALSE, TRUE, sizeof(struct jcf_service));
	g_array_set_clear_func(catalogue->services, service_clear);
	catalogue->queue_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	return catalogue;
}

struct jcf_catalogue *jcf_catalogue_ref(struct jcf_catalogue *catalogue)
{
	return g_rc_box_acquire(catalogue);
}

static void catalogue_clear(gpointer data)
{
	struct jcf_catalogue *catalogue = data;

	g_hash_table_unref(catalogue->queue_by_name);
	g_array_unref(catalogue->queues);
	g_array_unref(catalogue->services);
}

void jcf_catalogue_unref(struct jcf_catalogue *catalogue)
{
	if (catalogue)
		g_rc_box_release_full(catalogue, catalogue_clear);
}

void jcf_catalogue_index(struct jcf_catalogue *catalogue)
{
	for (guint i = 0; i < catalogue->queues->len; i++) {
		struct jcf_queue *queue =
			&g_array_index(catalogue->queues, struct jcf_queue, i);

		g_hash_table_insert(catalogue->queue_by_name, queue->name,
				    queue);
	}
}

const struct jcf_queue *jcf_queue_find(const struct jcf_catalogue *catalogue,
				       const char *name)
{
	return g_hash_table_lookup(catalogue->queue_by_name, name);
}

const struct jcf_queue *jcf_queue_route(const struct jcf_catalogue *catalogue,
					const char *host, const char *path)
{
	const struct jcf_queue *best = NULL;
	size_t best_len = 0;

	for (guint i = 0; i < catalogue->queues->len; i++) {
		const struct jcf_queue *queue =
			&g_array_index(catalogue->queues, struct jcf_queue, i);
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

const struct jcf_service *
jcf_service_find(const struct jcf_catalogue *catalogue, const char *name)
{
	for (guint i = 0; i < catalogue->services->len; i++) {
		const struct jcf_service *service = &g_array_index(
			catalogue->services, struct jcf_service, i);

		if (strcmp(service->name, name) == 0)
			return service;
	}
	return NULL;
}
