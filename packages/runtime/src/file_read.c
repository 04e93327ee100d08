#include "file_read.h"

#include <errno.h>
#include <fcntl.h>
#include <stdbool.h>
#include <stdint.h>
#include <unistd.h>

#include "err.h"

/* The wrappers select the functions' variants for large files. */
static int system_stat(const char *path, struct stat *out)
{
	return stat(path, out);
}

static int system_open(const char *path, int flags)
{
	return open(path, flags);
}

static int system_fstat(int fd, struct stat *out)
{
	return fstat(fd, out);
}

const struct file_read_ops file_read_system_ops = {
	.stat = system_stat,
	.open = system_open,
	.fstat = system_fstat,
	.read = read,
	.close = close,
};

GQuark file_read_error_quark(void)
{
	return g_quark_from_static_string("file-read");
}

static bool errno_fail(const char *path, GError **error)
{
	int code = errno == ENOENT || errno == ENOTDIR ? ERR_NOT_FOUND : ERR_IO;

	g_set_error(error, file_read_error_quark(), code,
		    "%s: expected a readable file, found: %s", path,
		    g_strerror(errno));
	return false;
}

static bool size_fail(const char *path, size_t max_bytes, GError **error)
{
	g_set_error(error, file_read_error_quark(), ERR_TOO_LARGE,
		    "%s: expected at most %" G_GSIZE_FORMAT
		    " bytes, found more than %" G_GSIZE_FORMAT " bytes",
		    path, max_bytes, max_bytes);
	return false;
}

static const char *type_name(mode_t mode)
{
	switch (mode & S_IFMT) {
	case S_IFIFO:
		return "a FIFO";
	case S_IFDIR:
		return "a directory";
	case S_IFCHR:
		return "a character device";
	case S_IFBLK:
		return "a block device";
	case S_IFSOCK:
		return "a socket";
	}
	return "a file of another type";
}

static bool status_check(const char *path, const struct stat *status,
			 size_t max_bytes, GError **error)
{
	if (!S_ISREG(status->st_mode)) {
		g_set_error(error, file_read_error_quark(), ERR_IO,
			    "%s: expected a regular file, found %s", path,
			    type_name(status->st_mode));
		return false;
	}
	if (status->st_size > 0 && (uint64_t)status->st_size > max_bytes)
		return size_fail(path, max_bytes, error);
	return true;
}

/* Reads up to len bytes; returns how many were read, or -1. */
static ssize_t bytes_read(const struct file_read_ops *ops, int fd, char *buffer,
			  size_t len)
{
	size_t total = 0;

	while (total < len) {
		ssize_t count = ops->read(fd, buffer + total, len - total);

		if (count < 0 && errno == EINTR)
			continue;
		if (count < 0)
			return -1;
		if (count == 0)
			break;
		total += (size_t)count;
	}
	return (ssize_t)total;
}

/* The size may have changed since the check, so one byte above the bound is
 * asked for. */
static char *text_read(const struct file_read_ops *ops, int fd,
		       const char *path, size_t max_bytes, size_t *len,
		       GError **error)
{
	g_autofree char *text = g_malloc(max_bytes + 2);
	ssize_t count = bytes_read(ops, fd, text, max_bytes + 1);

	if (count < 0) {
		errno_fail(path, error);
		return NULL;
	}
	if ((size_t)count > max_bytes) {
		size_fail(path, max_bytes, error);
		return NULL;
	}
	text[count] = '\0';
	if (len)
		*len = (size_t)count;
	return g_realloc(g_steal_pointer(&text), (size_t)count + 1);
}

static char *descriptor_read(const struct file_read_ops *ops, int fd,
			     const char *path, size_t max_bytes, size_t *len,
			     GError **error)
{
	struct stat status;

	if (ops->fstat(fd, &status) != 0) {
		errno_fail(path, error);
		return NULL;
	}
	if (!status_check(path, &status, max_bytes, error))
		return NULL;
	return text_read(ops, fd, path, max_bytes, len, error);
}

