#include "owner_fleet.h"

#include <string.h>

#include "log.h"

/* Time between two reads of the list of VMs, and while an order is open. */
#define OWN_VM_LIST_MS 1500
#define OWN_VM_LIST_BUSY_MS 400
/* Deadline of a call on VMs. */
#define OWN_VM_TIMEOUT_MS 800
/* Tasks that end by themselves are waited for this long before a VM is taken
 * for maintenance; they are run again elsewhere. */
#define OWN_EMPTY_WAIT_MS 4000
/* A VM with lasting tasks that cannot be emptied by then, since they find no
 * other place, lets others go first for a while. */
#define OWN_EMPTY_GIVE_UP_MS 8000
#define OWN_EMPTY_PAUSE_MS 3000
/* A VM that is not empty by then keeps its place instead of being moved. */
#define OWN_MOVE_WAIT_MS 1500
/* Pause before an order that was not taken is sent again. */
#define OWN_ORDER_RETRY_MS 300
/* Added to the time that a move or maintenance takes before the list is
 * believed to show its end. */
#define OWN_BACK_MARGIN_MS 200
/* How long a watch on the waves waits. */
#define OWN_WAVES_WATCH_MS 5000

/* An order under way. */
struct fleet_call {
	struct weak_ref *cell;
	char *vm;
};

static void vm_free(gpointer data)
{
	struct own_vm *vm = data;

	g_free(vm->name);
	g_free(vm->pool);
	g_free(vm->to_pool);
	g_free(vm->refused_pool);
	g_free(vm->leaving_worker);
	g_free(vm->worker);
	g_free(vm);
}

static void workers_index(struct own_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_remove_all(fleet->worker_by_vm);
	g_hash_table_iter_init(&iter, fleet->owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;
		const struct worker *other;

		if (worker->ended || !worker->vm)
			continue;
		other = g_hash_table_lookup(fleet->worker_by_vm, worker->vm);
		if (!other || worker->started_unix_ms > other->started_unix_ms)
			g_hash_table_insert(fleet->worker_by_vm, worker->vm,
					    worker);
	}
}

struct worker *own_fleet_worker(struct own_fleet *fleet,
				const struct own_vm *vm)
{
	return g_hash_table_lookup(fleet->worker_by_vm, vm->name);
}

static void phase_set(struct own_vm *vm, enum own_vm_phase phase)
{
	vm->phase = phase;
	vm->phase_since_ms = loop_now_ms();
}

static void vm_settle(struct own_fleet *fleet, struct own_vm *vm)
{
	struct worker *worker = own_fleet_worker(fleet, vm);

	if (worker)
		worker->cordoned = false;
	phase_set(vm, OWN_VM_SETTLED);
	vm->wave = NULL;
	g_clear_pointer(&vm->to_pool, g_free);
	own_plan_soon(fleet->owner);
}

void own_fleet_empty(struct own_fleet *fleet, struct own_vm *vm,
		     struct own_wave *wave, const char *to_pool)
{
	struct worker *worker = own_fleet_worker(fleet, vm);

	phase_set(vm, OWN_VM_EMPTYING);
	vm->wave = wave;
	g_free(vm->to_pool);
	vm->to_pool = g_strdup(to_pool);
	g_clear_pointer(&vm->leaving_worker, g_free);
	if (worker) {
		worker->cordoned = true;
		vm->leaving_worker = g_strdup(worker->id);
	}
	log_info("vm-emptying", "%s of pool %s, tasks %u, for %s", vm->name,
		 vm->pool, worker ? worker->tasks->len : 0,
		 to_pool ? to_pool : "maintenance");
}

/*
 * The platform also says that it has done what had been done before, in which
 * case the worker runs on. So its life ends here only when the list shows it.
 */
static void vm_taken(struct own_fleet *fleet, struct own_vm *vm)
{
	if (vm->to_pool)
		fleet->owner->counters.moves++;
	else
		fleet->owner->counters.maintenances++;
	log_info("vm-ordered", "%s of pool %s: %s", vm->name, vm->pool,
		 vm->to_pool ? vm->to_pool : "maintenance");
	phase_set(vm, OWN_VM_ORDERED);
	if (vm->wave)
		own_wave_vm_done(fleet, vm);
}

static void on_ordered(void *data, enum err_kind err,
		       enum adapter_vm_verdict verdict)
{
	struct fleet_call *call = data;
	struct own_fleet *fleet = weak_ref_release(call->cell);
	struct own_vm *vm =
		fleet ? g_hash_table_lookup(fleet->vms, call->vm) : NULL;

