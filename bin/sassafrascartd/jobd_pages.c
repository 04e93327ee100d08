#include <string.h>

#include "jobd_private.h"
#include "log.h"

/* Fills a page /explain/job/ID or /explain/request/QUEUE...; returns false if
 * the path is another one. */
static bool explain_page_fill(struct jobd_process *process, const char *path,
			      GString *body)
{
	static const char *const prefixes[] = {
		[JOBS_EXPLAIN_JOB] = "/explain/job/",
		[JOBS_EXPLAIN_REQUEST] = "/explain/request/",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(prefixes); i++) {
		if (!g_str_has_prefix(path, prefixes[i]))
			continue;
		jobs_explain(process->service, i, path + strlen(prefixes[i]),
			     body);
		return true;
	}
	return false;
}

bool jobd_on_metrics_page(void *data, const char *path,
			  struct ingress_response *response, GString *body)
{
	static const char *const refusals[] = {
		[JOBD_REFUSED_KEY] = "key",
		[JOBD_REFUSED_UNCONFIRMED] = "unconfirmed",
		[JOBD_REFUSED_REQUEST] = "request",
	};
	struct jobd_process *process = data;

	if (explain_page_fill(process, path, body))
		return true;
	if (strcmp(path, "/metrics") != 0) {
		response->status = 404;
		return true;
	}
	jobs_metrics(process->service, body);
	for (size_t i = 0; i < G_N_ELEMENTS(process->call_latency); i++)
		histogram_render(process->call_latency[i], body);
	loop_metrics_append(process->loop, body);
	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++)
		g_string_append_printf(
			body,
			"sassafrascart_calls_refused_total{why=\"%s\"} "
			"%" G_GUINT64_FORMAT "\n",
			refusals[i], process->calls_refused[i]);
	g_string_append_printf(
		body, "sassafrascart_config_confirmed_age_ms %u\n",
		revocation_age_ms(config_watcher_revocation(process->config),
				  loop_now_ms()));
	g_string_append_printf(body,
			       "sassafrascart_log_lines_held_back_total "
			       "%" G_GUINT64_FORMAT "\n",
			       log_dropped_count());
	reload_metrics_append(process->reload, body);
	ingress_server_metrics_append(process->caller_server, "callers", body);
	ingress_server_metrics_append(process->readiness_server, "readiness",
				      body);
	ingress_server_metrics_append(process->metrics_server, "metrics", body);
	return true;
}
