#include "owner_fleet.h"

#include <string.h>

#include "hold.h"
#include "log.h"

/* Maintenance waits this long for tasks that run to completion. Tasks that are
 * left then are stopped and run again elsewhere. */
#define OWNER_DRAIN_GRACE_MS 4000
/* A drain for maintenance is abandoned after this time if long-running tasks
 * are left, for instance because they fit on no other worker. The VM is not
 * drained again during the backoff, so that other VMs are maintained first. */
#define OWNER_DRAIN_TIMEOUT_MS 8000
#define OWNER_DRAIN_BACKOFF_MS 3000
/* A move is abandoned if its VM still has tasks or results that are not stored
 * after this time. */
#define OWNER_MOVE_DRAIN_TIMEOUT_MS 1500
/* Delay before an operation that was not accepted is requested again. */
#define OWNER_ORDER_RETRY_MS 300
/* Added to an operation's duration, as lists of VMs may show its end later. */
#define OWNER_OPERATION_MARGIN_MS 200
/* Time-out of one watch on the maintenance waves. */
#define OWNER_WAVES_WATCH_TIMEOUT_MS 5000

/* A request for an operation in flight. It refers to its VM by name, since the
 * VM may be freed before the answer arrives. */
struct fleet_call {
	struct weak_ref *fleet_ref;
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

static struct worker *worker_of_vm(struct owner_fleet *fleet, const char *vm)
{
	const char *id = g_hash_table_lookup(fleet->worker_id_by_vm, vm);

	return id ? g_hash_table_lookup(fleet->owner->workers, id) : NULL;
}

/* Returns whether the VM of a worker is drained or operated on. An incarnation
 * that comes after the operation has another identity. */
static bool is_operated_on(const struct owner_fleet *fleet,
			   const struct worker *worker)
{
	const struct owner_vm *vm =
		worker->vm ? g_hash_table_lookup(fleet->vms, worker->vm) : NULL;

	return vm && vm->phase != OWNER_VM_STEADY &&
	       g_strcmp0(vm->drained_worker, worker->id) == 0;
}

void owner_vm_workers_update(struct owner_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_remove_all(fleet->worker_id_by_vm);
	g_hash_table_iter_init(&iter, fleet->owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;
		const struct worker *other;

		/* Its operation may have ended while its incarnation had. */
		worker->cordoned = is_operated_on(fleet, worker);
		if (worker->ended || !worker->vm)
			continue;
		other = worker_of_vm(fleet, worker->vm);
		if (!other || worker->started_unix_ms > other->started_unix_ms)
			g_hash_table_replace(fleet->worker_id_by_vm,
					     g_strdup(worker->vm),
					     g_strdup(worker->id));
	}
}

struct worker *owner_vm_worker(struct owner_fleet *fleet,
			       const struct owner_vm *vm)
{
	return worker_of_vm(fleet, vm->name);
}

static void vm_phase_set(struct owner_vm *vm, enum owner_vm_phase phase)
{
	vm->phase = phase;
	vm->phase_started_ms = loop_now_ms();
}

static void vm_operation_end(struct owner_fleet *fleet, struct owner_vm *vm)
{
	struct worker *worker = owner_vm_worker(fleet, vm);

	if (worker) {
		worker->cordoned = false;
		worker->room_wanted_since_ms = 0;
	}
	vm_phase_set(vm, OWNER_VM_STEADY);
	vm->wave = NULL;
	g_clear_pointer(&vm->target_pool, g_free);
	owner_schedule_request(fleet->owner);
}

void owner_vm_drain(struct owner_fleet *fleet, struct owner_vm *vm,
		    struct owner_wave *wave, const char *target_pool)
{
	struct worker *worker = owner_vm_worker(fleet, vm);

