/**
 * @file job.h
 * @brief Jobs, their steps, occurrences and tasks.
 *
 * Prefix: job_. A job has steps; a job by time runs its steps several times,
 * each time is an occurrence. A step of one occurrence is a group of tasks.
 * Only the owner of the job service holds these; the store holds records of
 * them, see jrc.h.
 */
#ifndef JOB_H
#define JOB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "adapter.h"

/** Length of a job's identity, which is hexadecimal. */
#define JOB_ID_LEN 16
/** Longest text that is handed to each task, in bytes. */
#define JOB_PAYLOAD_MAX_BYTES 4000
/** Steps of a job, at most; a step names earlier ones in a 64-bit mask. */
#define JOB_STEPS_MAX 64
/** Tasks of one occurrence, at most; bounds the memory of a submission. */
#define JOB_TASKS_MAX 4096
/** Occurrences of one job, at most. */
#define JOB_OCCURRENCES_MAX 10000

/** A step as it was submitted; strings are owned, NULL for none. */
struct job_step {
	uint32_t count;
	struct adapter_resources need;
	uint32_t estimate_ms;
	/** steps whose tasks must all be done first, a bit for each */
	uint64_t depends_on;
	bool saves_checkpoints;
	bool is_gang;
	/** the gang slows down when it spans racks */
	bool one_rack;
	bool allows_speculation;
	/** runs until the job is cancelled */
	bool is_long_running;
	/** uses what other tasks leave unused; its cpu takes no room */
	bool is_best_effort;
	/** label that the worker must have */
	char *label;
	/** rack where the data is */
	char *data_rack;
	char *image;
	/** tasks of the step on one worker, at most; 0 for no limit */
	uint32_t max_per_worker;
	/** target of a serving task's tail latency, 0 for none */
	uint32_t latency_target_ms;
	/** tasks that may be away at once by the system's own doing; a
	 *  negative number means that the step asks for no such care */
	int32_t max_unavailable;
};

/** A job as it was submitted. */
struct job_spec {
	char *payload;
	/** of struct job_step */
	GArray *steps;
	/** 0 for a job without times */
	uint32_t occurrence_count;
	uint64_t first_run_unix_ms;
	uint64_t interval_ms;
};

/** State of a job as callers see it. */
enum job_state {
	JOB_PENDING,
	JOB_RUNNING,
	JOB_SUCCEEDED,
	JOB_FAILED,
	JOB_CANCELLED,
};

/** State of a task. */
enum job_task_state {
	/** may be started */
	JOB_TASK_WAITING,
	/** may run on a worker that has not been looked at yet */
	JOB_TASK_UNKNOWN,
	/** an order to start it is under way */
	JOB_TASK_STARTING,
	JOB_TASK_RUNNING,
	/** an order to stop it is under way */
	JOB_TASK_STOPPING,
	JOB_TASK_DONE,
};

struct job_group;
struct worker;
struct owner_advice;

/** A task: one member of a step in one occurrence. */
struct job_task {
	struct job_group *group;
	uint32_t index;
	enum job_task_state state;
	/** number of the newest run */
	uint32_t run;
	/** numbers of the runs whose failure has been counted, NULL for none;
	 *  not kept for tasks that last, which are restarted for ever */
	GArray *failed_runs;
	/** times that it was taken away from a worker as it stood still */
	uint32_t stall_evictions;
	/** report in which it was seen last, see owner_report.c */
	uint64_t seen_in_report;
	/** worker of the newest run, NULL when it is on none */
	struct worker *worker;
	/** owned, NULL for none */
	char *checkpoint;
	/** when the newest run was ordered, and its fencing token */
	uint64_t ordered_ms;
	uint64_t fence;
	/** the call that orders the newest run has not ended */
	bool start_in_flight;
	/** the worker's clock when it had taken the order, 0 before */
	uint64_t present_clock_ms;
	/** no start before this time, after a failed or refused one */
	uint64_t not_before_ms;
	/** share at which it works, as last reported and as last ordered */
	uint32_t speed_percent;
	/** when the share was seen to change last */
	uint64_t speed_changed_ms;
	uint32_t ordered_speed_percent;
	uint64_t speed_ordered_ms;
	/** usage as last reported, see adapter_run */
	uint32_t usage;
	/** since when a serving task has been over its target, 0 if it isn't */
	uint64_t over_target_since_ms;
};

/** A step of one occurrence. */
struct job_group {
	struct job_occurrence *occurrence;
	const struct job_step *step;
	uint32_t step_index;
	struct job_task *tasks;
	uint32_t tasks_done;
	/** what a task is expected to take, from the estimate and what others
	 *  took */
	uint32_t expected_ms;
	/** what its tasks that are done took in all, and their number */
	uint64_t total_duration_ms;
	uint32_t timed_tasks;
	/** tasks that wait, whether or not the step's turn has come */
	uint32_t tasks_waiting;
	/** of a gang: the run that its members share, and its start */
	uint32_t gang_run;
	uint64_t gang_since_ms;
	/** a member's run has ended: the others end too, and all start anew */
	bool gang_ended;
	/** since when the gang has not found room for all, 0 if it has */
	uint64_t gang_unplaced_since_ms;
	/** advice on the step, see owner_advice.c; owned, NULL for none */
	struct owner_advice *advice;
};

