/**
 * @file runner.c
 * @brief Runs a scenario: a Lua file with verbs for processes and HTTP.
 *
 * Usage: runner BIN_DIR SCENARIO.lua [SEED]. Prints one line with the verdict
 * and exits with 0 only if the scenario ended without an error. All
 * processes that it started are killed at the end.
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <lauxlib.h>
#include <lua.h>
#include <lualib.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "runner_udp.h"

#define LINE_MAX_BYTES 256
#define ARGUMENTS_MAX 64

/** A request in progress or done. */
struct exchange {
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	GString *answer;
	GString *answer_head;
	bool done;
	CURLcode code;
	int64_t began_ms;
	int64_t ended_ms;
};

struct runner {
	const char *bin_dir;
	const char *dir;
	guint32 seed;
	CURLM *multi;
	GArray *pids;
	GHashTable *exchanges;
	lua_Integer last_exchange;
};

static struct runner *runner_of(lua_State *lua)
{
	return *(struct runner **)lua_getextraspace(lua);
}

static int64_t clock_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static const char *table_string(lua_State *lua, const char *key,
				const char *fallback)
{
	const char *value;

	lua_getfield(lua, 1, key);
	value = lua_isnil(lua, -1) ? fallback : luaL_checkstring(lua, -1);
	lua_pop(lua, 1);
	return value;
}

static lua_Integer table_integer(lua_State *lua, const char *key,
				 lua_Integer fallback)
{
	lua_Integer value;

	lua_getfield(lua, 1, key);
	value = luaL_optinteger(lua, -1, fallback);
	lua_pop(lua, 1);
	return value;
}

static void child_exec(char **argv, const char *log, int out)
{
	int err = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

	dup2(out, STDOUT_FILENO);
	dup2(err, STDERR_FILENO);
	execv(argv[0], argv);
	_exit(127);
}

static pid_t child_start(char **argv, const char *log, int *out)
{
	int pipe_fds[2];
	pid_t pid;

	if (pipe2(pipe_fds, O_CLOEXEC) != 0)
		return -1;
	pid = fork();
	if (pid == 0)
		child_exec(argv, log, pipe_fds[1]);
	close(pipe_fds[1]);
	*out = pipe_fds[0];
	return pid;
}

static void argv_read(lua_State *lua, char *argv[ARGUMENTS_MAX])
{
	lua_Integer count = luaL_len(lua, 1);

	luaL_argcheck(lua, count < ARGUMENTS_MAX, 1, "too many arguments");
	for (lua_Integer i = 1; i <= count; i++) {
		lua_geti(lua, 1, i);
		argv[i - 1] = (char *)luaL_checkstring(lua, -1);
		lua_pop(lua, 1);
	}
	argv[count] = NULL;
}

static char *program_path(lua_State *lua, const char *name)
{
	return g_build_filename(runner_of(lua)->bin_dir, name, NULL);
}

/* spawn{program, arguments..., log=FILE} -> pid */
static int verb_spawn(lua_State *lua)
{
	char *argv[ARGUMENTS_MAX];
	g_autofree char *program = NULL;
	const char *log = table_string(lua, "log", "/dev/null");
	pid_t pid;
	int out;

	argv_read(lua, argv);
	program = program_path(lua, argv[0]);
	argv[0] = program;
	pid = child_start(argv, log, &out);
	if (pid < 0)
		return luaL_error(lua, "cannot start %s", program);
	close(out);
	g_array_append_val(runner_of(lua)->pids, pid);
	lua_pushinteger(lua, pid);
	return 1;
}

/* run{program, arguments..., log=FILE} -> exit code, standard output */
static int verb_run(lua_State *lua)
{
	char *argv[ARGUMENTS_MAX];
	g_autofree char *program = NULL;
	const char *log = table_string(lua, "log", "/dev/null");
	luaL_Buffer buffer;
	char chunk[4096];
	ssize_t got;
	int status;
	pid_t pid;
	int out;

	argv_read(lua, argv);
	program = program_path(lua, argv[0]);
	argv[0] = program;
	pid = child_start(argv, log, &out);
	if (pid < 0)
		return luaL_error(lua, "cannot start %s", program);
	luaL_buffinit(lua, &buffer);
	while ((got = read(out, chunk, sizeof(chunk))) > 0)
		luaL_addlstring(&buffer, chunk, (size_t)got);
	close(out);
	waitpid(pid, &status, 0);
	luaL_pushresult(&buffer);
	lua_pushinteger(lua, WIFEXITED(status) ? WEXITSTATUS(status) : -1);
	lua_rotate(lua, -2, 1);
	return 2;
}

