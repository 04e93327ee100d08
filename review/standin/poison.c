/**
 * @file poison.c
 * @brief Jobs that can never be done come while a lasting job is at work.
 */
#include "world.h"

/* Time from the end of the traffic until jobs are looked at, and the time for
 * which a job may have nothing running. */
#define FINISH_MS 14000
#define STALL_MS 3000
#define JOBS 5
/* Each round has a burst of ordinary jobs and, in the lull after it, one job
 * that can never be done. */
#define ROUNDS 2
#define BURST 30
#define BURST_INTERVAL_MS 40
#define LULL_MS 1500

static const char *const routes[] = { "/plans/=svc", "/records/=svc", 0 };
static const char *const services[] = { "svc", 0 };

static uint32_t lasting_ms(int step, int index)
{
	return 0;
}

static uint32_t short_ms(int step, int index)
{
	return 1000;
}

static uint32_t failing_ms(int step, int index)
{
	return 300;
}

static json_t *spec_create(int count, int estimate_ms)
{
	return json_pack("{s:s, s:[{s:i,s:i,s:i,s:i}]}", "spec", "plan",
			 "steps", "count", count, "cpu", 1000, "mem_mb", 256,
			 "estimate_ms", estimate_ms);
}

static void hopeless_submit(void)
{
	struct job *job =
		world_job_add("/plans/", spec_create(24, 1000), failing_ms);

	job->fails = true;
	if (!world_hand_in(job))
		world_cannot_run("a job was not accepted");
}

int main(void)
{
	struct job *jobs[JOBS];
	struct job *lasting;
	uint64_t end_ms;
	bool ran[JOBS] = { 0 };

	world_config(1, routes, services);
	world_start();
	world_sleep_ms(3500);
	lasting = world_submit("/records/",
			       json_pack("{s:s, s:[{s:i,s:i,s:i,s:b,s:i,s:i}]}",
					 "spec", "records", "steps", "count", 8,
					 "cpu", 2000, "mem_mb", 256, "daemon",
					 1, "may_miss", 1, "anti_affinity", 1),
			       lasting_ms);
	world_sleep_ms(1500);
	if (!lasting->accepted || world_count_running(lasting->id) != 8)
		world_cannot_run("the lasting job is not at work");
	for (int i = 0; i < ROUNDS; i++) {
		for (int j = 0; j < BURST; j++) {
			if (!world_submit("/plans/", spec_create(2, 1000),
					  short_ms)
				     ->accepted)
				world_cannot_run("a job was not accepted");
			world_sleep_ms(BURST_INTERVAL_MS);
		}
		world_sleep_ms(LULL_MS);
		if (world_trouble())
			hopeless_submit();
		world_sleep_ms(LULL_MS);
	}
	world_sleep_ms(3000);
	for (int i = 0; i < JOBS; i++) {
		jobs[i] =
			world_submit("/plans/", spec_create(4, 1000), short_ms);
		if (!jobs[i]->accepted)
			world_cannot_run("a job was not accepted");
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

		world_record("job %s: %d of 4 work items are done", jobs[i]->id,
			     done);
		if (done < 4 && !ran[i])
			world_break("LOST",
				    "job %s was accepted and has nothing "
				    "running for %d ms, though all workers "
				    "have room",
				    jobs[i]->id, STALL_MS);
		world_state(jobs[i]);
	}
	world_end();
}
