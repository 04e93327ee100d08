#include "runner_file.h"

#include <lauxlib.h>
#include <stdbool.h>
#include <sys/stat.h>
#include <unistd.h>

/* fifo_create(path): creates a FIFO; replaces what the path named before */
static int binding_fifo_create(lua_State *lua)
{
	const char *path = luaL_checkstring(lua, 1);

	unlink(path);
	if (mkfifo(path, 0644) != 0)
		return luaL_error(lua, "cannot create FIFO %s", path);
	return 0;
}

/* link_create(target, path): creates a symbolic link; replaces what the path
 * named before */
static int binding_link_create(lua_State *lua)
{
	const char *target = luaL_checkstring(lua, 1);
	const char *path = luaL_checkstring(lua, 2);

	unlink(path);
	if (symlink(target, path) != 0)
		return luaL_error(lua, "cannot create link %s", path);
	return 0;
}

void runner_file_register(lua_State *lua)
{
	lua_register(lua, "fifo_create", binding_fifo_create);
	lua_register(lua, "link_create", binding_link_create);
}
