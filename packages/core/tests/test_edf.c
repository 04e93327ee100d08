/* Tests of the queue (edf.h) and of the admission control built on it. */
#include <check.h>
#include <stdlib.h>

#include "admission.h"
#include "edf.h"

#define ITEMS 400u
#define STEPS 200000u
#define WALK_STEPS 500u
#define SPREAD_MS 60000

struct entry {
	struct edf_item edf;
	uint64_t bucket;
	bool queued;
};

/* Counts the items in buckets up to the one of a deadline. */
static uint32_t count_ahead(const struct entry *entries, uint64_t deadline_ms)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < ITEMS; i++)
		count += entries[i].queued &&
			 entries[i].bucket <= deadline_ms / EDF_BUCKET_MS;
	return count;
}

static uint64_t earliest(const struct entry *entries)
{
	uint64_t bucket = UINT64_MAX;

	for (uint32_t i = 0; i < ITEMS; i++) {
		if (entries[i].queued)
			bucket = MIN(bucket, entries[i].bucket);
	}
	return bucket;
}

static void check_first(const struct edf_queue *queue,
			const struct entry *entries)
{
	const struct edf_item *first = edf_first(queue);

	if (!first)
		ck_assert_uint_eq(earliest(entries), UINT64_MAX);
	else
		ck_assert_uint_eq(((const struct entry *)first)->bucket,
				  earliest(entries));
}

/* Iterating with edf_next() visits every item once, in order. */
static void check_walk(const struct edf_queue *queue, uint32_t length)
{
	const struct edf_item *item = edf_first(queue);
	uint64_t bucket = 0;
	uint32_t count = 0;

	for (; item; item = edf_next(queue, item)) {
		ck_assert_uint_ge(((const struct entry *)item)->bucket, bucket);
		bucket = ((const struct entry *)item)->bucket;
		count++;
	}
	ck_assert_uint_eq(count, length);
}

/* Compares the queue with a linear search while its ring wraps many times. */
START_TEST(order_and_counts_match_a_linear_search)
{
	const uint32_t seed = 7;
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
	g_autofree struct edf_queue *queue = g_new0(struct edf_queue, 1);
	g_autofree struct entry *entries = g_new0(struct entry, ITEMS);
	uint64_t now_ms = 0;
	uint32_t length = 0;

	g_test_message("seed %u", seed);
	edf_init(queue);
	for (uint32_t step = 0; step < STEPS; step++) {
		struct entry *entry =
			&entries[g_rand_int_range(rand, 0, ITEMS)];
		uint64_t deadline_ms =
			now_ms + (uint64_t)g_rand_int_range(rand, 0, SPREAD_MS);

		now_ms += (uint64_t)g_rand_int_range(rand, 0, 20);
		deadline_ms = MAX(deadline_ms, now_ms);
		if (entry->queued) {
			edf_remove(queue, &entry->edf);
			length--;
		} else {
			entry->bucket = deadline_ms / EDF_BUCKET_MS;
			edf_push(queue, &entry->edf, deadline_ms, now_ms);
			length++;
		}
		entry->queued = !entry->queued;
		if (step % WALK_STEPS == 0)
			check_walk(queue, length);
		ck_assert_uint_eq(queue->length, length);
		/* Items past their deadlines keep the base from advancing. */
		while (earliest(entries) < now_ms / EDF_BUCKET_MS) {
			struct entry *first = (struct entry *)edf_first(queue);

			edf_remove(queue, &first->edf);
			first->queued = false;
			length--;
		}
		if (step % 16 == 0 && length > 0) {
			check_first(queue, entries);
			ck_assert_uint_eq(edf_count_ahead(queue, deadline_ms),
					  count_ahead(entries, deadline_ms));
		}
	}
}
END_TEST

