/*
 * Tracks VMs that are leaving (shutting down), as reported by backend servers,
 * peers and the platform's list.
 */
#include "gateway_private.h"

#include "lgx.h"

/*
 * The read interval of the list bounds the calls of all processes together and
 * the bytes that each receives. Processes also notify each other of leaving
 * VMs.
 */
#define GATEWAY_LIST_READS_PER_S 4
/*
 * Delay before peers are notified, so that simultaneous signals, such as those
 * of a whole availability zone, share one message.
 */
#define GATEWAY_ANNOUNCE_DELAY_MS 20
#define GATEWAY_LIST_BYTES_PER_S 2048
#define GATEWAY_LIST_BYTES_PER_VM 40
#define GATEWAY_LIST_INTERVAL_MIN_MS 500
#define GATEWAY_LIST_INTERVAL_MAX_MS 60000

static uint64_t serving_since(const struct gateway *gateway,
			      const char *vm_name)
{
	const struct sel_server *server = gateway_server_find(gateway, vm_name);

	if (!server || !server->serving)
		return 0;
	return gateway->row_changed[server - gateway->servers->servers];
}

void gateway_leaving_apply(struct gateway *gateway)
{
	for (uint32_t i = 0; i < gateway->servers->count; i++)
		gateway->servers->servers[i].leaving =
			lvg_has(gateway->leaving, gateway->bundle->vms[i].name);
}

static void leaving_vm_report(struct gateway *gateway, const char *vm_name,
			      enum ctr_kind counter)
{
	ctr_add(gateway->config.counters, counter);
	lgx_info("vm_leaving", "%s is leaving; no new requests are sent to it",
		 vm_name);
	if (gateway->bundle)
		gateway_leaving_apply(gateway);
	if (!tmr_is_set(&gateway->announce_timer))
		evl_timer_set(gateway->config.loop, &gateway->announce_timer,
			      GATEWAY_ANNOUNCE_DELAY_MS);
}

static void on_announce(void *data)
{
	struct gateway *gateway = data;

	gateway->config.on_vm_leaving(gateway->config.data);
}

void gateway_leaving_signal(struct gateway *gateway, const char *vm_name)
{
	if (lvg_signal(gateway->leaving, vm_name, LVG_SOURCE_SERVER,
		       gateway->placement_number, evl_now_ms()))
		leaving_vm_report(gateway, vm_name, CTR_LEAVING_SERVER);
}

void gateway_on_leaving_notice(struct gateway *gateway,
			       const struct lvg_notice *notice)
{
	if (!gateway_server_find(gateway, notice->vm))
		return;
	if (lvg_hear(gateway->leaving, notice,
		     serving_since(gateway, notice->vm), evl_now_ms()))
		leaving_vm_report(gateway, notice->vm, CTR_LEAVING_PEER);
}

uint32_t gateway_leaving_notices(struct gateway *gateway,
				 struct lvg_notice *out, uint32_t max)
{
	return lvg_notices(gateway->leaving, out, max, evl_now_ms());
}

static void listed_vm_apply(struct gateway *gateway, const struct plt_vm *vm)
{
	/* VMs outside the bundle would only use up space in the set. */
	if (!gateway_server_find(gateway, vm->name))
		return;
	if (vm->state == PLT_VM_LIVE) {
		if (lvg_listed_live(gateway->leaving, vm->name,
				    serving_since(gateway, vm->name)))
			gateway_leaving_apply(gateway);
		return;
	}
	if (lvg_signal(gateway->leaving, vm->name, LVG_SOURCE_LIST,
		       gateway->placement_number, evl_now_ms()))
		leaving_vm_report(gateway, vm->name, CTR_LEAVING_LIST);
}

static void on_expired(void *data, const char *vm)
{
	struct sel_server *server = gateway_server_find(data, vm);

	if (server)
		ejt_require_probe(&server->health);
}

static uint64_t list_read_interval_ms(const struct gateway *gateway,
				      size_t count)
{
	const struct gateway_config *config = &gateway->config;
	uint64_t bytes_ms = count * GATEWAY_LIST_BYTES_PER_VM * 1000 /
			    GATEWAY_LIST_BYTES_PER_S;
	uint64_t calls_ms = config->live_process_count(config->data) * 1000 /
			    GATEWAY_LIST_READS_PER_S;
	uint64_t interval_ms =
		CLAMP(MAX(bytes_ms, calls_ms), GATEWAY_LIST_INTERVAL_MIN_MS,
		      GATEWAY_LIST_INTERVAL_MAX_MS);

	/* Jitter of up to a quarter, so that processes do not read in step. */
	return interval_ms + g_random_int() % (interval_ms / 4);
}

static void on_vm_list(void *data, enum err_kind err, const struct plt_vm *vms,
		       size_t count)
{
	struct gateway *gateway = data;

	evl_timer_set(gateway->config.loop, &gateway->list_timer,
		      list_read_interval_ms(gateway, count));
	if (err != ERR_NONE)
		ctr_add(gateway->config.counters, CTR_PLATFORM_ERRORS);
	for (size_t i = 0; err == ERR_NONE && gateway->bundle && i < count; i++)
		listed_vm_apply(gateway, &vms[i]);
	lvg_expire(gateway->leaving, evl_now_ms(), on_expired, gateway);
	if (gateway->bundle)
		gateway_leaving_apply(gateway);
}

static void on_list_due(void *data)
{
	struct gateway *gateway = data;

	plt_vm_list(gateway->config.platform, on_vm_list, gateway);
}

void gateway_leaving_start(struct gateway *gateway)
{
	gateway->announce_timer.cb = on_announce;
	gateway->announce_timer.data = gateway;
	gateway->list_timer.cb = on_list_due;
	gateway->list_timer.data = gateway;
	evl_timer_set(gateway->config.loop, &gateway->list_timer, 0);
}
