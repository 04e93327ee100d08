/**
 * @file test_job_wire.c
 * @brief Calls on the job service as records between processes.
 */
#include <check.h>
#include <string.h>

#include "job_wire.h"

#define XID 77
#define MARK_BYTES 4
/* Place of the length of the credentials in a call's record: the identity,
 * direction, RPC version, program, version and procedure come before, and the
 * credentials' kind. */
#define CREDENTIALS_AT (7 * 4)

static const struct jobs_call call = {
	.verb = JOBS_SUBMIT,
	.queue = "q",
	.id = "0123456789abcdef",
	.spec = "{}",
	.deadline_ms = 9,
};

START_TEST(test_call_comes_through)
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

START_TEST(test_reply_comes_through)
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

START_TEST(test_cut_records_are_not_taken)
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

START_TEST(test_credentials_leave_nothing_behind)
{
	/* Four bytes of credentials that are not ours; the leak checker of the
	 * sanitized build tells what stays behind. */
	static const guint8 credentials[] = { 0, 0, 0, 4, 1, 2, 3, 4 };
	g_autoptr(GByteArray) bytes = job_wire_call_encode(XID, &call);
	struct job_wire_message message;

	g_byte_array_remove_range(bytes, 0, MARK_BYTES);
	g_byte_array_remove_range(bytes, CREDENTIALS_AT, 4);
	g_byte_array_set_size(bytes, bytes->len + sizeof(credentials));
	memmove(bytes->data + CREDENTIALS_AT + sizeof(credentials),
		bytes->data + CREDENTIALS_AT,
		bytes->len - CREDENTIALS_AT - sizeof(credentials));
	memcpy(bytes->data + CREDENTIALS_AT, credentials, sizeof(credentials));
	ck_assert_int_eq(
		job_wire_decode((char *)bytes->data, bytes->len, &message),
		ERR_NONE);
	ck_assert_str_eq(message.call.id, call.id);
	job_wire_message_clear(&message);
}
END_TEST

START_TEST(test_records_that_are_split_or_too_large_are_refused)
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

	tcase_add_test(tests, test_call_comes_through);
	tcase_add_test(tests, test_reply_comes_through);
	tcase_add_test(tests, test_cut_records_are_not_taken);
	tcase_add_test(tests, test_credentials_leave_nothing_behind);
	tcase_add_test(tests,
		       test_records_that_are_split_or_too_large_are_refused);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