START_TEST(deadlines_beyond_the_ring_keep_their_order)
{
	g_autofree struct edf_queue *queue = g_new0(struct edf_queue, 1);
	struct edf_item items[3] = { 0 };
	uint64_t far_ms = 10ull * EDF_BUCKETS * EDF_BUCKET_MS;

	edf_init(queue);
	edf_push(queue, &items[0], far_ms, 0);
	edf_push(queue, &items[1], far_ms * 2, 0);
	edf_push(queue, &items[2], 5, 0);
	ck_assert_uint_eq(edf_count_ahead(queue, far_ms), 3);
	ck_assert_uint_eq(edf_count_ahead(queue, 5), 1);
	ck_assert_ptr_eq(edf_first(queue), &items[2]);
	edf_remove(queue, &items[2]);
	ck_assert_ptr_eq(edf_first(queue), &items[0]);
	edf_remove(queue, &items[0]);
	edf_remove(queue, &items[1]);
	ck_assert_ptr_null(edf_first(queue));
}
END_TEST

static struct admission_queue *queue_create_default(void)
{
	const struct admission_limits limits = {
		.max_requests = 100,
		.max_bytes = 1000,
		.max_wait_ms = 5000,
	};

	return admission_queue_create(&limits);
}

static enum outcome push(struct admission_queue *queue,
			 struct admission_item *item, uint64_t deadline_ms)
{
	item->bytes = 1;
	item->deadline_ms = deadline_ms;
	return admission_queue_push(queue, item, 1, 0);
}

START_TEST(the_earliest_deadline_goes_first)
{
	struct admission_queue *queue = queue_create_default();
	struct admission_item items[3] = { 0 };

	ck_assert_int_eq(push(queue, &items[0], 3000), OUTCOME_ANSWERED);
	ck_assert_int_eq(push(queue, &items[1], 1000), OUTCOME_ANSWERED);
	ck_assert_int_eq(push(queue, &items[2], 2000), OUTCOME_ANSWERED);
	ck_assert_ptr_eq(admission_queue_pop(queue), &items[1]);
	ck_assert_ptr_eq(admission_queue_pop(queue), &items[2]);
	ck_assert_ptr_eq(admission_queue_pop(queue), &items[0]);
	admission_queue_destroy(queue);
}
END_TEST

START_TEST(refuses_requests_that_would_start_or_end_late)
{
	struct admission_queue *queue = queue_create_default();
	struct admission_item items[12] = { 0 };
	struct admission_item urgent = { 0 };
	struct admission_item extra = { 0 };

	admission_queue_record_service(queue, 400);
	for (uint32_t i = 0; i < G_N_ELEMENTS(items); i++)
		ck_assert_int_eq(push(queue, &items[i], 4000),
				 OUTCOME_ANSWERED);
	ck_assert_int_eq(push(queue, &extra, 4500), OUTCOME_ANSWERED);
	admission_queue_remove(queue, &extra);
	extra.deadline_ms = 4000;
	ck_assert_int_eq(admission_queue_push(queue, &extra, 1, 2000),
			 OUTCOME_WOULD_EXPIRE);
	/* No queued request has an earlier deadline, but the slot is in use. */
	ck_assert_int_eq(push(queue, &urgent, 100), OUTCOME_WOULD_EXPIRE);
	ck_assert_int_eq(push(queue, &urgent, 500), OUTCOME_ANSWERED);
	ck_assert_ptr_eq(admission_queue_pop(queue), &urgent);
	ck_assert(admission_queue_is_late(queue, &urgent, 0));
	for (uint32_t i = 0; i < G_N_ELEMENTS(items); i++)
		admission_queue_remove(queue, &items[i]);
	/* With no other request queued, a late request may still start. */
	ck_assert(!admission_queue_is_late(queue, &urgent, 0));
	ck_assert(admission_queue_is_late(queue, &urgent, 500));
	admission_queue_destroy(queue);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edf");
	TCase *tcase = tcase_create("edf");
	SRunner *runner = srunner_create(suite);
	int failed;

	suite_add_tcase(suite, tcase);
	tcase_add_test(tcase, order_and_counts_match_a_linear_search);
	tcase_add_test(tcase, deadlines_beyond_the_ring_keep_their_order);
	tcase_add_test(tcase, the_earliest_deadline_goes_first);
	tcase_add_test(tcase, refuses_requests_that_would_start_or_end_late);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
