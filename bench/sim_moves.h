/**
 * @file sim_moves.h
 * @brief Simulates the rebalancing of VMs between pools over one day.
 */
#ifndef SIM_MOVES_H
#define SIM_MOVES_H

#include "sim_trace.h"

/** Policy for the sizes of pools. */
enum sim_sizing {
	SIM_SIZING_PLANNED,
	SIM_SIZING_STATIC,
	/** current demand plus fixed headroom, without hysteresis */
	SIM_SIZING_THRESHOLD,
};

/** Result of one sizing policy over the day. */
struct sim_moves {
	const char *policy;
	uint32_t moves;
	/** moves that replaced a failed VM, included in moves */
	uint32_t replacements;
	/**
	 * moves other than replacements that were decided while the source or
	 * target pool was in a burst
	 */
	uint32_t moves_in_burst;
	/** mean number of idle slots, without the spare pool */
	double buffer_slots;
	/**
	 * share of the demand outside of bursts for which slots were missing
	 */
	double shortfall;
	/** seconds, summed over pools, with fewer ready VMs than the floor */
	uint32_t floor_violations;
};

/**
 * @brief Simulates a day.
 * @param weights cost weights for the planner, in place of the fleet's own
 * @param seed seed of the noise in demand and of VM failures
 */
struct sim_moves sim_moves_run(const struct sim_deployment *fleet,
			       const struct bundle_weights *weights,
			       enum sim_sizing sizing, uint32_t seed);

#endif
