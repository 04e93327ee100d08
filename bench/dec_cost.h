/**
 * @file dec_cost.h
 * @brief Processor time of decisions, as ratios and against fixed bounds.
 */
#ifndef DEC_COST_H
#define DEC_COST_H

#include <stdint.h>

/** @brief Median time to admit and take one request with a queue this long. */
double dec_cost_queue_ns(uint32_t length);

/** @brief Median time of a plan of moves over so many VMs and pools. */
double dec_cost_plan_ms(uint32_t vms, uint32_t pools);

#endif
