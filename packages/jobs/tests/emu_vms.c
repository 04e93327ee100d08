#include <string.h>

#include "emu_private.h"

/* A list of VMs as it was when the platform answered. */
struct vm_list {
	struct emu_order *order;
	GArray *rows;
	GStringChunk *names;
};

static void vm_list_deliver(void *data)
{
	struct vm_list *list = data;

	list->order->vms_cb(list->order->data, ERR_NONE,
			    (const struct adapter_vm *)list->rows->data,
			    list->rows->len);
	emu_order_free(list->order);
	g_array_unref(list->rows);
	g_string_chunk_free(list->names);
	g_free(list);
}

static void vm_list_answer(void *data)
{
	struct emu_order *order = data;
	struct emu *emu = order->node->emu;
	struct vm_list *list = g_new0(struct vm_list, 1);
	uint32_t delay_ms;

	list->order = order;
	list->rows = g_array_new(FALSE, TRUE, sizeof(struct adapter_vm));
	list->names = g_string_chunk_new(256);

	for (uint32_t i = 0; i < emu->vm_count; i++) {
		struct emu_vm *vm = &emu->vms[i];
		struct adapter_vm row = { .name = vm->name,
					  .state = vm->state,
					  .availability_zone = "zone-1" };
		char pool[16];

		if (vm->lists_without > 0) {
			vm->lists_without--;
			continue;
		}
		if (vm->removed)
			continue;
		g_snprintf(pool, sizeof(pool), "pool-%u", vm->pool);
		row.pool = g_string_chunk_insert(list->names, pool);
		if (vm->up)
			row.worker =
				g_string_chunk_insert(list->names, vm->worker);
		g_array_append_val(list->rows, row);
	}
	delay_ms = emu->list_delays_ms[EMU_LIST_VMS];
	if (emu_answers_are_slow(order->node))
		delay_ms += (uint32_t)(emu_answer_arrival_ms(order->node) -
				       loop_now_ms());
	else if (delay_ms == 0) {
		vm_list_deliver(list);
		return;
	}
	emu_schedule_at(order->node, delay_ms, vm_list_deliver, list);
}

void emu_vm_list(void *self, uint32_t timeout_ms, adapter_vms_cb cb, void *data)
{
	struct emu_node *node = self;
	struct emu_order *order = g_new0(struct emu_order, 1);

	order->node = node;
	order->node_incarnation = node->incarnation;
	order->vms_cb = cb;
	order->data = data;
	emu_schedule(node->emu, 2 * EMU_ONE_WAY_LATENCY_MS, vm_list_answer,
		     order);
}

static void vm_action_execute(struct emu_order *order)
{
	struct emu_vm *vm = order->vm;
	struct emu *emu = vm->emu;
	uint32_t pool = vm->pool;
	uint32_t busy = 0;

	if (order->pool)
		g_assert(sscanf(order->pool, "pool-%u", &pool) == 1);
	for (uint32_t i = 0; i < emu->vm_count; i++)
		busy += emu->vms[i].state == ADAPTER_VM_MAINTENANCE &&
			emu->vms[i].maintained_wave == order->wave;
	if (order->fence < vm->vm_fence)
		emu_fail(emu, EMU_RULE_LIMIT, "%s: fencing token decreased",
			 vm->name);
	vm->vm_fence = MAX(vm->vm_fence, order->fence);
	if (vm->last_order_fence != order->fence && vm->last_order_fence != 0 &&
	    loop_now_ms() - vm->last_order_ms < EMU_VM_ORDER_INTERVAL_MS)
		emu_fail(emu, EMU_RULE_VM_INTERVAL,
			 "%s: two owners acted within the minimum interval",
			 vm->name);
	vm->last_order_fence = order->fence;
	vm->last_order_ms = loop_now_ms();
	if (order->pool && emu->config.fixed_pools) {
		order->vm_verdict = ADAPTER_VM_REFUSED_INVALID;
	} else if (vm->state != ADAPTER_VM_UP || vm->draining) {
		order->vm_verdict = ADAPTER_VM_REFUSED_BUSY;
	} else if (order->pool ? pool == vm->pool
			       : vm->maintained_wave == order->wave) {
		/* Idempotent: the action has been done before. */
		order->vm_verdict = ADAPTER_VM_ACCEPTED;
	} else {
		if (!order->pool && busy >= emu->wave_max_parallel)
			emu_fail(emu, EMU_RULE_LIMIT,
				 "%u VMs were already in maintenance", busy);
		for (guint i = 0; i < vm->runs->len; i++)
			emu_availability_check(
				vm, &g_array_index(vm->runs,
						   struct emu_task_run, i));
		emu_vm_stop(vm);
		vm->state = order->pool ? ADAPTER_VM_MOVING
					: ADAPTER_VM_MAINTENANCE;
		vm->pool = pool;
		vm->transition_ms =
			loop_now_ms() +
			(order->pool ? EMU_VM_MOVE_MS : EMU_VM_MAINTENANCE_MS);
		vm->unused_since_move = order->pool != NULL;
		if (order->pool)
			emu->stats.vm_moves++;
		else
			emu->stats.vm_maintenances++;
		if (!order->pool) {
			vm->maintained_wave = order->wave;
			vm->highest_maintained_wave =
				MAX(vm->highest_maintained_wave, order->wave);
		}
	}
}

