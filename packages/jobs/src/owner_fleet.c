#include "owner_fleet.h"

#include <string.h>

#include "lgx.h"

/* Time between two reads of the list of VMs, and while an order is open. */
#define OWNER_VM_LIST_INTERVAL_MS 1500
#define OWNER_VM_LIST_BUSY_INTERVAL_MS 400
/* Deadline of a call on VMs. */
#define OWNER_VM_TIMEOUT_MS 800
/* Tasks that end by themselves are waited for this long before a VM is taken
 * for maintenance; they are run again elsewhere. */
#define OWNER_DRAIN_GRACE_MS 4000
/* A VM with lasting tasks that cannot be emptied by then, since they find no
 * other place, lets others go first for a while. */
#define OWNER_DRAIN_TIMEOUT_MS 8000
#define OWNER_DRAIN_BACKOFF_MS 3000
/* A VM that is not empty by then keeps its place instead of being moved. */
#define OWNER_MOVE_DRAIN_TIMEOUT_MS 1500
/* Pause before an order that was not taken is sent again. */
#define OWNER_ORDER_RETRY_MS 300
/* Added to the time that a move or maintenance takes before the list is
 * believed to show its end. */
#define OWNER_OPERATION_MARGIN_MS 200
/* How long a watch on the waves waits. */
#define OWNER_WAVES_WATCH_TIMEOUT_MS 5000

/* An order under way. */
struct fleet_call {
	struct cel_cell *fleet_ref;
	char *vm_name;
};

static void vm_free(gpointer data)
{
	struct owner_vm *vm = data;

	g_free(vm->name);
	g_free(vm->pool);
	g_free(vm->target_pool);
	g_free(vm->rejecting_pool);
	g_free(vm->drained_worker);
	g_free(vm->worker);
	g_free(vm);
}

static void workers_index(struct owner_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_remove_all(fleet->worker_by_vm);
	g_hash_table_iter_init(&iter, fleet->owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct wrk_worker *worker = value;
		const struct wrk_worker *other;

		if (worker->over || !worker->vm)
			continue;
		other = g_hash_table_lookup(fleet->worker_by_vm, worker->vm);
		if (!other || worker->born_ms > other->born_ms)
			g_hash_table_insert(fleet->worker_by_vm, worker->vm,
					    worker);
	}
}

struct wrk_worker *owner_vm_worker(struct owner_fleet *fleet,
				   const struct owner_vm *vm)
{
	return g_hash_table_lookup(fleet->worker_by_vm, vm->name);
}

static void phase_set(struct owner_vm *vm, enum owner_vm_phase phase)
{
	vm->phase = phase;
	vm->phase_started_ms = evl_now_ms();
}

static void vm_settle(struct owner_fleet *fleet, struct owner_vm *vm)
{
	struct wrk_worker *worker = owner_vm_worker(fleet, vm);

	if (worker)
		worker->cordoned = false;
	phase_set(vm, OWNER_VM_STEADY);
	vm->wave = NULL;
	g_clear_pointer(&vm->target_pool, g_free);
	owner_schedule_request(fleet->owner);
}

void owner_vm_drain(struct owner_fleet *fleet, struct owner_vm *vm,
		    struct owner_wave *wave, const char *to_pool)
{
	struct wrk_worker *worker = owner_vm_worker(fleet, vm);

	phase_set(vm, OWNER_VM_DRAINING);
	vm->wave = wave;
	g_free(vm->target_pool);
	vm->target_pool = g_strdup(to_pool);
	g_clear_pointer(&vm->drained_worker, g_free);
	if (worker) {
		worker->cordoned = true;
		vm->drained_worker = g_strdup(worker->id);
	}
	lgx_info("vm-emptying", "%s of pool %s, tasks %u, for %s", vm->name,
		 vm->pool, worker ? worker->tasks->len : 0,
		 to_pool ? to_pool : "maintenance");
}

