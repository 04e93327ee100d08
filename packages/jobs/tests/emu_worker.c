#include <string.h>

#include "emu_private.h"
#include "log.h"

uint64_t emu_worker_clock(const struct emu_vm *vm)
{
	return loop_now_ms() - vm->born_ms + 1000;
}

static void run_clear(gpointer data)
{
	g_free(((struct emu_run_of_task *)data)->checkpoint);
}

void emu_vm_open(struct emu_vm *vm, uint32_t pool)
{
	vm->pool = pool;
	vm->up = true;
	vm->state = ADAPTER_VM_UP;
	vm->life++;
	vm->port = (uint16_t)++vm->emu->next_port;
	g_snprintf(vm->worker, sizeof(vm->worker), "w-%u-%u", vm->number,
		   vm->life);
	vm->born_ms = loop_now_ms();
	vm->fence = 0;
	vm->lease_until_ms = 0;
	vm->ends_made = 0;
	vm->acked = 0;
	vm->draining = false;
	vm->leaves_ms = 0;
	vm->beat_ms = 0;
	if (!vm->runs) {
		vm->runs = g_array_new(FALSE, TRUE,
				       sizeof(struct emu_run_of_task));
		g_array_set_clear_func(vm->runs, run_clear);
		vm->ends =
			g_array_new(FALSE, TRUE, sizeof(struct emu_end_of_run));
		g_queue_init(&vm->looks);
	}
}

static struct job_step *step_of(struct emu *emu, uint32_t job, uint32_t step)
{
	struct emu_job_state *state = g_ptr_array_index(emu->jobs, job);

	return &g_array_index(state->spec->steps, struct job_step, step);
}

int64_t emu_vm_free_cpu(struct emu_vm *vm)
{
	int64_t left = vm->emu->config.vm_cpu_milli;

	for (guint i = 0; i < vm->runs->len; i++) {
		const struct emu_run_of_task *run =
			&g_array_index(vm->runs, struct emu_run_of_task, i);
		const struct job_step *step =
			step_of(vm->emu, run->job, run->step);

		if (!step->is_best_effort)
			left -= step->need.cpu_milli;
	}
	return left;
}

static void run_note_gone(struct emu_vm *vm, const struct emu_run_of_task *run,
			  bool counted)
{
	struct emu_task *task =
		emu_task_of(vm->emu, run->job, run->step, run->index);

	task->present--;
	task->away_since_ms = loop_now_ms();
	if (!counted)
		vm->emu->tally.wasted_run_ms += loop_now_ms() - run->begun_ms;
}

/* One end of a gang represents all members. */
static void done_note(struct emu *emu, const struct emu_run_of_task *run)
{
	const struct emu_job_state *state =
		g_ptr_array_index(emu->jobs, run->job);

	for (uint32_t i = 0; i < state->job.tasks_per_step; i++) {
		if (i == run->index || state->job.gang)
			emu_task_of(emu, run->job, run->step, i)->ended_done =
				true;
	}
}

static void run_end(struct emu_vm *vm, guint index, enum adapter_end_kind kind)
{
	struct emu_run_of_task *run =
		&g_array_index(vm->runs, struct emu_run_of_task, index);
	struct emu_end_of_run end = {
		.number = ++vm->ends_made,
		.run = run->run,
		.job = run->job,
		.step = run->step,
		.index = run->index,
		.kind = kind,
	};

	g_strlcpy(end.task, run->task, sizeof(end.task));
	run_note_gone(vm, run, kind == ADAPTER_END_DONE);
	if (kind == ADAPTER_END_LEASE_EXPIRED &&
	    loop_now_ms() - vm->emu->disturbed_ms > EMU_NOTICE_MS)
		emu_task_of(vm->emu, run->job, run->step, run->index)
			->away_by_order = true;
	if (kind == ADAPTER_END_DONE)
		done_note(vm->emu, run);
	log_debug("emu-end", "%s run %u at %s: %s", end.task, end.run,
		  vm->worker, adapter_end_name(kind));
	g_array_remove_index(vm->runs, index);
	g_array_append_val(vm->ends, end);
	if (((struct emu_job_state *)g_ptr_array_index(vm->emu->jobs, end.job))
		    ->job.gang &&
	    kind != ADAPTER_END_DONE)
		emu_gang_break(vm->emu, end.job, end.step);
	/* The rule holds where no disruption was near. */
	if (kind == ADAPTER_END_GANG_INCOMPLETE &&
	    loop_now_ms() - vm->emu->disturbed_ms > 2 * EMU_GANG_MS)
		emu_break(vm->emu, EMU_RULE_GANG, "%s run %u ended alone",
			  end.task, end.run);
}

