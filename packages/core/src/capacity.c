#include "capacity.h"

#include <string.h>

/* Share of a VM's processor that tasks of mixed sizes fill, in permille. */
#define CAPACITY_FILL_PERMILLE 850
/* A pool keeps this share of an even part of all VMs, in permille, so that it
 * can take the first of a burst. */
#define CAPACITY_KEEP_PERMILLE 500
/* Pools that this module handles at once. */
#define CAPACITY_POOLS_MAX 256

/* VMs that the work of a pool needs: what is there, or what arrives, since a
 * move takes as long as a burst needs to fill the pool. */
static uint32_t vms_needed(const struct capacity_pool *pool)
{
	int64_t vm_milli = pool->vm_cpu_milli * CAPACITY_FILL_PERMILLE / 1000;
	int64_t asked = pool->used_milli + pool->waiting_milli;
	int64_t to_come = pool->long_running_milli + pool->inflow_milli;

	if (to_come > asked)
		asked = to_come;
	if (vm_milli <= 0)
		return 0;
	return (uint32_t)((asked + vm_milli - 1) / vm_milli);
}

/* VMs that a pool keeps when it is idle. */
static uint32_t vms_kept(const struct capacity_pool *pools, uint32_t count)
{
	uint32_t users = 0;
	uint32_t all = 0;

	for (uint32_t i = 0; i < count; i++) {
		all += pools[i].up + pools[i].arriving;
		users += !pools[i].is_spare;
	}
	if (users == 0)
		return 0;
	return (uint32_t)((uint64_t)all * CAPACITY_KEEP_PERMILLE / 1000 /
			  users);
}

/* The giver with the most to spare; the spare pool before all others. */
static int32_t giver_find(const struct capacity_pool *pools,
			  const uint32_t *given, const uint32_t *needed,
			  uint32_t kept, uint32_t count)
{
	int32_t best = -1;
	uint32_t best_over = 0;

	for (uint32_t i = 0; i < count; i++) {
		uint32_t left = pools[i].up - given[i];
		uint32_t keep = needed[i] > kept ? needed[i] : kept;

		if (given[i] >= pools[i].idle)
			continue;
		if (pools[i].is_spare)
			return (int32_t)i;
		if (left <= keep || left - keep <= best_over)
			continue;
		best = (int32_t)i;
		best_over = left - keep;
	}
	return best;
}

/* The pool that is short of the most VMs. */
static int32_t taker_find(const struct capacity_pool *pools,
			  const uint32_t *taken, const uint32_t *needed,
			  uint32_t count)
{
	int32_t best = -1;
	uint32_t best_short = 0;

	for (uint32_t i = 0; i < count; i++) {
		uint32_t have = pools[i].up + pools[i].arriving + taken[i];

		if (pools[i].is_spare || needed[i] <= have ||
		    needed[i] - have <= best_short)
			continue;
		best = (int32_t)i;
		best_short = needed[i] - have;
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

/* Sends VMs that no pool needs to the spare pool. */
static uint32_t give_back(const struct capacity_pool *pools, uint32_t *given,
			  const uint32_t *needed, uint32_t kept, uint32_t count,
			  struct capacity_move *moves, uint32_t most)
{
	int32_t spare = spare_find(pools, count);
	uint32_t made = 0;

	for (uint32_t i = 0; spare >= 0 && i < count; i++) {
		uint32_t keep = needed[i] > kept ? needed[i] : kept;

		while (made < most && !pools[i].is_spare &&
		       given[i] < pools[i].idle_long &&
		       pools[i].up - given[i] > keep) {
			given[i]++;
			moves[made++] =
				(struct capacity_move){ i, (uint32_t)spare };
		}
	}
	return made;
}

uint32_t capacity_moves_choose(const struct capacity_pool *pools,
			       uint32_t count, struct capacity_move *moves,
			       uint32_t most)
{
	uint32_t given[CAPACITY_POOLS_MAX] = { 0 };
	uint32_t taken[CAPACITY_POOLS_MAX] = { 0 };
	uint32_t needed[CAPACITY_POOLS_MAX];
	uint32_t kept = vms_kept(pools, count);
	uint32_t made = 0;

	if (count > CAPACITY_POOLS_MAX)
		count = CAPACITY_POOLS_MAX;
	for (uint32_t i = 0; i < count; i++)
		needed[i] = vms_needed(&pools[i]);
	while (made < most) {
		int32_t to = taker_find(pools, taken, needed, count);
		int32_t from;

		if (to < 0)
			break;
		from = giver_find(pools, given, needed, kept, count);
		if (from < 0)
			break;
		given[from]++;
		taken[to]++;
		moves[made++] =
			(struct capacity_move){ (uint32_t)from, (uint32_t)to };
	}
	/* While a pool is short, what is idle may be for it soon. */
	if (taker_find(pools, taken, needed, count) >= 0)
		return made;
	return made + give_back(pools, given, needed, kept, count, moves + made,
				most - made);
}
