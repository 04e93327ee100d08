/**
 * @file file_watch.h
 * @brief Notices that files were changed, replaced, created or removed.
 *
 * Prefix: file_watch_. The files are looked at periodically, since not every
 * platform offers inotify. A change is reported once the files have stayed the
 * same for one period, so that a file is rarely read half written.
 */
#ifndef FILE_WATCH_H
#define FILE_WATCH_H

#include "loop.h"

/** The watch, opaque. */
struct file_watch;

/** Called when at least one of the files has changed. */
typedef void (*file_watch_cb)(void *data);

/**
 * @brief Starts to watch files; their present state counts as known.
 * @param paths NULL-terminated list, copied; the files need not exist
 * @param period_ms interval between two looks at the files
 * @return the watch, to be freed with file_watch_destroy()
 */
struct file_watch *file_watch_create(struct loop *loop,
				     const char *const *paths,
				     uint32_t period_ms, file_watch_cb cb,
				     void *data);

/** @brief Stops watching. @param watch may be NULL */
void file_watch_destroy(struct file_watch *watch);

/** @brief Takes the present state of the files as known, as a caller does that
 *  is about to read them for another reason. */
void file_watch_mark_known(struct file_watch *watch);

#endif
