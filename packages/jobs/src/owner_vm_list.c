#include <string.h>

#include "log.h"
#include "owner_fleet.h"

/* Interval between reads of the list of VMs, and the shorter one while an
 * operation is in progress or a worker is unreachable. */
#define OWNER_VM_LIST_INTERVAL_MS 1500
#define OWNER_VM_LIST_BUSY_INTERVAL_MS 400
/* Interval if a worker has become unreachable since the last request: the tasks
 * of a crashed worker wait until the list shows that it has ended. */
#define OWNER_VM_LIST_NEW_INTERVAL_MS 100

/* A VM that this many successive lists lack was removed, or is down and may
 * return. The pages of one list are not a snapshot, so a single list may lack a
 * VM that changes. */
#define OWNER_VM_MISSING_LISTS 2

static bool has_open_operation(struct owner_fleet *fleet)
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

static void vm_update(struct owner_fleet *fleet,
		      const struct adapter_vm *listed)
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
	vm->missing_lists = 0;
}

/* Returns whether a worker may start what the previous owner orders, once it is
 * back. That owner acts until its lease ends by its own clock, even if its key
 * was taken away, and a worker that was down has not seen this owner's token.
 * Until a poll fails that was sent after that time, the worker counts as one
 * whose report the takeover awaits. */
static bool may_obey_previous_owner(const struct owner *owner,
				    const struct worker *worker)
{
	return owner->has_unknown_tasks &&
	       worker->failed_poll_sent_ms <
		       owner_previous_acts_until_ms(owner);
}

/* Returns why the list of VMs proves that a worker has ended, NULL if it does
 * not, and sets the cause. A worker that still answers takes precedence over
 * the list. */
static const char *worker_end_reason(struct owner_fleet *fleet,
				     const struct worker *worker,
				     const struct owner_vm *vm,
				     enum worker_end_cause *cause)
{
	bool is_operated_on = vm->phase == OWNER_VM_OPERATING &&
			      vm->phase_started_ms < fleet->list_requested_ms;
	/* Unreachable or without any report since before the list request. */
	bool maybe_ended =
		(!worker_is_reachable(worker) &&
		 worker->unanswered_since_ms < fleet->list_requested_ms) ||
		(!worker->has_reported &&
		 MAX(worker->discovered_ms, worker->restarted_ms) <
			 fleet->list_requested_ms);

	*cause = WORKER_REMOVED;
	if (is_operated_on && vm->drained_worker &&
	    strcmp(vm->drained_worker, worker->id) == 0 &&
	    (vm->state != ADAPTER_VM_UP ||
	     g_strcmp0(vm->worker, worker->id) != 0))
		return "its VM is moved or maintained";
	if (maybe_ended && (vm->state == ADAPTER_VM_MOVING ||
			    vm->state == ADAPTER_VM_MAINTENANCE))
		return "its VM is moved or maintained";
	*cause = WORKER_CRASHED;
	if (maybe_ended && vm->state != ADAPTER_VM_UP &&
	    !may_obey_previous_owner(fleet->owner, worker))
		return "its VM is not up";
	if (maybe_ended && vm->worker && strcmp(vm->worker, worker->id) != 0)
		return "its VM has another worker";
	return NULL;
}

/* Returns whether the worker has ended because its VM is no longer listed. An
 * unreachable worker whose VM is listed may still run. */
static bool vm_is_missing(struct owner_fleet *fleet, struct worker *worker)
{
	const struct owner_vm *vm = g_hash_table_lookup(fleet->vms, worker->vm);

	if ((vm && vm->missing_lists == 0) || worker_is_reachable(worker) ||
	    worker->unanswered_since_ms >= fleet->list_requested_ms)
		worker->vm_unlisted_count = 0;
	else
		worker->vm_unlisted_count++;
	return worker->vm_unlisted_count >= OWNER_VM_MISSING_LISTS;
}

static const char *worker_check(struct owner_fleet *fleet,
				struct worker *worker,
				enum worker_end_cause *cause)
{
	const struct owner_vm *vm;

	if (!worker->vm || worker->ended)
		return NULL;
	*cause = WORKER_REMOVED;
	if (vm_is_missing(fleet, worker))
		return "its VM is no longer listed";
	vm = g_hash_table_lookup(fleet->vms, worker->vm);
	return vm ? worker_end_reason(fleet, worker, vm, cause) : NULL;
}

/* Detects workers that have ended according to the list of VMs, so that their
 * tasks need not wait until the worker's lease has expired. */
static void ended_workers_detect(struct owner_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *worker = value;
		enum worker_end_cause cause;
		const char *why = worker_check(fleet, worker, &cause);

		if (why)
			worker_end_incarnation(worker, cause, why);
	}
}

/* Returns whether a worker has become unreachable since a local time. */
static bool has_unreachable_worker(struct owner_fleet *fleet, uint64_t since_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct worker *worker = value;

		if (!worker->ended && !worker_is_reachable(worker) &&
		    worker->unanswered_since_ms >= since_ms)
			return true;
	}
	return false;
}

static void on_vms_listed(void *data, enum err_kind err,
			  const struct adapter_vm *vms, size_t count)
{
	struct owner_fleet *fleet = weak_ref_release(data);
	GHashTableIter iter;
	gpointer value;

	if (!fleet)
		return;
	fleet->list_in_flight = false;
	if (err != ERR_NONE) {
		log_info("vm-list-failed", "no list of VMs: %s", err_name(err));
		return;
	}
	fleet->list_received_ms = loop_now_ms();
	fleet->list_received = true;
	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct owner_vm *)value)->missing_lists++;
	for (size_t i = 0; i < count; i++)
		vm_update(fleet, &vms[i]);
	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct owner_vm *vm = value;

		if (vm->missing_lists >= OWNER_VM_MISSING_LISTS &&
		    !vm->call_in_flight)
			g_hash_table_iter_remove(&iter);
	}
	ended_workers_detect(fleet);
}

void owner_vm_list_refresh(struct owner_fleet *fleet)
{
	bool busy =
		has_open_operation(fleet) || has_unreachable_worker(fleet, 0);
	uint64_t interval_ms = busy ? OWNER_VM_LIST_BUSY_INTERVAL_MS
				    : OWNER_VM_LIST_INTERVAL_MS;

	if (has_unreachable_worker(fleet, fleet->list_requested_ms))
		interval_ms = OWNER_VM_LIST_NEW_INTERVAL_MS;
	if (fleet->list_in_flight ||
	    (fleet->list_received &&
	     loop_now_ms() - fleet->list_received_ms < interval_ms))
		return;
	fleet->list_in_flight = true;
	fleet->list_requested_ms = loop_now_ms();
	fleet->owner->config.platform->vm_list(
		fleet->owner->config.platform_self, OWNER_VM_CALL_TIMEOUT_MS,
		on_vms_listed, weak_ref_acquire(fleet->weak_ref));
}
