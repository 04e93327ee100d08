#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "dsk.h"
#include "plv.h"
#include "wtc.h"

static json_t *status_build(const struct wtc_status *status)
{
	return json_pack("{s:s, s:b, s:I, s:I, s:I, s:b, s:b}", "id",
			 status->member.id, "answered", status->answered,
			 "roll", (json_int_t)status->roll, "version",
			 (json_int_t)status->version, "placement",
			 (json_int_t)status->placement, "manager",
			 status->manager, "may_dispatch", status->may_dispatch);
}

static void status_print(const struct wtc_status *status)
{
	if (!status->answered) {
		printf("%-24s no answer\n", status->member.id);
		return;
	}
	printf("%-24s roll %" PRIu64 " version %" PRIu64 " placement %" PRIu64
	       "%s%s\n",
	       status->member.id, status->roll, status->version,
	       status->placement, status->manager ? " manager" : "",
	       status->may_dispatch ? "" : " not dispatching");
}

static json_t *statuses_show(struct dsk_desk *desk, const GArray *statuses)
{
	bool json = strcmp(dsk_desk_settings(desk)->output, "json") == 0;
	json_t *list = json_array();

	for (guint i = 0; i < statuses->len; i++) {
		const struct wtc_status *status =
			&g_array_index(statuses, struct wtc_status, i);

		json_array_append_new(list, status_build(status));
		if (!json)
			status_print(status);
	}
	return list;
}

int cmd_status(struct dsk_desk *desk, char **arguments)
{
	g_autoptr(GArray) statuses = NULL;
	struct dsk_result head = { 0 };
	enum err_kind err = wtc_statuses_read(desk, &statuses);
	json_t *list;
	int status;

	if (err == ERR_NONE)
		err = dsk_range(desk, PLT_KEY_HEAD, false, &head);
	if (err != ERR_NONE)
		return dsk_report(desk, err, NULL,
				  "the platform does not answer");
	list = statuses_show(desk, statuses);
	status = dsk_report(
		desk, ERR_NONE, json_pack("{s:o}", "processes", list),
		"head %s",
		head.kvs->len > 0
			? g_array_index(head.kvs, struct dsk_kv, 0).value
			: "none: nothing was rolled");
	dsk_result_clear(&head);
	return status;
}

static int vm_explain(struct dsk_desk *desk, const char *name)
{
	struct dsk_result result;
	enum err_kind err = dsk_range(desk, PLT_KEY_PLACEMENT, false, &result);
	json_t *root = NULL;
	json_t *row;
	json_t *found = NULL;
	size_t index;
	int status;

	if (err == ERR_NONE && result.kvs->len > 0)
		root = json_loads(
			g_array_index(result.kvs, struct dsk_kv, 0).value, 0,
			NULL);
	dsk_result_clear(&result);
	json_array_foreach(json_object_get(root, "rows"), index, row)
	{
		const char *vm = json_string_value(json_array_get(row, 0));

		if (vm && strcmp(vm, name) == 0)
			found = row;
	}
	if (!found) {
		json_decref(root);
		return dsk_report(desk, err == ERR_NONE ? ERR_NOT_FOUND : err,
				  NULL, "VM %s is in no pool", name);
	}
	status = dsk_report(
		desk, ERR_NONE, json_pack("{s:O}", "row", found),
		"VM %s is %s in pool %s; reason: %s, since placement "
		"%" JSON_INTEGER_FORMAT,
		name, json_string_value(json_array_get(found, 2)),
		json_string_value(json_array_get(found, 1)),
		json_string_value(json_array_get(found, 4)),
		json_integer_value(json_array_get(found, 5)));
	json_decref(root);
	return status;
}

int cmd_explain(struct dsk_desk *desk, char **arguments)
{
	if (strcmp(arguments[0], "vm") == 0)
		return vm_explain(desk, arguments[1]);
	return dsk_report(desk, ERR_USAGE, NULL,
			  "expected 'explain vm NAME', found 'explain %s'",
			  arguments[0]);
}
