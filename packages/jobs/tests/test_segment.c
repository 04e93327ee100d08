/**
 * @file test_segment.c
 * @brief Tests of segments and of the records stored in them.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "catalogue.h"
#include "job_record.h"
#include "segment.h"

#define ID_A "000000000000000a"
#define ID_B "000000000000000b"

static struct job *pending_job_create(const char *id)
{
	static const char text[] = "{\"text\":\"x\",\"steps\":[{\"count\":3,"
				   "\"cpu_milli\":100}]}";
	struct job_spec *spec = NULL;

	ck_assert_int_eq(job_record_spec_decode(text, strlen(text), &spec),
			 ERR_NONE);
	return job_create(id, "queue", spec);
}

START_TEST(test_segment_is_garbage_without_jobs)
{
	struct segment_table *table = segment_table_create();
	struct segment *first = segment_add(table, "first");
	struct segment *second = segment_add(table, "second");
	struct job *a = pending_job_create(ID_A);
	struct job *b = pending_job_create(ID_B);
	char *key;

	segment_attach(first, a, JOB_SEGMENT_PROGRESS);
	segment_attach(first, b, JOB_SEGMENT_PROGRESS);
	segment_attach(second, a, JOB_SEGMENT_PROGRESS);
	ck_assert_uint_eq(segment_garbage_count(table), 0);
	ck_assert_ptr_null(segment_garbage_pop(table));
	segment_attach(second, b, JOB_SEGMENT_PROGRESS);
	ck_assert_uint_eq(segment_garbage_count(table), 1);
	key = segment_garbage_pop(table);
	ck_assert_str_eq(key, "first");
	g_free(key);
	segment_detach(a, JOB_SEGMENT_PROGRESS);
	segment_detach(a, JOB_SEGMENT_PROGRESS);
	ck_assert_uint_eq(segment_garbage_count(table), 0);
	segment_detach(b, JOB_SEGMENT_PROGRESS);
	ck_assert_uint_eq(segment_garbage_count(table), 1);
	job_destroy(a);
	job_destroy(b);
	segment_table_destroy(table);
}
END_TEST

START_TEST(test_segment_kinds_are_independent)
{
	struct segment_table *table = segment_table_create();
	struct segment *progress = segment_add(table, "progress");
	struct segment *ends = segment_add(table, "ends");
	struct job *job = pending_job_create(ID_A);

	segment_attach(progress, job, JOB_SEGMENT_PROGRESS);
	segment_attach(ends, job, JOB_SEGMENT_END);
	segment_attach(ends, job, JOB_SEGMENT_END);
	ck_assert_uint_eq(segment_garbage_count(table), 0);
	segment_detach(job, JOB_SEGMENT_PROGRESS);
	ck_assert_uint_eq(segment_garbage_count(table), 1);
	job_destroy(job);
	segment_table_destroy(table);
}
END_TEST

START_TEST(test_empty_segment_is_retired)
{
	struct segment_table *table = segment_table_create();

	segment_retire_if_empty(segment_add(table, "old"));
	ck_assert_uint_eq(segment_garbage_count(table), 1);
	segment_table_destroy(table);
}
END_TEST

START_TEST(test_end_record_round_trip)
{
	struct job *job = pending_job_create(ID_A);
	struct job *read = NULL;
	json_t *records = json_object();
	char *text;

	job->state = JOB_FAILED;
	job->accepted_unix_ms = 12345;
	job_record_end_add(records, job);
	text = json_dumps(records, JSON_COMPACT);
	json_decref(records);
	records = job_record_batch_decode(text, strlen(text));
	ck_assert_ptr_nonnull(records);
	ck_assert_int_eq(job_record_end_decode(
				 ID_A, json_object_get(records, ID_A), &read),
			 ERR_NONE);
	ck_assert_int_eq(read->state, JOB_FAILED);
	ck_assert_int_eq(read->stored_state, JOB_FAILED);
	ck_assert_str_eq(read->queue, "queue");
	ck_assert_uint_eq(read->accepted_unix_ms, 12345);
	ck_assert(!read->has_definition);
	job_destroy(read);
	job_destroy(job);
	json_decref(records);
	free(text);
}
END_TEST

/* A cancellation that came before any submission leaves the identity to jobs of
 * other accounts and queues. */
