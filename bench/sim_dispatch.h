/**
 * @file sim_dispatch.h
 * @brief Simulates admission, dispatch and retries of a trace.
 */
#ifndef SIM_DISPATCH_H
#define SIM_DISPATCH_H

#include "sim_result.h"

/** How the gateways dispatch requests. */
struct sim_policy {
	const char *name;
	/** sends to the pool's next VM, without admission queue or slots */
	bool round_robin;
	/** retries need no tokens of the retry budget */
	bool no_retry_budget;
	/** no outlier ejection: failing VMs stay in use */
	bool no_ejection;
};

/**
 * @brief Simulates a trace in virtual time.
 * @param result zeroed by the caller; its array is freed by the caller
 */
void sim_dispatch_run(const struct sim_trace *trace,
		      const struct sim_policy *policy,
		      struct sim_result *result);

#endif
