#include "planner.h"

#include <string.h>

/* A plan being made. */
struct plan {
	const struct planner_input *input;
	const struct bundle *bundle;
	struct placement *view;
	GArray *changes;
	/** for each pool the VMs that it has or gets */
	uint32_t *sizes;
};

bool planner_vm_failed(const struct planner_failure_evidence *evidence,
		       uint64_t after_ms)
{
	if (evidence->down_ms > 0 && evidence->down_ms >= after_ms)
		return true;
	return evidence->ejected_by >= 2 &&
	       evidence->ejected_by > evidence->processes / 2;
}

bool planner_row_set(struct placement *view, GArray *changes, uint32_t vm,
		     const struct placement_row *row,
		     const struct disruption_verdict *room)
{
	struct planner_change change = { .vm = vm,
					 .before = view->rows[vm],
					 .after = *row,
					 .budget_checked = room != NULL };

	if (view->rows[vm].changed > view->number)
		return false;
	if (room)
		change.verdict = *room;
	change.after.changed = view->number + 1;
	view->rows[vm] = change.after;
	g_array_append_val(changes, change);
	return true;
}

static bool vm_is_changed(const struct plan *plan, uint32_t vm)
{
	return plan->view->rows[vm].changed > plan->view->number;
}

static bool pool_takes(const struct plan *plan, uint32_t pool, uint32_t vm)
{
	return pool != BUNDLE_INDEX_NONE &&
	       bundle_pool_allows(&plan->bundle->pools[pool], vm);
}

/* Counts for each pool the VMs that it has or gets, without those that failed
 * or leave it. */
static void sizes_count(struct plan *plan)
{
	memset(plan->sizes, 0, plan->bundle->pool_count * sizeof(uint32_t));
	for (uint32_t i = 0; i < plan->view->row_count; i++) {
		const struct placement_row *row = &plan->view->rows[i];
		bool maintained = row->reason == PLACEMENT_REASON_WAVE;

		if (plan->input->vms[i].failed && !maintained)
			continue;
		if (row->next_pool != BUNDLE_INDEX_NONE)
			plan->sizes[row->next_pool]++;
		else if (row->pool != BUNDLE_INDEX_NONE &&
			 (row->state == PLACEMENT_STATE_SERVING || maintained))
			plan->sizes[row->pool]++;
	}
}

static void row_change(struct plan *plan, uint32_t vm,
		       const struct placement_row *row,
		       const struct disruption_verdict *room)
{
	if (planner_row_set(plan->view, plan->changes, vm, row, room))
		sizes_count(plan);
}

static uint32_t pool_missing(const struct plan *plan, uint32_t pool)
{
	uint32_t size = plan->sizes[pool];
	uint32_t wanted = plan->input->wanted[pool];

	return wanted > size ? wanted - size : 0;
}

static uint32_t spare_pool(const struct plan *plan)
{
	for (uint32_t i = 0; i < plan->bundle->pool_count; i++) {
		if (plan->bundle->pools[i].spare)
			return i;
	}
	return BUNDLE_INDEX_NONE;
}

/* The pool that misses most VMs and takes this one, else the spare pool. */
static uint32_t next_pool_choose(const struct plan *plan, uint32_t vm)
{
	uint32_t spare = spare_pool(plan);
	uint32_t best = BUNDLE_INDEX_NONE;
	uint32_t most = 0;

	for (uint32_t i = 0; i < plan->bundle->pool_count; i++) {
		uint32_t missing = pool_missing(plan, i);

		if (i != spare && missing > most && pool_takes(plan, i, vm)) {
			best = i;
			most = missing;
		}
	}
	if (best == BUNDLE_INDEX_NONE && pool_takes(plan, spare, vm))
		best = spare;
	return best;
}

static void row_drain(struct plan *plan, uint32_t vm, uint32_t next_pool,
		      enum placement_reason reason,
		      const struct disruption_verdict *room)
{
	struct placement_row row = plan->view->rows[vm];

	row.state = PLACEMENT_STATE_DRAINING;
	row.next_pool = next_pool;
	row.reason = reason;
	row_change(plan, vm, &row, room);
}

static void row_serve(struct plan *plan, uint32_t vm, uint32_t pool,
		      enum placement_reason reason)
{
	struct placement_row row = plan->view->rows[vm];

	row.state = PLACEMENT_STATE_SERVING;
	row.pool = pool;
	row.next_pool = BUNDLE_INDEX_NONE;
	row.reason = reason;
	row_change(plan, vm, &row, NULL);
}

