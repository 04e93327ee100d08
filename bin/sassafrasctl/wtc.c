#include "wtc.h"

#include <string.h>

#include "plv.h"

#define WTC_PAUSE_MS 50

static void status_parse(const char *page, struct wtc_status *out)
{
	json_t *root = json_loads(page, 0, NULL);
	json_int_t roll;
	json_int_t version;
	json_int_t placement;
	int manager;
	int may_dispatch;

	if (root &&
	    json_unpack(root, "{s:I, s:I, s:I, s:b, s:b}", "roll", &roll,
			"version", &version, "placement", &placement, "manager",
			&manager, "may_dispatch", &may_dispatch) == 0) {
		out->answered = true;
		out->roll = (uint64_t)roll;
		out->version = (uint64_t)version;
		out->placement = (uint64_t)placement;
		out->manager = manager != 0;
		out->may_dispatch = may_dispatch != 0;
	}
	json_decref(root);
}

static void status_read(struct dsk_desk *desk, struct wtc_status *status)
{
	g_autofree char *page = NULL;

	if (dsk_http_get(desk, status->member.ip, status->member.http_port,
			 "/status", &page) == ERR_NONE)
		status_parse(page, status);
}

enum err_kind wtc_statuses_read(struct dsk_desk *desk, GArray **out)
{
	struct dsk_result result;
	enum err_kind err = dsk_range(desk, PLT_PREFIX_MEMBER, true, &result);

	*out = g_array_new(FALSE, TRUE, sizeof(struct wtc_status));
	for (guint i = 0; err == ERR_NONE && i < result.kvs->len; i++) {
		const struct dsk_kv *kv =
			&g_array_index(result.kvs, struct dsk_kv, i);
		struct wtc_status status = { 0 };

		if (plv_member_parse(kv->value, kv->value_len,
				     &status.member) != ERR_NONE)
			continue;
		status_read(desk, &status);
		g_array_append_val(*out, status);
	}
	dsk_result_clear(&result);
	return err;
}

static enum err_kind progress_read(struct dsk_desk *desk, uint64_t roll,
				   struct wtc_progress *out)
{
	g_autoptr(GArray) statuses = NULL;
	enum err_kind err = wtc_statuses_read(desk, &statuses);

	if (err != ERR_NONE)
		return err;
	out->members = statuses->len;
	out->in_force = 0;
	for (guint i = 0; i < statuses->len; i++) {
		if (g_array_index(statuses, struct wtc_status, i).roll >= roll)
			out->in_force++;
	}
	return ERR_NONE;
}

enum err_kind wtc_roll_wait(struct dsk_desk *desk, uint64_t roll,
			    uint32_t wait_ms, struct wtc_progress *out)
{
	uint64_t until_ms = evl_now_ms() + wait_ms;

	memset(out, 0, sizeof(*out));
	do {
		if (progress_read(desk, roll, out) == ERR_NONE &&
		    out->members > 0 && out->in_force == out->members)
			return ERR_NONE;
		dsk_sleep_ms(desk, WTC_PAUSE_MS);
	} while (evl_now_ms() < until_ms);
	return ERR_TIMEOUT;
}
