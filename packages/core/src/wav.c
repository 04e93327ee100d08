#include "wav.h"

#include <string.h>

#define MINUTES_OF_DAY 1440u

static const char *const status_names[WAV_STATUS_COUNT] = {
	[WAV_STATUS_IDLE] = "idle",
	[WAV_STATUS_RUNNING] = "running",
	[WAV_STATUS_HALTED] = "halted",
	[WAV_STATUS_DONE] = "done",
};

static const char *const reason_names[WAV_REASON_COUNT] = {
	[WAV_REASON_NONE] = "none",
	[WAV_REASON_WINDOW_CLOSED] = "window-closed",
	[WAV_REASON_MAX_PARALLEL] = "max-parallel",
	[WAV_REASON_BUDGET] = "budget",
	[WAV_REASON_NOT_READY] = "not-ready",
	[WAV_REASON_MAX_FAILURES] = "max-failures",
	[WAV_REASON_ALL_MAINTAINED] = "all-maintained",
};

/* A step being made. */
struct step {
	const struct wav_input *input;
	const struct bundle_wave *wave;
	struct plc_view *view;
	GArray *changes;
	struct wav_record *record;
};

const char *wav_status_name(enum wav_status status)
{
	g_assert(status < WAV_STATUS_COUNT);
	return status_names[status];
}

const char *wav_reason_name(enum wav_reason reason)
{
	g_assert(reason < WAV_REASON_COUNT);
	return reason_names[reason];
}

bool wav_window_is_open(const struct bundle_wave *wave, uint64_t now_min,
			uint64_t *opened_min)
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

bool wav_vm_is_maintained(const struct plc_row *row)
{
	return row->reason == PLC_REASON_WAVE &&
	       row->state != PLC_STATE_SERVING;
}

bool wav_covers(const struct bundle_wave *wave, const struct plc_row *row)
{
	/* A VM that failed and was taken out is nothing to be maintained. */
	if (row->reason == PLC_REASON_FAILURE &&
	    row->state != PLC_STATE_SERVING &&
	    row->next_pool == BUNDLE_INDEX_NONE)
		return false;
	for (uint32_t i = 0; i < wave->pool_count; i++) {
		if (row->pool == wave->pools[i])
			return true;
	}
	return false;
}

bool wav_record_equals(const struct wav_record *a, const struct wav_record *b)
{
	return a->roll == b->roll && a->window_min == b->window_min &&
	       a->status == b->status && a->reason == b->reason &&
	       a->maintained == b->maintained && a->total == b->total &&
	       a->failed_count == b->failed_count &&
	       memcmp(a->failed, b->failed,
		      a->failed_count * sizeof(a->failed[0])) == 0;
}

void wav_record_failure(struct wav_record *record, uint32_t vm)
{
	for (uint32_t i = 0; i < record->failed_count; i++) {
		if (record->failed[i] == vm)
			return;
	}
	if (record->failed_count < WAV_FAILED_MAX)
		record->failed[record->failed_count++] = vm;
}

/* Starts the record anew for a new window, and after a halt for a new roll. */
static void record_renew(const struct step *step, uint64_t opened_min)
{
	struct wav_record *record = step->record;
	bool halted = record->status == WAV_STATUS_HALTED;

	if (halted && record->roll == step->input->roll)
		return;
	if (!halted && record->window_min == opened_min) {
		record->roll = step->input->roll;
		return;
	}
	*record = (struct wav_record){
		.roll = step->input->roll,
		.window_min = opened_min,
		.status = WAV_STATUS_RUNNING,
	};
}

static bool is_done(const struct step *step, const struct plc_row *row)
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
		const struct plc_row *row = &step->view->rows[i];

		if (!wav_covers(step->wave, row))
			continue;
		step->record->total++;
		if (is_done(step, row))
			step->record->maintained++;
		if (wav_vm_is_maintained(row))
			under_way++;
		else if (step->input->vms[i].failed)
			wav_record_failure(step->record, i);
	}
	return under_way;
}

/* Counts by zone the VMs that this wave has disrupted or maintained. */
static GHashTable *zones_count(const struct step *step)
{
	GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < step->view->row_count; i++) {
		const struct plc_row *row = &step->view->rows[i];
		char *zone = step->input->bundle->vms[i].availability_zone;
		guint count;

		if (!wav_covers(step->wave, row) ||
		    (!is_done(step, row) && !wav_vm_is_maintained(row)))
			continue;
		count = GPOINTER_TO_UINT(g_hash_table_lookup(zones, zone));
		g_hash_table_insert(zones, zone, GUINT_TO_POINTER(count + 1));
	}
	return zones;
}

