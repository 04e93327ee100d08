/**
 * @file log.h
 * @brief GLib structured logging written as JSON lines.
 *
 * Prefix: log_. Each line has ts (RFC 3339, UTC), steady_ms
 * (time since boot, which does not jump), level, message and the
 * structured fields given in lower case.
 */
#ifndef LOG_H
#define LOG_H

#include <glib.h>
#include <stdint.h>

#include "err.h"

/**
 * @brief Installs the writer. Called once, before other threads exist.
 * @param process name written into each line; copied
 * @param level least important level written: error, warning, info, debug
 * @return ERR_NONE, or ERR_INVALID for an unknown level
 */
enum err_kind log_install(const char *process, const char *level);

/**
 * @brief Writes the lines to a descriptor from here on, without ever waiting.
 *
 * Lines that are not warnings are bounded to a number a second; those that the
 * bound or a full descriptor holds back are counted and told in a line of their
 * own.
 *
 * @param fd made non-blocking
 * @param lines_per_s bound, 0 for none
 */
void log_set_output(int fd, uint32_t lines_per_s);

/** @brief Returns how many lines have been held back. */
uint64_t log_dropped_count(void);

/** Writes one line with an event name and printf-style text fields. */
#define log_info(event, ...)                                                   \
	g_log_structured("sassafrascart", G_LOG_LEVEL_INFO, "EVENT", event,    \
			 "MESSAGE", __VA_ARGS__)
/** As log_info(), at level warning. */
#define log_warning(event, ...)                                                \
	g_log_structured("sassafrascart", G_LOG_LEVEL_WARNING, "EVENT", event, \
			 "MESSAGE", __VA_ARGS__)
/** As log_info(), at level debug. */
#define log_debug(event, ...)                                                  \
	g_log_structured("sassafrascart", G_LOG_LEVEL_DEBUG, "EVENT", event,   \
			 "MESSAGE", __VA_ARGS__)

#endif
