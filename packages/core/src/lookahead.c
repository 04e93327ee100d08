#include "lookahead.h"

#include <stdlib.h>

/* Part of a worker that a large task exceeds, as a divisor. A worker that is in
 * use has gaps up to about this size, which fit smaller tasks anyway. */
#define LOOKAHEAD_LARGE_DIVISOR 4

/* Time after its expected end at which a reservation lapses. */
#define LOOKAHEAD_GRACE_MS 10000

uint64_t lookahead_end_ms(uint64_t started_ms, uint32_t expected_ms,
			  uint64_t now_ms)
{
	if (started_ms + expected_ms > now_ms)
		return started_ms + expected_ms;
	return now_ms + (now_ms - started_ms) / 2;
}

static int end_compare(const void *a, const void *b)
{
	const struct lookahead_end *left = a;
	const struct lookahead_end *right = b;

	if (left->at_ms == right->at_ms)
		return 0;
	return left->at_ms < right->at_ms ? -1 : 1;
}

static bool fits(const struct resources *need, const struct resources *room)
{
	return need->cpu_milli <= room->cpu_milli &&
	       need->memory_mb <= room->memory_mb &&
	       need->accelerators <= room->accelerators;
}

struct lookahead_plan lookahead_plan_task(const struct resources *free_now,
					  struct lookahead_end *ends,
					  uint32_t count,
					  const struct resources *need,
					  uint64_t now_ms)
{
	struct lookahead_plan plan = { .at_ms = now_ms, .left = *free_now };
	uint32_t next = 0;

	if (count > 0)
		qsort(ends, count, sizeof(*ends), end_compare);
	while (!fits(need, &plan.left)) {
		if (next == count) {
			plan.at_ms = UINT64_MAX;
			return plan;
		}
		plan.at_ms = ends[next].at_ms;
		resources_add(&plan.left, &ends[next++].frees, 1);
	}
	resources_add(&plan.left, need, -1);
	return plan;
}

uint32_t lookahead_plan_tasks(const struct resources *free_now,
			      struct lookahead_end *ends, uint32_t count,
			      const struct resources *need, uint64_t now_ms,
			      uint32_t most, uint64_t *at_ms)
{
	struct resources left = *free_now;
	uint64_t fits_ms = now_ms;
	uint32_t next = 0;

	if (count > 0)
		qsort(ends, count, sizeof(*ends), end_compare);
	for (uint32_t i = 0; i < most; i++) {
		while (!fits(need, &left)) {
			if (next == count)
				return i;
			fits_ms = ends[next].at_ms;
			resources_add(&left, &ends[next++].frees, 1);
		}
		resources_add(&left, need, -1);
		at_ms[i] = fits_ms;
	}
	return most;
}

struct lookahead_plan lookahead_plan_at(const struct resources *free_now,
					const struct lookahead_end *ends,
					uint32_t count,
					const struct resources *need,
					uint32_t tasks, uint64_t at_ms)
{
	struct lookahead_plan plan = { .at_ms = at_ms, .left = *free_now };

	for (uint32_t i = 0; i < count; i++)
		resources_add(&plan.left, &ends[i].frees,
			      ends[i].at_ms <= at_ms);
	for (uint32_t i = 0; i < tasks; i++)
		resources_add(&plan.left, need, -1);
	return plan;
}

bool lookahead_reserve(struct lookahead_reservation *reservation,
		       uint64_t planned_ms, uint64_t now_ms)
{
	if (now_ms < reservation->retry_ms)
		return false;
	if (reservation->until_ms == 0) {
		reservation->begun_ms = now_ms;
		reservation->until_ms = planned_ms + LOOKAHEAD_GRACE_MS;
	}
	if (now_ms < reservation->until_ms)
		return true;
	reservation->retry_ms =
		now_ms + (reservation->until_ms - reservation->begun_ms);
	reservation->until_ms = 0;
	return false;
}

bool lookahead_allows(const struct lookahead_plan *plan,
		      const struct resources *need, uint64_t ends_ms)
{
	return plan->at_ms == 0 || ends_ms <= plan->at_ms ||
	       fits(need, &plan->left);
}

void lookahead_take(struct lookahead_plan *plan, const struct resources *need,
		    uint64_t ends_ms)
{
	if (plan->at_ms != 0 && ends_ms > plan->at_ms)
		resources_add(&plan->left, need, -1);
}

bool lookahead_is_large(const struct resources *need,
			const struct resources *worker)
{
	return need->cpu_milli * LOOKAHEAD_LARGE_DIVISOR > worker->cpu_milli ||
	       need->memory_mb * LOOKAHEAD_LARGE_DIVISOR > worker->memory_mb;
}
