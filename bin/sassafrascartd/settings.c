#include "settings.h"

#include <string.h>

#include "member.h"
#include "platform_client.h"

#define AT(member) offsetof(struct settings, member)

static const struct cfg_option settings_options[] = {
	{ "id", CFG_TEXT, AT(id), "", 0, 0,
	  "identity among the entry processes; the listen address if empty",
	  "NAME" },
	{ "listen", CFG_ENDPOINT, AT(listen), NULL, 0, 0,
	  "address for callers, also told to the other processes", "IP:PORT" },
	{ "rpc", CFG_ENDPOINT, AT(rpc), NULL, 0, 0,
	  "UDP address for the other entry processes", "IP:PORT" },
	{ "platform", CFG_ENDPOINT, AT(platform), NULL, 0, 0,
	  "address of the platform's service", "IP:PORT" },
	{ "platform-adapter", CFG_TEXT, AT(platform_adapter), "etcd", 0, 0,
	  "wire protocol of the platform's service", "NAME" },
	{ "availability-zone", CFG_TEXT, AT(availability_zone), "", 0, 0,
	  "availability zone of this process", "NAME" },
	{ "operator-key", CFG_LIST, AT(operator_keys), NULL, 0, 0,
	  "public key (PEM) whose signatures are trusted; repeatable", "FILE" },
	{ "peer", CFG_LIST, AT(peers), NULL, 0, 0,
	  "UDP address of another entry process, for a start while the "
	  "platform is down; repeatable",
	  "IP:PORT" },
	{ "signatures-required", CFG_U32, AT(signatures_required), "1", 1, 16,
	  "different trusted signatures that a bundle needs", "N" },
	{ "log-level", CFG_TEXT, AT(log_level), "info", 0, 0,
	  "error, warning, info or debug", "LEVEL" },
	{ "body-max-bytes", CFG_U32, AT(body_max_bytes), "1048576", 1024,
	  1u << 30, "largest body of a request", "BYTES" },
	{ "connections-max", CFG_U32, AT(connections_max), "4096", 1, 1000000,
	  "connections of callers; more are closed at once", "N" },
	{ "answer-max-bytes", CFG_U32, AT(answer_max_bytes), "4194304", 1024,
	  1u << 30, "largest body of an answer", "BYTES" },
	{ "poll-ms", CFG_U32, AT(poll_ms), "1000", 10, 60000,
	  "time between two reads of the head", "MS" },
	{ "dispatch-window-ms", CFG_U32, AT(dispatch_window_ms), "4000", 100,
	  600000, "how long requests are sent on without news of the fleet",
	  "MS" },
	{ "lease-ttl-s", CFG_U32, AT(lease_ttl_s), "5", 1, 600,
	  "life of this process's lease", "S" },
	{ "platform-timeout-ms", CFG_U32, AT(platform_timeout_ms), "1000", 10,
	  60000, "deadline of a call to the platform", "MS" },
	{ "platform-rate-per-s", CFG_U32, AT(platform_rate_per_s), "50", 1,
	  10000, "calls a second that this process makes at most", "N" },
	{ "claim-life-s", CFG_U32, AT(claim_life_s), "600", 1, 86400,
	  "how long an idempotency key stays claimed", "S" },
	{ "leave-grace-ms", CFG_U32, AT(leave_grace_ms), "2000", 0, 600000,
	  "time at shutdown for which new requests are still served, until "
	  "the balancer has noticed the health page",
	  "MS" },
	{ "drain-ms", CFG_U32, AT(drain_ms), "30000", 0, 3600000,
	  "time for requests in progress at shutdown", "MS" },
	{ "idle-timeout-ms", CFG_U32, AT(idle_timeout_ms), "10000", 100,
	  3600000, "time a caller's connection may be idle", "MS" },
	{ "manager-tick-ms", CFG_U32, AT(manager_tick_ms), "500", 10, 60000,
	  "pace of the manager's decisions", "MS" },
	{ "vm-list-ms", CFG_U32, AT(vm_list_ms), "2000", 10, 600000,
	  "time between two reads of the platform's list of VMs", "MS" },
	{ "vm-list-lag-ms", CFG_U32, AT(vm_list_lag_ms), "30000", 0, 3600000,
	  "how far the platform's list of VMs lags behind at most", "MS" },
	{ "vm-failed-after-ms", CFG_U32, AT(vm_failed_after_ms), "10000", 10,
	  3600000, "how long a VM is listed as down before it is replaced",
	  "MS" },
	{ "maintenance-timeout-ms", CFG_U32, AT(maintenance_timeout_ms),
	  "600000", 100, 86400000,
	  "time for the maintenance of one VM before it counts as failed",
	  "MS" },
	{ "demand-window-ms", CFG_U32, AT(demand_window_ms), "600000", 1000,
	  86400000,
	  "time over which a pool's demand is averaged; bursts, stays and "
	  "costs "
	  "of moves scale with it",
	  "MS" },
	{ "check-config", CFG_BOOL, AT(check_config), NULL, 0, 0,
	  "check the settings and exit", NULL },
	{ "version", CFG_BOOL, AT(version), NULL, 0, 0,
	  "print the version and exit", NULL },
	{ 0 },
};

