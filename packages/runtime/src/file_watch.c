#include "file_watch.h"

#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* What identifies a version of a file; all zero if there is no file. */
struct file_version {
	uint64_t device;
	uint64_t inode;
	uint64_t mode;
	/* zero unless the file is a regular one */
	uint64_t size_bytes;
	int64_t modified_s;
	int64_t modified_ns;
};

/*
 * What the loop and the reading thread share. The last of the two to release it
 * frees it, so that the loop's side need not wait for a read.
 */
struct watch_thread {
	/* constant */
	char **paths;
	size_t path_count;
	const struct file_read_ops *ops;
	size_t max_bytes;
	int64_t period_us;

	/* guarded by the mutex, which is not held during file operations */
	GMutex mutex;
	GCond wake;
	/* signalled after the first look */
	GCond first_look;
	bool has_looked;
	/* written to when there is a result; invalid once stopped */
	int event_fd;
	bool stopped;
	bool requested;
	bool working;
	/* number of steps begun, each with the file operations of one path */
	uint64_t steps;
	size_t step_path;
	/* the files as read last, NULL if the loop has taken them */
	struct file_content *result;
	bool result_requested;

	/* used by the thread only: one per path, as reported and as seen */
	struct file_version *known;
	struct file_version *seen;
};

struct file_watch {
	struct loop *loop;
	/* shared with the thread */
	struct watch_thread *shared;
	GThread *thread;
	h2o_socket_t *event_sock;
	struct timer stall_timer;
	uint32_t stall_ms;
	/* number of the step in progress at the last check, 0 for none */
	uint64_t checked_step;
	/* path that was reported as stalled, NULL for none */
	const char *stalled_path;
	const struct file_watch_ops *ops;
	void *data;
};

static struct file_version file_version_read(const struct file_read_ops *ops,
					     const char *path)
{
	struct file_version version = { 0 };
	struct stat status;

	if (ops->stat(path, &status) != 0)
		return version;
	version.device = status.st_dev;
	version.inode = status.st_ino;
	version.mode = status.st_mode;
	/* Writing into a FIFO or a directory is no change of the settings. */
	if (!S_ISREG(status.st_mode))
		return version;
	version.size_bytes = (uint64_t)status.st_size;
	version.modified_s = status.st_mtim.tv_sec;
	version.modified_ns = status.st_mtim.tv_nsec;
	return version;
}

static void files_free(struct file_content *files, size_t count)
{
	for (size_t i = 0; files && i < count; i++)
		file_content_clear(&files[i]);
	g_free(files);
}

static void shared_clear(gpointer data)
{
	struct watch_thread *shared = data;

	files_free(shared->result, shared->path_count);
	g_strfreev(shared->paths);
	g_free(shared->known);
	g_free(shared->seen);
	g_mutex_clear(&shared->mutex);
	g_cond_clear(&shared->wake);
	g_cond_clear(&shared->first_look);
}

static void shared_release(struct watch_thread *shared)
{
	g_atomic_rc_box_release_full(shared, shared_clear);
}

static void step_begin(struct watch_thread *shared, size_t path_index)
{
	g_mutex_lock(&shared->mutex);
	shared->steps++;
	shared->step_path = path_index;
	g_mutex_unlock(&shared->mutex);
}

static void versions_read(struct watch_thread *shared, struct file_version *out)
{
	for (size_t i = 0; i < shared->path_count; i++) {
		step_begin(shared, i);
		out[i] = file_version_read(shared->ops, shared->paths[i]);
	}
}

static bool versions_equal(const struct watch_thread *shared,
			   const struct file_version *a,
			   const struct file_version *b)
{
	return memcmp(a, b, shared->path_count * sizeof(*a)) == 0;
}

static void versions_copy(const struct watch_thread *shared,
			  struct file_version *to,
			  const struct file_version *from)
{
	memcpy(to, from, shared->path_count * sizeof(*to));
}

static struct file_content *files_read(struct watch_thread *shared)
{
	struct file_content *files =
		g_new0(struct file_content, shared->path_count);

