#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "explain.h"

/* Reads the rows of the current placement that a predicate accepts. */
static enum err_kind
rows_read(struct cli_context *ctx, const char *name,
	  bool (*match)(const json_t *row, const char *name), json_t **out)
{
	json_t *placements;
	enum err_kind err = explain_values_read(ctx, PLATFORM_KEY_PLACEMENT,
						false, &placements);
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

/* Field 1 of a row is the VM's pool, field 3 the pool that it moves to. */
static bool row_is_in_pool(const json_t *row, const char *name)
{
	return row_field_is(row, 1, name) || row_field_is(row, 3, name);
}

static bool change_concerns_vm(const json_t *decision, const json_t *change,
			       const char *name)
{
	return strcmp(explain_text(change, "vm"), name) == 0;
}

static bool change_concerns_pool(const json_t *decision, const json_t *change,
				 const char *name)
{
	return strcmp(explain_text(change, "from"), name) == 0 ||
	       strcmp(explain_text(change, "pool"), name) == 0 ||
	       strcmp(explain_text(change, "next"), name) == 0;
}

static int vm_report(struct cli_context *ctx, const char *name,
		     const json_t *rows, json_t *changes)
{
	json_t *row = json_array_get(rows, 0);
	json_t *details = json_pack("{s:o}", "changes", changes);

	explain_changes_print(ctx, changes);
	if (!row && json_array_size(changes) == 0)
		return cli_report(ctx, ERR_NOT_FOUND, details,
				  "VM %s is in no pool", name);
	if (!row)
		return cli_report(ctx, ERR_NONE, details,
				  "VM %s is currently in no pool", name);
	json_object_set(details, "row", row);
	return cli_report(ctx, ERR_NONE, details,
			  "VM %s is %s in pool %s; reason: %s, since placement "
			  "%" JSON_INTEGER_FORMAT,
			  name, json_string_value(json_array_get(row, 2)),
			  json_string_value(json_array_get(row, 1)),
			  json_string_value(json_array_get(row, 4)),
			  json_integer_value(json_array_get(row, 5)));
}

static int vm_explain(struct cli_context *ctx, const char *name)
{
	json_t *rows;
	json_t *changes;
	enum err_kind err = rows_read(ctx, name, row_is_vm, &rows);
	int status;

	if (err == ERR_NONE)
		err = explain_changes_read(ctx, change_concerns_vm, name,
					   &changes);
	else
		changes = json_array();
	if (err != ERR_NONE)
		status = cli_report(ctx, err,
				    json_pack("{s:o}", "changes", changes),
				    "the decisions cannot be read");
	else
		status = vm_report(ctx, name, rows, changes);
	json_decref(rows);
	return status;
}

static int pool_explain(struct cli_context *ctx, const char *name)
{
	json_t *rows;
	json_t *changes = NULL;
	enum err_kind err = rows_read(ctx, name, row_is_in_pool, &rows);
	size_t serving = 0;
	size_t index;
	json_t *row;
	json_t *details;

	if (err == ERR_NONE)
		err = explain_changes_read(ctx, change_concerns_pool, name,
					   &changes);
	json_array_foreach(rows, index, row) serving +=
		row_field_is(row, 1, name) && row_field_is(row, 2, "serving");
	details = json_pack("{s:o, s:o}", "rows", rows, "changes",
			    changes ? changes : json_array());
	if (err != ERR_NONE)
		return cli_report(ctx, err, details,
				  "the decisions cannot be read");
	explain_changes_print(ctx, changes);
	if (json_array_size(rows) == 0 && json_array_size(changes) == 0)
		return cli_report(ctx, ERR_NOT_FOUND, details,
				  "no VM is or was in pool %s", name);
	return cli_report(ctx, ERR_NONE, details,
			  "pool %s: %zu VMs serve it, %zu in transition", name,
			  serving, json_array_size(rows) - serving);
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

static int wave_report(struct cli_context *ctx, const char *name,
		       const json_t *record, json_t *intents)
{
	g_autofree char *failed = names_join(json_object_get(record, "failed"));
	bool halted = strcmp(explain_text(record, "status"), "halted") == 0;

	return cli_report(
		ctx, ERR_NONE,
		json_pack("{s:O, s:o}", "wave", record, "intents", intents),
		"wave %s is %s: %s; %" JSON_INTEGER_FORMAT
		" of %" JSON_INTEGER_FORMAT " VMs maintained, %zu in progress, "
		"failed: %s%s",
		name, explain_text(record, "status"),
		explain_text(record, "reason"),
		explain_number(record, "maintained"),
		explain_number(record, "total"), json_array_size(intents),
		*failed ? failed : "none",
		halted ? "; it resumes only after another roll" : "");
}

static int wave_explain(struct cli_context *ctx, const char *name)
{
	g_autofree char *key = g_strconcat(PLATFORM_PREFIX_WAVE, name, NULL);
	json_t *records;
	json_t *all = NULL;
	json_t *intents = json_array();
	enum err_kind err = explain_values_read(ctx, key, false, &records);
	size_t index;
	json_t *intent;
	int status;

	if (err == ERR_NONE)
		err = explain_values_read(ctx, PLATFORM_PREFIX_INTENT, true,
					  &all);
	json_array_foreach(all, index, intent)
	{
		if (strcmp(explain_text(intent, "wave"), name) == 0)
			json_array_append(intents, intent);
	}
	json_decref(all);
	if (err == ERR_NONE && json_array_size(records) == 0)
		err = ERR_NOT_FOUND;
	if (err == ERR_NONE)
		status = wave_report(ctx, name, json_array_get(records, 0),
				     intents);
	else
		status = cli_report(ctx, err,
				    json_pack("{s:o}", "intents", intents),
				    "wave %s has no record: its window was not "
				    "open yet, or no bundle names it",
				    name);
	json_decref(records);
	return status;
}

int cmd_explain(struct cli_context *ctx, char **arguments)
{
	static const struct {
		const char *word;
		int (*run)(struct cli_context *ctx, const char *name);
	} subjects[] = { { "vm", vm_explain },
			 { "pool", pool_explain },
			 { "wave", wave_explain },
			 { "roll", explain_roll } };

	for (size_t i = 0; i < G_N_ELEMENTS(subjects); i++) {
		if (strcmp(arguments[0], subjects[i].word) == 0)
			return subjects[i].run(ctx, arguments[1]);
	}
	return cli_report(ctx, ERR_USAGE, NULL,
			  "expected 'explain vm|pool|wave|roll NAME', found "
			  "'explain %s'",
			  arguments[0]);
}
