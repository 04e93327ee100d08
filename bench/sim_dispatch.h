/**
 * @file sim_dispatch_run.h
 * @brief Runs a trace through the entries' decisions in virtual time.
 */
#ifndef SIM_DISPATCH_H
#define SIM_DISPATCH_H

#include "sim_result.h"

/** How the entries decide. */
struct sim_policy {
	const char *name;
	/** sends to the pool's next VM at once, without queue or slots */
	bool round_robin;
	/** retries without a budget */
	bool free_retries;
	/** failing workers stay in use */
	bool no_ejection;
};

/** @brief Runs a trace. @param result zeroed; filled */
void sim_dispatch_run(const struct sim_trace *trace, const struct sim_policy *policy,
	       struct sim_result *result);

#endif
