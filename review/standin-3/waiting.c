/* Jobs wait while all sound workers are full. One worker is unhealthy and
 * refuses each start with 503. How many jobs does the queue say are waiting? */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define FILL "/fill11/"
#define SMALL "/small22/"
#define SMALL_JOBS 20

/* Jobs accepted at least this long ago have to be counted. */
#define COUNTED_MS (VISIBLE_MS + 2000)
#define SHED_MS 6500

static char ids[SMALL_JOBS][20];
static uint64_t accepted_ms[SMALL_JOBS];

/* Compares what a node says with the jobs that no worker has begun. Returns
 * whether the rule is broken. */
static bool waiting_check(size_t node)
{
	uint64_t asked_ms = now_ms();
	struct answer answer;
	json_int_t told;
	int before = 0;
	int after = 0;

	for (int i = 0; i < SMALL_JOBS; i++)
		before += accepted_ms[i] != 0 &&
			  accepted_ms[i] + COUNTED_MS < asked_ms &&
			  job_starts(ids[i]) == 0;
	answer = node_call(node, "GET", HOST, SMALL, NULL, 3000);
	for (int i = 0; i < SMALL_JOBS; i++)
		after += accepted_ms[i] != 0 &&
			 accepted_ms[i] + COUNTED_MS < asked_ms &&
			 job_starts(ids[i]) == 0;
	told = json_integer_value(json_object_get(answer.body, "waiting"));
	json_decref(answer.body);
	if (answer.status != 200)
		return false;
	record("check: node %zu says %lld wait, %d accepted over %d ms ago "
	       "have not begun (%d after the answer)%s",
	       node + 1, (long long)told, before, COUNTED_MS, after,
	       2 * told < after ? ": under half" : "");
	return 2 * told < after;
}

static int scenario(void)
{
	static const char *const services[] = { "alpha", NULL };
	static const char *const routes[] = { FILL, "alpha", SMALL, "alpha",
					      NULL };
	struct worker *grey;
	uint64_t begun_ms;
	char path[64];
	int broken = 0;

	for (int i = 0; i < 9; i++)
		worker_add("alpha", 16000);
	config_write(7, services, routes);
	nodes_start();
	if (!nodes_wait(15000))
		return 2;
	/* Nine sound workers get one large task each. */
	if (!job_submit(0, FILL "00000000000000f1", 9, 16000, 14000))
		return 2;
	sleep_until_ms(now_ms() + 1500);
	if (job_starts("00000000000000f1") != 9)
		return 2;
	grey = worker_add("alpha", 16000);
	sleep_until_ms(now_ms() + 1500);
	begun_ms = now_ms();
	if (trouble) {
		world_lock();
		grey->mode = WORKER_SHEDS;
		world_unlock();
		record("disruption: worker %s is unhealthy from now on",
		       grey->id);
	}
	for (int i = 0; i < SMALL_JOBS; i++) {
		snprintf(ids[i], sizeof(ids[i]), "%016x", 0xa0 + i);
		snprintf(path, sizeof(path), SMALL "%s", ids[i]);
		if (job_submit((size_t)i % NODES, path, 1, 1000, 9000))
			accepted_ms[i] = now_ms();
	}
	for (int i = 0; i < 12; i++) {
		sleep_until_ms(now_ms() + 500);
		if (now_ms() - begun_ms >= SHED_MS)
			break;
		broken += waiting_check((size_t)i % NODES);
	}
	world_lock();
	grey->mode = WORKER_SOUND;
	record("%s: worker %s is healthy, it refused %u starts",
	       trouble ? "end of the disruption" : "end", grey->id,
	       grey->refused);
	world_unlock();
	record("result: %d answers broke the rule MIXED", broken);
	printf("%d answers broke the rule MIXED\n", broken);
	return broken > 0;
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
