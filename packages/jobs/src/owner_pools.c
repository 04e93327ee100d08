#include <string.h>

#include "log.h"
#include "owner_fleet.h"
#include "capacity.h"

/* A VM that has been idle for this long is given back. Pools whose demand comes
 * in turns keep theirs, so that the next burst finds them. */
#define OWN_IDLE_LONG_MS 30000
/* A VM that is moved takes tasks this much later than the move itself takes:
 * its worker has to be listed and looked at first. */
#define OWN_MOVE_SETTLES_MS 300
/* Moves that one pass orders, at most. */
#define OWN_MOVES_PER_PASS 32

/* A pool while moves are decided. */
struct pool_view {
	const char *name;
	struct capacity_pool pool;
	/* of struct own_vm, idle ones */
	GPtrArray *idle;
};

static void view_clear(gpointer data)
{
	struct pool_view *view = data;

	g_ptr_array_unref(view->idle);
}

static struct pool_view *view_find(GArray *views, const char *name)
{
	for (guint i = 0; i < views->len; i++) {
		struct pool_view *view =
			&g_array_index(views, struct pool_view, i);

		if (g_strcmp0(view->name, name) == 0)
			return view;
	}
	return NULL;
}

static GArray *views_create(const struct catalogue *catalogue)
{
	GArray *views = g_array_new(FALSE, TRUE, sizeof(struct pool_view));

	g_array_set_clear_func(views, view_clear);
	for (guint i = 0; i < catalogue->services->len; i++) {
		const struct catalogue_service *service = &g_array_index(
			catalogue->services, struct catalogue_service, i);
		struct pool_view view = {
			.name = service->name,
			.pool.is_spare = service->is_spare,
			.idle = g_ptr_array_new(),
		};

		g_array_append_val(views, view);
	}
	return views;
}

void own_inflow_note(struct owner *owner, const char *service,
		     const struct job_occurrence *occurrence)
{
	const GArray *steps = occurrence->job->spec->steps;
	struct trend *inflow = g_hash_table_lookup(owner->inflows, service);
	double work = 0;

	if (!inflow) {
		inflow = g_new0(struct trend, 1);
		g_hash_table_insert(owner->inflows, g_strdup(service), inflow);
	}
	for (guint i = 0; i < steps->len; i++) {
		const struct job_group *group = &occurrence->groups[i];

		if (!group->step->is_long_running &&
		    !group->step->is_best_effort)
			work += (double)group->step->count *
				(double)group->step->need.cpu_milli *
				group->expected_ms;
	}
	trend_sample_add(inflow, work);
}

static void inflows_tick(struct owner *owner)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->inflows);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		trend_tick(value, OWN_FLEET_TICK_MS);
}

static void inflow_add(struct owner *owner, struct pool_view *view)
{
	const struct trend *inflow =
		g_hash_table_lookup(owner->inflows, view->name);
	uint32_t ahead_ms =
		owner->config.service->move_ms + OWN_MOVE_SETTLES_MS;

	if (inflow)
		view->pool.inflow_milli =
			(int64_t)trend_forecast(inflow, ahead_ms);
}

static int64_t lasting_milli(const struct worker *worker)
{
	int64_t sum = 0;

	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct job_task *task =
			g_ptr_array_index(worker->tasks, i);

		if (task->group->step->is_long_running &&
		    !task->group->step->is_best_effort)
			sum += task->group->step->need.cpu_milli;
	}
	return sum;
}

static void worker_add(struct own_fleet *fleet, GArray *views,
		       struct worker *worker)
{
	struct pool_view *view = view_find(views, worker->service);
	struct own_vm *vm;

	/* A worker in quarantine is no room, and would make tasks of another
	 * pool fail as well. */
	if (!view || worker->ended || !worker->listed ||
	    breaker_state_at(&worker->health, loop_now_ms()) !=
		    BREAKER_CLOSED ||
	    worker->draining || worker->cordoned)
		return;
	view->pool.up++;
	view->pool.vm_cpu_milli =
		MAX(view->pool.vm_cpu_milli, worker->capacity.cpu_milli);
	view->pool.used_milli += worker->used.cpu_milli;
	view->pool.long_running_milli += lasting_milli(worker);
	vm = worker->vm ? g_hash_table_lookup(fleet->vms, worker->vm) : NULL;
	if (vm && worker->tasks->len > 0)
		vm->idle_since_ms = 0;
	if (worker->tasks->len > 0 || !worker->has_reported || !vm ||
	    vm->phase != OWN_VM_SETTLED || vm->state != ADAPTER_VM_UP ||
	    !own_intents_allow(fleet, vm))
		return;
	if (vm->idle_since_ms == 0)
		vm->idle_since_ms = loop_now_ms();
	view->pool.idle++;
	if (loop_now_ms() - vm->idle_since_ms > OWN_IDLE_LONG_MS)
		view->pool.idle_long++;
	g_ptr_array_add(view->idle, vm);
}