/*
 * The platform also says that it has done what had been done before, in which
 * case the worker runs on. So its life ends here only when the list shows it.
 */
static void vm_taken(struct owner_fleet *fleet, struct owner_vm *vm)
{
	if (vm->target_pool)
		fleet->owner->counters.moves++;
	else
		fleet->owner->counters.maintenances++;
	lgx_info("vm-ordered", "%s of pool %s: %s", vm->name, vm->pool,
		 vm->target_pool ? vm->target_pool : "maintenance");
	phase_set(vm, OWNER_VM_OPERATING);
	if (vm->wave)
		owner_wave_mark_vm_done(fleet, vm);
}

static void on_ordered(void *data, enum err_kind err,
		       enum jpt_vm_verdict verdict)
{
	struct fleet_call *call = data;
	struct owner_fleet *fleet = cel_leave(call->fleet_ref);
	struct owner_vm *vm =
		fleet ? g_hash_table_lookup(fleet->vms, call->vm_name) : NULL;

	g_free(call->vm_name);
	g_free(call);
	if (!vm)
		return;
	workers_index(fleet);
	vm->call_in_flight = false;
	if (err != ERR_NONE || verdict != JPT_VM_TAKEN)
		lgx_info("vm-order-not-taken", "%s: %s, verdict %d", vm->name,
			 err_name(err), verdict);
	if (err != ERR_NONE) {
		/* It may have been carried out: the next list tells. */
		vm->unanswered_since_ms = evl_now_ms();
		return;
	}
	switch (verdict) {
	case JPT_VM_TAKEN:
		vm_taken(fleet, vm);
		break;
	case JPT_VM_REFUSED_FENCE:
		fleet->owner->env.ops->on_deposed(fleet->owner);
		break;
	case JPT_VM_REFUSED_BUSY:
		if (vm->target_pool)
			vm_settle(fleet, vm);
		else
			vm->phase_started_ms = evl_now_ms();
		break;
	case JPT_VM_REFUSED_WAVE:
		owner_wave_mark_vm_done(fleet, vm);
		vm_settle(fleet, vm);
		break;
	case JPT_VM_REFUSED_INVALID:
		g_free(vm->rejecting_pool);
		vm->rejecting_pool = g_strdup(vm->target_pool);
		if (!vm->target_pool)
			owner_wave_mark_vm_done(fleet, vm);
		vm_settle(fleet, vm);
		break;
	}
}

static void vm_order(struct owner_fleet *fleet, struct owner_vm *vm)
{
	struct owner *owner = fleet->owner;
	struct fleet_call *call = g_new0(struct fleet_call, 1);

	call->fleet_ref = cel_enter(fleet->weak_ref);
	call->vm_name = g_strdup(vm->name);
	vm->call_in_flight = true;
	if (vm->target_pool)
		owner->config.platform->vm_move(
			owner->config.platform_self, vm->name, vm->target_pool,
			owner->config.service->id, owner->env.fence_base,
			OWNER_VM_TIMEOUT_MS, on_ordered, call);
	else
		owner->config.platform->vm_maintain(
			owner->config.platform_self, vm->name, vm->wave->number,
			owner->config.service->id, owner->env.fence_base,
			OWNER_VM_TIMEOUT_MS, on_ordered, call);
}

/* Tells whether a lasting task may be stopped without leaving its step with
 * more tasks away than it allows. */
static bool stop_is_allowed(const struct jtp_task *task)
{
	const struct jtp_group *group = task->group;
	int32_t away = 0;

	for (uint32_t i = 0; i < group->step->count; i++) {
		const struct jtp_task *other = &group->tasks[i];

		if (other != task && (other->state != JTP_TASK_PRESENT ||
				      other->percent < other->pace_percent ||
				      !wrk_is_reachable(other->worker)))
			away++;
	}
	return away < MAX(group->step->may_miss, 1);
}

