#include <inttypes.h>
#include <string.h>

#include "exp.h"
#include "wtc.h"

static bool change_is_of_roll(const json_t *decision, const json_t *change,
			      const char *name)
{
	g_autofree char *roll = g_strdup_printf("%" JSON_INTEGER_FORMAT,
						exp_number(decision, "roll"));

	return strcmp(roll, name) == 0;
}

/* Adds which processes have the roll in force, while it is the newest. */
static void progress_add(struct dsk_desk *desk, uint64_t roll, json_t *details)
{
	g_autoptr(GArray) statuses = NULL;
	json_t *missing = json_array();

	if (wtc_members_read(desk, &statuses) == ERR_NONE) {
		wtc_statuses_ask(desk, statuses);
		for (guint i = 0; i < statuses->len; i++) {
			const struct wtc_status *status =
				&g_array_index(statuses, struct wtc_status, i);

			if (!status->answered || status->roll < roll)
				json_array_append_new(
					missing,
					json_string(status->member.id));
		}
	}
	json_object_set_new(details, "not_in_force", missing);
}

static int roll_report(struct dsk_desk *desk, const char *name, uint64_t roll,
		       const json_t *head, json_t *changes)
{
	uint64_t newest = (uint64_t)exp_number(head, "roll");
	json_t *details = json_pack("{s:o}", "changes", changes);

	exp_changes_print(desk, changes);
	if (roll == 0 || roll > newest)
		return dsk_report(desk, ERR_NOT_FOUND, details,
				  "roll %s was never written; the newest is "
				  "%" PRIu64,
				  name, newest);
	if (roll < newest)
		return dsk_report(desk, ERR_NONE, details,
				  "roll %s was followed by others up to "
				  "%" PRIu64 "; %zu recorded changes",
				  name, newest, json_array_size(changes));
	json_object_set(details, "head", (json_t *)head);
	progress_add(desk, roll, details);
	return dsk_report(
		desk, ERR_NONE, details,
		"roll %s put version %" JSON_INTEGER_FORMAT
		" in force, written by %s; %zu processes do not have it; %zu "
		"recorded changes",
		name, exp_number(head, "version"), exp_text(head, "writer"),
		json_array_size(json_object_get(details, "not_in_force")),
		json_array_size(changes));
}

int exp_roll(struct dsk_desk *desk, const char *name)
{
	json_t *heads;
	json_t *changes = NULL;
	enum err_kind err = exp_values_read(desk, PLT_KEY_HEAD, false, &heads);
	guint64 roll = 0;
	int status;

	if (!g_ascii_string_to_unsigned(name, 10, 1, INT64_MAX, &roll, NULL))
		err = ERR_USAGE;
	if (err == ERR_NONE)
		err = exp_changes_read(desk, change_is_of_roll, name, &changes);
	if (err == ERR_NONE)
		status = roll_report(desk, name, roll, json_array_get(heads, 0),
				     changes);
	else
		status = dsk_report(
			desk, err,
			changes ? json_pack("{s:o}", "changes", changes) : NULL,
			err == ERR_USAGE ? "expected a roll number, found "
					   "'%s'"
					 : "roll %s cannot be read",
			name);
	json_decref(heads);
	return status;
}
