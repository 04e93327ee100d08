#include <string.h>

#include "log.h"
#include "owner_fleet.h"
#include "capacity.h"

/* A VM that has been idle for this long may go to the spare pool. Pools whose
 * demand comes in alternating bursts keep their VMs for the next burst. */
#define OWNER_IDLE_RELEASE_MS 30000
/* Time after a move until the VM's worker gets tasks: it has to be listed and
 * polled first. */
#define OWNER_WORKER_READY_MS 300

#define OWNER_MOVES_PER_PASS_MAX 32

/* A pool with its idle VMs while moves are decided. */
struct pool_view {
	const char *name;
	struct capacity_pool pool;
	/* number of its VMs and those that are being moved to it, in any state
	 */
	uint32_t vm_count;
	/* CPU of its largest VM, 0 if no worker is known */
	int64_t largest_cpu_milli;
	/* CPU of the largest long-running task that fits on no worker */
	int64_t unplaced_cpu_milli;
	/* CPU of the waiting tasks that are too large for that, int64_t */
	GArray *oversized;
	/* struct owner_vm * that may be moved */
	GPtrArray *idle;
	/* the same of workers whose breaker is half open; not counted in pool
	 */
	GPtrArray *on_trial;
};

static void view_clear(gpointer data)
{
	struct pool_view *view = data;

	g_array_unref(view->oversized);
	g_ptr_array_unref(view->idle);
	g_ptr_array_unref(view->on_trial);
}

static struct pool_view *view_find_by_name(GArray *views, const char *name)
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
			.oversized = g_array_new(FALSE, FALSE, sizeof(int64_t)),
			.idle = g_ptr_array_new(),
			.on_trial = g_ptr_array_new(),
		};

		g_array_append_val(views, view);
	}
	return views;
}

void owner_demand_record(struct owner *owner, const char *service,
			 const struct job_occurrence *occurrence)
{
	const GArray *steps = occurrence->job->spec->steps;
	struct trend *trend =
		g_hash_table_lookup(owner->demand_trends, service);
	double work = 0;

	if (!trend) {
		trend = g_new0(struct trend, 1);
		g_hash_table_insert(owner->demand_trends, g_strdup(service),
				    trend);
	}
	for (guint i = 0; i < steps->len; i++) {
		const struct job_group *group = &occurrence->groups[i];

		if (!group->step->is_long_running &&
		    !group->step->is_best_effort)
			work += (double)group->step->count *
				(double)group->step->need.cpu_milli *
				group->expected_ms;
	}
	trend_sample_add(trend, work);
}

static void trends_tick(struct owner *owner)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, owner->demand_trends);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		trend_tick(value, OWNER_FLEET_TICK_MS);
}

static void forecast_add(struct owner *owner, struct pool_view *view)
{
	const struct trend *trend =
		g_hash_table_lookup(owner->demand_trends, view->name);
	uint32_t horizon_ms =
		owner->config.service->move_ms + OWNER_WORKER_READY_MS;

	if (trend)
		view->pool.inflow_milli =
			(int64_t)trend_forecast(trend, horizon_ms);
}

static int64_t long_running_cpu_milli(const struct worker *worker)
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

/* Returns whether the VM of a worker may be moved now. */
static bool is_movable(struct owner_fleet *fleet, const struct worker *worker,
		       const struct owner_vm *vm)
{
	return worker->tasks->len == 0 && worker->has_reported && vm &&
	       vm->phase == OWNER_VM_STEADY && vm->state == ADAPTER_VM_UP &&
	       owner_intents_allow_operation(fleet, vm);
}

static void worker_add(struct owner_fleet *fleet, GArray *views,
		       struct worker *worker)
{
	struct pool_view *view = view_find_by_name(views, worker->service);
	enum breaker_state health =
		breaker_state_at(&worker->health, loop_now_ms());
	struct owner_vm *vm;

