/**
 * @file capacity.h
 * @brief Distributes VMs among the pools by their current work.
 *
 * Prefix: capacity_. No I/O. The load peaks in one pool after another while
 * the other pools are nearly idle. Idle VMs move from pools with a surplus to
 * pools with a shortage, those of the spare pool first. VMs that have been
 * idle for long move to the spare pool: its VMs are powered off, and moving
 * one to a pool takes no longer than moving one from any other pool. The order
 * and the period of the peaks are not predicted.
 */
#ifndef CAPACITY_H
#define CAPACITY_H

#include <stdbool.h>
#include <stdint.h>

/** Current state of a pool. */
struct capacity_pool {
	bool is_spare;
	/** VMs that accept tasks */
	uint32_t up;
	/** VMs that are being moved to this pool */
	uint32_t arriving;
	/** VMs counted in up that hold no task and may be moved */
	uint32_t idle;
	/** VMs counted in idle that have been idle for long */
	uint32_t idle_long;
	/** CPU of one VM */
	int64_t vm_cpu_milli;
	/** CPU used by tasks */
	int64_t used_milli;
	/** CPU requested by tasks that could start now */
	int64_t waiting_milli;
	/** CPU used by long-running tasks */
	int64_t long_running_milli;
	/** further VMs needed by waiting long-running tasks that fit on none of
	 *  the pool's workers, although it may have enough CPU in total */
	uint32_t unplaced_vms;
	/** CPU that future work needs if it arrives at the forecast rate */
	int64_t inflow_milli;
};

/** A move of one VM from a pool to another, by index. */
struct capacity_move {
	uint32_t from;
	uint32_t to;
};

/**
 * @brief Chooses the VMs to be moved.
 *
 * @param moves filled
 * @param max_moves size of the array
 * @return number of moves
 */
uint32_t capacity_moves_choose(const struct capacity_pool *pools,
			       uint32_t count, struct capacity_move *moves,
			       uint32_t max_moves);

#endif