static void vm_action_deliver(void *data)
{
	struct emu_order *order = data;

	vm_action_execute(order);
	emu_schedule_at(order->node, EMU_ONE_WAY_LATENCY_MS,
			emu_order_reply_deliver, order);
}

static void vm_action_deliver_late(void *data)
{
	struct emu_order *order = data;

	order->vm->emu->vm_requests_late++;
	vm_action_execute(order);
	emu_order_free(order);
}

/* The caller gets no answer, the platform a copy of the order. */
static void vm_action_hold(struct emu_order *order)
{
	struct emu_order *held = g_memdup2(order, sizeof(*order));

	held->pool = g_strdup(order->pool);
	emu_schedule(order->node->emu, order->node->vm_requests_held_ms,
		     vm_action_deliver_late, held);
	emu_order_time_out(order);
}

static void vm_action_send(struct emu_node *node, const char *vm,
			   const char *pool, uint64_t wave, uint64_t fence,
			   uint32_t timeout_ms, adapter_vm_cb cb, void *data)
{
	struct emu_order *order = g_new0(struct emu_order, 1);
	unsigned int number = 0;

	order->node = node;
	order->node_incarnation = node->incarnation;
	g_assert(sscanf(vm, "vm-%u", &number) == 1);
	order->vm = &node->emu->vms[number];
	order->pool = g_strdup(pool);
	order->wave = wave;
	order->fence = fence;
	order->vm_cb = cb;
	order->data = data;
	order->timeout_ms = timeout_ms;
	if (emu_random(node->emu, 1000) <
	    node->emu->vm_requests_lost_permille) {
		emu_order_time_out(order);
		return;
	}
	if (node->vm_requests_held_ms > 0) {
		vm_action_hold(order);
		return;
	}
	emu_schedule(node->emu, EMU_ONE_WAY_LATENCY_MS, vm_action_deliver,
		     order);
}

void emu_vm_move(void *self, const char *vm, const char *pool,
		 const char *holder, uint64_t fence, uint32_t timeout_ms,
		 adapter_vm_cb cb, void *data)
{
	vm_action_send(self, vm, pool, 0, fence, timeout_ms, cb, data);
}

void emu_vm_maintain(void *self, const char *vm, uint64_t wave,
		     const char *holder, uint64_t fence, uint32_t timeout_ms,
		     adapter_vm_cb cb, void *data)
{
	vm_action_send(self, vm, NULL, wave, fence, timeout_ms, cb, data);
}

void emu_vm_requests_set_held(struct emu *emu, uint32_t node, uint32_t ms)
{
	emu->nodes[node].vm_requests_held_ms = ms;
}

uint32_t emu_vm_requests_late(const struct emu *emu)
{
	return emu->vm_requests_late;
}

void emu_moved_vm_record(struct emu_vm *vm)
{
	struct emu_stats *stats = &vm->emu->stats;

	if (!vm->unused_since_move)
		return;
	vm->unused_since_move = false;
	stats->moved_vms_used++;
	stats->moved_vms_idle_ms += loop_now_ms() - vm->started_ms;
}

void emu_link_set_cut(struct emu *emu, uint32_t node, uint32_t vm, bool cut)
{
	uint32_t bit = UINT32_C(1) << node;

	if (cut)
		emu->vms[vm].cut_nodes |= bit;
	else
		emu->vms[vm].cut_nodes &= ~bit;
}

uint32_t emu_vm_running(const struct emu *emu, uint32_t job)
{
	for (uint32_t i = 0; i < emu->vm_count; i++) {
		const GArray *runs = emu->vms[i].runs;

		for (guint j = 0; j < runs->len; j++) {
			if (g_array_index(runs, struct emu_task_run, j).job ==
			    job)
				return i;
		}
	}
	return EMU_VMS_MAX;
}
