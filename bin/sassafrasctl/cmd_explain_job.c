#include <stdio.h>
#include <string.h>

#include "explain.h"

/* Formats what ends a reason to wait, and when; "" if nothing is known. */
static char *ends_text(const json_t *row)
{
	const char *ends = explain_text(row, "ends");
	json_int_t in_ms = explain_number(row, "ends_in_ms");
	json_int_t yields_ms = explain_number(row, "yields_after_ms");
	GString *text = g_string_new(NULL);

	if (*ends)
		g_string_append_printf(text, ", until %s", ends);
	if (in_ms > 0)
		g_string_append_printf(
			text, " (in %" JSON_INTEGER_FORMAT " ms)", in_ms);
	if (yields_ms > 0)
		g_string_append_printf(text,
				       ", at most %" JSON_INTEGER_FORMAT
				       " ms if no other worker has room",
				       yields_ms);
	return g_string_free(text, FALSE);
}

static void workers_print(struct cli_context *ctx, const json_t *json)
{
	size_t index;
	json_t *row;

	if (strcmp(cli_context_settings(ctx)->output, "text") != 0)
		return;
	json_array_foreach(json_object_get(json, "workers"), index, row)
	{
		const char *why = explain_text(row, "passed_over");
		g_autofree char *ends = ends_text(row);

		printf("worker %s: free milli-CPU %" JSON_INTEGER_FORMAT
		       ", memory %" JSON_INTEGER_FORMAT
		       " MB, tasks %" JSON_INTEGER_FORMAT ": %s%s\n",
		       explain_text(row, "worker"),
		       explain_number(row, "cpu_free_milli"),
		       explain_number(row, "memory_free_mb"),
		       explain_number(row, "tasks"), *why ? why : "it fits",
		       ends);
	}
}

static char *account_text(const json_t *account)
{
	if (!account)
		return g_strdup("");
	return g_strdup_printf("; account %s uses %" JSON_INTEGER_FORMAT
			       " of %" JSON_INTEGER_FORMAT
			       " milli-CPU, jobs waiting %" JSON_INTEGER_FORMAT,
			       explain_text(account, "name"),
			       explain_number(account, "cpu_used_milli"),
			       explain_number(account, "cpu_limit_milli"),
			       explain_number(account, "jobs_waiting"));
}

static int answer_report(struct cli_context *ctx, const char *subject,
			 json_t *json)
{
	const char *worker = explain_text(json, "worker");
	const char *owner = explain_text(json, "owner");
	g_autofree char *ends = ends_text(json);
	g_autofree char *account =
		account_text(json_object_get(json, "account"));

	if (!json_object_get(json, "pool"))
		return cli_report(ctx, ERR_NOT_FOUND, json, "%s: %s%s%s%s",
				  subject, explain_text(json, "outcome"), ends,
				  *owner ? " at " : "", owner);
	workers_print(ctx, json);
	return cli_report(ctx, ERR_NONE, json,
			  "%s of queue %s: %s%s%s%s; pool %s, jobs ahead "
			  "%" JSON_INTEGER_FORMAT
			  ", work waiting for %" JSON_INTEGER_FORMAT
			  " ms of the pool%s; configuration version "
			  "%" JSON_INTEGER_FORMAT,
			  subject, explain_text(json, "queue"),
			  explain_text(json, "outcome"), ends,
			  *worker ? " on worker " : "", worker,
			  explain_text(json, "pool"),
			  explain_number(json, "jobs_ahead"),
			  explain_number(json, "pool_backlog_ms"), account,
			  explain_number(json, "config_version"));
}

static int page_explain(struct cli_context *ctx, const char *kind,
			const char *text)
{
	const struct cli_settings *settings = cli_context_settings(ctx);
	g_autofree char *path = g_strdup_printf("/explain/%s/%s", kind, text);
	g_autofree char *subject = g_strdup_printf("%s %s", kind, text);
	struct cli_page page = { .ip = settings->process.ip,
				 .port = settings->process.port };
	json_t *json;

	cli_pages_fetch(ctx, path, &page, 1, settings->timeout_ms);
	if (page.err != ERR_NONE)
		return cli_report(ctx, page.err, NULL,
				  "the process at %s:%u does not answer",
				  page.ip, (unsigned int)page.port);
	json = json_loads(page.text, 0, NULL);
	g_free(page.text);
	if (!json_is_object(json)) {
		json_decref(json);
		return cli_report(ctx, ERR_MALFORMED, NULL,
				  "the process at %s:%u gave no explanation",
				  page.ip, (unsigned int)page.port);
	}
	return answer_report(ctx, subject, json);
}

int cmd_explain_job(struct cli_context *ctx, char **arguments)
{
	return page_explain(ctx, "job", arguments[0]);
}

int cmd_explain_request(struct cli_context *ctx, char **arguments)
{
	return page_explain(ctx, "request", arguments[0]);
}
