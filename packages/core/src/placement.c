#include "placement.h"

#include <string.h>

static const char *const state_names[PLACEMENT_STATE_COUNT] = {
	[PLACEMENT_STATE_SERVING] = "serving",
	[PLACEMENT_STATE_DRAINING] = "draining",
	[PLACEMENT_STATE_STOPPED] = "stopped",
};

static const char *const reason_names[PLACEMENT_REASON_COUNT] = {
	[PLACEMENT_REASON_NONE] = "none",
	[PLACEMENT_REASON_FILL] = "fill",
	[PLACEMENT_REASON_DEMAND] = "demand",
	[PLACEMENT_REASON_NOT_ALLOWED] = "not-allowed",
	[PLACEMENT_REASON_WAVE] = "wave",
	[PLACEMENT_REASON_WAVE_DONE] = "wave-done",
	[PLACEMENT_REASON_FAILURE] = "failure",
	[PLACEMENT_REASON_RETURN] = "return",
};

struct placement *placement_create(const struct bundle *bundle)
{
	struct placement *view = g_new0(struct placement, 1);

	view->row_count = bundle->vm_count;
	view->rows = g_new0(struct placement_row, bundle->vm_count + 1);
	for (uint32_t i = 0; i < view->row_count; i++) {
		view->rows[i].pool = BUNDLE_INDEX_NONE;
		view->rows[i].next_pool = BUNDLE_INDEX_NONE;
		view->rows[i].state = PLACEMENT_STATE_STOPPED;
	}
	return view;
}

struct placement *placement_copy(const struct placement *view)
{
	struct placement *copy = g_memdup2(view, sizeof(*view));

	quorum_electorate_copy(&view->electorate, &copy->electorate);
	copy->rows = g_new0(struct placement_row, view->row_count + 1);
	memcpy(copy->rows, view->rows,
	       view->row_count * sizeof(struct placement_row));
	return copy;
}

void placement_destroy(struct placement *view)
{
	if (!view)
		return;
	quorum_electorate_clear(&view->electorate);
	g_free(view->rows);
	g_free(view);
}

const char *placement_state_name(enum placement_state state)
{
	g_assert(state < PLACEMENT_STATE_COUNT);
	return state_names[state];
}

const char *placement_reason_name(enum placement_reason reason)
{
	g_assert(reason < PLACEMENT_REASON_COUNT);
	return reason_names[reason];
}

uint32_t placement_count(const struct placement *view, uint32_t pool,
			 enum placement_state state)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < view->row_count; i++) {
		if (view->rows[i].pool == pool && view->rows[i].state == state)
			count++;
	}
	return count;
}

bool placement_row_is_free(const struct placement_row *row)
{
	return row->pool == BUNDLE_INDEX_NONE &&
	       row->next_pool == BUNDLE_INDEX_NONE &&
	       row->state == PLACEMENT_STATE_STOPPED &&
	       row->reason != PLACEMENT_REASON_WAVE;
}