START_TEST(test_cancel_record_is_no_end_of_its_identity)
{
	struct job *cancel = pending_job_create(ID_A);
	struct job *read = NULL;
	json_t *records = json_object();
	g_autofree char *key = job_record_cancel_key(ID_A, "queue", "a");

	cancel->account = g_strdup("a");
	cancel->state = JOB_CANCELLED;
	cancel->is_cancel_only = true;
	job_record_end_add(records, cancel);
	ck_assert_ptr_null(json_object_get(records, ID_A));
	ck_assert(!job_id_is_valid(key));
	ck_assert_int_eq(job_record_end_decode(
				 key, json_object_get(records, key), &read),
			 ERR_NONE);
	ck_assert(read->is_cancel_only);
	ck_assert_str_eq(read->id, ID_A);
	ck_assert_str_eq(read->queue, "queue");
	ck_assert_str_eq(read->account, "a");
	job_destroy(read);
	job_destroy(cancel);
	json_decref(records);
}
END_TEST

START_TEST(test_progress_record_round_trip)
{
	struct job *job = pending_job_create(ID_A);
	struct job *read = pending_job_create(ID_A);
	struct job_occurrence *occurrence = job_occurrence_begin(job, 1, 1);
	const struct catalogue_queue queue = { .service = "pool",
					       .attempts = 4 };
	json_t *records = json_object();

	ck_assert(job_set_queue(job, &queue));
	job_task_set_state(&occurrence->groups[0].tasks[1], JOB_TASK_DONE);
	job_task_count_failure(&occurrence->groups[0].tasks[2], 7);
	job_record_progress_add(records, job, SIZE_MAX);
	ck_assert_int_eq(job_record_progress_apply(
				 read, json_object_get(records, ID_A), 1, 1),
			 ERR_NONE);
	ck_assert(!job_set_queue(read, &queue));
	ck_assert(!read->has_begun);
	ck_assert_uint_eq(read->occurrences->len, 1);
	occurrence = g_ptr_array_index(read->occurrences, 0);
	ck_assert_int_eq(occurrence->groups[0].tasks[1].state, JOB_TASK_DONE);
	ck_assert_int_ne(occurrence->groups[0].tasks[0].state, JOB_TASK_DONE);
	ck_assert_uint_eq(job_task_failures(&occurrence->groups[0].tasks[2]),
			  1);
	job_destroy(read);
	job_destroy(job);
	json_decref(records);
}
END_TEST

/* The number at the place of the rate had another meaning in records of an
 * earlier version, which has no version. */
START_TEST(test_rate_of_crashes_is_read_from_its_own_version_only)
{
	static const struct suspect evidence = { .crashes = 1,
						 .sole = 1,
						 .rate_ppb = 5000 };
	json_t *records = json_object();

	for (uint32_t i = 0; i < 2; i++) {
		struct job *job = pending_job_create(ID_A);
		struct job *read = pending_job_create(ID_A);
		struct job_occurrence *occurrence =
			job_occurrence_begin(job, 1, 1);
		json_t *record;

		*job_task_suspect(&occurrence->groups[0].tasks[0]) = evidence;
		job_record_progress_add(records, job, SIZE_MAX);
		record = json_object_get(records, ID_A);
		if (i > 0)
			json_object_del(
				json_array_get(
					json_object_get(record, "occurrences"),
					0),
				"crashes_version");
		ck_assert_int_eq(job_record_progress_apply(read, record, 1, 1),
				 ERR_NONE);
		occurrence = g_ptr_array_index(read->occurrences, 0);
		ck_assert_uint_eq(occurrence->groups[0].tasks[0].suspect->sole,
				  1);
		ck_assert_uint_eq(
			occurrence->groups[0].tasks[0].suspect->rate_ppb,
			i > 0 ? 0 : evidence.rate_ppb);
		job_destroy(read);
		job_destroy(job);
	}
	json_decref(records);
}
END_TEST

