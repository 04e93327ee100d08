/**
 * @file runner.c
 * @brief Runs a scenario: a Lua file that starts processes and sends requests.
 *
 * Usage: runner BIN_DIR SCENARIO.lua [SEED [ARGUMENT...]]. Prints one line with
 * PASS or FAIL and exits with 0 only if the scenario raised no error. Processes
 * that the scenario left running are killed. The log directory is kept on
 * failure. A scenario finds the arguments after the seed in the list ARGUMENTS.
 */
#include "runner.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <lauxlib.h>
#include <lualib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "runner_file.h"
#include "runner_http.h"
#include "runner_process.h"
#include "runner_tcp.h"
#include "runner_udp.h"

/*
 * Listening ports are below Linux's ephemeral ports (32768 and up), so that no
 * outgoing connection takes one. They are divided into blocks; a runner hands
 * out ports of blocks that it holds, so runners in parallel never share one.
 */
#define PORT_FIRST 10000
#define PORT_BLOCK_PORTS 200
#define PORT_BLOCKS 110
#define PORT_BLOCK_ATTEMPTS 1000

struct runner *runner_from_lua(lua_State *lua)
{
	return *(struct runner **)lua_getextraspace(lua);
}

int64_t runner_clock_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

const char *runner_table_string(lua_State *lua, const char *key,
				const char *fallback)
{
	const char *value;

	lua_getfield(lua, 1, key);
	value = lua_isnil(lua, -1) ? fallback : luaL_checkstring(lua, -1);
	lua_pop(lua, 1);
	return value;
}

lua_Integer runner_table_integer(lua_State *lua, const char *key,
				 lua_Integer fallback)
{
	lua_Integer value;

	lua_getfield(lua, 1, key);
	value = luaL_optinteger(lua, -1, fallback);
	lua_pop(lua, 1);
	return value;
}

static int binding_now_ms(lua_State *lua)
{
	lua_pushinteger(lua, runner_clock_ms());
	return 1;
}

/* wall_ms() -> milliseconds since 1970, as in the logs of backend servers */
static int binding_wall_ms(lua_State *lua)
{
	lua_pushinteger(lua, g_get_real_time() / 1000);
	return 1;
}

/* Returns a socket bound to a loopback port, or -1 if the port is in use. */
static int port_bind(int type, uint16_t port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port),
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0)
		return fd;
	close(fd);
	return -1;
}

/*
 * Takes a block that no other runner holds. The socket bound to the block's
 * first port stays open until this process exits and marks the block as held.
 */
static bool port_block_take(struct runner *runner)
{
	for (int i = 0; i < PORT_BLOCK_ATTEMPTS; i++) {
		uint16_t first =
			(uint16_t)(PORT_FIRST +
				   PORT_BLOCK_PORTS *
					   g_random_int_range(0, PORT_BLOCKS));

		if (port_bind(SOCK_STREAM, first) < 0)
			continue;
		runner->next_port = first + 1;
		runner->block_end_port = first + PORT_BLOCK_PORTS;
		return true;
	}
	return false;
}

/* free_port(kind) -> a port that is free for "tcp" or "udp" and that no call
 * has returned before. */
static int binding_free_port(lua_State *lua)
{
	struct runner *runner = runner_from_lua(lua);
	bool udp = strcmp(luaL_optstring(lua, 1, "tcp"), "udp") == 0;
	uint16_t port;
	int fd;

	do {
		if (runner->next_port == runner->block_end_port &&
		    !port_block_take(runner))
			return luaL_error(lua, "no free port found");
		port = runner->next_port++;
		fd = port_bind(udp ? SOCK_DGRAM : SOCK_STREAM, port);
	} while (fd < 0);
	close(fd);
	lua_pushinteger(lua, port);
	return 1;
}

static void json_push(lua_State *lua, const json_t *value)
{
	const char *key;
	size_t index;
	json_t *item;

	luaL_checkstack(lua, 4, "JSON is nested too deeply");
	if (json_is_object(value)) {
		lua_newtable(lua);
		json_object_foreach((json_t *)value, key, item)
		{
			json_push(lua, item);
			lua_setfield(lua, -2, key);
		}
	} else if (json_is_array(value)) {
		lua_newtable(lua);
		json_array_foreach((json_t *)value, index, item)
		{
			json_push(lua, item);
			lua_seti(lua, -2, (lua_Integer)index + 1);
		}
	} else if (json_is_string(value)) {
		lua_pushlstring(lua, json_string_value(value),
				json_string_length(value));
	} else if (json_is_integer(value)) {
		lua_pushinteger(lua, json_integer_value(value));
	} else if (json_is_real(value)) {
		lua_pushnumber(lua, json_real_value(value));
	} else if (json_is_boolean(value)) {
		lua_pushboolean(lua, json_is_true(value));
	} else {
		lua_pushnil(lua);
	}
}