	g_free(call->vm);
	g_free(call);
	if (!vm)
		return;
	workers_index(fleet);
	vm->calling = false;
	if (err != ERR_NONE || verdict != ADAPTER_VM_ACCEPTED)
		log_info("vm-order-not-taken", "%s: %s, verdict %d", vm->name,
			 err_name(err), verdict);
	if (err != ERR_NONE) {
		/* It may have been carried out: the next list tells. */
		vm->unanswered_ms = loop_now_ms();
		return;
	}
	switch (verdict) {
	case ADAPTER_VM_ACCEPTED:
		vm_taken(fleet, vm);
		break;
	case ADAPTER_VM_REFUSED_FENCE:
		fleet->owner->env.ops->on_deposed(fleet->owner);
		break;
	case ADAPTER_VM_REFUSED_BUSY:
		if (vm->to_pool)
			vm_settle(fleet, vm);
		else
			vm->phase_since_ms = loop_now_ms();
		break;
	case ADAPTER_VM_REFUSED_WAVE:
		own_wave_vm_done(fleet, vm);
		vm_settle(fleet, vm);
		break;
	case ADAPTER_VM_REFUSED_INVALID:
		g_free(vm->refused_pool);
		vm->refused_pool = g_strdup(vm->to_pool);
		if (!vm->to_pool)
			own_wave_vm_done(fleet, vm);
		vm_settle(fleet, vm);
		break;
	}
}

static void vm_order(struct own_fleet *fleet, struct own_vm *vm)
{
	struct owner *owner = fleet->owner;
	struct fleet_call *call = g_new0(struct fleet_call, 1);

	call->cell = weak_ref_acquire(fleet->cell);
	call->vm = g_strdup(vm->name);
	vm->calling = true;
	if (vm->to_pool)
		owner->config.platform->vm_move(
			owner->config.platform_self, vm->name, vm->to_pool,
			owner->config.service->id, owner->env.fence_base,
			OWN_VM_TIMEOUT_MS, on_ordered, call);
	else
		owner->config.platform->vm_maintain(
			owner->config.platform_self, vm->name, vm->wave->number,
			owner->config.service->id, owner->env.fence_base,
			OWN_VM_TIMEOUT_MS, on_ordered, call);
}

/* Tells whether a lasting task may be stopped without leaving its step with
 * more tasks away than it allows. */
static bool stop_is_allowed(const struct job_task *task)
{
	const struct job_group *group = task->group;
	int32_t away = 0;

	for (uint32_t i = 0; i < group->step->count; i++) {
		const struct job_task *other = &group->tasks[i];

		if (other != task &&
		    (other->state != JOB_TASK_RUNNING ||
		     other->speed_percent < other->ordered_speed_percent ||
		     !worker_is_reachable(other->worker)))
			away++;
	}
	return away < MAX(group->step->max_unavailable, 1);
}

static void lasting_tasks_stop(struct own_fleet *fleet, struct worker *worker,
			       const char *why)
{
	for (guint i = 0; i < worker->tasks->len; i++) {
		struct job_task *task = g_ptr_array_index(worker->tasks, i);

		if (task->group->step->is_long_running &&
		    task->state == JOB_TASK_RUNNING &&
		    (worker->draining || stop_is_allowed(task)))
			own_task_stop(fleet->owner, task, why);
	}
}

static bool has_lasting(const struct worker *worker)
{
	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct job_task *task =
			g_ptr_array_index(worker->tasks, i);

		if (task->group->step->is_long_running)
			return true;
	}
	return false;
}

/* An order ends the worker with what it lists: ends that are not stored yet
 * would be lost if this owner ended too. */
static bool ends_are_stored(const struct worker *worker)
{
	return worker->ends->len == 0 && !worker->resolving;
}

/* Settles an order without an answer by a list that was asked for since. */
static bool order_is_open(struct own_fleet *fleet, struct own_vm *vm)
{
	bool moved = vm->to_pool && g_strcmp0(vm->pool, vm->to_pool) == 0;

	if (vm->unanswered_ms == 0)
		return false;
	if (fleet->listing || fleet->asked_ms <= vm->unanswered_ms)
		return true;
	vm->unanswered_ms = 0;
	if (moved || vm->state != ADAPTER_VM_UP ||
	    g_strcmp0(vm->worker, vm->leaving_worker) != 0)
		vm_taken(fleet, vm);
	return false;
}