static void vm_add(struct own_fleet *fleet, GArray *views, struct own_vm *vm)
{
	struct pool_view *view =
		view_find(views, vm->to_pool ? vm->to_pool : vm->pool);

	if (!view)
		return;
	if (vm->to_pool) {
		view->pool.arriving++;
	} else if (view->pool.is_spare && vm->phase == OWN_VM_SETTLED &&
		   vm->state == ADAPTER_VM_UP) {
		view->pool.up++;
		if (!own_intents_allow(fleet, vm))
			return;
		view->pool.idle++;
		g_ptr_array_add(view->idle, vm);
	}
}

static void work_add(struct owner *owner, GArray *views,
		     const struct job_occurrence *occurrence)
{
	const struct catalogue_queue *queue =
		own_queue_of(owner, occurrence->job);
	const GArray *steps = occurrence->job->spec->steps;
	struct pool_view *view =
		queue ? view_find(views, queue->service) : NULL;

	if (!view || !own_job_is_live(occurrence->job))
		return;
	for (guint i = 0; i < steps->len; i++) {
		const struct job_group *group = &occurrence->groups[i];

		if (group->tasks_waiting > 0 && !group->step->is_best_effort &&
		    job_group_is_ready(group))
			view->pool.waiting_milli += group->tasks_waiting *
						    group->step->need.cpu_milli;
	}
}

/* The VM that has been idle for longest and that the pool has not refused. */
static struct own_vm *idle_take(struct pool_view *from, const char *to_pool)
{
	struct own_vm *best = NULL;

	for (guint i = 0; i < from->idle->len; i++) {
		struct own_vm *vm = g_ptr_array_index(from->idle, i);

		if (g_strcmp0(vm->refused_pool, to_pool) != 0 &&
		    (!best || vm->idle_since_ms < best->idle_since_ms))
			best = vm;
	}
	if (best)
		g_ptr_array_remove_fast(from->idle, best);
	return best;
}

/* Tells why a pool gets VMs, once for all that it gets in one pass. */
static void move_log(const struct capacity_move *moves, uint32_t count,
		     uint32_t first, const GArray *views)
{
	const struct pool_view *to =
		&g_array_index(views, struct pool_view, moves[first].to);
	uint32_t given = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (moves[i].to != moves[first].to)
			continue;
		if (i < first)
			return;
		given++;
	}
	log_info("pool-short",
		 "%s gets %u VMs, has %u and %u on their way; cpu milli used "
		 "%" G_GINT64_FORMAT ", waiting %" G_GINT64_FORMAT
		 ", lasting %" G_GINT64_FORMAT ", forecast %" G_GINT64_FORMAT,
		 to->name, given, to->pool.up, to->pool.arriving,
		 to->pool.used_milli, to->pool.waiting_milli,
		 to->pool.long_running_milli, to->pool.inflow_milli);
}

static void moves_order(struct own_fleet *fleet, GArray *views)
{
	g_autofree struct capacity_pool *pools =
		g_new(struct capacity_pool, views->len);
	struct capacity_move moves[OWN_MOVES_PER_PASS];
	uint32_t count;

	for (guint i = 0; i < views->len; i++)
		pools[i] = g_array_index(views, struct pool_view, i).pool;
	count = capacity_moves_choose(pools, views->len, moves,
				      OWN_MOVES_PER_PASS);
	for (uint32_t i = 0; i < count; i++) {
		struct pool_view *from =
			&g_array_index(views, struct pool_view, moves[i].from);
		struct pool_view *to =
			&g_array_index(views, struct pool_view, moves[i].to);
		struct own_vm *vm = idle_take(from, to->name);

		move_log(moves, count, i, views);
		if (vm)
			own_fleet_empty(fleet, vm, NULL, to->name);
	}
}

void own_pools_run(struct own_fleet *fleet)
{
	struct owner *owner = fleet->owner;
	g_autoptr(GArray) views = views_create(owner->catalogue);
	int64_t vm_cpu_most = 0;
	GHashTableIter iter;
	gpointer value;

	inflows_tick(owner);
	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		worker_add(fleet, views, value);
	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		vm_add(fleet, views, value);
	for (guint i = 0; i < owner->live->len; i++)
		work_add(owner, views, g_ptr_array_index(owner->live, i));
	for (guint i = 0; i < views->len; i++)
		vm_cpu_most = MAX(vm_cpu_most,
				  g_array_index(views, struct pool_view, i)
					  .pool.vm_cpu_milli);
	/* A pool without a VM is judged by the VMs of the others. */
	for (guint i = 0; i < views->len; i++) {
		struct pool_view *view =
			&g_array_index(views, struct pool_view, i);

		if (view->pool.vm_cpu_milli == 0)
			view->pool.vm_cpu_milli = vm_cpu_most;
		inflow_add(owner, view);
	}
	moves_order(fleet, views);
}