void emu_order_free(struct emu_order *order)
{
	g_free(order->checkpoint);
	g_free(order->pool);
	g_free(order);
}

/* The ends up to a number are noted by the owner. */
static void ends_noted(struct emu_vm *vm, uint64_t upto)
{
	while (vm->ends->len > 0) {
		const struct emu_end_of_run *end =
			&g_array_index(vm->ends, struct emu_end_of_run, 0);
		struct emu_task *task;

		if (end->number > upto)
			return;
		task = emu_task_of(vm->emu, end->job, end->step, end->index);
		log_debug("emu-noted", "%s run %u at %s: %s", end->task,
			  end->run, vm->worker, adapter_end_name(end->kind));
		if (end->lapsed) {
			g_array_remove_index(vm->ends, 0);
			continue;
		}
		if (end->kind == ADAPTER_END_DONE) {
			if (task->present > 0)
				emu_break(vm->emu, EMU_RULE_TWICE,
					  "%s runs though run %u is done",
					  end->task, end->run);
			task->done = true;
		} else if (end->kind == ADAPTER_END_FAILED) {
			g_array_append_val(task->failed_runs, end->run);
		}
		g_array_remove_index(vm->ends, 0);
	}
}

static void report_answer(struct emu_order *order)
{
	struct emu_vm *vm = order->vm;
	g_autoptr(GArray) running =
		g_array_new(FALSE, TRUE, sizeof(struct adapter_run));
	g_autoptr(GArray) ends =
		g_array_new(FALSE, TRUE, sizeof(struct adapter_run_end));
	struct adapter_report report = { .clock_ms = emu_worker_clock(vm),
					 .started_unix_ms = vm->born_ms };

	for (guint i = 0; i < vm->runs->len; i++) {
		const struct emu_run_of_task *run =
			&g_array_index(vm->runs, struct emu_run_of_task, i);
		bool up = loop_now_ms() - run->begun_ms >= EMU_STARTUP_MS;
		const struct adapter_run row = {
			.task = run->task,
			.run = run->run,
			.checkpoint = "",
			.speed_percent = up ? run->pace : 0,
		};

		g_array_append_val(running, row);
	}
	for (guint i = 0; i < vm->ends->len; i++) {
		const struct emu_end_of_run *end =
			&g_array_index(vm->ends, struct emu_end_of_run, i);
		const struct adapter_run_end row = {
			.number = end->number,
			.task = end->task,
			.run = end->run,
			.kind = end->kind,
			.checkpoint = "",
		};

		g_array_append_val(ends, row);
	}
	report.runs = (const struct adapter_run *)running->data;
	report.run_count = running->len;
	report.ends = (const struct adapter_run_end *)ends->data;
	report.end_count = ends->len;
	order->reply.report = &report;
	order->reply.clock_ms = report.clock_ms;
	order->cb(order->data, &order->reply);
}

void emu_order_answer(void *data)
{
	struct emu_order *order = data;
	struct emu_node *node = order->node;

	if (!node->alive || node->life != order->life) {
		order->reply.err = ERR_CUT;
		order->vm_err = ERR_CUT;
	}
	if (order->vm_cb)
		order->vm_cb(order->data, order->vm_err, order->vm_verdict);
	else if (order->kind == 'l' && order->reply.err == ERR_NONE &&
		 order->reply.verdict == ADAPTER_ACCEPTED)
		report_answer(order);
	else
		order->cb(order->data, &order->reply);
	emu_order_free(order);
}

void emu_vm_close(struct emu_vm *vm)
{
	while (vm->looks.head) {
		struct emu_order *order = vm->looks.head->data;

		g_queue_unlink(&vm->looks, &order->link);
		emu_order_answer(order);
	}
	g_array_unref(vm->runs);
	g_array_unref(vm->ends);
}

void emu_order_finish(struct emu_order *order)
{
	emu_after(order->node->emu, EMU_WAY_MS, emu_order_answer, order);
}

