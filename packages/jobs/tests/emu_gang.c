#include "emu_private.h"

/* Calls a function for each run of a gang. */
static void gang_each(struct emu *emu, uint32_t job, uint32_t step,
		      void (*each)(struct emu_run_of_task *run, void *data),
		      void *data)
{
	for (uint32_t i = 0; i < emu->vm_count; i++) {
		struct emu_vm *vm = &emu->vms[i];

		for (guint j = 0; vm->up && j < vm->runs->len; j++) {
			struct emu_run_of_task *run = &g_array_index(
				vm->runs, struct emu_run_of_task, j);

			if (run->job == job && run->step == step)
				each(run, data);
		}
	}
}

static void member_break(struct emu_run_of_task *run, void *data)
{
	run->gang_broken = true;
}

void emu_gang_break(struct emu *emu, uint32_t job, uint32_t step)
{
	gang_each(emu, job, step, member_break, NULL);
}

struct gang_count {
	uint32_t run;
	uint32_t members;
};

static void member_count(struct emu_run_of_task *run, void *data)
{
	struct gang_count *count = data;

	count->members += run->run == count->run;
}

static void member_begin(struct emu_run_of_task *run, void *data)
{
	run->gang_waits = false;
	run->ends_ms = *(uint64_t *)data;
}

void emu_gangs_tick(struct emu *emu)
{
	for (uint32_t i = 0; i < emu->vm_count; i++) {
		struct emu_vm *vm = &emu->vms[i];

		for (guint j = 0; vm->up && j < vm->runs->len; j++) {
			const struct emu_run_of_task *run = &g_array_index(
				vm->runs, struct emu_run_of_task, j);
			const struct emu_job_state *state =
				g_ptr_array_index(emu->jobs, run->job);
			struct gang_count count = { .run = run->run };
			uint64_t ends_ms = loop_now_ms() + state->job.task_ms;

			if (!run->gang_waits)
				continue;
			gang_each(emu, run->job, run->step, member_count,
				  &count);
			if (count.members == state->job.tasks_per_step)
				gang_each(emu, run->job, run->step,
					  member_begin, &ends_ms);
		}
	}
}
