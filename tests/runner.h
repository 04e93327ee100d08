/**
 * @file runner.h
 * @brief What the parts of the scenario runner share.
 */
#ifndef RUNNER_H
#define RUNNER_H

#include <curl/curl.h>
#include <glib.h>
#include <lua.h>
#include <stdint.h>

/** The state of one scenario's run. */
struct runner {
	/** directory of the programs that it may start */
	const char *bin_dir;
	/** directory of this run's logs */
	const char *dir;
	guint32 seed;
	/** processes started and not yet seen to end */
	GArray *pids;
	/** drives the requests in progress */
	CURLM *multi;
	/** requests by id, until their result is taken */
	GHashTable *exchanges;
	lua_Integer last_exchange;
};

/** @brief Returns the runner to which a Lua state belongs. */
struct runner *runner_from_lua(lua_State *lua);

/** @brief Returns the monotonic clock in milliseconds. */
int64_t runner_clock_ms(void);

/** @brief Reads a field of the verb's argument table as text. */
const char *runner_table_string(lua_State *lua, const char *key,
				const char *fallback);

/** @brief Reads a field of the verb's argument table as a whole number. */
lua_Integer runner_table_integer(lua_State *lua, const char *key,
				 lua_Integer fallback);

#endif
