/**
 * @file reload.h
 * @brief Reads the settings of a running process again, after SIGHUP or when
 * one of its settings files has changed.
 *
 * Prefix: reload_. Requests that come in a burst lead to one reload.
 */
#ifndef RELOAD_H
#define RELOAD_H

#include <glib.h>

#include "file_watch.h"

/** The reloader of a process, opaque. */
struct reload;

/**
 * @brief Checks the settings that were read, then applies what may change.
 * @param files one for each path, in that order, all of them read
 * @param applied receives what was applied, as text; left empty if nothing was
 * @param kept receives what differs but needs a restart
 * @param error set on failure; all settings then stay as they were
 */
typedef bool (*reload_apply_cb)(void *data, const struct file_content *files,
				GString *applied, GString *kept,
				GError **error);

/**
 * @brief Returns how settings files are watched.
 * @param paths NULL-terminated list of files, not copied
 */
struct file_watch_config reload_watch_config(const char *const *paths);

/**
 * @brief Starts to watch the settings files.
 *
 * The files are read outside of the event loop's thread; a file system that
 * does not answer is reported as a failed reload. Files that are not regular or
 * exceed FILE_READ_SETTINGS_MAX_BYTES are refused.
 *
 * @param config from reload_watch_config(), copied
 * @return the reloader, to be freed with reload_destroy()
 */
struct reload *reload_create(struct loop *loop,
			     const struct file_watch_config *config,
			     reload_apply_cb apply, void *data);

/** @brief Stops watching. @param reload may be NULL */
void reload_destroy(struct reload *reload);

/** @brief Requests a reload, which is applied from the event loop. */
void reload_request(struct reload *reload);

/** @brief Appends the metrics of the reloader, one per line. */
void reload_metrics_append(const struct reload *reload, GString *out);

#endif
