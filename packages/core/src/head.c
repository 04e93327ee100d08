#include "head.h"

#include <string.h>

void head_state_init(struct head_state *state, uint32_t window_ms)
{
	memset(state, 0, sizeof(*state));
	state->window_ms = window_ms;
}

struct head_action head_pending(const struct head_state *state)
{
	struct head_action action = { 0 };

	action.fetch_bundle = state->known.roll > state->applied_roll;
	action.fetch_placement =
		state->known.placement_number > state->applied_placement;
	return action;
}

static void roll_copy(struct head *to, const struct head *from)
{
	to->roll = from->roll;
	to->version = from->version;
	memcpy(to->digest, from->digest, HEAD_DIGEST_BYTES);
}

void head_reject_roll(struct head_state *state, const struct head *in_force)
{
	roll_copy(&state->known, in_force);
}

struct head_action head_update_from_peer(struct head_state *state,
					 const struct head *head)
{
	struct head_action action;
	bool stale = head->roll < state->known.roll ||
		     head->placement_number < state->known.placement_number;
	bool newer = head->roll > state->known.roll ||
		     head->placement_number > state->known.placement_number;

	if (head->roll > state->known.roll)
		roll_copy(&state->known, head);
	if (head->placement_number > state->known.placement_number)
		state->known.placement_number = head->placement_number;
	action = head_pending(state);
	action.newer = newer;
	action.stale = stale;
	return action;
}

void head_confirm(struct head_state *state, uint64_t at_ms)
{
	if (!head_pending(state).fetch_placement && at_ms > state->confirmed_ms)
		state->confirmed_ms = at_ms;
}

void head_confirm_from_peer(struct head_state *state, uint64_t number,
			    uint64_t asked_ms, uint32_t age_ms)
{
	if (number <= state->applied_placement && age_ms < asked_ms &&
	    age_ms != HEAD_AGE_NEVER)
		head_confirm(state, asked_ms - age_ms);
}

uint32_t head_confirmation_age_ms(const struct head_state *state,
				  uint64_t now_ms)
{
	uint64_t age_ms = now_ms - state->confirmed_ms;

	if (state->confirmed_ms == 0 || age_ms > HEAD_AGE_NEVER)
		return HEAD_AGE_NEVER;
	return (uint32_t)age_ms;
}

bool head_has_caught_up(const struct head_state *state)
{
	return state->platform_answered &&
	       state->applied_placement >= state->platform_placement;
}

struct head_action head_update_from_platform(struct head_state *state,
					     const struct head *head,
					     uint64_t now_ms)
{
	struct head_action action = head_update_from_peer(state, head);

	if (!state->platform_answered)
		state->platform_placement = head->placement_number;
	state->platform_answered = true;
	/* An old head proves nothing about the present. */
	if (!action.stale)
		head_confirm(state, now_ms);
	return action;
}

bool head_may_dispatch(const struct head_state *state, uint64_t now_ms)
{
	if (state->confirmed_ms == 0 || state->applied_roll == 0)
		return false;
	return now_ms - state->confirmed_ms <= state->window_ms;
}

bool head_set_applied_roll(struct head_state *state, uint64_t roll)
{
	if (roll <= state->applied_roll)
		return false;
	state->applied_roll = roll;
	return true;
}
