#include "wtc.h"

#include <string.h>

#include "stored_value.h"

/* Pauses between two looks; they double, as most rolls take milliseconds. */
#define WTC_PAUSE_MIN_MS 5
#define WTC_PAUSE_MAX_MS 100
/* Time between two reads of the members. */
#define WTC_MEMBERS_MS 500
/* A process that does not answer within this time counts as silent. */
#define WTC_PAGE_TIMEOUT_MS 1000

static void status_parse(const char *page, struct wtc_status *out)
{
	json_t *root = json_loads(page, 0, NULL);
	json_int_t roll;
	json_int_t known_roll;
	json_int_t applied_at_ms;
	json_int_t version;
	json_int_t placement;
	int manager;
	int may_dispatch;

	if (root && json_unpack(root, "{s:I, s:I, s:I, s:I, s:I, s:b, s:b}",
				"roll", &roll, "known_roll", &known_roll,
				"applied_at_ms", &applied_at_ms, "version",
				&version, "placement", &placement, "manager",
				&manager, "may_dispatch", &may_dispatch) == 0) {
		out->answered = true;
		out->roll = (uint64_t)roll;
		out->known_roll = (uint64_t)known_roll;
		out->applied_at_ms = (uint64_t)applied_at_ms;
		out->version = (uint64_t)version;
		out->placement = (uint64_t)placement;
		out->manager = manager != 0;
		out->may_dispatch = may_dispatch != 0;
	}
	json_decref(root);
}

void wtc_statuses_ask(struct dsk_desk *desk, GArray *statuses)
{
	g_autofree struct dsk_page *pages =
		g_new0(struct dsk_page, statuses->len);

	for (guint i = 0; i < statuses->len; i++) {
		const struct wtc_status *status =
			&g_array_index(statuses, struct wtc_status, i);

		pages[i].ip = status->member.ip;
		pages[i].port = status->member.http_port;
	}
	dsk_pages_get(
		desk, "/status", pages, statuses->len,
		MIN(dsk_desk_settings(desk)->timeout_ms, WTC_PAGE_TIMEOUT_MS));
	for (guint i = 0; i < statuses->len; i++) {
		if (pages[i].text)
			status_parse(
				pages[i].text,
				&g_array_index(statuses, struct wtc_status, i));
		g_free(pages[i].text);
	}
}

enum err_kind wtc_members_read(struct dsk_desk *desk, GArray **out)
{
	struct dsk_result result;
	enum err_kind err =
		dsk_range(desk, PLATFORM_PREFIX_MEMBER, true, &result);

	*out = g_array_new(FALSE, TRUE, sizeof(struct wtc_status));
	for (guint i = 0; err == ERR_NONE && i < result.kvs->len; i++) {
		const struct dsk_kv *kv =
			&g_array_index(result.kvs, struct dsk_kv, i);
		struct wtc_status status = { 0 };

		if (stored_member_parse(kv->value, kv->value_len,
					&status.member) == ERR_NONE)
			g_array_append_val(*out, status);
	}
	dsk_result_clear(&result);
	return err;
}

/* Reads the members again; during an outage the last known ones remain. */
static void members_renew(struct dsk_desk *desk, GArray **statuses)
{
	GArray *fresh;
	enum err_kind err = wtc_members_read(desk, &fresh);

	if (err == ERR_NONE || !*statuses) {
		g_clear_pointer(statuses, g_array_unref);
		*statuses = fresh;
	} else {
		g_array_unref(fresh);
	}
}

uint64_t wtc_roll_max(const GArray *statuses)
{
	uint64_t max = 0;

	for (guint i = 0; i < statuses->len; i++) {
		const struct wtc_status *status =
			&g_array_index(statuses, struct wtc_status, i);

		max = MAX(max, MAX(status->roll, status->known_roll));
	}
	return max;
}

static void progress_count(const GArray *statuses, uint64_t roll,
			   struct wtc_progress *out)
{
	out->members = statuses->len;
	out->in_force = 0;
	for (guint i = 0; i < statuses->len; i++) {
		if (g_array_index(statuses, struct wtc_status, i).roll >= roll)
			out->in_force++;
	}
}

enum err_kind wtc_roll_wait(struct dsk_desk *desk, uint64_t roll,
			    uint32_t wait_ms, GArray **statuses,
			    struct wtc_progress *out)
{
	uint64_t until_ms = loop_now_ms() + wait_ms;
	uint64_t renew_ms = loop_now_ms() + WTC_MEMBERS_MS;
	uint32_t pause_ms = WTC_PAUSE_MIN_MS;

	do {
		if (loop_now_ms() >= renew_ms || (*statuses)->len == 0) {
			members_renew(desk, statuses);
			renew_ms = loop_now_ms() + WTC_MEMBERS_MS;
		}
		wtc_statuses_ask(desk, *statuses);
		progress_count(*statuses, roll, out);
		if (out->members > 0 && out->in_force == out->members)
			return ERR_NONE;
		dsk_sleep_ms(desk, pause_ms);
		pause_ms = MIN(pause_ms * 2, WTC_PAUSE_MAX_MS);
	} while (loop_now_ms() < until_ms);
	return ERR_PENDING;
}
