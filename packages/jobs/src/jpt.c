#include "jpt.h"

#include <glib.h>

static const char *const verdict_names[] = {
	[JPT_TAKEN] = "taken",
	[JPT_REFUSED_FENCE] = "fence",
	[JPT_REFUSED_OLD] = "old-run",
	[JPT_REFUSED_LATE] = "lease-over",
	[JPT_REFUSED_ROOM] = "no-room",
	[JPT_REFUSED_TICKET] = "ticket",
	[JPT_REFUSED_BUSY] = "busy",
	[JPT_REFUSED_INCARNATION] = "other-incarnation",
	[JPT_REFUSED_INVALID] = "invalid",
};

static const char *const end_names[] = {
	[JPT_END_DONE] = "done",       [JPT_END_FAILED] = "failed",
	[JPT_END_STOPPED] = "stopped", [JPT_END_LAPSED] = "lapsed",
	[JPT_END_BROKEN] = "broken",   [JPT_END_ALONE] = "alone",
};

const char *jpt_verdict_name(enum jpt_verdict verdict)
{
	g_assert(verdict < G_N_ELEMENTS(verdict_names));
	return verdict_names[verdict];
}

const char *jpt_end_name(enum jpt_end_kind kind)
{
	g_assert(kind < G_N_ELEMENTS(end_names));
	return end_names[kind];
}
