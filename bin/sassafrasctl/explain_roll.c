#include <inttypes.h>
#include <string.h>

#include "explain.h"
#include "roll_record.h"
#include "rollout.h"

/* Data collected to explain a roll. */
struct explanation {
	/* roll number as given on the command line */
	const char *name;
	struct stored_head record;
	/* number of the newest roll */
	uint64_t newest;
	json_t *changes;
	/* ids of the processes that applied this roll or a later one */
	json_t *in_force;
	/* ids of the other processes */
	json_t *not_in_force;
};

static bool change_concerns_roll(const json_t *decision, const json_t *change,
				 const char *name)
{
	g_autofree char *roll = g_strdup_printf(
		"%" JSON_INTEGER_FORMAT, explain_number(decision, "roll"));

	return strcmp(roll, name) == 0;
}

static enum err_kind record_read(struct cli_context *ctx, uint64_t roll,
				 struct explanation *out)
{
	struct stored_head head;
	int64_t revision;
	enum err_kind err = roll_head_read(ctx, &head, &revision);

	if (err != ERR_NONE)
		return err;
	out->newest = head.roll;
	if (roll > head.roll)
		return ERR_NOT_FOUND;
	return roll_record_read(ctx, roll, &out->record);
}

/* Asks the processes which rolls they have applied. */
static enum err_kind progress_read(struct cli_context *ctx,
				   struct explanation *out)
{
	g_autoptr(GArray) statuses = NULL;
	enum err_kind err = rollout_members_read(ctx, &statuses);

	if (err != ERR_NONE)
		return err;
	rollout_statuses_fetch(ctx, statuses);
	for (guint i = 0; i < statuses->len; i++) {
		const struct rollout_status *status =
			&g_array_index(statuses, struct rollout_status, i);
		bool is_applied =
			status->answered && status->roll >= out->record.roll;

		json_array_append_new(is_applied ? out->in_force
						 : out->not_in_force,
				      json_string(status->member.id));
	}
	return ERR_NONE;
}

static json_t *details_build(const struct explanation *roll)
{
	const struct stored_head *record = &roll->record;

	return json_pack(
		"{s:{s:I, s:I, s:s, s:s, s:I}, s:I, s:O, s:O, s:O}", "record",
		"roll", (json_int_t)record->roll, "version",
		(json_int_t)record->version, "digest", record->digest, "writer",
		record->writer, "at_ms", (json_int_t)record->at_ms, "newest",
		(json_int_t)roll->newest, "changes", roll->changes, "in_force",
		roll->in_force, "not_in_force", roll->not_in_force);
}

static int roll_report(struct cli_context *ctx, const struct explanation *roll)
{
	const struct stored_head *record = &roll->record;
	g_autofree char *when = explain_time_format((json_int_t)record->at_ms);
	g_autofree char *later = g_strdup_printf(
		"; it was followed by others up to %" PRIu64, roll->newest);
	size_t in_force = json_array_size(roll->in_force);

	explain_changes_print(ctx, roll->changes);
	return cli_report(
		ctx, ERR_NONE, details_build(roll),
		"roll %s put version %" PRIu64 " (digest %s) in force, "
		"written by %s at %s; %zu of %zu processes have it or a later "
		"one; %zu recorded changes%s",
		roll->name, record->version, record->digest, record->writer,
		when, in_force, in_force + json_array_size(roll->not_in_force),
		json_array_size(roll->changes),
		record->roll < roll->newest ? later : "");
}

static int failure_report(struct cli_context *ctx,
			  const struct explanation *roll, uint64_t number,
			  enum err_kind err)
{
	if (err != ERR_NOT_FOUND)
		return cli_report(ctx, err, NULL, "roll %s cannot be read",
				  roll->name);
	if (number > roll->newest)
		return cli_report(ctx, err, NULL,
				  "roll %s was never written; the newest is "
				  "%" PRIu64,
				  roll->name, roll->newest);
	return cli_report(ctx, err, NULL,
			  "no record of roll %s is kept; the newest is "
			  "%" PRIu64,
			  roll->name, roll->newest);
}

int explain_roll(struct cli_context *ctx, const char *name)
{
	struct explanation roll = { .name = name };
	guint64 number;
	enum err_kind err;
	int status;

	if (!g_ascii_string_to_unsigned(name, 10, 1, INT64_MAX, &number, NULL))
		return cli_report(ctx, ERR_USAGE, NULL,
				  "expected a roll number, found '%s'", name);
	roll.in_force = json_array();
	roll.not_in_force = json_array();
	err = record_read(ctx, number, &roll);
	if (err == ERR_NONE)
		err = explain_changes_read(ctx, change_concerns_roll, name,
					   &roll.changes);
	if (err == ERR_NONE)
		err = progress_read(ctx, &roll);
	if (err == ERR_NONE)
		status = roll_report(ctx, &roll);
	else
		status = failure_report(ctx, &roll, number, err);
	json_decref(roll.changes);
	json_decref(roll.in_force);
	json_decref(roll.not_in_force);
	return status;
}
