#include <string.h>

#include "emu_private.h"
#include "log.h"

uint64_t emu_worker_clock_ms(const struct emu_vm *vm)
{
	return loop_now_ms() - vm->started_ms + 1000;
}

static void run_clear(gpointer data)
{
	g_free(((struct emu_task_run *)data)->checkpoint);
}

void emu_vm_start(struct emu_vm *vm, uint32_t pool)
{
	vm->pool = pool;
	vm->up = true;
	vm->state = ADAPTER_VM_UP;
	vm->incarnation++;
	vm->port = (uint16_t)++vm->emu->next_port;
	g_snprintf(vm->worker, sizeof(vm->worker), "w-%u-%u", vm->number,
		   vm->incarnation);
	vm->started_ms = loop_now_ms();
	vm->born_ms = vm->started_ms + (uint64_t)(int64_t)vm->clock_ahead_ms;
	vm->cpu_milli = emu_vm_cpu_milli(vm->emu, vm->number);
	vm->fence = 0;
	vm->lease_until_ms = 0;
	vm->last_end_number = 0;
	vm->acked = 0;
	vm->draining = false;
	vm->transition_ms = 0;
	vm->heartbeat_ms = 0;
	if (!vm->runs) {
		vm->runs =
			g_array_new(FALSE, TRUE, sizeof(struct emu_task_run));
		g_array_set_clear_func(vm->runs, run_clear);
		vm->run_ends =
			g_array_new(FALSE, TRUE, sizeof(struct emu_run_end));
		g_queue_init(&vm->pending_polls);
	}
}

static struct job_step *step_of(struct emu *emu, uint32_t job, uint32_t step)
{
	struct emu_job_state *state = g_ptr_array_index(emu->jobs, job);

	return &g_array_index(state->spec->steps, struct job_step,
			      step % state->spec->steps->len);
}

int64_t emu_vm_free_cpu(struct emu_vm *vm)
{
	int64_t left = vm->cpu_milli;

	for (guint i = 0; i < vm->runs->len; i++) {
		const struct emu_task_run *run =
			&g_array_index(vm->runs, struct emu_task_run, i);
		const struct job_step *step =
			step_of(vm->emu, run->job, run->step);

		if (!step->is_best_effort)
			left -= step->need.cpu_milli;
	}
	return left;
}

static void run_account_end(struct emu_vm *vm, const struct emu_task_run *run,
			    bool counted)
{
	struct emu_task *task =
		emu_task_get(vm->emu, run->job, run->step, run->index);

	task->active_runs--;
	task->inactive_since_ms = loop_now_ms();
	if (!counted)
		vm->emu->stats.wasted_run_ms += loop_now_ms() - run->started_ms;
}

/* The success of one member completes the whole gang. */
static void completion_record(struct emu *emu, const struct emu_task_run *run)
{
	const struct emu_job_state *state =
		g_ptr_array_index(emu->jobs, run->job);

	for (uint32_t i = 0; i < state->job.tasks_per_step; i++) {
		if (i == run->index || state->job.gang)
			emu_task_get(emu, run->job, run->step, i)->completed =
				true;
	}
}

static void run_end(struct emu_vm *vm, guint index, enum adapter_end_kind kind)
{
	struct emu_task_run *run =
		&g_array_index(vm->runs, struct emu_task_run, index);
	struct emu_run_end end = {
		.number = ++vm->last_end_number,
		.run = run->run,
		.job = run->job,
		.step = run->step,
		.index = run->index,
		.kind = kind,
		.ended_ms = loop_now_ms(),
	};

	g_strlcpy(end.task, run->task, sizeof(end.task));
	run_account_end(vm, run, kind == ADAPTER_END_DONE);
	if (kind == ADAPTER_END_LEASE_EXPIRED &&
	    loop_now_ms() - vm->emu->last_fault_ms > EMU_DETECTION_MAX_MS)
		emu_task_get(vm->emu, run->job, run->step, run->index)
			->stopped_by_owner = true;
	if (kind == ADAPTER_END_DONE)
		completion_record(vm->emu, run);
	if (kind == ADAPTER_END_FAILED)
		emu_task_get(vm->emu, run->job, run->step, run->index)
			->failures++;
	log_debug("emu-end", "%s run %u at %s: %s", end.task, end.run,
		  vm->worker, adapter_end_name(kind));
	g_array_remove_index(vm->runs, index);
	g_array_append_val(vm->run_ends, end);
	if (((struct emu_job_state *)g_ptr_array_index(vm->emu->jobs, end.job))
		    ->job.gang &&
	    kind != ADAPTER_END_DONE)
		emu_gang_break(vm->emu, end.job, end.step);
	/* Incomplete gangs are expected during and shortly after faults. */
	if (kind == ADAPTER_END_GANG_INCOMPLETE &&
	    loop_now_ms() - vm->emu->last_fault_ms > 2 * EMU_GANG_TIMEOUT_MS)
		emu_fail(vm->emu, EMU_RULE_GANG,
			 "%s run %u timed out waiting for its gang", end.task,
			 end.run);
}

