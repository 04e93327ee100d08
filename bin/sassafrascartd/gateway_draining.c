/*
 * Tracks VMs that are draining because they will stop, as reported by backend
 * servers, peers and the platform's list. The names in headers, RPC messages,
 * metrics and the log say "leaving" instead of "draining".
 */
#include "gateway_private.h"

#include "log.h"

/*
 * The interval between reads of the platform's list of VMs bounds the calls of
 * all processes together and the bytes that each process receives. The interval
 * may be long, since processes also notify each other of draining VMs.
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
	const struct balancer_server *server =
		gateway_server_find(gateway, vm_name);

	if (!server || !server->serving)
		return 0;
	return gateway->row_changed[server - gateway->servers->servers];
}

void gateway_draining_mark_servers(struct gateway *gateway)
{
	for (uint32_t i = 0; i < gateway->servers->count; i++)
		gateway->servers->servers[i].draining = draining_contains(
			gateway->draining_vms, gateway->bundle->vms[i].name);
}

static void on_draining_vm_added(struct gateway *gateway, const char *vm_name,
				 enum counter_kind counter)
{
	counter_inc(gateway->config.counters, counter);
	log_info("vm_leaving", "%s will stop; no new requests are sent to it",
		 vm_name);
	if (gateway->bundle)
		gateway_draining_mark_servers(gateway);
	if (!timer_is_set(&gateway->announce_timer))
		loop_timer_set(gateway->config.loop, &gateway->announce_timer,
			       GATEWAY_ANNOUNCE_DELAY_MS);
}

static void on_announce(void *data)
{
	struct gateway *gateway = data;

	gateway->config.on_vm_draining(gateway->config.data);
}

void gateway_draining_record_announcement(struct gateway *gateway,
					  const char *vm_name)
{
	if (draining_record(gateway->draining_vms, vm_name,
			    DRAINING_SOURCE_SERVER, gateway->placement_number,
			    loop_now_ms()))
		on_draining_vm_added(gateway, vm_name, COUNTER_LEAVING_SERVER);
}

void gateway_on_draining_notice(struct gateway *gateway,
				const struct draining_notice *notice)
{
	if (!gateway_server_find(gateway, notice->vm))
		return;
	if (draining_merge_notice(gateway->draining_vms, notice,
				  serving_since(gateway, notice->vm),
				  loop_now_ms()))
		on_draining_vm_added(gateway, notice->vm, COUNTER_LEAVING_PEER);
}

uint32_t gateway_draining_next_notices(struct gateway *gateway,
				       struct draining_notice *out,
				       uint32_t max)
{
	return draining_next_notices(gateway->draining_vms, out, max,
				     loop_now_ms());
}

static void listed_vm_apply(struct gateway *gateway,
			    const struct platform_vm *vm)
{
	/* VMs outside the bundle would only use up space in the set. */
	if (!gateway_server_find(gateway, vm->name))
		return;
	if (vm->state == PLATFORM_VM_LIVE) {
		if (draining_record_live(gateway->draining_vms, vm->name,
					 serving_since(gateway, vm->name)))
			gateway_draining_mark_servers(gateway);
		return;
	}
	if (draining_record(gateway->draining_vms, vm->name,
			    DRAINING_SOURCE_LIST, gateway->placement_number,
			    loop_now_ms()))
		on_draining_vm_added(gateway, vm->name, COUNTER_LEAVING_LIST);
}

static void on_expired(void *data, const char *vm)
{
	struct balancer_server *server = gateway_server_find(data, vm);

	if (server)
		outlier_require_probe(&server->health);
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

static void on_vm_list(void *data, enum err_kind err,
		       const struct platform_vm *vms, size_t count)
{
	struct gateway *gateway = data;

	loop_timer_set(gateway->config.loop, &gateway->list_timer,
		       list_read_interval_ms(gateway, count));
	if (err != ERR_NONE)
		counter_inc(gateway->config.counters, COUNTER_PLATFORM_ERRORS);
	for (size_t i = 0; err == ERR_NONE && gateway->bundle && i < count; i++)
		listed_vm_apply(gateway, &vms[i]);
	draining_expire(gateway->draining_vms, loop_now_ms(), on_expired,
			gateway);
	if (gateway->bundle)
		gateway_draining_mark_servers(gateway);
}

static void on_list_due(void *data)
{
	struct gateway *gateway = data;

	platform_vm_list(gateway->config.platform, on_vm_list, gateway);
}

void gateway_draining_start_polling(struct gateway *gateway)
{
	gateway->announce_timer.cb = on_announce;
	gateway->announce_timer.data = gateway;
	gateway->list_timer.cb = on_list_due;
	gateway->list_timer.data = gateway;
	loop_timer_set(gateway->config.loop, &gateway->list_timer, 0);
}
