#include "hlt.h"

/* Bad ends in a row after which a worker is quarantined: tasks that can never
 * succeed are few, and do not end in a row on one worker by chance. */
#define HLT_BAD_MAX 3
/* First and longest quarantine, about the length of short disruptions. */
#define HLT_QUARANTINE_MIN_MS 1500
#define HLT_QUARANTINE_MAX_MS 6000

/* A task that shows no progress for this long stands still; the longest tasks
 * show a percent of progress several times in it. */
#define HLT_STILL_MS 2000

void hlt_good(struct hlt_state *state)
{
	state->bad_in_row = 0;
	state->quarantine_ms = 0;
	state->quarantined_until_ms = 0;
}

static void quarantine(struct hlt_state *state, uint64_t now_ms)
{
	/* Ends of tasks that were started before it are no news. */
	if (now_ms < state->quarantined_until_ms)
		return;
	state->quarantine_ms = state->quarantine_ms == 0
				       ? HLT_QUARANTINE_MIN_MS
				       : 2 * state->quarantine_ms;
	if (state->quarantine_ms > HLT_QUARANTINE_MAX_MS)
		state->quarantine_ms = HLT_QUARANTINE_MAX_MS;
	state->quarantined_until_ms = now_ms + state->quarantine_ms;
}

void hlt_bad(struct hlt_state *state, uint64_t now_ms)
{
	if (++state->bad_in_row >= HLT_BAD_MAX)
		quarantine(state, now_ms);
}

enum hlt_leave hlt_leave_of(const struct hlt_state *state, uint64_t now_ms)
{
	if (now_ms < state->quarantined_until_ms)
		return HLT_NONE;
	return state->bad_in_row >= HLT_BAD_MAX ? HLT_ONE : HLT_ALL;
}

bool hlt_stands_still(uint32_t percent, uint64_t still_ms)
{
	return percent < 100 && still_ms > HLT_STILL_MS;
}
