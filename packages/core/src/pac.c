#include "pac.h"

/* Tail against target, in permille, above which filling is slowed, and below
 * which it is let go on. */
#define PAC_SLOW_PERMILLE 850
#define PAC_RAISE_PERMILLE 600
/* Step by which filling is let go on, and the share below which it stands. */
#define PAC_RAISE_PERCENT 20
#define PAC_STAND_PERCENT 20

uint32_t pac_next(uint32_t percent, uint32_t tail_ms, uint32_t target_ms)
{
	uint64_t permille = (uint64_t)tail_ms * 1000 / target_ms;

	if (permille > 1000)
		return 0;
	if (permille > PAC_SLOW_PERMILLE)
		return percent <= PAC_STAND_PERCENT ? 0 : percent / 2;
	if (permille > PAC_RAISE_PERMILLE)
		return percent;
	percent += PAC_RAISE_PERCENT;
	return percent > 100 ? 100 : percent;
}
