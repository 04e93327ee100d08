/**
 * @file timed.c
 * @brief A scheduled job is under way when its owner is stopped as planned.
 */
#include <signal.h>

#include "world.h"

static const char *const routes[] = { "/plans/=svc", 0 };
static const char *const services[] = { "svc", 0 };

static uint32_t work_ms(int step, int index)
{
	return 500 + 250 * (uint32_t)index;
}

int main(void)
{
	uint64_t due_ms;
	struct job *job;
	int owner;

	world_config(1, routes, services);
	world_start();
	world_sleep_ms(3500);
	due_ms = world_unix_ms() + 1500;
	job = world_submit(
		"/plans/",
		json_pack("{s:s, s:i, s:I, s:i, s:[{s:i,s:i,s:i,s:i}]}", "spec",
			  "nightly plan", "times", 2, "first_run_ms",
			  (json_int_t)due_ms, "interval_ms", 20000, "steps",
			  "count", 10, "cpu", 2000, "mem_mb", 256,
			  "estimate_ms", 1500),
		work_ms);
	if (!job->accepted)
		world_cannot_run("the job was not accepted");
	while (world_unix_ms() < due_ms + 400)
		world_sleep_ms(10);
	owner = world_owner();
	if (owner < 0 || world_count_running(job->id) < 5)
		world_cannot_run("the job is not under way");
	if (world_trouble()) {
		world_signal(owner, SIGTERM);
		world_restart(owner);
	}
	while (world_unix_ms() < due_ms + 30000)
		world_sleep_ms(100);
	world_state(job);
	world_check_twice();
	world_end();
}
