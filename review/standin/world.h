/**
 * @file world.h
 * @brief Stand-ins of the review: the platform's store, its list of machines,
 *        workers, a client, and the processes under test.
 *
 * One thread serves all HTTP interfaces; the thread of the case sends the
 * client's requests and the signals. Everything that is sent, answered and run
 * goes to record.txt.
 */
#ifndef WORLD_H
#define WORLD_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <jansson.h>

/** Largest numbers of things in one case. */
#define WORLD_WORKERS_MAX 64
#define WORLD_NODES_MAX 8
#define WORLD_JOBS_MAX 1024

/** Exit statuses of a case. */
#define WORLD_HELD 0
#define WORLD_BROKEN 1
#define WORLD_CANNOT_RUN 2

/** A bound of the settings, as on a small deployment. */
#define WORLD_MAX_HOLD_MS 6000
#define WORLD_STOP_TIMEOUT_MS 400
#define WORLD_GANG_TIMEOUT_MS 3000

/** One work item's run on a worker. */
struct run {
	char task[64];
	int number;
	uint64_t began_ms;
	/** 0 for a work item that lasts */
	uint64_t ends_ms;
	/** 0 unless it is being stopped */
	uint64_t stops_ms;
	bool fails;
	int cpu;
	int percent;
	struct run *next;
};

/** An entry in a worker's list of ended runs. */
struct ended {
	uint64_t number;
	char task[64];
	int run;
	const char *how;
	struct ended *next;
};

/** One life of a machine. */
struct worker {
	char id[32];
	char machine[32];
	char label[16];
	char rack[16];
	const char *service;
	char address[64];
	int port;
	int listen_fd;
	int cpu;
	bool up;
	bool draining;
	/** highest fence number of an order for its machine */
	uint64_t token;
	/** 0 unless its machine is being moved */
	uint64_t moving_until_ms;
	uint64_t born_unix_ms;
	uint64_t born_ms;
	uint64_t fence;
	uint64_t lease_until_ms;
	uint64_t last_end;
	uint64_t acked;
	struct run *runs;
	struct ended *ends;
	/** highest run of each task that ended or was stopped here */
	json_t *highest;
};

/** What a case tells of a job's work items. */
struct job {
	char id[17];
	char path[128];
	json_t *spec;
	/** duration of a work item; 0 for one that lasts */
	uint32_t (*work_ms)(int step, int index);
	/** whether its work items always fail */
	bool fails;
	/** whether the first run of each fails */
	bool fails_once;
	bool accepted;
};

/** An answer that the client received; status 0 for none. */
struct answer {
	int status;
	char body[512];
};

/** Behaviour of the stand-ins, set by the case before world_start(). */
struct world_options {
	int workers;
	int worker_cpu;
	int stop_ms;
	int nodes;
	bool guards;
	/** whether faults concern single processes */
	bool tells_nodes;
	/** of each process, NULL for 0.25 */
	const char *cpu_share[WORLD_NODES_MAX];
};
extern struct world_options world_options;

extern struct worker world_workers[WORLD_WORKERS_MAX];
extern struct job world_jobs[WORLD_JOBS_MAX];

void world_lock(void);
void world_unlock(void);
uint64_t world_now_ms(void);
uint64_t world_unix_ms(void);
void world_sleep_ms(uint32_t ms);
/** Whether the case applies its disruption. */
bool world_trouble(void);

void world_record_take(char *text);
void world_break_take(const char *rule, char *text);
/** Writes one line with the time to record.txt. */
#define world_record(...)                                                      \
	do {                                                                   \
		char *record_text;                                             \
		if (asprintf(&record_text, __VA_ARGS__) >= 0)                  \
			world_record_take(record_text);                        \
	} while (0)
/** Records that a rule is broken. */
#define world_break(rule, ...)                                                 \
	do {                                                                   \
		char *record_text;                                             \
		if (asprintf(&record_text, __VA_ARGS__) >= 0)                  \
			world_break_take(rule, record_text);                   \
	} while (0)
int world_broken(void);

/** Starts the stand-ins and the processes; waits until all are ready. */
void world_start(void);
/** Ends all processes and exits with the status of the case. */
void world_end(void) __attribute__((noreturn));
void world_cannot_run(const char *why) __attribute__((noreturn));

/** Writes a key of the store as the operator. */
void world_operator_put(const char *key, json_t *value);
/** Writes a config with these routes, each PREFIX=SERVICE. */
void world_config(int version, const char *const *routes,
		  const char *const *services);

/** The process that owns the service, -1 if none. */
int world_owner(void);
void world_signal(int node, int signo);
/** Waits for a process to exit, then starts it again. */
void world_restart(int node);
bool world_is_ready(int node);

/** Sends a request to a process and records both. */
struct answer world_call(int node, const char *method, const char *path,
			 const char *body);
/** The same; the client leaves after a time without an answer. */
struct answer world_call_leaving(int node, const char *method, const char *path,
				 const char *body, uint32_t leave_ms);
/** Makes a job known to the workers without submitting it. */
struct job *world_job_add(const char *prefix, json_t *spec,
			  uint32_t (*work_ms)(int step, int index));
/** Sends submissions; the clients leave without an answer. */
void world_submit_and_leave(int node, struct job *const *jobs, int count,
			    uint32_t leave_ms);
/** Submits a job, retrying at other processes as a client does. */
bool world_hand_in(struct job *job);
/** Makes a job known and submits it. */
struct job *world_submit(const char *prefix, json_t *spec,
			 uint32_t (*work_ms)(int step, int index));
struct answer world_state(const struct job *job);

/** Kills a worker's life; a new one begins on its machine after down_ms. */
void world_worker_crash(int index, uint32_t down_ms);
/** Worker that runs a work item, -1 if none. */
int world_worker_of(const char *task);
/** Cuts a process and a worker off from each other. */
void world_cut(int node, int worker);
void world_cuts_heal(void);
/** Cuts a process off from store, machines and workers once it has stored that
 *  it will order machines to move. What it sends meanwhile arrives later. */
void world_cut_at_intent(void);
int world_cut_node(void);
void world_node_heal(int node);
/** Makes the store refuse all calls of a process with 503. */
void world_store_refuse(int node, bool refuse_it);
/** Makes all channels that are open now silent for good. */
void world_store_silence(void);
void world_workers_silence(void);
int world_worker_channels(int index);
/** End of a work item's newest run, 0 while it runs or if there is none. */
uint64_t world_last_end_ms(const char *task, const char **how);

/** First start of a work item whose name begins so, 0 for none. */
uint64_t world_first_start_ms(const char *prefix);
/** Compares all runs with the rule TWICE at the end of a case. */
void world_check_twice(void);
/** Number of runs of work items whose name begins with a prefix. */
int world_count_running(const char *prefix);
int world_count_done(const char *prefix);

#endif
