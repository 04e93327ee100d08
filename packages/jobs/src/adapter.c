#include "adapter.h"

#include <glib.h>

static const char *const verdict_names[] = {
	[ADAPTER_ACCEPTED] = "taken",
	[ADAPTER_REFUSED_FENCE] = "fence",
	[ADAPTER_REFUSED_STALE_RUN] = "old-run",
	[ADAPTER_REFUSED_LEASE_EXPIRED] = "lease-over",
	[ADAPTER_REFUSED_CAPACITY] = "no-room",
	[ADAPTER_REFUSED_TICKET] = "ticket",
	[ADAPTER_REFUSED_BUSY] = "busy",
	[ADAPTER_REFUSED_INCARNATION] = "other-incarnation",
	[ADAPTER_REFUSED_INVALID] = "invalid",
};

static const char *const end_names[] = {
	[ADAPTER_END_DONE] = "done",
	[ADAPTER_END_FAILED] = "failed",
	[ADAPTER_END_STOPPED] = "stopped",
	[ADAPTER_END_LEASE_EXPIRED] = "lapsed",
	[ADAPTER_END_GANG_BROKEN] = "broken",
	[ADAPTER_END_GANG_INCOMPLETE] = "alone",
};

const char *adapter_verdict_name(enum adapter_verdict verdict)
{
	g_assert(verdict < G_N_ELEMENTS(verdict_names));
	return verdict_names[verdict];
}

const char *adapter_end_name(enum adapter_end_kind kind)
{
	g_assert(kind < G_N_ELEMENTS(end_names));
	return end_names[kind];
}
