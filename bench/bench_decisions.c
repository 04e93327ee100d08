/**
 * @file bench_decisions.c
 * @brief Simulates dispatch and rebalancing policies and checks bounds.
 *
 * Runs generated traces with load bursts and faults in virtual time through
 * the decision code of packages/core and through alternative policies.
 *
 * Usage: bench_decisions [--seed N] [--json FILE]. Exits with 1 if a bound
 * is not met.
 */
#include <stdio.h>
#include <stdlib.h>

#include "sim_cost.h"
#include "sim_limit.h"
#include "sim_moves.h"
#include "sim_report.h"
#include "sim_dispatch.h"

#define SEED 20261203
#define LIMIT_SHARE_PERCENT 95.0
#define MOVES_RATIO 0.5
#define PLAN_VMS 1700u
#define PLAN_POOLS 46u
#define PLAN_MS 50.0
#define QUEUE_SHORT 100u
#define QUEUE_LONG 100000u
#define QUEUE_RATIO 2.0

static const struct sim_policy policies[] = {
	{ .name = "chosen" },
	{ .name = "retries, no budget", .no_retry_budget = true },
	{ .name = "no ejection", .no_ejection = true },
	{ .name = "round robin", .round_robin = true, .no_retry_budget = true },
};

static void result_clear(struct sim_result *result)
{
	g_array_unref(result->retry_errors_ms);
}

static void bound_name_format(char *name, size_t size, const char *figure,
			      const char *fleet)
{
	g_snprintf(name, size, "%s (%s)", figure, fleet);
}

/* Checks the production policy against the nonclairvoyant limit. */
static void chosen_check(struct sim_report *report,
			 const struct sim_trace *trace,
			 const struct sim_result *chosen,
			 const struct sim_result *limit)
{
	double share = 100.0 * chosen->burst.on_time / limit->burst.on_time;
	g_autofree char *fleet =
		g_strdup_printf("%s, %s", trace->deployment->name, trace->name);
	char name[80];

	bound_name_format(name, sizeof(name), "on time in bursts, % of limit",
			  fleet);
	sim_report_check_at_least(report, name, share, LIMIT_SHARE_PERCENT);
	bound_name_format(name, sizeof(name), "attempts beyond slots", fleet);
	sim_report_check_at_most(report, name, (double)chosen->over_commit, 0);
}

static void run_trace(struct sim_report *report, const struct sim_trace *trace)
{
	struct sim_result results[G_N_ELEMENTS(policies)] = { 0 };
	struct sim_result nonclairvoyant = { 0 };
	struct sim_result clairvoyant = { 0 };

	sim_limit_clairvoyant(trace, &clairvoyant);
	sim_limit_nonclairvoyant(trace, &nonclairvoyant);
	sim_report_add_result(report, &clairvoyant);
	sim_report_add_result(report, &nonclairvoyant);
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		sim_dispatch_run(trace, &policies[i], &results[i]);
		sim_report_add_result(report, &results[i]);
	}
	chosen_check(report, trace, &results[0], &nonclairvoyant);
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++)
		result_clear(&results[i]);
	result_clear(&nonclairvoyant);
	result_clear(&clairvoyant);
}

static void run_requests(struct sim_report *report, uint32_t seed)
{
	const struct sim_deployment *deployments[] = { &sim_officials,
						       &sim_tsurugi };

	sim_report_requests_header();
	for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++) {
		for (uint32_t faults = 0; faults < 2; faults++) {
			struct sim_trace *trace = sim_trace_create(
				deployments[i], faults != 0, seed);

			run_trace(report, trace);
			sim_trace_destroy(trace);
		}
	}
}

static struct sim_moves run_day(struct sim_report *report,
				const struct sim_deployment *fleet,
				const struct bundle_weights *weights,
				enum sim_sizing sizing, const char *name,
				uint32_t seed)
{
	struct sim_moves moves = sim_moves_run(fleet, weights, sizing, seed);

	moves.policy = name;
	sim_report_add_day(report, fleet->name, &moves);
	return moves;
}

static void run_days(struct sim_report *report,
		     const struct sim_deployment *fleet, uint32_t seed)
{
	const struct bundle_weights *weights = &fleet->weights;
	struct sim_moves officials =
		run_day(report, fleet, &sim_officials.weights,
			SIM_SIZING_PLANNED, "planned, officials", seed);
	struct sim_moves tsurugi =
		run_day(report, fleet, &sim_tsurugi.weights, SIM_SIZING_PLANNED,
			"planned, tsurugi", seed);
	char name[80];

	run_day(report, fleet, weights, SIM_SIZING_STATIC, "static", seed);
	run_day(report, fleet, weights, SIM_SIZING_THRESHOLD,
		"threshold, no hysteresis", seed);
	bound_name_format(name, sizeof(name),
			  "moves, officials' to Tsurugi's weights",
			  fleet->name);
	sim_report_check_at_most(
		report, name, (double)officials.moves / MAX(tsurugi.moves, 1),
		MOVES_RATIO);
	bound_name_format(name, sizeof(name),
			  "buffer, Tsurugi's to officials' weights",
			  fleet->name);
	sim_report_check_at_most(report, name,
				 tsurugi.buffer_slots / officials.buffer_slots,
				 1.0);
	bound_name_format(name, sizeof(name), "moves during bursts",
			  fleet->name);
	sim_report_check_at_most(
		report, name, officials.moves_in_burst + tsurugi.moves_in_burst,
		0);
	bound_name_format(name, sizeof(name), "seconds below a floor",
			  fleet->name);
	sim_report_check_at_most(
		report, name,
		officials.floor_violations + tsurugi.floor_violations, 0);
}

static void run_costs(struct sim_report *report)
{
	double short_ns = sim_cost_queue_ns(QUEUE_SHORT);
	double long_ns = short_ns;

	printf("\nadmit and take: %.0f ns with %u waiting", short_ns,
	       QUEUE_SHORT);
	for (uint32_t length = QUEUE_SHORT * 10; length <= QUEUE_LONG;
	     length *= 10) {
		long_ns = sim_cost_queue_ns(length);
		printf(", %.0f ns with %u", long_ns, length);
	}
	printf("\n");
	sim_report_check_at_most(report, "decision cost, 10^5 to 10^2 waiting",
				 long_ns / short_ns, QUEUE_RATIO);
	sim_report_check_at_most(
		report, "plan of moves, 1,700 VMs, 46 pools, ms",
		sim_cost_plan_ms(PLAN_VMS, PLAN_POOLS), PLAN_MS);
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
	struct sim_report *report;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL))
		return 2;
	report = sim_report_create();
	printf("seed %d\n", seed);
	run_requests(report, (uint32_t)seed);
	sim_report_days_header();
	run_days(report, &sim_officials, (uint32_t)seed);
	run_days(report, &sim_tsurugi, (uint32_t)seed);
	run_costs(report);
	return sim_report_finish(report, json) ? EXIT_SUCCESS : EXIT_FAILURE;
}
