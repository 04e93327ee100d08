#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "dsk.h"
#include "plt.h"
#include "plv.h"
#include "wtc.h"

#define TIME_FORMAT "%Y-%m-%dT%H:%M:%SZ"
#define MS_PER_S 1000

/* Whether a recorded change belongs to what is explained. */
typedef bool (*change_match_fn)(const json_t *decision, const json_t *change,
				const char *name);

static const char *text_of(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}

static json_int_t number_of(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

/* Reads the values under a key or prefix; values that are not JSON are left
 * out. */
static enum err_kind values_read(struct dsk_desk *desk, const char *key,
				 bool prefix, json_t **out)
{
	struct dsk_result result;
	enum err_kind err = dsk_range(desk, key, prefix, &result);

	*out = json_array();
	for (guint i = 0; err == ERR_NONE && i < result.kvs->len; i++) {
		const struct dsk_kv *kv =
			&g_array_index(result.kvs, struct dsk_kv, i);
		json_t *value = json_loadb(kv->value, kv->value_len, 0, NULL);

		if (value)
			json_array_append_new(*out, value);
	}
	dsk_result_clear(&result);
	return err;
}

static gint by_number(gconstpointer a, gconstpointer b)
{
	json_int_t first = number_of(*(json_t *const *)a, "number");
	json_int_t second = number_of(*(json_t *const *)b, "number");

	return first < second ? -1 : first > second;
}

static void changes_take(const json_t *decision, change_match_fn match,
			 const char *name, json_t *out)
{
	size_t index;
	json_t *change;

	json_array_foreach(json_object_get(decision, "changes"), index, change)
	{
		json_t *copy;

		if (!match(decision, change, name))
			continue;
		copy = json_copy(change);
		json_object_set(copy, "number",
				json_object_get(decision, "number"));
		json_object_set(copy, "roll",
				json_object_get(decision, "roll"));
		json_object_set(copy, "at_ms",
				json_object_get(decision, "at_ms"));
		json_object_set(copy, "manager",
				json_object_get(decision, "manager"));
		json_array_append_new(out, copy);
	}
}

/* Reads the recorded changes that match, oldest first. */
static enum err_kind changes_read(struct dsk_desk *desk, change_match_fn match,
				  const char *name, json_t **out)
{
	g_autoptr(GPtrArray) sorted = g_ptr_array_new();
	json_t *decisions;
	enum err_kind err = values_read(desk, PLT_PREFIX_DECISION "placement/",
					true, &decisions);
	size_t index;
	json_t *decision;

	*out = json_array();
	json_array_foreach(decisions, index, decision)
		g_ptr_array_add(sorted, decision);
	g_ptr_array_sort(sorted, by_number);
	for (guint i = 0; i < sorted->len; i++)
		changes_take(g_ptr_array_index(sorted, i), match, name, *out);
	json_decref(decisions);
	return err;
}

static void budget_print(const json_t *budget)
{
	if (!budget)
		return;
	printf("; %" JSON_INTEGER_FORMAT
	       " ready after it, %" JSON_INTEGER_FORMAT
	       " lost at worst, floor %" JSON_INTEGER_FORMAT "%s",
	       number_of(budget, "ready"), number_of(budget, "worst_loss"),
	       number_of(budget, "floor"),
	       json_is_true(json_object_get(budget, "small"))
		       ? ", pool too small for its rule"
		       : "");
}

static void demand_print(const json_t *demand)
{
	if (!demand)
		return;
	printf("; by demand (%s): %" JSON_INTEGER_FORMAT
	       " thousandths of a slot, %" JSON_INTEGER_FORMAT
	       " VMs held, %" JSON_INTEGER_FORMAT
	       " wanted, dead band %" JSON_INTEGER_FORMAT
	       " to %" JSON_INTEGER_FORMAT,
	       text_of(demand, "reason"), number_of(demand, "demand_milli"),
	       number_of(demand, "held"), number_of(demand, "wanted"),
	       number_of(demand, "low"), number_of(demand, "high"));
}

static void change_print(const json_t *change)
{
	g_autoptr(GDateTime) at = g_date_time_new_from_unix_utc(
		number_of(change, "at_ms") / MS_PER_S);
	g_autofree char *when = g_date_time_format(at, TIME_FORMAT);

	printf("%s placement %" JSON_INTEGER_FORMAT
	       " by %s: VM %s from %s '%s' "
	       "to %s '%s'",
	       when, number_of(change, "number"), text_of(change, "manager"),
	       text_of(change, "vm"), text_of(change, "was"),
	       text_of(change, "from"), text_of(change, "state"),
	       text_of(change, "pool"));
	if (*text_of(change, "next"))
		printf(", next '%s'", text_of(change, "next"));
	printf(": %s", text_of(change, "reason"));
	budget_print(json_object_get(change, "budget"));
	demand_print(json_object_get(change, "demand"));
	putchar('\n');
}

static void changes_print(struct dsk_desk *desk, const json_t *changes)
{
	size_t index;
	json_t *change;

	if (strcmp(dsk_desk_settings(desk)->output, "json") == 0)
		return;
	json_array_foreach((json_t *)changes, index, change)
		change_print(change);
}

/* Collects rows of the placement that a test lets through. */
static enum err_kind
rows_read(struct dsk_desk *desk, const char *name,
	  bool (*match)(const json_t *row, const char *name), json_t **out)
{
	json_t *placements;
	enum err_kind err =
		values_read(desk, PLT_KEY_PLACEMENT, false, &placements);
	const json_t *rows =
		json_object_get(json_array_get(placements, 0), "rows");
	size_t index;
	json_t *row;

	*out = json_array();
	json_array_foreach((json_t *)rows, index, row)
	{
		if (match(row, name))
			json_array_append(*out, row);
	}
	json_decref(placements);
	return err;
}

static bool row_field_is(const json_t *row, size_t field, const char *name)
{
	const char *text = json_string_value(json_array_get(row, field));

	return text && strcmp(text, name) == 0;
}

static bool row_is_vm(const json_t *row, const char *name)
{
	return row_field_is(row, 0, name);
}

/* A row names its pool, and the pool that the VM goes to. */
static bool row_is_in_pool(const json_t *row, const char *name)
{
	return row_field_is(row, 1, name) || row_field_is(row, 3, name);
}

static bool change_is_of_vm(const json_t *decision, const json_t *change,
			    const char *name)
{
	return strcmp(text_of(change, "vm"), name) == 0;
}

static bool change_is_of_pool(const json_t *decision, const json_t *change,
			      const char *name)
{
	return strcmp(text_of(change, "from"), name) == 0 ||
	       strcmp(text_of(change, "pool"), name) == 0 ||
	       strcmp(text_of(change, "next"), name) == 0;
}

static bool change_is_of_roll(const json_t *decision, const json_t *change,
			      const char *name)
{
	g_autofree char *roll = g_strdup_printf("%" JSON_INTEGER_FORMAT,
						number_of(decision, "roll"));

	return strcmp(roll, name) == 0;
}

static int vm_report(struct dsk_desk *desk, const char *name,
		     const json_t *rows, json_t *changes)
{
	json_t *row = json_array_get(rows, 0);
	json_t *details = json_pack("{s:o}", "changes", changes);

	changes_print(desk, changes);
	if (!row && json_array_size(changes) == 0)
		return dsk_report(desk, ERR_NOT_FOUND, details,
				  "VM %s is in no pool", name);
	if (!row)
		return dsk_report(desk, ERR_NONE, details,
				  "VM %s is in no pool at present", name);
	json_object_set(details, "row", row);
	return dsk_report(desk, ERR_NONE, details,
			  "VM %s is %s in pool %s; reason: %s, since placement "
			  "%" JSON_INTEGER_FORMAT,
			  name, json_string_value(json_array_get(row, 2)),
			  json_string_value(json_array_get(row, 1)),
			  json_string_value(json_array_get(row, 4)),
			  json_integer_value(json_array_get(row, 5)));
}

static int vm_explain(struct dsk_desk *desk, const char *name)
{
	json_t *rows;
	json_t *changes;
	enum err_kind err = rows_read(desk, name, row_is_vm, &rows);
	int status;

	if (err == ERR_NONE)
		err = changes_read(desk, change_is_of_vm, name, &changes);
	else
		changes = json_array();
	if (err != ERR_NONE)
		status = dsk_report(desk, err,
				    json_pack("{s:o}", "changes", changes),
				    "the decisions cannot be read");
	else
		status = vm_report(desk, name, rows, changes);
	json_decref(rows);
	return status;
}

static int pool_explain(struct dsk_desk *desk, const char *name)
{
	json_t *rows;
	json_t *changes = NULL;
	enum err_kind err = rows_read(desk, name, row_is_in_pool, &rows);
	size_t serving = 0;
	size_t index;
	json_t *row;
	json_t *details;

	if (err == ERR_NONE)
		err = changes_read(desk, change_is_of_pool, name, &changes);
	json_array_foreach(rows, index, row) serving +=
		row_field_is(row, 1, name) && row_field_is(row, 2, "serving");
	details = json_pack("{s:o, s:o}", "rows", rows, "changes",
			    changes ? changes : json_array());
	if (err != ERR_NONE)
		return dsk_report(desk, err, details,
				  "the decisions cannot be read");
	changes_print(desk, changes);
	if (json_array_size(rows) == 0 && json_array_size(changes) == 0)
		return dsk_report(desk, ERR_NOT_FOUND, details,
				  "no VM is or was in pool %s", name);
	return dsk_report(desk, ERR_NONE, details,
			  "pool %s: %zu VMs serve it, %zu are on their way",
			  name, serving, json_array_size(rows) - serving);
}

static char *names_join(const json_t *names)
{
	GString *text = g_string_new(NULL);
	size_t index;
	json_t *name;

	json_array_foreach((json_t *)names, index, name) g_string_append_printf(
		text, "%s%s", index > 0 ? ", " : "", json_string_value(name));
	return g_string_free(text, FALSE);
}

static int wave_report(struct dsk_desk *desk, const char *name,
		       const json_t *record, json_t *intents)
{
	g_autofree char *failed = names_join(json_object_get(record, "failed"));
	bool halted = strcmp(text_of(record, "status"), "halted") == 0;

	return dsk_report(
		desk, ERR_NONE,
		json_pack("{s:O, s:o}", "wave", record, "intents", intents),
		"wave %s is %s: %s; %" JSON_INTEGER_FORMAT
		" of %" JSON_INTEGER_FORMAT " VMs maintained, %zu under way, "
		"failed: %s%s",
		name, text_of(record, "status"), text_of(record, "reason"),
		number_of(record, "maintained"), number_of(record, "total"),
		json_array_size(intents), *failed ? failed : "none",
		halted ? "; it starts again only after another roll" : "");
}

static int wave_explain(struct dsk_desk *desk, const char *name)
{
	g_autofree char *key = g_strconcat(PLT_PREFIX_WAVE, name, NULL);
	json_t *records;
	json_t *all = NULL;
	json_t *intents = json_array();
	enum err_kind err = values_read(desk, key, false, &records);
	size_t index;
	json_t *intent;
	int status;

	if (err == ERR_NONE)
		err = values_read(desk, PLT_PREFIX_INTENT, true, &all);
	json_array_foreach(all, index, intent)
	{
		if (strcmp(text_of(intent, "wave"), name) == 0)
			json_array_append(intents, intent);
	}
	json_decref(all);
	if (err == ERR_NONE && json_array_size(records) == 0)
		err = ERR_NOT_FOUND;
	if (err == ERR_NONE)
		status = wave_report(desk, name, json_array_get(records, 0),
				     intents);
	else
		status = dsk_report(desk, err,
				    json_pack("{s:o}", "intents", intents),
				    "wave %s has no record: its window was not "
				    "open yet, or no bundle names it",
				    name);
	json_decref(records);
	return status;
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
	uint64_t newest = (uint64_t)number_of(head, "roll");
	json_t *details = json_pack("{s:o}", "changes", changes);

	changes_print(desk, changes);
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
		name, number_of(head, "version"), text_of(head, "writer"),
		json_array_size(json_object_get(details, "not_in_force")),
		json_array_size(changes));
}

static int roll_explain(struct dsk_desk *desk, const char *name)
{
	json_t *heads;
	json_t *changes = NULL;
	enum err_kind err = values_read(desk, PLT_KEY_HEAD, false, &heads);
	guint64 roll = 0;
	int status;

	if (!g_ascii_string_to_unsigned(name, 10, 1, INT64_MAX, &roll, NULL))
		err = ERR_USAGE;
	if (err == ERR_NONE)
		err = changes_read(desk, change_is_of_roll, name, &changes);
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

int cmd_explain(struct dsk_desk *desk, char **arguments)
{
	static const struct {
		const char *word;
		int (*run)(struct dsk_desk *desk, const char *name);
	} subjects[] = { { "vm", vm_explain },
			 { "pool", pool_explain },
			 { "wave", wave_explain },
			 { "roll", roll_explain } };

	for (size_t i = 0; i < G_N_ELEMENTS(subjects); i++) {
		if (strcmp(arguments[0], subjects[i].word) == 0)
			return subjects[i].run(desk, arguments[1]);
	}
	return dsk_report(desk, ERR_USAGE, NULL,
			  "expected 'explain vm|pool|wave|roll NAME', found "
			  "'explain %s'",
			  arguments[0]);
}