char *file_read_with_ops(const struct file_read_ops *ops, const char *path,
			 size_t max_bytes, size_t *len, GError **error)
{
	struct stat status;
	char *text;
	int fd;

	/* Opening a device can have side effects. */
	if (ops->stat(path, &status) != 0) {
		errno_fail(path, error);
		return NULL;
	}
	if (!status_check(path, &status, max_bytes, error))
		return NULL;
	fd = ops->open(path, O_RDONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
	if (fd < 0) {
		errno_fail(path, error);
		return NULL;
	}
	text = descriptor_read(ops, fd, path, max_bytes, len, error);
	ops->close(fd);
	return text;
}

/* A read in a thread of its own; the last of the two threads frees it. */
struct read_task {
	/* constant */
	const struct file_read_ops *ops;
	char *path;
	size_t max_bytes;

	/* guarded by the mutex */
	GMutex mutex;
	GCond finished;
	bool is_finished;
	struct file_content content;
};

static void task_clear(gpointer data)
{
	struct read_task *task = data;

	file_content_clear(&task->content);
	g_free(task->path);
	g_mutex_clear(&task->mutex);
	g_cond_clear(&task->finished);
}

static void task_release(struct read_task *task)
{
	g_atomic_rc_box_release_full(task, task_clear);
}

static gpointer task_run(gpointer data)
{
	struct read_task *task = data;
	struct file_content content = { 0 };

	content.text =
		file_read_with_ops(task->ops, task->path, task->max_bytes,
				   &content.len, &content.error);
	g_mutex_lock(&task->mutex);
	task->content = content;
	task->is_finished = true;
	g_cond_signal(&task->finished);
	g_mutex_unlock(&task->mutex);
	task_release(task);
	return NULL;
}

static struct read_task *task_create(const struct file_read_ops *ops,
				     const char *path, size_t max_bytes)
{
	struct read_task *task = g_atomic_rc_box_new0(struct read_task);

	task->ops = ops;
	task->path = g_strdup(path);
	task->max_bytes = max_bytes;
	g_mutex_init(&task->mutex);
	g_cond_init(&task->finished);
	return task;
}

/* Takes the result of a task; returns false if there is none in time. */
static bool task_wait(struct read_task *task, uint32_t timeout_ms,
		      struct file_content *out)
{
	int64_t until_us = g_get_monotonic_time() + (int64_t)timeout_ms * 1000;
	bool finished;

	g_mutex_lock(&task->mutex);
	while (!task->is_finished) {
		if (!g_cond_wait_until(&task->finished, &task->mutex, until_us))
			break;
	}
	finished = task->is_finished;
	if (finished) {
		*out = task->content;
		task->content = (struct file_content){ 0 };
	}
	g_mutex_unlock(&task->mutex);
	return finished;
}

char *file_read_within(const struct file_read_ops *ops, const char *path,
		       size_t max_bytes, uint32_t timeout_ms, size_t *len,
		       GError **error)
{
	struct read_task *task = task_create(ops, path, max_bytes);
	GThread *thread = g_thread_try_new(
		"file-read", task_run, g_atomic_rc_box_acquire(task), error);
	struct file_content content = { 0 };

	if (!thread) {
		g_prefix_error(error, "%s: ", path);
		task_release(task);
		task_release(task);
		return NULL;
	}
	if (task_wait(task, timeout_ms, &content)) {
		g_thread_join(thread);
	} else {
		g_thread_unref(thread);
		g_set_error(&content.error, file_read_error_quark(), ERR_IO,
			    "%s: expected an answer of the file system within "
			    "%u ms, found none",
			    path, timeout_ms);
	}
	task_release(task);
	if (content.error)
		g_propagate_error(error, content.error);
	else if (len)
		*len = content.len;
	return content.text;
}

char *file_read(const char *path, size_t max_bytes, size_t *len, GError **error)
{
	return file_read_within(&file_read_system_ops, path, max_bytes,
				FILE_READ_TIMEOUT_MS, len, error);
}

void file_content_clear(struct file_content *content)
{
	g_clear_pointer(&content->text, g_free);
	g_clear_error(&content->error);
	content->len = 0;
}
