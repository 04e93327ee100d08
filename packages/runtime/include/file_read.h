/**
 * @file file_read.h
 * @brief Reads small regular files without blocking on anything else.
 *
 * Prefix: file_read_. A path may name a FIFO, a device or a file without end.
 * Only regular files up to a bound are read; for anything else the error says
 * what was found.
 */
#ifndef FILE_READ_H
#define FILE_READ_H

#include <glib.h>
#include <stdint.h>
#include <sys/stat.h>

/** Size in bytes up to which settings files and key files are read. */
#define FILE_READ_SETTINGS_MAX_BYTES 65536u

/** How long file_read() waits for the file system. */
#define FILE_READ_TIMEOUT_MS 5000u

/** The file operations, which a test may replace; each as in POSIX. */
struct file_read_ops {
	int (*stat)(const char *path, struct stat *out);
	int (*open)(const char *path, int flags);
	int (*fstat)(int fd, struct stat *out);
	ssize_t (*read)(int fd, void *buffer, size_t len);
	int (*close)(int fd);
};

/** The operations of the system. */
extern const struct file_read_ops file_read_system_ops;

/** What was read from a file. */
struct file_content {
	/** owned by the creator of the content */
	const char *path;
	/** the bytes and a NUL after them; NULL on failure */
	char *text;
	/** size of text in bytes, without the NUL */
	size_t len;
	/** set on failure */
	GError *error;
};

/** @brief Domain of the errors of this module; the codes are of err_kind. */
GQuark file_read_error_quark(void);

/**
 * @brief Reads a regular file.
 * @param ops file operations
 * @param path file to read; symbolic links are followed
 * @param max_bytes largest size that is accepted
 * @param len receives the size of the result in bytes, may be NULL
 * @param error set on failure; names the file and what was found. The code is
 *        ERR_NOT_FOUND, ERR_TOO_LARGE, or ERR_IO for anything else
 * @return the bytes and a NUL after them, to be freed with g_free(), or NULL
 */
char *file_read_with_ops(const struct file_read_ops *ops, const char *path,
			 size_t max_bytes, size_t *len, GError **error);

/**
 * @brief Reads a regular file as file_read_with_ops() does, in a thread of its
 * own that is waited for at most for a time.
 *
 * A thread whose file system does not answer is left behind; it ends once the
 * file system answers, or with the process.
 *
 * @param ops file operations, valid until the process ends
 * @param timeout_ms the time; after that the error's code is ERR_IO
 */
char *file_read_within(const struct file_read_ops *ops, const char *path,
		       size_t max_bytes, uint32_t timeout_ms, size_t *len,
		       GError **error);

/** @brief Calls file_read_within() with the operations of the system and
 *  FILE_READ_TIMEOUT_MS. */
char *file_read(const char *path, size_t max_bytes, size_t *len,
		GError **error);

/** @brief Frees the text and the error of a content, and zeroes them. */
void file_content_clear(struct file_content *content);

#endif
