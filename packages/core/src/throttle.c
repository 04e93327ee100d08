#include "throttle.h"

/* Tail latency in permille of its target above which the rate is halved, and
 * up to which it is raised. */
#define THROTTLE_REDUCE_PERMILLE 850
#define THROTTLE_RAISE_PERMILLE 600
/* Step by which the rate is raised, and the rate at or below which a reduction
 * pauses the tasks. */
#define THROTTLE_RAISE_PERCENT 20
#define THROTTLE_PAUSE_PERCENT 20

uint32_t throttle_next_percent(uint32_t percent, uint32_t tail_ms,
			       uint32_t target_ms)
{
	uint64_t permille = (uint64_t)tail_ms * 1000 / target_ms;

	if (permille > 1000)
		return 0;
	if (permille > THROTTLE_REDUCE_PERMILLE)
		return percent <= THROTTLE_PAUSE_PERCENT ? 0 : percent / 2;
	if (permille > THROTTLE_RAISE_PERMILLE)
		return percent;
	percent += THROTTLE_RAISE_PERCENT;
	return percent > 100 ? 100 : percent;
}