void emu_order_free(struct emu_order *order)
{
	if (order->names) {
		g_string_chunk_free(order->names);
		g_array_unref(order->running);
		g_array_unref(order->ends);
	}
	g_free(order->checkpoint);
	g_free(order->payload);
	g_free(order->pool);
	g_free(order);
}

/* Handles the acknowledgement of the run ends up to a number. */
static void ends_acknowledge(struct emu_vm *vm, uint64_t upto)
{
	while (vm->run_ends->len > 0) {
		const struct emu_run_end *end =
			&g_array_index(vm->run_ends, struct emu_run_end, 0);
		struct emu_task *task;

		if (end->number > upto)
			return;
		task = emu_task_get(vm->emu, end->job, end->step, end->index);
		log_debug("emu-end-acked", "%s run %u at %s: %s", end->task,
			  end->run, vm->worker, adapter_end_name(end->kind));
		if (end->lease_expired) {
			g_array_remove_index(vm->run_ends, 0);
			continue;
		}
		if (end->kind == ADAPTER_END_DONE) {
			if (task->active_runs > 0)
				emu_fail(vm->emu, EMU_RULE_TWICE,
					 "%s runs although run %u succeeded",
					 end->task, end->run);
			else if (task->last_start_ms > end->ended_ms)
				emu_fail(vm->emu, EMU_RULE_TWICE,
					 "%s was started after run %u had "
					 "succeeded",
					 end->task, end->run);
			task->completion_acked = true;
		} else if (end->kind == ADAPTER_END_FAILED) {
			g_array_append_val(task->failed_runs, end->run);
		}
		g_array_remove_index(vm->run_ends, 0);
	}
}

static const char *task_name_keep(struct emu_order *order, const char *task)
{
	return g_string_chunk_insert(order->names, task);
}

static void success_list(struct emu *emu, const struct emu_run_end *end)
{
	struct emu_task *task =
		emu_task_get(emu, end->job, end->step, end->index);

	if (end->kind == ADAPTER_END_DONE && !end->lease_expired &&
	    task->success_listed_ms == 0)
		task->success_listed_ms = loop_now_ms();
}

/* Copies what the worker reports at this moment; it arrives later. */
static void report_fill(struct emu_order *order)
{
	struct emu_vm *vm = order->vm;

	order->names = g_string_chunk_new(256);
	order->running = g_array_new(FALSE, TRUE, sizeof(struct adapter_run));
	order->ends = g_array_new(FALSE, TRUE, sizeof(struct adapter_run_end));
	order->reply.clock_ms = emu_worker_clock_ms(vm);
	order->report = (struct adapter_report){
		.clock_ms = order->reply.clock_ms,
		.started_unix_ms = vm->born_ms,
	};

	for (guint i = 0; i < vm->runs->len; i++) {
		const struct emu_task_run *run =
			&g_array_index(vm->runs, struct emu_task_run, i);
		bool up =
			loop_now_ms() - run->started_ms >= EMU_TASK_STARTUP_MS;
		const struct adapter_run row = {
			.task = task_name_keep(order, run->task),
			.run = run->run,
			.checkpoint = "",
			.speed_percent = up ? run->speed_percent : 0,
		};

		g_array_append_val(order->running, row);
	}
	for (guint i = 0; i < MIN(vm->run_ends->len, EMU_REPORT_ENDS_MAX);
	     i++) {
		const struct emu_run_end *end =
			&g_array_index(vm->run_ends, struct emu_run_end, i);
		const struct adapter_run_end row = {
			.number = end->number,
			.task = task_name_keep(order, end->task),
			.run = end->run,
			.kind = end->kind,
			.checkpoint = "",
		};

		g_array_append_val(order->ends, row);
		success_list(vm->emu, end);
	}
	order->report.runs = (const struct adapter_run *)order->running->data;
	order->report.run_count = order->running->len;
	order->report.ends = (const struct adapter_run_end *)order->ends->data;
	order->report.end_count = order->ends->len;
}

