/**
 * @file runner.h
 * @brief State and argument helpers shared by the Lua bindings of the scenario
 *        runner.
 */
#ifndef RUNNER_H
#define RUNNER_H

#include <curl/curl.h>
#include <glib.h>
#include <lua.h>
#include <stdint.h>

/** State of a scenario run. */
struct runner {
	/** directory of the programs that a scenario may start */
	const char *bin_dir;
	/** directory for the logs and files of the run */
	const char *dir;
	guint32 seed;
	/** arguments of the scenario, ends with NULL */
	char **arguments;
	/** child processes that have not been reaped, of pid_t */
	GArray *pids;
	/** curl handle of all transfers in progress */
	CURLM *multi;
	/** exchange identifier to struct exchange, until its result is read */
	GHashTable *exchanges;
	lua_Integer last_exchange_id;
	/** next port of the block held, and the port after the block; equal
	 *  before the first block is taken */
	uint16_t next_port;
	uint16_t block_end_port;
};

/** @brief Returns the runner that owns a Lua state. */
struct runner *runner_from_lua(lua_State *lua);

/** @brief Returns the time in milliseconds, as steady_ms of the logs. */
int64_t runner_clock_ms(void);

/**
 * @brief Reads a string field of the table that is a binding's first argument.
 * @param fallback returned if the field is absent
 * @return a string owned by Lua; raises a Lua error for another type
 */
const char *runner_table_string(lua_State *lua, const char *key,
				const char *fallback);

/**
 * @brief Reads an integer field of the table that is a binding's first
 * argument.
 * @param fallback returned if the field is absent
 * @return the integer; raises a Lua error for another type
 */
lua_Integer runner_table_integer(lua_State *lua, const char *key,
				 lua_Integer fallback);

#endif
