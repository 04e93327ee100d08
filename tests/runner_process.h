/**
 * @file runner_process.h
 * @brief Lua bindings of the scenario runner for processes.
 */
#ifndef RUNNER_PROCESS_H
#define RUNNER_PROCESS_H

#include "runner.h"

/** @brief Registers spawn(), run(), signal() and exited(). */
void runner_process_register(lua_State *lua);

/** @brief Kills and reaps the child processes that are still running. */
void runner_process_kill_all(struct runner *runner);

#endif