static bool answer_has_report(const struct emu_order *order)
{
	return order->kind == EMU_ORDER_POLL && order->reply.err == ERR_NONE &&
	       order->reply.verdict == ADAPTER_ACCEPTED;
}

void emu_order_reply_deliver(void *data)
{
	struct emu_order *order = data;
	struct emu_node *node = order->node;

	if (!node->alive || node->incarnation != order->node_incarnation) {
		order->reply.err = ERR_CUT;
		order->vm_err = ERR_CUT;
	}
	if (order->vm_cb)
		order->vm_cb(order->data, order->vm_err, order->vm_verdict);
	else {
		if (answer_has_report(order)) {
			if (!order->names)
				report_fill(order);
			order->reply.report = &order->report;
		}
		order->cb(order->data, &order->reply);
	}
	emu_order_free(order);
}

void emu_vm_clear(struct emu_vm *vm)
{
	while (vm->pending_polls.head) {
		struct emu_order *order = vm->pending_polls.head->data;

		g_queue_unlink(&vm->pending_polls, &order->link);
		emu_order_reply_deliver(order);
	}
	g_array_unref(vm->runs);
	g_array_unref(vm->run_ends);
}

bool emu_answers_are_slow(const struct emu_node *node)
{
	return node->emu->config.pausable ||
	       node->emu->slow_answers_max_ms > 0 ||
	       node->stalled_until_ms > loop_now_ms();
}

uint64_t emu_answer_arrival_ms(const struct emu_node *node)
{
	struct emu *emu = node->emu;
	uint64_t due_ms = loop_now_ms() + EMU_ONE_WAY_LATENCY_MS;

	if (emu->slow_answers_max_ms > 0 &&
	    emu_random(emu, EMU_SLOW_ANSWER_ONE_IN) == 0)
		due_ms += emu_random(emu, emu->slow_answers_max_ms);
	return MAX(due_ms, node->stalled_until_ms);
}

void emu_order_reply(struct emu_order *order)
{
	uint64_t due_ms = emu_answer_arrival_ms(order->node);
	uint64_t deadline_ms = order->sent_ms + order->timeout_ms;

	/* Seeds without slow answers are kept as they ran before. */
	if (emu_answers_are_slow(order->node) && answer_has_report(order))
		report_fill(order);
	if (due_ms >= deadline_ms &&
	    due_ms > loop_now_ms() + EMU_ONE_WAY_LATENCY_MS) {
		due_ms = MAX(deadline_ms, loop_now_ms());
		order->reply.err = ERR_TIMEOUT;
	}
	emu_schedule_at(order->node, (uint32_t)(due_ms - loop_now_ms()),
			emu_order_reply_deliver, order);
}

void emu_vm_stop(struct emu_vm *vm)
{
	log_debug("emu-worker-stop", "%s, runs %u", vm->worker, vm->runs->len);
	for (guint i = 0; i < vm->runs->len; i++) {
		const struct emu_task_run *run =
			&g_array_index(vm->runs, struct emu_task_run, i);

		emu_task_get(vm->emu, run->job, run->step, run->index)
			->crashes_with++;
		run_account_end(vm, run, false);
	}
	g_array_set_size(vm->runs, 0);
	g_array_set_size(vm->run_ends, 0);
	vm->up = false;
	/* The connections of pending polls are reset. */
	while (vm->pending_polls.head) {
		struct emu_order *order = vm->pending_polls.head->data;

		g_queue_unlink(&vm->pending_polls, &order->link);
		if (vm->emu->config.silent_crashes || vm->without_power) {
			emu_order_time_out(order);
			continue;
		}
		order->reply.err = emu_link_is_cut(order->node, vm)
					   ? ERR_TIMEOUT
					   : ERR_CUT;
		emu_order_reply(order);
	}
}

static guint run_find(const struct emu_vm *vm, const char *task, uint32_t run)
{
	guint i;

	for (i = 0; i < vm->runs->len; i++) {
		const struct emu_task_run *row =
			&g_array_index(vm->runs, struct emu_task_run, i);

		if (strcmp(row->task, task) == 0 &&
		    (run == 0 || row->run == run))
			break;
	}
	return i;
}

static bool run_is_stale(const struct emu_vm *vm, const char *task,
			 uint32_t run)
{
	for (guint i = 0; i < vm->run_ends->len; i++) {
		const struct emu_run_end *end =
			&g_array_index(vm->run_ends, struct emu_run_end, i);

		if (strcmp(end->task, task) == 0 && end->run >= run)
			return true;
	}
	return false;
}