static bool vm_is_ready(const struct step *step, uint32_t vm)
{
	const struct plc_row *row = &step->view->rows[vm];

	return wav_covers(step->wave, row) && !is_done(step, row) &&
	       row->state == PLC_STATE_SERVING && step->input->fit[vm] &&
	       row->changed <= step->view->number;
}

/* Chooses a VM in the zone that has had fewest; says why there is none. */
static uint32_t vm_choose(const struct step *step, struct bud_room *room,
			  enum wav_reason *reason)
{
	const struct bundle *bundle = step->input->bundle;
	uint32_t best = BUNDLE_INDEX_NONE;
	uint32_t fewest = UINT32_MAX;
	g_autoptr(GHashTable) zones = zones_count(step);

	*reason = WAV_REASON_NOT_READY;
	for (uint32_t i = 0; i < step->view->row_count; i++) {
		struct bud_room asked;
		uint32_t progress;

		if (!vm_is_ready(step, i))
			continue;
		progress = GPOINTER_TO_UINT(g_hash_table_lookup(
			zones, bundle->vms[i].availability_zone));
		if (progress >= fewest)
			continue;
		asked = bud_check(bundle, step->view, step->input->fit,
				  step->view->rows[i].pool, i);
		if (!asked.allowed) {
			*reason = WAV_REASON_BUDGET;
			continue;
		}
		best = i;
		fewest = progress;
		*room = asked;
	}
	return best;
}

static void vm_start(const struct step *step, uint32_t vm,
		     const struct bud_room *room)
{
	struct plc_row row = step->view->rows[vm];

	row.state = PLC_STATE_DRAINING;
	row.next_pool = BUNDLE_INDEX_NONE;
	row.reason = PLC_REASON_WAVE;
	pln_row_set(step->view, step->changes, vm, &row, room);
}

static void vms_start(const struct step *step, uint32_t under_way)
{
	struct wav_record *record = step->record;

	for (uint32_t i = 0; i < WAV_STARTS_MAX; i++) {
		struct bud_room room;
		uint32_t vm;

		record->reason = WAV_REASON_MAX_PARALLEL;
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
	struct wav_record *record = step->record;
	uint32_t under_way = vms_survey(step);

	if (record->failed_count >= step->wave->max_failures) {
		record->status = WAV_STATUS_HALTED;
		record->reason = WAV_REASON_MAX_FAILURES;
	} else if (record->total > 0 && record->maintained == record->total) {
		record->status = WAV_STATUS_DONE;
		record->reason = WAV_REASON_ALL_MAINTAINED;
	} else {
		record->status = WAV_STATUS_RUNNING;
		vms_start(step, under_way);
	}
}

void wav_step(const struct wav_input *input, struct plc_view *view,
	      GArray *changes, struct wav_record *record)
{
	const struct step step = { input, &input->bundle->waves[input->wave],
				   view, changes, record };
	uint64_t opened_min;

	if (!wav_window_is_open(step.wave, input->now_min, &opened_min)) {
		if (record->status == WAV_STATUS_RUNNING) {
			record->status = WAV_STATUS_IDLE;
			record->reason = WAV_REASON_WINDOW_CLOSED;
		}
		return;
	}
	record_renew(&step, opened_min);
	if (record->status == WAV_STATUS_IDLE)
		record->status = WAV_STATUS_RUNNING;
	if (record->status != WAV_STATUS_HALTED)
		run(&step);
}

void wav_vm_done(const struct bundle *bundle, struct plc_view *view,
		 uint32_t vm, uint64_t now_min, GArray *changes)
{
	struct plc_row row = view->rows[vm];

	row.reason = PLC_REASON_WAVE_DONE;
	row.maintained_min = now_min;
	row.next_pool = BUNDLE_INDEX_NONE;
	if (row.pool != BUNDLE_INDEX_NONE &&
	    bundle_pool_allows(&bundle->pools[row.pool], vm))
		row.state = PLC_STATE_SERVING;
	else
		row.pool = BUNDLE_INDEX_NONE;
	pln_row_set(view, changes, vm, &row, NULL);
}

void wav_vm_give_up(struct plc_view *view, uint32_t vm, GArray *changes)
{
	struct plc_row row = view->rows[vm];

	row.reason = PLC_REASON_FAILURE;
	pln_row_set(view, changes, vm, &row, NULL);
}
