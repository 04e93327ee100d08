/**
 * @file dec_report.h
 * @brief Table and JSON of the decision bench, with the verdict on bounds.
 */
#ifndef DEC_REPORT_H
#define DEC_REPORT_H

#include <stdbool.h>

#include "dec_moves.h"
#include "dec_result.h"

/** A report under construction, opaque. */
struct dec_report;

/** @brief Creates an empty report, ended by dec_report_finish(). */
struct dec_report *dec_report_create(void);

/** @brief Prints the heading of the table of requests. */
void dec_report_requests(void);

/** @brief Adds one result. */
void dec_report_add(struct dec_report *report, const struct dec_result *result);

/** @brief Prints the heading of the table of moves. */
void dec_report_days(void);

/** @brief Adds one day of moves. */
void dec_report_day(struct dec_report *report, const char *fleet,
		    const struct dec_moves *moves);

/** @brief Adds a value that may be at most its bound. */
void dec_report_at_most(struct dec_report *report, const char *name,
			double value, double bound);

/** @brief Adds a value that may be no less than its bound. */
void dec_report_at_least(struct dec_report *report, const char *name,
			 double value, double bound);

/**
 * @brief Writes the JSON and frees the report.
 * @param path file to write, or NULL for none
 * @return whether all bounds are met
 */
bool dec_report_finish(struct dec_report *report, const char *path);

#endif
