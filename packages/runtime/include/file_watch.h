/**
 * @file file_watch.h
 * @brief Reads files again once they were changed, replaced, created or
 * removed, and on request, without holding up the event loop.
 *
 * Prefix: file_watch_. The files are looked at periodically, since not every
 * platform offers inotify. They are read once they have stayed the same for one
 * period, so that a file is rarely read half written.
 *
 * A thread does nothing but look at the files and read them, since a file
 * system may not answer. It inherits the signal mask of its creator, which must
 * have called loop_signals_block(). All callbacks run in the loop's thread.
 */
#ifndef FILE_WATCH_H
#define FILE_WATCH_H

#include "file_read.h"
#include "loop.h"

/** The watch, opaque. */
struct file_watch;

/** Settings of a watch. */
struct file_watch_config {
	/** NULL-terminated list, copied; the files need not exist */
	const char *const *paths;
	/** file operations, used in the thread; valid until the process ends */
	const struct file_read_ops *ops;
	/** size up to which a file is read */
	size_t max_bytes;
	/** interval between two looks at the files */
	uint32_t period_ms;
	/** how long one operation may take before it is reported, which happens
	 *  at the latest after twice that time */
	uint32_t stall_ms;
};

/** Callbacks of a watch. */
struct file_watch_ops {
	/**
	 * Called when the files were read.
	 * @param files one for each path, in that order; the callee may not
	 *        keep them
	 * @param requested whether file_watch_request() asked for the read,
	 *        otherwise a change of the files led to it
	 */
	void (*on_read)(void *data, const struct file_content *files,
			bool requested);
	/** Called once when a file system does not answer. */
	void (*on_stall)(void *data, const char *path);
	/** Called when it has answered after all. */
	void (*on_resume)(void *data, const char *path);
};

/**
 * @brief Starts to watch files; their present state counts as known.
 *
 * Waits for the first look at the files, at most for stall_ms.
 *
 * @param config copied
 * @param ops callbacks, not copied
 * @return the watch, to be freed with file_watch_destroy(); NULL if no thread
 *         or descriptor is available
 */
struct file_watch *file_watch_create(struct loop *loop,
				     const struct file_watch_config *config,
				     const struct file_watch_ops *ops,
				     void *data);

/**
 * @brief Stops watching. A read that does not return is not waited for; its
 * thread ends once it returns.
 * @param watch may be NULL
 */
void file_watch_destroy(struct file_watch *watch);

/**
 * @brief Requests a read of the files; on_read() is called later.
 *
 * Requests made before the read begins are answered together. During a read
 * that does not return, no further read begins.
 */
void file_watch_request(struct file_watch *watch);

#endif
