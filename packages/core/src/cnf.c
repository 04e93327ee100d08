#include "cnf.h"

#include <glib.h>

static bool process_is_harmless(const struct cnf_process *process,
				uint64_t number, uint64_t since_ms,
				uint64_t now_ms, uint64_t lapse_ms)
{
	uint64_t seen_ms = MAX(process->heard_ms, process->listed_ms);

	if (process->applied >= number)
		return true;
	if (!process->listed && now_ms > seen_ms + lapse_ms)
		return true;
	return now_ms > MAX(process->heard_ms, since_ms) + lapse_ms;
}

bool cnf_holds(const struct cnf_process *processes, uint32_t count,
	       uint64_t number, uint64_t since_ms, uint64_t now_ms,
	       uint64_t lapse_ms)
{
	for (uint32_t i = 0; i < count; i++) {
		if (!process_is_harmless(&processes[i], number, since_ms,
					 now_ms, lapse_ms))
			return false;
	}
	return true;
}

/*
 * Until a majority applied the number, an older view may have been renewed: by
 * a process that restarted after it had confirmed, or by one that this manager
 * never heard of. Before the first placement there is no older view.
 */
static bool older_views_lapsed(const struct cnf_confirm *confirm,
			       const struct cnf_input *input)
{
	return confirm->number == 0 ||
	       input->now_ms > confirm->majority_ms + input->lapse_ms;
}

bool cnf_follow(struct cnf_confirm *confirm, uint64_t number,
		const struct cnf_input *input)
{
	if (confirm->number != number)
		*confirm = (struct cnf_confirm){ .number = number };
	if (confirm->majority_ms == 0 && input->majority)
		confirm->majority_ms = input->now_ms;
	if (confirm->held_ms == 0 && confirm->majority_ms != 0 &&
	    input->count > 0 && older_views_lapsed(confirm, input) &&
	    cnf_holds(input->processes, input->count, number,
		      confirm->majority_ms, input->now_ms, input->lapse_ms))
		confirm->held_ms = input->now_ms;
	return confirm->held_ms != 0;
}

bool cnf_is_member(const struct cnf_process *process, bool member,
		   uint64_t since_ms, uint64_t now_ms)
{
	uint64_t seen_ms = MAX(process->heard_ms, process->listed_ms);

	if (process->listed)
		return true;
	return member &&
	       now_ms <= MAX(seen_ms, since_ms) + CNF_MEMBER_ABSENT_MS;
}
