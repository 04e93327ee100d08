/**
 * @file urgency.h
 * @brief Urgency of work that waits: what is started first.
 *
 * Prefix: urgency_. Pure. A job is worth its value only within its objective,
 * so what can still make it goes before what cannot. Among these the earliest
 * deadline goes first, begun or not: in a burst beyond the room of a pool,
 * short jobs would else wait behind long ones that have more time, and behind
 * the later steps of those.
 */
#ifndef URGENCY_H
#define URGENCY_H

#include <stdbool.h>
#include <stdint.h>

/** Bands of urgency, the most urgent first. */
enum urgency_band {
	/** tasks that run until cancelled, missed from their start */
	URGENCY_BAND_LONG_RUNNING,
	URGENCY_BAND_ON_TIME,
	/** late, but still of some worth */
	URGENCY_BAND_LATE,
	URGENCY_BAND_EXPIRED,
};

/** Work that waits. */
struct urgency_work {
	bool long_running;
	/** 0 comes first */
	uint32_t priority;
	/** when it arrived or fell due */
	uint64_t since_ms;
	/** objective, counted from since_ms */
	uint64_t objective_ms;
	/** longest chain of what is still to be done */
	uint64_t critical_path_ms;
};

/** Multiple of the objective after which a job is worth nothing. */
#define URGENCY_LATE_FACTOR 3

/** @brief Returns the band of work at a time. */
enum urgency_band urgency_band_of(const struct urgency_work *work,
				  uint64_t now_ms);

/**
 * @brief Returns a key by which work is sorted, the lowest first.
 *
 * Band first, then priority, then the deadline.
 */
uint64_t urgency_sort_key(const struct urgency_work *work, uint64_t now_ms);

#endif
