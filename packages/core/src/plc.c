#include "plc.h"

#include <string.h>

static const char *const state_names[PLC_STATE_COUNT] = {
	[PLC_STATE_SERVING] = "serving",
	[PLC_STATE_DRAINING] = "draining",
	[PLC_STATE_STOPPED] = "stopped",
};

static const char *const reason_names[PLC_REASON_COUNT] = {
	[PLC_REASON_NONE] = "none",
	[PLC_REASON_FILL] = "fill",
	[PLC_REASON_DEMAND] = "demand",
	[PLC_REASON_NOT_ALLOWED] = "not-allowed",
	[PLC_REASON_WAVE] = "wave",
	[PLC_REASON_WAVE_DONE] = "wave-done",
	[PLC_REASON_FAILURE] = "failure",
	[PLC_REASON_RETURN] = "return",
};

struct plc_view *plc_view_create(const struct bundle *bundle)
{
	struct plc_view *view = g_new0(struct plc_view, 1);

	view->row_count = bundle->vm_count;
	view->rows = g_new0(struct plc_row, bundle->vm_count + 1);
	for (uint32_t i = 0; i < view->row_count; i++) {
		view->rows[i].pool = BUNDLE_INDEX_NONE;
		view->rows[i].next_pool = BUNDLE_INDEX_NONE;
		view->rows[i].state = PLC_STATE_STOPPED;
	}
	return view;
}

struct plc_view *plc_view_copy(const struct plc_view *view)
{
	struct plc_view *copy = g_memdup2(view, sizeof(*view));

	quorum_electorate_copy(&view->electorate, &copy->electorate);
	copy->rows = g_new0(struct plc_row, view->row_count + 1);
	memcpy(copy->rows, view->rows,
	       view->row_count * sizeof(struct plc_row));
	return copy;
}

void plc_view_destroy(struct plc_view *view)
{
	if (!view)
		return;
	quorum_electorate_clear(&view->electorate);
	g_free(view->rows);
	g_free(view);
}

const char *plc_state_name(enum plc_state state)
{
	g_assert(state < PLC_STATE_COUNT);
	return state_names[state];
}

const char *plc_reason_name(enum plc_reason reason)
{
	g_assert(reason < PLC_REASON_COUNT);
	return reason_names[reason];
}

uint32_t plc_count(const struct plc_view *view, uint32_t pool,
		   enum plc_state state)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < view->row_count; i++) {
		if (view->rows[i].pool == pool && view->rows[i].state == state)
			count++;
	}
	return count;
}

bool plc_row_is_free(const struct plc_row *row)
{
	return row->pool == BUNDLE_INDEX_NONE &&
	       row->next_pool == BUNDLE_INDEX_NONE &&
	       row->state == PLC_STATE_STOPPED &&
	       row->reason != PLC_REASON_WAVE;
}