static int signal_number(lua_State *lua, const char *name)
{
	static const struct {
		const char *name;
		int signo;
	} signals[] = { { "KILL", SIGKILL },
			{ "TERM", SIGTERM },
			{ "STOP", SIGSTOP },
			{ "CONT", SIGCONT } };

	for (size_t i = 0; i < G_N_ELEMENTS(signals); i++) {
		if (strcmp(signals[i].name, name) == 0)
			return signals[i].signo;
	}
	return luaL_error(lua, "unknown signal %s", name);
}

static bool pid_is_ours(const struct runner *runner, pid_t pid)
{
	for (guint i = 0; i < runner->pids->len; i++) {
		if (g_array_index(runner->pids, pid_t, i) == pid)
			return true;
	}
	return false;
}

/* signal(pid, name): only for processes started by this scenario */
static int verb_signal(lua_State *lua)
{
	pid_t pid = (pid_t)luaL_checkinteger(lua, 1);
	int signo = signal_number(lua, luaL_checkstring(lua, 2));

	if (!pid_is_ours(runner_of(lua), pid))
		return luaL_error(lua, "process %d is not ours", (int)pid);
	kill(pid, signo);
	return 0;
}

static void pid_forget(struct runner *runner, pid_t pid)
{
	for (guint i = 0; i < runner->pids->len; i++) {
		if (g_array_index(runner->pids, pid_t, i) == pid) {
			g_array_remove_index_fast(runner->pids, i);
			return;
		}
	}
}

/* exited(pid) -> exit code or negative signal once it has ended, else nil */
static int verb_exited(lua_State *lua)
{
	pid_t pid = (pid_t)luaL_checkinteger(lua, 1);
	int status;

	if (waitpid(pid, &status, WNOHANG) != pid)
		return 0;
	pid_forget(runner_of(lua), pid);
	lua_pushinteger(lua, WIFEXITED(status) ? WEXITSTATUS(status)
					       : -WTERMSIG(status));
	return 1;
}

static size_t on_answer_body(char *bytes, size_t size, size_t count, void *data)
{
	struct exchange *exchange = data;

	g_string_append_len(exchange->answer, bytes, (gssize)(size * count));
	return size * count;
}

static size_t on_answer_head(char *bytes, size_t size, size_t count, void *data)
{
	struct exchange *exchange = data;

	g_string_append_len(exchange->answer_head, bytes,
			    (gssize)(size * count));
	return size * count;
}

static void exchange_free(gpointer data)
{
	struct exchange *exchange = data;

	curl_easy_cleanup(exchange->easy);
	curl_slist_free_all(exchange->headers);
	g_string_free(exchange->answer, TRUE);
	g_string_free(exchange->answer_head, TRUE);
	g_free(exchange->body);
	g_free(exchange);
}

static void headers_read(lua_State *lua, struct exchange *exchange)
{
	exchange->headers = curl_slist_append(NULL, "Expect:");
	lua_getfield(lua, 1, "headers");
	if (lua_istable(lua, -1)) {
		lua_pushnil(lua);
		while (lua_next(lua, -2)) {
			g_autofree char *line = g_strdup_printf(
				"%s: %s", luaL_checkstring(lua, -2),
				luaL_checkstring(lua, -1));

			exchange->headers =
				curl_slist_append(exchange->headers, line);
			lua_pop(lua, 1);
		}
	}
	lua_pop(lua, 1);
	curl_easy_setopt(exchange->easy, CURLOPT_HTTPHEADER, exchange->headers);
}

static void body_read(lua_State *lua, struct exchange *exchange)
{
	size_t len;
	const char *body;

	lua_getfield(lua, 1, "body");
	if (!lua_isnil(lua, -1)) {
		body = luaL_checklstring(lua, -1, &len);
		exchange->body = g_memdup2(body, len + 1);
		curl_easy_setopt(exchange->easy, CURLOPT_POSTFIELDSIZE,
				 (long)len);
		curl_easy_setopt(exchange->easy, CURLOPT_POSTFIELDS,
				 exchange->body);
	}
	lua_pop(lua, 1);
}

/* http_start{url=, method=, headers=, body=, timeout_ms=, h2=, nobody=} -> id
 */
