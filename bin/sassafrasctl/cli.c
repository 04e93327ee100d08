#include "cli.h"

#include <stdio.h>
#include <string.h>

#include "http_client.h"

#define CLI_PAGE_MAX_BYTES (4u * 1024u * 1024u)
#define CLI_RATE_PER_S 100

struct cli_context {
	const struct cli_settings *settings;
	struct loop *loop;
	struct http_client *http;
	struct platform *platform;
};

/* A call that the loop runs for. */
struct pending {
	struct loop *loop;
	enum err_kind err;
	struct cli_result *result;
};

struct cli_context *cli_context_create(const struct cli_settings *settings)
{
	struct cli_context *desk = g_new0(struct cli_context, 1);

	desk->settings = settings;
	desk->loop = loop_create();
	desk->http = http_client_create(desk->loop);
	return desk;
}

void cli_context_destroy(struct cli_context *desk)
{
	if (!desk)
		return;
	platform_destroy(desk->platform);
	http_client_destroy(desk->http);
	loop_destroy(desk->loop);
	g_free(desk);
}

const struct cli_settings *cli_context_settings(const struct cli_context *desk)
{
	return desk->settings;
}

struct loop *cli_context_loop(struct cli_context *desk)
{
	return desk->loop;
}

/* Commands on files need no platform, so it is opened at first use. */
static enum err_kind platform_open(struct cli_context *desk)
{
	const struct platform_config config = {
		.ip = desk->settings->platform.ip,
		.port = desk->settings->platform.port,
		.timeout_ms = desk->settings->timeout_ms,
		.rate_per_s = CLI_RATE_PER_S,
		.rate_burst = CLI_RATE_PER_S,
	};

	if (desk->platform)
		return ERR_NONE;
	return platform_create(desk->loop, desk->settings->platform_adapter,
			       &config, &desk->platform);
}

static void kv_clear(gpointer data)
{
	struct cli_kv *kv = data;

	g_free(kv->key);
	g_free(kv->value);
}

static void result_copy(struct cli_result *out,
			const struct platform_result *result)
{
	out->succeeded = result->succeeded;
	out->revision = result->revision;
	out->kvs = g_array_new(FALSE, FALSE, sizeof(struct cli_kv));
	g_array_set_clear_func(out->kvs, kv_clear);
	for (size_t i = 0; i < result->kv_count; i++) {
		const struct platform_kv *kv = &result->kvs[i];
		struct cli_kv copy = {
			.key = g_strdup(kv->key),
			.value = g_strndup(kv->value, kv->value_len),
			.value_len = kv->value_len,
			.create_revision = kv->create_revision,
			.mod_revision = kv->mod_revision,
		};

		g_array_append_val(out->kvs, copy);
	}
}

static void on_result(void *data, enum err_kind err,
		      const struct platform_result *result)
{
	struct pending *pending = data;

	pending->err = err;
	if (err == ERR_NONE)
		result_copy(pending->result, result);
	loop_stop(pending->loop);
}

/* Opens the platform for a call that fills a result. */
static enum err_kind call_begin(struct cli_context *desk,
				struct cli_result *out, struct pending *pending)
{
	memset(out, 0, sizeof(*out));
	*pending = (struct pending){ .loop = desk->loop, .result = out };
	return platform_open(desk);
}

enum err_kind cli_range(struct cli_context *desk, const char *key, bool prefix,
			struct cli_result *out)
{
	struct pending pending;
	enum err_kind err = call_begin(desk, out, &pending);

	if (err != ERR_NONE)
		return err;
	platform_range(desk->platform, key, prefix, on_result, &pending);
	loop_run_until_stopped(desk->loop);
	return pending.err;
}

enum err_kind cli_txn(struct cli_context *desk, const struct platform_txn *txn,
		      struct cli_result *out)
{
	struct pending pending;
	enum err_kind err = call_begin(desk, out, &pending);

	if (err != ERR_NONE)
		return err;
	platform_txn(desk->platform, txn, on_result, &pending);
	loop_run_until_stopped(desk->loop);
	return pending.err;
}

