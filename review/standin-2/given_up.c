/*
 * A rack of workers loses power for a moment. Jobs that are handed in then are
 * never started by a worker, and must not be shown as failed.
 */
#include "world.h"

#include <stdio.h>
#include <string.h>
#include <signal.h>

#define WORKERS 12
#define RACK 4
#define JOBS 1
#define DOWN_MS 400
#define ENTRY_MS 1400
/* finish_s, and the time that the work takes. */
#define FINISH_MS 20000

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"q.example\","
	"\"prefix\":\"/q1/\",\"type\":\"unsafe\",\"timeout_ms\":3000,"
	"\"slo_ms\":600,\"priority\":0,\"service\":\"svc\",\"attempts\":3,"
	"\"stretch\":1.6}],\"services\":[{\"name\":\"svc\","
	"\"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\","
	"\"tls\":false,\"enforces_capacity\":true,\"spare\":false}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static int submit(const struct world_process *process, const char *id,
		  const char *body)
{
	char path[64];
	int status;

	snprintf(path, sizeof(path), "/q1/%s", id);
	status = world_call(process->front, "POST", path, "q.example", body,
			    3000, NULL, 0);
	world_record("job %s handed in: %d", id, status);
	return status;
}

static void state_get(const struct world_process *process, const char *id,
		      char *out, size_t size)
{
	char path[64];
	char body[256];
	char state[32] = "unknown";

	snprintf(path, sizeof(path), "/q1/%s", id);
	if (world_call(process->front, "GET", path, "q.example", "", 1000, body,
		       sizeof(body)) == 200)
		sscanf(body, "{\"state\":\"%31[a-z]", state);
	snprintf(out, size, "%s", state);
}

/* Waits until a job has ended, or the time is over. */
static void job_wait(const struct world_process *process, const char *id,
		     char *state, size_t size)
{
	uint64_t until_ms = world_now_ms() + FINISH_MS;

	do {
		world_pause(100);
		state_get(process, id, state, size);
	} while (strcmp(state, "succeeded") != 0 &&
		 strcmp(state, "failed") != 0 && world_now_ms() < until_ms);
	world_record("job %s is shown as %s", id, state);
}

int main(int argc, char **argv)
{
	static const char warm_up[] =
		"{\"spec\":\"ms=300 cpu=1000\",\"steps\":[{\"count\":12,"
		"\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":300,"
		"\"anti_affinity\":1}]}";
	static const char work[] =
		"{\"spec\":\"ms=500 cpu=1800\",\"steps\":[{\"count\":1,"
		"\"cpu\":1800,\"mem_mb\":512,\"estimate_ms\":500}]}";
	struct world_process process = { 0 };
	char record[300];
	char state[32];
	int result = 0;

	if (argc != 3)
		return 2;
	snprintf(record, sizeof(record), "%s", argv[2]);
	world_start(record);
	for (int i = 0; i < WORKERS; i++) {
		char rack[16];

		/* The kinds of worker differ a little by rack. */
		snprintf(rack, sizeof(rack), "r1-%d", i / RACK);
		world_worker_add("svc", rack,
				 (uint32_t)(15000 + 500 * (i / RACK)));
	}
	world_operator_write("op/config", config);
	world_process_create(&process, argv[1], "edge-1");
	world_process_start(&process);
	if (!world_process_wait_ready(&process, 10000)) {
		world_record("the process is not ready");
		world_process_kill(&process, SIGKILL);
		return 2;
	}
	world_pause(2000);
	if (submit(&process, "00000000000000a0", warm_up) != 200)
		result = 2;
	job_wait(&process, "00000000000000a0", state, sizeof(state));
	world_pause(3000);
	if (world_trouble()) {
		for (size_t i = 0; i < RACK; i++)
			world_worker_crash_dark(i, DOWN_MS, ENTRY_MS);
	}
	world_pause(30);
	for (int i = 0; i < JOBS && result == 0; i++) {
		char id[20];

		snprintf(id, sizeof(id), "00000000000000b%d", i);
		if (submit(&process, id, work) != 200)
			result = 2;
	}
	for (int i = 0; i < JOBS && result != 2; i++) {
		char id[20];

		snprintf(id, sizeof(id), "00000000000000b%d", i);
		job_wait(&process, id, state, sizeof(state));
		if (strcmp(state, "failed") == 0) {
			world_record("LOST: job %s is shown as failed, and no "
				     "run of its work item has ended failed",
				     id);
			result = 1;
		}
	}
	world_process_kill(&process, SIGTERM);
	return result;
}
