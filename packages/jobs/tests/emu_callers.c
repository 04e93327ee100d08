#include <string.h>

#include "emu_private.h"

/* How long a caller waits for an answer. */
#define EMU_DEADLINE_MS 3000

static void step_add(struct job_spec *spec, const struct emu_job *job,
		     uint32_t index)
{
	struct job_step step = {
		.count = job->tasks_per_step,
		.need.cpu_milli = job->cpu_milli,
		.need.memory_mb = 100,
		.estimate_ms = job->task_ms,
		.is_gang = job->gang,
		.is_long_running = job->long_running,
		.max_unavailable =
			job->long_running ? job->max_unavailable : -1,
		.max_per_worker = job->long_running ? 1 : 0,
		.latency_target_ms = job->latency_target_ms,
		.is_best_effort = job->with_best_effort && index > 0,
		.depends_on = job->long_running || index == 0
				      ? 0
				      : 1ULL << (index - 1),
	};

	g_array_append_val(spec->steps, step);
}

static void on_submitted(void *data, const struct jobs_answer *answer)
{
	struct emu_job_state *state = data;

	state->attempts--;
	if (answer->outcome == JOBS_OK) {
		if (state->started && state->refused && !state->accepted)
			state->maybe = true;
		state->accepted = true;
	} else if (answer->outcome == JOBS_REFUSED) {
		state->refused = true;
	} else {
		state->maybe = true;
	}
}

/* Callers whose process is away reach another. */
static struct emu_node *living_node(struct emu *emu, uint32_t first)
{
	for (uint32_t i = 0; i < emu->config.nodes; i++) {
		struct emu_node *node =
			&emu->nodes[(first + i) % emu->config.nodes];

		if (node->alive)
			return node;
	}
	return NULL;
}

static void call_send(struct emu *emu, uint32_t node, enum jobs_verb verb,
		      struct emu_job_state *state, jobs_cb cb, void *data)
{
	g_autofree char *queue = g_strdup_printf("queue-%u", state->job.pool);
	const struct jobs_call call = {
		.verb = verb,
		.queue = queue,
		.id = state->id,
		.spec = state->record,
		.deadline_ms = EMU_DEADLINE_MS,
	};

	jobs_call(living_node(emu, node)->service, &call, cb, data);
}

uint32_t emu_job_register(struct emu *emu, const struct emu_job *job)
{
	struct emu_job_state *state = g_new0(struct emu_job_state, 1);
	struct job_spec *spec = job_spec_create();
	uint32_t number = emu->jobs->len;
	uint32_t chain_ms = job->steps * job->task_ms;

	state->job = *job;
	g_snprintf(state->id, sizeof(state->id), "%016x", number);
	spec->payload = g_strdup("emulated");
	for (uint32_t i = 0; i < job->steps; i++)
		step_add(spec, job, i);
	state->record = job_record_spec_encode(spec);
	state->spec = spec;
	state->task_count = job->steps * job->tasks_per_step;
	state->tasks = g_new0(struct emu_task, state->task_count);
	for (uint32_t i = 0; i < state->task_count; i++)
		state->tasks[i].failed_runs =
			g_array_new(FALSE, FALSE, sizeof(uint32_t));
	state->sent_ms = loop_now_ms();
	state->objective_ms = chain_ms * 3 / 2 * 8 / 5 + 600;
	g_ptr_array_add(emu->jobs, state);
	emu->tally.submitted++;
	return number;
}

const char *emu_job_id(const struct emu *emu, uint32_t job)
{
	const struct emu_job_state *state = g_ptr_array_index(emu->jobs, job);

	return state->id;
}

uint32_t emu_submit(struct emu *emu, uint32_t node, const struct emu_job *job)
{
	uint32_t number = emu_job_register(emu, job);

	emu_resubmit(emu, node, number);
	return number;
}

void emu_resubmit(struct emu *emu, uint32_t node, uint32_t job)
{
	struct emu_job_state *state = g_ptr_array_index(emu->jobs, job);

	if (!living_node(emu, node))
		return;
	state->attempts++;
	call_send(emu, node, JOBS_SUBMIT, state, on_submitted, state);
}

static void on_cancelled(void *data, const struct jobs_answer *answer)
{
	struct emu_job_state *state = data;

	if (answer->outcome == JOBS_OK)
		state->cancelled = true;
	state->cancelled_ms = loop_now_ms();
}

void emu_cancel(struct emu *emu, uint32_t node, uint32_t job)
{
	struct emu_job_state *state = g_ptr_array_index(emu->jobs, job);

	if (!living_node(emu, node))
		return;
	state->cancel_sent = true;
	call_send(emu, node, JOBS_CANCEL, state, on_cancelled, state);
}

struct emu_question {
	struct emu *emu;
	struct emu_job_state *state;
	bool accepted;
};

static void succeeded_check(struct emu *emu, struct emu_job_state *state)
{
	for (uint32_t i = 0; i < state->task_count && !state->job.gang; i++) {
		if (state->tasks[i].present > 0)
			emu_break(emu, EMU_RULE_STATE,
				  "%s is shown as succeeded while it runs",
				  state->id);
	}
	if (state->job.always_fails)
		emu_break(emu, EMU_RULE_STATE, "%s cannot succeed", state->id);
	if (state->ended)
		return;
	state->ended = true;
	state->shown_ms = loop_now_ms();
}

static void on_state(void *data, const struct jobs_answer *answer)
{
	struct emu_question *question = data;
	struct emu_job_state *state = question->state;
	struct emu *emu = question->emu;

	if (answer->outcome == JOBS_NO_JOB && question->accepted)
		emu_break(emu, EMU_RULE_STATE, "%s is not known", state->id);
	if (answer->outcome == JOBS_OK) {
		state->state = answer->state;
		if (answer->state == JOB_SUCCEEDED)
			succeeded_check(emu, state);
		if (answer->state == JOB_CANCELLED && !state->cancel_sent)
			emu_break(emu, EMU_RULE_STATE,
				  "%s is shown as cancelled", state->id);
		if (answer->state == JOB_FAILED && !state->job.always_fails &&
		    state->job.fail_permille == 0 && emu->tally.unfinished == 0)
			emu_break(emu, EMU_RULE_STATE, "%s is shown as failed",
				  state->id);
	}
	g_free(question);
}

void emu_state_query(struct emu *emu, uint32_t node, uint32_t job)
{
	struct emu_question *question;

	if (!living_node(emu, node))
		return;
	question = g_new0(struct emu_question, 1);
	question->emu = emu;
	question->state = g_ptr_array_index(emu->jobs, job);
	question->accepted = question->state->accepted;
	call_send(emu, node, JOBS_STATE, question->state, on_state, question);
}

void emu_submission_begin(struct emu *emu, uint32_t job)
{
	struct emu_job_state *state = g_ptr_array_index(emu->jobs, job);

	state->attempts++;
}

void emu_answer_observe(struct emu *emu, uint32_t job, enum jobs_verb verb,
			const struct jobs_answer *answer)
{
	struct emu_job_state *state = g_ptr_array_index(emu->jobs, job);
	struct emu_question *question;

	if (verb == JOBS_SUBMIT) {
		on_submitted(state, answer);
	} else if (verb == JOBS_CANCEL) {
		state->cancel_sent = true;
		on_cancelled(state, answer);
	} else {
		question = g_new0(struct emu_question, 1);
		question->emu = emu;
		question->state = state;
		question->accepted = state->accepted;
		on_state(question, answer);
	}
}
