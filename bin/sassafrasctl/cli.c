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

/* A platform call in flight; its completion stops the loop. */
struct pending_call {
	struct loop *loop;
	enum err_kind err;
	struct cli_result *result;
};

struct cli_context *cli_context_create(const struct cli_settings *settings)
{
	struct cli_context *ctx = g_new0(struct cli_context, 1);

	ctx->settings = settings;
	ctx->loop = loop_create();
	ctx->http = http_client_create(ctx->loop);
	return ctx;
}

void cli_context_destroy(struct cli_context *ctx)
{
	if (!ctx)
		return;
	platform_destroy(ctx->platform);
	http_client_destroy(ctx->http);
	loop_destroy(ctx->loop);
	g_free(ctx);
}

const struct cli_settings *cli_context_settings(const struct cli_context *ctx)
{
	return ctx->settings;
}

struct loop *cli_context_loop(struct cli_context *ctx)
{
	return ctx->loop;
}

/* Opened on first use: commands that only handle files need no platform. */
static enum err_kind platform_open(struct cli_context *ctx)
{
	const struct platform_config config = {
		.ip = ctx->settings->platform.ip,
		.port = ctx->settings->platform.port,
		.timeout_ms = ctx->settings->timeout_ms,
		.rate_per_s = CLI_RATE_PER_S,
		.rate_burst = CLI_RATE_PER_S,
	};

	if (ctx->platform)
		return ERR_NONE;
	return platform_create(ctx->loop, ctx->settings->platform_adapter,
			       &config, &ctx->platform);
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
	struct pending_call *pending_call = data;

	pending_call->err = err;
	if (err == ERR_NONE)
		result_copy(pending_call->result, result);
	loop_stop(pending_call->loop);
}

/* Opens the platform and initialises a call that will fill a result. */
static enum err_kind call_begin(struct cli_context *ctx, struct cli_result *out,
				struct pending_call *pending_call)
{
	memset(out, 0, sizeof(*out));
	*pending_call =
		(struct pending_call){ .loop = ctx->loop, .result = out };
	return platform_open(ctx);
}

enum err_kind cli_range(struct cli_context *ctx, const char *key, bool prefix,
			struct cli_result *out)
{
	struct pending_call pending_call;
	enum err_kind err = call_begin(ctx, out, &pending_call);

	if (err != ERR_NONE)
		return err;
	platform_range(ctx->platform, key, prefix, on_result, &pending_call);
	loop_run_until_stopped(ctx->loop);
	return pending_call.err;
}

enum err_kind cli_txn(struct cli_context *ctx, const struct platform_txn *txn,
		      struct cli_result *out)
{
	struct pending_call pending_call;
	enum err_kind err = call_begin(ctx, out, &pending_call);

	if (err != ERR_NONE)
		return err;
	platform_txn(ctx->platform, txn, on_result, &pending_call);
	loop_run_until_stopped(ctx->loop);
	return pending_call.err;
}

void cli_result_clear(struct cli_result *result)
{
	g_clear_pointer(&result->kvs, g_array_unref);
}

/* Pages being fetched in parallel; the last response stops the loop. */
struct page_batch {
	struct loop *loop;
	size_t remaining;
};

struct page_call {
	struct page_batch *page_batch;
	struct cli_page *page;
};

static void on_page(void *data, enum err_kind err, bool sent,
		    const struct http_client_response *response)
{
	struct page_call *call = data;
	struct cli_page *page = call->page;

	page->err = err;
	if (err == ERR_NONE && response->status != 200)
		page->err = ERR_UNAVAILABLE;
	if (page->err == ERR_NONE)
		page->text = g_strndup(response->body, response->body_len);
	call->page_batch->remaining--;
	if (call->page_batch->remaining == 0)
		loop_stop(call->page_batch->loop);
}

void cli_pages_fetch(struct cli_context *ctx, const char *path,
		     struct cli_page *pages, size_t count, uint32_t timeout_ms)
{
	struct page_batch page_batch = { ctx->loop, count };
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

		calls[i].page_batch = &page_batch;
		calls[i].page = &pages[i];
		http_client_call_start(ctx->http, &request, on_page, &calls[i]);
	}
	if (count > 0)
		loop_run_until_stopped(ctx->loop);
}

bool cli_err_is_unsent(enum err_kind err)
{
	return err == ERR_CONNECT || err == ERR_RATE_LIMITED;
}

static void on_sleep_end(void *data)
{
	loop_stop(data);
}

void cli_sleep_ms(struct cli_context *ctx, uint32_t ms)
{
	struct timer timer = { .cb = on_sleep_end, .data = ctx->loop };

	loop_timer_set(ctx->loop, &timer, ms);
	loop_run_until_stopped(ctx->loop);
}

enum err_kind cli_trust_load(struct cli_context *ctx,
			     struct signing_trust_store **out)
{
	static const char *const none[] = { NULL };
	char **keys = ctx->settings->operator_keys;
	g_autoptr(GError) error = NULL;
	enum err_kind err = signing_trust_store_create(
		keys ? (const char *const *)keys : none,
		ctx->settings->signatures_required, out, &error);

	if (error)
		fprintf(stderr, "%s\n", error->message);
	return err;
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

int cli_report(struct cli_context *ctx, enum err_kind err, json_t *details,
	       const char *format, ...)
{
	g_autofree char *message = NULL;
	va_list args;

	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	if (strcmp(ctx->settings->output, "json") == 0)
		report_json(err, message, details);
	else
		report_text(err, message, details);
	json_decref(details);
	return err_exit_code(err);
}