static bool fail(GError **error, const char *format, ...) G_GNUC_PRINTF(2, 3);

static bool fail(GError **error, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_propagate_error(error,
			  g_error_new_valist(cfg_error_quark(), CFG_ERROR_VALUE,
					     format, args));
	va_end(args);
	return false;
}

/* The identity is part of keys at the platform and of RPC messages. */
static bool id_is_valid(const char *id)
{
	size_t len = strlen(id);

	if (len == 0 || len >= MEMBER_ID_BYTES)
		return false;
	for (size_t i = 0; i < len; i++) {
		if (!g_ascii_isalnum(id[i]) && !strchr("-_.:", id[i]))
			return false;
	}
	return true;
}

static bool peers_check(char *const *peers, GError **error)
{
	struct cfg_endpoint endpoint;

	for (; peers && *peers; peers++) {
		if (!cfg_endpoint_parse(*peers, &endpoint) ||
		    endpoint.port == 0)
			return fail(error,
				    "--peer: expected an address as IPv4:PORT, "
				    "found '%s'",
				    *peers);
	}
	return true;
}

static bool addresses_check(const struct settings *settings, GError **error)
{
	if (settings->platform.port == 0)
		return fail(error, "--platform: expected a port from 1 to "
				   "65535, found 0");
	if (strcmp(settings->listen.ip, "0.0.0.0") == 0)
		return fail(error, "--listen: expected the address of this VM, "
				   "found 0.0.0.0");
	return peers_check(settings->peers, error);
}

static bool settings_check(struct settings *settings, GError **error)
{
	if (settings->version)
		return true;
	if (!settings->operator_keys || !settings->operator_keys[0])
		return fail(error, "--operator-key: expected at least one "
				   "file, found none");
	if (!platform_adapter_exists(settings->platform_adapter))
		return fail(error,
			    "--platform-adapter: expected the name of an "
			    "adapter, found '%s'",
			    settings->platform_adapter);
	if (settings->id[0] == '\0') {
		g_free(settings->id);
		settings->id = g_strdup_printf("%s:%u", settings->listen.ip,
					       settings->listen.port);
	}
	if (!id_is_valid(settings->id))
		return fail(error,
			    "--id: expected 1 to %d letters, digits, '-', '_', "
			    "'.' or ':', found '%s'",
			    MEMBER_ID_BYTES - 1, settings->id);
	return addresses_check(settings, error);
}

static bool arguments_check(int argc, char *const *argv, GError **error)
{
	if (argc <= 1)
		return true;
	return fail(error, "expected no arguments beside the flags, found '%s'",
		    argv[1]);
}

bool settings_parse(int *argc, char ***argv, struct settings *out,
		    GError **error)
{
	bool version_only = *argc == 2 && strcmp((*argv)[1], "--version") == 0;

	if (version_only) {
		out->version = true;
		return true;
	}
	return cfg_parse(settings_options,
			 "Entry process of sassafrascart: takes callers' "
			 "requests and sends them to backend servers.",
			 argc, argv, out, error) &&
	       arguments_check(*argc, *argv, error) &&
	       settings_check(out, error);
}

void settings_clear(struct settings *settings)
{
	cfg_clear(settings_options, settings);
}
