#include "edf.h"

void edf_init(struct edf_queue *queue)
{
	*queue = (struct edf_queue){ 0 };
	for (uint32_t i = 0; i < EDF_BUCKETS; i++)
		g_queue_init(&queue->buckets[i]);
}

static uint64_t bucket_number(const struct edf_queue *queue,
			      uint64_t deadline_ms)
{
	uint64_t number = deadline_ms / EDF_BUCKET_MS;

	return CLAMP(number, queue->base, queue->base + EDF_BUCKETS - 1);
}

static void sums_add(struct edf_queue *queue, uint32_t bucket, int32_t change)
{
	for (uint32_t i = bucket + 1; i <= EDF_BUCKETS; i += i & -i)
		queue->sums[i] += (uint32_t)change;
	queue->length += (uint32_t)change;
}

/* Items in the buckets from 0 up to, and without, this one. */
static uint32_t sums_below(const struct edf_queue *queue, uint32_t bucket)
{
	uint32_t sum = 0;

	for (uint32_t i = bucket; i > 0; i -= i & -i)
		sum += queue->sums[i];
	return sum;
}

/* First bucket with items at or after a bucket, EDF_BUCKETS for none. */
static uint32_t occupied_from(const struct edf_queue *queue, uint32_t bucket)
{
	uint64_t mask = UINT64_MAX << (bucket % 64);

	for (uint32_t word = bucket / 64; word < EDF_WORDS; word++) {
		uint64_t bits = queue->occupied[word] & mask;

		if (bits != 0)
			return word * 64 + (uint32_t)__builtin_ctzll(bits);
		mask = UINT64_MAX;
	}
	return EDF_BUCKETS;
}

static uint32_t first_bucket(const struct edf_queue *queue)
{
	uint32_t bucket =
		occupied_from(queue, (uint32_t)(queue->base % EDF_BUCKETS));

	return bucket < EDF_BUCKETS ? bucket : occupied_from(queue, 0);
}

/* Moves the base up to the present, but not past an item. */
static void base_advance(struct edf_queue *queue, uint64_t now_ms)
{
	uint64_t present = now_ms / EDF_BUCKET_MS;
	uint64_t offset;

	if (queue->length > 0) {
		offset = (first_bucket(queue) + EDF_BUCKETS -
			  queue->base % EDF_BUCKETS) %
			 EDF_BUCKETS;
		present = MIN(present, queue->base + offset);
	}
	queue->base = MAX(queue->base, present);
}

static void item_count(struct edf_queue *queue, const struct edf_item *item)
{
	queue->occupied[item->bucket / 64] |= 1ull << (item->bucket % 64);
	sums_add(queue, item->bucket, 1);
}

void edf_push(struct edf_queue *queue, struct edf_item *item,
	      uint64_t deadline_ms, uint64_t now_ms)
{
	base_advance(queue, now_ms);
	item->bucket =
		(uint32_t)(bucket_number(queue, deadline_ms) % EDF_BUCKETS);
	g_queue_push_tail_link(&queue->buckets[item->bucket], &item->link);
	item_count(queue, item);
}

void edf_push_first(struct edf_queue *queue, struct edf_item *item)
{
	item->bucket = (uint32_t)(queue->base % EDF_BUCKETS);
	g_queue_push_head_link(&queue->buckets[item->bucket], &item->link);
	item_count(queue, item);
}

struct edf_item *edf_first(const struct edf_queue *queue)
{
	if (queue->length == 0)
		return NULL;
	return (struct edf_item *)queue->buckets[first_bucket(queue)].head;
}

/* Buckets from the base to the end, then those that wrap around it. */
static uint32_t bucket_after(const struct edf_queue *queue, uint32_t bucket)
{
	uint32_t base = (uint32_t)(queue->base % EDF_BUCKETS);
	uint32_t next = EDF_BUCKETS;

	if (bucket + 1 < EDF_BUCKETS)
		next = occupied_from(queue, bucket + 1);
	if (bucket < base)
		return next < base ? next : EDF_BUCKETS;
	if (next < EDF_BUCKETS || base == 0)
		return next;
	next = occupied_from(queue, 0);
	return next < base ? next : EDF_BUCKETS;
}

struct edf_item *edf_next(const struct edf_queue *queue,
			  const struct edf_item *item)
{
	uint32_t bucket;

	if (item->link.next)
		return (struct edf_item *)item->link.next;
	bucket = bucket_after(queue, item->bucket);
	if (bucket == EDF_BUCKETS)
		return NULL;
	return (struct edf_item *)g_queue_peek_head_link(
		(GQueue *)&queue->buckets[bucket]);
}

void edf_remove(struct edf_queue *queue, struct edf_item *item)
{
	GQueue *bucket = &queue->buckets[item->bucket];

	g_queue_unlink(bucket, &item->link);
	if (g_queue_is_empty(bucket))
		queue->occupied[item->bucket / 64] &=
			~(1ull << (item->bucket % 64));
	sums_add(queue, item->bucket, -1);
}

uint32_t edf_count_ahead(const struct edf_queue *queue, uint64_t deadline_ms)
{
	uint32_t begin = (uint32_t)(queue->base % EDF_BUCKETS);
	uint64_t number = bucket_number(queue, deadline_ms) + 1;
	uint32_t end = (uint32_t)(number % EDF_BUCKETS);

	if (number - queue->base == EDF_BUCKETS)
		return queue->length;
	if (begin <= end)
		return sums_below(queue, end) - sums_below(queue, begin);
	return queue->length - sums_below(queue, begin) +
	       sums_below(queue, end);
}
