/**
 * @file avoid.c
 * @brief A worker crashes just after a work item began that needs its kind.
 */
#include <stdio.h>

#include "world.h"

/* Time from the end of the traffic until jobs are looked at, and the time for
 * which a job may have nothing running. */
#define FINISH_MS 14000
#define STALL_MS 3000
#define JOBS 3

static const char *const routes[] = { "/plans/=svc", 0 };
static const char *const services[] = { "svc", 0 };

static uint32_t work_ms(int step, int index)
{
	return 600;
}

int main(void)
{
	struct job *jobs[JOBS];
	bool ran[JOBS] = { 0 };
	uint64_t end_ms;

	snprintf(world_workers[0].label, sizeof(world_workers[0].label), "b");
	world_config(1, routes, services);
	world_start();
	world_sleep_ms(3500);
	for (int i = 0; i < JOBS; i++) {
		jobs[i] = world_job_add(
			"/plans/",
			json_pack("{s:s, s:[{s:i,s:i,s:i,s:i,s:s}]}", "spec",
				  "plan", "steps", "count", 2, "cpu", 1000,
				  "mem_mb", 256, "estimate_ms", 600, "requires",
				  "b"),
			work_ms);

		if (!world_hand_in(jobs[i]))
			world_cannot_run("a job was not accepted");
		if (world_trouble() && i == JOBS - 1) {
			world_sleep_ms(130);
			world_worker_crash(0, 400);
		}
		world_sleep_ms(1500);
	}
	world_sleep_ms(FINISH_MS);
	end_ms = world_now_ms() + STALL_MS;
	while (world_now_ms() < end_ms) {
		for (int i = 0; i < JOBS; i++)
			ran[i] |= world_count_running(jobs[i]->id) > 0;
		world_sleep_ms(10);
	}
	for (int i = 0; i < JOBS; i++) {
		int done = world_count_done(jobs[i]->id);

		world_record("job %s: %d of 2 work items are done", jobs[i]->id,
			     done);
		if (done < 2 && !ran[i])
			world_break("LOST",
				    "job %s was accepted and has nothing "
				    "running for %d ms, though its worker is "
				    "free",
				    jobs[i]->id, STALL_MS);
		world_state(jobs[i]);
	}
	world_end();
}