/* Everything on the VM is gone without a word. */
void emu_vm_stop(struct emu_vm *vm)
{
	log_debug("emu-worker-gone", "%s, runs %u", vm->worker, vm->runs->len);
	for (guint i = 0; i < vm->runs->len; i++)
		run_note_gone(
			vm, &g_array_index(vm->runs, struct emu_run_of_task, i),
			false);
	g_array_set_size(vm->runs, 0);
	g_array_set_size(vm->ends, 0);
	vm->up = false;
	/* The connections of calls that wait are reset. */
	while (vm->looks.head) {
		struct emu_order *order = vm->looks.head->data;

		g_queue_unlink(&vm->looks, &order->link);
		order->reply.err = vm->cut ? ERR_TIMEOUT : ERR_CUT;
		emu_order_finish(order);
	}
}

void emu_order_silent(struct emu_order *order)
{
	order->reply.err = ERR_TIMEOUT;
	order->vm_err = ERR_TIMEOUT;
	emu_after(order->node->emu, order->timeout_ms, emu_order_answer, order);
}

/* A task is away once an order has ended it, or for any cause after a time
 * within which the owner must have noticed. */
static bool is_away(const struct emu_task *task)
{
	return task->present == 0 &&
	       (task->away_by_order ||
		loop_now_ms() - task->away_since_ms >= EMU_NOTICE_MS);
}

/* Whether too many others of the step are away for this one to be stopped. */
void emu_stop_check(struct emu_vm *vm, const struct emu_run_of_task *run)
{
	struct emu *emu = vm->emu;
	const struct emu_job_state *state =
		g_ptr_array_index(emu->jobs, run->job);
	int32_t away = 0;

	emu_task_of(emu, run->job, run->step, run->index)->away_by_order = true;
	if (state->cancel_sent || state->job.max_unavailable < 0 ||
	    !state->job.long_running || vm->draining ||
	    loop_now_ms() - run->begun_ms < EMU_STARTUP_MS)
		return;
	for (uint32_t i = 0; i < state->job.tasks_per_step; i++)
		away += i != run->index &&
			is_away(emu_task_of(emu, run->job, run->step, i));
	if (away >= MAX(state->job.max_unavailable, 1))
		emu_break(emu, EMU_RULE_AVAIL,
			  "%s is stopped while %d others are away", run->task,
			  away);
}

static guint run_find(const struct emu_vm *vm, const char *task, uint32_t run)
{
	guint i;

	for (i = 0; i < vm->runs->len; i++) {
		const struct emu_run_of_task *row =
			&g_array_index(vm->runs, struct emu_run_of_task, i);

		if (strcmp(row->task, task) == 0 &&
		    (run == 0 || row->run == run))
			break;
	}
	return i;
}

static bool run_is_old(const struct emu_vm *vm, const char *task, uint32_t run)
{
	for (guint i = 0; i < vm->ends->len; i++) {
		const struct emu_end_of_run *end =
			&g_array_index(vm->ends, struct emu_end_of_run, i);

		if (strcmp(end->task, task) == 0 && end->run >= run)
			return true;
	}
	return false;
}

/* Checks a start against what the callers asked for. */
static void start_check(struct emu *emu, const struct emu_order *order,
			uint32_t job, const struct job_task_id *parts)
{
	const char *name = order->task;
	struct emu_job_state *state = g_ptr_array_index(emu->jobs, job);
	struct emu_task *task =
		emu_task_of(emu, job, parts->step, parts->index);

	state->started = true;
	if (state->refused && !state->accepted && !state->maybe &&
	    state->attempts == 0)
		emu_break(emu, EMU_RULE_UNASKED, "%s was refused", name);
	/* One that was sent before may be carried out late. */
	if (state->cancelled && order->sent_ms >= state->cancelled_ms)
		emu_break(emu, EMU_RULE_UNASKED, "%s was cancelled", name);
	if (task->present > 0)
		emu_break(emu, EMU_RULE_TWICE, "%s runs already", name);
	if (task->done)
		emu_break(emu, EMU_RULE_TWICE, "%s is done", name);
	if (!state->job.long_running &&
	    task->failed_runs->len >= emu->config.attempts)
		emu_break(emu, EMU_RULE_BUDGET, "%s has failed %u times", name,
			  task->failed_runs->len);
	if (parts->step == 0 || state->job.long_running)
		return;
	for (uint32_t i = 0; i < state->job.tasks_per_step; i++) {
		const struct emu_task *earlier =
			emu_task_of(emu, job, parts->step - 1, i);

		if (!earlier->ended_done)
			emu_break(emu, EMU_RULE_ORDER,
				  "%s before step %u was done", name,
				  parts->step - 1);
	}
}