static void emptying_run(struct own_fleet *fleet, struct own_vm *vm)
{
	struct worker *worker = own_fleet_worker(fleet, vm);
	uint64_t past_ms = loop_now_ms() - vm->phase_since_ms;

	if (vm->calling || order_is_open(fleet, vm))
		return;
	if (vm->phase != OWN_VM_EMPTYING)
		return;
	if (worker && g_strcmp0(worker->id, vm->leaving_worker) != 0) {
		/* The VM has started anew meanwhile. */
		vm_settle(fleet, vm);
		return;
	}
	if (!worker || (worker->tasks->len == 0 && ends_are_stored(worker))) {
		if (own_intent_is_stored(fleet, vm))
			vm_order(fleet, vm);
		return;
	}
	worker->cordoned = true;
	if (vm->to_pool) {
		if (past_ms > OWN_MOVE_WAIT_MS)
			vm_settle(fleet, vm);
		return;
	}
	if (past_ms > OWN_EMPTY_GIVE_UP_MS && has_lasting(worker)) {
		log_info("vm-not-emptied", "%s of pool %s, tasks %u", vm->name,
			 vm->pool, worker->tasks->len);
		vm->not_before_ms = loop_now_ms() + OWN_EMPTY_PAUSE_MS;
		vm_settle(fleet, vm);
		return;
	}
	lasting_tasks_stop(fleet, worker, "maintenance of the VM");
	if (past_ms > OWN_EMPTY_WAIT_MS && !has_lasting(worker) &&
	    ends_are_stored(worker) && own_intent_is_stored(fleet, vm))
		vm_order(fleet, vm);
}

/* When a VM that was ordered is back, if all goes well. */
static uint64_t back_ms(const struct own_fleet *fleet, const struct own_vm *vm)
{
	const struct jobs_config *service = fleet->owner->config.service;

	return vm->phase_since_ms +
	       (vm->to_pool ? service->move_ms : service->maintain_ms);
}

uint32_t own_fleet_due_in_ms(const struct own_fleet *fleet)
{
	uint64_t now_ms = loop_now_ms();
	uint64_t soonest_ms = UINT32_MAX;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct own_vm *vm = value;
		uint64_t due_ms = back_ms(fleet, vm);

		if (vm->phase == OWN_VM_ORDERED)
			soonest_ms =
				MIN(soonest_ms, due_ms - MIN(due_ms, now_ms));
	}
	return (uint32_t)soonest_ms;
}

static void ordered_run(struct own_fleet *fleet, struct own_vm *vm)
{
	if (fleet->listed_ms < back_ms(fleet, vm) + OWN_BACK_MARGIN_MS ||
	    vm->state != ADAPTER_VM_UP)
		return;
	vm_settle(fleet, vm);
}

static bool orders_are_open(struct own_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct own_vm *vm = value;

		if (vm->phase == OWN_VM_ORDERED || vm->unanswered_ms != 0)
			return true;
	}
	return false;
}

static void vm_take(struct own_fleet *fleet, const struct adapter_vm *listed)
{
	struct own_vm *vm = g_hash_table_lookup(fleet->vms, listed->name);

	if (!vm) {
		vm = g_new0(struct own_vm, 1);
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
static const char *life_over_why(struct own_fleet *fleet,
				 const struct worker *worker,
				 const struct own_vm *vm)
{
	bool ordered = vm->phase == OWN_VM_ORDERED &&
		       vm->phase_since_ms < fleet->asked_ms;
	/* Silent since before the list was asked for, or known of by then and
	 * without any report under this owner. */
	bool in_doubt = (!worker_is_reachable(worker) &&
			 worker->unanswered_since_ms < fleet->asked_ms) ||
			(!worker->has_reported &&
			 worker->discovered_ms < fleet->asked_ms);

	if (ordered && vm->leaving_worker &&
	    strcmp(vm->leaving_worker, worker->id) == 0 &&
	    (vm->state != ADAPTER_VM_UP ||
	     g_strcmp0(vm->worker, worker->id) != 0))
		return "its VM is taken";
	if (in_doubt && vm->state != ADAPTER_VM_UP)
		return "its VM is not up";
	if (in_doubt && vm->worker && strcmp(vm->worker, worker->id) != 0)
		return "its VM has another worker";
	return NULL;
}

/* Ends lives that the list shows as over: their tasks need not wait for the
 * lease to run out. */
static void lives_check(struct own_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;
		const struct own_vm *vm =
			worker->vm ? g_hash_table_lookup(fleet->vms, worker->vm)
				   : NULL;
		const char *why = vm && !worker->ended
					  ? life_over_why(fleet, worker, vm)
					  : NULL;

		if (why)
			worker_end_incarnation(worker, why);
	}
}

static bool a_worker_is_silent(struct own_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct worker *worker = value;

		if (!worker->ended && !worker_is_reachable(worker))
			return true;
	}
	return false;
}

