#include "sim_report.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

struct sim_report {
	json_t *requests;
	json_t *days;
	json_t *bounds;
	bool passed;
};

void sim_result_count(struct sim_result *result,
		      const struct sim_request *request, bool was_run,
		      bool on_time)
{
	struct sim_tally *tallies[] = { &result->all, &result->burst };

	if (!sim_request_counts(request))
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(tallies); i++) {
		if (i == 1 && !request->in_burst)
			continue;
		tallies[i]->requests++;
		tallies[i]->on_time += on_time;
		tallies[i]->not_run += !was_run;
		tallies[i]->unknown += was_run && !on_time;
	}
}

uint32_t sim_on_time_permille(const struct sim_tally *tally)
{
	if (tally->requests == 0)
		return 0;
	return (uint32_t)((uint64_t)tally->on_time * 1000 / tally->requests);
}

struct sim_report *sim_report_create(void)
{
	struct sim_report *report = g_new0(struct sim_report, 1);

	report->requests = json_array();
	report->days = json_array();
	report->bounds = json_array();
	report->passed = true;
	return report;
}

static double percent(uint64_t part, uint64_t whole)
{
	return whole == 0 ? 0.0 : 100.0 * (double)part / (double)whole;
}

static int error_compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/* Returns a quantile of the error of Retry-After, in seconds. */
static double error_s(const struct sim_result *result, double share)
{
	const GArray *errors = result->retry_errors_ms;
	size_t index;

	if (errors->len == 0)
		return 0.0;
	qsort(errors->data, errors->len, sizeof(int64_t), error_compare);
	index = (size_t)(share * (double)(errors->len - 1));
	return (double)g_array_index(errors, int64_t, index) / 1000.0;
}

void sim_report_requests_header(void)
{
	printf("%-10s %-7s %-21s %7s %7s %7s %7s %6s %6s %6s %7s %14s\n",
	       "fleet", "trace", "policy", "on-time", "burst", "not-run",
	       "unknown", "gone", "tries", "retry", "overcom", "retry-after s");
}

void sim_report_add_result(struct sim_report *report,
			   const struct sim_result *result)
{
	const struct sim_tally *all = &result->all;
	double wasted = percent(result->wasted_ms, result->busy_ms);
	double attempts = (double)result->attempts;
	double retries = percent(result->retries, result->attempts);
	double on_time = percent(all->on_time, all->requests);
	double burst = percent(result->burst.on_time, result->burst.requests);
	double not_run = percent(all->not_run, all->requests);
	double unknown = percent(all->unknown, all->requests);
	double early_s = error_s(result, 0.1);
	double late_s = error_s(result, 0.9);

	printf("%-10s %-7s %-21s %7.2f %7.2f %7.2f %7.2f %6.2f %6.0f %6.2f "
	       "%7" PRIu64 " %6.1f..%6.1f\n",
	       result->deployment, result->trace, result->policy, on_time,
	       burst, not_run, unknown, wasted, attempts, retries,
	       result->over_commit, early_s, late_s);
	json_array_append_new(
		report->requests,
		json_pack("{s:s, s:s, s:s, s:i, s:f, s:f, s:f, s:f, s:f, s:f, "
			  "s:f, s:I, s:f, s:f, s:f}",
			  "fleet", result->deployment, "trace", result->trace,
			  "policy", result->policy, "requests",
			  (int)all->requests, "on_time_percent", on_time,
			  "on_time_burst_percent", burst, "not_run_percent",
			  not_run, "unknown_percent", unknown,
			  "gone_work_percent", wasted, "attempts", attempts,
			  "retries_percent", retries, "over_commit",
			  (json_int_t)result->over_commit,
			  "retry_after_error_p10_s", early_s,
			  "retry_after_error_p50_s", error_s(result, 0.5),
			  "retry_after_error_p90_s", late_s));
}

void sim_report_days_header(void)
{
	printf("\n%-10s %-24s %7s %8s %9s %8s %10s %7s\n", "fleet", "sizing",
	       "moves", "replaced", "in burst", "buffer", "shortfall",
	       "floors");
}

void sim_report_add_day(struct sim_report *report, const char *fleet,
			const struct sim_moves *moves)
{
	printf("%-10s %-24s %7u %8u %9u %8.1f %9.3f%% %7u\n", fleet,
	       moves->policy, moves->moves, moves->replacements,
	       moves->moves_in_burst, moves->buffer_slots,
	       100.0 * moves->shortfall, moves->floor_violations);
	json_array_append_new(
		report->days,
		json_pack("{s:s, s:s, s:i, s:i, s:i, s:f, s:f, s:i}", "fleet",
			  fleet, "sizing", moves->policy, "moves",
			  (int)moves->moves, "replacements",
			  (int)moves->replacements, "moves_in_burst",
			  (int)moves->moves_in_burst, "buffer_slots",
			  moves->buffer_slots, "shortfall_share",
			  moves->shortfall, "floor_violations",
			  (int)moves->floor_violations));
}

static void bound_add(struct sim_report *report, const char *name, double value,
		      const char *relation, double bound, bool met)
{
	json_array_append_new(report->bounds,
			      json_pack("{s:s, s:f, s:s, s:f, s:b}", "name",
					name, "value", value, "relation",
					relation, "bound", bound, "met", met));
	report->passed = report->passed && met;
}

void sim_report_check_at_most(struct sim_report *report, const char *name,
			      double value, double bound)
{
	bound_add(report, name, value, "<=", bound, value <= bound);
}

void sim_report_check_at_least(struct sim_report *report, const char *name,
			       double value, double bound)
{
	bound_add(report, name, value, ">=", bound, value >= bound);
}

static void bounds_print(const struct sim_report *report)
{
	size_t i;
	json_t *bound;

	printf("\n");
	json_array_foreach(report->bounds, i, bound)
	{
		printf("%-4s %-58s %9.3f %s %.3f\n",
		       json_is_true(json_object_get(bound, "met")) ? "ok"
								   : "FAIL",
		       json_string_value(json_object_get(bound, "name")),
		       json_real_value(json_object_get(bound, "value")),
		       json_string_value(json_object_get(bound, "relation")),
		       json_real_value(json_object_get(bound, "bound")));
	}
}

bool sim_report_finish(struct sim_report *report, const char *path)
{
	json_t *root =
		json_pack("{s:o, s:o, s:o, s:b}", "requests", report->requests,
			  "days", report->days, "bounds", report->bounds,
			  "passed", report->passed);
	bool passed = report->passed;

	bounds_print(report);
	if (path && json_dump_file(root, path, JSON_INDENT(1)) != 0) {
		fprintf(stderr, "%s: cannot be written\n", path);
		passed = false;
	}
	json_decref(root);
	g_free(report);
	return passed;
}