/** One time that the steps of a job run. */
struct job_occurrence {
	struct job *job;
	uint32_t number;
	/** Unix time from which it may run */
	uint64_t due_unix_ms;
	/** local time at which it was due or arrived */
	uint64_t due_ms;
	/** length: steps of the job */
	struct job_group *groups;
	uint32_t groups_done;
	bool has_started;
	/** place in the owner's array of live occurrences */
	uint32_t live_slot;
	/** scratch of one scheduling pass */
	uint64_t sort_key;
	/** longest chain of estimates of all its steps */
	uint32_t critical_path_ms;
};

/** Kinds of records of a job that share their values with other jobs. */
enum job_segment_kind {
	JOB_SEGMENT_PROGRESS,
	JOB_SEGMENT_END,
	JOB_SEGMENT_COUNT
};

/** A job of the table. */
struct job {
	char id[JOB_ID_LEN + 1];
	char *queue;
	/** NULL once the job has ended and its details are dropped */
	struct job_spec *spec;
	enum job_state state;
	/** the state that the store holds, which is the one callers are told */
	enum job_state stored_state;
	/** the state in the newest write, which may be under way */
	enum job_state sent_state;
	/** its definition has been sent to the store */
	bool is_sent;
	/** its definition lies in the store under a key of its own */
	bool has_definition;
	/** where its newest records of the other kinds lie, see seg.h */
	struct segment *segments[JOB_SEGMENT_COUNT];
	uint64_t accepted_unix_ms;
	uint64_t accepted_ms;
	uint64_t ended_ms;
	/** of struct job_occurrence *, those that have not ended */
	GPtrArray *occurrences;
	uint32_t occurrences_begun;
	uint32_t occurrences_done;
	/** a task of it has been present on a worker */
	bool has_started;
	/** store record and its place in the commit queue, see cmt.h */
	bool dirty;
	bool in_flight;
	GList queue_link;
	uint64_t commit_mark;
	/** callers that wait for the store, owned by the table's user */
	GSList *waiters;
};

/** @brief Creates an empty specification. */
struct job_spec *job_spec_create(void);

/** @brief Frees a specification. @param spec may be NULL */
void job_spec_destroy(struct job_spec *spec);

/**
 * @brief Checks a specification's limits and references.
 * @param why set to a constant sentence unless ERR_NONE is returned
 * @return ERR_NONE, ERR_INVALID or ERR_TOO_LARGE
 */
enum err_kind job_spec_check(const struct job_spec *spec, const char **why);

/** @brief Creates a job. @param spec owned by the job from here */
struct job *job_create(const char *id, const char *queue,
		       struct job_spec *spec);

/** @brief Frees a job. @param job may be NULL */
void job_destroy(struct job *job);

/** @brief Drops the details of a job that has ended. */
void job_trim(struct job *job);

/**
 * @brief Begins the next occurrence of a job.
 * @param now_ms local time, now_unix_ms the time of day
 * @return the occurrence, owned by the job
 */
struct job_occurrence *job_occurrence_begin(struct job *job, uint64_t now_ms,
					    uint64_t now_unix_ms);

/** @brief Unix time at which the next occurrence is due, UINT64_MAX: none. */
uint64_t job_next_due_unix_ms(const struct job *job);

/** @brief Finds an occurrence that has not ended. @return it or NULL */
struct job_occurrence *job_occurrence_find(const struct job *job,
					   uint32_t number);

/** @brief Ends an occurrence whose tasks are all done and frees it. */
void job_occurrence_end(struct job_occurrence *occurrence);

/** @brief Tells whether all steps that a step waits for are done. */
bool job_group_is_ready(const struct job_group *group);

/** @brief Sets a task's state and keeps the group's counts. */
void job_task_set_state(struct job_task *task, enum job_task_state state);

/**
 * @brief Counts a failed run, whichever order the ends arrive in.
 * @return whether it had not been counted before
 */
bool job_task_count_failure(struct job_task *task, uint32_t run);

/**
 * @brief Number of failed runs that have been counted: those of the task, or of
 *        its gang, whose members share the numbers of their runs.
 */
uint32_t job_task_failures(const struct job_task *task);

/** @brief Replaces a task's checkpoint by a copy; empty or NULL for none. */
void job_task_set_checkpoint(struct job_task *task, const char *checkpoint);

/** @brief Writes the task's name, ID.K.STEP.INDEX, into a buffer. */
#define JOB_TASK_NAME_BYTES 64
void job_task_name(const struct job_task *task, char *out);

/** @brief Parts of a task's name. */
struct job_task_id {
	char job[JOB_ID_LEN + 1];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
};

/** @brief Parses a task's name. @return whether it is one */
bool job_task_id_parse(const char *text, struct job_task_id *out);

/**
 * @brief Longest chain of estimates.
 * @param whole whether steps that are done count too
 */
uint32_t job_critical_path_ms(const struct job_occurrence *occurrence,
			      bool whole);

/** @brief Tells whether an identity is JOB_ID_LEN hexadecimal digits. */
bool job_id_is_valid(const char *id);

#endif
