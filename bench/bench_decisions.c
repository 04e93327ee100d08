/**
 * @file bench_decisions.c
 * @brief Decisions under load and faults, in virtual time, with bounds.
 *
 * Usage: bench_decisions [--seed N] [--json FILE]. Exits with 1 when a bound
 * is not met.
 */
#include <stdio.h>
#include <stdlib.h>

#include "dec_cost.h"
#include "dec_limit.h"
#include "dec_moves.h"
#include "dec_report.h"
#include "dec_serve.h"

#define SEED 20261203
#define LIMIT_SHARE_PERCENT 95.0
#define MOVES_RATIO 0.5
#define PLAN_VMS 1700u
#define PLAN_POOLS 46u
#define PLAN_MS 50.0
#define QUEUE_SHORT 100u
#define QUEUE_LONG 100000u
#define QUEUE_RATIO 2.0

static const struct dec_policy policies[] = {
	{ .name = "chosen" },
	{ .name = "retries, no budget", .free_retries = true },
	{ .name = "no ejection", .no_ejection = true },
	{ .name = "round robin", .round_robin = true, .free_retries = true },
};

static void result_clear(struct dec_result *result)
{
	g_array_unref(result->retry_errors_ms);
}

static void bound_name(char *name, size_t size, const char *what,
		       const char *fleet)
{
	g_snprintf(name, size, "%s (%s)", what, fleet);
}

/* Checks the chosen policy against the limit that knows no sizes. */
static void check_chosen(struct dec_report *report,
			 const struct dec_trace *trace,
			 const struct dec_result *chosen,
			 const struct dec_result *limit)
{
	double share = 100.0 * chosen->burst.on_time / limit->burst.on_time;
	g_autofree char *fleet =
		g_strdup_printf("%s, %s", trace->deployment->name, trace->name);
	char name[80];

	bound_name(name, sizeof(name), "on time in bursts, % of limit", fleet);
	dec_report_at_least(report, name, share, LIMIT_SHARE_PERCENT);
	bound_name(name, sizeof(name), "attempts beyond slots", fleet);
	dec_report_at_most(report, name, (double)chosen->over_commit, 0);
}

static void run_trace(struct dec_report *report, const struct dec_trace *trace)
{
	struct dec_result results[G_N_ELEMENTS(policies)] = { 0 };
	struct dec_result blind = { 0 };
	struct dec_result knowing = { 0 };

	dec_limit_knowing(trace, &knowing);
	dec_limit_blind(trace, &blind);
	dec_report_add(report, &knowing);
	dec_report_add(report, &blind);
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		dec_serve(trace, &policies[i], &results[i]);
		dec_report_add(report, &results[i]);
	}
	check_chosen(report, trace, &results[0], &blind);
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++)
		result_clear(&results[i]);
	result_clear(&blind);
	result_clear(&knowing);
}

static void run_requests(struct dec_report *report, uint32_t seed)
{
	const struct dec_deployment *fleets[] = { &dec_officials,
						  &dec_tsurugi };

	dec_report_requests();
	for (size_t i = 0; i < G_N_ELEMENTS(fleets); i++) {
		for (uint32_t faults = 0; faults < 2; faults++) {
			struct dec_trace *trace =
				dec_trace_create(fleets[i], faults != 0, seed);

			run_trace(report, trace);
			dec_trace_destroy(trace);
		}
	}
}

static struct dec_moves run_day(struct dec_report *report,
				const struct dec_deployment *fleet,
				const struct bundle_weights *weights,
				enum dec_sizing sizing, const char *name,
				uint32_t seed)
{
	struct dec_moves moves = dec_moves_run(fleet, weights, sizing, seed);

	moves.policy = name;
	dec_report_day(report, fleet->name, &moves);
	return moves;
}

static void run_days(struct dec_report *report,
		     const struct dec_deployment *fleet, uint32_t seed)
{
	const struct bundle_weights *weights = &fleet->weights;
	struct dec_moves officials =
		run_day(report, fleet, &dec_officials.weights,
			DEC_SIZING_PLANNED, "planned, officials", seed);
	struct dec_moves tsurugi =
		run_day(report, fleet, &dec_tsurugi.weights, DEC_SIZING_PLANNED,
			"planned, tsurugi", seed);
	char name[80];

	run_day(report, fleet, weights, DEC_SIZING_STATIC, "static", seed);
	run_day(report, fleet, weights, DEC_SIZING_THRESHOLD,
		"threshold, no hysteresis", seed);
	bound_name(name, sizeof(name), "moves, officials' to Tsurugi's weights",
		   fleet->name);
	dec_report_at_most(report, name,
			   (double)officials.moves / MAX(tsurugi.moves, 1),
			   MOVES_RATIO);
	bound_name(name, sizeof(name),
		   "buffer, Tsurugi's to officials' weights", fleet->name);
	dec_report_at_most(report, name,
			   tsurugi.buffer_slots / officials.buffer_slots, 1.0);
	bound_name(name, sizeof(name), "moves during bursts", fleet->name);
	dec_report_at_most(report, name,
			   officials.moves_in_burst + tsurugi.moves_in_burst,
			   0);
	bound_name(name, sizeof(name), "seconds below a floor", fleet->name);
	dec_report_at_most(
		report, name,
		officials.floor_violations + tsurugi.floor_violations, 0);
}

static void run_costs(struct dec_report *report)
{
	double short_ns = dec_cost_queue_ns(QUEUE_SHORT);
	double long_ns = short_ns;

	printf("\nadmit and take: %.0f ns with %u waiting", short_ns,
	       QUEUE_SHORT);
	for (uint32_t length = QUEUE_SHORT * 10; length <= QUEUE_LONG;
	     length *= 10) {
		long_ns = dec_cost_queue_ns(length);
		printf(", %.0f ns with %u", long_ns, length);
	}
	printf("\n");
	dec_report_at_most(report, "decision cost, 10^5 to 10^2 waiting",
			   long_ns / short_ns, QUEUE_RATIO);
	dec_report_at_most(report, "plan of moves, 1,700 VMs, 46 pools, ms",
			   dec_cost_plan_ms(PLAN_VMS, PLAN_POOLS), PLAN_MS);
}

int main(int argc, char **argv)
{
	gint seed = SEED;
	g_autofree char *json = NULL;
	const GOptionEntry options[] = {
		{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "seed of the traces",
		  "N" },
		{ "json", 0, 0, G_OPTION_ARG_FILENAME, &json,
		  "file for the results", "FILE" },
		{ 0 },
	};
	g_autoptr(GOptionContext) context = g_option_context_new(NULL);
	struct dec_report *report;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL))
		return 2;
	report = dec_report_create();
	printf("seed %d\n", seed);
	run_requests(report, (uint32_t)seed);
	dec_report_days();
	run_days(report, &dec_officials, (uint32_t)seed);
	run_days(report, &dec_tsurugi, (uint32_t)seed);
	run_costs(report);
	return dec_report_finish(report, json) ? EXIT_SUCCESS : EXIT_FAILURE;
}