static bool job_find(struct emu *emu, const char *id, uint32_t *out)
{
	guint64 number = g_ascii_strtoull(id, NULL, 16);

	*out = (uint32_t)number;
	return number < emu->jobs->len;
}

/* Notes how long a VM that was moved stood ready for its first task. */
static void moved_note(struct emu_vm *vm)
{
	struct emu_stats *tally = &vm->emu->tally;

	if (!vm->moved_unused)
		return;
	vm->moved_unused = false;
	tally->moved_vms_used++;
	tally->moved_vms_idle_ms += loop_now_ms() - vm->born_ms;
}

static enum adapter_verdict start_run(struct emu_vm *vm,
				      const struct emu_order *order)
{
	struct emu *emu = vm->emu;
	struct emu_run_of_task run = { .run = order->run, .pace = 100 };
	const struct emu_job_state *state;
	const struct job_step *step;
	struct job_task_id parts;
	uint32_t job;

	if (run_find(vm, order->task, order->run) < vm->runs->len)
		return ADAPTER_ACCEPTED;
	if (run_find(vm, order->task, 0) < vm->runs->len ||
	    run_is_old(vm, order->task, order->run))
		return ADAPTER_REFUSED_STALE_RUN;
	if (order->lease_until_ms <= emu_worker_clock(vm))
		return ADAPTER_REFUSED_LEASE_EXPIRED;
	if (!job_task_id_parse(order->task, &parts) ||
	    !job_find(emu, parts.job, &job)) {
		emu_break(emu, EMU_RULE_UNASKED, "%s is no job", order->task);
		return ADAPTER_REFUSED_INVALID;
	}
	state = g_ptr_array_index(emu->jobs, job);
	step = step_of(emu, job, parts.step);
	if (!step->is_best_effort && emu_vm_free_cpu(vm) < step->need.cpu_milli)
		return ADAPTER_REFUSED_CAPACITY;
	start_check(emu, order, job, &parts);
	g_strlcpy(run.task, order->task, sizeof(run.task));
	run.job = job;
	run.step = parts.step;
	run.index = parts.index;
	run.begun_ms = loop_now_ms();
	run.ends_ms =
		state->job.long_running
			? UINT64_MAX
			: run.begun_ms + state->job.task_ms +
				  emu_random(emu, state->job.task_ms / 2 + 1);
	run.will_fail = state->job.always_fails || vm->grey ||
			emu_random(emu, 1000) < state->job.fail_permille;
	if (run.will_fail)
		run.ends_ms = run.begun_ms + state->job.task_ms / 3 + 1;
	run.gang_waits = state->job.gang;
	emu_task_of(emu, job, parts.step, parts.index)->present++;
	emu_task_of(emu, job, parts.step, parts.index)->away_by_order = false;
	log_debug("emu-start", "%s run %u at %s fence %" G_GUINT64_FORMAT,
		  order->task, order->run, vm->worker, order->fence);
	emu->tally.runs++;
	moved_note(vm);
	g_array_append_val(vm->runs, run);
	return ADAPTER_ACCEPTED;
}

void emu_order_run(struct emu_vm *vm, struct emu_order *order)
{
	guint index;

	vm->fence = MAX(vm->fence, order->fence);
	switch (order->kind) {
	case 's':
		vm->lease_until_ms =
			MAX(vm->lease_until_ms,
			    MIN(order->lease_until_ms,
				emu_worker_clock(vm) + EMU_LEASE_MAX_MS));
		order->reply.verdict = start_run(vm, order);
		break;
	case 'x':
		index = run_find(vm, order->task, order->run);
		if (index < vm->runs->len) {
			struct emu_run_of_task *run = &g_array_index(
				vm->runs, struct emu_run_of_task, index);

			/* An order that was held up tells of an earlier time.
			 */
			if (!run->stopping &&
			    loop_now_ms() - order->sent_ms < EMU_HELD_UP_MS)
				emu_stop_check(vm, run);
			run->stopping = true;
			run->ends_ms =
				MIN(run->ends_ms, loop_now_ms() + EMU_STOP_MS);
		}
		break;
	case 'p':
		index = run_find(vm, order->task, order->run);
		if (index < vm->runs->len)
			g_array_index(vm->runs, struct emu_run_of_task, index)
				.pace = order->percent;
		break;
	default:
		if (order->lease_until_ms != 0)
			vm->lease_until_ms = MAX(
				vm->lease_until_ms,
				MIN(order->lease_until_ms,
				    emu_worker_clock(vm) + EMU_LEASE_MAX_MS));
		ends_noted(vm, order->acked_upto);
		break;
	}
}

