#include "planner.h"

#include <string.h>

/* State of the planner while it makes a plan. */
struct plan {
	const struct planner_input *input;
	const struct bundle *bundle;
	struct placement *placement;
	GArray *changes;
	/* number of VMs of each pool, see sizes_count() */
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

bool planner_row_set(struct placement *placement, GArray *changes, uint32_t vm,
		     const struct placement_row *row,
		     const struct disruption_verdict *verdict)
{
	struct planner_change change = { .vm = vm,
					 .before = placement->rows[vm],
					 .after = *row,
					 .budget_checked = verdict != NULL };

	if (placement->rows[vm].changed > placement->number)
		return false;
	if (verdict)
		change.verdict = *verdict;
	change.after.changed = placement->number + 1;
	placement->rows[vm] = change.after;
	g_array_append_val(changes, change);
	return true;
}

static bool vm_is_changed(const struct plan *plan, uint32_t vm)
{
	return plan->placement->rows[vm].changed > plan->placement->number;
}

static bool pool_allows(const struct plan *plan, uint32_t pool, uint32_t vm)
{
	return pool != BUNDLE_INDEX_NONE &&
	       bundle_pool_allows(&plan->bundle->pools[pool], vm);
}

/*
 * Counts for each pool its VMs and those that are being moved to it, except VMs
 * that failed or drain from it. A VM under maintenance counts for its pool.
 */
static void sizes_count(struct plan *plan)
{
	memset(plan->sizes, 0, plan->bundle->pool_count * sizeof(uint32_t));
	for (uint32_t i = 0; i < plan->placement->row_count; i++) {
		const struct placement_row *row = &plan->placement->rows[i];
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
		       const struct disruption_verdict *verdict)
{
	if (planner_row_set(plan->placement, plan->changes, vm, row, verdict))
		sizes_count(plan);
}

static uint32_t pool_shortage(const struct plan *plan, uint32_t pool)
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

/*
 * Returns the pool with the largest shortage that the VM is allowed to serve,
 * else the spare pool, else BUNDLE_INDEX_NONE.
 */
static uint32_t next_pool_choose(const struct plan *plan, uint32_t vm)
{
	uint32_t spare = spare_pool(plan);
	uint32_t best = BUNDLE_INDEX_NONE;
	uint32_t largest_shortage = 0;

	for (uint32_t i = 0; i < plan->bundle->pool_count; i++) {
		uint32_t shortage = pool_shortage(plan, i);

		if (i != spare && shortage > largest_shortage &&
		    pool_allows(plan, i, vm)) {
			best = i;
			largest_shortage = shortage;
		}
	}
	if (best == BUNDLE_INDEX_NONE && pool_allows(plan, spare, vm))
		best = spare;
	return best;
}

static void row_drain(struct plan *plan, uint32_t vm, uint32_t next_pool,
		      enum placement_reason reason,
		      const struct disruption_verdict *verdict)
{
	struct placement_row row = plan->placement->rows[vm];

	row.state = PLACEMENT_STATE_DRAINING;
	row.next_pool = next_pool;
	row.reason = reason;
	row_change(plan, vm, &row, verdict);
}

static void row_serve(struct plan *plan, uint32_t vm, uint32_t pool,
		      enum placement_reason reason)
{
	struct placement_row row = plan->placement->rows[vm];

	row.state = PLACEMENT_STATE_SERVING;
	row.pool = pool;
	row.next_pool = BUNDLE_INDEX_NONE;
	row.reason = reason;
	row_change(plan, vm, &row, NULL);
}

static void row_release(struct plan *plan, uint32_t vm)
{
	struct placement_row row = plan->placement->rows[vm];

	row.state = PLACEMENT_STATE_STOPPED;
	row.pool = BUNDLE_INDEX_NONE;
	row.next_pool = BUNDLE_INDEX_NONE;
	row_change(plan, vm, &row, NULL);
}

static void row_stop(struct plan *plan, uint32_t vm)
{
	struct placement_row row = plan->placement->rows[vm];

	row.state = PLACEMENT_STATE_STOPPED;
	row_change(plan, vm, &row, NULL);
}

static void stopped_advance(struct plan *plan, uint32_t vm)
{
	const struct placement_row *row = &plan->placement->rows[vm];

	if (row->reason == PLACEMENT_REASON_WAVE || plan->input->vms[vm].failed)
		return;
	if (pool_allows(plan, row->next_pool, vm))
		row_serve(plan, vm, row->next_pool, row->reason);
	else
		row_release(plan, vm);
}

/* Advances the rows that have completed their stage to the next one. */
static void stages_advance(struct plan *plan)
{
	for (uint32_t i = 0; i < plan->placement->row_count; i++) {
		const struct placement_row *row = &plan->placement->rows[i];

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
	return pool_allows(plan, plan->placement->rows[vm].pool, vm);
}

/* Drains VMs that the bundle no longer allows to serve their pool. */
static void disallowed_drain(struct plan *plan)
{
	for (uint32_t i = 0; i < plan->placement->row_count; i++) {
		const struct placement_row *row = &plan->placement->rows[i];
		struct disruption_verdict verdict = { .allowed = true };

		if (row->state != PLACEMENT_STATE_SERVING ||
		    vm_is_changed(plan, i) || row_is_allowed(plan, i))
			continue;
		if (row->pool != BUNDLE_INDEX_NONE)
			verdict = disruption_check(
				plan->bundle, plan->placement,
				plan->input->healthy, row->pool, i);
		if (verdict.allowed)
			row_drain(plan, i, next_pool_choose(plan, i),
				  PLACEMENT_REASON_NOT_ALLOWED, &verdict);
	}
}

static void failed_drain(struct plan *plan)
{
	for (uint32_t i = 0; i < plan->placement->row_count; i++) {
		const struct placement_row *row = &plan->placement->rows[i];
		struct disruption_verdict verdict;

		if (!plan->input->vms[i].failed ||
		    row->pool == BUNDLE_INDEX_NONE ||
		    row->state != PLACEMENT_STATE_SERVING ||
		    vm_is_changed(plan, i))
			continue;
		verdict = disruption_check_failed(plan->bundle, plan->placement,
						  row->pool, i);
		if (verdict.allowed)
			row_drain(plan, i, BUNDLE_INDEX_NONE,
				  PLACEMENT_REASON_FAILURE, &verdict);
	}
}

/*
 * Counts by availability zone the VMs of a pool and those that are being moved
 * to it. Failed VMs do not count, so that they are replaced in their zone.
 */
static GHashTable *zones_count(const struct plan *plan, uint32_t pool)
{
	GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < plan->placement->row_count; i++) {
		const struct placement_row *row = &plan->placement->rows[i];
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

/*
 * Returns whether a VM can be taken from a pool, or if from is
 * BUNDLE_INDEX_NONE, whether it is free.
 */
static bool vm_is_available(const struct plan *plan, uint32_t vm, uint32_t from)
{
	const struct placement_row *row = &plan->placement->rows[vm];

	if (row->pool != from || vm_is_changed(plan, vm) ||
	    !plan->input->healthy[vm])
		return false;
	if (from == BUNDLE_INDEX_NONE)
		return placement_row_is_free(row);
	return row->state == PLACEMENT_STATE_SERVING &&
	       disruption_check(plan->bundle, plan->placement,
				plan->input->healthy, from, vm)
		       .allowed;
}

/*
 * Chooses a VM for a pool, in the zone where the pool has the fewest VMs.
 * Returns BUNDLE_INDEX_NONE if there is none.
 */
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

		if (size >= fewest || !vm_is_available(plan, vm, from))
			continue;
		best = vm;
		fewest = size;
	}
	return best;
}

static bool pool_has_failed(const struct plan *plan, uint32_t pool)
{
	for (uint32_t i = 0; i < plan->placement->row_count; i++) {
		const struct placement_row *row = &plan->placement->rows[i];

		if (row->pool == pool &&
		    (plan->input->vms[i].failed ||
		     row->reason == PLACEMENT_REASON_FAILURE))
			return true;
	}
	return false;
}

static void pool_fill(struct plan *plan, uint32_t pool)
{
	uint32_t shortage = pool_shortage(plan, pool);

	while (shortage > 0 && plan->input->settled) {
		uint32_t vm = vm_choose(plan, pool, BUNDLE_INDEX_NONE);

		if (vm == BUNDLE_INDEX_NONE)
			break;
		row_serve(plan, vm, pool, PLACEMENT_REASON_FILL);
		shortage--;
	}
}

static void pool_grow(struct plan *plan, uint32_t pool, uint32_t from)
{
	uint32_t shortage = pool_shortage(plan, pool);
	enum placement_reason reason = pool_has_failed(plan, pool)
					       ? PLACEMENT_REASON_FAILURE
					       : PLACEMENT_REASON_DEMAND;

	while (shortage > 0) {
		uint32_t vm = vm_choose(plan, pool, from);
		struct disruption_verdict verdict;

		if (vm == BUNDLE_INDEX_NONE)
			break;
		verdict = disruption_check(plan->bundle, plan->placement,
					   plan->input->healthy, from, vm);
		row_drain(plan, vm, pool, reason, &verdict);
		shortage--;
	}
}

/* Moves surplus VMs of a pool to pools with a shortage or the spare pool. */
static void pool_shrink(struct plan *plan, uint32_t pool)
{
	uint32_t size = plan->sizes[pool];

	for (uint32_t i = plan->placement->row_count; i-- > 0;) {
		const struct placement_row *row = &plan->placement->rows[i];
		struct disruption_verdict verdict;
		uint32_t next;

		if (size <= plan->input->wanted[pool])
			return;
		if (row->pool != pool ||
		    row->state != PLACEMENT_STATE_SERVING ||
		    vm_is_changed(plan, i) || plan->input->vms[i].failed ||
		    plan->input->vms[i].within_min_stay)
			continue;
		next = next_pool_choose(plan, i);
		verdict = disruption_check(plan->bundle, plan->placement,
					   plan->input->healthy, pool, i);
		if (next == BUNDLE_INDEX_NONE || next == pool ||
		    !verdict.allowed)
			continue;
		row_drain(plan, i, next, PLACEMENT_REASON_RETURN, &verdict);
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
			pool_shrink(plan, i);
	}
	if (spare == BUNDLE_INDEX_NONE)
		return;
	for (uint32_t i = 0; i < plan->bundle->pool_count; i++) {
		if (i != spare)
			pool_grow(plan, i, spare);
	}
	pool_fill(plan, spare);
}

void planner_run(const struct planner_input *input, struct placement *placement,
		 GArray *changes)
{
	g_autofree uint32_t *sizes =
		g_new0(uint32_t, input->bundle->pool_count + 1);
	struct plan plan = { input, input->bundle, placement, changes, sizes };

	g_assert(placement->row_count == input->bundle->vm_count);
	sizes_count(&plan);
	stages_advance(&plan);
	disallowed_drain(&plan);
	failed_drain(&plan);
	pools_plan(&plan);
}
