/**
 * @file capacity.h
 * @brief How many VMs each pool has: who gives one to whom.
 *
 * Prefix: capacity_. Pure. Answers the load in which one pool after another
 * asks for more than it holds while the others are nearly idle: VMs without
 * tasks go from pools with more than they need to pools that are short, those
 * of the spare pool first; what has been idle for some time goes to the spare
 * pool, whose VMs are off and as near to any pool as those of another. No
 * period or order of the pools is assumed.
 */
#ifndef CAPACITY_H
#define CAPACITY_H

#include <stdbool.h>
#include <stdint.h>

/** A pool as it is now. */
struct capacity_pool {
	bool is_spare;
	/** VMs that take tasks, and VMs on their way here */
	uint32_t up;
	uint32_t arriving;
	/** of those up, VMs without any task that may be moved, and those that
	 *  have been so for some time */
	uint32_t idle;
	uint32_t idle_long;
	/** processor room of one VM */
	int64_t vm_cpu_milli;
	/** taken by tasks, and asked for by tasks that could start now */
	int64_t used_milli;
	int64_t waiting_milli;
	/** taken by tasks that last */
	int64_t long_running_milli;
	/** processor room that work takes if it goes on arriving as of late */
	int64_t inflow_milli;
};

/** A move of one VM. */
struct capacity_move {
	uint32_t from;
	uint32_t to;
};

/**
 * @brief Decides on moves.
 *
 * @param moves filled
 * @param most bound on the moves, size of the array
 * @return number of moves
 */
uint32_t capacity_moves_choose(const struct capacity_pool *pools,
			       uint32_t count, struct capacity_move *moves,
			       uint32_t most);

#endif