	vm = worker->vm ? g_hash_table_lookup(fleet->vms, worker->vm) : NULL;
	if (vm && worker->listed && !worker->ended)
		vm->cpu_milli = worker->capacity.cpu_milli;
	if (!view || worker->ended || !worker->listed || worker->draining)
		return;
	view->largest_cpu_milli =
		MAX(view->largest_cpu_milli, worker->capacity.cpu_milli);
	if (worker->cordoned)
		return;
	/* A quarantined worker adds no capacity, and its VM would make tasks of
	 * another pool fail as well. */
	if (health != BREAKER_CLOSED) {
		if (health == BREAKER_HALF_OPEN &&
		    is_movable(fleet, worker, vm))
			g_ptr_array_add(view->on_trial, vm);
		return;
	}
	view->pool.up++;
	view->pool.vm_cpu_milli =
		MAX(view->pool.vm_cpu_milli, worker->capacity.cpu_milli);
	view->pool.used_milli += worker->used.cpu_milli;
	view->pool.long_running_milli += long_running_cpu_milli(worker);
	if (vm && worker->tasks->len > 0)
		vm->idle_since_ms = 0;
	if (!is_movable(fleet, worker, vm))
		return;
	if (vm->idle_since_ms == 0)
		vm->idle_since_ms = loop_now_ms();
	view->pool.idle++;
	if (loop_now_ms() - vm->idle_since_ms > OWNER_IDLE_RELEASE_MS)
		view->pool.idle_long++;
	g_ptr_array_add(view->idle, vm);
}

static void vm_add(struct owner_fleet *fleet, GArray *views,
		   struct owner_vm *vm)
{
	struct pool_view *view = view_find_by_name(
		views, vm->target_pool ? vm->target_pool : vm->pool);

	if (!view)
		return;
	view->vm_count++;
	if (vm->target_pool) {
		view->pool.arriving++;
	} else if (view->pool.is_spare && vm->phase == OWNER_VM_STEADY &&
		   vm->state == ADAPTER_VM_UP) {
		view->pool.up++;
		if (!owner_intents_allow_operation(fleet, vm))
			return;
		view->pool.idle++;
		g_ptr_array_add(view->idle, vm);
	}
}

/* Records the size of a waiting task that is too large for its pool. */
static void oversized_add(struct pool_view *view, int64_t cpu_milli)
{
	for (guint i = 0; i < view->oversized->len; i++) {
		if (g_array_index(view->oversized, int64_t, i) == cpu_milli)
			return;
	}
	g_array_append_val(view->oversized, cpu_milli);
}

/* Further VMs that the waiting tasks of a group need if they fit on no worker.
 */
static uint32_t unplaced_vms(const struct job_group *group)
{
	uint32_t per_vm = group->step->max_per_worker;

	if (!group->step->is_long_running || !group->fits_nowhere)
		return 0;
	return per_vm == 0 ? 1 : (group->tasks_waiting + per_vm - 1) / per_vm;
}

/* Returns the CPU of the largest VM of all pools, INT64_MAX if that is not
 * known since a VM has had no worker. */
static int64_t largest_vm_cpu_milli(const struct owner_fleet *fleet,
				    const GArray *views)
{
	int64_t largest_milli = 0;
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < views->len; i++)
		largest_milli = MAX(largest_milli,
				    g_array_index(views, struct pool_view, i)
					    .largest_cpu_milli);
	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct owner_vm *vm = value;

		if (vm->cpu_milli == 0)
			return INT64_MAX;
		largest_milli = MAX(largest_milli, vm->cpu_milli);
	}
	return largest_milli;
}

/* Adds the waiting tasks of an occurrence. @param largest_cpu_milli CPU
 * of the largest VM */
static void waiting_add(struct owner *owner, GArray *views,
			const struct job_occurrence *occurrence,
			int64_t largest_cpu_milli)
{
	const struct catalogue_queue *queue =
		owner_job_queue(owner, occurrence->job);
	const GArray *steps = occurrence->job->spec->steps;
	struct pool_view *view =
		queue ? view_find_by_name(views, queue->service) : NULL;

	if (!view || !owner_job_is_live(occurrence->job))
		return;
	/* Work beyond an entitlement uses what is idle in its pool. */
	if (occurrence->job->is_excess &&
	    view->pool.up + view->pool.arriving > 0)
		return;
	for (guint i = 0; i < steps->len; i++) {
		const struct job_group *group = &occurrence->groups[i];
		int64_t cpu_milli = group->step->need.cpu_milli;

		/* No number of VMs helps a task that is larger than each. */
		if (group->tasks_waiting == 0 || cpu_milli > largest_cpu_milli)
			continue;
		if (unplaced_vms(group) > 0)
			view->unplaced_cpu_milli =
				MAX(view->unplaced_cpu_milli, cpu_milli);
		view->pool.unplaced_vms =
			MAX(view->pool.unplaced_vms, unplaced_vms(group));
		if (group->step->is_best_effort || group->held_by_limit ||
		    !job_group_is_ready(group))
			continue;
		view->pool.waiting_milli += group->tasks_waiting * cpu_milli;
		if (!group->step->label && cpu_milli > view->largest_cpu_milli)
			oversized_add(view, cpu_milli);
	}
}

/* Returns whether a pool gets one idle VM rather than another. Its long-running
 * tasks keep a VM for good, so they get the smallest one that is large enough.
 */
