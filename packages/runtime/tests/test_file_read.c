/**
 * @file test_file_read.c
 * @brief Only regular files up to a bound are read; for anything else the error
 * says what was found, and nothing blocks.
 */
#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include "err.h"
#include "file_read.h"

#define MAX_BYTES 8
#define TIMEOUT_MS 50
#define LONG_TIMEOUT_MS 20000

struct probe {
	char *directory;
	char *path;
};

static void probe_open(struct probe *probe)
{
	probe->directory = g_dir_make_tmp("file-read-XXXXXX", NULL);
	probe->path = g_build_filename(probe->directory, "settings", NULL);
}

static void probe_close(struct probe *probe)
{
	g_unlink(probe->path);
	g_rmdir(probe->directory);
	g_free(probe->path);
	g_free(probe->directory);
}

static void assert_refused_with_ops(const struct file_read_ops *ops,
				    const char *path, enum err_kind kind,
				    const char *found)
{
	GError *error = NULL;
	size_t len = 0;

	ck_assert_ptr_null(
		file_read_with_ops(ops, path, MAX_BYTES, &len, &error));
	ck_assert_ptr_nonnull(error);
	ck_assert_uint_eq(error->domain, file_read_error_quark());
	ck_assert_int_eq(error->code, kind);
	ck_assert_msg(strstr(error->message, path) != NULL, "%s",
		      error->message);
	ck_assert_msg(strstr(error->message, found) != NULL, "%s",
		      error->message);
	g_error_free(error);
}

static void assert_refused(const char *path, enum err_kind kind,
			   const char *found)
{
	assert_refused_with_ops(&file_read_system_ops, path, kind, found);
}

static void assert_read(const char *path, const char *content, size_t len)
{
	size_t found_len = 0;
	g_autofree char *text = file_read(path, MAX_BYTES, &found_len, NULL);

	ck_assert_ptr_nonnull(text);
	ck_assert_uint_eq(found_len, len);
	ck_assert_mem_eq(text, content, len + 1);
}

START_TEST(test_regular_files_are_read_up_to_the_bound)
{
	struct probe probe;

	probe_open(&probe);
	ck_assert(g_file_set_contents(probe.path, "", 0, NULL));
	assert_read(probe.path, "", 0);
	ck_assert(g_file_set_contents(probe.path, "a\0b=12\n", 7, NULL));
	assert_read(probe.path, "a\0b=12\n", 7);
	ck_assert(g_file_set_contents(probe.path, "abcdefgh", 8, NULL));
	assert_read(probe.path, "abcdefgh", 8);
	ck_assert(g_file_set_contents(probe.path, "abcdefghi", 9, NULL));
	assert_refused(probe.path, ERR_TOO_LARGE, "more than 8 bytes");
	probe_close(&probe);
}
END_TEST

START_TEST(test_link_to_a_regular_file_is_followed)
{
	struct probe probe;
	g_autofree char *target = NULL;

	probe_open(&probe);
	target = g_build_filename(probe.directory, "target", NULL);
	ck_assert_int_eq(symlink(target, probe.path), 0);
	assert_refused(probe.path, ERR_NOT_FOUND, "No such file");
	ck_assert(g_file_set_contents(target, "a=1\n", -1, NULL));
	assert_read(probe.path, "a=1\n", 4);
	g_unlink(target);
	probe_close(&probe);
}
END_TEST

static int socket_bind(const char *path)
{
	struct sockaddr_un addr = { .sun_family = AF_UNIX };
	int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_strlcpy(addr.sun_path, path, sizeof(addr.sun_path));
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	return fd;
}

START_TEST(test_other_kinds_of_files_are_named)
{
	struct probe probe;
	int fd;

	probe_open(&probe);
	assert_refused(probe.path, ERR_NOT_FOUND, "No such file");
	ck_assert_int_eq(mkfifo(probe.path, 0600), 0);
	assert_refused(probe.path, ERR_IO, "found a FIFO");
	g_unlink(probe.path);
	fd = socket_bind(probe.path);
	assert_refused(probe.path, ERR_IO, "found a socket");
	close(fd);
	assert_refused(probe.directory, ERR_IO, "found a directory");
	assert_refused("/dev/zero", ERR_IO, "found a character device");
	g_unlink(probe.path);
	ck_assert_int_eq(symlink(probe.path, probe.path), 0);
	assert_refused(probe.path, ERR_IO, "symbolic links");
	probe_close(&probe);
}
END_TEST

START_TEST(test_fifo_with_a_writer_is_not_read)
{
	struct probe probe;
	int fd;

	probe_open(&probe);
	ck_assert_int_eq(mkfifo(probe.path, 0600), 0);
	fd = open(probe.path, O_RDWR | O_NONBLOCK | O_CLOEXEC);
	ck_assert_int_eq(write(fd, "a=1\n", 4), 4);
	assert_refused(probe.path, ERR_IO, "found a FIFO");
	close(fd);
	probe_close(&probe);
}
END_TEST

static int open_refuse(const char *path, int flags)
{
	errno = EMFILE;
	return -1;
}

static int stat_regular(const char *path, struct stat *out)
{
	*out = (struct stat){ .st_mode = S_IFREG };
	return 0;
}

static int open_nonblocking(const char *path, int flags)
{
	ck_assert_int_ne(flags & O_NONBLOCK, 0);
	ck_assert_int_ne(flags & O_CLOEXEC, 0);
	ck_assert_int_ne(flags & O_NOCTTY, 0);
	return open(path, flags);
}

