/**
 * @file log.h
 * @brief Structured logging: one JSON object per line, through GLib.
 *
 * Prefix: log_. Each line has ts (RFC 3339, UTC), steady_ms (time since boot,
 * which does not jump), level, process, event, message and further fields, with
 * their keys in lower case.
 */
#ifndef LOG_H
#define LOG_H

#include <glib.h>
#include <stdint.h>

#include "err.h"

/**
 * @brief Opens /dev/null as each standard descriptor that is closed, so that no
 *        socket takes its number and receives log lines or error messages.
 *
 * To be called before any other descriptor is opened.
 */
void log_standard_descriptors_open(void);

/**
 * @brief Installs the log writer of the process. Called once, before other
 *        threads exist.
 * @param process name written into each line; copied
 * @param level lowest level written: error, warning, info, debug
 * @return ERR_NONE, or ERR_INVALID for an unknown level
 */
enum err_kind log_install(const char *process, const char *level);

/**
 * @brief Directs the log to a descriptor, with non-blocking writes and a rate
 *        limit.
 *
 * The limit applies to levels below warning. Lines dropped by the limit or
 * because the descriptor is full are counted, and the count is logged.
 *
 * @param fd made non-blocking
 * @param lines_per_s rate limit, 0 for none
 */
void log_set_output(int fd, uint32_t lines_per_s);

/** @brief Returns how many lines have been dropped. */
uint64_t log_dropped_count(void);

/** Logs an event with a printf-style message at level info. */
#define log_info(event, ...)                                                   \
	g_log_structured("sassafrascart", G_LOG_LEVEL_INFO, "EVENT", event,    \
			 "MESSAGE", __VA_ARGS__)
/** Logs an event with a printf-style message at level error. GLib ends the
 *  process on its own level of that name, so its critical level is used. */
#define log_error(event, ...)                                                  \
	g_log_structured("sassafrascart", G_LOG_LEVEL_CRITICAL, "EVENT",       \
			 event, "MESSAGE", __VA_ARGS__)
/** Logs an event with a printf-style message at level warning. */
#define log_warning(event, ...)                                                \
	g_log_structured("sassafrascart", G_LOG_LEVEL_WARNING, "EVENT", event, \
			 "MESSAGE", __VA_ARGS__)
/** Logs an event with a printf-style message at level debug. */
#define log_debug(event, ...)                                                  \
	g_log_structured("sassafrascart", G_LOG_LEVEL_DEBUG, "EVENT", event,   \
			 "MESSAGE", __VA_ARGS__)

#endif
