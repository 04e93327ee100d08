/**
 * @file cnf.h
 * @brief Confirmation: no process acts on an older placement any more.
 *
 * Prefix: cnf_. A process has confirmed a placement number when it told that
 * it applied that number or a greater one. A process that stays silent loses
 * its right to dispatch, see hed.h, and need not be waited for after that.
 */
#ifndef CNF_H
#define CNF_H

#include <stdbool.h>
#include <stdint.h>

/** What is known of one process of the system. */
struct cnf_process {
	/** greatest placement number that it told to have applied */
	uint64_t applied;
	/** monotonic time at which it was last heard, 0 for never */
	uint64_t heard_ms;
	/** monotonic time at which the platform last listed it with a live
	 *  lease, 0 for never */
	uint64_t listed_ms;
	/** whether it stood in the newest list */
	bool listed;
};

/** @brief Counts the processes that confirmed a placement number. */
uint32_t cnf_count(const struct cnf_process *processes, uint32_t count,
		   uint64_t number);

/**
 * @brief Tells whether no process can dispatch on an older placement.
 *
 * @param processes all processes known, this one included
 * @param count number of processes
 * @param number the placement number to be confirmed
 * @param since_ms monotonic time of the last confirmation of that number, or
 *        of its write; from then on nobody renews an older view
 * @param now_ms monotonic time
 * @param lapse_ms dispatch window of the processes and a margin for clocks
 */
bool cnf_holds(const struct cnf_process *processes, uint32_t count,
	       uint64_t number, uint64_t since_ms, uint64_t now_ms,
	       uint64_t lapse_ms);

#endif
