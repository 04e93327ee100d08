#include "timer.h"

struct timer_queue {
	GSequence *timers;
};

struct timer_queue *timer_queue_create(void)
{
	struct timer_queue *queue = g_new0(struct timer_queue, 1);

	queue->timers = g_sequence_new(NULL);
	return queue;
}

static void timer_unlink(gpointer data, gpointer unused)
{
	struct timer *timer = data;

	timer->link = NULL;
}

void timer_queue_destroy(struct timer_queue *queue)
{
	if (!queue)
		return;
	g_sequence_foreach(queue->timers, timer_unlink, NULL);
	g_sequence_free(queue->timers);
	g_free(queue);
}

static gint timer_compare(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct timer *left = a;
	const struct timer *right = b;

	if (left->due_ms == right->due_ms)
		return 0;
	return left->due_ms < right->due_ms ? -1 : 1;
}

void timer_set(struct timer_queue *queue, struct timer *timer, uint64_t due_ms)
{
	timer_cancel(timer);
	timer->due_ms = due_ms;
	timer->link = g_sequence_insert_sorted(queue->timers, timer,
					       timer_compare, NULL);
}

void timer_cancel(struct timer *timer)
{
	if (!timer->link)
		return;
	g_sequence_remove(timer->link);
	timer->link = NULL;
}

bool timer_is_set(const struct timer *timer)
{
	return timer->link != NULL;
}

void timer_queue_run(struct timer_queue *queue, uint64_t now_ms)
{
	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(queue->timers);
		struct timer *timer;

		if (g_sequence_iter_is_end(first))
			return;
		timer = g_sequence_get(first);
		if (timer->due_ms > now_ms)
			return;
		timer_cancel(timer);
		timer->cb(timer->data);
	}
}

uint32_t timer_queue_wait_ms(const struct timer_queue *queue, uint64_t now_ms,
			     uint32_t max_ms)
{
	GSequenceIter *first = g_sequence_get_begin_iter(queue->timers);
	const struct timer *timer;

	if (g_sequence_iter_is_end(first))
		return max_ms;
	timer = g_sequence_get(first);
	if (timer->due_ms <= now_ms)
		return 0;
	return (uint32_t)MIN(timer->due_ms - now_ms, (uint64_t)max_ms);
}
