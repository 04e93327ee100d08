#include "confirm.h"

#include <glib.h>

static bool older_placement_is_unusable(const struct confirm_process *process,
					uint64_t number, uint64_t since_ms,
					uint64_t now_ms, uint64_t expiry_ms)
{
	uint64_t seen_ms = MAX(process->heartbeat_ms, process->listed_ms);

	if (process->applied >= number)
		return true;
	if (!process->listed && now_ms > seen_ms + expiry_ms)
		return true;
	return now_ms > MAX(process->heartbeat_ms, since_ms) + expiry_ms;
}

bool confirm_is_complete(const struct confirm_process *processes,
			 uint32_t count, uint64_t number, uint64_t since_ms,
			 uint64_t now_ms, uint64_t expiry_ms)
{
	for (uint32_t i = 0; i < count; i++) {
		if (!older_placement_is_unusable(&processes[i], number,
						 since_ms, now_ms, expiry_ms))
			return false;
	}
	return true;
}

/*
 * Until a majority has applied the number, a dispatch window for an older
 * placement may have been renewed by a process that confirmed the number and
 * then restarted, or by a process that is unknown to this manager. Before the
 * first placement there is no older one.
 */
static bool older_windows_expired(const struct confirm_state *confirm,
				  const struct confirm_input *input)
{
	return confirm->number == 0 ||
	       input->now_ms > confirm->majority_ms + input->expiry_ms;
}

bool confirm_update(struct confirm_state *confirm, uint64_t number,
		    const struct confirm_input *input)
{
	if (confirm->number != number)
		*confirm = (struct confirm_state){ .number = number };
	if (confirm->majority_ms == 0 && input->majority)
		confirm->majority_ms = input->now_ms;
	if (confirm->confirmed_ms == 0 && confirm->majority_ms != 0 &&
	    input->count > 0 && older_windows_expired(confirm, input) &&
	    confirm_is_complete(input->processes, input->count, number,
				confirm->majority_ms, input->now_ms,
				input->expiry_ms))
		confirm->confirmed_ms = input->now_ms;
	return confirm->confirmed_ms != 0;
}

bool confirm_is_member(const struct confirm_process *process, bool member,
		       uint64_t since_ms, uint64_t now_ms)
{
	uint64_t seen_ms = MAX(process->heartbeat_ms, process->listed_ms);

	if (process->listed)
		return true;
	return member &&
	       now_ms <= MAX(seen_ms, since_ms) + CONFIRM_MEMBER_TIMEOUT_MS;
}
