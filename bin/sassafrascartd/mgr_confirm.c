#include "mgr_private.h"

/* Margins for clock drift: a share of the dispatch window and a fixed time. */
#define MGR_CLOCK_DRIFT_DIVISOR 10
#define MGR_CLOCK_DRIFT_MS 100
/*
 * A change of the electorate is delayed by at most this time, so that it can be
 * written together with another change of the placement.
 */
#define MGR_ELECTORATE_WAIT_MS 5000

/* Query for processes that have applied a placement number. */
struct applied_query {
	const struct mgr_manager *manager;
	uint64_t number;
};

static bool has_applied(void *data, const char *id)
{
	const struct applied_query *query = data;
	const struct confirm_process *process =
		g_hash_table_lookup(query->manager->processes, id);

	return process && process->applied >= query->number;
}

static bool majority_applied(const struct mgr_manager *manager, uint64_t number)
{
	struct applied_query query = { manager, number };

	return quorum_electorate_has_majority(&manager->view->electorate,
					      has_applied, &query);
}

static GArray *processes_list(struct mgr_manager *manager)
{
	GArray *list =
		g_array_new(FALSE, FALSE, sizeof(struct confirm_process));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, manager->processes);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_array_append_vals(list, value, 1);
	return list;
}

bool mgr_confirm_update(struct mgr_manager *manager,
			struct confirm_state *confirm, uint64_t number)
{
	g_autoptr(GArray) list = processes_list(manager);
	uint32_t window_ms = manager->config.dispatch_window_ms;
	const struct confirm_input input = {
		.processes = (void *)list->data,
		.count = list->len,
		.majority = majority_applied(manager, number),
		.now_ms = loop_now_ms(),
		.expiry_ms = window_ms + window_ms / MGR_CLOCK_DRIFT_DIVISOR +
			     MGR_CLOCK_DRIFT_MS,
	};

	return confirm_update(confirm, number, &input);
}

static gint id_compare(gconstpointer a, gconstpointer b)
{
	return g_strcmp0(*(char *const *)a, *(char *const *)b);
}

static bool is_member(const struct mgr_manager *manager, const char *id)
{
	char **members = manager->view->electorate.members;

	return members && g_strv_contains((const char *const *)members, id);
}

/* Returns the processes that should form the electorate, in ascending order. */
static GPtrArray *members_wanted(struct mgr_manager *manager)
{
	static const struct confirm_process unknown;
	GPtrArray *wanted = g_ptr_array_new();
	char **member = manager->view->electorate.members;
	uint64_t now_ms = loop_now_ms();
	GHashTableIter iter;
	gpointer value;
	gpointer id;

	g_hash_table_iter_init(&iter, manager->processes);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		if (confirm_is_member(value, is_member(manager, id),
				      manager->term_began_ms, now_ms))
			g_ptr_array_add(wanted, id);
	}
	for (; member && *member; member++) {
		if (!g_hash_table_contains(manager->processes, *member) &&
		    confirm_is_member(&unknown, true, manager->term_began_ms,
				      now_ms))
			g_ptr_array_add(wanted, *member);
	}
	g_ptr_array_sort(wanted, id_compare);
	g_ptr_array_add(wanted, NULL);
	return wanted;
}

void mgr_electorate_plan(struct mgr_manager *manager)
{
	const struct quorum_electorate *electorate = &manager->view->electorate;
	g_autoptr(GPtrArray) wanted = members_wanted(manager);
	struct mgr_plan *plan = &manager->plan;
	struct quorum_electorate next = { 0 };
	uint64_t now_ms = loop_now_ms();

	if (manager->members_read_ms == 0 ||
	    !quorum_electorate_next(
		    electorate, (char **)wanted->pdata,
		    majority_applied(manager, electorate->since_placement),
		    manager->view->number + 1, &next)) {
		manager->electorate_due_ms = 0;
		return;
	}
	if (manager->electorate_due_ms == 0)
		manager->electorate_due_ms = now_ms + MGR_ELECTORATE_WAIT_MS;
	if (!plan->write_placement && now_ms < manager->electorate_due_ms) {
		quorum_electorate_clear(&next);
		return;
	}
	manager->electorate_due_ms = 0;
	quorum_electorate_clear(&plan->view->electorate);
	plan->view->electorate = next;
	plan->write_placement = true;
}
