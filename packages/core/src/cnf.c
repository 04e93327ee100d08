#include "cnf.h"

#include <glib.h>

uint32_t cnf_count(const struct cnf_process *processes, uint32_t count,
		   uint64_t number)
{
	uint32_t confirmed = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (processes[i].applied >= number)
			confirmed++;
	}
	return confirmed;
}

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
