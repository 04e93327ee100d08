#include "daemon_private.h"

#define DAEMON_SLOTS_UPDATE_INTERVAL_MS 100
/*
 * If this process was paused for at least this time, missing heartbeats do not
 * show that a peer is unreachable.
 */
#define DAEMON_PAUSE_MIN_MS 2000

/* The processes that share slots, collected from the known peers. */
struct member_lists {
	GArray *owner_candidates;
	GArray *slot_holders;
	uint64_t now_ms;
	/*
	 * this process started or was paused a short time ago, so peers without
	 * a recent heartbeat are included as well
	 */
	bool starting;
};

static void peer_add(void *data, const struct gossip_heartbeat *last,
		     uint64_t received_ms)
{
	struct member_lists *member_lists = data;
	uint64_t key = slot_key(last->from.id);
	bool alive = received_ms != 0 && member_lists->now_ms - received_ms <=
						 DAEMON_PEER_TIMEOUT_MS;

	/* Peers known only from the settings have no incarnation yet. */
	if (!alive && !(member_lists->starting && last->from.incarnation != 0))
		return;
	g_array_append_val(member_lists->slot_holders, key);
	if (!last->shutting_down)
		g_array_append_val(member_lists->owner_candidates, key);
}

static void pause_detect(struct daemon *daemon, uint64_t now_ms)
{
	if (now_ms - daemon->members_updated_ms >= DAEMON_PAUSE_MIN_MS)
		daemon->started_ms = now_ms;
	daemon->members_updated_ms = now_ms;
}

void daemon_slots_update_members(struct daemon *daemon)
{
	uint64_t now_ms = loop_now_ms();
	uint64_t self = slot_key(daemon->self.id);
	struct member_lists member_lists = {
		.owner_candidates = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
		.slot_holders = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
		.now_ms = now_ms,
	};

	pause_detect(daemon, now_ms);
	member_lists.starting =
		now_ms - daemon->started_ms < DAEMON_PEER_TIMEOUT_MS;
	g_array_append_val(member_lists.slot_holders, self);
	if (!daemon->shutting_down)
		g_array_append_val(member_lists.owner_candidates, self);
	gossip_node_foreach_peer(daemon->peers, peer_add, &member_lists);
	/*
	 * If all processes are shutting down, one of them keeps the ownership.
	 */
	gateway_set_members(daemon->gateway,
			    member_lists.owner_candidates->len > 0
				    ? member_lists.owner_candidates
				    : member_lists.slot_holders,
			    member_lists.slot_holders);
	g_array_unref(member_lists.owner_candidates);
	g_array_unref(member_lists.slot_holders);
}

static void on_slots_members_due(void *data)
{
	struct daemon *daemon = data;

	loop_timer_set(daemon->loop, &daemon->slots_timer,
		       DAEMON_SLOTS_UPDATE_INTERVAL_MS);
	daemon_slots_update_members(daemon);
}

void daemon_slots_start(struct daemon *daemon)
{
	daemon->slots_timer.cb = on_slots_members_due;
	daemon->slots_timer.data = daemon;
	loop_timer_set(daemon->loop, &daemon->slots_timer, 0);
}

void daemon_slots_send_report(void *data, uint64_t to,
			      const struct slot_report *report)
{
	struct daemon *daemon = data;

	gossip_node_report_slots(daemon->peers, to, report);
}

void daemon_slots_send_grant(void *data, uint64_t to,
			     const struct slot_grant *grant)
{
	struct daemon *daemon = data;

	gossip_node_grant_slots(daemon->peers, to, grant);
}

void daemon_on_slot_report(void *data, const char *from,
			   const struct slot_report *report)
{
	struct daemon *daemon = data;

	gateway_on_slot_report(daemon->gateway, report);
}

void daemon_on_slot_grant(void *data, const char *from,
			  const struct slot_grant *grant)
{
	struct daemon *daemon = data;

	gateway_on_slot_grant(daemon->gateway, grant);
}
