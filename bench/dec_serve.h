/**
 * @file dec_serve.h
 * @brief Runs a trace through the entries' decisions in virtual time.
 */
#ifndef DEC_SERVE_H
#define DEC_SERVE_H

#include "dec_result.h"

/** How the entries decide. */
struct dec_policy {
	const char *name;
	/** sends to the pool's next VM at once, without queue or slots */
	bool round_robin;
	/** retries without a budget */
	bool free_retries;
	/** failing workers stay in use */
	bool no_ejection;
};

/** @brief Runs a trace. @param result zeroed; filled */
void dec_serve(const struct dec_trace *trace, const struct dec_policy *policy,
	       struct dec_result *result);

#endif
