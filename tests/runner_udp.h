/**
 * @file runner_udp.h
 * @brief Lua bindings of the scenario runner for UDP.
 */
#ifndef RUNNER_UDP_H
#define RUNNER_UDP_H

#include <lua.h>

/** @brief Registers udp_open(), udp_receive() and udp_send(). */
void runner_udp_register(lua_State *lua);

#endif
