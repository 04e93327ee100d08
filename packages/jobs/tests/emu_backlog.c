#include "emu_private.h"

/* A job counts as waiting from this time after it was accepted on. */
#define BACKLOG_VISIBLE_MS 5000
/* Answers count of processes that no fault has disturbed for so long. */
#define BACKLOG_CALM_MS 3000

struct backlog_request {
	struct emu *emu;
	uint32_t pool;
	uint64_t asked_ms;
};

static bool job_had_waited(const struct emu_job_state *state, uint32_t pool,
			   uint64_t asked_ms)
{
	return state->job.pool == pool && state->job.occurrences == 0 &&
	       state->accepted && !state->started && !state->cancel_sent &&
	       state->state <= JOB_RUNNING &&
	       asked_ms >= state->accepted_ms + BACKLOG_VISIBLE_MS;
}

void emu_backlog_observe(struct emu *emu, uint32_t pool, uint32_t asked_ms_ago,
			 uint32_t waiting)
{
	uint64_t disturbed_ms =
		MAX(emu->last_owner_fault_ms, emu->last_change_ms);
	uint64_t asked_ms = loop_now_ms() - asked_ms_ago;
	uint32_t count = 0;

	emu->stats.backlog_told = waiting;
	for (guint i = 0; i < emu->jobs->len; i++)
		count += job_had_waited(g_ptr_array_index(emu->jobs, i), pool,
					asked_ms);
	if (asked_ms < disturbed_ms + BACKLOG_CALM_MS)
		return;
	emu->stats.backlogs_told++;
	emu->stats.backlog_max = MAX(emu->stats.backlog_max, count);
	if (2 * waiting < count)
		emu_fail(emu, EMU_RULE_STATE,
			 "%u jobs of pool %u were reported to wait, %u have",
			 waiting, pool, count);
}

static void on_waiting(void *data, const struct jobs_answer *answer)
{
	struct backlog_request *request = data;
	uint64_t now_ms = loop_now_ms();

	if (answer->outcome == JOBS_OK)
		emu_backlog_observe(request->emu, request->pool,
				    (uint32_t)(now_ms - request->asked_ms),
				    answer->waiting);
	g_free(request);
}

void emu_backlog_query(struct emu *emu, uint32_t node, uint32_t pool)
{
	struct backlog_request *request;
	g_autofree char *queue = g_strdup_printf("queue-%u", pool);
	const struct jobs_call call = {
		.verb = JOBS_WAITING,
		.queue = queue,
		.deadline_ms = EMU_CALL_DEADLINE_MS,
	};
	struct emu_node *alive = emu_node_next_alive(emu, node);

	if (!alive)
		return;
	request = g_new0(struct backlog_request, 1);
	request->emu = emu;
	request->pool = pool;
	request->asked_ms = loop_now_ms();
	emu_call_deliver(alive, &call, on_waiting, request);
}

void emu_worker_set_refusing(struct emu *emu, uint32_t vm, bool refusing)
{
	emu->vms[vm].refuses_starts = refusing;
}

void emu_starts_set_lost(struct emu *emu, uint32_t permille)
{
	emu->lost_start_permille = permille;
}

bool emu_start_is_prevented(struct emu_order *order)
{
	struct emu *emu = order->node->emu;

	if (order->kind != EMU_ORDER_START)
		return false;
	if (emu->lost_start_permille > 0 &&
	    emu_random(emu, 1000) < emu->lost_start_permille) {
		emu_order_time_out(order);
		return true;
	}
	if (!order->vm->refuses_starts)
		return false;
	order->reply.clock_ms = emu_worker_clock_ms(order->vm);
	order->reply.verdict = ADAPTER_REFUSED_BUSY;
	emu_order_reply(order);
	return true;
}
