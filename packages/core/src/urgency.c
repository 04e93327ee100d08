#include "urgency.h"

/* Estimates are rough, so work counts as on time while this share of its
 * critical path still fits before the deadline, in permille. */
#define URGENCY_CRITICAL_PATH_PERMILLE 700

/* Layout of a sort key from the highest bit: band, priority, deadline. */
#define URGENCY_BAND_SHIFT 60
#define URGENCY_PRIORITY_SHIFT 52
#define URGENCY_PRIORITY_MAX 255
#define URGENCY_TIME_MASK (((uint64_t)1 << URGENCY_PRIORITY_SHIFT) - 1)

enum urgency_band urgency_band_of(const struct urgency_work *work,
				  uint64_t now_ms)
{
	uint64_t end_ms = now_ms + work->critical_path_ms *
					   URGENCY_CRITICAL_PATH_PERMILLE /
					   1000;

	if (work->long_running)
		return URGENCY_BAND_LONG_RUNNING;
	if (end_ms > work->since_ms + URGENCY_LATE_FACTOR * work->objective_ms)
		return URGENCY_BAND_EXPIRED;
	if (work->excess)
		return URGENCY_BAND_EXCESS;
	if (end_ms <= work->since_ms + work->objective_ms)
		return URGENCY_BAND_ON_TIME;
	return URGENCY_BAND_LATE;
}

uint64_t urgency_sort_key(const struct urgency_work *work, uint64_t now_ms)
{
	uint64_t priority = work->priority < URGENCY_PRIORITY_MAX
				    ? work->priority
				    : URGENCY_PRIORITY_MAX;

	return (uint64_t)urgency_band_of(work, now_ms) << URGENCY_BAND_SHIFT |
	       priority << URGENCY_PRIORITY_SHIFT |
	       ((work->since_ms + work->objective_ms) & URGENCY_TIME_MASK);
}

enum urgency_band urgency_band_in(uint64_t sort_key)
{
	return (enum urgency_band)(sort_key >> URGENCY_BAND_SHIFT);
}

uint64_t urgency_class_of(uint64_t sort_key)
{
	return sort_key >> URGENCY_PRIORITY_SHIFT;
}
