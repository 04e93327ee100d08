/**
 * @file dec_moves.h
 * @brief Runs a day of demand through the planner of moves.
 */
#ifndef DEC_MOVES_H
#define DEC_MOVES_H

#include "dec_trace.h"

/** How pools are sized. */
enum dec_sizing {
	DEC_SIZING_PLANNED,
	DEC_SIZING_STATIC,
	/** demand of the moment against a threshold, without hysteresis */
	DEC_SIZING_THRESHOLD,
};

/** What one way of sizing made of the day. */
struct dec_moves {
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
struct dec_moves dec_moves_run(const struct dec_deployment *fleet,
			       const struct bundle_weights *weights,
			       enum dec_sizing sizing, uint32_t seed);

#endif