static int verb_http_start(lua_State *lua)
{
	struct runner *runner = runner_of(lua);
	struct exchange *exchange = g_new0(struct exchange, 1);
	bool http2 = table_integer(lua, "h2", 0) != 0;

	exchange->easy = curl_easy_init();
	exchange->answer = g_string_new(NULL);
	exchange->answer_head = g_string_new(NULL);
	exchange->began_ms = clock_ms();
	body_read(lua, exchange);
	headers_read(lua, exchange);
	curl_easy_setopt(exchange->easy, CURLOPT_URL,
			 table_string(lua, "url", ""));
	curl_easy_setopt(exchange->easy, CURLOPT_CUSTOMREQUEST,
			 table_string(lua, "method", "GET"));
	curl_easy_setopt(exchange->easy, CURLOPT_TIMEOUT_MS,
			 (long)table_integer(lua, "timeout_ms", 10000));
	curl_easy_setopt(exchange->easy, CURLOPT_HTTP_VERSION,
			 http2 ? (long)CURL_HTTP_VERSION_2_PRIOR_KNOWLEDGE
			       : (long)CURL_HTTP_VERSION_1_1);
	/* libcurl 7.88.1 fails to use such a connection a second time. */
	curl_easy_setopt(exchange->easy, CURLOPT_FRESH_CONNECT,
			 http2 ? 1L : 0L);
	curl_easy_setopt(exchange->easy, CURLOPT_FORBID_REUSE, http2 ? 1L : 0L);
	curl_easy_setopt(exchange->easy, CURLOPT_NOBODY,
			 (long)table_integer(lua, "nobody", 0));
	curl_easy_setopt(exchange->easy, CURLOPT_WRITEFUNCTION, on_answer_body);
	curl_easy_setopt(exchange->easy, CURLOPT_WRITEDATA, exchange);
	curl_easy_setopt(exchange->easy, CURLOPT_HEADERFUNCTION,
			 on_answer_head);
	curl_easy_setopt(exchange->easy, CURLOPT_HEADERDATA, exchange);
	curl_easy_setopt(exchange->easy, CURLOPT_PRIVATE, exchange);
	curl_easy_setopt(exchange->easy, CURLOPT_NOSIGNAL, 1L);
	curl_multi_add_handle(runner->multi, exchange->easy);
	runner->last_exchange++;
	g_hash_table_insert(runner->exchanges,
			    GINT_TO_POINTER((gint)runner->last_exchange),
			    exchange);
	lua_pushinteger(lua, runner->last_exchange);
	return 1;
}

static void exchanges_finish(struct runner *runner)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(runner->multi, &left))) {
		struct exchange *exchange;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  (char **)&exchange);
		exchange->done = true;
		exchange->code = message->data.result;
		exchange->ended_ms = clock_ms();
		curl_multi_remove_handle(runner->multi, exchange->easy);
	}
}

/* poll(ms): lets requests proceed for at most this long */
static int verb_poll(lua_State *lua)
{
	struct runner *runner = runner_of(lua);
	int64_t until_ms = clock_ms() + luaL_checkinteger(lua, 1);
	int running;

	do {
		curl_multi_perform(runner->multi, &running);
		exchanges_finish(runner);
		curl_multi_poll(runner->multi, NULL, 0,
				(int)CLAMP(until_ms - clock_ms(), 0, 5), NULL);
	} while (clock_ms() < until_ms);
	return 0;
}

static void head_push(lua_State *lua, const GString *head)
{
	g_auto(GStrv) lines = g_strsplit(head->str, "\r\n", -1);

	lua_newtable(lua);
	for (char **line = lines; *line; line++) {
		char *colon = strchr(*line, ':');
		g_autofree char *name = NULL;

		if (!colon)
			continue;
		*colon = '\0';
		name = g_ascii_strdown(*line, -1);
		lua_pushstring(lua, g_strstrip(colon + 1));
		lua_setfield(lua, -2, name);
	}
}

/* http_result(id) -> nil while in progress, else a table; forgets it then */
static int verb_http_result(lua_State *lua)
{
	struct runner *runner = runner_of(lua);
	gpointer key = GINT_TO_POINTER((gint)luaL_checkinteger(lua, 1));
	struct exchange *exchange = g_hash_table_lookup(runner->exchanges, key);
	long status = 0;

	if (!exchange)
		return luaL_error(lua, "no such request");
	if (!exchange->done)
		return 0;
	curl_easy_getinfo(exchange->easy, CURLINFO_RESPONSE_CODE, &status);
	lua_newtable(lua);
	lua_pushinteger(lua, status);
	lua_setfield(lua, -2, "status");
	lua_pushlstring(lua, exchange->answer->str, exchange->answer->len);
	lua_setfield(lua, -2, "body");
	head_push(lua, exchange->answer_head);
	lua_setfield(lua, -2, "headers");
	lua_pushinteger(lua, exchange->ended_ms - exchange->began_ms);
	lua_setfield(lua, -2, "took_ms");
	if (exchange->code != CURLE_OK) {
		lua_pushstring(lua, curl_easy_strerror(exchange->code));
		lua_setfield(lua, -2, "error");
	}
	g_hash_table_remove(runner->exchanges, key);
	return 1;
}

