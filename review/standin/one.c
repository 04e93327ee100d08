/**
 * @file one.c
 * @brief The owner is cut off while its orders to move machines are on the way.
 */
#include "world.h"

#define CUT_MS 5500

static const char *const routes[] = { "/plans/=draws",	 "/records/=desk",
				      "/relay/=relay",	 "/finals/=finals",
				      "/sprint/=sprint", 0 };
static const char *const others[] = { "/plans/", "/relay/", "/finals/",
				      "/sprint/", 0 };
static const char *const services[] = { "draws",  "desk",   "relay",
					"finals", "sprint", 0 };

static uint32_t long_ms(int step, int index)
{
	return 60000;
}

static uint32_t work_ms(int step, int index)
{
	return 20000;
}

int main(void)
{
	uint64_t cut_ms;
	struct job *job;

	world_options.workers = 10;
	world_options.tells_nodes = true;
	for (int i = 0; i < world_options.workers; i++)
		world_workers[i].service = services[i / 2];
	world_config(1, routes, services);
	world_start();
	world_sleep_ms(3500);
	/* One machine of each other pool is in use, one is idle. */
	for (int i = 0; others[i]; i++)
		world_submit(others[i],
			     json_pack("{s:s, s:[{s:i,s:i,s:i,s:i}]}", "spec",
				       "plan", "steps", "count", 1, "cpu", 4000,
				       "mem_mb", 256, "estimate_ms", 2000),
			     long_ms);
	world_sleep_ms(8000);
	if (world_trouble())
		world_cut_at_intent();
	job = world_submit("/records/",
			   json_pack("{s:s, s:[{s:i,s:i,s:i,s:i}]}", "spec",
				     "plan", "steps", "count", 20, "cpu", 8000,
				     "mem_mb", 256, "estimate_ms", 20000),
			   work_ms);
	if (!job->accepted)
		world_cannot_run("the job was not accepted");
	if (world_trouble()) {
		for (int i = 0; world_cut_node() < 0 && i < 2000; i++)
			world_sleep_ms(1);
		if (world_cut_node() < 0)
			world_cannot_run("no order to a machine");
		cut_ms = world_now_ms();
		while (world_now_ms() < cut_ms + CUT_MS)
			world_sleep_ms(1);
		world_node_heal(world_cut_node());
	}
	world_sleep_ms(6000);
	world_end();
}
