#include "breaker.h"

/* Bad ends in a row after which a worker is quarantined: tasks that can never
 * succeed are few, and do not end in a row on one worker by chance. */
#define BREAKER_BAD_MAX 3
/* First and longest quarantine, about the length of short disruptions. */
#define BREAKER_QUARANTINE_MIN_MS 1500
#define BREAKER_QUARANTINE_MAX_MS 6000

/* A task that shows no progress for this long stands still; the longest tasks
 * show a percent of progress several times in it. */
#define BREAKER_STILL_MS 2000

void breaker_record_success(struct breaker *state)
{
	state->consecutive_failures = 0;
	state->open_ms = 0;
	state->open_until_ms = 0;
}

static void quarantine(struct breaker *state, uint64_t now_ms)
{
	/* Ends of tasks that were started before it are no news. */
	if (now_ms < state->open_until_ms)
		return;
	state->open_ms = state->open_ms == 0 ? BREAKER_QUARANTINE_MIN_MS
					     : 2 * state->open_ms;
	if (state->open_ms > BREAKER_QUARANTINE_MAX_MS)
		state->open_ms = BREAKER_QUARANTINE_MAX_MS;
	state->open_until_ms = now_ms + state->open_ms;
}

void breaker_record_failure(struct breaker *state, uint64_t now_ms)
{
	if (++state->consecutive_failures >= BREAKER_BAD_MAX)
		quarantine(state, now_ms);
}

enum breaker_state breaker_state_at(const struct breaker *state,
				    uint64_t now_ms)
{
	if (now_ms < state->open_until_ms)
		return BREAKER_OPEN;
	return state->consecutive_failures >= BREAKER_BAD_MAX
		       ? BREAKER_HALF_OPEN
		       : BREAKER_CLOSED;
}

bool breaker_task_is_stalled(uint32_t percent, uint64_t still_ms)
{
	return percent < 100 && still_ms > BREAKER_STILL_MS;
}
