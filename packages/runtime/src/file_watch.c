#include "file_watch.h"

#include <string.h>
#include <sys/stat.h>

/* What identifies a version of a file; all zero if there is no file. */
struct file_version {
	uint64_t inode;
	uint64_t size_bytes;
	int64_t modified_s;
	int64_t modified_ns;
};

struct file_watch {
	struct loop *loop;
	char **paths;
	size_t path_count;
	/* one per path: as last reported, and as last seen */
	struct file_version *known;
	struct file_version *seen;
	uint32_t period_ms;
	file_watch_cb cb;
	void *data;
	struct timer timer;
};

static struct file_version file_version_read(const char *path)
{
	struct file_version version = { 0 };
	struct stat status;

	if (stat(path, &status) != 0)
		return version;
	version.inode = status.st_ino;
	version.size_bytes = (uint64_t)status.st_size;
	version.modified_s = status.st_mtim.tv_sec;
	version.modified_ns = status.st_mtim.tv_nsec;
	return version;
}

static void versions_read(const struct file_watch *watch,
			  struct file_version *out)
{
	for (size_t i = 0; i < watch->path_count; i++)
		out[i] = file_version_read(watch->paths[i]);
}

static bool versions_equal(const struct file_watch *watch,
			   const struct file_version *a,
			   const struct file_version *b)
{
	return memcmp(a, b, watch->path_count * sizeof(*a)) == 0;
}

static void versions_copy(const struct file_watch *watch,
			  struct file_version *to,
			  const struct file_version *from)
{
	memcpy(to, from, watch->path_count * sizeof(*to));
}

static void on_look(void *data)
{
	struct file_watch *watch = data;
	g_autofree struct file_version *now =
		g_new0(struct file_version, watch->path_count);
	bool settled;

	loop_timer_set(watch->loop, &watch->timer, watch->period_ms);
	versions_read(watch, now);
	settled = versions_equal(watch, now, watch->seen);
	versions_copy(watch, watch->seen, now);
	if (!settled || versions_equal(watch, now, watch->known))
		return;
	versions_copy(watch, watch->known, now);
	watch->cb(watch->data);
}

struct file_watch *file_watch_create(struct loop *loop,
				     const char *const *paths,
				     uint32_t period_ms, file_watch_cb cb,
				     void *data)
{
	struct file_watch *watch = g_new0(struct file_watch, 1);

	watch->loop = loop;
	watch->paths = g_strdupv((char **)paths);
	watch->path_count = g_strv_length(watch->paths);
	watch->known = g_new0(struct file_version, watch->path_count);
	watch->seen = g_new0(struct file_version, watch->path_count);
	watch->period_ms = period_ms;
	watch->cb = cb;
	watch->data = data;
	watch->timer.cb = on_look;
	watch->timer.data = watch;
	file_watch_mark_known(watch);
	loop_timer_set(loop, &watch->timer, period_ms);
	return watch;
}

void file_watch_destroy(struct file_watch *watch)
{
	if (!watch)
		return;
	timer_cancel(&watch->timer);
	g_strfreev(watch->paths);
	g_free(watch->known);
	g_free(watch->seen);
	g_free(watch);
}

void file_watch_mark_known(struct file_watch *watch)
{
	versions_read(watch, watch->known);
	versions_copy(watch, watch->seen, watch->known);
}