/* http_drop(id): the caller leaves without waiting for the answer */
static int verb_http_drop(lua_State *lua)
{
	struct runner *runner = runner_of(lua);
	gpointer key = GINT_TO_POINTER((gint)luaL_checkinteger(lua, 1));
	struct exchange *exchange = g_hash_table_lookup(runner->exchanges, key);

	if (!exchange)
		return 0;
	if (!exchange->done)
		curl_multi_remove_handle(runner->multi, exchange->easy);
	g_hash_table_remove(runner->exchanges, key);
	return 0;
}

static int verb_now_ms(lua_State *lua)
{
	lua_pushinteger(lua, clock_ms());
	return 1;
}

/* wall_ms() -> milliseconds since 1970, the clock of the run logs */
static int verb_wall_ms(lua_State *lua)
{
	lua_pushinteger(lua, g_get_real_time() / 1000);
	return 1;
}

/* free_port(kind) -> a port free for "tcp" or "udp" at this moment */
static int verb_free_port(lua_State *lua)
{
	bool udp = strcmp(luaL_optstring(lua, 1, "tcp"), "udp") == 0;
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, udp ? SOCK_DGRAM : SOCK_STREAM, 0);

	if (bind(fd, (struct sockaddr *)&addr, len) != 0 ||
	    getsockname(fd, (struct sockaddr *)&addr, &len) != 0)
		return luaL_error(lua, "no free port");
	close(fd);
	lua_pushinteger(lua, ntohs(addr.sin_port));
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

/* json(text) -> value, or nil for text that is not JSON */
static int verb_json(lua_State *lua)
{
	size_t len;
	const char *text = luaL_checklstring(lua, 1, &len);
	json_t *root = json_loadb(text, len, JSON_DECODE_ANY, NULL);

	json_push(lua, root);
	json_decref(root);
	return 1;
}

static const luaL_Reg verbs[] = {
	{ "spawn", verb_spawn },
	{ "run", verb_run },
	{ "signal", verb_signal },
	{ "exited", verb_exited },
	{ "http_start", verb_http_start },
	{ "http_result", verb_http_result },
	{ "http_drop", verb_http_drop },
	{ "poll", verb_poll },
	{ "now_ms", verb_now_ms },
	{ "wall_ms", verb_wall_ms },
	{ "free_port", verb_free_port },
	{ "json", verb_json },
	{ NULL, NULL },
};

static lua_State *lua_open(struct runner *runner, const char *scenario)
{
	lua_State *lua = luaL_newstate();
	g_autofree char *dir = g_path_get_dirname(scenario);
	g_autofree char *path = g_strconcat(dir, "/?.lua", NULL);

	*(struct runner **)lua_getextraspace(lua) = runner;
	luaL_openlibs(lua);
	for (const luaL_Reg *verb = verbs; verb->name; verb++)
		lua_register(lua, verb->name, verb->func);
	runner_udp_register(lua);
	lua_pushstring(lua, runner->dir);
	lua_setglobal(lua, "DIR");
	lua_pushinteger(lua, runner->seed);
	lua_setglobal(lua, "SEED");
	lua_getglobal(lua, "package");
	lua_pushstring(lua, path);
	lua_setfield(lua, -2, "path");
	lua_pop(lua, 1);
	return lua;
}

static void children_kill(struct runner *runner)
{
	for (guint i = 0; i < runner->pids->len; i++) {
		pid_t pid = g_array_index(runner->pids, pid_t, i);

		kill(pid, SIGKILL);
		waitpid(pid, NULL, 0);
	}
}

static int scenario_run(struct runner *runner, const char *scenario)
{
	lua_State *lua = lua_open(runner, scenario);
	g_autofree char *name = g_path_get_basename(scenario);
	int64_t began_ms = clock_ms();
	bool failed = luaL_dofile(lua, scenario) != LUA_OK;

	if (failed)
		fprintf(stderr, "%s\nlogs are in %s\n", lua_tostring(lua, -1),
			runner->dir);
	printf("%s seed %u: %s in %.1f s\n", name, runner->seed,
	       failed ? "FAIL" : "PASS",
	       (double)(clock_ms() - began_ms) / 1000);
	children_kill(runner);
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
		fputs("usage: runner BIN_DIR SCENARIO.lua [SEED]\n", stderr);
		return 2;
	}
	if (argc > 3)
		runner.seed = (guint32)strtoul(argv[3], NULL, 10);
	runner.bin_dir = argv[1];
	runner.dir = dir;
	runner.pids = g_array_new(FALSE, FALSE, sizeof(pid_t));
	runner.exchanges =
		g_hash_table_new_full(NULL, NULL, NULL, exchange_free);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	runner.multi = curl_multi_init();
	status = scenario_run(&runner, argv[2]);
	g_hash_table_unref(runner.exchanges);
	curl_multi_cleanup(runner.multi);
	if (status == 0)
		dir_remove(dir);
	return status;
}