static bool suits_better(const struct owner_vm *vm,
			 const struct owner_vm *other,
			 const struct pool_view *to)
{
	bool fits = vm->cpu_milli >= to->unplaced_cpu_milli;
	bool other_fits = other->cpu_milli >= to->unplaced_cpu_milli;

	if (to->unplaced_cpu_milli > 0 && fits != other_fits)
		return fits;
	if (to->unplaced_cpu_milli > 0 && vm->cpu_milli != other->cpu_milli)
		return vm->cpu_milli < other->cpu_milli;
	return vm->idle_since_ms < other->idle_since_ms;
}

/* Removes and returns the idle VM that suits a pool best, and for which a move
 * there has not been rejected, NULL for none. */
static struct owner_vm *idle_vm_pop(struct pool_view *from,
				    const struct pool_view *to)
{
	struct owner_vm *best = NULL;

	for (guint i = 0; i < from->idle->len; i++) {
		struct owner_vm *vm = g_ptr_array_index(from->idle, i);

		if (g_strcmp0(vm->rejecting_pool, to->name) != 0 &&
		    (!best || suits_better(vm, best, to)))
			best = vm;
	}
	if (best)
		g_ptr_array_remove_fast(from->idle, best);
	return best;
}

/* Returns the one of some VMs that is to run a task of another pool: the
 * smallest that is large enough, NULL for none. A VM that has had no worker
 * counts as large as the largest one. */
static struct owner_vm *large_vm_find(const GPtrArray *vms,
				      const struct pool_view *to,
				      int64_t need_cpu_milli,
				      int64_t largest_cpu_milli)
{
	struct owner_vm *best = NULL;
	int64_t best_cpu_milli = INT64_MAX;

	for (guint i = 0; i < vms->len; i++) {
		struct owner_vm *vm = g_ptr_array_index(vms, i);
		int64_t cpu_milli =
			vm->cpu_milli > 0 ? vm->cpu_milli : largest_cpu_milli;

		if (cpu_milli < need_cpu_milli || cpu_milli >= best_cpu_milli ||
		    g_strcmp0(vm->rejecting_pool, to->name) == 0)
			continue;
		best = vm;
		best_cpu_milli = cpu_milli;
	}
	return best;
}

static void large_vm_move_begin(struct owner_fleet *fleet,
				struct pool_view *from, struct pool_view *to,
				struct owner_vm *vm, int64_t need_cpu_milli)
{
	log_info("pool-gets-larger-vm",
		 "pool %s gets VM %s of pool %s: a task that waits needs "
		 "%" G_GINT64_FORMAT
		 " milli-CPU, its largest VM has %" G_GINT64_FORMAT,
		 to->name, vm->name, from->name, need_cpu_milli,
		 to->largest_cpu_milli);
	if (g_ptr_array_remove_fast(from->idle, vm)) {
		from->pool.up--;
		from->pool.idle--;
		from->pool.idle_long =
			MIN(from->pool.idle_long, from->pool.idle);
	} else {
		g_ptr_array_remove_fast(from->on_trial, vm);
	}
	to->pool.arriving++;
	owner_vm_drain(fleet, vm, NULL, to->name);
}

/* Moves an idle VM that is large enough for a task to its pool, one whose
 * worker is on trial or one of the others. Returns whether there is one. */
static bool large_vm_move(struct owner_fleet *fleet, GArray *views,
			  struct pool_view *to, int64_t need_cpu_milli,
			  int64_t largest_cpu_milli, bool on_trial)
{
	struct pool_view *donor = NULL;
	struct owner_vm *vm = NULL;

	for (guint i = 0; i < views->len; i++) {
		struct pool_view *from =
			&g_array_index(views, struct pool_view, i);
		const GPtrArray *vms = on_trial ? from->on_trial : from->idle;
		struct owner_vm *found =
			from == to ? NULL
				   : large_vm_find(vms, to, need_cpu_milli,
						   largest_cpu_milli);

		if (found && (!vm || from->pool.is_spare)) {
			vm = found;
			donor = from;
		}
	}
	if (vm)
		large_vm_move_begin(fleet, donor, to, vm, need_cpu_milli);
	return vm != NULL;
}

static gint cpu_compare_descending(gconstpointer a, gconstpointer b)
{
	const int64_t left = *(const int64_t *)a;
	const int64_t right = *(const int64_t *)b;

	return (left < right) - (left > right);
}

/* Moves an idle VM to a pool in which tasks wait that are too large for all VMs
 * there. A task for which there is no such VM does not hold back smaller ones.
 */