static enum adapter_verdict run_start(struct emu_vm *vm,
				      const struct emu_order *order)
{
	struct emu *emu = vm->emu;
	struct emu_task_run run = { .run = order->run, .speed_percent = 100 };
	const struct emu_job_state *state;
	const struct job_step *step;
	struct job_task_id parts;
	uint32_t job;
	uint32_t row;

	if (run_find(vm, order->task, order->run) < vm->runs->len)
		return ADAPTER_ACCEPTED;
	if (run_find(vm, order->task, 0) < vm->runs->len ||
	    run_is_stale(vm, order->task, order->run))
		return ADAPTER_REFUSED_STALE_RUN;
	if (order->lease_until_ms <= emu_worker_clock_ms(vm))
		return ADAPTER_REFUSED_LEASE_EXPIRED;
	if (!job_task_id_parse(order->task, &parts) ||
	    !emu_job_number_parse(emu, parts.job, &job)) {
		emu_fail(emu, EMU_RULE_UNASKED, "%s: no such job", order->task);
		return ADAPTER_REFUSED_INVALID;
	}
	state = g_ptr_array_index(emu->jobs, job);
	row = parts.occurrence * state->spec->steps->len + parts.step;
	step = step_of(emu, job, row);
	if (!step->is_best_effort &&
	    emu_vm_free_cpu(vm) < step->need.cpu_milli) {
		if (!emu->config.unguarded)
			return ADAPTER_REFUSED_CAPACITY;
		emu_capacity_check(vm, order);
	}
	emu_route_check(vm, order, job, row);
	emu_start_check(emu, order, job, row, &parts);
	emu_account_check(emu, job, step);
	g_strlcpy(run.task, order->task, sizeof(run.task));
	run.job = job;
	run.step = row;
	run.index = parts.index;
	run.started_ms = loop_now_ms();
	run.ends_ms =
		state->job.long_running
			? UINT64_MAX
			: run.started_ms + state->job.task_ms +
				  emu_random(emu, state->job.task_ms / 2 + 1);
	run.will_fail = state->job.always_fails || vm->fails_all_runs ||
			emu_random(emu, 1000) < state->job.fail_permille;
	if (run.will_fail)
		run.ends_ms = run.started_ms + state->job.task_ms / 3 + 1;
	run.awaits_gang = state->job.gang;
	emu_task_get(emu, job, row, parts.index)->active_runs++;
	emu_task_get(emu, job, row, parts.index)->last_start_ms = loop_now_ms();
	emu_task_get(emu, job, row, parts.index)->last_start_fence =
		order->fence;
	emu_task_get(emu, job, row, parts.index)->stopped_by_owner = false;
	log_debug("emu-start", "%s run %u at %s fence %" G_GUINT64_FORMAT,
		  order->task, order->run, vm->worker, order->fence);
	emu->stats.runs++;
	emu_moved_vm_record(vm);
	g_array_append_val(vm->runs, run);
	return ADAPTER_ACCEPTED;
}

void emu_order_execute(struct emu_vm *vm, struct emu_order *order)
{
	guint index;

	vm->fence = MAX(vm->fence, order->fence);
	switch (order->kind) {
	case EMU_ORDER_START:
		vm->lease_until_ms =
			MAX(vm->lease_until_ms,
			    MIN(order->lease_until_ms,
				emu_worker_clock_ms(vm) + EMU_LEASE_MAX_MS));
		order->reply.verdict = run_start(vm, order);
		break;
	case EMU_ORDER_STOP:
		index = run_find(vm, order->task, order->run);
		if (index < vm->runs->len) {
			struct emu_task_run *run = &g_array_index(
				vm->runs, struct emu_task_run, index);

			/* A delayed order reflects an earlier view of the
			 * owner, so EMU_RULE_AVAIL is not checked for it. */
			if (!run->stopping &&
			    loop_now_ms() - order->sent_ms < EMU_ORDER_STALE_MS)
				emu_availability_check(vm, run);
			run->stopping = true;
			run->ends_ms =
				MIN(run->ends_ms,
				    loop_now_ms() + vm->emu->config.stop_ms);
		}
		break;
	case EMU_ORDER_SET_SPEED:
		index = run_find(vm, order->task, order->run);
		if (index < vm->runs->len)
			g_array_index(vm->runs, struct emu_task_run, index)
				.speed_percent = order->percent;
		break;
	default:
		if (order->lease_until_ms != 0)
			vm->lease_until_ms = MAX(vm->lease_until_ms,
						 MIN(order->lease_until_ms,
						     emu_worker_clock_ms(vm) +
							     EMU_LEASE_MAX_MS));
		ends_acknowledge(vm, order->acked_upto);
		break;
	}
}

