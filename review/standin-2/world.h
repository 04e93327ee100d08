/*
 * Stand-in for the platform of a small deployment, see world.c. Index and
 * time arguments are plain numbers; times are in milliseconds.
 */
#ifndef WORLD_H
#define WORLD_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define WORLD_WORKERS_MAX 64
#define WORLD_PROCESSES_MAX 4
#define WORLD_MAX_HOLD_MS 6000

/* A process of the system. */
struct world_process {
	char name[24];
	char file[256];
	char metrics[8];
	size_t index;
	uint16_t front;
	uint16_t ready;
	pid_t pid;
};

/* Starts the stand-in; what happens is written to the file `record`. */
void world_start(const char *record);
/* Whether the disruption is to be brought about: unless TROUBLE=0. */
bool world_trouble(void);
uint64_t world_now_ms(void);
void world_pause(uint32_t ms);
void world_record_line(const char *text);
#define world_record(...)                                                      \
	do {                                                                   \
		char line_[512];                                               \
                                                                               \
		snprintf(line_, sizeof(line_), __VA_ARGS__);                   \
		world_record_line(line_);                                      \
	} while (0)
uint16_t world_free_port(void);

/* Writes a key as the operator. */
void world_operator_write(const char *name, const char *value);
/* Delays each call to the store but watches; 0: no delay. */
void world_store_slow(uint32_t ms);

/* The store answers a process with 503 and takes its keys, or serves it. */
void world_store_turn_away(const struct world_process *process, bool refuses);

/* Adds a worker; returns its index. */
size_t world_worker_add(const char *pool, const char *rack, uint32_t cpu);
const char *world_worker_id(size_t index);
/*
 * A worker loses power and starts again under its id: it is silent for
 * down_ms, then resets the connections of its earlier lifetime when something
 * arrives on them, and writes its entry entry_ms after its start.
 */
void world_worker_crash_dark(size_t index, uint32_t down_ms, uint32_t entry_ms);

/* The same, but its connections are reset at once. */
void world_worker_crash(size_t index, uint32_t down_ms, uint32_t entry_ms);
/* The channel of the next order to start goes silent for good once the order
 * has arrived and been carried out. */
void world_worker_silence_next(size_t index);
/* Number of starts beside another run, or after an acknowledged end `done`. */
uint32_t world_twice_count(void);

/* Makes one call; returns the status, 0 for no answer. */
int world_call(uint16_t port, const char *method, const char *path,
	       const char *host, const char *body, uint32_t timeout_ms,
	       char *answer, size_t answer_size);

void world_process_create(struct world_process *process, const char *folder,
			  const char *name);
pid_t world_process_start(struct world_process *process);
bool world_process_wait_ready(const struct world_process *process,
			      uint32_t timeout_ms);
void world_process_kill(struct world_process *process, int signo);

#endif
