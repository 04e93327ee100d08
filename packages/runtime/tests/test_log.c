/**
 * @file test_log.c
 * @brief Log lines while the reader of the output is slow, and what the log
 *        says about lines that were dropped meanwhile.
 */
#include <check.h>
#include <fcntl.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include "log.h"
#include "loop.h"

/* More than the pipe takes at once, so that a write is cut short. */
#define LONG_MESSAGE_BYTES 60000
/* A message is cut at 8192 bytes. */
#define LINE_MAX_BYTES 9000
#define ADDRESS_SPACE_BYTES (64 * 1024 * 1024)
/* More than any machine has. */
#define ALLOCATION_BYTES (1ULL << 50)
#define STEP_MS 1100
#define STEPS 5

/* Virtual time; these definitions replace the clock of the event loop. */
static uint64_t test_now_ms = 1000000;

uint64_t loop_now_ms(void)
{
	return test_now_ms;
}

uint64_t loop_unix_ms(void)
{
	return test_now_ms;
}

static void output_open(int pipe_fds[2], uint32_t lines_per_s)
{
	ck_assert_int_eq(pipe2(pipe_fds, O_NONBLOCK | O_CLOEXEC), 0);
	ck_assert_int_eq(log_install("p", "info"), ERR_NONE);
	log_set_output(pipe_fds[1], lines_per_s);
}

/* Reads all that the pipe holds. */
static GString *output_read(int fd)
{
	GString *text = g_string_new(NULL);
	char chunk[4096];
	ssize_t count;

	while ((count = read(fd, chunk, sizeof(chunk))) > 0)
		g_string_append_len(text, chunk, count);
	return text;
}

/* Counts the lines that are JSON and adds up the dropped lines that they
 * report. */
static uint32_t lines_parse(const GString *text, uint64_t *reported)
{
	g_auto(GStrv) lines = g_strsplit(text->str, "\n", -1);
	uint32_t whole = 0;

	for (char **line = lines; *line; line++) {
		json_t *json = json_loads(*line, 0, NULL);

		if (!json)
			continue;
		whole++;
		*reported += (uint64_t)json_integer_value(
			json_object_get(json, "lines"));
		json_decref(json);
	}
	return whole;
}

/* Logs until a line is dropped. */
static void output_fill(void)
{
	uint64_t dropped = log_dropped_count();

	while (log_dropped_count() == dropped)
		log_info("filling", "a line of a few dozen bytes");
}

START_TEST(test_report_of_dropped_lines_is_complete)
{
	static const uint32_t rates[] = { 0, 100000 };
	uint64_t reported = 0;
	GString *text;
	int fds[2];

	output_open(fds, rates[_i]);
	output_fill();
	for (int i = 0; i < STEPS; i++) {
		test_now_ms += STEP_MS;
		log_info("stalled", "a line that nobody can read");
	}
	g_string_free(output_read(fds[0]), TRUE);
	test_now_ms += STEP_MS;
	log_info("resumed", "the reader is back");
	text = output_read(fds[0]);
	ck_assert_uint_eq(lines_parse(text, &reported), 2);
	ck_assert_uint_eq(reported, log_dropped_count());
	g_string_free(text, TRUE);
}
END_TEST

START_TEST(test_line_after_one_cut_short_is_whole)
{
	g_autofree char *message = g_strnfill(LONG_MESSAGE_BYTES, 'x');
	uint64_t reported = 0;
	GString *text;
	int fds[2];

	output_open(fds, 0);
	while (log_dropped_count() == 0)
		log_info("long", "%s", message);
	ck_assert_uint_eq(log_dropped_count(), 1);
	text = output_read(fds[0]);
	log_info("after", "a short line");
	g_string_free(text, TRUE);
	text = output_read(fds[0]);
	ck_assert_uint_eq(lines_parse(text, &reported), 2);
	ck_assert_uint_eq(reported, 1);
	ck_assert_int_eq(text->str[0], '\n');
	g_string_free(text, TRUE);
}
END_TEST

START_TEST(test_message_of_any_length_and_bytes_is_logged)
{
	g_autofree char *message = g_strnfill(LONG_MESSAGE_BYTES, 'x');
	json_error_t error;
	json_t *json;
	GString *text;
	int fds[2];

	output_open(fds, 0);
	log_info("long", "start %s", message);
	text = output_read(fds[0]);
	ck_assert_uint_le(text->len, LINE_MAX_BYTES);
	ck_assert_ptr_nonnull(strstr(text->str, "start xxx"));
	ck_assert_ptr_nonnull(strstr(text->str, "60006 bytes"));
	g_string_free(text, TRUE);
	log_info("bytes", "path /\xff\xfe/a%sb", "\x80");
	text = output_read(fds[0]);
	json = json_loads(text->str, 0, &error);
	ck_assert_ptr_nonnull(json);
	ck_assert_ptr_nonnull(strstr(text->str, "path /"));
	json_decref(json);
	g_string_free(text, TRUE);
}
END_TEST

START_TEST(test_output_without_a_reader_only_drops_lines)
{
	int fds[2];

	output_open(fds, 0);
	signal(SIGPIPE, SIG_IGN);
	close(fds[0]);
	log_info("unread", "nobody can read this line");
	ck_assert_uint_ge(log_dropped_count(), 1);
}
END_TEST

#ifndef __SANITIZE_ADDRESS__
/* Allocates all memory below the limit, down to the smallest block. */
static void memory_exhaust(void)
{
	const struct rlimit limit = { ADDRESS_SPACE_BYTES,
				      ADDRESS_SPACE_BYTES };

	ck_assert_int_eq(setrlimit(RLIMIT_AS, &limit), 0);
	for (size_t size = ADDRESS_SPACE_BYTES; size > 0; size /= 2) {
		while (malloc(size))
			;
	}
}

START_TEST(test_allocation_failure_ends_with_a_line)
{
	static const bool exhausted[] = { false, true };
	struct rlimit no_core = { 0 };
	GString *text;
	int fds[2];
	int status;
	pid_t pid;

	output_open(fds, 0);
	log_info("started", "the writer has been used before");
	setrlimit(RLIMIT_CORE, &no_core);
	pid = fork();
	if (pid == 0) {
		dup2(fds[1], STDERR_FILENO);
		if (exhausted[_i])
			memory_exhaust();
		for (;;)
			log_info("allocated", "%p", g_malloc(ALLOCATION_BYTES));
	}
	ck_assert_int_eq(waitpid(pid, &status, 0), pid);
	text = output_read(fds[0]);
	ck_assert(WIFSIGNALED(status));
	ck_assert_int_ne(WTERMSIG(status), SIGSEGV);
	ck_assert_msg(strstr(text->str, "failed to allocate"), "found: %s",
		      text->str);
	g_string_free(text, TRUE);
}
END_TEST
#endif

int main(void)
{
	Suite *suite = suite_create("log");
	TCase *tests = tcase_create("log");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_loop_test(tests, test_report_of_dropped_lines_is_complete, 0,
			    2);
	tcase_add_test(tests, test_line_after_one_cut_short_is_whole);
	tcase_add_test(tests, test_message_of_any_length_and_bytes_is_logged);
	tcase_add_test(tests, test_output_without_a_reader_only_drops_lines);
#ifndef __SANITIZE_ADDRESS__
	/* AddressSanitizer's allocator ends the process itself. */
	tcase_add_loop_test(tests, test_allocation_failure_ends_with_a_line, 0,
			    2);
#endif
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
