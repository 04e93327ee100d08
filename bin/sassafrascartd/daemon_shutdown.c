#include <string.h>

#include "daemon_private.h"
#include "log.h"

#define DAEMON_SHUTDOWN_POLL_MS 50
/* Polls without a new connection or request before the lease is revoked; a
 * request may follow its connection by a round trip. */
#define DAEMON_QUIET_POLLS 4
/*
 * Interval between checks of the manager key: a campaign transaction in flight
 * at shutdown may still create it.
 */
#define DAEMON_RESIGN_INTERVAL_MS 500
/*
 * The revocation of the lease is awaited this long; without an answer the lease
 * expires by itself.
 */
#define DAEMON_LEASE_REVOKE_TIMEOUT_MS 1000

static void on_manager_deleted(void *data, enum err_kind err,
			       const struct platform_result *result)
{
	struct daemon *daemon = data;

	daemon->resigning = false;
	if (err == ERR_NONE && result->succeeded)
		log_info("manager_resigned", "deleted the manager key; another "
					     "process may take over");
}

static void manager_key_delete(struct daemon *daemon, int64_t revision)
{
	const struct platform_compare compare = { PLATFORM_KEY_MANAGER,
						  PLATFORM_TARGET_MOD_REVISION,
						  revision };
	const struct platform_write write = { PLATFORM_KEY_MANAGER, NULL, 0 };
	const struct platform_txn txn = { &compare, 1, &write, 1 };

	platform_txn(daemon->platform, &txn, on_manager_deleted, daemon);
}

static void on_manager_read(void *data, enum err_kind err,
			    const struct platform_result *result)
{
	struct daemon *daemon = data;

	if (err == ERR_NONE && result->kv_count > 0 &&
	    strcmp(result->kvs[0].value, daemon->self.id) == 0) {
		manager_key_delete(daemon, result->kvs[0].mod_revision);
		return;
	}
	daemon->resigning = false;
}

/*
 * Deletes the manager key only. The lease is kept until the end of the
 * shutdown, since the manager waits for the confirmations of each process that
 * may still dispatch.
 */
static void manager_resign(struct daemon *daemon)
{
	uint64_t now_ms = loop_now_ms();

	if (daemon->resigning ||
	    now_ms < daemon->resign_checked_ms + DAEMON_RESIGN_INTERVAL_MS)
		return;
	daemon->resigning = true;
	daemon->resign_checked_ms = now_ms;
	platform_range(daemon->platform, PLATFORM_KEY_MANAGER, false,
		       on_manager_read, daemon);
}

/*
 * Refuses new requests once the grace period is over, and new connections once
 * no request is in progress. Returns whether callers then had nothing under way
 * any more, or the drain deadline has passed.
 */
static bool drain_step(struct daemon *daemon)
{
	uint64_t now_ms = loop_now_ms();

	if (now_ms < daemon->leave_grace_until_ms)
		return false;
	gateway_shut_down(daemon->gateway);
	if (ingress_server_in_flight(daemon->server) == 0)
		ingress_server_close_listener(daemon->server);
	return ingress_server_is_quiet(daemon->server, &daemon->quiet,
				       DAEMON_QUIET_POLLS) ||
	       now_ms >= daemon->drain_until_ms;
}

/*
 * Revokes the lease on the first call. Returns whether the lease was revoked or
 * the timeout has passed.
 */
static bool lease_revoke_step(struct daemon *daemon)
{
	uint64_t now_ms = loop_now_ms();

	if (daemon->lease_revoke_until_ms == 0) {
		daemon->lease_revoke_until_ms =
			now_ms + DAEMON_LEASE_REVOKE_TIMEOUT_MS;
		lease_release(daemon->lease);
	}
	return lease_is_released(daemon->lease) ||
	       now_ms >= daemon->lease_revoke_until_ms;
}

static void on_shutdown_poll(void *data)
{
	struct daemon *daemon = data;

	if (drain_step(daemon) && lease_revoke_step(daemon)) {
		log_info("stopped", "stopped with %u requests in progress",
			 ingress_server_in_flight(daemon->server));
		loop_stop(daemon->loop);
		return;
	}
	if (daemon->lease_revoke_until_ms == 0)
		manager_resign(daemon);
	loop_timer_set(daemon->loop, &daemon->shut_down_timer,
		       DAEMON_SHUTDOWN_POLL_MS);
}

void daemon_shut_down(struct daemon *daemon)
{
	const struct settings *settings = daemon->settings;

	if (daemon->shutting_down)
		return;
	daemon->shutting_down = true;
	daemon->leave_grace_until_ms = loop_now_ms() + settings->leave_grace_ms;
	daemon->drain_until_ms =
		daemon->leave_grace_until_ms + settings->drain_ms;
	log_info("shutting_down", "%u requests in progress",
		 gateway_in_progress_count(daemon->gateway));
	mgr_manager_set_lease(daemon->manager, 0);
	ingress_server_drain(daemon->server);
	/*
	 * Peers choose other owners of the slots without waiting for a timeout.
	 */
	gossip_node_announce(daemon->peers);
	daemon_slots_update_members(daemon);
	daemon->shut_down_timer.cb = on_shutdown_poll;
	daemon->shut_down_timer.data = daemon;
	loop_timer_set(daemon->loop, &daemon->shut_down_timer, 0);
}
