#include "admission.h"

/* Weight of a new sample in the mean service time is one in this many. */
#define ADMISSION_MEAN_SAMPLES 64
/* Share of the estimated wait that is certain: requests in line may leave or
 * end sooner than others did. A refusal on arrival is final, while a request
 * that waits is refused at its turn if it is late by then. */
#define ADMISSION_CERTAIN_PERCENT 40
/* Share of the estimated wait that callers are told. */
#define ADMISSION_LIKELY_PERCENT 75
/* Share of the mean service time that must be left at the start. */
#define ADMISSION_RESERVE_PERCENT 150
#define ADMISSION_RETRY_AFTER_MAX_S 60

struct admission_queue {
	struct admission_limits limits;
	struct edf_queue items;
	/* requests that count but are not in line */
	uint32_t held;
	/* of requests in line and held */
	uint64_t bytes;
	/* mean time a request holds a slot; 0 until the first sample */
	uint64_t mean_service_us;
};

struct admission_queue *
admission_queue_create(const struct admission_limits *limits)
{
	struct admission_queue *queue = g_new0(struct admission_queue, 1);

	queue->limits = *limits;
	edf_init(&queue->items);
	return queue;
}

void admission_queue_destroy(struct admission_queue *queue)
{
	if (!queue)
		return;
	g_assert(queue->items.length == 0 && queue->held == 0);
	g_free(queue);
}

void admission_queue_set_limits(struct admission_queue *queue,
				const struct admission_limits *limits)
{
	queue->limits = *limits;
}

static enum outcome bounds_check(const struct admission_queue *queue,
				 const struct admission_item *item)
{
	if (queue->items.length + queue->held >= queue->limits.max_requests)
		return OUTCOME_QUEUE_FULL;
	if (queue->bytes + item->bytes > queue->limits.max_bytes)
		return OUTCOME_QUEUE_BYTES;
	return OUTCOME_ANSWERED;
}

static uint64_t wait_behind_ms(const struct admission_queue *queue,
			       uint32_t ahead, uint32_t slots)
{
	return ahead * queue->mean_service_us / slots / 1000;
}

bool admission_queue_is_late(const struct admission_queue *queue,
			     const struct admission_item *item, uint64_t now_ms)
{
	uint64_t needed_ms =
		queue->mean_service_us * ADMISSION_RESERVE_PERCENT / 100 / 1000;

	if (queue->items.length == 0)
		needed_ms = 0;
	return now_ms + needed_ms >= item->deadline_ms;
}

/* Requests that get a slot before a new one, counted with itself: when anyone
 * waits, all slots are in use. */
static uint32_t turns_before(const struct admission_queue *queue,
			     const struct admission_item *item)
{
	uint32_t ahead =
		edf_count_ahead(&queue->items, item->deadline_ms) + queue->held;

	return queue->items.length > 0 ? ahead + 1 : ahead;
}

static enum outcome admission_check(const struct admission_queue *queue,
				    const struct admission_item *item,
				    uint32_t slots, uint64_t now_ms)
{
	enum outcome refusal = bounds_check(queue, item);
	uint64_t wait_ms;

	if (slots == 0)
		return OUTCOME_NO_VM;
	if (refusal != OUTCOME_ANSWERED)
		return refusal;
	wait_ms = wait_behind_ms(queue, turns_before(queue, item), slots);
	wait_ms = wait_ms * ADMISSION_CERTAIN_PERCENT / 100;
	if (wait_ms > queue->limits.max_wait_ms ||
	    now_ms + wait_ms >= item->deadline_ms)
		return OUTCOME_WOULD_EXPIRE;
	return OUTCOME_ANSWERED;
}

static void item_count(struct admission_queue *queue,
		       struct admission_item *item)
{
	g_assert(!item->queued && !item->reserved);
	item->edf.link.data = item;
	queue->bytes += item->bytes;
}

