/**
 * @file confirm.h
 * @brief Confirmation: no process acts on an older placement any more.
 *
 * Prefix: confirm_. A process has confirmed a placement number when it told
 * that it applied that number or a greater one. A process that stays silent
 * loses its right to dispatch, see hed.h, and need not be waited for after
 * that.
 */
#ifndef CONFIRM_H
#define CONFIRM_H

#include <stdbool.h>
#include <stdint.h>

/** What is known of one process of the system. */
struct confirm_process {
	/** greatest placement number that it told to have applied */
	uint64_t applied;
	/** monotonic time at which it was last heard, 0 for never */
	uint64_t heartbeat_ms;
	/** monotonic time at which the platform last listed it with a live
	 *  lease, 0 for never */
	uint64_t listed_ms;
	/** whether it stood in the newest list */
	bool listed;
};

/** How long a member may be away before it leaves the electorate. */
#define CONFIRM_MEMBER_TIMEOUT_MS 60000

/** How far a placement number is confirmed, as the manager saw it. */
struct confirm_state {
	uint64_t number;
	/** monotonic time since which a majority has applied it, 0 while none
	 *  has; from then on nobody renews an older view, see qrm.h */
	uint64_t majority_ms;
	/** monotonic time since which it holds, 0 while it does not */
	uint64_t confirmed_ms;
};

/** What the manager knows at a moment. */
struct confirm_input {
	/** all processes known, this one included */
	const struct confirm_process *processes;
	uint32_t count;
	/** whether more than half of the electorate applied the number */
	bool majority;
	uint64_t now_ms;
	uint64_t expiry_ms;
};

/**
 * @brief Tells whether no process can dispatch on an older placement.
 *
 * @param processes all processes known, this one included
 * @param count number of processes
 * @param number the placement number to be confirmed
 * @param since_ms monotonic time from which on nobody renews an older view
 * @param now_ms monotonic time
 * @param lapse_ms dispatch window of the processes and a margin for clocks
 */
bool confirm_is_complete(const struct confirm_process *processes,
			 uint32_t count, uint64_t number, uint64_t since_ms,
			 uint64_t now_ms, uint64_t lapse_ms);

/**
 * @brief Tells whether a process should be in the electorate, see qrm.h.
 * @param member whether it is in it now
 * @param since_ms monotonic time at which the manager began to listen
 */
bool confirm_is_member(const struct confirm_process *process, bool member,
		       uint64_t since_ms, uint64_t now_ms);

/** @brief Follows a placement number until it is confirmed. */
bool confirm_update(struct confirm_state *confirm, uint64_t number,
		    const struct confirm_input *input);

#endif
