#include <inttypes.h>

#include "emu_private.h"
#include "worker.h"

/* A task is unavailable once the owner has stopped it, or once it has not run
 * for so long that the owner must have noticed. */
static bool task_is_unavailable(const struct emu_task *task)
{
	return task->active_runs == 0 &&
	       (task->stopped_by_owner ||
		loop_now_ms() - task->inactive_since_ms >=
			EMU_DETECTION_MAX_MS);
}

void emu_availability_check(struct emu_vm *vm, const struct emu_task_run *run)
{
	struct emu *emu = vm->emu;
	const struct emu_job_state *state =
		g_ptr_array_index(emu->jobs, run->job);
	int32_t unavailable = 0;

	emu_task_get(emu, run->job, run->step, run->index)->stopped_by_owner =
		true;
	if (state->cancel_sent || state->job.max_unavailable < 0 ||
	    !state->job.long_running || vm->draining ||
	    loop_now_ms() - run->started_ms < EMU_TASK_STARTUP_MS)
		return;
	for (uint32_t i = 0; i < state->job.tasks_per_step; i++)
		unavailable += i != run->index &&
			       task_is_unavailable(emu_task_get(emu, run->job,
								run->step, i));
	if (unavailable >= MAX(state->job.max_unavailable, 1))
		emu_fail(emu, EMU_RULE_AVAIL,
			 "%s was stopped while %d others are unavailable",
			 run->task, unavailable);
}

void emu_route_check(const struct emu_vm *vm, const struct emu_order *order,
		     uint32_t job, uint32_t step)
{
	struct emu *emu = vm->emu;
	const struct emu_job_state *state = g_ptr_array_index(emu->jobs, job);
	uint32_t max_per_worker =
		g_array_index(state->spec->steps, struct job_step,
			      step % state->job.steps)
			.max_per_worker;
	uint32_t count = 0;

	for (guint i = 0; i < vm->runs->len; i++) {
		const struct emu_task_run *run =
			&g_array_index(vm->runs, struct emu_task_run, i);

		count += run->job == job && run->step == step;
	}
	if (vm->pool != state->job.pool)
		emu_fail(emu, EMU_RULE_ROUTE, "%s started in pool-%u",
			 order->task, vm->pool);
	if (max_per_worker > 0 && count >= max_per_worker)
		emu_fail(emu, EMU_RULE_ROUTE,
			 "%s started beside %u tasks of its step", order->task,
			 count);
}

void emu_start_check(struct emu *emu, const struct emu_order *order,
		     uint32_t job, uint32_t step,
		     const struct job_task_id *parts)
{
	const char *name = order->task;
	struct emu_job_state *state = g_ptr_array_index(emu->jobs, job);
	struct emu_task *task = emu_task_get(emu, job, step, parts->index);

	state->started = true;
	if (g_strcmp0(order->payload, EMU_PAYLOAD) != 0)
		emu_fail(emu, EMU_RULE_UNASKED, "%s started with payload '%s'",
			 name, order->payload ? order->payload : "");
	if (state->refused && !state->accepted && !state->outcome_unknown &&
	    state->submissions_in_flight == 0)
		emu_fail(emu, EMU_RULE_UNASKED, "%s: job was refused", name);
	/* An order sent before the cancellation may be executed late. An owner
	 * whose lease was revoked without notice acts until it learns of it. */
	if (state->cancel_confirmed &&
	    order->sent_ms >=
		    state->cancel_answered_ms +
			    (emu_fence_is_of_current_owner(emu, order->fence)
				     ? 0
				     : EMU_CANCEL_MS))
		emu_fail(emu, EMU_RULE_UNASKED,
			 "%s: job was cancelled %" PRIu64
			 " ms before process %u ordered run %u in epoch "
			 "%" PRIu64,
			 name, order->sent_ms - state->cancel_answered_ms,
			 order->node->number, order->run,
			 order->fence / WORKER_FENCE_SPAN);
	if (task->active_runs > 0)
		emu_fail(emu, EMU_RULE_TWICE, "%s started while running", name);
	if (emu->config.listed_ends_count && task->success_listed_ms != 0 &&
	    loop_now_ms() >= task->success_listed_ms + EMU_LISTED_MS)
		emu_fail(emu, EMU_RULE_TWICE,
			 "%s restarted %u ms after its success was listed",
			 name,
			 (uint32_t)(loop_now_ms() - task->success_listed_ms));
	if (task->completion_acked)
		emu_fail(emu, EMU_RULE_TWICE, "%s restarted after success",
			 name);
	if (!state->job.long_running &&
	    task->failed_runs->len >= emu->config.attempts)
		emu_fail(emu, EMU_RULE_BUDGET,
			 "%s started after %u failed runs", name,
			 task->failed_runs->len);
	emu_crash_check(emu, task, name);
	if (state->job.occurrences > 0 &&
	    loop_unix_ms() + EMU_EARLY_MAX_MS <
		    state->spec->first_run_unix_ms +
			    parts->occurrence * state->spec->interval_ms)
		emu_fail(emu, EMU_RULE_ORDER, "%s started before its time",
			 name);
	if (parts->step == 0 || state->job.long_running)
		return;
	for (uint32_t i = 0; i < state->job.tasks_per_step; i++) {
		const struct emu_task *earlier =
			emu_task_get(emu, job, step - 1, i);

		if (!earlier->completed)
			emu_fail(emu, EMU_RULE_ORDER,
				 "%s started before step %u completed", name,
				 parts->step - 1);
	}
}