static void lasting_tasks_stop(struct owner_fleet *fleet,
			       struct wrk_worker *worker, const char *why)
{
	for (guint i = 0; i < worker->tasks->len; i++) {
		struct jtp_task *task = g_ptr_array_index(worker->tasks, i);

		if (task->group->step->is_lasting &&
		    task->state == JTP_TASK_PRESENT &&
		    (worker->draining || stop_is_allowed(task)))
			owner_task_stop(fleet->owner, task, why);
	}
}

static bool has_lasting(const struct wrk_worker *worker)
{
	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct jtp_task *task =
			g_ptr_array_index(worker->tasks, i);

		if (task->group->step->is_lasting)
			return true;
	}
	return false;
}

/* An order ends the worker with what it lists: ends that are not stored yet
 * would be lost if this owner ended too. */
static bool ends_are_stored(const struct wrk_worker *worker)
{
	return worker->ends->len == 0 && !worker->resolving;
}

/* Settles an order without an answer by a list that was asked for since. */
static bool order_is_open(struct owner_fleet *fleet, struct owner_vm *vm)
{
	bool moved =
		vm->target_pool && g_strcmp0(vm->pool, vm->target_pool) == 0;

	if (vm->unanswered_since_ms == 0)
		return false;
	if (fleet->list_in_flight ||
	    fleet->list_requested_ms <= vm->unanswered_since_ms)
		return true;
	vm->unanswered_since_ms = 0;
	if (moved || vm->state != JPT_VM_UP ||
	    g_strcmp0(vm->worker, vm->drained_worker) != 0)
		vm_taken(fleet, vm);
	return false;
}

static void emptying_run(struct owner_fleet *fleet, struct owner_vm *vm)
{
	struct wrk_worker *worker = owner_vm_worker(fleet, vm);
	uint64_t past_ms = evl_now_ms() - vm->phase_started_ms;

	if (vm->call_in_flight || order_is_open(fleet, vm))
		return;
	if (vm->phase != OWNER_VM_DRAINING)
		return;
	if (worker && g_strcmp0(worker->id, vm->drained_worker) != 0) {
		/* The VM has started anew meanwhile. */
		vm_settle(fleet, vm);
		return;
	}
	if (!worker || (worker->tasks->len == 0 && ends_are_stored(worker))) {
		if (owner_intent_ensure_stored(fleet, vm))
			vm_order(fleet, vm);
		return;
	}
	worker->cordoned = true;
	if (vm->target_pool) {
		if (past_ms > OWNER_MOVE_DRAIN_TIMEOUT_MS)
			vm_settle(fleet, vm);
		return;
	}
	if (past_ms > OWNER_DRAIN_TIMEOUT_MS && has_lasting(worker)) {
		lgx_info("vm-not-emptied", "%s of pool %s, tasks %u", vm->name,
			 vm->pool, worker->tasks->len);
		vm->backoff_until_ms = evl_now_ms() + OWNER_DRAIN_BACKOFF_MS;
		vm_settle(fleet, vm);
		return;
	}
	lasting_tasks_stop(fleet, worker, "maintenance of the VM");
	if (past_ms > OWNER_DRAIN_GRACE_MS && !has_lasting(worker) &&
	    ends_are_stored(worker) && owner_intent_ensure_stored(fleet, vm))
		vm_order(fleet, vm);
}

/* When a VM that was ordered is back, if all goes well. */
static uint64_t back_ms(const struct owner_fleet *fleet,
			const struct owner_vm *vm)
{
	const struct jsv_config *service = fleet->owner->config.service;

	return vm->phase_started_ms +
	       (vm->target_pool ? service->move_ms : service->maintain_ms);
}

uint32_t owner_fleet_next_return_ms(const struct owner_fleet *fleet)
{
	uint64_t now_ms = evl_now_ms();
	uint64_t soonest_ms = UINT32_MAX;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct owner_vm *vm = value;
		uint64_t due_ms = back_ms(fleet, vm);

		if (vm->phase == OWNER_VM_OPERATING)
			soonest_ms =
				MIN(soonest_ms, due_ms - MIN(due_ms, now_ms));
	}
	return (uint32_t)soonest_ms;
}

