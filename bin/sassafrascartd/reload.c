#include "reload.h"

#include "counter.h"
#include "file_watch.h"
#include "log.h"

/* Interval between two looks at the settings files. */
#define RELOAD_LOOK_MS 1250
/* How long a file operation may take before it is reported. */
#define RELOAD_STALL_MS 5000

struct reload {
	/* NULL if it could not be created */
	struct file_watch *watch;
	/* number of files */
	size_t file_count;
	uint32_t stall_ms;
	reload_apply_cb apply;
	void *data;
	/* number of the settings in force; those read at the start are 1 */
	uint64_t revision;
	uint64_t succeeded;
	uint64_t failed;
};

static void reload_log(struct reload *reload, const char *cause,
		       const GString *applied, const GString *kept)
{
	if (applied->len > 0)
		reload->revision++;
	log_info("settings-reloaded",
		 "settings read again after %s, revision %" G_GUINT64_FORMAT
		 " is in force: %s",
		 cause, reload->revision,
		 applied->len > 0 ? applied->str : "no change");
	if (kept->len > 0)
		log_warning("settings-need-restart",
			    "these settings stay as they are until the "
			    "process is restarted: %s",
			    kept->str);
}

static void reload_fail(struct reload *reload, const char *cause,
			const char *message)
{
	reload->failed++;
	log_error("settings-reload-failed",
		  "settings read again after %s are not valid, revision "
		  "%" G_GUINT64_FORMAT " stays in force: %s",
		  cause, reload->revision, message);
}

static const GError *read_error(const struct reload *reload,
				const struct file_content *files)
{
	for (size_t i = 0; i < reload->file_count; i++) {
		if (files[i].error)
			return files[i].error;
	}
	return NULL;
}

static void on_read(void *data, const struct file_content *files,
		    bool requested)
{
	struct reload *reload = data;
	const char *cause = requested ? "SIGHUP" : "a change of the file";
	const GError *unread = read_error(reload, files);
	g_autoptr(GString) applied = g_string_new(NULL);
	g_autoptr(GString) kept = g_string_new(NULL);
	g_autoptr(GError) error = NULL;

	if (unread) {
		reload_fail(reload, cause, unread->message);
	} else if (reload->apply(reload->data, files, applied, kept, &error)) {
		reload->succeeded++;
		reload_log(reload, cause, applied, kept);
	} else {
		reload_fail(reload, cause, error->message);
	}
}

static void on_stall(void *data, const char *path)
{
	struct reload *reload = data;

	reload->failed++;
	log_error("settings-file-stalled",
		  "%s: expected an answer of the file system within %u ms, "
		  "found none; revision %" G_GUINT64_FORMAT
		  " stays in force, and no file is read until it answers",
		  path, reload->stall_ms, reload->revision);
}

static void on_resume(void *data, const char *path)
{
	log_info("settings-file-answers", "%s: the file system answers again",
		 path);
}

static const struct file_watch_ops watch_ops = {
	.on_read = on_read,
	.on_stall = on_stall,
	.on_resume = on_resume,
};

struct file_watch_config reload_watch_config(const char *const *paths)
{
	return (struct file_watch_config){
		.paths = paths,
		.ops = &file_read_system_ops,
		.max_bytes = FILE_READ_SETTINGS_MAX_BYTES,
		.period_ms = RELOAD_LOOK_MS,
		.stall_ms = RELOAD_STALL_MS,
	};
}

struct reload *reload_create(struct loop *loop,
			     const struct file_watch_config *config,
			     reload_apply_cb apply, void *data)
{
	struct reload *reload = g_new0(struct reload, 1);

	reload->file_count = g_strv_length((char **)config->paths);
	reload->stall_ms = config->stall_ms;
	reload->apply = apply;
	reload->data = data;
	reload->revision = 1;
	reload->watch = file_watch_create(loop, config, &watch_ops, reload);
	if (!reload->watch)
		log_error("settings-watch-failed",
			  "the settings files cannot be watched: no thread or "
			  "descriptor is available");
	return reload;
}

void reload_destroy(struct reload *reload)
{
	if (!reload)
		return;
	file_watch_destroy(reload->watch);
	g_free(reload);
}

void reload_request(struct reload *reload)
{
	if (reload->watch)
		file_watch_request(reload->watch);
	else
		reload_fail(reload, "SIGHUP", "the files cannot be read");
}

void reload_metrics_append(const struct reload *reload, GString *out)
{
	counter_render_gauge(out, "settings_revision", reload->revision);
	counter_render_gauge(out, "settings_reloads_total{result=\"ok\"}",
			     reload->succeeded);
	counter_render_gauge(out, "settings_reloads_total{result=\"failed\"}",
			     reload->failed);
}
