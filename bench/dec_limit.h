/**
 * @file dec_limit.h
 * @brief Limits of what admission and dispatch could reach on a trace.
 *
 * One queue a pool, shared by all entries, that knows at once of free slots,
 * deadlines, callers gone and faulty workers. Several rules are tried for
 * each pool and the best one counts.
 */
#ifndef DEC_LIMIT_H
#define DEC_LIMIT_H

#include "dec_result.h"

/** @brief Best of first, last and earliest deadline first; sizes unknown. */
void dec_limit_blind(const struct dec_trace *trace, struct dec_result *result);

/** @brief Best of earliest deadline and shortest first; all is known. */
void dec_limit_knowing(const struct dec_trace *trace,
		       struct dec_result *result);

#endif
