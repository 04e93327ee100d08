#include "rollout.h"

#include <string.h>

#include "stored_value.h"

/* Pauses between two looks; they double, as most rolls take milliseconds. */
#define ROLLOUT_PAUSE_MIN_MS 5
#define ROLLOUT_PAUSE_MAX_MS 100
/* Time between two reads of the members. */
#define ROLLOUT_MEMBERS_MS 500
/* A process that does not answer within this time counts as silent. */
#define ROLLOUT_PAGE_TIMEOUT_MS 1000

static void status_parse(const char *page, struct rollout_status *out)
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

void rollout_statuses_fetch(struct cli_context *desk, GArray *statuses)
{
	g_autofree struct cli_page *pages =
		g_new0(struct cli_page, statuses->len);

	for (guint i = 0; i < statuses->len; i++) {
		const struct rollout_status *status =
			&g_array_index(statuses, struct rollout_status, i);

		pages[i].ip = status->member.ip;
		pages[i].port = status->member.http_port;
	}
	cli_pages_fetch(desk, "/status", pages, statuses->len,
			MIN(cli_context_settings(desk)->timeout_ms,
			    ROLLOUT_PAGE_TIMEOUT_MS));
	for (guint i = 0; i < statuses->len; i++) {
		if (pages[i].text)
			status_parse(pages[i].text,
				     &g_array_index(statuses,
						    struct rollout_status, i));
		g_free(pages[i].text);
	}
}

enum err_kind rollout_members_read(struct cli_context *desk, GArray **out)
{
	struct cli_result result;
	enum err_kind err =
		cli_range(desk, PLATFORM_PREFIX_MEMBER, true, &result);

	*out = g_array_new(FALSE, TRUE, sizeof(struct rollout_status));
	for (guint i = 0; err == ERR_NONE && i < result.kvs->len; i++) {
		const struct cli_kv *kv =
			&g_array_index(result.kvs, struct cli_kv, i);
		struct rollout_status status = { 0 };

		if (stored_member_parse(kv->value, kv->value_len,
					&status.member) == ERR_NONE)
			g_array_append_val(*out, status);
	}
	cli_result_clear(&result);
	return err;
}

/* Reads the members again; during an outage the last known ones remain. */
static void members_renew(struct cli_context *desk, GArray **statuses)
{
	GArray *fresh;
	enum err_kind err = rollout_members_read(desk, &fresh);

	if (err == ERR_NONE || !*statuses) {
		g_clear_pointer(statuses, g_array_unref);
		*statuses = fresh;
	} else {
		g_array_unref(fresh);
	}
}

uint64_t rollout_newest_roll(const GArray *statuses)
{
	uint64_t max = 0;

	for (guint i = 0; i < statuses->len; i++) {
		const struct rollout_status *status =
			&g_array_index(statuses, struct rollout_status, i);

		max = MAX(max, MAX(status->roll, status->known_roll));
	}
	return max;
}

static void progress_count(const GArray *statuses, uint64_t roll,
			   struct rollout_progress *out)
{
	out->members = statuses->len;
	out->in_force = 0;
	for (guint i = 0; i < statuses->len; i++) {
		if (g_array_index(statuses, struct rollout_status, i).roll >=
		    roll)
			out->in_force++;
	}
}

enum err_kind rollout_wait(struct cli_context *desk, uint64_t roll,
			   uint32_t wait_ms, GArray **statuses,
			   struct rollout_progress *out)
{
	uint64_t until_ms = loop_now_ms() + wait_ms;
	uint64_t renew_ms = loop_now_ms() + ROLLOUT_MEMBERS_MS;
	uint32_t pause_ms = ROLLOUT_PAUSE_MIN_MS;

	do {
		if (loop_now_ms() >= renew_ms || (*statuses)->len == 0) {
			members_renew(desk, statuses);
			renew_ms = loop_now_ms() + ROLLOUT_MEMBERS_MS;
		}
		rollout_statuses_fetch(desk, *statuses);
		progress_count(*statuses, roll, out);
		if (out->members > 0 && out->in_force == out->members)
			return ERR_NONE;
		cli_sleep_ms(desk, pause_ms);
		pause_ms = MIN(pause_ms * 2, ROLLOUT_PAUSE_MAX_MS);
	} while (loop_now_ms() < until_ms);
	return ERR_PENDING;
}
