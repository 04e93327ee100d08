#include "demand.h"

#include <glib.h>

#include "slot.h"

/* Rises smaller than this are no bursts, whatever their ratio. */
#define DEMAND_BURST_MIN_MILLI 4000u

uint32_t demand_pool_key(const char *name)
{
	return (uint32_t)slot_key(name);
}

static void rise_update(struct demand_average *demand, uint64_t sample_milli,
			uint64_t now_ms)
{
	uint64_t bound = demand->average_milli * DEMAND_BURST_PERMILLE / 1000;

	if (sample_milli <= MAX(bound, DEMAND_BURST_MIN_MILLI))
		demand->rise_began_ms = 0;
	else if (demand->rise_began_ms == 0)
		demand->rise_began_ms = MAX(now_ms, 1);
}

/* Until the time constant is filled this is the plain mean over time. */
static void average_update(struct demand_average *demand, uint64_t sample_milli,
			   uint64_t elapsed_ms)
{
	uint64_t span_ms = demand->observed_ms + elapsed_ms;
	int64_t change =
		((int64_t)sample_milli - (int64_t)demand->average_milli) *
		(int64_t)elapsed_ms / (int64_t)span_ms;

	demand->average_milli =
		(uint64_t)((int64_t)demand->average_milli + change);
	demand->observed_ms = MIN(span_ms, DEMAND_TIME_CONSTANT_MS);
}

void demand_sample_add(struct demand_average *demand, uint32_t slots,
		       uint64_t now_ms)
{
	uint64_t sample_milli = (uint64_t)slots * 1000;

	if (!demand->started) {
		demand->started = true;
		demand->average_milli = sample_milli;
	} else if (now_ms > demand->updated_ms) {
		average_update(demand, sample_milli,
			       MIN(now_ms - demand->updated_ms,
				   DEMAND_TIME_CONSTANT_MS));
	}
	demand->updated_ms = now_ms;
	rise_update(demand, sample_milli, now_ms);
}

bool demand_is_warm(const struct demand_average *demand)
{
	return demand->observed_ms >= DEMAND_WARM_UP_MS;
}

bool demand_is_burst(const struct demand_average *demand, uint64_t now_ms)
{
	return demand->rise_began_ms != 0 &&
	       now_ms - demand->rise_began_ms < DEMAND_BURST_MAX_MS;
}
