#include <time.h>

#include "loop.h"

/*
 * CLOCK_BOOTTIME includes the time for which the machine was suspended, so that
 * leases and cached states age as they do on other machines. The clock is in a
 * file of its own so that a test can link a virtual clock instead.
 */
uint64_t loop_now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

uint64_t loop_unix_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}
