#include "emu_private.h"

/* Calls a function for each run of a gang. */
static void gang_for_each_run(struct emu *emu, uint32_t job, uint32_t step,
			      void (*each)(struct emu_task_run *run,
					   void *data),
			      void *data)
{
	for (uint32_t i = 0; i < emu->vm_count; i++) {
		struct emu_vm *vm = &emu->vms[i];

		for (guint j = 0; vm->up && j < vm->runs->len; j++) {
			struct emu_task_run *run = &g_array_index(
				vm->runs, struct emu_task_run, j);

			if (run->job == job && run->step == step)
				each(run, data);
		}
	}
}

static void member_mark_broken(struct emu_task_run *run, void *data)
{
	run->gang_broken = true;
}

void emu_gang_break(struct emu *emu, uint32_t job, uint32_t step)
{
	gang_for_each_run(emu, job, step, member_mark_broken, NULL);
}

struct gang_count {
	uint32_t run;
	uint32_t members;
};

static void member_count(struct emu_task_run *run, void *data)
{
	struct gang_count *count = data;

	count->members += run->run == count->run;
}

static void member_start(struct emu_task_run *run, void *data)
{
	run->awaits_gang = false;
	run->ends_ms = *(uint64_t *)data;
}

void emu_gangs_tick(struct emu *emu)
{
	for (uint32_t i = 0; i < emu->vm_count; i++) {
		struct emu_vm *vm = &emu->vms[i];

		for (guint j = 0; vm->up && j < vm->runs->len; j++) {
			const struct emu_task_run *run = &g_array_index(
				vm->runs, struct emu_task_run, j);
			const struct emu_job_state *state =
				g_ptr_array_index(emu->jobs, run->job);
			struct gang_count count = { .run = run->run };
			uint64_t ends_ms = loop_now_ms() + state->job.task_ms;

			if (!run->awaits_gang)
				continue;
			gang_for_each_run(emu, run->job, run->step,
					  member_count, &count);
			if (count.members == state->job.tasks_per_step)
				gang_for_each_run(emu, run->job, run->step,
						  member_start, &ends_ms);
		}
	}
}
