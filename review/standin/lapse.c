/**
 * @file lapse.c
 * @brief Open channels to the workers go silent while a lasting job is at work.
 */
#include <stdio.h>

#include "world.h"

#define ITEMS 6
#define MAY_MISS 1
#define STABLE_MS 3000
/* A lasting work item has to run again this long after its last run, and may
 * lack room for no longer than the second time. */
#define RESTART_MS 6000
#define STALL_MS 3000

static const char *const routes[] = { "/plans/=svc", "/records/=svc", 0 };
static const char *const services[] = { "svc", 0 };

static uint32_t short_ms(int step, int index)
{
	return 1000;
}

static uint32_t lasting_ms(int step, int index)
{
	return 0;
}

static void burst_send(void)
{
	for (int i = 0; i < 4; i++)
		world_submit("/plans/",
			     json_pack("{s:s, s:[{s:i,s:i,s:i,s:i}]}", "spec",
				       "plan", "steps", "count", 24, "cpu",
				       1000, "mem_mb", 256, "estimate_ms",
				       1000),
			     short_ms);
}

static void items_check(const struct job *job, uint64_t silent_ms)
{
	static uint64_t lapsed_ms[ITEMS];
	static bool lost[ITEMS];
	uint64_t now_ms = world_now_ms();

	for (int i = 0; i < ITEMS; i++) {
		const char *how = "";
		char task[64];
		uint64_t end_ms;

		snprintf(task, sizeof(task), "%s.0.0.%d", job->id, i);
		end_ms = world_last_end_ms(task, &how);
		if (end_ms == 0)
			continue;
		if (lapsed_ms[i] != end_ms && how[0] == 'l') {
			int lapsed = 0;

			lapsed_ms[i] = end_ms;
			for (int j = 0; j < ITEMS; j++)
				lapsed += j != i && lapsed_ms[j] != 0;
			if (lapsed >= MAY_MISS &&
			    end_ms > silent_ms + STABLE_MS)
				world_break(
					"AVAIL",
					"the lease of %s lapses %d ms after "
					"the channels fell silent; %d "
					"others of its step are away, %d "
					"may be",
					task, (int)(end_ms - silent_ms), lapsed,
					MAY_MISS);
		}
		if (!lost[i] && now_ms >= end_ms + RESTART_MS + STALL_MS) {
			lost[i] = true;
			world_break("LOST",
				    "%s is to last and has not run for %d ms",
				    task, (int)(now_ms - end_ms));
		}
	}
}

int main(void)
{
	uint64_t silent_ms;
	struct job *job;

	world_config(1, routes, services);
	world_start();
	world_sleep_ms(3500);
	job = world_submit("/records/",
			   json_pack("{s:s, s:[{s:i,s:i,s:i,s:b,s:i,s:i}]}",
				     "spec", "records", "steps", "count", ITEMS,
				     "cpu", 2000, "mem_mb", 256, "daemon", 1,
				     "may_miss", MAY_MISS, "anti_affinity", 1),
			   lasting_ms);
	world_sleep_ms(1500);
	if (!job->accepted || world_count_running(job->id) != ITEMS)
		world_cannot_run("the lasting job is not at work");
	burst_send();
	world_sleep_ms(6000);
	if (world_count_running(job->id) != ITEMS)
		world_cannot_run("the lasting job is not at work");
	for (int i = 0; i < world_options.workers; i++)
		world_record("worker %s has %d channels", world_workers[i].id,
			     world_worker_channels(i));
	silent_ms = world_now_ms();
	if (world_trouble())
		world_workers_silence();
	while (world_now_ms() < silent_ms + 25000) {
		items_check(job, silent_ms);
		world_sleep_ms(20);
	}
	world_end();
}
