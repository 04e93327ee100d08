#include "backoff.h"

#include <glib.h>

#define BACKOFF_DOUBLINGS_MAX 16
#define BACKOFF_MS_PER_S 1000
/* Share of a period that is random, as a divisor. */
#define BACKOFF_PERIOD_JITTER 8

uint32_t backoff_delay_ms(const struct backoff_limits *limits,
			  uint32_t failures, uint32_t random)
{
	uint32_t doublings = MIN(failures - 1, BACKOFF_DOUBLINGS_MAX);
	uint64_t full_ms = (uint64_t)limits->base_ms << doublings;
	uint32_t half_ms = (uint32_t)(MIN(full_ms, limits->max_ms) / 2);

	return half_ms + random % (half_ms + 1);
}

uint32_t backoff_shared_period_ms(uint32_t period_ms, uint32_t processes,
				  uint32_t rate_per_s, uint32_t random)
{
	uint64_t shared_ms =
		(uint64_t)processes * BACKOFF_MS_PER_S / rate_per_s;
	uint32_t full_ms = (uint32_t)MAX(shared_ms, period_ms);

	return full_ms + random % (full_ms / BACKOFF_PERIOD_JITTER + 1);
}
