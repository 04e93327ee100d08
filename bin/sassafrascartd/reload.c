#include "reload.h"

#include "counter.h"
#include "file_watch.h"
#include "log.h"

/* Interval between two looks at the settings files. */
#define RELOAD_LOOK_MS 1000

struct reload {
	struct loop *loop;
	struct file_watch *watch;
	/* one for each file */
	struct file_content *files;
	size_t file_count;
	struct timer timer;
	reload_apply_cb apply;
	void *data;
	/* what asked for the next reload */
	const char *cause;
	/* number of the settings in force; those read at the start are 1 */
	uint64_t revision;
	uint64_t succeeded;
	uint64_t failed;
};

static void reload_log(struct reload *reload, const GString *applied,
		       const GString *kept)
{
	if (applied->len > 0)
		reload->revision++;
	log_info("settings-reloaded",
		 "settings read again after %s, revision %" G_GUINT64_FORMAT
		 " is in force: %s",
		 reload->cause, reload->revision,
		 applied->len > 0 ? applied->str : "no change");
	if (kept->len > 0)
		log_warning("settings-need-restart",
			    "these settings stay as they are until the "
			    "process is restarted: %s",
			    kept->str);
}

/* Reads the files; returns whether all of them could be read. */
static bool files_read(struct reload *reload, GError **error)
{
	for (size_t i = 0; i < reload->file_count; i++) {
		struct file_content *file = &reload->files[i];

		file_content_clear(file);
		file->text = file_read(file->path, FILE_READ_SETTINGS_MAX_BYTES,
				       &file->len, error);
		if (!file->text)
			return false;
	}
	return true;
}

static void on_reload_due(void *data)
{
	struct reload *reload = data;
	g_autoptr(GString) applied = g_string_new(NULL);
	g_autoptr(GString) kept = g_string_new(NULL);
	g_autoptr(GError) error = NULL;

	/* The files are marked before they are read: a change during the read
	 * leads to another reload. */
	file_watch_mark_known(reload->watch);
	if (files_read(reload, &error) &&
	    reload->apply(reload->data, reload->files, applied, kept, &error)) {
		reload->succeeded++;
		reload_log(reload, applied, kept);
		return;
	}
	reload->failed++;
	log_error("settings-reload-failed",
		  "settings read again after %s are not valid, revision "
		  "%" G_GUINT64_FORMAT " stays in force: %s",
		  reload->cause, reload->revision, error->message);
}

static void reload_schedule(struct reload *reload, const char *cause)
{
	reload->cause = cause;
	loop_timer_set(reload->loop, &reload->timer, 0);
}

static void on_file_changed(void *data)
{
	reload_schedule(data, "a change of the file");
}

struct reload *reload_create(struct loop *loop, const char *const *paths,
			     reload_apply_cb apply, void *data)
{
	struct reload *reload = g_new0(struct reload, 1);

	reload->file_count = g_strv_length((char **)paths);
	reload->files = g_new0(struct file_content, reload->file_count);
	for (size_t i = 0; i < reload->file_count; i++)
		reload->files[i].path = g_strdup(paths[i]);
	reload->loop = loop;
	reload->apply = apply;
	reload->data = data;
	reload->revision = 1;
	reload->timer.cb = on_reload_due;
	reload->timer.data = reload;
	reload->watch = file_watch_create(loop, paths, RELOAD_LOOK_MS,
					  on_file_changed, reload);
	return reload;
}

void reload_destroy(struct reload *reload)
{
	if (!reload)
		return;
	timer_cancel(&reload->timer);
	file_watch_destroy(reload->watch);
	for (size_t i = 0; i < reload->file_count; i++) {
		g_free((char *)reload->files[i].path);
		file_content_clear(&reload->files[i]);
	}
	g_free(reload->files);
	g_free(reload);
}

void reload_request(struct reload *reload)
{
	reload_schedule(reload, "SIGHUP");
}

void reload_metrics_append(const struct reload *reload, GString *out)
{
	counter_render_gauge(out, "settings_revision", reload->revision);
	counter_render_gauge(out, "settings_reloads_total{result=\"ok\"}",
			     reload->succeeded);
	counter_render_gauge(out, "settings_reloads_total{result=\"failed\"}",
			     reload->failed);
}
