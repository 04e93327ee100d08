/**
 * @file runner_udp.h
 * @brief Verbs of the scenario runner for datagrams.
 */
#ifndef RUNNER_UDP_H
#define RUNNER_UDP_H

#include <lua.h>

/** @brief Registers udp_open(), udp_receive() and udp_send(). */
void runner_udp_register(lua_State *lua);

#endif
