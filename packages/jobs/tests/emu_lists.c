#include <string.h>

#include "emu_private.h"

#define LIST_ROSTER_KEY "/sassafrascart/worker-roster"

void emu_list_set_delay(struct emu *emu, enum emu_list list, uint32_t ms)
{
	emu->list_delays_ms[list] = ms;
}

bool emu_lists_are_delayed(const struct emu *emu)
{
	for (size_t i = 0; i < EMU_LIST_COUNT; i++) {
		if (emu->list_delays_ms[i] > 0)
			return true;
	}
	return false;
}

uint32_t emu_range_delay_ms(const struct emu *emu, const char *key)
{
	const char *workers =
		emu->entry_format ? emu->entry_format->prefix : "workers/";

	if (strcmp(key, LIST_ROSTER_KEY) == 0)
		return emu->list_delays_ms[EMU_LIST_ROSTER];
	return strcmp(key, workers) == 0 ? emu->list_delays_ms[EMU_LIST_WORKERS]
					 : 0;
}

void emu_worker_set_clock(struct emu *emu, uint32_t vm, int32_t ahead_ms)
{
	emu->vms[vm].clock_ahead_ms = ahead_ms;
}

static bool entry_exists(struct emu *emu, const struct emu_vm *vm)
{
	g_autofree char *key = emu_entry_key(vm);

	return emu_store_get(emu, key) != NULL;
}

/* Returns whether the owner has to know a worker and has not called it. */
static bool is_unasked(struct emu *emu, const struct emu_vm *vm)
{
	return vm->up && vm->state == ADAPTER_VM_UP && !vm->draining &&
	       vm->pool < emu->config.pools &&
	       !(emu->dropped_pools >> vm->pool & 1) && entry_exists(emu, vm) &&
	       !emu_fence_is_of_current_owner(emu, vm->fence);
}

void emu_unasked_check(struct emu *emu, bool calm)
{
	for (uint32_t i = 0; i < emu->vm_count; i++) {
		struct emu_vm *vm = &emu->vms[i];

		if (!calm || !is_unasked(emu, vm)) {
			vm->unasked_since_ms = 0;
			continue;
		}
		if (vm->unasked_since_ms == 0)
			vm->unasked_since_ms = loop_now_ms();
		if (loop_now_ms() - vm->unasked_since_ms >= EMU_UNASKED_MAX_MS)
			emu_fail(emu, EMU_RULE_LOST,
				 "%s is listed but was not called for %u ms",
				 vm->worker, EMU_UNASKED_MAX_MS);
	}
}
