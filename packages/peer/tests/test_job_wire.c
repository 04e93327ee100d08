/**
 * @file test_job_wire.c
 * @brief Encoding and decoding of the RPC records of the job service.
 */
#include <check.h>
#include <string.h>

#include "job_wire.h"

#define XID 77
#define MARK_BYTES 4
/* Offset of the length of the credentials in a call: xid, direction, RPC
 * version, program, version, procedure and credential flavor come before. */
#define CREDENTIALS_LENGTH_OFFSET (7 * 4)

static const struct jobs_call call = {
	.verb = JOBS_SUBMIT,
	.queue = "q",
	.id = "0123456789abcdef",
	.spec = "{}",
	.deadline_ms = 9,
};

START_TEST(test_call_round_trip)
{
	g_autoptr(GByteArray) bytes = job_wire_call_encode(XID, &call);
	struct job_wire_message message;
	size_t size = 0;

	ck_assert_int_eq(
		job_wire_record_size((char *)bytes->data, bytes->len, &size),
		ERR_NONE);
	ck_assert_uint_eq(size, bytes->len);
	ck_assert_int_eq(job_wire_decode((char *)bytes->data + MARK_BYTES,
					 size - MARK_BYTES, &message),
			 ERR_NONE);
	ck_assert(!message.is_reply);
	ck_assert_uint_eq(message.xid, XID);
	ck_assert_str_eq(message.call.id, call.id);
	ck_assert_str_eq(message.call.spec, call.spec);
	ck_assert_uint_eq(message.call.deadline_ms, call.deadline_ms);
	job_wire_message_clear(&message);
}
END_TEST

START_TEST(test_reply_round_trip)
{
	const struct jobs_answer answer = {
		.outcome = JOBS_REFUSED,
		.retry_after_ms = 1200,
		.why = "full",
	};
	g_autoptr(GByteArray) bytes = job_wire_reply_encode(XID, &answer);
	struct job_wire_message message;

	ck_assert_int_eq(job_wire_decode((char *)bytes->data + MARK_BYTES,
					 bytes->len - MARK_BYTES, &message),
			 ERR_NONE);
	ck_assert(message.is_reply);
	ck_assert_uint_eq(message.answer.retry_after_ms, 1200);
	ck_assert_str_eq(message.answer.why, "full");
	job_wire_message_clear(&message);
}
END_TEST

START_TEST(test_truncated_records_are_rejected)
{
	g_autoptr(GByteArray) bytes = job_wire_call_encode(XID, &call);
	struct job_wire_message message;
	size_t size;

	for (guint len = 0; len < bytes->len; len++)
		ck_assert_int_eq(
			job_wire_record_size((char *)bytes->data, len, &size),
			ERR_PENDING);
	for (guint len = 0; len + MARK_BYTES < bytes->len; len++)
		ck_assert_int_eq(
			job_wire_decode((char *)bytes->data + MARK_BYTES, len,
					&message),
			ERR_MALFORMED);
}
END_TEST

START_TEST(test_credentials_do_not_leak)
{
	/*
	 * A call with credentials of four bytes, which this project never
	 * sends. Guards against a leak of decoded credentials, which the leak
	 * checker of the sanitizer build reports.
	 */
	static const guint8 credentials[] = { 0, 0, 0, 4, 1, 2, 3, 4 };
	g_autoptr(GByteArray) bytes = job_wire_call_encode(XID, &call);
	struct job_wire_message message;

	g_byte_array_remove_range(bytes, 0, MARK_BYTES);
	g_byte_array_remove_range(bytes, CREDENTIALS_LENGTH_OFFSET, 4);
	g_byte_array_set_size(bytes, bytes->len + sizeof(credentials));
	memmove(bytes->data + CREDENTIALS_LENGTH_OFFSET + sizeof(credentials),
		bytes->data + CREDENTIALS_LENGTH_OFFSET,
		bytes->len - CREDENTIALS_LENGTH_OFFSET - sizeof(credentials));
	memcpy(bytes->data + CREDENTIALS_LENGTH_OFFSET, credentials,
	       sizeof(credentials));
	ck_assert_int_eq(
		job_wire_decode((char *)bytes->data, bytes->len, &message),
		ERR_NONE);
	ck_assert_str_eq(message.call.id, call.id);
	job_wire_message_clear(&message);
}
END_TEST

START_TEST(test_fragmented_and_oversized_records_are_rejected)
{
	static const guint8 split[] = { 0, 0, 0, 9 };
	static const guint8 large[] = { 0xff, 0xff, 0xff, 0xff };
	size_t size;

	ck_assert_int_eq(job_wire_record_size((const char *)split, 4, &size),
			 ERR_MALFORMED);
	ck_assert_int_eq(job_wire_record_size((const char *)large, 4, &size),
			 ERR_MALFORMED);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("job_wire");
	TCase *tests = tcase_create("job_wire");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tests, test_call_round_trip);
	tcase_add_test(tests, test_reply_round_trip);
	tcase_add_test(tests, test_truncated_records_are_rejected);
	tcase_add_test(tests, test_credentials_do_not_leak);
	tcase_add_test(tests,
		       test_fragmented_and_oversized_records_are_rejected);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
