#include "admission.h"

/* A new sample has a weight of 1/64 in the mean service time. */
#define ADMISSION_MEAN_SAMPLES 64
/*
 * Share of the estimated wait that decides on a refusal at arrival. It is below
 * 100 % because requests ahead may be cancelled or finish sooner than the mean.
 * A refusal is final, whereas a queued request that turns out to be late is
 * refused when it is popped.
 */
#define ADMISSION_REFUSAL_WAIT_PERCENT 40
/* Share of the estimated wait that is reported to callers. */
#define ADMISSION_REPORTED_WAIT_PERCENT 75
/*
 * Time to the deadline that a request needs at its start, in percent of the
 * mean service time.
 */
#define ADMISSION_SERVICE_MARGIN_PERCENT 150
#define ADMISSION_RETRY_AFTER_MAX_S 60

struct admission_queue {
	struct admission_limits limits;
	struct edf_queue items;
	/* number of reserved requests */
	uint32_t reserved;
	/* total bytes of queued and reserved requests */
	uint64_t bytes;
	/* moving average of the service time; 0 until the first sample */
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
	g_assert(queue->items.length == 0 && queue->reserved == 0);
	g_free(queue);
}

void admission_queue_set_limits(struct admission_queue *queue,
				const struct admission_limits *limits)
{
	queue->limits = *limits;
}

static enum outcome limits_check(const struct admission_queue *queue,
				 const struct admission_item *item)
{
	if (queue->items.length + queue->reserved >= queue->limits.max_requests)
		return OUTCOME_QUEUE_FULL;
	if (queue->bytes + item->bytes > queue->limits.max_bytes)
		return OUTCOME_QUEUE_BYTES;
	return OUTCOME_ANSWERED;
}

static uint64_t estimated_wait_ms(const struct admission_queue *queue,
				  uint32_t ahead, uint32_t slots)
{
	return ahead * queue->mean_service_us / slots / 1000;
}

bool admission_queue_is_late(const struct admission_queue *queue,
			     const struct admission_item *item, uint64_t now_ms)
{
	uint64_t needed_ms = queue->mean_service_us *
			     ADMISSION_SERVICE_MARGIN_PERCENT / 100 / 1000;

	if (queue->items.length == 0)
		needed_ms = 0;
	return now_ms + needed_ms >= item->deadline_ms;
}

/*
 * Number of requests that a new one has to wait for. If any request is queued,
 * all slots are in use, so the new one has to wait for one more.
 */
static uint32_t requests_ahead(const struct admission_queue *queue,
			       const struct admission_item *item)
{
	uint32_t ahead = edf_count_ahead(&queue->items, item->deadline_ms) +
			 queue->reserved;

	return queue->items.length > 0 ? ahead + 1 : ahead;
}

static enum outcome admission_check(const struct admission_queue *queue,
				    const struct admission_item *item,
				    uint32_t slots, uint64_t now_ms)
{
	enum outcome refusal = limits_check(queue, item);
	uint64_t wait_ms;

	if (slots == 0)
		return OUTCOME_NO_VM;
	if (refusal != OUTCOME_ANSWERED)
		return refusal;
	wait_ms = estimated_wait_ms(queue, requests_ahead(queue, item), slots);
	wait_ms = wait_ms * ADMISSION_REFUSAL_WAIT_PERCENT / 100;
	if (wait_ms > queue->limits.max_wait_ms ||
	    now_ms + wait_ms >= item->deadline_ms)
		return OUTCOME_WOULD_EXPIRE;
	return OUTCOME_ANSWERED;
}

static void item_account(struct admission_queue *queue,
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
	item_account(queue, item);
	item->reserved = true;
	queue->reserved++;
	return OUTCOME_ANSWERED;
}

void admission_queue_enqueue(struct admission_queue *queue,
			     struct admission_item *item, uint64_t now_ms)
{
	g_assert(item->reserved);
	item->reserved = false;
	queue->reserved--;
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
	enum outcome refusal = limits_check(queue, item);

	if (refusal != OUTCOME_ANSWERED)
		return refusal;
	item_account(queue, item);
	item->queued = true;
	edf_push_first(&queue->items, &item->edf);
	return OUTCOME_ANSWERED;
}

static void item_unaccount(struct admission_queue *queue,
			   struct admission_item *item)
{
	item->queued = false;
	queue->bytes -= item->bytes;
}

struct admission_item *admission_queue_peek(const struct admission_queue *queue)
{
	const struct edf_item *node = edf_first(&queue->items);

	return node ? node->link.data : NULL;
}

struct admission_item *admission_queue_next(const struct admission_queue *queue,
					    const struct admission_item *item)
{
	const struct edf_item *node = edf_next(&queue->items, &item->edf);

	return node ? node->link.data : NULL;
}

struct admission_item *admission_queue_pop(struct admission_queue *queue)
{
	struct edf_item *node = edf_first(&queue->items);
	struct admission_item *item;

	if (!node)
		return NULL;
	item = node->link.data;
	edf_remove(&queue->items, node);
	item_unaccount(queue, item);
	return item;
}

void admission_queue_remove(struct admission_queue *queue,
			    struct admission_item *item)
{
	if (!item->queued && !item->reserved)
		return;
	if (item->reserved)
		queue->reserved--;
	else
		edf_remove(&queue->items, &item->edf);
	item->reserved = false;
	item_unaccount(queue, item);
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
	return estimated_wait_ms(queue, queue->items.length + queue->reserved,
				 slots) *
	       ADMISSION_REPORTED_WAIT_PERCENT / 100;
}

uint32_t admission_queue_retry_after_s(const struct admission_queue *queue,
				       uint32_t slots)
{
	uint64_t wait_s =
		(admission_queue_expected_wait_ms(queue, slots) + 999) / 1000;

	return (uint32_t)CLAMP(wait_s, 1, ADMISSION_RETRY_AFTER_MAX_S);
}
