#include "explain.h"

#include <stdio.h>
#include <string.h>

#define TIME_FORMAT "%Y-%m-%dT%H:%M:%SZ"
#define MS_PER_S 1000

const char *explain_text(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}

json_int_t explain_number(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

enum err_kind explain_values_read(struct cli_context *desk, const char *key,
				  bool prefix, json_t **out)
{
	struct cli_result result;
	enum err_kind err = cli_range(desk, key, prefix, &result);

	*out = json_array();
	for (guint i = 0; err == ERR_NONE && i < result.kvs->len; i++) {
		const struct cli_kv *kv =
			&g_array_index(result.kvs, struct cli_kv, i);
		json_t *value = json_loadb(kv->value, kv->value_len, 0, NULL);

		if (value)
			json_array_append_new(*out, value);
	}
	cli_result_clear(&result);
	return err;
}

static gint by_number(gconstpointer a, gconstpointer b)
{
	json_int_t first = explain_number(*(json_t *const *)a, "number");
	json_int_t second = explain_number(*(json_t *const *)b, "number");

	return first < second ? -1 : first > second;
}

static void changes_take(const json_t *decision, explain_match_fn match,
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

enum err_kind explain_changes_read(struct cli_context *desk,
				   explain_match_fn match, const char *name,
				   json_t **out)
{
	g_autoptr(GPtrArray) sorted = g_ptr_array_new();
	json_t *decisions;
	enum err_kind err = explain_values_read(
		desk, PLATFORM_PREFIX_DECISION "placement/", true, &decisions);
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
	       explain_number(budget, "ready"),
	       explain_number(budget, "worst_loss"),
	       explain_number(budget, "floor"),
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
	       explain_text(demand, "reason"),
	       explain_number(demand, "demand_milli"),
	       explain_number(demand, "held"), explain_number(demand, "wanted"),
	       explain_number(demand, "low"), explain_number(demand, "high"));
}

char *explain_time_format(json_int_t at_ms)
{
	g_autoptr(GDateTime) at =
		g_date_time_new_from_unix_utc(at_ms / MS_PER_S);

	return g_date_time_format(at, TIME_FORMAT);
}

static void change_print(const json_t *change)
{
	g_autofree char *when =
		explain_time_format(explain_number(change, "at_ms"));

	printf("%s placement %" JSON_INTEGER_FORMAT
	       " by %s: VM %s from %s '%s' "
	       "to %s '%s'",
	       when, explain_number(change, "number"),
	       explain_text(change, "manager"), explain_text(change, "vm"),
	       explain_text(change, "was"), explain_text(change, "from"),
	       explain_text(change, "state"), explain_text(change, "pool"));
	if (*explain_text(change, "next"))
		printf(", next '%s'", explain_text(change, "next"));
	printf(": %s", explain_text(change, "reason"));
	budget_print(json_object_get(change, "budget"));
	demand_print(json_object_get(change, "demand"));
	putchar('\n');
}

void explain_changes_print(struct cli_context *desk, const json_t *changes)
{
	size_t index;
	json_t *change;

	if (strcmp(cli_context_settings(desk)->output, "json") == 0)
		return;
	json_array_foreach((json_t *)changes, index, change)
		change_print(change);
}