	vm_phase_set(vm, OWNER_VM_DRAINING);
	vm->wave = wave;
	g_free(vm->target_pool);
	vm->target_pool = g_strdup(target_pool);
	g_clear_pointer(&vm->drained_worker, g_free);
	if (worker) {
		worker->cordoned = true;
		worker->room_wanted_since_ms = 0;
		vm->drained_worker = g_strdup(worker->id);
	}
	log_info("vm-draining", "VM %s of pool %s drains, tasks %u, target %s",
		 vm->name, vm->pool, worker ? worker->tasks->len : 0,
		 target_pool ? target_pool : "maintenance");
}

/* A repeated request for a finished operation is accepted, too; the worker then
 * keeps running. So only the list of VMs shows that a worker has ended. */
static void vm_operation_accept(struct owner_fleet *fleet, struct owner_vm *vm)
{
	if (vm->target_pool)
		fleet->owner->counters.moves++;
	else
		fleet->owner->counters.maintenances++;
	log_info("vm-operation-accepted", "VM %s of pool %s goes to %s",
		 vm->name, vm->pool,
		 vm->target_pool ? vm->target_pool : "maintenance");
	vm_phase_set(vm, OWNER_VM_OPERATING);
	if (vm->wave)
		owner_wave_mark_vm_done(fleet, vm);
}

static void on_operation_answered(void *data, enum err_kind err,
				  enum adapter_vm_verdict verdict)
{
	struct fleet_call *call = data;
	struct owner_fleet *fleet = weak_ref_release(call->fleet_ref);
	struct owner_vm *vm =
		fleet ? g_hash_table_lookup(fleet->vms, call->vm_name) : NULL;

	g_free(call->vm_name);
	g_free(call);
	if (!vm)
		return;
	owner_vm_workers_update(fleet);
	vm->call_in_flight = false;
	owner_intent_request_ended(vm, err);
	if (err != ERR_NONE || verdict != ADAPTER_VM_ACCEPTED)
		log_info("vm-operation-not-accepted",
			 "VM %s operation not accepted: error %s, verdict %d",
			 vm->name, err_name(err), verdict);
	if (err != ERR_NONE) {
		/* The next list shows whether the request was carried out. */
		vm->unanswered_since_ms = loop_now_ms();
		return;
	}
	switch (verdict) {
	case ADAPTER_VM_ACCEPTED:
		vm_operation_accept(fleet, vm);
		break;
	case ADAPTER_VM_REFUSED_FENCE:
		fleet->owner->env.ops->on_deposed(fleet->owner,
						  "the VM service");
		break;
	case ADAPTER_VM_REFUSED_BUSY:
		if (vm->target_pool)
			vm_operation_end(fleet, vm);
		else
			vm->phase_started_ms = loop_now_ms();
		vm->request_not_before_ms =
			loop_now_ms() + OWNER_ORDER_RETRY_MS;
		break;
	case ADAPTER_VM_REFUSED_WAVE:
		owner_wave_mark_vm_done(fleet, vm);
		vm_operation_end(fleet, vm);
		break;
	case ADAPTER_VM_REFUSED_INVALID:
		g_free(vm->rejecting_pool);
		vm->rejecting_pool = g_strdup(vm->target_pool);
		if (!vm->target_pool)
			owner_wave_mark_vm_done(fleet, vm);
		vm_operation_end(fleet, vm);
		break;
	}
}

static void vm_operation_request(struct owner_fleet *fleet, struct owner_vm *vm)
{
	struct owner *owner = fleet->owner;
	struct fleet_call *call = g_new0(struct fleet_call, 1);

	call->fleet_ref = weak_ref_acquire(fleet->weak_ref);
	call->vm_name = g_strdup(vm->name);
	vm->call_in_flight = true;
	if (vm->target_pool)
		owner->config.platform->vm_move(
			owner->config.platform_self, vm->name, vm->target_pool,
			owner->config.service->id, owner->env.fence_base,
			OWNER_VM_CALL_TIMEOUT_MS, on_operation_answered, call);
	else
		owner->config.platform->vm_maintain(
			owner->config.platform_self, vm->name, vm->wave->number,
			owner->config.service->id, owner->env.fence_base,
			OWNER_VM_CALL_TIMEOUT_MS, on_operation_answered, call);
}

static void long_running_tasks_stop(struct owner_fleet *fleet,
				    struct worker *worker, const char *why)
{
	for (guint i = 0; i < worker->tasks->len; i++) {
		struct job_task *task = g_ptr_array_index(worker->tasks, i);

		if (task->group->step->is_long_running &&
		    task->state == JOB_TASK_RUNNING &&
		    (worker->draining ||
		     owner_task_disruption_is_allowed(task)))
			owner_task_stop(fleet->owner, task, why);
	}
}

/* An operation would end them, too, but a report with the success of one of
 * them may be under way. */
static void short_tasks_stop(struct owner *owner, struct worker *worker,
			     const char *why)
{
	for (guint i = 0; i < worker->tasks->len; i++) {
		struct job_task *task = g_ptr_array_index(worker->tasks, i);

		if (!task->group->step->is_long_running &&
		    task->state == JOB_TASK_RUNNING)
			owner_task_stop(owner, task, why);
	}
}

static bool has_long_running_tasks(const struct worker *worker)
{
	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct job_task *task =
			g_ptr_array_index(worker->tasks, i);

		if (task->group->step->is_long_running)
			return true;
	}
	return false;
}

