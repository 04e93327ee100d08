/**
 * @file route.c
 * @brief A config drops a route while a job that was accepted there is under
 *        way.
 */
#include "world.h"

/* Time from the end of the traffic until jobs are looked at, and the time for
 * which a job may have nothing running. */
#define FINISH_MS 14000
#define STALL_MS 3000

static const char *const both[] = { "/plans/=svc", "/records/=svc", 0 };
static const char *const one[] = { "/records/=svc", 0 };
static const char *const services[] = { "svc", 0 };

static uint32_t work_ms(int step, int index)
{
	return step == 0 ? 2000 : 1000;
}

static json_t *spec_create(void)
{
	return json_pack(
		"{s:s, s:[{s:i,s:i,s:i,s:i}, {s:i,s:i,s:i,s:i,s:[i]}]}", "spec",
		"plan", "steps", "count", 4, "cpu", 2000, "mem_mb", 256,
		"estimate_ms", 2000, "count", 4, "cpu", 2000, "mem_mb", 256,
		"estimate_ms", 1000, "after", 0);
}

int main(void)
{
	uint64_t end_ms;
	struct job *other;
	struct job *job;

	world_config(1, both, services);
	world_start();
	world_sleep_ms(3500);
	job = world_submit("/plans/", spec_create(), work_ms);
	other = world_submit("/records/", spec_create(), work_ms);
	if (!job->accepted || !other->accepted)
		world_cannot_run("a job was not accepted");
	world_sleep_ms(1000);
	if (world_trouble())
		world_config(2, one, services);
	world_sleep_ms(FINISH_MS);
	end_ms = world_now_ms() + STALL_MS;
	while (world_now_ms() < end_ms) {
		if (world_count_running(job->id) > 0)
			world_end();
		world_sleep_ms(10);
	}
	world_record("done work items: %d of 8 of the job on /plans/, %d of 8 "
		     "of the job on /records/",
		     world_count_done(job->id), world_count_done(other->id));
	world_state(other);
	if (world_count_done(other->id) != 8)
		world_cannot_run("the job on the route that stays isn't done");
	if (world_count_done(job->id) < 8)
		world_break("LOST",
			    "job %s was accepted; for %d ms it has nothing "
			    "running, its second step's turn has come and all "
			    "workers are free",
			    job->id, STALL_MS);
	world_end();
}