	for (size_t i = 0; i < shared->path_count; i++) {
		step_begin(shared, i);
		files[i].path = shared->paths[i];
		files[i].text = file_read_with_ops(
			shared->ops, files[i].path, shared->max_bytes,
			&files[i].len, &files[i].error);
	}
	return files;
}

/* Returns the files if a read is due, else NULL. */
static struct file_content *look(struct watch_thread *shared, bool requested)
{
	g_autofree struct file_version *now =
		g_new0(struct file_version, shared->path_count);
	bool settled;

	versions_read(shared, now);
	settled = versions_equal(shared, now, shared->seen);
	versions_copy(shared, shared->seen, now);
	if (!requested &&
	    (!settled || versions_equal(shared, now, shared->known)))
		return NULL;
	/* The versions are taken before the files are read: a change during the
	 * read leads to another one. */
	versions_copy(shared, shared->known, now);
	return files_read(shared);
}

static void result_publish(struct watch_thread *shared,
			   struct file_content *files, bool requested)
{
	const uint64_t one = 1;
	bool pending = shared->result != NULL;

	files_free(shared->result, shared->path_count);
	shared->result = files;
	shared->result_requested =
		requested || (pending && shared->result_requested);
	/* A write fails only if the counter is at its limit, and then the loop
	 * is woken anyway. */
	if (!pending &&
	    write(shared->event_fd, &one, sizeof(one)) != sizeof(one))
		return;
}

/* Waits until a look is due or requested; returns false to end the thread. */
static bool look_wait(struct watch_thread *shared, int64_t due_us)
{
	while (!shared->stopped && !shared->requested) {
		if (!g_cond_wait_until(&shared->wake, &shared->mutex, due_us))
			break;
	}
	return !shared->stopped;
}

/* The mutex is held before and after. */
static void first_look(struct watch_thread *shared)
{
	shared->working = true;
	g_mutex_unlock(&shared->mutex);
	versions_read(shared, shared->known);
	versions_copy(shared, shared->seen, shared->known);
	g_mutex_lock(&shared->mutex);
	shared->working = false;
	shared->has_looked = true;
	g_cond_signal(&shared->first_look);
}

static gpointer thread_run(gpointer data)
{
	struct watch_thread *shared = data;
	int64_t due_us = g_get_monotonic_time() + shared->period_us;

	g_mutex_lock(&shared->mutex);
	first_look(shared);
	while (look_wait(shared, due_us)) {
		bool requested = shared->requested;
		struct file_content *files;

		shared->requested = false;
		shared->working = true;
		g_mutex_unlock(&shared->mutex);
		files = look(shared, requested);
		due_us = g_get_monotonic_time() + shared->period_us;
		g_mutex_lock(&shared->mutex);
		shared->working = false;
		if (files && !shared->stopped)
			result_publish(shared, files, requested);
		else
			files_free(files, shared->path_count);
	}
	g_mutex_unlock(&shared->mutex);
	shared_release(shared);
	return NULL;
}

static void on_result(h2o_socket_t *sock, const char *err)
{
	struct file_watch *watch = sock->data;
	struct watch_thread *shared = watch->shared;
	struct file_content *files;
	uint64_t count;
	bool requested;

	if (err)
		return;
	if (read(h2o_socket_get_fd(sock), &count, sizeof(count)) < 0)
		return;
	g_mutex_lock(&shared->mutex);
	files = g_steal_pointer(&shared->result);
	requested = shared->result_requested;
	g_mutex_unlock(&shared->mutex);
	if (files)
		watch->ops->on_read(watch->data, files, requested);
	files_free(files, shared->path_count);
}

static void on_stall_check(void *data)
{
	struct file_watch *watch = data;
	struct watch_thread *shared = watch->shared;
	const char *path;
	uint64_t step;
	bool stalled;

	loop_timer_set(watch->loop, &watch->stall_timer, watch->stall_ms);
	g_mutex_lock(&shared->mutex);
	step = shared->working ? shared->steps : 0;
	path = shared->paths[shared->step_path];
	g_mutex_unlock(&shared->mutex);
	stalled = step != 0 && step == watch->checked_step;
	watch->checked_step = step;
	if (stalled == (watch->stalled_path != NULL))
		return;
	if (stalled) {
		watch->stalled_path = path;
		watch->ops->on_stall(watch->data, path);
		return;
	}
	path = g_steal_pointer(&watch->stalled_path);
	watch->ops->on_resume(watch->data, path);
}