START_TEST(test_malformed_records_are_rejected)
{
	static const char *const texts[] = { "", "[]", "7", "{\"a\"", "null" };
	struct job *read = NULL;
	json_t *record =
		json_pack("{s:s, s:s}", "queue", "q", "state", "pending");

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		ck_assert_ptr_null(
			job_record_batch_decode(texts[i], strlen(texts[i])));
	/* Not a final state, an invalid identity, no queue, no record. */
	ck_assert_int_eq(job_record_end_decode(ID_A, record, &read),
			 ERR_MALFORMED);
	json_object_set_new(record, "state", json_string("failed"));
	ck_assert_int_eq(job_record_end_decode("short", record, &read),
			 ERR_MALFORMED);
	json_object_del(record, "queue");
	ck_assert_int_eq(job_record_end_decode(ID_A, record, &read),
			 ERR_MALFORMED);
	ck_assert_int_eq(job_record_end_decode(ID_A, NULL, &read),
			 ERR_MALFORMED);
	ck_assert_ptr_null(read);
	json_decref(record);
}
END_TEST

START_TEST(test_too_large_specification_is_refused)
{
	static const char empty[] = "{\"text\":\"\",\"steps\":[{\"count\":1}],"
				    "\"later\":\"\"}";

	for (size_t over = 0; over < 2; over++) {
		g_autofree char *fill = g_strnfill(
			JOB_RECORD_SPEC_MAX_BYTES - strlen(empty) + over, 'a');
		g_autofree char *text = g_strdup_printf(
			"{\"text\":\"\",\"steps\":[{\"count\":1}],"
			"\"later\":\"%s\"}",
			fill);
		struct job_spec *spec = NULL;

		ck_assert_int_eq(
			job_record_spec_decode(text, strlen(text), &spec),
			over ? ERR_TOO_LARGE : ERR_NONE);
		job_spec_destroy(spec);
	}
}
END_TEST

/* A stored job is checked like a submitted one. */
START_TEST(test_stored_jobs_that_no_caller_may_submit_are_rejected)
{
	static const char *const specs[] = {
		"{\"text\":\"x\",\"steps\":[]}",
		"{\"steps\":[{\"count\":1}]}",
		"{\"text\":\"x\",\"steps\":[{\"count\":0}]}",
		"{\"text\":\"x\",\"steps\":[{\"count\":4097}]}",
		"{\"text\":\"x\",\"steps\":[{\"count\":4000000000}]}",
		"{\"text\":\"x\",\"steps\":[{\"count\":1,\"after\":1}]}",
		"{\"text\":\"x\",\"times\":10001,\"steps\":[{\"count\":1}]}",
	};
	struct job *job = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(specs); i++) {
		g_autofree char *text = g_strdup_printf(
			"{\"queue\":\"q\",\"spec\":%s}", specs[i]);

		ck_assert_msg(job_record_job_decode(ID_A, text, strlen(text),
						    &job) != ERR_NONE,
			      "%s", text);
		ck_assert_ptr_null(job);
	}
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("segment");
	TCase *tests = tcase_create("segment");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tests, test_segment_is_garbage_without_jobs);
	tcase_add_test(tests, test_segment_kinds_are_independent);
	tcase_add_test(tests, test_empty_segment_is_retired);
	tcase_add_test(tests, test_end_record_round_trip);
	tcase_add_test(tests, test_cancel_record_is_no_end_of_its_identity);
	tcase_add_test(tests, test_progress_record_round_trip);
	tcase_add_test(tests,
		       test_rate_of_crashes_is_read_from_its_own_version_only);
	tcase_add_test(tests, test_malformed_records_are_rejected);
	tcase_add_test(tests, test_too_large_specification_is_refused);
	tcase_add_test(tests,
		       test_stored_jobs_that_no_caller_may_submit_are_rejected);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