static void runs_tick(struct emu_vm *vm)
{
	uint64_t now_ms = loop_now_ms();
	bool lapsed = emu_worker_clock(vm) > vm->lease_until_ms;

	for (guint i = 0; lapsed && i < vm->ends->len; i++)
		g_array_index(vm->ends, struct emu_end_of_run, i).lapsed = true;
	for (guint i = vm->runs->len; i-- > 0;) {
		const struct emu_run_of_task *run =
			&g_array_index(vm->runs, struct emu_run_of_task, i);
		const struct emu_job_state *state =
			g_ptr_array_index(vm->emu->jobs, run->job);

		if (lapsed)
			run_end(vm, i, ADAPTER_END_LEASE_EXPIRED);
		else if (run->gang_broken)
			run_end(vm, i, ADAPTER_END_GANG_BROKEN);
		else if (run->stopping && run->ends_ms <= now_ms)
			run_end(vm, i, ADAPTER_END_STOPPED);
		else if (run->will_fail && run->ends_ms <= now_ms)
			run_end(vm, i, ADAPTER_END_FAILED);
		else if (state->job.gang && run->gang_waits &&
			 now_ms - run->begun_ms > EMU_GANG_MS)
			run_end(vm, i, ADAPTER_END_GANG_INCOMPLETE);
		else if (!run->gang_waits && run->ends_ms <= now_ms)
			run_end(vm, i, ADAPTER_END_DONE);
	}
}

static char *entry_key(const struct emu_vm *vm)
{
	const struct emu_entry_format *form = vm->emu->form;

	return g_strconcat(form ? form->prefix : "workers/", vm->worker, NULL);
}

static void beat_write(struct emu_vm *vm)
{
	const struct emu_entry_format *form = vm->emu->form;
	g_autofree char *key = entry_key(vm);
	g_autofree char *value =
		form ? form->encode(vm->emu, vm->number)
		     : g_strdup_printf("%u %u %u %d %" G_GUINT64_FORMAT
				       " %" G_GINT64_FORMAT,
				       vm->number, vm->pool, vm->port,
				       vm->draining, vm->born_ms,
				       vm->emu->config.vm_cpu_milli);

	vm->beat_ms = loop_now_ms();
	emu_store_put(vm->emu, key, value, 0);
}

/* Entries of workers that are gone are removed after three heartbeats; the
 * emulator's removal is by the worker's name, which is never used again. */
static void entry_remove(struct emu_vm *vm)
{
	g_autofree char *key = entry_key(vm);

	if (emu_store_get(vm->emu, key))
		emu_store_put(vm->emu, key, NULL, 0);
}

void emu_vm_tick(struct emu_vm *vm)
{
	uint64_t now_ms = loop_now_ms();
	GList *next;

	if (vm->up && vm->draining && now_ms >= vm->leaves_ms) {
		emu_vm_stop(vm);
		vm->state = ADAPTER_VM_DOWN;
		vm->leaves_ms = now_ms + 2000;
	}
	if (!vm->up && vm->leaves_ms != 0 && now_ms >= vm->leaves_ms) {
		entry_remove(vm);
		emu_vm_open(vm, vm->pool);
	}
	if (!vm->up) {
		if (now_ms - vm->beat_ms > 3 * EMU_HEARTBEAT_MS)
			entry_remove(vm);
	} else if (vm->pool < vm->emu->config.pools) {
		runs_tick(vm);
		if (now_ms - vm->beat_ms >= EMU_HEARTBEAT_MS ||
		    vm->beat_ms == 0)
			beat_write(vm);
		vm->emu->tally.vm_up_ms += 10;
	}
	for (GList *at = vm->looks.head; at; at = next) {
		struct emu_order *order = at->data;

		next = at->next;
		if (vm->up && emu_order_is_for(order) && vm->ends->len == 0 &&
		    now_ms < order->due_ms)
			continue;
		g_queue_unlink(&vm->looks, &order->link);
		if (!vm->up || !emu_order_is_for(order))
			order->reply.err = ERR_CUT;
		else if (vm->cut)
			order->reply.err = ERR_TIMEOUT;
		emu_order_finish(order);
	}
}
