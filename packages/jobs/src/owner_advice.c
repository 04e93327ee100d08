#include "owner_advice.h"

#include "log.h"
#include "owner_private.h"

/* Workers that one question names: more tell more, and take longer each. */
#define OWN_ADVICE_WORKERS 24
/* Deadline of a question, which waits its turn behind others. */
#define OWN_ADVICE_TIMEOUT_MS 3000
/* Pause after a question that was not answered. */
#define OWN_ADVICE_PAUSE_MS 200
/* A ticket is not used in the last part of its life: the order is on its way
 * for some time. */
#define OWN_ADVICE_MARGIN_MS 150

struct owner_advice {
	/* worker to ticket, both owned; an empty ticket means not allowed */
	GHashTable *tickets;
	uint64_t expires_ms;
	uint64_t not_before_ms;
	bool asking;
};

/* A question under way names its group, which may be gone by its answer. */
struct advice_call {
	struct weak_ref *cell;
	char name[JOB_TASK_NAME_BYTES];
	uint64_t asked_ms;
	/* of char *, owned */
	GPtrArray *workers;
};

void owner_advice_destroy(struct owner_advice *advice)
{
	if (!advice)
		return;
	g_hash_table_unref(advice->tickets);
	g_free(advice);
}

static struct owner_advice *advice_get(struct job_group *group)
{
	if (group->advice)
		return group->advice;
	group->advice = g_new0(struct owner_advice, 1);
	group->advice->tickets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return group->advice;
}

const char *own_advice_ticket(const struct job_group *group,
			      const struct worker *worker)
{
	const char *ticket;

	if (!group->advice || loop_now_ms() >= group->advice->expires_ms)
		return NULL;
	ticket = g_hash_table_lookup(group->advice->tickets, worker->id);
	return ticket && *ticket ? ticket : NULL;
}

void own_advice_refused(struct job_group *group, const struct worker *worker)
{
	if (group->advice)
		g_hash_table_remove(group->advice->tickets, worker->id);
}

static struct job_group *group_find(struct owner *owner, const char *name)
{
	struct job_task *task = own_task_find(owner, name);

	return task ? task->group : NULL;
}

static void call_free(struct advice_call *call)
{
	g_ptr_array_unref(call->workers);
	g_free(call);
}

static void advice_take(struct owner_advice *advice,
			const struct advice_call *call,
			const struct adapter_ticket *rows, size_t count,
			uint32_t valid_ms)
{
	uint64_t expires_ms = call->asked_ms + valid_ms;

	/* Older tickets run out sooner, so one time holds for all. */
	if (loop_now_ms() >= advice->expires_ms)
		g_hash_table_remove_all(advice->tickets);
	if (g_hash_table_size(advice->tickets) == 0)
		advice->expires_ms =
			expires_ms - MIN(expires_ms, OWN_ADVICE_MARGIN_MS);
	for (guint i = 0; i < call->workers->len; i++)
		g_hash_table_insert(
			advice->tickets,
			g_strdup(g_ptr_array_index(call->workers, i)),
			g_strdup(""));
	for (size_t i = 0; i < count; i++)
		g_hash_table_insert(advice->tickets, g_strdup(rows[i].worker),
				    g_strdup(rows[i].ticket));
}

static void on_advice(void *data, enum err_kind err,
		      const struct adapter_ticket *rows, size_t count,
		      uint32_t valid_ms)
{
	struct advice_call *call = data;
	struct owner *owner = weak_ref_release(call->cell);
	struct job_group *group = owner ? group_find(owner, call->name) : NULL;

	if (group && group->advice) {
		group->advice->asking = false;
		log_debug("advice", "%s: %s, %zu of %u workers, for %u ms",
			  call->name, err_name(err), count, call->workers->len,
			  valid_ms);
		if (err == ERR_NONE)
			advice_take(group->advice, call, rows, count, valid_ms);
		else
			group->advice->not_before_ms =
				loop_now_ms() + OWN_ADVICE_PAUSE_MS;
		own_plan_soon(owner);
	}
	call_free(call);
}

void own_advice_ask(struct owner *owner, struct job_group *group,
		    struct worker *const *workers, uint32_t count)
{
	struct owner_advice *advice = advice_get(group);
	bool expired = loop_now_ms() >= advice->expires_ms;
	struct advice_call *call;
	g_autofree char *step = NULL;

	if (advice->asking || loop_now_ms() < advice->not_before_ms)
		return;
	call = g_new0(struct advice_call, 1);
	call->workers = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0;
	     i < count && call->workers->len < OWN_ADVICE_WORKERS; i++) {
		if (expired ||
		    !g_hash_table_contains(advice->tickets, workers[i]->id))
			g_ptr_array_add(call->workers,
					g_strdup(workers[i]->id));
	}
	if (call->workers->len == 0) {
		call_free(call);
		return;
	}
	job_task_name(&group->tasks[0], call->name);
	step = g_strdup_printf("%s.%u.%u", group->occurrence->job->id,
			       group->occurrence->number, group->step_index);
	call->cell = weak_ref_acquire(owner->cell);
	call->asked_ms = loop_now_ms();
	advice->asking = true;
	g_ptr_array_add(call->workers, NULL);
	owner->config.platform->advise(
		owner->config.platform_self, step,
		(const char *const *)call->workers->pdata,
		OWN_ADVICE_TIMEOUT_MS, on_advice, call);
	g_ptr_array_set_size(call->workers, (gint)call->workers->len - 1);
}
