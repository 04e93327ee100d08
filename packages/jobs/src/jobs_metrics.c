#include "jobs_private.h"

const char *jobs_outcome_name(enum jobs_outcome outcome)
{
	static const char *const names[] = {
		[JOBS_OK] = "ok",
		[JOBS_NO_JOB] = "no-job",
		[JOBS_REFUSED] = "refused",
		[JOBS_UNKNOWN] = "unknown",
		[JOBS_CONFLICT] = "conflict",
		[JOBS_NOT_OWNER] = "not-owner",
		[JOBS_OWNERSHIP_LOST] = "owner-gone",
	};

	g_assert(outcome < G_N_ELEMENTS(names));
	return names[outcome];
}

void jobs_metrics(const struct jobs_service *service, GString *out)
{
	for (size_t i = 0; i < JOBS_OUTCOME_COUNT; i++)
		g_string_append_printf(out,
				       "sassafrascart_job_calls_total{outcome="
				       "\"%s\"} %" G_GUINT64_FORMAT "\n",
				       jobs_outcome_name(i),
				       service->outcomes[i]);
	g_string_append_printf(out,
			       "sassafrascart_job_calls_handed_on_total "
			       "%" G_GUINT64_FORMAT "\n"
			       "sassafrascart_job_calls_waited_total "
			       "%" G_GUINT64_FORMAT "\n"
			       "sassafrascart_is_owner %d\n",
			       service->forwarded, service->waited,
			       service->owner != NULL);
	if (service->owner)
		owner_metrics_append(service->owner, out);
}

void jobs_explain(struct jobs_service *service, enum jobs_explain kind,
		  const char *text, GString *out)
{
	const struct election_owner *owner = election_owner(service->election);

	if (service->owner)
		owner_explain(service->owner, kind, text, out);
	else if (owner)
		g_string_append_printf(
			out,
			"{\"outcome\":\"unknown: ask the owner\","
			"\"owner\":\"%s\"}",
			owner->ip);
	else
		g_string_append(out, "{\"outcome\":\"unknown: no owner\"}");
}