static struct watch_thread *
shared_create(const struct file_watch_config *config, int event_fd)
{
	struct watch_thread *shared = g_atomic_rc_box_new0(struct watch_thread);

	shared->paths = g_strdupv((char **)config->paths);
	shared->path_count = g_strv_length(shared->paths);
	shared->ops = config->ops;
	shared->max_bytes = config->max_bytes;
	shared->period_us = (int64_t)config->period_ms * 1000;
	shared->event_fd = event_fd;
	g_mutex_init(&shared->mutex);
	g_cond_init(&shared->wake);
	g_cond_init(&shared->first_look);
	shared->known = g_new0(struct file_version, shared->path_count);
	shared->seen = g_new0(struct file_version, shared->path_count);
	return shared;
}

/* The state of the files at the return of file_watch_create() counts as known,
 * unless the file system does not answer. */
static void first_look_wait(struct watch_thread *shared, uint32_t timeout_ms)
{
	int64_t until_us = g_get_monotonic_time() + (int64_t)timeout_ms * 1000;

	g_mutex_lock(&shared->mutex);
	while (!shared->has_looked) {
		if (!g_cond_wait_until(&shared->first_look, &shared->mutex,
				       until_us))
			break;
	}
	g_mutex_unlock(&shared->mutex);
}

static void event_listen(struct file_watch *watch, int event_fd)
{
	watch->event_sock = h2o_evloop_socket_create(
		loop_h2o(watch->loop), event_fd, H2O_SOCKET_FLAG_DONT_READ);
	watch->event_sock->data = watch;
	h2o_socket_read_start(watch->event_sock, on_result);
}

struct file_watch *file_watch_create(struct loop *loop,
				     const struct file_watch_config *config,
				     const struct file_watch_ops *ops,
				     void *data)
{
	int event_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	struct file_watch *watch;

	if (event_fd < 0)
		return NULL;
	watch = g_new0(struct file_watch, 1);
	watch->loop = loop;
	watch->stall_ms = config->stall_ms;
	watch->ops = ops;
	watch->data = data;
	watch->shared = shared_create(config, event_fd);
	watch->thread =
		g_thread_try_new("file-watch", thread_run,
				 g_atomic_rc_box_acquire(watch->shared), NULL);
	if (!watch->thread) {
		shared_release(watch->shared);
		shared_release(watch->shared);
		close(event_fd);
		g_free(watch);
		return NULL;
	}
	event_listen(watch, event_fd);
	first_look_wait(watch->shared, config->stall_ms);
	watch->stall_timer.cb = on_stall_check;
	watch->stall_timer.data = watch;
	loop_timer_set(loop, &watch->stall_timer, watch->stall_ms);
	return watch;
}

void file_watch_destroy(struct file_watch *watch)
{
	struct watch_thread *shared;
	bool working;

	if (!watch)
		return;
	shared = watch->shared;
	g_mutex_lock(&shared->mutex);
	/* From here on the thread begins no look. */
	shared->stopped = true;
	working = shared->working;
	g_cond_signal(&shared->wake);
	g_mutex_unlock(&shared->mutex);
	if (working)
		g_thread_unref(watch->thread);
	else
		g_thread_join(watch->thread);
	timer_cancel(&watch->stall_timer);
	h2o_socket_close(watch->event_sock);
	shared_release(shared);
	g_free(watch);
}

void file_watch_request(struct file_watch *watch)
{
	struct watch_thread *shared = watch->shared;

	g_mutex_lock(&shared->mutex);
	shared->requested = true;
	g_cond_signal(&shared->wake);
	g_mutex_unlock(&shared->mutex);
}
