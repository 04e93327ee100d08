/**
 * @file sim_limit.h
 * @brief Limits of what admission and dispatch could reach on a trace.
 *
 * One queue a pool, shared by all entries, that knows at once of free slots,
 * deadlines, callers gone and faulty workers. Several rules are tried for
 * each pool and the best one counts.
 */
#ifndef SIM_LIMIT_H
#define SIM_LIMIT_H

#include "sim_result.h"

/** @brief Best of first, last and earliest deadline first; sizes unknown. */
void sim_limit_nonclairvoyant(const struct sim_trace *trace,
			      struct sim_result *result);

/** @brief Best of earliest deadline and shortest first; all is known. */
void sim_limit_clairvoyant(const struct sim_trace *trace,
			   struct sim_result *result);

#endif
