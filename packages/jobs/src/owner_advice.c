#include "owner_advice.h"

#include "log.h"
#include "owner_private.h"

/* Maximum number of workers per request: a larger request covers more workers
 * but takes longer. */
#define OWNER_ADVICE_WORKERS_MAX 24
/* Includes the time that a request queues behind others. */
#define OWNER_ADVICE_TIMEOUT_MS 3000
/* Delay after a failed request. */
#define OWNER_ADVICE_BACKOFF_MS 200
/* A ticket is not used this shortly before it expires, since the start order
 * takes time to reach the worker. */
#define OWNER_TICKET_EXPIRY_MARGIN_MS 150

struct owner_advice {
	/* worker to ticket, both owned; an empty ticket means that the worker
	 * may not run the step */
	GHashTable *tickets;
	uint64_t tickets_expire_ms;
	uint64_t backoff_until_ms;
	bool call_in_flight;
};

/* A request in flight. It refers to its group by the name of the first task,
 * since the group may be freed before the answer arrives. */
struct advice_call {
	struct weak_ref *owner_ref;
	char task_name[JOB_TASK_NAME_BYTES];
	uint64_t sent_ms;
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

static struct owner_advice *advice_get_or_create(struct job_group *group)
{
	if (group->advice)
		return group->advice;
	group->advice = g_new0(struct owner_advice, 1);
	group->advice->tickets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return group->advice;
}

const char *owner_advice_ticket(const struct job_group *group,
				const struct worker *worker)
{
	const char *ticket;

	if (!group->advice || loop_now_ms() >= group->advice->tickets_expire_ms)
		return NULL;
	ticket = g_hash_table_lookup(group->advice->tickets, worker->id);
	return ticket && *ticket ? ticket : NULL;
}

void owner_advice_ticket_drop(struct job_group *group,
			      const struct worker *worker)
{
	if (group->advice)
		g_hash_table_remove(group->advice->tickets, worker->id);
}

static struct job_group *group_find_by_task_name(struct owner *owner,
						 const char *name)
{
	struct job_task *task = owner_task_find_by_name(owner, name);

	return task ? task->group : NULL;
}

static void advice_call_destroy(struct advice_call *call)
{
	g_ptr_array_unref(call->workers);
	g_free(call);
}

static void tickets_store(struct owner_advice *advice,
			  const struct advice_call *call,
			  const struct adapter_ticket *tickets, size_t count,
			  uint32_t valid_ms)
{
	uint64_t expires_ms = call->sent_ms + valid_ms;

	/* The expiry of the oldest ticket is used for all, since newer ones
	 * expire later. */
	if (loop_now_ms() >= advice->tickets_expire_ms)
		g_hash_table_remove_all(advice->tickets);
	if (g_hash_table_size(advice->tickets) == 0)
		advice->tickets_expire_ms =
			expires_ms -
			MIN(expires_ms, OWNER_TICKET_EXPIRY_MARGIN_MS);
	for (guint i = 0; i < call->workers->len; i++)
		g_hash_table_insert(
			advice->tickets,
			g_strdup(g_ptr_array_index(call->workers, i)),
			g_strdup(""));
	for (size_t i = 0; i < count; i++)
		g_hash_table_insert(advice->tickets,
				    g_strdup(tickets[i].worker),
				    g_strdup(tickets[i].ticket));
}

static void on_advice(void *data, enum err_kind err,
		      const struct adapter_ticket *tickets, size_t count,
		      uint32_t valid_ms)
{
	struct advice_call *call = data;
	struct owner *owner = weak_ref_release(call->owner_ref);
	struct job_group *group =
		owner ? group_find_by_task_name(owner, call->task_name) : NULL;

	if (group && group->advice) {
		group->advice->call_in_flight = false;
		log_debug("advice-received",
			  "advice for the step of task %s, error %s: %zu of %u "
			  "workers allowed, valid for %u ms",
			  call->task_name, err_name(err), count,
			  call->workers->len, valid_ms);
		if (err == ERR_NONE)
			tickets_store(group->advice, call, tickets, count,
				      valid_ms);
		else
			group->advice->backoff_until_ms =
				loop_now_ms() + OWNER_ADVICE_BACKOFF_MS;
		owner_schedule_request(owner);
	}
	advice_call_destroy(call);
}

void owner_advice_request(struct owner *owner, struct job_group *group,
			  struct worker *const *workers, uint32_t count)
{
	struct owner_advice *advice = advice_get_or_create(group);
	bool expired = loop_now_ms() >= advice->tickets_expire_ms;
	struct advice_call *call;
	g_autofree char *step = NULL;

	if (advice->call_in_flight || loop_now_ms() < advice->backoff_until_ms)
		return;
	call = g_new0(struct advice_call, 1);
	call->workers = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0;
	     i < count && call->workers->len < OWNER_ADVICE_WORKERS_MAX; i++) {
		if (expired ||
		    !g_hash_table_contains(advice->tickets, workers[i]->id))
			g_ptr_array_add(call->workers,
					g_strdup(workers[i]->id));
	}
	if (call->workers->len == 0) {
		advice_call_destroy(call);
		return;
	}
	job_task_name(&group->tasks[0], call->task_name);
	step = g_strdup_printf("%s.%u.%u", group->occurrence->job->id,
			       group->occurrence->number, group->step_index);
	call->owner_ref = weak_ref_acquire(owner->weak_ref);
	call->sent_ms = loop_now_ms();
	advice->call_in_flight = true;
	g_ptr_array_add(call->workers, NULL);
	owner->config.platform->advise(
		owner->config.platform_self, step,
		(const char *const *)call->workers->pdata,
		OWNER_ADVICE_TIMEOUT_MS, on_advice, call);
	g_ptr_array_set_size(call->workers, (gint)call->workers->len - 1);
}