/* Returns whether long-running tasks keep a worker from being drained for now.
 */
static bool drain_is_stuck(const struct worker *worker)
{
	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct job_task *task =
			g_ptr_array_index(worker->tasks, i);

		if (task->group->step->is_long_running &&
		    (task->state == JOB_TASK_STOPPING ||
		     owner_task_disruption_is_allowed(task)))
			return false;
	}
	return has_long_running_tasks(worker);
}

/* Returns whether a drain has kept a task waiting for too long. */
static bool drain_yields(const struct worker *worker)
{
	return worker->room_wanted_since_ms != 0 &&
	       loop_now_ms() >=
		       worker->room_wanted_since_ms +
			       hold_row(HOLD_WORKER_CORDONED)->yields_after_ms;
}

/* An operation ends the worker together with the results that it reports. Those
 * that are not stored yet would be lost if this owner stopped as well. */
static bool results_are_stored(const struct worker *worker)
{
	return worker->ends->len == 0 && !worker->has_more_ends &&
	       !worker->resolving;
}

/* Returns whether the worker may hold runs of an earlier owner that it has not
 * reported yet. Once the takeover has settled, their leases have expired. */
static bool may_hold_unknown_runs(const struct owner *owner,
				  const struct worker *worker)
{
	return owner->has_unknown_tasks && !(worker && worker->has_reported);
}

/* Returns whether it is still unknown if a request that failed was carried out.
 * A list of VMs that was requested after the failure shows whether it was. */
static bool outcome_is_unknown(struct owner_fleet *fleet, struct owner_vm *vm)
{
	bool moved =
		vm->target_pool && g_strcmp0(vm->pool, vm->target_pool) == 0;

	if (vm->unanswered_since_ms == 0)
		return false;
	if (fleet->list_in_flight ||
	    fleet->list_requested_ms <= vm->unanswered_since_ms)
		return true;
	vm->unanswered_since_ms = 0;
	/* Maintenance is requested again, which is harmless if it was carried
	 * out: a VM may also be down or have another worker after a crash. */
	if (moved || (vm->target_pool ? vm->state == ADAPTER_VM_MOVING
				      : vm->state == ADAPTER_VM_MAINTENANCE))
		vm_operation_accept(fleet, vm);
	return false;
}

static void draining_vm_advance(struct owner_fleet *fleet, struct owner_vm *vm)
{
	struct worker *worker = owner_vm_worker(fleet, vm);
	uint64_t elapsed_ms = loop_now_ms() - vm->phase_started_ms;
	bool yields;

	if (vm->call_in_flight || outcome_is_unknown(fleet, vm) ||
	    loop_now_ms() < vm->request_not_before_ms)
		return;
	if (vm->phase != OWNER_VM_DRAINING)
		return;
	if (worker && g_strcmp0(worker->id, vm->drained_worker) != 0) {
		/* The VM has restarted meanwhile. */
		vm_operation_end(fleet, vm);
		return;
	}
	if (may_hold_unknown_runs(fleet->owner, worker))
		return;
	if (!worker ||
	    (worker->tasks->len == 0 && results_are_stored(worker))) {
		if (owner_intent_ensure_stored(fleet, vm))
			vm_operation_request(fleet, vm);
		return;
	}
	if (vm->target_pool) {
		if (elapsed_ms > OWNER_MOVE_DRAIN_TIMEOUT_MS)
			vm_operation_end(fleet, vm);
		return;
	}
	yields = drain_yields(worker);
	if ((elapsed_ms > OWNER_DRAIN_TIMEOUT_MS &&
	     has_long_running_tasks(worker)) ||
	    (yields && drain_is_stuck(worker))) {
		log_info("vm-drain-timed-out",
			 "maintenance of VM %s of pool %s put off after "
			 "%" G_GUINT64_FORMAT " ms, tasks %u, its room is %s",
			 vm->name, vm->pool, elapsed_ms, worker->tasks->len,
			 yields ? "wanted" : "not wanted");
		vm->backoff_until_ms = loop_now_ms() + OWNER_DRAIN_BACKOFF_MS;
		vm_operation_end(fleet, vm);
		return;
	}
	long_running_tasks_stop(fleet, worker, "maintenance of the VM");
	/* The operation takes the room away, so that it holds back nothing. */
	if (elapsed_ms > OWNER_DRAIN_GRACE_MS || yields)
		short_tasks_stop(fleet->owner, worker, "maintenance of the VM");
}

