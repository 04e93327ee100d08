#include "runner_http.h"

#include <lauxlib.h>
#include <stdbool.h>
#include <string.h>

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

static void options_set(lua_State *lua, struct exchange *exchange)
{
	bool http2 = runner_table_integer(lua, "h2", 0) != 0;
	/* On a kept connection that ends, curl sends the request again. */
	bool fresh = runner_table_integer(lua, "fresh", 0) != 0;

	curl_easy_setopt(exchange->easy, CURLOPT_URL,
			 runner_table_string(lua, "url", ""));
	curl_easy_setopt(exchange->easy, CURLOPT_CUSTOMREQUEST,
			 runner_table_string(lua, "method", "GET"));
	curl_easy_setopt(exchange->easy, CURLOPT_TIMEOUT_MS,
			 (long)runner_table_integer(lua, "timeout_ms", 10000));
	curl_easy_setopt(exchange->easy, CURLOPT_HTTP_VERSION,
			 http2 ? (long)CURL_HTTP_VERSION_2_PRIOR_KNOWLEDGE
			       : (long)CURL_HTTP_VERSION_1_1);
	/* libcurl 7.88.1 fails to use such a connection a second time. */
	curl_easy_setopt(exchange->easy, CURLOPT_FRESH_CONNECT,
			 http2 || fresh ? 1L : 0L);
	curl_easy_setopt(exchange->easy, CURLOPT_FORBID_REUSE, http2 ? 1L : 0L);
	curl_easy_setopt(exchange->easy, CURLOPT_NOBODY,
			 (long)runner_table_integer(lua, "nobody", 0));
	curl_easy_setopt(exchange->easy, CURLOPT_WRITEFUNCTION, on_answer_body);
	curl_easy_setopt(exchange->easy, CURLOPT_WRITEDATA, exchange);
	curl_easy_setopt(exchange->easy, CURLOPT_HEADERFUNCTION,
			 on_answer_head);
	curl_easy_setopt(exchange->easy, CURLOPT_HEADERDATA, exchange);
	curl_easy_setopt(exchange->easy, CURLOPT_PRIVATE, exchange);
	curl_easy_setopt(exchange->easy, CURLOPT_NOSIGNAL, 1L);
}

/* http_start{url=, method=, headers=, body=, timeout_ms=, h2=, fresh=, nobody=}
 * -> id
 */
static int verb_http_start(lua_State *lua)
{
	struct runner *runner = runner_from_lua(lua);
	struct exchange *exchange = g_new0(struct exchange, 1);

	exchange->easy = curl_easy_init();
	exchange->answer = g_string_new(NULL);
	exchange->answer_head = g_string_new(NULL);
	exchange->began_ms = runner_clock_ms();
	body_read(lua, exchange);
	headers_read(lua, exchange);
	options_set(lua, exchange);
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
		exchange->ended_ms = runner_clock_ms();
		curl_multi_remove_handle(runner->multi, exchange->easy);
	}
}

/* poll(ms): lets requests proceed for at most this long */
static int verb_poll(lua_State *lua)
{
	struct runner *runner = runner_from_lua(lua);
	int64_t until_ms = runner_clock_ms() + luaL_checkinteger(lua, 1);
	int running;

	do {
		curl_multi_perform(runner->multi, &running);
		exchanges_finish(runner);
		curl_multi_poll(runner->multi, NULL, 0,
				(int)CLAMP(until_ms - runner_clock_ms(), 0, 5),
				NULL);
	} while (runner_clock_ms() < until_ms);
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
	struct runner *runner = runner_from_lua(lua);
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
	struct runner *runner = runner_from_lua(lua);
	gpointer key = GINT_TO_POINTER((gint)luaL_checkinteger(lua, 1));
	struct exchange *exchange = g_hash_table_lookup(runner->exchanges, key);

	if (!exchange)
		return 0;
	if (!exchange->done)
		curl_multi_remove_handle(runner->multi, exchange->easy);
	g_hash_table_remove(runner->exchanges, key);
	return 0;
}

void runner_http_init(struct runner *runner)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	runner->multi = curl_multi_init();
	runner->exchanges =
		g_hash_table_new_full(NULL, NULL, NULL, exchange_free);
}

void runner_http_cleanup(struct runner *runner)
{
	g_hash_table_unref(runner->exchanges);
	curl_multi_cleanup(runner->multi);
}

void runner_http_register(lua_State *lua)
{
	lua_register(lua, "http_start", verb_http_start);
	lua_register(lua, "http_result", verb_http_result);
	lua_register(lua, "http_drop", verb_http_drop);
	lua_register(lua, "poll", verb_poll);
}
