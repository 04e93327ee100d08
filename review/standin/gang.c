/**
 * @file gang.c
 * @brief A gang that no worker has room for is submitted before other jobs.
 */
#include "world.h"

/* Time from the end of the traffic until jobs are looked at, and the time for
 * which a job may have nothing running. */
#define FINISH_MS 14000
#define STALL_MS 3000
#define JOBS 5

static const char *const routes[] = { "/plans/=svc", 0 };
static const char *const services[] = { "svc", 0 };

static uint32_t work_ms(int step, int index)
{
	return 30000;
}

static json_t *spec_create(int count, int cpu, bool gang)
{
	json_t *step = json_pack("{s:i,s:i,s:i,s:i}", "count", count, "cpu",
				 cpu, "mem_mb", 256, "estimate_ms", 30000);

	if (gang)
		json_object_set_new(step, "gang", json_true());
	return json_pack("{s:s, s:[o]}", "spec", "plan", "steps", step);
}

int main(void)
{
	struct job *jobs[JOBS];
	uint64_t end_ms;
	int stalled[JOBS] = { 0 };

	world_config(1, routes, services);
	world_start();
	world_sleep_ms(3500);
	if (world_trouble()) {
		struct job *gang = world_submit(
			"/plans/",
			spec_create(4, world_options.worker_cpu * 2, true),
			work_ms);

		if (!gang->accepted)
			world_cannot_run("the gang was not accepted");
		world_sleep_ms(2500);
	}
	for (int i = 0; i < JOBS; i++) {
		jobs[i] = world_submit("/plans/", spec_create(4, 1000, false),
				       work_ms);
		if (!jobs[i]->accepted)
			world_cannot_run("a job was not accepted");
	}
	world_sleep_ms(FINISH_MS);
	end_ms = world_now_ms() + STALL_MS;
	while (world_now_ms() < end_ms) {
		for (int i = 0; i < JOBS; i++)
			stalled[i] |= world_count_running(jobs[i]->id) > 0;
		world_sleep_ms(10);
	}
	for (int i = 0; i < JOBS; i++) {
		int done = world_count_done(jobs[i]->id);

		world_record("job %s: %d of 4 work items are done", jobs[i]->id,
			     done);
		if (done < 4 && !stalled[i])
			world_break("LOST",
				    "job %s was accepted and has nothing "
				    "running for %d ms, though all workers "
				    "are free",
				    jobs[i]->id, STALL_MS);
		world_state(jobs[i]);
	}
	world_end();
}
