#include <string.h>

#include "emu_private.h"

/* Connections of each process to a worker that are idle when it loses power. */
#define EMU_STALE_CONNECTIONS 2
/* Time from the start of a worker that was down to its entry. */
#define EMU_UP_ENTRY_DELAY_MS 1400

static void worker_go_down(struct emu_vm *vm, uint32_t down_ms)
{
	vm->emu->last_fault_ms = loop_now_ms();
	emu_vm_crash(vm->emu, vm->number, down_ms);
	vm->keeps_identity = true;
}

void emu_worker_crash(struct emu *emu, uint32_t number, uint32_t down_ms)
{
	struct emu_vm *vm = &emu->vms[number];

	if (vm->up)
		worker_go_down(vm, down_ms);
}

void emu_worker_lose_power(struct emu *emu, uint32_t number, uint32_t down_ms)
{
	struct emu_vm *vm = &emu->vms[number];

	if (!vm->up)
		return;
	vm->without_power = true;
	worker_go_down(vm, down_ms);
	for (uint32_t i = 0; i < EMU_NODES_MAX; i++)
		vm->stale_connections[i] = EMU_STALE_CONNECTIONS;
}

void emu_vm_start_again(struct emu_vm *vm)
{
	char worker[sizeof(vm->worker)];

	memcpy(worker, vm->worker, sizeof(worker));
	emu_vm_start(vm, vm->pool);
	memcpy(vm->worker, worker, sizeof(worker));
}

void emu_vm_bring_up(struct emu_vm *vm)
{
	vm->without_power = false;
	vm->keeps_identity = false;
	emu_vm_start_again(vm);
	emu_worker_entry_delay(vm->emu, vm->number, EMU_UP_ENTRY_DELAY_MS);
}

/* A machine resets the connections of which it knows nothing. */
static void order_cut(struct emu_order *order, uint32_t after_ms)
{
	if (after_ms >= order->timeout_ms) {
		emu_order_time_out(order);
		return;
	}
	order->reply.err = ERR_CUT;
	emu_schedule_at(order->node, after_ms, emu_order_reply_deliver, order);
}

bool emu_power_answer(struct emu_order *order)
{
	struct emu_vm *vm = order->vm;
	uint32_t *stale = &vm->stale_connections[order->node->number];
	uint64_t back_ms = MAX(vm->transition_ms, loop_now_ms());

	if (order->kind != EMU_ORDER_POLL && *stale > 0) {
		--*stale;
		order_cut(order, vm->without_power
					 ? (uint32_t)(back_ms - loop_now_ms())
					 : 0);
		return true;
	}
	if (vm->without_power)
		emu_order_time_out(order);
	return vm->without_power;
}
