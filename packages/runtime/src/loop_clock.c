#include <time.h>

#include "loop.h"

/*
 * CLOCK_BOOTTIME counts the time for which the machine was suspended, so that
 * a lease or a belief is as old here as it is for everyone else. The clock has
 * a file of its own so that a test can link a virtual one in its place.
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