static void oversized_serve(struct owner_fleet *fleet, GArray *views,
			    struct pool_view *to, int64_t largest_cpu_milli)
{
	g_array_sort(to->oversized, cpu_compare_descending);
	for (guint i = 0; i < to->oversized->len; i++) {
		int64_t cpu_milli = g_array_index(to->oversized, int64_t, i);

		if (large_vm_move(fleet, views, to, cpu_milli,
				  largest_cpu_milli, false) ||
		    large_vm_move(fleet, views, to, cpu_milli,
				  largest_cpu_milli, true))
			return;
	}
}

/* Pools are sized by their CPU as a whole, whatever the sizes of VMs and tasks.
 */
static void large_vms_move(struct owner_fleet *fleet, GArray *views,
			   int64_t largest_cpu_milli)
{
	for (guint i = 0; i < views->len; i++) {
		struct pool_view *view =
			&g_array_index(views, struct pool_view, i);

		/* One at a time, and only if the workers are known. */
		if (view->pool.arriving == 0 &&
		    (view->largest_cpu_milli > 0 || view->vm_count == 0))
			oversized_serve(fleet, views, view, largest_cpu_milli);
	}
}

/* Logs why a pool gets VMs, once for all that it gets in one pass. */
static void scale_up_log(const struct capacity_move *moves, uint32_t count,
			 uint32_t first, const GArray *views)
{
	const struct pool_view *to =
		&g_array_index(views, struct pool_view, moves[first].to);
	uint32_t move_count = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (moves[i].to != moves[first].to)
			continue;
		if (i < first)
			return;
		move_count++;
	}
	log_info("pool-scaled-up",
		 "pool %s gets %u VMs, has %u and %u arriving; milli-CPU used "
		 "%" G_GINT64_FORMAT ", waiting %" G_GINT64_FORMAT
		 ", long-running tasks %" G_GINT64_FORMAT
		 ", forecast %" G_GINT64_FORMAT,
		 to->name, move_count, to->pool.up, to->pool.arriving,
		 to->pool.used_milli, to->pool.waiting_milli,
		 to->pool.long_running_milli, to->pool.inflow_milli);
}

static void moves_start(struct owner_fleet *fleet, GArray *views)
{
	g_autofree struct capacity_pool *pools =
		g_new(struct capacity_pool, views->len);
	struct capacity_move moves[OWNER_MOVES_PER_PASS_MAX];
	uint32_t count;

	for (guint i = 0; i < views->len; i++)
		pools[i] = g_array_index(views, struct pool_view, i).pool;
	count = capacity_moves_choose(pools, views->len, moves,
				      OWNER_MOVES_PER_PASS_MAX);
	for (uint32_t i = 0; i < count; i++) {
		struct pool_view *from =
			&g_array_index(views, struct pool_view, moves[i].from);
		struct pool_view *to =
			&g_array_index(views, struct pool_view, moves[i].to);
		struct owner_vm *vm = idle_vm_pop(from, to);

		scale_up_log(moves, count, i, views);
		if (vm)
			owner_vm_drain(fleet, vm, NULL, to->name);
	}
}

void owner_pools_rebalance(struct owner_fleet *fleet)
{
	struct owner *owner = fleet->owner;
	g_autoptr(GArray) views = views_create(owner->catalogue);
	int64_t vm_cpu_max = 0;
	int64_t largest_cpu_milli;
	GHashTableIter iter;
	gpointer value;

	trends_tick(owner);
	g_hash_table_iter_init(&iter, owner->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		worker_add(fleet, views, value);
	g_hash_table_iter_init(&iter, fleet->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		vm_add(fleet, views, value);
	largest_cpu_milli = largest_vm_cpu_milli(fleet, views);
	for (guint i = 0; i < owner->live_occurrences->len; i++)
		waiting_add(owner, views,
			    g_ptr_array_index(owner->live_occurrences, i),
			    largest_cpu_milli);
	for (guint i = 0; i < views->len; i++)
		vm_cpu_max = MAX(vm_cpu_max,
				 g_array_index(views, struct pool_view, i)
					 .pool.vm_cpu_milli);
	/* For a pool without VMs, the size of the largest VM of the other pools
	 * is assumed. */
	for (guint i = 0; i < views->len; i++) {
		struct pool_view *view =
			&g_array_index(views, struct pool_view, i);

		if (view->pool.vm_cpu_milli == 0)
			view->pool.vm_cpu_milli = vm_cpu_max;
		forecast_add(owner, view);
	}
	large_vms_move(fleet, views, vm_cpu_max);
	moves_start(fleet, views);
}
