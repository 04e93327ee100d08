/**
 * @file runner_tcp.h
 * @brief Lua bindings of the scenario runner for TCP connections.
 */
#ifndef RUNNER_TCP_H
#define RUNNER_TCP_H

#include <lua.h>

/** @brief Registers tcp_open(), tcp_send(), tcp_receive() and tcp_close(). */
void runner_tcp_register(lua_State *lua);

#endif