/* json(text) -> decoded value, or nil if the text is not valid JSON */
static int binding_json(lua_State *lua)
{
	size_t len;
	const char *text = luaL_checklstring(lua, 1, &len);
	json_t *root = json_loadb(text, len, JSON_DECODE_ANY, NULL);

	json_push(lua, root);
	json_decref(root);
	return 1;
}

static const luaL_Reg bindings[] = {
	{ "now_ms", binding_now_ms },
	{ "wall_ms", binding_wall_ms },
	{ "free_port", binding_free_port },
	{ "json", binding_json },
	{ NULL, NULL },
};

static lua_State *lua_state_create(struct runner *runner, const char *scenario)
{
	lua_State *lua = luaL_newstate();
	g_autofree char *dir = g_path_get_dirname(scenario);
	g_autofree char *path = g_strconcat(dir, "/?.lua", NULL);

	*(struct runner **)lua_getextraspace(lua) = runner;
	luaL_openlibs(lua);
	for (const luaL_Reg *binding = bindings; binding->name; binding++)
		lua_register(lua, binding->name, binding->func);
	runner_process_register(lua);
	runner_file_register(lua);
	runner_http_register(lua);
	runner_tcp_register(lua);
	runner_udp_register(lua);
	lua_pushstring(lua, runner->dir);
	lua_setglobal(lua, "DIR");
	lua_pushinteger(lua, runner->seed);
	lua_setglobal(lua, "SEED");
	lua_newtable(lua);
	for (int i = 0; runner->arguments[i]; i++) {
		lua_pushstring(lua, runner->arguments[i]);
		lua_seti(lua, -2, i + 1);
	}
	lua_setglobal(lua, "ARGUMENTS");
	lua_getglobal(lua, "package");
	lua_pushstring(lua, path);
	lua_setfield(lua, -2, "path");
	lua_pop(lua, 1);
	return lua;
}

static int scenario_run(struct runner *runner, const char *scenario)
{
	lua_State *lua = lua_state_create(runner, scenario);
	g_autofree char *name = g_path_get_basename(scenario);
	int64_t started_ms = runner_clock_ms();
	bool failed = luaL_dofile(lua, scenario) != LUA_OK;

	if (failed)
		fprintf(stderr, "%s\nlogs kept in %s\n", lua_tostring(lua, -1),
			runner->dir);
	printf("%s seed %u: %s in %.1f s\n", name, runner->seed,
	       failed ? "FAIL" : "PASS",
	       (double)(runner_clock_ms() - started_ms) / 1000);
	runner_process_kill_all(runner);
	lua_close(lua);
	return failed ? 1 : 0;
}

static void dir_remove(const char *dir)
{
	GDir *entries = g_dir_open(dir, 0, NULL);
	const char *name;

	while (entries && (name = g_dir_read_name(entries))) {
		g_autofree char *path = g_build_filename(dir, name, NULL);

		remove(path);
	}
	if (entries)
		g_dir_close(entries);
	rmdir(dir);
}

int main(int argc, char **argv)
{
	struct runner runner = { .seed = 1 };
	g_autofree char *dir = g_dir_make_tmp("sassafrascart-XXXXXX", NULL);
	int status;

	if (argc < 3 || !dir) {
		fputs("usage: runner BIN_DIR SCENARIO.lua [SEED "
		      "[ARGUMENT...]]\n",
		      stderr);
		return 2;
	}
	if (argc > 3)
		runner.seed = (guint32)strtoul(argv[3], NULL, 10);
	/* argv ends with a null pointer. */
	runner.arguments = argv + MIN(argc, 4);
	runner.bin_dir = argv[1];
	runner.dir = dir;
	runner.pids = g_array_new(FALSE, FALSE, sizeof(pid_t));
	runner_http_init(&runner);
	status = scenario_run(&runner, argv[2]);
	runner_http_cleanup(&runner);
	if (status == 0)
		dir_remove(dir);
	return status;
}