static void runs_tick(struct emu_vm *vm)
{
	uint64_t now_ms = loop_now_ms();
	bool lease_expired = emu_worker_clock_ms(vm) > vm->lease_until_ms;

	for (guint i = 0; lease_expired && i < vm->run_ends->len; i++)
		g_array_index(vm->run_ends, struct emu_run_end, i)
			.lease_expired = true;
	for (guint i = vm->runs->len; i-- > 0;) {
		const struct emu_task_run *run =
			&g_array_index(vm->runs, struct emu_task_run, i);
		const struct emu_job_state *state =
			g_ptr_array_index(vm->emu->jobs, run->job);

		if (lease_expired)
			run_end(vm, i, ADAPTER_END_LEASE_EXPIRED);
		else if (run->gang_broken)
			run_end(vm, i, ADAPTER_END_GANG_BROKEN);
		else if (run->stopping && run->ends_ms <= now_ms)
			run_end(vm, i, ADAPTER_END_STOPPED);
		else if (run->will_fail && run->ends_ms <= now_ms)
			run_end(vm, i, ADAPTER_END_FAILED);
		else if (state->job.gang && run->awaits_gang &&
			 now_ms - run->started_ms > EMU_GANG_TIMEOUT_MS)
			run_end(vm, i, ADAPTER_END_GANG_INCOMPLETE);
		else if (!run->awaits_gang && run->ends_ms <= now_ms)
			run_end(vm, i, ADAPTER_END_DONE);
	}
}

char *emu_entry_key(const struct emu_vm *vm)
{
	const struct emu_entry_format *format = vm->emu->entry_format;

	return g_strconcat(format ? format->prefix : "workers/", vm->worker,
			   NULL);
}

static void heartbeat_write(struct emu_vm *vm)
{
	const struct emu_entry_format *format = vm->emu->entry_format;
	g_autofree char *key = emu_entry_key(vm);
	g_autofree char *value =
		format ? format->encode(vm->emu, vm->number)
		       : g_strdup_printf("%u %u %u %d %" G_GUINT64_FORMAT
					 " %" G_GINT64_FORMAT,
					 vm->entry_vm, vm->pool, vm->port,
					 vm->draining, vm->born_ms,
					 vm->cpu_milli);

	vm->heartbeat_ms = loop_now_ms();
	emu_store_put(vm->emu, key, value, 0);
}

/* Removes the entry of a stopped worker, at the latest after three heartbeat
 * intervals. The next worker on the VM has another key. */
static void entry_remove(struct emu_vm *vm)
{
	g_autofree char *key = emu_entry_key(vm);

	if (emu_store_get(vm->emu, key))
		emu_store_put(vm->emu, key, NULL, 0);
}

void emu_vm_tick(struct emu_vm *vm)
{
	uint64_t now_ms = loop_now_ms();
	GList *next;

	if (vm->up && vm->draining && now_ms >= vm->transition_ms) {
		emu_vm_stop(vm);
		vm->state = ADAPTER_VM_DOWN;
		vm->transition_ms = now_ms + 2000;
	}
	if (vm->keeps_identity && now_ms >= vm->transition_ms)
		emu_vm_bring_up(vm);
	if (!vm->up && vm->transition_ms != 0 && now_ms >= vm->transition_ms) {
		entry_remove(vm);
		emu_vm_start(vm, vm->pool);
	}
	if (!vm->up) {
		if (now_ms - vm->heartbeat_ms > 3 * EMU_HEARTBEAT_INTERVAL_MS)
			entry_remove(vm);
	} else if (vm->pool < vm->emu->config.pools) {
		if (emu_crash_tick(vm))
			return;
		runs_tick(vm);
		if (now_ms - vm->heartbeat_ms >= EMU_HEARTBEAT_INTERVAL_MS ||
		    vm->heartbeat_ms == 0)
			heartbeat_write(vm);
		vm->emu->stats.vm_up_ms += 10;
	}
	for (GList *at = vm->pending_polls.head; at; at = next) {
		struct emu_order *order = at->data;

		next = at->next;
		if (vm->up && emu_order_matches_worker(order) &&
		    vm->run_ends->len == 0 && now_ms < order->due_ms)
			continue;
		g_queue_unlink(&vm->pending_polls, &order->link);
		if (!vm->up || !emu_order_matches_worker(order))
			order->reply.err = ERR_CUT;
		else if (emu_link_is_cut(order->node, vm))
			order->reply.err = ERR_TIMEOUT;
		emu_order_reply(order);
	}
}