/* Expected end of the operation on a VM. */
static uint64_t operation_end_ms(const struct owner_fleet *fleet,
				 const struct owner_vm *vm)
{
	const struct jobs_config *service = fleet->owner->config.service;

	return vm->phase_started_ms +
	       (vm->target_pool ? service->move_ms : service->maintain_ms);
}

uint32_t owner_fleet_next_return_ms(const struct owner_fleet *fleet)
{
	uint64_t now_ms = loop_now_ms();
	uint64_t next_ms = UINT32_MAX;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct owner_vm *vm = value;
		uint64_t due_ms = operation_end_ms(fleet, vm);

		if (vm->phase == OWNER_VM_OPERATING)
			next_ms = MIN(next_ms, due_ms - MIN(due_ms, now_ms));
	}
	return (uint32_t)next_ms;
}

static void operating_vm_advance(struct owner_fleet *fleet, struct owner_vm *vm)
{
	if (fleet->list_received_ms <
		    operation_end_ms(fleet, vm) + OWNER_OPERATION_MARGIN_MS ||
	    vm->state != ADAPTER_VM_UP)
		return;
	vm_operation_end(fleet, vm);
}

static void draining_workers_stop_tasks(struct owner_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;

		if (worker->draining && worker->tasks->len > 0)
			long_running_tasks_stop(fleet, worker,
						"the worker is draining");
	}
}

/* Only a valid lease guarantees that no other owner requests operations. The
 * previous owner would take a worker that an operation ends for lost, and start
 * its tasks again, as long as it believes in a lease that was revoked. */
static bool operations_are_allowed(const struct owner_fleet *fleet)
{
	const struct owner *owner = fleet->owner;

	return fleet->list_received && owner_is_ready(owner) &&
	       !owner->fenced && owner->ops->lease_is_valid(owner->data) &&
	       loop_now_ms() >= owner_previous_acts_until_ms(owner);
}

void owner_vms_advance(struct owner_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	if (!operations_are_allowed(fleet))
		return;
	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct owner_vm *vm = value;

		if (vm->phase == OWNER_VM_DRAINING)
			draining_vm_advance(fleet, vm);
		else if (vm->phase == OWNER_VM_OPERATING)
			operating_vm_advance(fleet, vm);
	}
}

static void on_tick(void *data)
{
	struct owner_fleet *fleet = data;

	loop_timer_set(fleet->owner->config.loop, &fleet->timer,
		       OWNER_FLEET_TICK_MS);
	if (!owner_is_ready(fleet->owner) || fleet->owner->fenced)
		return;
	owner_vm_workers_update(fleet);
	draining_workers_stop_tasks(fleet);
	owner_vm_list_refresh(fleet);
	owner_intents_load(fleet);
	if (!operations_are_allowed(fleet))
		return;
	/* The bound on parallel maintenance covers all VMs of a wave, so all
	 * operations of the previous owner must be visible first. */
	if (owner_vm_order_interval_has_elapsed(fleet))
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
	fleet->worker_id_by_vm =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&fleet->intent_writes);
	fleet->prior_intents =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->prior_open_intents =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->weak_ref = weak_ref_create(fleet);
	fleet->timer.cb = on_tick;
	fleet->timer.data = fleet;
	fleet->waves_watcher = watcher_create(
		owner->config.loop, owner->config.store,
		owner->config.platform->waves_prefix,
		OWNER_WAVES_WATCH_TIMEOUT_MS, &owner_waves_ops, fleet);
	loop_timer_set(owner->config.loop, &fleet->timer, OWNER_FLEET_TICK_MS);
	return fleet;
}

void owner_fleet_destroy(struct owner_fleet *fleet)
{
	if (!fleet)
		return;
	timer_cancel(&fleet->timer);
	watcher_destroy(fleet->waves_watcher);
	g_hash_table_unref(fleet->waves);
	g_hash_table_unref(fleet->vms);
	g_hash_table_unref(fleet->worker_id_by_vm);
	g_hash_table_unref(fleet->prior_intents);
	g_hash_table_unref(fleet->prior_open_intents);
	g_queue_clear(&fleet->intent_writes);
	weak_ref_invalidate(fleet->weak_ref);
	g_free(fleet);
}