static void row_free(struct plan *plan, uint32_t vm)
{
	struct placement_row row = plan->view->rows[vm];

	row.state = PLACEMENT_STATE_STOPPED;
	row.pool = BUNDLE_INDEX_NONE;
	row.next_pool = BUNDLE_INDEX_NONE;
	row_change(plan, vm, &row, NULL);
}

static void row_stop(struct plan *plan, uint32_t vm)
{
	struct placement_row row = plan->view->rows[vm];

	row.state = PLACEMENT_STATE_STOPPED;
	row_change(plan, vm, &row, NULL);
}

static void stopped_advance(struct plan *plan, uint32_t vm)
{
	const struct placement_row *row = &plan->view->rows[vm];

	if (row->reason == PLACEMENT_REASON_WAVE || plan->input->vms[vm].failed)
		return;
	if (pool_takes(plan, row->next_pool, vm))
		row_serve(plan, vm, row->next_pool, row->reason);
	else
		row_free(plan, vm);
}

/* Takes rows that wait in a stage to the next one. */
static void stages_advance(struct plan *plan)
{
	for (uint32_t i = 0; i < plan->view->row_count; i++) {
		const struct placement_row *row = &plan->view->rows[i];

		if (row->state == PLACEMENT_STATE_DRAINING &&
		    plan->input->vms[i].drained)
			row_stop(plan, i);
		else if (row->state == PLACEMENT_STATE_STOPPED &&
			 !placement_row_is_free(row))
			stopped_advance(plan, i);
	}
}

static bool row_is_allowed(const struct plan *plan, uint32_t vm)
{
	return pool_takes(plan, plan->view->rows[vm].pool, vm);
}

/* Moves VMs out of pools that they may not serve any more. */
static void not_allowed_drain(struct plan *plan)
{
	for (uint32_t i = 0; i < plan->view->row_count; i++) {
		const struct placement_row *row = &plan->view->rows[i];
		struct disruption_verdict room = { .allowed = true };

		if (row->state != PLACEMENT_STATE_SERVING ||
		    vm_is_changed(plan, i) || row_is_allowed(plan, i))
			continue;
		if (row->pool != BUNDLE_INDEX_NONE)
			room = disruption_check(plan->bundle, plan->view,
						plan->input->healthy, row->pool,
						i);
		if (room.allowed)
			row_drain(plan, i, next_pool_choose(plan, i),
				  PLACEMENT_REASON_NOT_ALLOWED, &room);
	}
}

static void failed_drain(struct plan *plan)
{
	for (uint32_t i = 0; i < plan->view->row_count; i++) {
		const struct placement_row *row = &plan->view->rows[i];
		struct disruption_verdict room;

		if (!plan->input->vms[i].failed ||
		    row->pool == BUNDLE_INDEX_NONE ||
		    row->state != PLACEMENT_STATE_SERVING ||
		    vm_is_changed(plan, i))
			continue;
		room = disruption_check_failed(plan->bundle, plan->view,
					       row->pool, i);
		if (room.allowed)
			row_drain(plan, i, BUNDLE_INDEX_NONE,
				  PLACEMENT_REASON_FAILURE, &room);
	}
}

/* Counts the VMs that a pool has or gets by availability zone; those that
 * failed are what others replace. */
static GHashTable *zones_count(const struct plan *plan, uint32_t pool)
{
	GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < plan->view->row_count; i++) {
		const struct placement_row *row = &plan->view->rows[i];
		char *zone = plan->bundle->vms[i].availability_zone;
		guint count;

		if ((row->pool != pool && row->next_pool != pool) ||
		    (plan->input->vms[i].failed &&
		     row->reason != PLACEMENT_REASON_WAVE))
			continue;
		count = GPOINTER_TO_UINT(g_hash_table_lookup(zones, zone));
		g_hash_table_insert(zones, zone, GUINT_TO_POINTER(count + 1));
	}
	return zones;
}

/* Whether a VM can come from a pool, BUNDLE_INDEX_NONE standing for free VMs.
 */
static bool vm_can_come(const struct plan *plan, uint32_t vm, uint32_t from)
{
	const struct placement_row *row = &plan->view->rows[vm];

	if (row->pool != from || vm_is_changed(plan, vm) ||
	    !plan->input->healthy[vm])
		return false;
	if (from == BUNDLE_INDEX_NONE)
		return placement_row_is_free(row);
	return row->state == PLACEMENT_STATE_SERVING &&
	       disruption_check(plan->bundle, plan->view, plan->input->healthy,
				from, vm)
		       .allowed;
}

