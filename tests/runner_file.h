/**
 * @file runner_file.h
 * @brief Lua bindings of the scenario runner for files that Lua cannot create.
 */
#ifndef RUNNER_FILE_H
#define RUNNER_FILE_H

#include "runner.h"

/** @brief Registers fifo_create() and link_create(). */
void runner_file_register(lua_State *lua);

#endif
