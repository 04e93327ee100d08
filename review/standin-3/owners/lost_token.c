/*
 * The store turns the owner away and takes its key. Once its successor has
 * been heard of by all workers, one of them crashes and is back at once, and a
 * worker is added that only the successor knows. Owner and successor must not
 * both start a scheduled job.
 */
#include "../../standin-2/world.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define WORKERS 9
/* Times from the start of a trial, in ms. */
#define TURN_AWAY_MS 1500
#define ADD_MS 1550
#define CRASH_MS 1900
#define DOWN_MS 100
#define DUE_MS 2090
#define SERVE_MS 6000
#define END_MS 12000
/* Lag of the worker list in the site files. */
#define ENTRY_MS 800
#define TRIALS 5
/* CPU of the first worker that is added. The smallest worker that has room is
 * chosen first. */
#define ADDED_CPU 8000

/* Smallest worker that the owner of a trial knows. */
static size_t smallest;

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

static void pause_until(uint64_t at_ms)
{
	uint64_t now_ms = world_now_ms();

	if (at_ms > now_ms)
		world_pause((uint32_t)(at_ms - now_ms));
}

/* Returns whether the job was accepted. */
static bool trial(const struct world_process *owner, int number)
{
	uint64_t begun_ms = world_now_ms();
	uint64_t due_ms = unix_ms() + DUE_MS;
	char body[300];
	char path[64];
	size_t added;
	int status;

	snprintf(body, sizeof(body),
		 "{\"spec\":\"ms=1500 cpu=1800\",\"steps\":[{\"count\":1,"
		 "\"cpu\":1800,\"mem_mb\":512,\"estimate_ms\":1500}],"
		 "\"times\":1,\"first_run_ms\":%llu,\"interval_ms\":1000}",
		 (unsigned long long)due_ms);
	snprintf(path, sizeof(path), "/q1/00000000000000b%d", number);
	status = world_call(owner->front, "POST", path, "q.example", body, 3000,
			    NULL, 0);
	world_record("job 00000000000000b%d, due in %d ms, handed in: %d",
		     number, DUE_MS, status);
	if (world_trouble()) {
		pause_until(begun_ms + TURN_AWAY_MS);
		world_store_turn_away(owner, true);
		pause_until(begun_ms + ADD_MS);
		added = world_worker_add("svc", "r1-2",
					 ADDED_CPU - 100 * (uint32_t)number);
		pause_until(begun_ms + CRASH_MS);
		world_worker_crash(smallest, DOWN_MS, ENTRY_MS);
		smallest = added;
		pause_until(begun_ms + SERVE_MS);
		world_store_turn_away(owner, false);
	}
	pause_until(begun_ms + END_MS);
	return status == 200;
}

int main(int argc, char **argv)
{
	struct world_process processes[2] = { 0 };
	int owner = 0;
	int result = 0;

	if (argc != 3)
		return 2;
	world_start(argv[2]);
	for (int i = 0; i < WORKERS; i++)
		world_worker_add("svc", i < 4 ? "r1-0" : "r1-1",
				 i == 0 ? 12000 : 16000);
	world_operator_write("op/config", config);
	for (int i = 0; i < 2; i++) {
		char name[16];

		snprintf(name, sizeof(name), "edge-%d", i + 1);
		world_process_create(&processes[i], argv[1], name);
		world_process_start(&processes[i]);
		if (!world_process_wait_ready(&processes[i], 10000))
			result = 2;
	}
	for (int i = 0; i < TRIALS && result == 0; i++) {
		if (!trial(&processes[owner], i))
			result = 2;
		else if (world_twice_count() > 0)
			result = 1;
		/* The successor is the owner of the next trial. */
		if (world_trouble())
			owner = 1 - owner;
	}
	for (int i = 0; i < 2; i++)
		world_process_kill(&processes[i], SIGKILL);
	return result;
}