static void ordered_run(struct owner_fleet *fleet, struct owner_vm *vm)
{
	if (fleet->list_received_ms <
		    back_ms(fleet, vm) + OWNER_OPERATION_MARGIN_MS ||
	    vm->state != JPT_VM_UP)
		return;
	vm_settle(fleet, vm);
}

static bool orders_are_open(struct owner_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct owner_vm *vm = value;

		if (vm->phase == OWNER_VM_OPERATING ||
		    vm->unanswered_since_ms != 0)
			return true;
	}
	return false;
}

static void vm_take(struct owner_fleet *fleet, const struct jpt_vm *listed)
{
	struct owner_vm *vm = g_hash_table_lookup(fleet->vms, listed->name);

	if (!vm) {
		vm = g_new0(struct owner_vm, 1);
		vm->name = g_strdup(listed->name);
		g_hash_table_insert(fleet->vms, vm->name, vm);
	}
	if (g_strcmp0(vm->pool, listed->pool) != 0) {
		g_free(vm->pool);
		vm->pool = g_strdup(listed->pool);
	}
	if (g_strcmp0(vm->worker, listed->worker) != 0) {
		g_free(vm->worker);
		vm->worker = g_strdup(listed->worker);
	}
	vm->state = listed->state;
	vm->listed = true;
}

/* Tells why the list shows that a worker's life is over, NULL if it does not.
 * A worker that answers is believed more than the list. */
static const char *life_over_why(struct owner_fleet *fleet,
				 const struct wrk_worker *worker,
				 const struct owner_vm *vm)
{
	bool ordered = vm->phase == OWNER_VM_OPERATING &&
		       vm->phase_started_ms < fleet->list_requested_ms;
	/* Silent since before the list was asked for, or known of by then and
	 * without any report under this owner. */
	bool in_doubt =
		(!wrk_is_reachable(worker) &&
		 worker->silent_since_ms < fleet->list_requested_ms) ||
		(!worker->known && worker->added_ms < fleet->list_requested_ms);

	if (ordered && vm->drained_worker &&
	    strcmp(vm->drained_worker, worker->id) == 0 &&
	    (vm->state != JPT_VM_UP || g_strcmp0(vm->worker, worker->id) != 0))
		return "its VM is taken";
	if (in_doubt && vm->state != JPT_VM_UP)
		return "its VM is not up";
	if (in_doubt && vm->worker && strcmp(vm->worker, worker->id) != 0)
		return "its VM has another worker";
	return NULL;
}

/* Ends lives that the list shows as over: their tasks need not wait for the
 * lease to run out. */
static void lives_check(struct owner_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct wrk_worker *worker = value;
		const struct owner_vm *vm =
			worker->vm ? g_hash_table_lookup(fleet->vms, worker->vm)
				   : NULL;
		const char *why = vm && !worker->over
					  ? life_over_why(fleet, worker, vm)
					  : NULL;

		if (why)
			wrk_end_life(worker, why);
	}
}

static bool a_worker_is_silent(struct owner_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct wrk_worker *worker = value;

		if (!worker->over && !wrk_is_reachable(worker))
			return true;
	}
	return false;
}

static void on_vms(void *data, enum err_kind err, const struct jpt_vm *vms,
		   size_t count)
{
	struct owner_fleet *fleet = cel_leave(data);
	GHashTableIter iter;
	gpointer value;

	if (!fleet)
		return;
	fleet->list_in_flight = false;
	if (err != ERR_NONE) {
		lgx_info("vm-list-failed", "%s", err_name(err));
		return;
	}
	fleet->list_received_ms = evl_now_ms();
	fleet->list_received = true;
	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct owner_vm *)value)->listed = false;
	for (size_t i = 0; i < count; i++)
		vm_take(fleet, &vms[i]);
	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!((struct owner_vm *)value)->listed &&
		    !((struct owner_vm *)value)->call_in_flight)
			g_hash_table_iter_remove(&iter);
	}
	lives_check(fleet);
}

