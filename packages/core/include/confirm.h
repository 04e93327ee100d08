/**
 * @file confirm.h
 * @brief Confirmation that no process acts on an older placement any more.
 *
 * Prefix: confirm_. A process has confirmed a placement number once it reports
 * that it applied that number or a greater one. A process that cannot be
 * reached loses its right to dispatch when its dispatch window expires (see
 * head.h); the manager need not wait for it after that.
 */
#ifndef CONFIRM_H
#define CONFIRM_H

#include <stdbool.h>
#include <stdint.h>

/** What the manager knows of one process. */
struct confirm_process {
	/** greatest placement number that it reported as applied */
	uint64_t applied;
	/** monotonic time of its last heartbeat, 0 for never */
	uint64_t heartbeat_ms;
	/**
	 * monotonic time at which the platform last listed it with a live
	 * lease, 0 for never
	 */
	uint64_t listed_ms;
	/** whether the platform's newest list contains it */
	bool listed;
};

/** Time without a heartbeat or a live lease after which a member leaves the
 *  electorate. */
#define CONFIRM_MEMBER_TIMEOUT_MS 60000

/** Progress of the confirmation of a placement number, kept by the manager. */
struct confirm_state {
	uint64_t number;
	/**
	 * monotonic time at which a majority was first seen to have applied the
	 * number, 0 while none has; from then on no process renews its dispatch
	 * window for an older placement, see quorum.h
	 */
	uint64_t majority_ms;
	/** monotonic time at which the number was confirmed, 0 until then */
	uint64_t confirmed_ms;
};

/** What the manager knows at the time of a confirm_update(). */
struct confirm_input {
	/** all known processes, this one included */
	const struct confirm_process *processes;
	uint32_t count;
	/** whether more than half of the electorate has applied the number */
	bool majority;
	uint64_t now_ms;
	/** dispatch window of the processes plus a margin for their clocks */
	uint64_t expiry_ms;
};

/**
 * @brief Returns whether no process can still dispatch on an older placement.
 *
 * @param processes all known processes, this one included
 * @param count number of processes
 * @param number the placement number to confirm
 * @param since_ms monotonic time from which on no process renews its dispatch
 *        window for an older placement
 * @param now_ms monotonic time
 * @param expiry_ms dispatch window of the processes plus a margin for their
 *        clocks
 */
bool confirm_is_complete(const struct confirm_process *processes,
			 uint32_t count, uint64_t number, uint64_t since_ms,
			 uint64_t now_ms, uint64_t expiry_ms);

/**
 * @brief Returns whether a process should be in the electorate, see quorum.h.
 * @param member whether it is in the electorate now
 * @param since_ms monotonic time at which the manager's term began
 */
bool confirm_is_member(const struct confirm_process *process, bool member,
		       uint64_t since_ms, uint64_t now_ms);

/**
 * @brief Updates the confirmation of a placement number; another number than
 * before starts anew.
 * @return whether the number is confirmed
 */
bool confirm_update(struct confirm_state *confirm, uint64_t number,
		    const struct confirm_input *input);

#endif
