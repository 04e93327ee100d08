#include "pck.h"

/* Weights of the preferences, each above the sum of those below it. The free
 * processor room of a worker, in milli, is the lowest. */
#define PCK_WEIGHT_NEIGHBOUR ((int64_t)1 << 28)
#define PCK_WEIGHT_LEAVING ((int64_t)1 << 36)
#define PCK_WEIGHT_PENALTY ((int64_t)1 << 38)
#define PCK_WEIGHT_RACK ((int64_t)1 << 46)

/* Bounds on counts, so that a weight never exceeds the next one. */
#define PCK_NEIGHBOURS_MAX 255
#define PCK_PENALTY_MAX 255

static uint32_t at_most(uint32_t value, uint32_t most)
{
	return value < most ? value : most;
}

static bool fits(const struct pck_candidate *candidate,
		 const struct pck_need *need)
{
	if (!candidate->labelled ||
	    candidate->memory_free_mb < need->memory_mb ||
	    candidate->accelerators_free < need->accelerators)
		return false;
	if (!need->fills && candidate->cpu_free_milli < need->cpu_milli)
		return false;
	if (need->has_failed && candidate->penalty > 0)
		return false;
	return need->most_per_worker == 0 ||
	       candidate->same_group < need->most_per_worker;
}

/* Lower is better. */
static int64_t cost(const struct pck_candidate *candidate,
		    const struct pck_need *need)
{
	uint32_t neighbours = 0;
	int64_t sum = candidate->cpu_free_milli;

	if (need->serves)
		neighbours = candidate->fillers;
	else if (need->fills)
		neighbours = candidate->serving;
	sum += PCK_WEIGHT_NEIGHBOUR * at_most(neighbours, PCK_NEIGHBOURS_MAX);
	if (need->lasts && candidate->leaving_soon)
		sum += PCK_WEIGHT_LEAVING;
	sum += PCK_WEIGHT_PENALTY *
	       at_most(candidate->penalty, PCK_PENALTY_MAX);
	if (need->has_data_rack && !candidate->on_data_rack)
		sum += PCK_WEIGHT_RACK;
	return sum;
}

int32_t pck_choose(const struct pck_candidate *candidates, uint32_t count,
		   const struct pck_need *need)
{
	int32_t best = -1;
	int64_t best_cost = 0;

	for (uint32_t i = 0; i < count; i++) {
		int64_t found;

		if (!fits(&candidates[i], need))
			continue;
		found = cost(&candidates[i], need);
		if (best >= 0 && found >= best_cost)
			continue;
		best = (int32_t)i;
		best_cost = found;
	}
	return best;
}
