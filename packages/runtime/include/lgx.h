/**
 * @file lgx.h
 * @brief GLib structured logging written as JSON lines to standard error.
 *
 * Prefix: lgx_. Each line has ts (RFC 3339, UTC), steady_ms
 * (time since boot, which does not jump), level, message and the
 * structured fields given in lower case.
 */
#ifndef LGX_H
#define LGX_H

#include <glib.h>

#include "err.h"

/**
 * @brief Installs the writer. Called once, before other threads exist.
 * @param process name written into each line; copied
 * @param level least important level written: error, warning, info, debug
 * @return ERR_NONE, or ERR_INVALID for an unknown level
 */
enum err_kind lgx_install(const char *process, const char *level);

/** Writes one line with an event name and printf-style text fields. */
#define lgx_info(event, ...)                                                   \
	g_log_structured("sassafrascart", G_LOG_LEVEL_INFO, "EVENT", event,    \
			 "MESSAGE", __VA_ARGS__)
/** As lgx_info(), at level warning. */
#define lgx_warning(event, ...)                                                \
	g_log_structured("sassafrascart", G_LOG_LEVEL_WARNING, "EVENT", event, \
			 "MESSAGE", __VA_ARGS__)
/** As lgx_info(), at level debug. */
#define lgx_debug(event, ...)                                                  \
	g_log_structured("sassafrascart", G_LOG_LEVEL_DEBUG, "EVENT", event,   \
			 "MESSAGE", __VA_ARGS__)

#endif
