#include "capacity.h"

#include <string.h>

/* Share of a VM's CPU that tasks of mixed sizes can occupy, in permille. */
#define CAPACITY_USABLE_PERMILLE 850
/* VMs that an idle pool keeps for the beginning of a burst, in permille of the
 * number of all VMs divided by the number of pools that are not spare. */
#define CAPACITY_RESERVE_PERMILLE 500
/* Largest number of pools in one call; VMs of further pools are not moved. */
#define CAPACITY_POOLS_MAX 256

/* VMs that a pool needs for its current work or for the work that is expected
 * to arrive, whichever is more. Expected work counts because moving a VM takes
 * as long as a burst needs to fill the pool. */
static uint32_t vms_needed(const struct capacity_pool *pool)
{
	int64_t vm_milli = pool->vm_cpu_milli * CAPACITY_USABLE_PERMILLE / 1000;
	int64_t required_milli = pool->used_milli + pool->waiting_milli;
	int64_t expected_milli = pool->long_running_milli + pool->inflow_milli;
	uint32_t needed;

	if (expected_milli > required_milli)
		required_milli = expected_milli;
	if (vm_milli <= 0)
		return 0;
	needed = (uint32_t)((required_milli + vm_milli - 1) / vm_milli);
	/* A VM that is idle did not fit either, and another one would not. */
	if (pool->unplaced_vms > 0 && pool->idle == 0 &&
	    needed < pool->up + pool->unplaced_vms)
		needed = pool->up + pool->unplaced_vms;
	return needed;
}

/* Number of VMs that each pool keeps while it is idle. */
static uint32_t idle_reserve(const struct capacity_pool *pools, uint32_t count)
{
	uint32_t regular_pools = 0;
	uint32_t total = 0;

	for (uint32_t i = 0; i < count; i++) {
		total += pools[i].up + pools[i].arriving;
		regular_pools += !pools[i].is_spare;
	}
	if (regular_pools == 0)
		return 0;
	return (uint32_t)((uint64_t)total * CAPACITY_RESERVE_PERMILLE / 1000 /
			  regular_pools);
}

/* Returns the pool that can give up a VM: the spare pool if it can, else the
 * pool with the largest surplus, or -1 for none. */
static int32_t donor_find(const struct capacity_pool *pools,
			  const uint32_t *given, const uint32_t *needed,
			  uint32_t reserve, uint32_t count)
{
	int32_t best = -1;
	uint32_t best_surplus = 0;

	for (uint32_t i = 0; i < count; i++) {
		uint32_t left = pools[i].up - given[i];
		uint32_t keep = needed[i] > reserve ? needed[i] : reserve;

		if (given[i] >= pools[i].idle)
			continue;
		if (pools[i].is_spare)
			return (int32_t)i;
		if (left <= keep || left - keep <= best_surplus)
			continue;
		best = (int32_t)i;
		best_surplus = left - keep;
	}
	return best;
}

/* Returns the pool with the largest shortage of VMs, or -1 for none. */
static int32_t receiver_find(const struct capacity_pool *pools,
			     const uint32_t *taken, const uint32_t *needed,
			     uint32_t count)
{
	int32_t best = -1;
	uint32_t best_shortage = 0;

	for (uint32_t i = 0; i < count; i++) {
		uint32_t held = pools[i].up + pools[i].arriving + taken[i];

		if (pools[i].is_spare || needed[i] <= held ||
		    needed[i] - held <= best_shortage)
			continue;
		best = (int32_t)i;
		best_shortage = needed[i] - held;
	}
	return best;
}

static int32_t spare_find(const struct capacity_pool *pools, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		if (pools[i].is_spare)
			return (int32_t)i;
	}
	return -1;
}

/* Moves VMs that have been idle for long to the spare pool. */
static uint32_t idle_return(const struct capacity_pool *pools, uint32_t *given,
			    const uint32_t *needed, uint32_t reserve,
			    uint32_t count, struct capacity_move *moves,
			    uint32_t max_moves)
{
	int32_t spare = spare_find(pools, count);
	uint32_t move_count = 0;

	for (uint32_t i = 0; spare >= 0 && i < count; i++) {
		uint32_t keep = needed[i] > reserve ? needed[i] : reserve;

		while (move_count < max_moves && !pools[i].is_spare &&
		       given[i] < pools[i].idle_long &&
		       pools[i].up - given[i] > keep) {
			given[i]++;
			moves[move_count++] =
				(struct capacity_move){ i, (uint32_t)spare };
		}
	}
	return move_count;
}

uint32_t capacity_moves_choose(const struct capacity_pool *pools,
			       uint32_t count, struct capacity_move *moves,
			       uint32_t max_moves)
{
	uint32_t given[CAPACITY_POOLS_MAX] = { 0 };
	uint32_t taken[CAPACITY_POOLS_MAX] = { 0 };
	uint32_t needed[CAPACITY_POOLS_MAX];
	uint32_t reserve = idle_reserve(pools, count);
	uint32_t move_count = 0;

	if (count > CAPACITY_POOLS_MAX)
		count = CAPACITY_POOLS_MAX;
	for (uint32_t i = 0; i < count; i++)
		needed[i] = vms_needed(&pools[i]);
	while (move_count < max_moves) {
		int32_t to = receiver_find(pools, taken, needed, count);
		int32_t from;

		if (to < 0)
			break;
		from = donor_find(pools, given, needed, reserve, count);
		if (from < 0)
			break;
		given[from]++;
		taken[to]++;
		moves[move_count++] =
			(struct capacity_move){ (uint32_t)from, (uint32_t)to };
	}
	/* While a pool has a shortage, idle VMs may soon be moved to it. */
	if (receiver_find(pools, taken, needed, count) >= 0)
		return move_count;
	return move_count + idle_return(pools, given, needed, reserve, count,
					moves + move_count,
					max_moves - move_count);
}
