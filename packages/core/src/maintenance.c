#include "maintenance.h"

#include <string.h>

#define MINUTES_OF_DAY 1440u

static const char *const status_names[MAINTENANCE_STATUS_COUNT] = {
	[MAINTENANCE_STATUS_IDLE] = "idle",
	[MAINTENANCE_STATUS_RUNNING] = "running",
	[MAINTENANCE_STATUS_HALTED] = "halted",
	[MAINTENANCE_STATUS_DONE] = "done",
};

static const char *const reason_names[MAINTENANCE_REASON_COUNT] = {
	[MAINTENANCE_REASON_NONE] = "none",
	[MAINTENANCE_REASON_WINDOW_CLOSED] = "window-closed",
	[MAINTENANCE_REASON_MAX_PARALLEL] = "max-parallel",
	[MAINTENANCE_REASON_BUDGET] = "budget",
	[MAINTENANCE_REASON_NOT_READY] = "not-ready",
	[MAINTENANCE_REASON_MAX_FAILURES] = "max-failures",
	[MAINTENANCE_REASON_ALL_MAINTAINED] = "all-maintained",
};

/* Arguments of a call of maintenance_step(). */
struct step {
	const struct maintenance_input *input;
	const struct bundle_wave *wave;
	struct placement *placement;
	GArray *changes;
	struct maintenance_record *record;
};

const char *maintenance_status_name(enum maintenance_status status)
{
	g_assert(status < MAINTENANCE_STATUS_COUNT);
	return status_names[status];
}

const char *maintenance_reason_name(enum maintenance_reason reason)
{
	g_assert(reason < MAINTENANCE_REASON_COUNT);
	return reason_names[reason];
}

bool maintenance_window_is_open(const struct bundle_wave *wave,
				uint64_t now_min, uint64_t *opened_min)
{
	uint64_t now = now_min % MINUTES_OF_DAY;
	uint64_t since_open =
		(now + MINUTES_OF_DAY - wave->opens_minute) % MINUTES_OF_DAY;
	uint64_t length = wave->closes_minute > wave->opens_minute
				  ? wave->closes_minute - wave->opens_minute
				  : wave->closes_minute + MINUTES_OF_DAY -
					    wave->opens_minute;

	*opened_min = now_min - MIN(since_open, now_min);
	return since_open < length;
}

bool maintenance_is_in_progress(const struct placement_row *row)
{
	return row->reason == PLACEMENT_REASON_WAVE &&
	       row->state != PLACEMENT_STATE_SERVING;
}

bool maintenance_covers(const struct bundle_wave *wave,
			const struct placement_row *row)
{
	/* A failed VM that was taken out of service needs no maintenance. */
	if (row->reason == PLACEMENT_REASON_FAILURE &&
	    row->state != PLACEMENT_STATE_SERVING &&
	    row->next_pool == BUNDLE_INDEX_NONE)
		return false;
	for (uint32_t i = 0; i < wave->pool_count; i++) {
		if (row->pool == wave->pools[i])
			return true;
	}
	return false;
}

bool maintenance_record_equals(const struct maintenance_record *a,
			       const struct maintenance_record *b)
{
	return a->roll == b->roll && a->window_min == b->window_min &&
	       a->status == b->status && a->reason == b->reason &&
	       a->maintained == b->maintained && a->total == b->total &&
	       a->failed_count == b->failed_count &&
	       memcmp(a->failed, b->failed,
		      a->failed_count * sizeof(a->failed[0])) == 0;
}

void maintenance_record_add_failure(struct maintenance_record *record,
				    uint32_t vm)
{
	for (uint32_t i = 0; i < record->failed_count; i++) {
		if (record->failed[i] == vm)
			return;
	}
	if (record->failed_count < MAINTENANCE_FAILED_MAX)
		record->failed[record->failed_count++] = vm;
}

/* Resets the record when a window opens or, after a halt, for a new roll. */
static void record_reset(const struct step *step, uint64_t opened_min)
{
	struct maintenance_record *record = step->record;
	bool halted = record->status == MAINTENANCE_STATUS_HALTED;

	if (halted && record->roll == step->input->roll)
		return;
	if (!halted && record->window_min == opened_min) {
		record->roll = step->input->roll;
		return;
	}
	*record = (struct maintenance_record){
		.roll = step->input->roll,
		.window_min = opened_min,
		.status = MAINTENANCE_STATUS_RUNNING,
	};
}

static bool vm_is_done(const struct step *step, const struct placement_row *row)
{
	return row->maintained_min != 0 &&
	       row->maintained_min >= step->record->window_min;
}

/*
 * Counts the VMs of the wave and records those that fail while it runs. Returns
 * the number of VMs under maintenance.
 */
static uint32_t vms_count(const struct step *step)
{
	uint32_t in_progress = 0;

	step->record->total = 0;
	step->record->maintained = 0;
	for (uint32_t i = 0; i < step->placement->row_count; i++) {
		const struct placement_row *row = &step->placement->rows[i];

		if (!maintenance_covers(step->wave, row))
			continue;
		step->record->total++;
		if (vm_is_done(step, row))
			step->record->maintained++;
		if (maintenance_is_in_progress(row))
			in_progress++;
		else if (step->input->vms[i].failed)
			maintenance_record_add_failure(step->record, i);
	}
	return in_progress;
}

