#include <string.h>

#include "emu_private.h"

static void vms_answer(void *data)
{
	struct emu_order *order = data;
	struct emu *emu = order->node->emu;
	g_autoptr(GArray) rows =
		g_array_new(FALSE, TRUE, sizeof(struct adapter_vm));
	char pools[EMU_VMS_MAX][16];

	for (uint32_t i = 0; i < emu->vm_count; i++) {
		const struct emu_vm *vm = &emu->vms[i];
		struct adapter_vm row = { .name = vm->name,
					  .pool = pools[i],
					  .state = vm->state,
					  .availability_zone = "zone-1",
					  .worker =
						  vm->up ? vm->worker : NULL };

		g_snprintf(pools[i], sizeof(pools[i]), "pool-%u", vm->pool);
		g_array_append_val(rows, row);
	}
	order->vms_cb(order->data, ERR_NONE,
		      (const struct adapter_vm *)rows->data, rows->len);
	emu_order_free(order);
}

void emu_vm_list(void *self, uint32_t timeout_ms, adapter_vms_cb cb, void *data)
{
	struct emu_node *node = self;
	struct emu_order *order = g_new0(struct emu_order, 1);

	order->node = node;
	order->life = node->life;
	order->vms_cb = cb;
	order->data = data;
	emu_after(node->emu, 2 * EMU_WAY_MS, vms_answer, order);
}

static void vm_order_arrive(void *data)
{
	struct emu_order *order = data;
	struct emu_vm *vm = order->vm;
	struct emu *emu = vm->emu;
	uint32_t pool = vm->pool;
	uint32_t busy = 0;

	if (order->pool)
		g_assert(sscanf(order->pool, "pool-%u", &pool) == 1);
	for (uint32_t i = 0; i < emu->vm_count; i++)
		busy += emu->vms[i].state == ADAPTER_VM_MAINTENANCE &&
			emu->vms[i].maintained_for == order->wave;
	if (order->fence < vm->vm_fence)
		emu_break(emu, EMU_RULE_LIMIT, "%s: token went back", vm->name);
	vm->vm_fence = MAX(vm->vm_fence, order->fence);
	if (vm->ordered_by != order->fence && vm->ordered_by != 0 &&
	    loop_now_ms() - vm->ordered_ms < EMU_ORDER_GAP_MS)
		emu_break(emu, EMU_RULE_ONE, "%s: two owners within the gap",
			  vm->name);
	vm->ordered_by = order->fence;
	vm->ordered_ms = loop_now_ms();
	if (order->pool && emu->config.fixed_pools) {
		order->vm_verdict = ADAPTER_VM_REFUSED_INVALID;
	} else if (vm->state != ADAPTER_VM_UP || vm->draining) {
		order->vm_verdict = ADAPTER_VM_REFUSED_BUSY;
	} else if (order->pool ? pool == vm->pool
			       : vm->maintained_for == order->wave) {
		/* Done before: nothing happens, and the answer is the same. */
		order->vm_verdict = ADAPTER_VM_ACCEPTED;
	} else {
		if (!order->pool && busy >= emu->wave_most)
			emu_break(emu, EMU_RULE_LIMIT, "%u VMs at once", busy);
		for (guint i = 0; i < vm->runs->len; i++)
			emu_stop_check(
				vm, &g_array_index(vm->runs,
						   struct emu_run_of_task, i));
		emu_vm_stop(vm);
		vm->state = order->pool ? ADAPTER_VM_MOVING
					: ADAPTER_VM_MAINTENANCE;
		vm->pool = pool;
		vm->leaves_ms = loop_now_ms() +
				(order->pool ? EMU_MOVE_MS : EMU_MAINTAIN_MS);
		vm->moved_unused = order->pool != NULL;
		if (order->pool)
			emu->tally.vm_moves++;
		else
			emu->tally.vm_maintenances++;
		if (!order->pool)
			vm->maintained_for = order->wave;
	}
	emu_after(emu, EMU_WAY_MS, emu_order_answer, order);
}

static void vm_order_send(struct emu_node *node, const char *vm,
			  const char *pool, uint64_t wave, uint64_t fence,
			  adapter_vm_cb cb, void *data)
{
	struct emu_order *order = g_new0(struct emu_order, 1);
	unsigned int number = 0;

	order->node = node;
	order->life = node->life;
	g_assert(sscanf(vm, "vm-%u", &number) == 1);
	order->vm = &node->emu->vms[number];
	order->pool = g_strdup(pool);
	order->wave = wave;
	order->fence = fence;
	order->vm_cb = cb;
	order->data = data;
	emu_after(node->emu, EMU_WAY_MS, vm_order_arrive, order);
}

void emu_vm_move(void *self, const char *vm, const char *pool,
		 const char *holder, uint64_t fence, uint32_t timeout_ms,
		 adapter_vm_cb cb, void *data)
{
	vm_order_send(self, vm, pool, 0, fence, cb, data);
}

void emu_vm_maintain(void *self, const char *vm, uint64_t wave,
		     const char *holder, uint64_t fence, uint32_t timeout_ms,
		     adapter_vm_cb cb, void *data)
{
	vm_order_send(self, vm, NULL, wave, fence, cb, data);
}
