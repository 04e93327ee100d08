#include "timer.h"

struct timer_queue {
	GSequence *entries;
};

struct timer_queue *timer_queue_create(void)
{
	struct timer_queue *queue = g_new0(struct timer_queue, 1);

	queue->entries = g_sequence_new(NULL);
	return queue;
}

static void entry_unlink(gpointer data, gpointer unused)
{
	struct timer *entry = data;

	entry->link = NULL;
}

void timer_queue_destroy(struct timer_queue *queue)
{
	if (!queue)
		return;
	g_sequence_foreach(queue->entries, entry_unlink, NULL);
	g_sequence_free(queue->entries);
	g_free(queue);
}

static gint entry_compare(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct timer *left = a;
	const struct timer *right = b;

	if (left->due_ms == right->due_ms)
		return 0;
	return left->due_ms < right->due_ms ? -1 : 1;
}

void timer_set(struct timer_queue *queue, struct timer *entry, uint64_t due_ms)
{
	timer_cancel(entry);
	entry->due_ms = due_ms;
	entry->link = g_sequence_insert_sorted(queue->entries, entry,
					       entry_compare, NULL);
}

void timer_cancel(struct timer *entry)
{
	if (!entry->link)
		return;
	g_sequence_remove(entry->link);
	entry->link = NULL;
}

bool timer_is_set(const struct timer *entry)
{
	return entry->link != NULL;
}

void timer_queue_run(struct timer_queue *queue, uint64_t now_ms)
{
	for (;;) {
		GSequenceIter *first =
			g_sequence_get_begin_iter(queue->entries);
		struct timer *entry;

		if (g_sequence_iter_is_end(first))
			return;
		entry = g_sequence_get(first);
		if (entry->due_ms > now_ms)
			return;
		timer_cancel(entry);
		entry->cb(entry->data);
	}
}

uint32_t timer_queue_wait_ms(const struct timer_queue *queue, uint64_t now_ms,
			     uint32_t max_ms)
{
	GSequenceIter *first = g_sequence_get_begin_iter(queue->entries);
	const struct timer *entry;

	if (g_sequence_iter_is_end(first))
		return max_ms;
	entry = g_sequence_get(first);
	if (entry->due_ms <= now_ms)
		return 0;
	return (uint32_t)MIN(entry->due_ms - now_ms, (uint64_t)max_ms);
}
