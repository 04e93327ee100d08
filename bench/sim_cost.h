/**
 * @file sim_cost.h
 * @brief Processor time of decisions, as ratios and against fixed bounds.
 */
#ifndef SIM_COST_H
#define SIM_COST_H

#include <stdint.h>

/** @brief Median time to admit and take one request with a queue this long. */
double sim_cost_queue_ns(uint32_t length);

/** @brief Median time of a plan of moves over so many VMs and pools. */
double sim_cost_plan_ms(uint32_t vms, uint32_t pools);

#endif
