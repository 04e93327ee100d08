/*
 * A worker reports the end of a run and crashes while the store is slow. Its
 * next lifetime runs another work item to its end, which must not be
 * acknowledged unread and run again.
 */
#include "world.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define WORKERS 9
/* Times from the start of the trial, in ms. */
#define FIRST_MS 300
#define SLOW_FROM_MS 700
#define CRASH_MS 920
#define DOWN_MS 150
#define SECOND_DUE_MS 1085
#define SLOW_UNTIL_MS 2500
#define STORE_SLOW_MS 380
#define TRIALS 5
#define PAUSE_MS 9000

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"q.example\","
	"\"prefix\":\"/q1/\",\"type\":\"unsafe\",\"timeout_ms\":3000,"
	"\"slo_ms\":600,\"priority\":0,\"service\":\"svc\",\"attempts\":3,"
	"\"stretch\":1.6}],\"services\":[{\"name\":\"svc\","
	"\"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\","
	"\"tls\":false,\"enforces_capacity\":true,\"spare\":false}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static uint64_t unix_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

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

static void pause_until(uint64_t at_ms)
{
	uint64_t now_ms = world_now_ms();

	if (at_ms > now_ms)
		world_pause((uint32_t)(at_ms - now_ms));
}

/* Returns whether the jobs were accepted. */
static bool trial(const struct world_process *process, int number)
{
	static const char first[] =
		"{\"spec\":\"ms=600 cpu=1000\",\"steps\":[{\"count\":1,"
		"\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":600}]}";
	uint64_t begun_ms = world_now_ms();
	uint64_t due_ms = unix_ms() + SECOND_DUE_MS;
	char body[300];
	char id[20];
	bool accepted;

	snprintf(body, sizeof(body),
		 "{\"spec\":\"ms=60 cpu=1000\",\"steps\":[{\"count\":1,"
		 "\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":60}],"
		 "\"times\":1,\"first_run_ms\":%llu,\"interval_ms\":1000}",
		 (unsigned long long)due_ms);
	snprintf(id, sizeof(id), "00000000000000b%d", number);
	accepted = submit(process, id, body) == 200;
	pause_until(begun_ms + FIRST_MS);
	snprintf(id, sizeof(id), "00000000000000a%d", number);
	accepted &= submit(process, id, first) == 200;
	if (world_trouble()) {
		pause_until(begun_ms + SLOW_FROM_MS);
		world_store_slow(STORE_SLOW_MS);
		pause_until(begun_ms + CRASH_MS);
		world_worker_silence_next(0);
		world_worker_crash(0, DOWN_MS, 1400);
		pause_until(begun_ms + SLOW_UNTIL_MS);
		world_store_slow(0);
	}
	pause_until(begun_ms + PAUSE_MS);
	return accepted;
}

int main(int argc, char **argv)
{
	struct world_process process = { 0 };
	int result = 0;

	if (argc != 3)
		return 2;
	world_start(argv[2]);
	/* The smallest worker that has room is chosen first. */
	for (int i = 0; i < WORKERS; i++)
		world_worker_add("svc", i < 4 ? "r1-0" : "r1-1",
				 i == 0 ? 12000 : 16000);
	world_operator_write("op/config", config);
	world_process_create(&process, argv[1], "edge-1");
	world_process_start(&process);
	if (!world_process_wait_ready(&process, 10000)) {
		world_process_kill(&process, SIGKILL);
		return 2;
	}
	world_pause(2000);
	for (int i = 0; i < TRIALS && result == 0; i++) {
		if (!trial(&process, i))
			result = 2;
		else if (world_twice_count() > 0)
			result = 1;
	}
	world_process_kill(&process, SIGTERM);
	return result;
}
