#include "breaker.h"

/* Consecutive failures that open the breaker. Tasks that can never succeed are
 * rare, so they do not by chance end one after another on the same worker. */
#define BREAKER_FAILURES_MAX 3
/* First and longest time for which the breaker is open; short disruptions last
 * about as long. */
#define BREAKER_OPEN_MIN_MS 1500
#define BREAKER_OPEN_MAX_MS 6000

/* A task without progress for this long, and for the time in which it should
 * advance by some percent, is stalled. */
#define BREAKER_STALL_MS 2000
#define BREAKER_STALL_PERCENT 4
/* A long-running task that has been at full speed for this long has succeeded.
 */
#define BREAKER_FULL_SPEED_MS 1000

void breaker_record_success(struct breaker *breaker)
{
	breaker->consecutive_failures = 0;
	breaker->open_ms = 0;
	breaker->open_until_ms = 0;
}

static void breaker_open(struct breaker *breaker, uint64_t now_ms)
{
	/* A task that fails while the breaker is open was started before it
	 * opened, so it must not extend the open time. */
	if (now_ms < breaker->open_until_ms)
		return;
	breaker->open_ms = breaker->open_ms == 0 ? BREAKER_OPEN_MIN_MS
						 : 2 * breaker->open_ms;
	if (breaker->open_ms > BREAKER_OPEN_MAX_MS)
		breaker->open_ms = BREAKER_OPEN_MAX_MS;
	breaker->open_until_ms = now_ms + breaker->open_ms;
}

void breaker_record_failure(struct breaker *breaker, uint64_t now_ms)
{
	if (++breaker->consecutive_failures >= BREAKER_FAILURES_MAX)
		breaker_open(breaker, now_ms);
}

enum breaker_state breaker_state_at(const struct breaker *breaker,
				    uint64_t now_ms)
{
	if (now_ms < breaker->open_until_ms)
		return BREAKER_OPEN;
	return breaker->consecutive_failures >= BREAKER_FAILURES_MAX
		       ? BREAKER_HALF_OPEN
		       : BREAKER_CLOSED;
}

uint64_t breaker_idle_since_ms(const struct breaker *breaker, uint64_t now_ms)
{
	return now_ms < breaker->open_until_ms
		       ? breaker->open_until_ms - breaker->open_ms
		       : breaker->open_until_ms;
}

bool breaker_yield(struct breaker *breaker, uint64_t since_ms,
		   uint32_t yields_after_ms, uint64_t now_ms)
{
	if (breaker_state_at(breaker, now_ms) == BREAKER_CLOSED ||
	    now_ms < since_ms + yields_after_ms)
		return false;
	breaker->open_until_ms = now_ms;
	return true;
}

bool breaker_task_is_stalled(uint32_t percent, uint64_t unchanged_ms,
			     uint32_t expected_ms)
{
	uint64_t advance_ms =
		(uint64_t)expected_ms * BREAKER_STALL_PERCENT / 100;

	return percent < 100 && unchanged_ms > BREAKER_STALL_MS &&
	       unchanged_ms > advance_ms;
}

bool breaker_long_running_succeeded(uint64_t full_speed_ms)
{
	return full_speed_ms >= BREAKER_FULL_SPEED_MS;
}
