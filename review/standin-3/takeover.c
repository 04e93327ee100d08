/* A worker crashes, and the node that leads is killed with it. The worker is
 * back before its entry has expired. All other workers are full. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "world.h"

#define FILL "/fill11/00000000000000f1"
#define LASTING "/small22/00000000000000a1"
#define LASTING_ID "00000000000000a1"

#define WORKER_DOWN_MS 3000
#define NODE_AFTER_MS 100
#define NODE_DOWN_MS 500
/* Calm before the 3 s in which the work item may not be away. */
#define CALM_MS 4000
#define AWAY_MS 3000
/* For so long after its last run it may be away in any case. */
#define RESTART_MS 6000
#define WATCH_MS 16000
/* What matters is which of two answers of the store arrives first. */
#define ROUNDS 3

static void disturb(struct worker *worker)
{
	uint64_t begun_ms = now_ms();
	size_t leader = node_last_writer();

	worker_down(worker);
	sleep_until_ms(begun_ms + NODE_AFTER_MS);
	node_kill(leader);
	sleep_until_ms(begun_ms + NODE_AFTER_MS + NODE_DOWN_MS);
	node_start(leader);
	sleep_until_ms(begun_ms + WORKER_DOWN_MS);
	worker_up(worker);
	record("end of the disruption: worker %s stays up", worker->id);
}

/* Returns for how long at a stretch the work item was away after the calm. */
static uint64_t away_watch(void)
{
	uint64_t calm_ms = now_ms();
	uint64_t longest_ms = 0;
	uint64_t since_ms = 0;

	while (now_ms() < calm_ms + WATCH_MS) {
		bool away = job_running(LASTING_ID) == 0;

		if (!away)
			since_ms = 0;
		else if (since_ms == 0)
			since_ms = now_ms();
		if (away && now_ms() - since_ms > longest_ms &&
		    now_ms() >= calm_ms + CALM_MS + AWAY_MS)
			longest_ms = now_ms() - since_ms;
		usleep(50000);
	}
	return longest_ms;
}

static int scenario(void)
{
	static const char *const services[] = { "alpha", NULL };
	static const char *const routes[] = { "/fill11/", "alpha", "/small22/",
					      "alpha", NULL };
	struct worker *faulty;
	uint64_t longest_ms = 0;

	for (int i = 0; i < 9; i++)
		worker_add("alpha", 16000);
	config_write(7, services, routes);
	nodes_start();
	if (!nodes_wait(15000) || !job_submit(0, FILL, 9, 16000, 0))
		return 2;
	sleep_until_ms(now_ms() + 1500);
	if (job_starts("00000000000000f1") != 9)
		return 2;
	faulty = worker_add("alpha", 16000);
	sleep_until_ms(now_ms() + 1500);
	if (!job_submit(1, LASTING, 1, 1000, 0))
		return 2;
	for (int i = 0; i < ROUNDS && longest_ms < RESTART_MS + AWAY_MS; i++) {
		sleep_until_ms(now_ms() + 3000);
		if (job_running(LASTING_ID) != 1)
			return 2;
		if (trouble)
			disturb(faulty);
		longest_ms = away_watch();
	}
	record("check: worker %s runs %zu tasks, has %lld milli-CPU",
	       faulty->id, faulty->run_count, (long long)faulty->cpu);
	record("result: %llu ms at a stretch the lasting task did not run, "
	       "beside a worker with room for it",
	       (unsigned long long)longest_ms);
	printf("%llu ms at a stretch the lasting task did not run\n",
	       (unsigned long long)longest_ms);
	return longest_ms >= RESTART_MS + AWAY_MS;
}

int main(int argc, char **argv)
{
	const char *text = getenv("TROUBLE");
	int status;

	if (argc != 3)
		return 2;
	trouble = !text || strcmp(text, "0") != 0;
	world_open(argv[1], argv[2]);
	status = scenario();
	world_close();
	return status;
}
