/**
 * @file sim_result.h
 * @brief Result of one dispatch policy on one trace.
 */
#ifndef SIM_RESULT_H
#define SIM_RESULT_H

#include <glib.h>
#include <stdint.h>

#include "sim_trace.h"

/** Number of requests by outcome; only those with sim_request_counts(). */
struct sim_tally {
	uint32_t requests;
	/** answered before the deadline */
	uint32_t on_time;
	/** refused, or expired while queued */
	uint32_t not_run;
	/** run, but without an answer before the deadline */
	uint32_t unknown;
};

struct sim_result {
	const char *policy;
	const char *trace;
	const char *deployment;
	struct sim_tally all;
	struct sim_tally burst;
	/** slot time used, and the part of it after the caller had cancelled */
	uint64_t busy_ms;
	uint64_t wasted_ms;
	uint64_t attempts;
	uint64_t retries;
	/** attempts sent to a VM whose slots were all in use */
	uint64_t over_commit;
	/**
	 * int64_t for each refusal: Retry-After minus the actual time until a
	 * slot was free
	 */
	GArray *retry_errors_ms;
};

/** @brief Counts the end of a request; on_time implies was_run. */
void sim_result_count(struct sim_result *result,
		      const struct sim_request *request, bool was_run,
		      bool on_time);

/** @brief Returns the share of requests answered on time, per mille. */
uint32_t sim_on_time_permille(const struct sim_tally *tally);

#endif
