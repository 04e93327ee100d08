#include "hed.h"

#include <string.h>

void hed_state_init(struct hed_state *state, uint32_t window_ms)
{
	memset(state, 0, sizeof(*state));
	state->window_ms = window_ms;
}

struct hed_action hed_pending(const struct hed_state *state)
{
	struct hed_action action = { 0 };

	action.fetch_bundle = state->known.roll > state->applied_roll;
	action.fetch_placement =
		state->known.placement_number > state->applied_placement;
	return action;
}

static void roll_copy(struct hed_head *to, const struct hed_head *from)
{
	to->roll = from->roll;
	to->version = from->version;
	memcpy(to->digest, from->digest, HED_DIGEST_BYTES);
}

void hed_refused(struct hed_state *state, const struct hed_head *in_force)
{
	roll_copy(&state->known, in_force);
}

struct hed_action hed_learn(struct hed_state *state,
			    const struct hed_head *head)
{
	struct hed_action action;
	bool stale = head->roll < state->known.roll ||
		     head->placement_number < state->known.placement_number;
	bool newer = head->roll > state->known.roll ||
		     head->placement_number > state->known.placement_number;

	if (head->roll > state->known.roll)
		roll_copy(&state->known, head);
	if (head->placement_number > state->known.placement_number)
		state->known.placement_number = head->placement_number;
	action = hed_pending(state);
	action.newer = newer;
	action.stale = stale;
	return action;
}

void hed_confirm(struct hed_state *state, uint64_t at_ms)
{
	if (!hed_pending(state).fetch_placement && at_ms > state->current_ms)
		state->current_ms = at_ms;
}

void hed_confirm_by(struct hed_state *state, uint64_t number, uint64_t asked_ms,
		    uint32_t age_ms)
{
	if (number <= state->applied_placement && age_ms < asked_ms &&
	    age_ms != HED_AGE_NEVER)
		hed_confirm(state, asked_ms - age_ms);
}

uint32_t hed_age_ms(const struct hed_state *state, uint64_t now_ms)
{
	uint64_t age_ms = now_ms - state->current_ms;

	if (state->current_ms == 0 || age_ms > HED_AGE_NEVER)
		return HED_AGE_NEVER;
	return (uint32_t)age_ms;
}

bool hed_has_caught_up(const struct hed_state *state)
{
	return state->platform_heard &&
	       state->applied_placement >= state->platform_number;
}

struct hed_action hed_hear(struct hed_state *state, const struct hed_head *head,
			   uint64_t now_ms)
{
	struct hed_action action = hed_learn(state, head);

	if (!state->platform_heard)
		state->platform_number = head->placement_number;
	state->platform_heard = true;
	/* An old head proves nothing about the present. */
	if (!action.stale)
		hed_confirm(state, now_ms);
	return action;
}

bool hed_may_dispatch(const struct hed_state *state, uint64_t now_ms)
{
	if (state->current_ms == 0 || state->applied_roll == 0)
		return false;
	return now_ms - state->current_ms <= state->window_ms;
}

bool hed_applied(struct hed_state *state, uint64_t roll)
{
	if (roll <= state->applied_roll)
		return false;
	state->applied_roll = roll;
	return true;
}
