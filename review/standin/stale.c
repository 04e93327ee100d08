/**
 * @file stale.c
 * @brief The store turns the owner away, and two workers lose the path to one
 *        process each. A machine is moved by the next owner.
 */
#include <stdio.h>

#include "world.h"

static const char *const routes[] = { "/plans/=draws", "/records/=desk", 0 };
static const char *const services[] = { "draws",  "desk",   "relay",
					"finals", "sprint", 0 };

static uint32_t fill_ms(int step, int index)
{
	return 1500;
}

static uint32_t short_ms(int step, int index)
{
	return 4500;
}

static uint32_t long_ms(int step, int index)
{
	return 40000;
}

static struct job *submit(const char *prefix, int count, int cpu,
			  uint32_t (*work_ms)(int step, int index))
{
	struct job *job = world_submit(
		prefix,
		json_pack("{s:s, s:[{s:i,s:i,s:i,s:i}]}", "spec", "plan",
			  "steps", "count", count, "cpu", cpu, "mem_mb", 256,
			  "estimate_ms", (int)work_ms(0, 0)),
		work_ms);

	if (!job->accepted)
		world_cannot_run("a job was not accepted");
	world_sleep_ms(200);
	return job;
}

static int worker_of(const struct job *job)
{
	char task[64];

	snprintf(task, sizeof(task), "%s.0.0.0", job->id);
	return world_worker_of(task);
}

int main(void)
{
	struct job *other;
	struct job *job;
	int other_worker;
	int old_owner;
	int new_owner;
	int worker;

	world_options.workers = 10;
	world_options.nodes = 4;
	world_options.tells_nodes = true;
	/* Of two larger machines, one becomes the owner and the other the next
	 * one. */
	world_options.cpu_share[0] = "0.5";
	world_options.cpu_share[1] = "0.5";
	world_options.cpu_share[2] = "0.12";
	world_options.cpu_share[3] = "0.12";
	for (int i = 0; i < world_options.workers; i++)
		world_workers[i].service = services[i / 2];
	world_config(1, routes, services);
	world_start();
	world_sleep_ms(3500);
	old_owner = world_owner();
	if (old_owner != 0 && old_owner != 1)
		world_cannot_run("another process is the owner");
	new_owner = 1 - old_owner;
	other = submit("/plans/", 1, 4000, long_ms);
	submit("/plans/", 1, 12000, fill_ms);
	job = submit("/plans/", 1, 4000, short_ms);
	world_sleep_ms(1800);
	worker = worker_of(job);
	other_worker = worker_of(other);
	if (worker < 0 || other_worker < 0 || worker == other_worker)
		world_cannot_run("the jobs are not on two workers");
	if (world_trouble()) {
		world_cut(old_owner, worker);
		world_cut(new_owner, other_worker);
		world_store_refuse(old_owner, true);
	}
	world_sleep_ms(1600);
	if (world_trouble() && world_owner() != new_owner)
		world_cannot_run("another process is the next owner");
	submit("/records/", 20, 8000, short_ms);
	world_sleep_ms(3200);
	world_cuts_heal();
	world_store_refuse(old_owner, false);
	world_sleep_ms(12000);
	world_check_twice();
	world_end();
}
