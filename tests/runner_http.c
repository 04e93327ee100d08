#include "runner_http.h"

#include <lauxlib.h>
#include <stdbool.h>
#include <string.h>

/** A request with the response received so far. */
struct exchange {
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	GString *response;
	GString *response_headers;
	bool done;
	CURLcode code;
	int64_t started_ms;
	int64_t finished_ms;
};

static size_t on_response_body(char *bytes, size_t size, size_t count,
			       void *data)
{
	struct exchange *exchange = data;

	g_string_append_len(exchange->response, bytes, (gssize)(size * count));
	return size * count;
}

static size_t on_response_header(char *bytes, size_t size, size_t count,
				 void *data)
{
	struct exchange *exchange = data;

	g_string_append_len(exchange->response_headers, bytes,
			    (gssize)(size * count));
	return size * count;
}

static void exchange_free(gpointer data)
{
	struct exchange *exchange = data;

	curl_easy_cleanup(exchange->easy);
	curl_slist_free_all(exchange->headers);
	g_string_free(exchange->response, TRUE);
	g_string_free(exchange->response_headers, TRUE);
	g_free(exchange->body);
	g_free(exchange);
}

static void request_headers_set(lua_State *lua, struct exchange *exchange)
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

static void request_body_set(lua_State *lua, struct exchange *exchange)
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

static void request_options_set(lua_State *lua, struct exchange *exchange)
{
	bool http2 = runner_table_integer(lua, "h2", 0) != 0;
	/* curl resends a request if a reused connection is closed. */
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
	/* libcurl 7.88.1 fails to reuse an HTTP/2 connection. */
	curl_easy_setopt(exchange->easy, CURLOPT_FRESH_CONNECT,
			 http2 || fresh ? 1L : 0L);
	curl_easy_setopt(exchange->easy, CURLOPT_FORBID_REUSE, http2 ? 1L : 0L);
	curl_easy_setopt(exchange->easy, CURLOPT_NOBODY,
			 (long)runner_table_integer(lua, "nobody", 0));
	curl_easy_setopt(exchange->easy, CURLOPT_WRITEFUNCTION,
			 on_response_body);
	curl_easy_setopt(exchange->easy, CURLOPT_WRITEDATA, exchange);
	curl_easy_setopt(exchange->easy, CURLOPT_HEADERFUNCTION,
			 on_response_header);
	curl_easy_setopt(exchange->easy, CURLOPT_HEADERDATA, exchange);
	curl_easy_setopt(exchange->easy, CURLOPT_PRIVATE, exchange);
	curl_easy_setopt(exchange->easy, CURLOPT_NOSIGNAL, 1L);
}

/* http_start{url=, method=, headers=, body=, timeout_ms=, h2=, fresh=, nobody=}
 * -> id
 */
static int binding_http_start(lua_State *lua)
{
	struct runner *runner = runner_from_lua(lua);
	struct exchange *exchange = g_new0(struct exchange, 1);

	exchange->easy = curl_easy_init();
	exchange->response = g_string_new(NULL);
	exchange->response_headers = g_string_new(NULL);
	exchange->started_ms = runner_clock_ms();
	request_body_set(lua, exchange);
	request_headers_set(lua, exchange);
	request_options_set(lua, exchange);
	curl_multi_add_handle(runner->multi, exchange->easy);
	runner->last_exchange_id++;
	g_hash_table_insert(runner->exchanges,
			    GINT_TO_POINTER((gint)runner->last_exchange_id),
			    exchange);
	lua_pushinteger(lua, runner->last_exchange_id);
	return 1;
}

static void exchanges_complete(struct runner *runner)
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
		exchange->finished_ms = runner_clock_ms();
		curl_multi_remove_handle(runner->multi, exchange->easy);
	}
}

/* poll(ms): drives all requests in progress for this time */
static int binding_poll(lua_State *lua)
{
	struct runner *runner = runner_from_lua(lua);
	int64_t until_ms = runner_clock_ms() + luaL_checkinteger(lua, 1);
	int running;

	do {
		curl_multi_perform(runner->multi, &running);
		exchanges_complete(runner);
		curl_multi_poll(runner->multi, NULL, 0,
				(int)CLAMP(until_ms - runner_clock_ms(), 0, 5),
				NULL);
	} while (runner_clock_ms() < until_ms);
	return 0;
}

static void response_headers_push(lua_State *lua, const GString *block)
{
	g_auto(GStrv) lines = g_strsplit(block->str, "\r\n", -1);

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

/* http_result(id) -> nil while in progress, then once a table with status,
 * body, headers, took_ms and, if the transfer failed, error. The identifier is
 * invalid afterwards. */
static int binding_http_result(lua_State *lua)
{
	struct runner *runner = runner_from_lua(lua);
	gpointer key = GINT_TO_POINTER((gint)luaL_checkinteger(lua, 1));
	struct exchange *exchange = g_hash_table_lookup(runner->exchanges, key);
	long status = 0;

	if (!exchange)
		return luaL_error(lua, "no request with this id");
	if (!exchange->done)
		return 0;
	curl_easy_getinfo(exchange->easy, CURLINFO_RESPONSE_CODE, &status);
	lua_newtable(lua);
	lua_pushinteger(lua, status);
	lua_setfield(lua, -2, "status");
	lua_pushlstring(lua, exchange->response->str, exchange->response->len);
	lua_setfield(lua, -2, "body");
	response_headers_push(lua, exchange->response_headers);
	lua_setfield(lua, -2, "headers");
	lua_pushinteger(lua, exchange->finished_ms - exchange->started_ms);
	lua_setfield(lua, -2, "took_ms");
	if (exchange->code != CURLE_OK) {
		lua_pushstring(lua, curl_easy_strerror(exchange->code));
		lua_setfield(lua, -2, "error");
	}
	g_hash_table_remove(runner->exchanges, key);
	return 1;
}

/* http_drop(id): aborts a request, like a caller that disconnects early */
static int binding_http_drop(lua_State *lua)
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
	lua_register(lua, "http_start", binding_http_start);
	lua_register(lua, "http_result", binding_http_result);
	lua_register(lua, "http_drop", binding_http_drop);
	lua_register(lua, "poll", binding_poll);
}
