/**
 * @file sim_report.h
 * @brief Table and JSON of the decision bench, with the verdict on bounds.
 */
#ifndef SIM_REPORT_H
#define SIM_REPORT_H

#include <stdbool.h>

#include "sim_moves.h"
#include "sim_result.h"

/** A report under construction, opaque. */
struct sim_report;

/** @brief Creates an empty report, ended by sim_report_finish(). */
struct sim_report *sim_report_create(void);

/** @brief Prints the heading of the table of requests. */
void sim_report_requests_header(void);

/** @brief Adds one result. */
void sim_report_add_result(struct sim_report *report,
			   const struct sim_result *result);

/** @brief Prints the heading of the table of moves. */
void sim_report_days_header(void);

/** @brief Adds one day of moves. */
void sim_report_add_day(struct sim_report *report, const char *fleet,
			const struct sim_moves *moves);

/** @brief Adds a value that may be at most its bound. */
void sim_report_check_at_most(struct sim_report *report, const char *name,
			      double value, double bound);

/** @brief Adds a value that may be no less than its bound. */
void sim_report_check_at_least(struct sim_report *report, const char *name,
			       double value, double bound);

/**
 * @brief Writes the JSON and frees the report.
 * @param path file to write, or NULL for none
 * @return whether all bounds are met
 */
bool sim_report_finish(struct sim_report *report, const char *path);

#endif
