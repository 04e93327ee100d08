#include "binpack.h"

/* Weights of the preferences, each above the sum of those below it. The free
 * processor room of a worker, in milli, is the lowest. */
#define BINPACK_WEIGHT_NEIGHBOUR ((int64_t)1 << 28)
#define BINPACK_WEIGHT_LEAVING ((int64_t)1 << 36)
#define BINPACK_WEIGHT_PENALTY ((int64_t)1 << 38)
#define BINPACK_WEIGHT_RACK ((int64_t)1 << 46)

/* Bounds on counts, so that a weight never exceeds the next one. */
#define BINPACK_NEIGHBOURS_MAX 255
#define BINPACK_PENALTY_MAX 255

static uint32_t at_most(uint32_t value, uint32_t most)
{
	return value < most ? value : most;
}

static bool fits(const struct binpack_candidate *candidate,
		 const struct binpack_request *need)
{
	if (!candidate->has_label ||
	    candidate->memory_free_mb < need->memory_mb ||
	    candidate->accelerators_free < need->accelerators)
		return false;
	if (!need->best_effort && candidate->cpu_free_milli < need->cpu_milli)
		return false;
	if (need->has_failed && candidate->penalty > 0)
		return false;
	return need->max_per_worker == 0 ||
	       candidate->same_group < need->max_per_worker;
}

/* Lower is better. */
static int64_t cost(const struct binpack_candidate *candidate,
		    const struct binpack_request *need)
{
	uint32_t neighbours = 0;
	int64_t sum = candidate->cpu_free_milli;

	if (need->latency_sensitive)
		neighbours = candidate->best_effort_tasks;
	else if (need->best_effort)
		neighbours = candidate->latency_sensitive_tasks;
	sum += BINPACK_WEIGHT_NEIGHBOUR *
	       at_most(neighbours, BINPACK_NEIGHBOURS_MAX);
	if (need->long_running && candidate->disruption_expected)
		sum += BINPACK_WEIGHT_LEAVING;
	sum += BINPACK_WEIGHT_PENALTY *
	       at_most(candidate->penalty, BINPACK_PENALTY_MAX);
	if (need->has_data_rack && !candidate->on_data_rack)
		sum += BINPACK_WEIGHT_RACK;
	return sum;
}

int32_t binpack_choose(const struct binpack_candidate *candidates,
		       uint32_t count, const struct binpack_request *need)
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
