/**
 * @file sim_cost.h
 * @brief Measures the processor time of admission and of rebalancing plans.
 */
#ifndef SIM_COST_H
#define SIM_COST_H

#include <stdint.h>

/** @brief Returns the median time in ns to pop and push at a queue length. */
double sim_cost_queue_ns(uint32_t length);

/** @brief Returns the median time in ms to plan the moves of a fleet. */
double sim_cost_plan_ms(uint32_t vms, uint32_t pools);

#endif