/* Counts by zone the VMs that are or were under maintenance in this window. */
static GHashTable *zones_count(const struct step *step)
{
	GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < step->placement->row_count; i++) {
		const struct placement_row *row = &step->placement->rows[i];
		char *zone = step->input->bundle->vms[i].availability_zone;
		guint count;

		if (!maintenance_covers(step->wave, row) ||
		    (!vm_is_done(step, row) &&
		     !maintenance_is_in_progress(row)))
			continue;
		count = GPOINTER_TO_UINT(g_hash_table_lookup(zones, zone));
		g_hash_table_insert(zones, zone, GUINT_TO_POINTER(count + 1));
	}
	return zones;
}

static bool vm_is_ready(const struct step *step, uint32_t vm)
{
	const struct placement_row *row = &step->placement->rows[vm];

	return maintenance_covers(step->wave, row) && !vm_is_done(step, row) &&
	       row->state == PLACEMENT_STATE_SERVING &&
	       step->input->healthy[vm] &&
	       row->changed <= step->placement->number;
}

/*
 * Chooses a VM in the zone with the fewest VMs maintained so far. If there is
 * none, returns BUNDLE_INDEX_NONE and sets reason.
 */
static uint32_t vm_choose(const struct step *step,
			  struct disruption_verdict *verdict,
			  enum maintenance_reason *reason)
{
	const struct bundle *bundle = step->input->bundle;
	uint32_t best = BUNDLE_INDEX_NONE;
	uint32_t fewest = UINT32_MAX;
	g_autoptr(GHashTable) zones = zones_count(step);

	*reason = MAINTENANCE_REASON_NOT_READY;
	for (uint32_t i = 0; i < step->placement->row_count; i++) {
		struct disruption_verdict candidate_verdict;
		uint32_t disrupted;

		if (!vm_is_ready(step, i))
			continue;
		disrupted = GPOINTER_TO_UINT(g_hash_table_lookup(
			zones, bundle->vms[i].availability_zone));
		if (disrupted >= fewest)
			continue;
		candidate_verdict = disruption_check(
			bundle, step->placement, step->input->healthy,
			step->placement->rows[i].pool, i);
		if (!candidate_verdict.allowed) {
			*reason = MAINTENANCE_REASON_BUDGET;
			continue;
		}
		best = i;
		fewest = disrupted;
		*verdict = candidate_verdict;
	}
	return best;
}

static void vm_start(const struct step *step, uint32_t vm,
		     const struct disruption_verdict *verdict)
{
	struct placement_row row = step->placement->rows[vm];

	row.state = PLACEMENT_STATE_DRAINING;
	row.next_pool = BUNDLE_INDEX_NONE;
	row.reason = PLACEMENT_REASON_WAVE;
	planner_row_set(step->placement, step->changes, vm, &row, verdict);
}

static void vms_start(const struct step *step, uint32_t in_progress)
{
	struct maintenance_record *record = step->record;

	for (uint32_t i = 0; i < MAINTENANCE_STARTS_MAX; i++) {
		struct disruption_verdict verdict;
		uint32_t vm;

		record->reason = MAINTENANCE_REASON_MAX_PARALLEL;
		if (in_progress >= step->wave->max_parallel)
			return;
		vm = vm_choose(step, &verdict, &record->reason);
		if (vm == BUNDLE_INDEX_NONE)
			return;
		vm_start(step, vm, &verdict);
		in_progress++;
	}
}

static void wave_advance(const struct step *step)
{
	struct maintenance_record *record = step->record;
	uint32_t in_progress = vms_count(step);

	if (record->failed_count >= step->wave->max_failures) {
		record->status = MAINTENANCE_STATUS_HALTED;
		record->reason = MAINTENANCE_REASON_MAX_FAILURES;
	} else if (record->total > 0 && record->maintained == record->total) {
		record->status = MAINTENANCE_STATUS_DONE;
		record->reason = MAINTENANCE_REASON_ALL_MAINTAINED;
	} else {
		record->status = MAINTENANCE_STATUS_RUNNING;
		vms_start(step, in_progress);
	}
}

void maintenance_step(const struct maintenance_input *input,
		      struct placement *placement, GArray *changes,
		      struct maintenance_record *record)
{
	const struct step step = { input, &input->bundle->waves[input->wave],
				   placement, changes, record };
	uint64_t opened_min;

	if (!maintenance_window_is_open(step.wave, input->now_min,
					&opened_min)) {
		if (record->status == MAINTENANCE_STATUS_RUNNING) {
			record->status = MAINTENANCE_STATUS_IDLE;
			record->reason = MAINTENANCE_REASON_WINDOW_CLOSED;
		}
		return;
	}
	record_reset(&step, opened_min);
	if (record->status == MAINTENANCE_STATUS_IDLE)
		record->status = MAINTENANCE_STATUS_RUNNING;
	if (record->status != MAINTENANCE_STATUS_HALTED)
		wave_advance(&step);
}

void maintenance_vm_done(const struct bundle *bundle,
			 struct placement *placement, uint32_t vm,
			 uint64_t now_min, GArray *changes)
{
	struct placement_row row = placement->rows[vm];

	row.reason = PLACEMENT_REASON_WAVE_DONE;
	row.maintained_min = now_min;
	row.next_pool = BUNDLE_INDEX_NONE;
	if (row.pool != BUNDLE_INDEX_NONE &&
	    bundle_pool_allows(&bundle->pools[row.pool], vm))
		row.state = PLACEMENT_STATE_SERVING;
	else
		row.pool = BUNDLE_INDEX_NONE;
	planner_row_set(placement, changes, vm, &row, NULL);
}

void maintenance_vm_give_up(struct placement *placement, uint32_t vm,
			    GArray *changes)
{
	struct placement_row row = placement->rows[vm];

	row.reason = PLACEMENT_REASON_FAILURE;
	planner_row_set(placement, changes, vm, &row, NULL);
}
