/* The time of day of one machine is ahead for some seconds while its worker
 * goes down and up by turns: the last life of the worker was born earlier, by
 * that clock, than the one before. All other workers are full. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "world.h"

#define FILL "/fill11/00000000000000f1"
#define LASTING "/small22/00000000000000a1"
#define LASTING_ID "00000000000000a1"

#define GAP_MS 1400
#define FLAP_MS 6500
#define AHEAD_MS 2400
#define AHEAD_FOR_MS 6000
/* Calm before the 3 s in which the work item may not be away. */
#define CALM_MS 4000
#define AWAY_MS 3000

static void flap(struct worker *worker)
{
	uint64_t begun_ms = now_ms();

	record("disruption: the time of day of machine %s is %d ms ahead",
	       worker->machine, AHEAD_MS);
	worker->ahead_ms = AHEAD_MS;
	while (now_ms() + GAP_MS / 2 < begun_ms + FLAP_MS) {
		worker_down(worker);
		sleep_until_ms(now_ms() + GAP_MS / 2);
		if (worker->ahead_ms != 0 &&
		    now_ms() >= begun_ms + AHEAD_FOR_MS) {
			record("end: the time of day of machine %s is right",
			       worker->machine);
			worker->ahead_ms = 0;
		}
		worker_up(worker);
		sleep_until_ms(now_ms() + GAP_MS / 2);
	}
	record("end of the disruption: worker %s stays up", worker->id);
}

static int scenario(void)
{
	static const char *const services[] = { "alpha", NULL };
	static const char *const routes[] = { "/fill11/", "alpha", "/small22/",
					      "alpha", NULL };
	struct worker *faulty;
	uint64_t calm_ms;
	uint64_t away_ms = 0;
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
	sleep_until_ms(now_ms() + 3000);
	if (job_running(LASTING_ID) != 1)
		return 2;
	if (trouble)
		flap(faulty);
	calm_ms = now_ms();
	while (now_ms() < calm_ms + 40000) {
		bool away = job_running(LASTING_ID) == 0;

		if (!away)
			away_ms = 0;
		else if (away_ms == 0)
			away_ms = now_ms();
		if (away && now_ms() - away_ms > longest_ms &&
		    now_ms() >= calm_ms + CALM_MS + AWAY_MS)
			longest_ms = now_ms() - away_ms;
		usleep(50000);
	}
	record("check: worker %s runs %zu tasks and has room for %lld "
	       "milli-CPU",
	       faulty->id, faulty->run_count,
	       (long long)(faulty->run_count > 0 ? 0 : faulty->cpu));
	record("result: %llu ms at a stretch the lasting task did not run, "
	       "beside a worker with room for it",
	       (unsigned long long)longest_ms);
	printf("%llu ms at a stretch the lasting task did not run\n",
	       (unsigned long long)longest_ms);
	return longest_ms >= 6000 + AWAY_MS;
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
