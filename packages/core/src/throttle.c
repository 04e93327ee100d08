#include "throttle.h"

/* Tail against target, in permille, above which filling is slowed, and below
 * which it is let go on. */
#define THROTTLE_SLOW_PERMILLE 850
#define THROTTLE_RAISE_PERMILLE 600
/* Step by which filling is let go on, and the share below which it stands. */
#define THROTTLE_RAISE_PERCENT 20
#define THROTTLE_STAND_PERCENT 20

uint32_t throttle_next_percent(uint32_t percent, uint32_t tail_ms,
			       uint32_t target_ms)
{
	uint64_t permille = (uint64_t)tail_ms * 1000 / target_ms;

	if (permille > 1000)
		return 0;
	if (permille > THROTTLE_SLOW_PERMILLE)
		return percent <= THROTTLE_STAND_PERCENT ? 0 : percent / 2;
	if (permille > THROTTLE_RAISE_PERMILLE)
		return percent;
	percent += THROTTLE_RAISE_PERCENT;
	return percent > 100 ? 100 : percent;
}
