#include "adm.h"

/* Weight of a new sample in the mean service time is one in this many. */
#define ADM_MEAN_SAMPLES 64
/* Share of the estimated wait that is certain: requests in line may leave or
 * end sooner than others did. A refusal on arrival is final, while a request
 * that waits is refused at its turn if it is late by then. */
#define ADM_CERTAIN_PERCENT 40
/* Share of the estimated wait that callers are told. */
#define ADM_LIKELY_PERCENT 75
/* Share of the mean service time that must be left at the start. */
#define ADM_RESERVE_PERCENT 150
#define ADM_RETRY_AFTER_MAX_S 60

struct adm_queue {
	struct adm_limits limits;
	struct edq_queue items;
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
	edq_init(&queue->items);
	return queue;
}

void adm_queue_destroy(struct adm_queue *queue)
{
	if (!queue)
		return;
	g_assert(queue->items.length == 0 && queue->held == 0);
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

static uint64_t wait_behind_ms(const struct adm_queue *queue, uint32_t ahead,
			       uint32_t slots)
{
	return ahead * queue->mean_service_us / slots / 1000;
}

bool adm_queue_is_late(const struct adm_queue *queue,
		       const struct adm_item *item, uint64_t now_ms)
{
	uint64_t needed_ms =
		queue->mean_service_us * ADM_RESERVE_PERCENT / 100 / 1000;

	if (queue->items.length == 0)
		needed_ms = 0;
	return now_ms + needed_ms >= item->deadline_ms;
}

/* Requests that get a slot before a new one, counted with itself: when anyone
 * waits, all slots are in use. */
static uint32_t turns_before(const struct adm_queue *queue,
			     const struct adm_item *item)
{
	uint32_t ahead =
		edq_ahead(&queue->items, item->deadline_ms) + queue->held;

	return queue->items.length > 0 ? ahead + 1 : ahead;
}

static enum out_kind admission_check(const struct adm_queue *queue,
				     const struct adm_item *item,
				     uint32_t slots, uint64_t now_ms)
{
	enum out_kind refusal = bounds_check(queue, item);
	uint64_t wait_ms;

	if (slots == 0)
		return OUT_NO_VM;
	if (refusal != OUT_ANSWERED)
		return refusal;
	wait_ms = wait_behind_ms(queue, turns_before(queue, item), slots);
	wait_ms = wait_ms * ADM_CERTAIN_PERCENT / 100;
	if (wait_ms > queue->limits.max_wait_ms ||
	    now_ms + wait_ms >= item->deadline_ms)
		return OUT_WOULD_EXPIRE;
	return OUT_ANSWERED;
}

static void item_count(struct adm_queue *queue, struct adm_item *item)
{
	g_assert(!item->queued && !item->held);
	item->place.link.data = item;
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
	edq_push(&queue->items, &item->place, item->deadline_ms, now_ms);
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
	edq_push_first(&queue->items, &item->place);
	return OUT_ANSWERED;
}

static void item_forget(struct adm_queue *queue, struct adm_item *item)
{
	item->queued = false;
	queue->bytes -= item->bytes;
}

struct adm_item *adm_queue_peek(const struct adm_queue *queue)
{
	const struct edq_item *place = edq_first(&queue->items);

	return place ? place->link.data : NULL;
}

struct adm_item *adm_queue_next(const struct adm_queue *queue,
				const struct adm_item *item)
{
	const struct edq_item *place = edq_next(&queue->items, &item->place);

	return place ? place->link.data : NULL;
}

struct adm_item *adm_queue_pop(struct adm_queue *queue)
{
	struct edq_item *place = edq_first(&queue->items);
	struct adm_item *item;

	if (!place)
		return NULL;
	item = place->link.data;
	edq_remove(&queue->items, place);
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
		edq_remove(&queue->items, &item->place);
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
	return wait_behind_ms(queue, queue->items.length + queue->held, slots) *
	       ADM_LIKELY_PERCENT / 100;
}

uint32_t adm_queue_retry_after_s(const struct adm_queue *queue, uint32_t slots)
{
	uint64_t wait_s = (adm_queue_wait_ms(queue, slots) + 999) / 1000;

	return (uint32_t)CLAMP(wait_s, 1, ADM_RETRY_AFTER_MAX_S);
}
