/**
 * @file crash.c
 * @brief Workers crash one at a time while harmless lasting jobs are at work.
 */
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define JOBS 12
#define ITEMS 5
#define CRASHES 100
#define DOWN_MS 500
#define PAUSE_MS 350

static const char *const routes[] = { "/records/=svc", 0 };
static const char *const services[] = { "svc", 0 };

static uint32_t work_ms(int step, int index)
{
	return 0;
}

int main(void)
{
	const char *seed = getenv("SEED");
	struct job *jobs[JOBS];

	world_options.workers = 9;
	world_config(1, routes, services);
	world_start();
	srandom(seed ? (unsigned int)strtoul(seed, NULL, 10) : 1);
	world_sleep_ms(3500);
	for (int i = 0; i < JOBS; i++) {
		jobs[i] = world_submit(
			"/records/",
			json_pack("{s:s, s:[{s:i,s:i,s:i,s:b,s:i,s:i}]}",
				  "spec", "records", "steps", "count", ITEMS,
				  "cpu", 1300, "mem_mb", 256, "daemon", 1,
				  "may_miss", 1, "anti_affinity", 1),
			work_ms);
		if (!jobs[i]->accepted)
			world_cannot_run("a job was not accepted");
	}
	world_sleep_ms(3000);
	for (int i = 0; i < CRASHES; i++) {
		if (world_trouble())
			world_worker_crash(
				(int)(random() % world_options.workers),
				DOWN_MS);
		else
			world_sleep_ms(DOWN_MS);
		world_sleep_ms(PAUSE_MS);
	}
	world_sleep_ms(5000);
	for (int i = 0; i < JOBS; i++) {
		struct answer answer = world_state(jobs[i]);

		if (strstr(answer.body, "failed"))
			world_break("LOST",
				    "job %s is shown as failed; no work item "
				    "of it has ended failed",
				    jobs[i]->id);
	}
	world_end();
}
