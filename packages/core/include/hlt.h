/**
 * @file hlt.h
 * @brief Health of a worker, told by how its tasks end and move on.
 *
 * Prefix: hlt_. Pure. Answers workers that fail all they start, or let it stand
 * still, while they look healthy: such a worker always has room, so it would
 * draw all work. After some bad ends in a row it gets nothing for a while, then
 * one task at a time until one ends well.
 */
#ifndef HLT_H
#define HLT_H

#include <stdbool.h>
#include <stdint.h>

/** State of one worker, zeroed for a new one. */
struct hlt_state {
	uint32_t bad_in_row;
	/** nothing is started there before this time */
	uint64_t quarantined_until_ms;
	/** how long it was quarantined last, 0 for never */
	uint32_t quarantine_ms;
};

/** What may be started on a worker. */
enum hlt_leave {
	HLT_ALL,
	/** one task at a time */
	HLT_ONE,
	HLT_NONE,
};

/** @brief Notes a task that ended well. */
void hlt_good(struct hlt_state *state);

/** @brief Notes a task that failed, or was taken away as it stood still. */
void hlt_bad(struct hlt_state *state, uint64_t now_ms);

/** @brief Tells what may be started. */
enum hlt_leave hlt_leave_of(const struct hlt_state *state, uint64_t now_ms);

/**
 * @brief Tells whether a task stands still and should go on elsewhere.
 *
 * @param percent its progress
 * @param still_ms time for which that has not changed
 */
bool hlt_stands_still(uint32_t percent, uint64_t still_ms);

#endif
