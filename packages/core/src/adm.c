#include "adm.h"

/* Weight of a new sample in the mean service time is one in this many. */
#define ADM_MEAN_SAMPLES 16
#define ADM_RETRY_AFTER_MAX_S 60

struct adm_queue {
	struct adm_limits limits;
	GQueue items;
	/* requests that count but are not in line */
	uint32_t held;
	/* of requests in line and held */
	uint64_t bytes;
	/* mean time a request holds a slot; 0 until the first sample */
	uint64_t mean_service_us;
};

struct adm_queue *adm_queue_create(const struct adm_limits *limits)
{
	struct adm_queue *queue = g_new0(struct adm_queue, 1);

	queue->limits = *limits;
	g_queue_init(&queue->items);
	return queue;
}

void adm_queue_destroy(struct adm_queue *queue)
{
	if (!queue)
		return;
	g_assert(g_queue_is_empty(&queue->items) && queue->held == 0);
	g_free(queue);
}

void adm_queue_limit(struct adm_queue *queue, const struct adm_limits *limits)
{
	queue->limits = *limits;
}

static enum out_kind bounds_check(const struct adm_queue *queue,
				  const struct adm_item *item)
{
	if (queue->items.length + queue->held >= queue->limits.max_requests)
		return OUT_QUEUE_FULL;
	if (queue->bytes + item->bytes > queue->limits.max_bytes)
		return OUT_QUEUE_BYTES;
	return OUT_ANSWERED;
}

static enum out_kind admission_check(const struct adm_queue *queue,
				     const struct adm_item *item,
				     uint32_t slots, uint64_t now_ms)
{
	enum out_kind refusal = bounds_check(queue, item);
	uint64_t wait_ms = adm_queue_wait_ms(queue, slots);

	if (slots == 0)
		return OUT_NO_VM;
	if (refusal != OUT_ANSWERED)
		return refusal;
	if (wait_ms > queue->limits.max_wait_ms ||
	    now_ms + wait_ms >= item->deadline_ms)
		return OUT_WOULD_EXPIRE;
	return OUT_ANSWERED;
}

static void item_count(struct adm_queue *queue, struct adm_item *item)
{
	g_assert(!item->queued && !item->held);
	item->link.data = item;
	queue->bytes += item->bytes;
}

enum out_kind adm_queue_hold(struct adm_queue *queue, struct adm_item *item,
			     uint32_t slots, uint64_t now_ms)
{
	enum out_kind refusal = admission_check(queue, item, slots, now_ms);

	if (refusal != OUT_ANSWERED)
		return refusal;
	item_count(queue, item);
	item->held = true;
	queue->held++;
	return OUT_ANSWERED;
}

void adm_queue_enter(struct adm_queue *queue, struct adm_item *item,
		     uint64_t now_ms)
{
	g_assert(item->held);
	item->held = false;
	queue->held--;
	item->queued = true;
	item->enqueued_ms = now_ms;
	g_queue_push_tail_link(&queue->items, &item->link);
}

enum out_kind adm_queue_push(struct adm_queue *queue, struct adm_item *item,
			     uint32_t slots, uint64_t now_ms)
{
	enum out_kind refusal = adm_queue_hold(queue, item, slots, now_ms);

	if (refusal == OUT_ANSWERED)
		adm_queue_enter(queue, item, now_ms);
	return refusal;
}

enum out_kind adm_queue_return(struct adm_queue *queue, struct adm_item *item)
{
	enum out_kind refusal = bounds_check(queue, item);

	if (refusal != OUT_ANSWERED)
		return refusal;
	item_count(queue, item);
	item->queued = true;
	g_queue_push_head_link(&queue->items, &item->link);
	return OUT_ANSWERED;
}

static void item_forget(struct adm_queue *queue, struct adm_item *item)
{
	item->queued = false;
	queue->bytes -= item->bytes;
}

struct adm_item *adm_queue_peek(const struct adm_queue *queue)
{
	const GList *link = queue->items.head;

	return link ? link->data : NULL;
}

struct adm_item *adm_queue_pop(struct adm_queue *queue)
{
	GList *link = g_queue_pop_head_link(&queue->items);
	struct adm_item *item;

	if (!link)
		return NULL;
	item = link->data;
	item_forget(queue, item);
	return item;
}

void adm_queue_remove(struct adm_queue *queue, struct adm_item *item)
{
	if (!item->queued && !item->held)
		return;
	if (item->held)
		queue->held--;
	else
		g_queue_unlink(&queue->items, &item->link);
	item->held = false;
	item_forget(queue, item);
}

uint32_t adm_queue_length(const struct adm_queue *queue)
{
	return queue->items.length;
}

uint64_t adm_queue_bytes(const struct adm_queue *queue)
{
	return queue->bytes;
}

void adm_queue_served(struct adm_queue *queue, uint64_t service_ms)
{
	uint64_t sample_us = service_ms * 1000;

	if (queue->mean_service_us == 0) {
		queue->mean_service_us = sample_us;
		return;
	}
	queue->mean_service_us =
		(queue->mean_service_us * (ADM_MEAN_SAMPLES - 1) + sample_us) /
		ADM_MEAN_SAMPLES;
}

uint64_t adm_queue_mean_ms(const struct adm_queue *queue)
{
	return queue->mean_service_us / 1000;
}

uint64_t adm_queue_wait_ms(const struct adm_queue *queue, uint32_t slots)
{
	if (slots == 0)
		return queue->limits.max_wait_ms;
	return (uint64_t)(queue->items.length + queue->held) *
	       queue->mean_service_us / slots / 1000;
}

uint32_t adm_queue_retry_after_s(const struct adm_queue *queue, uint32_t slots)
{
	uint64_t wait_s = (adm_queue_wait_ms(queue, slots) + 999) / 1000;

	return (uint32_t)CLAMP(wait_s, 1, ADM_RETRY_AFTER_MAX_S);
}
