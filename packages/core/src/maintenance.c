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

/* A step being made. */
struct step {
	const struct maintenance_input *input;
	const struct bundle_wave *wave;
	struct placement *view;
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
	/* A VM that failed and was taken out is nothing to be maintained. */
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

/* Starts the record anew for a new window, and after a halt for a new roll. */
static void record_renew(const struct step *step, uint64_t opened_min)
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

static bool is_done(const struct step *step, const struct placement_row *row)
{
	return row->maintained_min != 0 &&
	       row->maintained_min >= step->record->window_min;
}

/* Counts the wave's VMs and collects those that fail while it runs. */
static uint32_t vms_survey(const struct step *step)
{
	uint32_t under_way = 0;

	step->record->total = 0;
	step->record->maintained = 0;
	for (uint32_t i = 0; i < step->view->row_count; i++) {
		const struct placement_row *row = &step->view->rows[i];

		if (!maintenance_covers(step->wave, row))
			continue;
		step->record->total++;
		if (is_done(step, row))
			step->record->maintained++;
		if (maintenance_is_in_progress(row))
			under_way++;
		else if (step->input->vms[i].failed)
			maintenance_record_add_failure(step->record, i);
	}
	return under_way;
}

/* Counts by zone the VMs that this wave has disrupted or maintained. */
static GHashTable *zones_count(const struct step *step)
{
	GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < step->view->row_count; i++) {
		const struct placement_row *row = &step->view->rows[i];
		char *zone = step->input->bundle->vms[i].availability_zone;
		guint count;

		if (!maintenance_covers(step->wave, row) ||
		    (!is_done(step, row) && !maintenance_is_in_progress(row)))
			continue;
		count = GPOINTER_TO_UINT(g_hash_table_lookup(zones, zone));
		g_hash_table_insert(zones, zone, GUINT_TO_POINTER(count + 1));
	}
	return zones;
}

static bool vm_is_ready(const struct step *step, uint32_t vm)
{
	const struct placement_row *row = &step->view->rows[vm];

	return maintenance_covers(step->wave, row) && !is_done(step, row) &&
	       row->state == PLACEMENT_STATE_SERVING &&
	       step->input->healthy[vm] && row->changed <= step->view->number;
}

/* Chooses a VM in the zone that has had fewest; says why there is none. */
static uint32_t vm_choose(const struct step *step,
			  struct disruption_verdict *room,
			  enum maintenance_reason *reason)
{
	const struct bundle *bundle = step->input->bundle;
	uint32_t best = BUNDLE_INDEX_NONE;
	uint32_t fewest = UINT32_MAX;
	g_autoptr(GHashTable) zones = zones_count(step);

	*reason = MAINTENANCE_REASON_NOT_READY;
	for (uint32_t i = 0; i < step->view->row_count; i++) {
		struct disruption_verdict asked;
		uint32_t progress;

		if (!vm_is_ready(step, i))
			continue;
		progress = GPOINTER_TO_UINT(g_hash_table_lookup(
			zones, bundle->vms[i].availability_zone));
		if (progress >= fewest)
			continue;
		asked = disruption_check(bundle, step->view,
					 step->input->healthy,
					 step->view->rows[i].pool, i);
		if (!asked.allowed) {
			*reason = MAINTENANCE_REASON_BUDGET;
			continue;
		}
		best = i;
		fewest = progress;
		*room = asked;
	}
	return best;
}

static void vm_start(const struct step *step, uint32_t vm,
		     const struct disruption_verdict *room)
{
	struct placement_row row = step->view->rows[vm];

	row.state = PLACEMENT_STATE_DRAINING;
	row.next_pool = BUNDLE_INDEX_NONE;
	row.reason = PLACEMENT_REASON_WAVE;
	planner_row_set(step->view, step->changes, vm, &row, room);
}

static void vms_start(const struct step *step, uint32_t under_way)
{
	struct maintenance_record *record = step->record;

	for (uint32_t i = 0; i < MAINTENANCE_STARTS_MAX; i++) {
		struct disruption_verdict room;
		uint32_t vm;

		record->reason = MAINTENANCE_REASON_MAX_PARALLEL;
		if (under_way >= step->wave->max_parallel)
			return;
		vm = vm_choose(step, &room, &record->reason);
		if (vm == BUNDLE_INDEX_NONE)
			return;
		vm_start(step, vm, &room);
		under_way++;
	}
}

static void run(const struct step *step)
{
	struct maintenance_record *record = step->record;
	uint32_t under_way = vms_survey(step);

	if (record->failed_count >= step->wave->max_failures) {
		record->status = MAINTENANCE_STATUS_HALTED;
		record->reason = MAINTENANCE_REASON_MAX_FAILURES;
	} else if (record->total > 0 && record->maintained == record->total) {
		record->status = MAINTENANCE_STATUS_DONE;
		record->reason = MAINTENANCE_REASON_ALL_MAINTAINED;
	} else {
		record->status = MAINTENANCE_STATUS_RUNNING;
		vms_start(step, under_way);
	}
}

void maintenance_step(const struct maintenance_input *input,
		      struct placement *view, GArray *changes,
		      struct maintenance_record *record)
{
	const struct step step = { input, &input->bundle->waves[input->wave],
				   view, changes, record };
	uint64_t opened_min;

	if (!maintenance_window_is_open(step.wave, input->now_min,
					&opened_min)) {
		if (record->status == MAINTENANCE_STATUS_RUNNING) {
			record->status = MAINTENANCE_STATUS_IDLE;
			record->reason = MAINTENANCE_REASON_WINDOW_CLOSED;
		}
		return;
	}
	record_renew(&step, opened_min);
	if (record->status == MAINTENANCE_STATUS_IDLE)
		record->status = MAINTENANCE_STATUS_RUNNING;
	if (record->status != MAINTENANCE_STATUS_HALTED)
		run(&step);
}

void maintenance_vm_done(const struct bundle *bundle, struct placement *view,
			 uint32_t vm, uint64_t now_min, GArray *changes)
{
	struct placement_row row = view->rows[vm];

	row.reason = PLACEMENT_REASON_WAVE_DONE;
	row.maintained_min = now_min;
	row.next_pool = BUNDLE_INDEX_NONE;
	if (row.pool != BUNDLE_INDEX_NONE &&
	    bundle_pool_allows(&bundle->pools[row.pool], vm))
		row.state = PLACEMENT_STATE_SERVING;
	else
		row.pool = BUNDLE_INDEX_NONE;
	planner_row_set(view, changes, vm, &row, NULL);
}

void maintenance_vm_give_up(struct placement *view, uint32_t vm,
			    GArray *changes)
{
	struct placement_row row = view->rows[vm];

	row.reason = PLACEMENT_REASON_FAILURE;
	planner_row_set(view, changes, vm, &row, NULL);
}
