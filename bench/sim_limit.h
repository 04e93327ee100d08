/**
 * @file sim_limit.h
 * @brief Estimates how many requests admission and dispatch could answer on
 * time.
 *
 * Assumes one central queue for each pool that sees free slots, deadlines,
 * cancelled requests and faulty VMs without delay. Each pool is simulated
 * with several scheduling rules, and the best result is taken.
 */
#ifndef SIM_LIMIT_H
#define SIM_LIMIT_H

#include "sim_result.h"

/**
 * @brief Limit without knowledge of run times.
 *
 * Best of first come first served, last come first served and earliest
 * deadline first.
 */
void sim_limit_nonclairvoyant(const struct sim_trace *trace,
			      struct sim_result *result);

/**
 * @brief Limit with knowledge of run times, failures and cancellations.
 *
 * Best of earliest deadline first and shortest job first.
 */
void sim_limit_clairvoyant(const struct sim_trace *trace,
			   struct sim_result *result);

#endif
