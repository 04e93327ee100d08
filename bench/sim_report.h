/**
 * @file sim_report.h
 * @brief Prints tables, writes JSON and checks the bounds of the bench.
 */
#ifndef SIM_REPORT_H
#define SIM_REPORT_H

#include <stdbool.h>

#include "sim_moves.h"
#include "sim_result.h"

/** A report under construction, opaque. */
struct sim_report;

/** @brief Creates an empty report, freed by sim_report_finish(). */
struct sim_report *sim_report_create(void);

/** @brief Prints the header of the table of dispatch results. */
void sim_report_requests_header(void);

/** @brief Prints and records the result of one dispatch simulation. */
void sim_report_add_result(struct sim_report *report,
			   const struct sim_result *result);

/** @brief Prints the header of the table of rebalancing results. */
void sim_report_days_header(void);

/** @brief Prints and records the result of one rebalancing simulation. */
void sim_report_add_day(struct sim_report *report, const char *fleet,
			const struct sim_moves *moves);

/** @brief Records a check that value <= bound. */
void sim_report_check_at_most(struct sim_report *report, const char *name,
			      double value, double bound);

/** @brief Records a check that value >= bound. */
void sim_report_check_at_least(struct sim_report *report, const char *name,
			       double value, double bound);

/**
 * @brief Prints the checks, writes the JSON and frees the report.
 * @param path file to write, or NULL for none
 * @return true if all bounds are met and the file was written
 */
bool sim_report_finish(struct sim_report *report, const char *path);

#endif
