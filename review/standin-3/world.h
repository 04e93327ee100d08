/* A small stand-in platform: store, list of machines, workers and clients, on
 * loopback addresses and the real clock. It follows PROTOCOL.md and DEPLOY.md
 * for a deployment of the size of tsurugi-sched. */
#ifndef WORLD_H
#define WORLD_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stddef.h>

#define NODES 3
#define HOST "pule25.example"
#define WORKERS_MAX 24
#define MAX_HOLD_MS 10000
#define STOP_MS 100
#define VISIBLE_MS 3000

/* How a worker treats orders to start. */
enum worker_mode {
	WORKER_SOUND,
	/* unhealthy: 503, and nothing is done */
	WORKER_SHEDS,
};

struct server;

struct run {
	char task[64];
	uint32_t run;
	uint64_t begun_ms;
	uint64_t work_ms;
	bool fails;
	int64_t cpu;
	uint64_t stop_ms;
};

struct worker {
	char id[32];
	char machine[32];
	char service[32];
	char ip[32];
	uint16_t port;
	int64_t cpu;
	uint64_t born_unix_ms;
	uint64_t born_ms;
	/* how far the time of day of its machine is ahead */
	uint64_t ahead_ms;
	uint64_t fence;
	uint64_t until_ms;
	enum worker_mode mode;
	bool silent;
	bool down;
	bool draining;
	struct run runs[256];
	size_t run_count;
	json_t *ended;
	uint64_t end_number;
	uint32_t refused;
	uint64_t seq;
	uint64_t beat_ms;
	struct server *server;
};

struct start {
	char task[64];
	char worker[32];
	uint32_t run;
	uint64_t at_ms;
};

struct answer {
	int status;
	json_t *body;
};

extern struct worker workers[WORKERS_MAX];
extern size_t worker_count;
/* Ends of the kind failed that workers have listed. */
extern size_t failed_ends;
extern bool trouble;

/* All state of the stand-ins is under one lock. */
void world_lock(void);
void world_unlock(void);

uint64_t now_ms(void);
void sleep_until_ms(uint64_t at_ms);
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Starts of tasks of a job that workers have begun; takes the lock. */
size_t job_starts(const char *id);
/* Tasks of a job that run now; takes the lock. */
size_t job_running(const char *id);

struct worker *worker_add(const char *service, int64_t cpu);
/* The worker crashes; it starts again under its identity, with nothing. */
void worker_down(struct worker *worker);
void worker_up(struct worker *worker);
void config_write(uint64_t version, const char *const *services,
		  const char *const *routes);

void world_open(const char *program, const char *folder);
void nodes_start(void);
/* The node that last wrote to the store under a condition. */
size_t node_last_writer(void);
void node_kill(size_t node);
void node_start(size_t node);
/* Waits until each node says that it is ready. */
bool nodes_wait(uint64_t timeout_ms);
void world_close(void);

/* Hands in a job of one step, whose tasks need CPU and work for some time, or
 * last if work_ms is 0. Returns whether it was accepted. */
bool job_submit(size_t node, const char *path, int count, int cpu,
		uint32_t work_ms);

struct answer node_call(size_t node, const char *method, const char *host,
			const char *path, const char *body,
			uint32_t deadline_ms);

#endif
