#include "binpack.h"

#include <stddef.h>

/* Weights of the preferences. Each exceeds the sum of all lower costs; the
 * lowest cost is cpu_free_milli, with a weight of 1. */
#define BINPACK_WEIGHT_PLAN ((int64_t)1 << 27)
#define BINPACK_WEIGHT_INTERFERENCE ((int64_t)1 << 28)
#define BINPACK_WEIGHT_DISRUPTION ((int64_t)1 << 36)
#define BINPACK_WEIGHT_PENALTY ((int64_t)1 << 38)
#define BINPACK_WEIGHT_RACK ((int64_t)1 << 46)

/* Limits on counts, so that a weighted count never reaches the next weight. */
#define BINPACK_INTERFERENCE_MAX 255
#define BINPACK_PENALTY_MAX 255

static uint32_t min_u32(uint32_t value, uint32_t limit)
{
	return value < limit ? value : limit;
}

struct resources binpack_reserved(const struct binpack_request *request)
{
	return (struct resources){
		.cpu_milli = request->best_effort ? 0 : request->cpu_milli,
		.memory_mb = request->memory_mb,
		.accelerators = request->accelerators,
	};
}

static bool delays_no_plan(const struct binpack_candidate *candidate,
			   const struct binpack_request *request)
{
	const struct resources need = binpack_reserved(request);

	return candidate->plan.at_ms == 0 || request->ignores_plans ||
	       lookahead_allows(&candidate->plan, &need, request->ends_ms);
}

enum hold binpack_refusal(const struct binpack_candidate *candidate,
			  const struct binpack_request *request)
{
	if (!candidate->has_label)
		return HOLD_LABEL;
	if (candidate->memory_free_mb < request->memory_mb)
		return HOLD_MEMORY;
	if (candidate->accelerators_free < request->accelerators)
		return HOLD_ACCELERATORS;
	if (!request->best_effort &&
	    candidate->cpu_free_milli < request->cpu_milli)
		return HOLD_CPU;
	if (request->has_failed && candidate->penalty > 0)
		return HOLD_FAILED_THERE;
	if (candidate->reserved && !request->may_crash)
		return HOLD_RESERVED;
	if (candidate->has_suspects && request->apart_from_suspects)
		return HOLD_SUSPECTS_THERE;
	if (!delays_no_plan(candidate, request))
		return HOLD_PLANNED;
	if (request->max_per_worker != 0 &&
	    candidate->same_group >= request->max_per_worker)
		return HOLD_SPREAD;
	return HOLD_NONE;
}

static bool is_preferred(const struct binpack_candidate *candidate,
			 const struct binpack_request *request)
{
	return (!request->has_failed || candidate->penalty == 0) &&
	       (request->avoided_vm == 0 ||
		request->avoided_vm != candidate->vm);
}

/* Returns whether a task fits a worker that runs nothing. */
static bool fits_empty(const struct binpack_candidate *candidate,
		       const struct binpack_request *request)
{
	const struct resources need = binpack_reserved(request);
	const struct resources *capacity = &candidate->capacity;

	return candidate->has_label && capacity->cpu_milli >= need.cpu_milli &&
	       capacity->memory_mb >= need.memory_mb &&
	       capacity->accelerators >= need.accelerators;
}

bool binpack_has_preferred(const struct binpack_candidate *candidates,
			   uint32_t count,
			   const struct binpack_request *request)
{
	for (uint32_t i = 0; i < count; i++) {
		if (fits_empty(&candidates[i], request) &&
		    is_preferred(&candidates[i], request))
			return true;
	}
	return false;
}

/* Returns the cost of a candidate; lower is better. */
static int64_t cost(const struct binpack_candidate *candidate,
		    const struct binpack_request *request)
{
	uint32_t interfering = 0;
	int64_t sum = candidate->cpu_free_milli;

	if (candidate->plan.at_ms != 0)
		sum += BINPACK_WEIGHT_PLAN;
	if (request->may_crash)
		interfering = candidate->crash_loss;
	else if (request->latency_sensitive)
		interfering = candidate->best_effort_tasks;
	else if (request->best_effort)
		interfering = candidate->latency_sensitive_tasks;
	sum += BINPACK_WEIGHT_INTERFERENCE *
	       min_u32(interfering, BINPACK_INTERFERENCE_MAX);
	if ((request->long_running && candidate->disruption_expected) ||
	    (request->avoided_vm != 0 && request->avoided_vm == candidate->vm))
		sum += BINPACK_WEIGHT_DISRUPTION;
	sum += BINPACK_WEIGHT_PENALTY *
	       min_u32(candidate->penalty, BINPACK_PENALTY_MAX);
	if (request->has_data_rack && !candidate->on_data_rack)
		sum += BINPACK_WEIGHT_RACK;
	return sum;
}

int32_t binpack_choose(const struct binpack_candidate *candidates,
		       uint32_t count, const struct binpack_request *request)
{
	int32_t best = -1;
	int64_t best_cost = 0;

	for (uint32_t i = 0; i < count; i++) {
		int64_t candidate_cost;

		if (binpack_refusal(&candidates[i], request))
			continue;
		candidate_cost = cost(&candidates[i], request);
		if (best >= 0 && candidate_cost >= best_cost)
			continue;
		best = (int32_t)i;
		best_cost = candidate_cost;
	}
	return best;
}
