#include "daemon_private.h"

#define DAEMON_SLOTS_MEMBERS_MS 100
/* After a pause this long peers that were not heard may well be there. */
#define DAEMON_PAUSE_MS 2000

/* The processes that share slots, gathered from the known peers. */
struct gathering {
	GArray *members;
	GArray *everyone;
	uint64_t now_ms;
	/* peers that were not heard count in the first seconds of a run */
	bool starting;
};

static void peer_gather(void *data, const struct gossip_heartbeat *last,
			uint64_t heard_ms)
{
	struct gathering *gathering = data;
	uint64_t key = slot_key(last->from.id);
	bool heard = heard_ms != 0 &&
		     gathering->now_ms - heard_ms <= DAEMON_PEER_GONE_AFTER_MS;

	/* Peers known from the settings only have no incarnation yet. */
	if (!heard && !(gathering->starting && last->from.incarnation != 0))
		return;
	g_array_append_val(gathering->everyone, key);
	if (!last->shutting_down)
		g_array_append_val(gathering->members, key);
}

static void pause_check(struct daemon *entry, uint64_t now_ms)
{
	if (now_ms - entry->members_seen_ms >= DAEMON_PAUSE_MS)
		entry->started_ms = now_ms;
	entry->members_seen_ms = now_ms;
}

void daemon_slots_update_members(struct daemon *entry)
{
	uint64_t now_ms = loop_now_ms();
	uint64_t self = slot_key(entry->self.id);
	struct gathering gathering = {
		.members = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
		.everyone = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
		.now_ms = now_ms,
	};

	pause_check(entry, now_ms);
	gathering.starting =
		now_ms - entry->started_ms < DAEMON_PEER_GONE_AFTER_MS;
	g_array_append_val(gathering.everyone, self);
	if (!entry->shutting_down)
		g_array_append_val(gathering.members, self);
	gossip_node_foreach_peer(entry->peers, peer_gather, &gathering);
	/* When all leave, ownership stays with one that leaves. */
	gateway_set_members(entry->gateway,
			    gathering.members->len > 0 ? gathering.members
						       : gathering.everyone,
			    gathering.everyone);
	g_array_unref(gathering.members);
	g_array_unref(gathering.everyone);
}

static void on_slots_members_due(void *data)
{
	struct daemon *entry = data;

	loop_timer_set(entry->loop, &entry->slots_timer,
		       DAEMON_SLOTS_MEMBERS_MS);
	daemon_slots_update_members(entry);
}

void daemon_slots_start(struct daemon *entry)
{
	entry->slots_timer.cb = on_slots_members_due;
	entry->slots_timer.data = entry;
	loop_timer_set(entry->loop, &entry->slots_timer, 0);
}

void daemon_slots_send_report(void *data, uint64_t to,
			      const struct slot_report *report)
{
	struct daemon *entry = data;

	gossip_node_report_slots(entry->peers, to, report);
}

void daemon_slots_send_grant(void *data, uint64_t to,
			     const struct slot_grant *grant)
{
	struct daemon *entry = data;

	gossip_node_grant_slots(entry->peers, to, grant);
}

void daemon_on_slot_report(void *data, const char *from,
			   const struct slot_report *report)
{
	struct daemon *entry = data;

	gateway_on_slot_report(entry->gateway, report);
}

void daemon_on_slot_grant(void *data, const char *from,
			  const struct slot_grant *grant)
{
	struct daemon *entry = data;

	gateway_on_slot_grant(entry->gateway, grant);
}
