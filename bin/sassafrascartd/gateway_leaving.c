/* The set of leaving VMs: signals in, notices out, servers marked. */
#include "gateway_private.h"

#include "log.h"

/*
 * The list is read at a pace that bounds the calls of all processes together
 * and the bytes that each receives; peers tell each other what they saw.
 */
#define GATEWAY_LIST_READS_PER_S 4
/* Signals that come together, as of a whole zone, are told to peers once. */
#define GATEWAY_ANNOUNCE_MS 20
#define GATEWAY_LIST_BYTES_PER_S 2048
#define GATEWAY_LIST_VM_BYTES 40
#define GATEWAY_LIST_MIN_MS 500
#define GATEWAY_LIST_MAX_MS 60000

static uint64_t serving_since(const struct gateway *gateway,
			      const char *vm_name)
{
	const struct balancer_server *server =
		gateway_server_find(gateway, vm_name);

	if (!server || !server->serving)
		return 0;
	return gateway->changed[server - gateway->servers->servers];
}

void gateway_leaving_apply(struct gateway *gateway)
{
	for (uint32_t i = 0; i < gateway->servers->count; i++)
		gateway->servers->servers[i].draining = draining_contains(
			gateway->leaving, gateway->bundle->vms[i].name);
}

static void changed_note(struct gateway *gateway, const char *vm_name,
			 enum counter_kind counter)
{
	counter_inc(gateway->config.counters, counter);
	log_info("vm_leaving", "%s is leaving: no new work", vm_name);
	if (gateway->bundle)
		gateway_leaving_apply(gateway);
	if (!timer_is_set(&gateway->announce_timer))
		loop_timer_set(gateway->config.loop, &gateway->announce_timer,
			       GATEWAY_ANNOUNCE_MS);
}

static void on_announce(void *data)
{
	struct gateway *gateway = data;

	gateway->config.on_leaving(gateway->config.data);
}

void gateway_leaving_signal(struct gateway *gateway, const char *vm_name)
{
	if (draining_record(gateway->leaving, vm_name, DRAINING_SOURCE_SERVER,
			    gateway->placement, loop_now_ms()))
		changed_note(gateway, vm_name, COUNTER_LEAVING_SERVER);
}

void gateway_on_leaving_notice(struct gateway *gateway,
			       const struct draining_notice *notice)
{
	if (!gateway_server_find(gateway, notice->vm))
		return;
	if (draining_merge_notice(gateway->leaving, notice,
				  serving_since(gateway, notice->vm),
				  loop_now_ms()))
		changed_note(gateway, notice->vm, COUNTER_LEAVING_PEER);
}

uint32_t gateway_leaving_notices(struct gateway *gateway,
				 struct draining_notice *out, uint32_t max)
{
	return draining_next_notices(gateway->leaving, out, max, loop_now_ms());
}

static void listed_take(struct gateway *gateway, const struct platform_vm *vm)
{
	/* Names that are not of the bundle would fill the set for nothing. */
	if (!gateway_server_find(gateway, vm->name))
		return;
	if (vm->state == PLATFORM_VM_LIVE) {
		if (draining_record_live(gateway->leaving, vm->name,
					 serving_since(gateway, vm->name)))
			gateway_leaving_apply(gateway);
		return;
	}
	if (draining_record(gateway->leaving, vm->name, DRAINING_SOURCE_LIST,
			    gateway->placement, loop_now_ms()))
		changed_note(gateway, vm->name, COUNTER_LEAVING_LIST);
}

static void on_expired(void *data, const char *vm)
{
	struct balancer_server *server = gateway_server_find(data, vm);

	if (server)
		outlier_require_probe(&server->health);
}

static uint64_t list_pause_ms(const struct gateway *gateway, size_t count)
{
	const struct gateway_config *config = &gateway->config;
	uint64_t bytes_ms =
		count * GATEWAY_LIST_VM_BYTES * 1000 / GATEWAY_LIST_BYTES_PER_S;
	uint64_t calls_ms = config->processes(config->data) * 1000 /
			    GATEWAY_LIST_READS_PER_S;
	uint64_t pause_ms = CLAMP(MAX(bytes_ms, calls_ms), GATEWAY_LIST_MIN_MS,
				  GATEWAY_LIST_MAX_MS);

	/* Up to a quarter more, so that processes do not read in step. */
	return pause_ms + g_random_int() % (pause_ms / 4);
}

static void on_list(void *data, enum err_kind err,
		    const struct platform_vm *vms, size_t count)
{
	struct gateway *gateway = data;

	loop_timer_set(gateway->config.loop, &gateway->list_timer,
		       list_pause_ms(gateway, count));
	if (err != ERR_NONE)
		counter_inc(gateway->config.counters, COUNTER_PLATFORM_ERRORS);
	for (size_t i = 0; err == ERR_NONE && gateway->bundle && i < count; i++)
		listed_take(gateway, &vms[i]);
	draining_expire(gateway->leaving, loop_now_ms(), on_expired, gateway);
	if (gateway->bundle)
		gateway_leaving_apply(gateway);
}

static void on_list_due(void *data)
{
	struct gateway *gateway = data;

	platform_vm_list(gateway->config.platform, on_list, gateway);
}

void gateway_leaving_start(struct gateway *gateway)
{
	gateway->announce_timer.cb = on_announce;
	gateway->announce_timer.data = gateway;
	gateway->list_timer.cb = on_list_due;
	gateway->list_timer.data = gateway;
	loop_timer_set(gateway->config.loop, &gateway->list_timer, 0);
}
