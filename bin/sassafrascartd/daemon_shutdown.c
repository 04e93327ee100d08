#include <string.h>

#include "daemon_private.h"
#include "log.h"

#define DAEMON_STOP_TICK_MS 50
/* A manager key that a late answer brought back is looked for this often. */
#define DAEMON_RESIGN_MS 500
/* Without an answer the lease ends by itself. */
#define DAEMON_RELEASE_MS 1000

static void on_manager_deleted(void *data, enum err_kind err,
			       const struct platform_result *result)
{
	struct daemon *entry = data;

	entry->resigning = false;
	if (err == ERR_NONE && result->succeeded)
		log_info("manager_resigned", "another process may manage");
}

static void manager_key_delete(struct daemon *entry, int64_t revision)
{
	const struct platform_compare compare = { PLATFORM_KEY_MANAGER,
						  PLATFORM_TARGET_MOD_REVISION,
						  revision };
	const struct platform_write write = { PLATFORM_KEY_MANAGER, NULL, 0 };
	const struct platform_txn txn = { &compare, 1, &write, 1 };

	platform_txn(entry->platform, &txn, on_manager_deleted, entry);
}

static void on_manager_read(void *data, enum err_kind err,
			    const struct platform_result *result)
{
	struct daemon *entry = data;

	if (err == ERR_NONE && result->kv_count > 0 &&
	    strcmp(result->kvs[0].value, entry->self.id) == 0) {
		manager_key_delete(entry, result->kvs[0].mod_revision);
		return;
	}
	entry->resigning = false;
}

/*
 * Gives up the manager key alone: the lease stays until the end, since other
 * processes wait for this one's confirmations for as long as it dispatches.
 */
static void resign(struct daemon *entry)
{
	uint64_t now_ms = loop_now_ms();

	if (entry->resigning || now_ms < entry->resigned_ms + DAEMON_RESIGN_MS)
		return;
	entry->resigning = true;
	entry->resigned_ms = now_ms;
	platform_range(entry->platform, PLATFORM_KEY_MANAGER, false,
		       on_manager_read, entry);
}

static bool is_drained(struct daemon *entry)
{
	uint64_t now_ms = loop_now_ms();

	if (now_ms < entry->leave_grace_until_ms)
		return false;
	gateway_shut_down(entry->gateway);
	return ingress_server_in_flight(entry->server) == 0 ||
	       now_ms >= entry->drain_until_ms;
}

static bool is_released(struct daemon *entry)
{
	uint64_t now_ms = loop_now_ms();

	if (entry->release_until_ms == 0) {
		entry->release_until_ms = now_ms + DAEMON_RELEASE_MS;
		lease_release(entry->lease);
	}
	return lease_is_released(entry->lease) ||
	       now_ms >= entry->release_until_ms;
}

static void on_stop_tick(void *data)
{
	struct daemon *entry = data;

	if (is_drained(entry) && is_released(entry)) {
		log_info("stopped", "stopped with %u requests in progress",
			 ingress_server_in_flight(entry->server));
		loop_stop(entry->loop);
		return;
	}
	if (entry->release_until_ms == 0)
		resign(entry);
	loop_timer_set(entry->loop, &entry->shut_down_timer,
		       DAEMON_STOP_TICK_MS);
}

void daemon_shut_down(struct daemon *entry)
{
	const struct settings *settings = entry->settings;

	if (entry->shutting_down)
		return;
	entry->shutting_down = true;
	entry->leave_grace_until_ms = loop_now_ms() + settings->leave_grace_ms;
	entry->drain_until_ms =
		entry->leave_grace_until_ms + settings->drain_ms;
	log_info("shutting_down", "%u requests in progress",
		 gateway_in_progress_count(entry->gateway));
	mgr_manager_set_lease(entry->manager, 0);
	ingress_server_drain(entry->server);
	/* Peers choose other owners of the slots at once. */
	gossip_node_announce(entry->peers);
	daemon_slots_update_members(entry);
	entry->shut_down_timer.cb = on_stop_tick;
	entry->shut_down_timer.data = entry;
	loop_timer_set(entry->loop, &entry->shut_down_timer, 0);
}