enum outcome admission_queue_reserve(struct admission_queue *queue,
				     struct admission_item *item,
				     uint32_t slots, uint64_t now_ms)
{
	enum outcome refusal = admission_check(queue, item, slots, now_ms);

	if (refusal != OUTCOME_ANSWERED)
		return refusal;
	item_count(queue, item);
	item->reserved = true;
	queue->held++;
	return OUTCOME_ANSWERED;
}

void admission_queue_enqueue(struct admission_queue *queue,
			     struct admission_item *item, uint64_t now_ms)
{
	g_assert(item->reserved);
	item->reserved = false;
	queue->held--;
	item->queued = true;
	item->enqueued_ms = now_ms;
	edf_push(&queue->items, &item->edf, item->deadline_ms, now_ms);
}

enum outcome admission_queue_push(struct admission_queue *queue,
				  struct admission_item *item, uint32_t slots,
				  uint64_t now_ms)
{
	enum outcome refusal =
		admission_queue_reserve(queue, item, slots, now_ms);

	if (refusal == OUTCOME_ANSWERED)
		admission_queue_enqueue(queue, item, now_ms);
	return refusal;
}

enum outcome admission_queue_requeue(struct admission_queue *queue,
				     struct admission_item *item)
{
	enum outcome refusal = bounds_check(queue, item);

	if (refusal != OUTCOME_ANSWERED)
		return refusal;
	item_count(queue, item);
	item->queued = true;
	edf_push_first(&queue->items, &item->edf);
	return OUTCOME_ANSWERED;
}

static void item_forget(struct admission_queue *queue,
			struct admission_item *item)
{
	item->queued = false;
	queue->bytes -= item->bytes;
}

struct admission_item *admission_queue_peek(const struct admission_queue *queue)
{
	const struct edf_item *place = edf_first(&queue->items);

	return place ? place->link.data : NULL;
}

struct admission_item *admission_queue_next(const struct admission_queue *queue,
					    const struct admission_item *item)
{
	const struct edf_item *place = edf_next(&queue->items, &item->edf);

	return place ? place->link.data : NULL;
}

struct admission_item *admission_queue_pop(struct admission_queue *queue)
{
	struct edf_item *place = edf_first(&queue->items);
	struct admission_item *item;

	if (!place)
		return NULL;
	item = place->link.data;
	edf_remove(&queue->items, place);
	item_forget(queue, item);
	return item;
}

void admission_queue_remove(struct admission_queue *queue,
			    struct admission_item *item)
{
	if (!item->queued && !item->reserved)
		return;
	if (item->reserved)
		queue->held--;
	else
		edf_remove(&queue->items, &item->edf);
	item->reserved = false;
	item_forget(queue, item);
}

uint32_t admission_queue_length(const struct admission_queue *queue)
{
	return queue->items.length;
}

uint64_t admission_queue_bytes(const struct admission_queue *queue)
{
	return queue->bytes;
}

void admission_queue_record_service(struct admission_queue *queue,
				    uint64_t service_ms)
{
	uint64_t sample_us = service_ms * 1000;

	if (queue->mean_service_us == 0) {
		queue->mean_service_us = sample_us;
		return;
	}
	queue->mean_service_us =
		(queue->mean_service_us * (ADMISSION_MEAN_SAMPLES - 1) +
		 sample_us) /
		ADMISSION_MEAN_SAMPLES;
}

uint64_t admission_queue_mean_service_ms(const struct admission_queue *queue)
{
	return queue->mean_service_us / 1000;
}

uint64_t admission_queue_expected_wait_ms(const struct admission_queue *queue,
					  uint32_t slots)
{
	if (slots == 0)
		return queue->limits.max_wait_ms;
	return wait_behind_ms(queue, queue->items.length + queue->held, slots) *
	       ADMISSION_LIKELY_PERCENT / 100;
}

uint32_t admission_queue_retry_after_s(const struct admission_queue *queue,
				       uint32_t slots)
{
	uint64_t wait_s =
		(admission_queue_expected_wait_ms(queue, slots) + 999) / 1000;

	return (uint32_t)CLAMP(wait_s, 1, ADMISSION_RETRY_AFTER_MAX_S);
}
