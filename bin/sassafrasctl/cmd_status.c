#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cli.h"
#include "stored_value.h"
#include "roll_record.h"
#include "rollout.h"

/* Newest rolls that the status lists. */
#define STATUS_ROLLS 5

/* Time from the roll to its coming into force in a process; -1 if it isn't. */
static json_int_t took_ms(const struct rollout_status *status,
			  const struct stored_head *head)
{
	if (!status->answered || status->roll != head->roll ||
	    status->applied_at_ms < head->at_ms)
		return -1;
	return (json_int_t)(status->applied_at_ms - head->at_ms);
}

static json_t *status_build(const struct rollout_status *status,
			    const struct stored_head *head)
{
	return json_pack("{s:s, s:b, s:I, s:I, s:I, s:b, s:b, s:I}", "id",
			 status->member.id, "answered", status->answered,
			 "roll", (json_int_t)status->roll, "version",
			 (json_int_t)status->version, "placement",
			 (json_int_t)status->placement, "manager",
			 status->manager, "may_dispatch", status->may_dispatch,
			 "took_ms", took_ms(status, head));
}

static void status_print(const struct rollout_status *status,
			 const struct stored_head *head)
{
	json_int_t took = took_ms(status, head);
	g_autofree char *after =
		g_strdup_printf(" after %" JSON_INTEGER_FORMAT " ms", took);

	if (!status->answered) {
		printf("%-24s no answer\n", status->member.id);
		return;
	}
	printf("%-24s roll %" PRIu64 "%s version %" PRIu64 " placement %" PRIu64
	       "%s%s\n",
	       status->member.id, status->roll, took >= 0 ? after : "",
	       status->version, status->placement,
	       status->manager ? " manager" : "",
	       status->may_dispatch ? "" : " not dispatching");
}

static json_t *statuses_show(struct cli_context *desk, const GArray *statuses,
			     const struct stored_head *head)
{
	bool json = strcmp(cli_context_settings(desk)->output, "json") == 0;
	json_t *list = json_array();

	for (guint i = 0; i < statuses->len; i++) {
		const struct rollout_status *status =
			&g_array_index(statuses, struct rollout_status, i);

		json_array_append_new(list, status_build(status, head));
		if (!json)
			status_print(status, head);
	}
	return list;
}

/* Lists the newest rolls, which answers for a write of unknown effect. */
static json_t *rolls_show(struct cli_context *desk, uint64_t newest)
{
	bool json = strcmp(cli_context_settings(desk)->output, "json") == 0;
	uint64_t last = newest > STATUS_ROLLS ? newest - STATUS_ROLLS : 0;
	json_t *list = json_array();

	for (uint64_t roll = newest; roll > last; roll--) {
		struct stored_head record;

		if (roll_record_read(desk, roll, &record) != ERR_NONE)
			continue;
		json_array_append_new(list,
				      json_pack("{s:I, s:I, s:s}", "roll",
						(json_int_t)roll, "version",
						(json_int_t)record.version,
						"writer", record.writer));
		if (!json)
			printf("roll %" PRIu64 " of version %" PRIu64
			       " was written by %s\n",
			       roll, record.version, record.writer);
	}
	return list;
}

static int head_report(struct cli_context *desk, const struct stored_head *head,
		       json_t *details)
{
	if (head->roll == 0)
		return cli_report(desk, ERR_NONE, details,
				  "nothing was rolled yet");
	json_object_update_new(details,
			       json_pack("{s:{s:I, s:I, s:s, s:I}}", "head",
					 "roll", (json_int_t)head->roll,
					 "version", (json_int_t)head->version,
					 "writer", head->writer, "at_ms",
					 (json_int_t)head->at_ms));
	return cli_report(desk, ERR_NONE, details,
			  "roll %" PRIu64 " of version %" PRIu64
			  " is the newest",
			  head->roll, head->version);
}

int cmd_status(struct cli_context *desk, char **arguments)
{
	g_autoptr(GArray) statuses = NULL;
	struct stored_head head;
	int64_t revision;
	enum err_kind err = rollout_members_read(desk, &statuses);
	json_t *list;

	if (err == ERR_NONE)
		err = roll_head_read(desk, &head, &revision);
	if (err != ERR_NONE)
		return cli_report(desk, err, NULL,
				  "the members and the head cannot be read");
	rollout_statuses_fetch(desk, statuses);
	list = statuses_show(desk, statuses, &head);
	return head_report(desk, &head,
			   json_pack("{s:o, s:o}", "processes", list, "rolls",
				     rolls_show(desk, head.roll)));
}