static void on_vms(void *data, enum err_kind err, const struct adapter_vm *vms,
		   size_t count)
{
	struct own_fleet *fleet = weak_ref_release(data);
	GHashTableIter iter;
	gpointer value;

	if (!fleet)
		return;
	fleet->listing = false;
	if (err != ERR_NONE) {
		log_info("vm-list-failed", "%s", err_name(err));
		return;
	}
	fleet->listed_ms = loop_now_ms();
	fleet->listed_once = true;
	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct own_vm *)value)->listed = false;
	for (size_t i = 0; i < count; i++)
		vm_take(fleet, &vms[i]);
	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!((struct own_vm *)value)->listed &&
		    !((struct own_vm *)value)->calling)
			g_hash_table_iter_remove(&iter);
	}
	lives_check(fleet);
}

static void list_run(struct own_fleet *fleet)
{
	bool busy = orders_are_open(fleet) || a_worker_is_silent(fleet);
	uint64_t pause_ms = busy ? OWN_VM_LIST_BUSY_MS : OWN_VM_LIST_MS;

	if (fleet->listing ||
	    (fleet->listed_once && loop_now_ms() - fleet->listed_ms < pause_ms))
		return;
	fleet->listing = true;
	fleet->asked_ms = loop_now_ms();
	fleet->owner->config.platform->vm_list(
		fleet->owner->config.platform_self, OWN_VM_TIMEOUT_MS, on_vms,
		weak_ref_acquire(fleet->cell));
}

static void draining_run(struct own_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;

		if (worker->draining && worker->tasks->len > 0)
			lasting_tasks_stop(fleet, worker, "the worker drains");
	}
}

/* Orders to VMs are given only while no other owner can be, by the lease. */
static bool may_order(const struct own_fleet *fleet)
{
	const struct owner *owner = fleet->owner;

	return fleet->listed_once && owner_is_ready(owner) && !owner->fenced &&
	       owner->ops->lease_is_valid(owner->data);
}

void own_fleet_vms_run(struct own_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	if (!may_order(fleet))
		return;
	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct own_vm *vm = value;

		if (vm->phase == OWN_VM_EMPTYING)
			emptying_run(fleet, vm);
		else if (vm->phase == OWN_VM_ORDERED)
			ordered_run(fleet, vm);
	}
}

static void on_tick(void *data)
{
	struct own_fleet *fleet = data;

	loop_timer_set(fleet->owner->config.loop, &fleet->timer,
		       OWN_FLEET_TICK_MS);
	if (!owner_is_ready(fleet->owner) || fleet->owner->fenced)
		return;
	workers_index(fleet);
	draining_run(fleet);
	list_run(fleet);
	own_intents_read(fleet);
	if (!may_order(fleet))
		return;
	/* Maintenance is bounded over all VMs of a wave, so that the orders of
	 * the owner before must all be seen. */
	if (own_fleet_gap_is_over(fleet))
		own_waves_run(fleet);
	own_pools_run(fleet);
	own_fleet_vms_run(fleet);
	own_intents_write(fleet);
}

struct own_fleet *own_fleet_create(struct owner *owner)
{
	struct own_fleet *fleet = g_new0(struct own_fleet, 1);

	fleet->owner = owner;
	fleet->waves = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     own_wave_free);
	fleet->vms =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, vm_free);
	fleet->worker_by_vm = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&fleet->intents_sent);
	fleet->ordered_before =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->cell = weak_ref_create(fleet);
	fleet->timer.cb = on_tick;
	fleet->timer.data = fleet;
	fleet->waves_follower =
		watcher_create(owner->config.loop, owner->config.store,
			       owner->config.platform->waves_prefix,
			       OWN_WAVES_WATCH_MS, &own_waves_ops, fleet);
	loop_timer_set(owner->config.loop, &fleet->timer, OWN_FLEET_TICK_MS);
	return fleet;
}

void own_fleet_destroy(struct own_fleet *fleet)
{
	if (!fleet)
		return;
	timer_cancel(&fleet->timer);
	watcher_destroy(fleet->waves_follower);
	g_hash_table_unref(fleet->waves);
	g_hash_table_unref(fleet->vms);
	g_hash_table_unref(fleet->worker_by_vm);
	g_hash_table_unref(fleet->ordered_before);
	g_queue_clear(&fleet->intents_sent);
	weak_ref_invalidate(fleet->cell);
	g_free(fleet);
}
