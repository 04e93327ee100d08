/**
 * @file dec_result.h
 * @brief What one policy made of one trace.
 */
#ifndef DEC_RESULT_H
#define DEC_RESULT_H

#include <glib.h>
#include <stdint.h>

#include "dec_trace.h"

/** Counts over requests that count, see dec_request_counts(). */
struct dec_tally {
	uint32_t requests;
	/** answered before the deadline */
	uint32_t on_time;
	/** refused or expired while waiting: not run */
	uint32_t not_run;
	/** timed out or cut after it was sent */
	uint32_t unknown;
};

/** The result of one policy on one trace. */
struct dec_result {
	const char *policy;
	const char *trace;
	const char *deployment;
	struct dec_tally all;
	struct dec_tally burst;
	/** slot time used, and how much of it for callers who had gone */
	uint64_t busy_ms;
	uint64_t gone_ms;
	uint64_t attempts;
	uint64_t retries;
	/** attempts sent to a worker whose slots were all in use */
	uint64_t over_commit;
	/** told less the time until a slot was free, one for each refusal */
	GArray *retry_errors_ms;
};

/** @brief Counts one request's end; on_time only with was_run. */
void dec_result_count(struct dec_result *result,
		      const struct dec_request *request, bool was_run,
		      bool on_time);

/** @brief Returns on-time answers as a share in thousandths. */
uint32_t dec_on_time_permille(const struct dec_tally *tally);

#endif
