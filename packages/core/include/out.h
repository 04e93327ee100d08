/**
 * @file out.h
 * @brief The closed list of outcomes of a caller's request.
 *
 * Prefix: out_. Each request ends with exactly one outcome. The table maps
 * it to the HTTP status, to the value of the Sassafrascart-Outcome header
 * and to the name of its counter.
 */
#ifndef OUT_H
#define OUT_H

#include <stdbool.h>
#include <stdint.h>

/** Name of the answer header that carries the outcome. */
#define OUT_HEADER "sassafrascart-outcome"

/** Whether a backend server ran the request. */
enum out_run {
	OUT_RUN_YES,
	OUT_RUN_NO,
	OUT_RUN_UNKNOWN,
};

/** Outcomes of a request. */
enum out_kind {
	OUT_ANSWERED,
	OUT_BAD_REQUEST,
	OUT_NO_ROUTE,
	OUT_NO_BUNDLE,
	OUT_NO_VM,
	OUT_STALE_VIEW,
	OUT_QUEUE_FULL,
	OUT_QUEUE_BYTES,
	OUT_WOULD_EXPIRE,
	OUT_EXPIRED,
	OUT_CANCELLED,
	OUT_CALLER_GONE,
	OUT_SHUTTING_DOWN,
	OUT_CONNECT_FAILED,
	OUT_DUPLICATE_KEY,
	OUT_CLAIM_FAILED,
	OUT_TIMEOUT,
	OUT_CUT,
	OUT_MISMATCH,
	OUT_ANSWER_TOO_LARGE,
	OUT_KIND_COUNT
};

/** One row of the outcome table. */
struct out_row {
	/** short name, also the counter's label and the reason in headers */
	const char *name;
	/** HTTP status; 0 where the backend server's own status is passed on */
	uint16_t status;
	/** whether the request ran */
	enum out_run run;
	/** whether a Retry-After header is sent */
	bool retry_after;
	/** one sentence for the answer's body and the callers' page */
	const char *text;
};

/**
 * @brief Returns the table's row of an outcome.
 * @param kind any outcome of the list
 * @return a constant row
 */
const struct out_row *out_row(enum out_kind kind);

/**
 * @brief Returns "ran", "not-run" or "unknown".
 * @param run any value of the enumeration
 * @return a constant string
 */
const char *out_run_name(enum out_run run);

/**
 * @brief Replaces an outcome that says not run by one that is true.
 * @param outcome outcome of the last step of a request
 * @param sent outcome of the last attempt that was sent, OUT_KIND_COUNT if
 *        none was
 */
enum out_kind out_truthful(enum out_kind outcome, enum out_kind sent);

#endif
