/**
 * @file runner_http.h
 * @brief Verbs of the scenario runner for HTTP requests.
 */
#ifndef RUNNER_HTTP_H
#define RUNNER_HTTP_H

#include "runner.h"

/** @brief Sets up the HTTP client of a runner. */
void runner_http_init(struct runner *runner);

/** @brief Ends all requests and releases the HTTP client. */
void runner_http_cleanup(struct runner *runner);

/** @brief Registers http_start(), http_result(), http_drop() and poll(). */
void runner_http_register(lua_State *lua);

#endif
