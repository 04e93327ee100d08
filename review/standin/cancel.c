/**
 * @file cancel.c
 * @brief A machine freezes with submissions unread; their clients leave and
 *        cancel the jobs at another machine.
 */
#include <signal.h>

#include "world.h"

#define JOBS 4
#define CANCEL_MS 3000
/* The clients leave after half of the objective of 600 ms. */
#define LEAVE_MS 300
#define FREEZE_MS 3500

static const char *const routes[] = { "/plans/=svc", 0 };
static const char *const services[] = { "svc", 0 };

static uint32_t work_ms(int step, int index)
{
	return 5000;
}

int main(void)
{
	struct job *jobs[JOBS];
	uint64_t acked_ms = 0;
	uint64_t frozen_ms;
	int acked = 0;
	int frozen;
	int owner;

	world_config(1, routes, services);
	world_start();
	world_sleep_ms(3500);
	owner = world_owner();
	if (owner < 0)
		world_cannot_run("no owner");
	frozen = (owner + 1) % world_options.nodes;
	frozen_ms = world_now_ms();
	if (world_trouble())
		world_signal(frozen, SIGSTOP);
	for (int i = 0; i < JOBS; i++) {
		jobs[i] = world_job_add(
			"/plans/",
			json_pack("{s:s, s:[{s:i,s:i,s:i,s:i}]}", "spec",
				  "plan", "steps", "count", 2, "cpu", 1000,
				  "mem_mb", 256, "estimate_ms", 5000),
			work_ms);
	}
	world_submit_and_leave(frozen, jobs, JOBS, LEAVE_MS);
	for (int i = 0; i < JOBS; i++) {
		int status = world_call((owner + 2) % world_options.nodes,
					"DELETE", jobs[i]->path, NULL)
				     .status;

		acked += status / 100 == 2 || status == 410;
	}
	acked_ms = world_now_ms();
	if (acked < JOBS)
		world_cannot_run("a cancel was not acknowledged");
	while (world_now_ms() < frozen_ms + FREEZE_MS)
		world_sleep_ms(1);
	if (world_trouble())
		world_signal(frozen, SIGCONT);
	world_sleep_ms(1500);
	for (int i = 0; i < JOBS; i++) {
		uint64_t started_ms = world_first_start_ms(jobs[i]->id);

		if (started_ms > acked_ms + CANCEL_MS)
			world_break("UNASKED",
				    "a work item of job %s starts %d ms after "
				    "its cancelling was acknowledged",
				    jobs[i]->id, (int)(started_ms - acked_ms));
	}
	world_end();
}
