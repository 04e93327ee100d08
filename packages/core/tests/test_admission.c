#include <check.h>
#include <glib.h>
#include <stdlib.h>

#include "admission.h"

#define ITEMS 64
#define STEPS 20000
#define SLOTS 4

static const struct admission_limits limits = { .max_requests = 20,
						.max_bytes = 5000,
						.max_wait_ms = 10000 };

/* Compares the totals of the queue with a count over all items. */
static void totals_assert(const struct admission_queue *queue,
			  const struct admission_item *items, guint32 seed)
{
	uint64_t bytes = 0;
	uint32_t count = 0;
	uint32_t queued = 0;

	for (uint32_t i = 0; i < ITEMS; i++) {
		if (!items[i].queued && !items[i].reserved)
			continue;
		count++;
		bytes += items[i].bytes;
		queued += items[i].queued;
	}
	/*
	 * Every ck_assert that holds writes to Check's runner: 1.6 million of
	 * them exceeded its time limit on a slow machine.
	 */
	if (count > limits.max_requests || bytes > limits.max_bytes ||
	    admission_queue_bytes(queue) != bytes ||
	    admission_queue_length(queue) != queued)
		ck_abort_msg("seed %u: %u requests, %" G_GUINT64_FORMAT
			     " bytes, %u queued",
			     seed, count, bytes, queued);
}

static void item_step(struct admission_queue *queue,
		      struct admission_item *item, GRand *rand, uint64_t now_ms)
{
	if (item->reserved && g_rand_boolean(rand)) {
		admission_queue_enqueue(queue, item, now_ms);
		return;
	}
	if (item->reserved || item->queued) {
		admission_queue_remove(queue, item);
		return;
	}
	item->bytes = (uint64_t)g_rand_int_range(rand, 0, 600);
	item->deadline_ms = now_ms + 1 + (uint64_t)g_rand_int_range(rand, 0, 9);
	switch (g_rand_int_range(rand, 0, 3)) {
	case 0:
		admission_queue_push(queue, item, SLOTS, now_ms);
		break;
	case 1:
		admission_queue_reserve(queue, item, SLOTS, now_ms);
		break;
	default:
		admission_queue_requeue(queue, item);
	}
}

START_TEST(random_sequences_keep_the_limits)
{
	for (guint32 seed = 1; seed <= 20; seed++) {
		struct admission_queue *queue = admission_queue_create(&limits);
		struct admission_item items[ITEMS] = { 0 };
		GRand *rand = g_rand_new_with_seed(seed);

		for (uint32_t step = 0; step < STEPS; step++) {
			if (g_rand_int_range(rand, 0, 4) == 0)
				admission_queue_pop(queue);
			item_step(queue,
				  &items[g_rand_int_range(rand, 0, ITEMS)],
				  rand, step);
			totals_assert(queue, items, seed);
		}
		for (uint32_t i = 0; i < ITEMS; i++)
			admission_queue_remove(queue, &items[i]);
		admission_queue_destroy(queue);
		g_rand_free(rand);
	}
}
END_TEST

START_TEST(a_retry_goes_to_the_head)
{
	struct admission_queue *queue = admission_queue_create(&limits);
	struct admission_item first = { .deadline_ms = 9 };
	struct admission_item second = { .deadline_ms = 9 };

	admission_queue_push(queue, &first, SLOTS, 0);
	ck_assert_int_eq(admission_queue_requeue(queue, &second),
			 OUTCOME_ANSWERED);
	ck_assert_ptr_eq(admission_queue_peek(queue), &second);
	ck_assert_ptr_eq(admission_queue_pop(queue), &second);
	ck_assert_ptr_eq(admission_queue_pop(queue), &first);
	ck_assert_ptr_null(admission_queue_pop(queue));
	admission_queue_destroy(queue);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("admission");
	TCase *cases = tcase_create("admission");
	SRunner *runner;
	int failed;

	tcase_add_test(cases, random_sequences_keep_the_limits);
	tcase_add_test(cases, a_retry_goes_to_the_head);
	suite_add_tcase(suite, cases);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
