/**
 * @file outcome.h
 * @brief Outcomes of a caller's request.
 *
 * Prefix: outcome_. Each request ends with exactly one outcome. A table maps it
 * to the HTTP status, to the value of the Sassafrascart-Outcome header and to
 * the name of its counter.
 */
#ifndef OUTCOME_H
#define OUTCOME_H

#include <stdbool.h>
#include <stdint.h>

/** Name of the response header that carries the outcome. */
#define OUTCOME_HEADER "sassafrascart-outcome"

/** Whether a backend server ran the request. */
enum outcome_run {
	OUTCOME_RUN_YES,
	OUTCOME_RUN_NO,
	OUTCOME_RUN_UNKNOWN,
};

/** Outcomes of a request. */
enum outcome {
	OUTCOME_ANSWERED,
	OUTCOME_BAD_REQUEST,
	OUTCOME_NO_ROUTE,
	OUTCOME_NO_BUNDLE,
	OUTCOME_NO_VM,
	OUTCOME_STALE_VIEW,
	OUTCOME_QUEUE_FULL,
	OUTCOME_QUEUE_BYTES,
	OUTCOME_WOULD_EXPIRE,
	OUTCOME_EXPIRED,
	OUTCOME_CANCELLED,
	OUTCOME_CALLER_GONE,
	OUTCOME_SHUTTING_DOWN,
	OUTCOME_CONNECT_FAILED,
	OUTCOME_DUPLICATE_KEY,
	OUTCOME_CLAIM_FAILED,
	OUTCOME_TIMEOUT,
	OUTCOME_CUT,
	OUTCOME_MISMATCH,
	OUTCOME_ANSWER_TOO_LARGE,
	OUTCOME_CONNECTION_LIMIT,
	OUTCOME_COUNT
};

/** One row of the outcome table. */
struct outcome_row {
	/** short name, also the counter's label and the reason in the header */
	const char *name;
	/** HTTP status; 0 where the backend server's own status is passed on */
	uint16_t status;
	/** whether the request ran */
	enum outcome_run run;
	/** whether a Retry-After header is sent */
	bool retry_after;
	/** one sentence for the response body and the caller documentation */
	const char *text;
};

/**
 * @brief Returns the table row of an outcome.
 * @param kind any outcome of the list
 * @return a constant row
 */
const struct outcome_row *outcome_row(enum outcome kind);

/**
 * @brief Returns "ran", "not-run" or "unknown".
 * @param run any value of the enumeration
 * @return a constant string
 */
const char *outcome_run_name(enum outcome_run run);

/**
 * @brief Corrects an outcome that says "not run" although an attempt was sent.
 * @param outcome outcome of the last step of a request
 * @param sent outcome of the last attempt that was sent, OUTCOME_COUNT if none
 *        was
 * @return the outcome to report
 */
enum outcome outcome_after_send(enum outcome outcome, enum outcome sent);

#endif
