/* One machine of ten goes down and up by turns while all others are full, so
 * that the task of a harmless job starts there whenever it is up. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define FILL "/fill11/00000000000000f1"
#define HARMLESS "/small22/00000000000000a1"

#define GAP_MS 920
#define FLAP_MS 7000
#define WORK_MS 3000

static int scenario(void)
{
	static const char *const services[] = { "alpha", NULL };
	static const char *const routes[] = { "/fill11/", "alpha", "/small22/",
					      "alpha", NULL };
	struct worker *faulty;
	char state[16] = "";
	uint64_t until;

	for (int i = 0; i < 9; i++)
		worker_add("alpha", 16000);
	config_write(7, services, routes);
	nodes_start();
	if (!nodes_wait(15000) || !job_submit(0, FILL, 9, 16000, 25000))
		return 2;
	sleep_until_ms(now_ms() + 1500);
	if (job_starts("00000000000000f1") != 9)
		return 2;
	faulty = worker_add("alpha", 16000);
	sleep_until_ms(now_ms() + 1500);
	if (!job_submit(1, HARMLESS, 1, 1000, WORK_MS))
		return 2;
	sleep_until_ms(now_ms() + 700);
	until = now_ms() + FLAP_MS;
	while (trouble && now_ms() + GAP_MS / 2 < until) {
		worker_down(faulty);
		sleep_until_ms(now_ms() + GAP_MS / 2);
		worker_up(faulty);
		sleep_until_ms(now_ms() + GAP_MS / 2);
	}
	record("%s: worker %s stays up",
	       trouble ? "end of the disruption" : "no disruption", faulty->id);
	until = now_ms() + 30000;
	while (now_ms() < until && strcmp(state, "failed") != 0 &&
	       strcmp(state, "succeeded") != 0) {
		struct answer answer;
		const char *text;

		sleep_until_ms(now_ms() + 500);
		answer = node_call(0, "GET", HOST, HARMLESS, NULL, 3000);
		text = json_string_value(json_object_get(answer.body, "state"));
		snprintf(state, sizeof(state), "%s", text ? text : "");
		json_decref(answer.body);
	}
	record("result: the job is shown as %s; of its runs %zu have ended "
	       "failed",
	       state, failed_ends);
	printf("the job is shown as %s; of its runs %zu have ended failed\n",
	       state, failed_ends);
	return strcmp(state, "failed") == 0 && failed_ends == 0;
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