/* The path may be replaced between the first look and the open. */
START_TEST(test_file_replaced_before_the_open_is_checked_again)
{
	struct file_read_ops ops = file_read_system_ops;
	struct probe probe;

	probe_open(&probe);
	ops.stat = stat_regular;
	ops.open = open_nonblocking;
	ck_assert_int_eq(mkfifo(probe.path, 0600), 0);
	assert_refused_with_ops(&ops, probe.path, ERR_IO, "found a FIFO");
	assert_refused_with_ops(&ops, "/dev/zero", ERR_IO,
				"found a character device");
	ops.open = open_refuse;
	assert_refused_with_ops(&ops, probe.path, ERR_IO,
				"Too many open files");
	probe_close(&probe);
}
END_TEST

static int fstat_empty(int fd, struct stat *out)
{
	*out = (struct stat){ .st_mode = S_IFREG };
	return 0;
}

static ssize_t read_interrupted(int fd, void *buffer, size_t len)
{
	if (lseek(fd, 0, SEEK_CUR) == 0) {
		lseek(fd, 1, SEEK_SET);
		errno = EINTR;
		return -1;
	}
	return read(fd, buffer, MIN(len, 2));
}

static ssize_t read_fail(int fd, void *buffer, size_t len)
{
	errno = EIO;
	return -1;
}

/* A file may grow after its size was checked. */
START_TEST(test_reading_stops_at_the_bound)
{
	struct file_read_ops ops = file_read_system_ops;
	struct probe probe;
	g_autofree char *text = NULL;

	probe_open(&probe);
	ck_assert(g_file_set_contents(probe.path, "abcdefghijklm", -1, NULL));
	ops.stat = stat_regular;
	ops.fstat = fstat_empty;
	assert_refused_with_ops(&ops, probe.path, ERR_TOO_LARGE,
				"more than 8 bytes");
	ops.read = read_fail;
	assert_refused_with_ops(&ops, probe.path, ERR_IO, "Input/output error");
	ops.read = read_interrupted;
	ck_assert(g_file_set_contents(probe.path, "xabcdefg", -1, NULL));
	text = file_read_with_ops(&ops, probe.path, MAX_BYTES, NULL, NULL);
	ck_assert_str_eq(text, "abcdefg");
	probe_close(&probe);
}
END_TEST

/* Operations that wait while the gate is closed. */
static GMutex gate_mutex;
static GCond gate_opened;
static bool gate_closed;

static void gate_set(bool closed)
{
	g_mutex_lock(&gate_mutex);
	gate_closed = closed;
	g_cond_broadcast(&gate_opened);
	g_mutex_unlock(&gate_mutex);
}

static void gate_pass(void)
{
	g_mutex_lock(&gate_mutex);
	while (gate_closed)
		g_cond_wait(&gate_opened, &gate_mutex);
	g_mutex_unlock(&gate_mutex);
}

static int gate_stat(const char *path, struct stat *out)
{
	gate_pass();
	return stat(path, out);
}

static int gate_open(const char *path, int flags)
{
	gate_pass();
	return open(path, flags);
}

static ssize_t gate_read(int fd, void *buffer, size_t len)
{
	gate_pass();
	return read(fd, buffer, len);
}

/* Which operation does not return; the table outlives the threads. */
static struct file_read_ops gate_ops[3];

static const struct file_read_ops *gate_ops_create(int operation)
{
	struct file_read_ops *ops = &gate_ops[operation];

	*ops = file_read_system_ops;
	if (operation == 0)
		ops->stat = gate_stat;
	else if (operation == 1)
		ops->open = gate_open;
	else
		ops->read = gate_read;
	return ops;
}

static void assert_times_out(const struct file_read_ops *ops, const char *path)
{
	GError *error = NULL;

	ck_assert_ptr_null(file_read_within(ops, path, MAX_BYTES, TIMEOUT_MS,
					    NULL, &error));
	ck_assert_int_eq(error->code, ERR_IO);
	ck_assert_ptr_nonnull(strstr(error->message, path));
	ck_assert_ptr_nonnull(strstr(error->message, "within 50 ms"));
	g_error_free(error);
}

START_TEST(test_hung_file_system_is_given_up)
{
	const struct file_read_ops *ops = gate_ops_create(_i);
	struct probe probe;
	char *text;

	probe_open(&probe);
	ck_assert(g_file_set_contents(probe.path, "a=1\n", -1, NULL));
	gate_set(true);
	assert_times_out(ops, probe.path);
	gate_set(false);
	text = file_read_within(ops, probe.path, MAX_BYTES, LONG_TIMEOUT_MS,
				NULL, NULL);
	ck_assert_str_eq(text, "a=1\n");
	g_free(text);
	/* The first thread ends too, and a leak checker finds nothing. */
	g_usleep(TIMEOUT_MS * 1000);
	probe_close(&probe);
}
END_TEST

START_TEST(test_process_ends_while_a_file_system_hangs)
{
	const struct file_read_ops *ops = gate_ops_create(_i);
	struct probe probe;

	probe_open(&probe);
	ck_assert(g_file_set_contents(probe.path, "a=1\n", -1, NULL));
	gate_set(true);
	assert_times_out(ops, probe.path);
	probe_close(&probe);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("file_read");
	TCase *tests = tcase_create("file_read");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tests, test_regular_files_are_read_up_to_the_bound);
	tcase_add_test(tests, test_link_to_a_regular_file_is_followed);
	tcase_add_test(tests, test_other_kinds_of_files_are_named);
	tcase_add_test(tests, test_fifo_with_a_writer_is_not_read);
	tcase_add_test(tests,
		       test_file_replaced_before_the_open_is_checked_again);
	tcase_add_test(tests, test_reading_stops_at_the_bound);
	tcase_add_loop_test(tests, test_hung_file_system_is_given_up, 0,
			    G_N_ELEMENTS(gate_ops));
	tcase_add_loop_test(tests, test_process_ends_while_a_file_system_hangs,
			    0, G_N_ELEMENTS(gate_ops));
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
