/**
 * @file sim_moves.h
 * @brief Runs a day of demand through the planner of moves.
 */
#ifndef SIM_MOVES_H
#define SIM_MOVES_H

#include "sim_trace.h"

/** How pools are sized. */
enum sim_sizing {
	SIM_SIZING_PLANNED,
	SIM_SIZING_STATIC,
	/** demand of the moment against a threshold, without hysteresis */
	SIM_SIZING_THRESHOLD,
};

/** What one way of sizing made of the day. */
struct sim_moves {
	const char *policy;
	uint32_t moves;
	/** of these the replacements of VMs that failed */
	uint32_t replacements;
	/** moves by demand decided while the giving or the taking pool was in a
	 * burst */
	uint32_t moves_in_burst;
	/** mean idle slots that pools but the spare one hold */
	double buffer_slots;
	/** share of the slots wanted outside of bursts that pools lacked */
	double shortfall;
	/** pool-seconds with fewer ready VMs than the floor */
	uint32_t floor_violations;
};

/** @brief Runs the day of a seed with the weights of a deployment. */
struct sim_moves sim_moves_run(const struct sim_deployment *fleet,
			       const struct bundle_weights *weights,
			       enum sim_sizing sizing, uint32_t seed);

#endif
