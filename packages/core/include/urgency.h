/**
 * @file urgency.h
 * @brief Urgency of queued work: the order in which it is started.
 *
 * Prefix: urgency_. No I/O. A job has its full value only if it completes
 * within its objective, so work that can still meet its deadline goes before
 * work that cannot. Within this band the earliest deadline goes first, whether
 * or not the job has started. Otherwise, in a burst that exceeds the capacity
 * of a pool, short jobs would wait behind long jobs with later deadlines and
 * behind the later steps of those.
 */
#ifndef URGENCY_H
#define URGENCY_H

#include <stdbool.h>
#include <stdint.h>

/** Bands of urgency, the most urgent first. */
enum urgency_band {
	/** tasks that run until cancelled; they are needed at once */
	URGENCY_BAND_LONG_RUNNING,
	/** can still meet the deadline */
	URGENCY_BAND_ON_TIME,
	/** will miss the deadline, but still has some value */
	URGENCY_BAND_LATE,
	/** beyond what its account is entitled to, and not too late */
	URGENCY_BAND_EXCESS,
	/** too late to have any value */
	URGENCY_BAND_EXPIRED,
};

/** Work that is queued. */
struct urgency_work {
	/** runs until cancelled */
	bool long_running;
	/** beyond what the client account that submitted it is entitled to */
	bool excess;
	/** 0 comes first */
	uint32_t priority;
	/** time at which it arrived or became due */
	uint64_t since_ms;
	/** time from since_ms to the deadline */
	uint64_t objective_ms;
	/** duration of the longest chain of remaining steps */
	uint64_t critical_path_ms;
};

/** Multiple of the objective after which a job has no value. */
#define URGENCY_LATE_FACTOR 3

/** @brief Returns the band of work at a time. */
enum urgency_band urgency_band_of(const struct urgency_work *work,
				  uint64_t now_ms);

/**
 * @brief Returns the key by which queued work is sorted, the lowest first.
 *
 * The key compares by band, then by priority, then by deadline.
 */
uint64_t urgency_sort_key(const struct urgency_work *work, uint64_t now_ms);

/** @brief Returns the band in a sort key. */
enum urgency_band urgency_band_in(uint64_t sort_key);

/** @brief Returns the part of a sort key that is equal for work of the same
 *  band and priority. */
uint64_t urgency_class_of(uint64_t sort_key);

#endif
