/**
 * @file sim_result.h
 * @brief What one policy made of one trace.
 */
#ifndef SIM_RESULT_H
#define SIM_RESULT_H

#include <glib.h>
#include <stdint.h>

#include "sim_trace.h"

/** Counts over requests that count, see sim_request_counts(). */
struct sim_tally {
	uint32_t requests;
	/** answered before the deadline */
	uint32_t on_time;
	/** refused or expired while waiting: not run */
	uint32_t not_run;
	/** timed out or cut after it was sent */
	uint32_t unknown;
};

/** The result of one policy on one trace. */
struct sim_result {
	const char *policy;
	const char *trace;
	const char *deployment;
	struct sim_tally all;
	struct sim_tally burst;
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
void sim_result_count(struct sim_result *result,
		      const struct sim_request *request, bool was_run,
		      bool on_time);

/** @brief Returns on-time answers as a share in thousandths. */
uint32_t sim_on_time_permille(const struct sim_tally *tally);

#endif
