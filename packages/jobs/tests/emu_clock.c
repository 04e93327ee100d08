#include "emu_private.h"

/* Virtual time; these definitions replace the clock of the event loop. */
static uint64_t emu_now_ms = 100000;
static uint64_t emu_unix_at_zero_ms = 1700000000000;

uint64_t loop_now_ms(void)
{
	return emu_now_ms;
}

uint64_t loop_unix_ms(void)
{
	return emu_unix_at_zero_ms + emu_now_ms;
}

static void job_free(struct emu_job_state *state)
{
	for (uint32_t i = 0; i < state->task_count; i++)
		g_array_unref(state->tasks[i].failed_runs);
	g_free(state->tasks);
	free(state->spec_text);
	job_spec_destroy(state->spec);
	g_free(state);
}

void emu_destroy(struct emu *emu)
{
	for (uint32_t i = 0; i < emu->config.nodes; i++)
		emu_node_kill(emu, i);
	/* Completes the calls in flight, which own copies of their arguments.
	 */
	timer_cancel(&emu->tick);
	emu_advance(emu, 15000);
	for (uint32_t i = 0; i < emu->vm_count; i++)
		emu_vm_clear(&emu->vms[i]);
	emu_store_close(emu);
	for (guint i = 0; i < emu->jobs->len; i++)
		job_free(g_ptr_array_index(emu->jobs, i));
	g_ptr_array_unref(emu->jobs);
	g_rand_free(emu->random);
	for (uint32_t i = 0; i < emu->config.nodes; i++) {
		if (emu->nodes[i].loop != emu->loop)
			loop_destroy(emu->nodes[i].loop);
	}
	loop_destroy(emu->loop);
	g_free(emu);
}

void emu_advance(struct emu *emu, uint32_t ms)
{
	struct timer_queue *timers = loop_timers(emu->loop);
	uint64_t end_ms = emu_now_ms + ms;

	while (emu_now_ms < end_ms) {
		emu_now_ms += emu_nodes_wait_ms(
			emu,
			timer_queue_wait_ms(timers, emu_now_ms,
					    (uint32_t)(end_ms - emu_now_ms)));
		timer_queue_run(timers, emu_now_ms);
		emu_nodes_run(emu);
	}
}

void emu_wall_clock_jump(int64_t ms)
{
	emu_unix_at_zero_ms += (uint64_t)ms;
}

uint64_t emu_time_ms(const struct emu *emu)
{
	return emu_now_ms;
}

void emu_node_pause_at_start(struct emu *emu, uint32_t number, uint32_t starts,
			     uint32_t ms)
{
	g_assert(emu->config.pausable);
	emu->nodes[number].pause_at_start_ms = ms;
	emu->nodes[number].starts_before_pause = starts;
	/* Only this clock can be advanced. */
	emu->nodes[number].advance = emu_advance;
}