static void list_run(struct owner_fleet *fleet)
{
	bool busy = orders_are_open(fleet) || a_worker_is_silent(fleet);
	uint64_t pause_ms = busy ? OWNER_VM_LIST_BUSY_INTERVAL_MS
				 : OWNER_VM_LIST_INTERVAL_MS;

	if (fleet->list_in_flight ||
	    (fleet->list_received &&
	     evl_now_ms() - fleet->list_received_ms < pause_ms))
		return;
	fleet->list_in_flight = true;
	fleet->list_requested_ms = evl_now_ms();
	fleet->owner->config.platform->vm_list(
		fleet->owner->config.platform_self, OWNER_VM_TIMEOUT_MS, on_vms,
		cel_enter(fleet->weak_ref));
}

static void draining_run(struct owner_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct wrk_worker *worker = value;

		if (worker->draining && worker->tasks->len > 0)
			lasting_tasks_stop(fleet, worker, "the worker drains");
	}
}

/* Orders to VMs are given only while no other owner can be, by the lease. */
static bool may_order(const struct owner_fleet *fleet)
{
	const struct owner *owner = fleet->owner;

	return fleet->list_received && owner_is_ready(owner) &&
	       !owner->fenced && owner->ops->lease_is_valid(owner->data);
}

void owner_vms_advance(struct owner_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	if (!may_order(fleet))
		return;
	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct owner_vm *vm = value;

		if (vm->phase == OWNER_VM_DRAINING)
			emptying_run(fleet, vm);
		else if (vm->phase == OWNER_VM_OPERATING)
			ordered_run(fleet, vm);
	}
}

static void on_tick(void *data)
{
	struct owner_fleet *fleet = data;

	evl_timer_set(fleet->owner->config.loop, &fleet->timer,
		      OWNER_FLEET_TICK_MS);
	if (!owner_is_ready(fleet->owner) || fleet->owner->fenced)
		return;
	workers_index(fleet);
	draining_run(fleet);
	list_run(fleet);
	owner_intents_load(fleet);
	if (!may_order(fleet))
		return;
	/* Maintenance is bounded over all VMs of a wave, so that the orders of
	 * the owner before must all be seen. */
	if (owner_takeover_gap_is_over(fleet))
		owner_waves_advance(fleet);
	owner_pools_rebalance(fleet);
	owner_vms_advance(fleet);
	owner_intents_write(fleet);
}

struct owner_fleet *owner_fleet_create(struct owner *owner)
{
	struct owner_fleet *fleet = g_new0(struct owner_fleet, 1);

	fleet->owner = owner;
	fleet->waves = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     owner_wave_free);
	fleet->vms =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, vm_free);
	fleet->worker_by_vm = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&fleet->intent_writes);
	fleet->prior_intents =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->weak_ref = cel_cell_create(fleet);
	fleet->timer.cb = on_tick;
	fleet->timer.data = fleet;
	fleet->waves_follower = fol_follower_create(
		owner->config.loop, owner->config.store,
		owner->config.platform->waves_prefix,
		OWNER_WAVES_WATCH_TIMEOUT_MS, &owner_waves_ops, fleet);
	evl_timer_set(owner->config.loop, &fleet->timer, OWNER_FLEET_TICK_MS);
	return fleet;
}

void owner_fleet_destroy(struct owner_fleet *fleet)
{
	if (!fleet)
		return;
	tmr_cancel(&fleet->timer);
	fol_follower_destroy(fleet->waves_follower);
	g_hash_table_unref(fleet->waves);
	g_hash_table_unref(fleet->vms);
	g_hash_table_unref(fleet->worker_by_vm);
	g_hash_table_unref(fleet->prior_intents);
	g_queue_clear(&fleet->intent_writes);
	cel_cell_close(fleet->weak_ref);
	g_free(fleet);
}