void cli_result_clear(struct cli_result *result)
{
	g_clear_pointer(&result->kvs, g_array_unref);
}

/* Pages being read; the last answer stops the loop. */
struct reading {
	struct loop *loop;
	size_t left;
};

struct page_call {
	struct reading *reading;
	struct cli_page *page;
};

static void on_page(void *data, enum err_kind err, bool sent,
		    const struct http_client_response *answer)
{
	struct page_call *call = data;
	struct cli_page *page = call->page;

	page->err = err;
	if (err == ERR_NONE && answer->status != 200)
		page->err = ERR_UNAVAILABLE;
	if (page->err == ERR_NONE)
		page->text = g_strndup(answer->body, answer->body_len);
	call->reading->left--;
	if (call->reading->left == 0)
		loop_stop(call->reading->loop);
}

void cli_pages_fetch(struct cli_context *desk, const char *path,
		     struct cli_page *pages, size_t count, uint32_t timeout_ms)
{
	struct reading reading = { desk->loop, count };
	g_autofree struct page_call *calls = g_new0(struct page_call, count);

	for (size_t i = 0; i < count; i++) {
		const struct http_client_request request = {
			.method = "GET",
			.path = path,
			.ip = pages[i].ip,
			.port = pages[i].port,
			.timeout_ms = timeout_ms,
			.response_max_bytes = CLI_PAGE_MAX_BYTES,
		};

		calls[i].reading = &reading;
		calls[i].page = &pages[i];
		http_client_call_start(desk->http, &request, on_page,
				       &calls[i]);
	}
	if (count > 0)
		loop_run_until_stopped(desk->loop);
}

bool cli_err_is_unsent(enum err_kind err)
{
	return err == ERR_CONNECT || err == ERR_RATE_LIMITED;
}

static void on_slept(void *data)
{
	loop_stop(data);
}

void cli_sleep_ms(struct cli_context *desk, uint32_t ms)
{
	struct timer timer = { .cb = on_slept, .data = desk->loop };

	loop_timer_set(desk->loop, &timer, ms);
	loop_run_until_stopped(desk->loop);
}

enum err_kind cli_trust_load(struct cli_context *desk,
			     struct signing_trust_store **out)
{
	static const char *const none[] = { NULL };
	char **keys = desk->settings->operator_keys;

	return signing_trust_store_create(
		keys ? (const char *const *)keys : none,
		desk->settings->signatures_required, out);
}

static const char *effect_name(enum err_kind err)
{
	switch (err_effect(err)) {
	case ERR_EFFECT_DONE:
		return "done";
	case ERR_EFFECT_NOT_DONE:
		return "not done";
	case ERR_EFFECT_UNKNOWN:
		break;
	}
	return "unknown";
}

static void report_json(enum err_kind err, const char *message, json_t *details)
{
	json_t *root = json_pack("{s:s, s:s, s:s}", "result", effect_name(err),
				 "error", err_name(err), "message", message);
	char *text;

	if (details)
		json_object_update(root, details);
	text = json_dumps(root, JSON_COMPACT);
	puts(text);
	free(text);
	json_decref(root);
}

static void report_text(enum err_kind err, const char *message,
			const json_t *details)
{
	FILE *stream = err == ERR_NONE ? stdout : stderr;
	const char *find_out =
		json_string_value(json_object_get(details, "find_out"));

	fprintf(stream, "%s: %s\n", effect_name(err), message);
	if (err != ERR_NONE)
		fprintf(stream, "cause: %s (%s)\n", err_describe(err),
			err_name(err));
	if (err_effect(err) == ERR_EFFECT_UNKNOWN)
		fprintf(stream, "to find out: %s\n",
			find_out ? find_out
				 : "run 'sassafrasctl status' when the "
				   "platform answers again");
}

int cli_report(struct cli_context *desk, enum err_kind err, json_t *details,
	       const char *format, ...)
{
	g_autofree char *message = NULL;
	va_list args;

	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	if (strcmp(desk->settings->output, "json") == 0)
		report_json(err, message, details);
	else
		report_text(err, message, details);
	json_decref(details);
	return err_exit_code(err);
}