/* Chooses for a pool a VM in the zone where the pool has fewest. */
static uint32_t vm_choose(const struct plan *plan, uint32_t pool, uint32_t from)
{
	const struct bundle_pool *spec = &plan->bundle->pools[pool];
	uint32_t best = BUNDLE_INDEX_NONE;
	uint32_t fewest = UINT32_MAX;
	g_autoptr(GHashTable) zones = zones_count(plan, pool);

	for (uint32_t i = 0; i < spec->vm_count; i++) {
		uint32_t vm = spec->vms[i];
		const char *zone = plan->bundle->vms[vm].availability_zone;
		uint32_t size =
			GPOINTER_TO_UINT(g_hash_table_lookup(zones, zone));

		if (size >= fewest || !vm_can_come(plan, vm, from))
			continue;
		best = vm;
		fewest = size;
	}
	return best;
}

static bool pool_has_failed(const struct plan *plan, uint32_t pool)
{
	for (uint32_t i = 0; i < plan->view->row_count; i++) {
		const struct placement_row *row = &plan->view->rows[i];

		if (row->pool == pool &&
		    (plan->input->vms[i].failed ||
		     row->reason == PLACEMENT_REASON_FAILURE))
			return true;
	}
	return false;
}

static void pool_fill(struct plan *plan, uint32_t pool)
{
	uint32_t missing = pool_missing(plan, pool);

	while (missing > 0 && plan->input->settled) {
		uint32_t vm = vm_choose(plan, pool, BUNDLE_INDEX_NONE);

		if (vm == BUNDLE_INDEX_NONE)
			break;
		row_serve(plan, vm, pool, PLACEMENT_REASON_FILL);
		missing--;
	}
}

static void pool_draw(struct plan *plan, uint32_t pool, uint32_t from)
{
	uint32_t missing = pool_missing(plan, pool);
	enum placement_reason reason = pool_has_failed(plan, pool)
					       ? PLACEMENT_REASON_FAILURE
					       : PLACEMENT_REASON_DEMAND;

	while (missing > 0) {
		uint32_t vm = vm_choose(plan, pool, from);
		struct disruption_verdict room;

		if (vm == BUNDLE_INDEX_NONE)
			break;
		room = disruption_check(plan->bundle, plan->view,
					plan->input->healthy, from, vm);
		row_drain(plan, vm, pool, reason, &room);
		missing--;
	}
}

/* Gives VMs that a pool has too many of to where they are missing. */
static void pool_give_back(struct plan *plan, uint32_t pool)
{
	uint32_t size = plan->sizes[pool];

	for (uint32_t i = plan->view->row_count; i-- > 0;) {
		const struct placement_row *row = &plan->view->rows[i];
		struct disruption_verdict room;
		uint32_t next;

		if (size <= plan->input->wanted[pool])
			return;
		if (row->pool != pool ||
		    row->state != PLACEMENT_STATE_SERVING ||
		    vm_is_changed(plan, i) || plan->input->vms[i].failed ||
		    plan->input->vms[i].within_min_stay)
			continue;
		next = next_pool_choose(plan, i);
		room = disruption_check(plan->bundle, plan->view,
					plan->input->healthy, pool, i);
		if (next == BUNDLE_INDEX_NONE || next == pool || !room.allowed)
			continue;
		row_drain(plan, i, next, PLACEMENT_REASON_RETURN, &room);
		size--;
	}
}

static void pools_plan(struct plan *plan)
{
	uint32_t spare = spare_pool(plan);

	for (uint32_t i = 0; i < plan->bundle->pool_count; i++) {
		if (i != spare)
			pool_fill(plan, i);
	}
	for (uint32_t i = 0; i < plan->bundle->pool_count; i++) {
		if (i != spare)
			pool_give_back(plan, i);
	}
	if (spare == BUNDLE_INDEX_NONE)
		return;
	for (uint32_t i = 0; i < plan->bundle->pool_count; i++) {
		if (i != spare)
			pool_draw(plan, i, spare);
	}
	pool_fill(plan, spare);
}

void planner_run(const struct planner_input *input, struct placement *view,
		 GArray *changes)
{
	g_autofree uint32_t *sizes =
		g_new0(uint32_t, input->bundle->pool_count + 1);
	struct plan plan = { input, input->bundle, view, changes, sizes };

	g_assert(view->row_count == input->bundle->vm_count);
	sizes_count(&plan);
	stages_advance(&plan);
	not_allowed_drain(&plan);
	failed_drain(&plan);
	pools_plan(&plan);
}
