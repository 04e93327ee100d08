/**
 * @file job.h
 * @brief Jobs, their steps, occurrences and tasks.
 *
 * Prefix: job_. A job has steps. A scheduled job runs its steps several times;
 * each time is an occurrence. A step of one occurrence is a group of tasks.
 * Only the owner of the job service holds these objects; the store holds
 * records of them, see job_record.h.
 */
#ifndef JOB_H
#define JOB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "adapter.h"
#include "lookahead.h"
#include "suspect.h"

/** Length of a job's identity, which is hexadecimal. */
#define JOB_ID_LEN 16
/** Maximum length of the payload, in bytes. */
#define JOB_PAYLOAD_MAX_BYTES 4000
/** Maximum length of a step's label, rack and image, in bytes. */
#define JOB_TEXT_MAX_BYTES 1024
/** Maximum number of steps of a job; dependencies are a 64-bit mask. */
#define JOB_STEPS_MAX 64
/** Maximum number of tasks per occurrence; bounds the memory of a job. */
#define JOB_TASKS_MAX 4096
/** Maximum number of occurrences of a job. */
#define JOB_OCCURRENCES_MAX 10000

/** A step as submitted; strings are owned, NULL for none. */
struct job_step {
	/** number of tasks */
	uint32_t count;
	/** resources of each task */
	struct resources need;
	uint32_t estimate_ms;
	/** bit mask of the earlier steps that must be done first */
	uint64_t depends_on;
	bool saves_checkpoints;
	/** gang scheduling: the tasks run together */
	bool is_gang;
	/** the gang is slower when it spans racks */
	bool one_rack;
	/** accepts speculative copies of slow tasks */
	bool allows_speculation;
	/** runs until the job is cancelled */
	bool is_long_running;
	/** runs on cpu that other tasks leave idle; its cpu is not reserved */
	bool is_best_effort;
	/** label required of the worker */
	char *label;
	/** rack that holds the input data */
	char *data_rack;
	char *image;
	/** maximum number of the step's tasks per worker, 0 for no limit */
	uint32_t max_per_worker;
	/** target tail latency of a serving task, 0 for none */
	uint32_t latency_target_ms;
	/** disruption budget: maximum number of tasks that the system may take
	 *  down at once; negative if the step sets none */
	int32_t max_unavailable;
};

struct catalogue_queue;

/** A job as submitted. */
struct job_spec {
	/** its queue as configured when it was accepted, by which it is carried
	 *  on if the queue is dropped; owned, NULL in records of versions that
	 *  do not store it */
	struct catalogue_queue *queue;
	/** text handed to each task */
	char *payload;
	/** of struct job_step */
	GArray *steps;
	/** 0 for a job that runs once, at once */
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
	/** may run on a worker that has not been polled yet */
	JOB_TASK_UNKNOWN,
	/** an order to start it is in flight */
	JOB_TASK_STARTING,
	JOB_TASK_RUNNING,
	/** an order to stop it is in flight */
	JOB_TASK_STOPPING,
	JOB_TASK_DONE,
};

/** Why a task waits to be started again. */
enum job_requeue_cause {
	/** it has not been requeued since its last start */
	JOB_REQUEUE_NONE,
	/** its worker reported that the run failed, was stopped, was ended
	 *  because the worker's lease had expired, or ended with its gang */
	JOB_REQUEUE_FAILED,
	JOB_REQUEUE_STOPPED,
	JOB_REQUEUE_LEASE_ENDED,
	JOB_REQUEUE_GANG_ENDED,
	/** the start was refused, or its worker could not be connected to */
	JOB_REQUEUE_START_REFUSED,
	/** a report shows that an unanswered start was not executed */
	JOB_REQUEUE_START_NOT_EXECUTED,
	/** a report of the incarnation that had the run lacks it */
	JOB_REQUEUE_NOT_IN_REPORT,
	/** a report of a later incarnation of its worker lacks it */
	JOB_REQUEUE_WORKER_RESTARTED,
	/** another worker answers at the address of its worker */
	JOB_REQUEUE_WORKER_REPLACED,
	/** the list of VMs shows that its worker has ended by itself, or
	 *  because its VM was moved, maintained or removed */
	JOB_REQUEUE_WORKER_CRASHED,
	JOB_REQUEUE_WORKER_REMOVED,
	/** its worker does not answer, and its lease must have expired */
	JOB_REQUEUE_WORKER_UNREACHABLE,
	/** a takeover was settled without a report of it, so that it may never
	 *  have run */
	JOB_REQUEUE_TAKEOVER,
	JOB_REQUEUE_COUNT
};

/** How a task was last requeued, for the log. */
struct job_requeue {
	enum job_requeue_cause cause;
	/** newest run before, 0 if none is known */
	uint32_t run;
	/** identity of that run's worker; owned, NULL if unknown */
	char *worker;
	/** local time, and whether the owner had a valid lease then */
	uint64_t requeued_ms;
	bool lease_was_valid;
};

struct job_group;
struct worker;
struct owner_account;
struct owner_advice;

/** A task: one member of a step in one occurrence. */
struct job_task {
	struct job_group *group;
	uint32_t index;
	enum job_task_state state;
	/** number of the newest run */
	uint32_t run;
	/** numbers of the failed runs, NULL for none; not kept for long-running
	 *  tasks, which are restarted without limit */
	GArray *failed_runs;
	/** evidence that it crashes its workers; owned, NULL for none */
	struct suspect *suspect;
	/** newest run that was on a worker when it crashed */
	uint32_t crashed_run;
	/** change that records that crash, see commit_durable_mark() */
	uint64_t crash_mark;
	/** the newest run was started by an earlier owner, which alone knows
	 *  when */
	bool adopted;
	/** number of times it was moved off a worker because it stalled */
	uint32_t stall_evictions;
	/** number of the report that last listed it */
	uint64_t seen_in_report;
	/** worker of the newest run, NULL for none */
	struct worker *worker;
	/** newest checkpoint; owned, NULL for none */
	char *checkpoint;
	/** local time at which the newest run was ordered, and the order's
	 *  fencing token */
	uint64_t ordered_ms;
	uint64_t fence;
	/** clock of the worker by which the newest run had begun, 0 if unknown
	 */
	uint64_t started_clock_ms;
	/** the call that orders the newest run is in flight; once it has ended,
	 *  JOB_TASK_STARTING means that it was not answered, so that the run
	 *  may never have begun */
	bool start_in_flight;
	/** number of the newest poll of the worker that had been sent when the
	 *  worker accepted the order or last listed the run; only a later poll
	 *  can show that the run has ended */
	uint64_t last_seen_poll;
	/** its last run ended without a report of its worker to this owner:
	 *  another owner may know how it ended */
	bool end_unreported;
	struct job_requeue requeue;
	/** backoff: no start before this local time */
	uint64_t not_before_ms;
	/** percentage of full speed as last reported, and the local time of the
	 *  report in which it last changed */
	uint32_t speed_percent;
	uint64_t speed_changed_ms;
	/** percentage of full speed as last ordered, and the local time of the
	 *  order */
	uint32_t ordered_speed_percent;
	uint64_t speed_ordered_ms;
	/** usage as last reported, see struct adapter_run */
	uint32_t usage;
	/** local time since which a serving task has exceeded its latency
	 *  target, 0 if it does not */
	uint64_t over_target_since_ms;
};

/** A step of one occurrence. */
struct job_group {
	struct job_occurrence *occurrence;
	const struct job_step *step;
	uint32_t step_index;
	struct job_task *tasks;
	uint32_t tasks_done;
	/** expected duration of a task: predicted from the estimate and from
	 *  earlier tasks of the queue, then the mean of the step's timed tasks
	 */
	uint32_t expected_ms;
	/** total duration and number of the tasks that were timed */
	uint64_t total_duration_ms;
	uint32_t timed_tasks;
	/** number of waiting tasks, whether or not the step is ready */
	uint32_t tasks_waiting;
	/** the last scheduling pass found no worker that fits a waiting task */
	bool fits_nowhere;
	/** the last scheduling pass held waiting tasks back because of the
	 *  limit of the job's account */
	bool held_by_limit;
	/** the last scheduling pass found room for a waiting task only where
	 *  other tasks are planned */
	bool held_by_plan;
	/** gang: run that the members share, and the local time of its start */
	uint32_t gang_run;
	uint64_t gang_since_ms;
	/** gang: a member's run has ended, so the others are ended as well and
	 *  all restart */
	bool gang_ended;
	/** gang: local time since which it could not be placed as a whole, 0 if
	 *  it could */
	uint64_t gang_unplaced_since_ms;
	/** gang: room that is reserved for it */
	struct lookahead_reservation gang_reservation;
	/** gang: the workers are too few or too small for it, beside tasks that
	 *  do not end */
	bool gang_is_unplaceable;
	/** local time since which a waiting task fits only into room that is
	 *  planned for others, or on workers in quarantine, though much is
	 * free; 0 if that is not so */
	uint64_t held_since_ms;
	/** advice on which workers may run the step; owned, NULL for none */
	struct owner_advice *advice;
};

/** One execution of the steps of a job. */
struct job_occurrence {
	struct job *job;
	uint32_t number;
	/** local time at which it became due, or at which a job without a
	 *  schedule was accepted */
	uint64_t due_ms;
	/** one per step of the job */
	struct job_group *groups;
	uint32_t groups_done;
	/** a worker has begun one of its tasks, as the owner knows */
	bool has_begun;
	/** index in the owner's array of live occurrences */
	uint32_t live_slot;
	/** valid only within a scheduling pass */
	uint64_t sort_key;
	/** critical path of all steps, computed when the occurrence began */
	uint32_t critical_path_ms;
};

/** Kinds of records that are stored in segments, see segment.h. */
enum job_segment_kind {
	JOB_SEGMENT_PROGRESS,
	JOB_SEGMENT_END,
	JOB_SEGMENT_COUNT
};

/** A job. */
struct job {
	char id[JOB_ID_LEN + 1];
	char *queue;
	/** client account that submitted it, NULL for none */
	char *account;
	/** submitted beyond what its account is entitled to */
	bool is_excess;
	/** use of that account, managed by the owner, NULL for none */
	struct owner_account *account_use;
	/** NULL once the job has ended and job_trim() has freed it */
	struct job_spec *spec;
	enum job_state state;
	/** the state that is in the store, which is reported to callers */
	enum job_state stored_state;
	/** the state in the newest write, which may be in flight */
	enum job_state sent_state;
	/** has been part of a write to the store */
	bool is_sent;
	/** the store holds its definition key */
	bool has_definition;
	/** segments with its newest records, NULL for none */
	struct segment *segments[JOB_SEGMENT_COUNT];
	/** an earlier owner accepted it, and may have started its tasks */
	bool is_restored;
	/** failed, and then cancelled by its caller */
	bool is_abandoned;
	/** a caller has been told its end by this owner */
	bool end_is_told;
	/** stands for a cancellation of a job that had not been submitted */
	bool is_cancel_only;
	uint64_t accepted_unix_ms;
	uint64_t accepted_ms;
	uint64_t ended_ms;
	/** of struct job_occurrence *; those that have not ended */
	GPtrArray *occurrences;
	uint32_t occurrences_begun;
	uint32_t occurrences_done;
	/** a worker has begun one of its tasks, as the owner or an earlier one
	 *  knows */
	bool has_begun;
	/** its queue has changed since it was accepted and was then dropped, so
	 *  that its records contain the queue */
	bool records_queue;
	/** state of its writes, used by commit_log.h: changed since the last
	 *  write, part of the write in flight, link in the queue, number of the
	 *  newest change */
	bool dirty;
	bool in_flight;
	GList queue_link;
	uint64_t commit_mark;
	/** number of the oldest change that is not stored, if dirty, and of the
	 *  newest one that is stored */
	uint64_t oldest_mark;
	uint64_t stored_mark;
	/** its records are written without checkpoints */
	bool is_reduced;
	/** number of checkpoints that its newest record leaves out */
	uint32_t checkpoints_left_out;
	/** calls that wait for the job to be stored; managed by the owner */
	GSList *waiters;
};

/** @brief Sets the queue by which a job is carried on.
 *  @return whether that differs from the queue as it was before */
bool job_set_queue(struct job *job, const struct catalogue_queue *queue);

/** @brief Returns the name of a state for the log. */
const char *job_state_name(enum job_state state);

/** @brief Creates an empty specification. */
struct job_spec *job_spec_create(void);

/** @brief Frees a specification. @param spec may be NULL */
void job_spec_destroy(struct job_spec *spec);

/**
 * @brief Checks a specification's limits and references.
 * @param why set to a constant sentence on error, else to NULL
 * @return ERR_NONE, ERR_INVALID or ERR_TOO_LARGE
 */
enum err_kind job_spec_check(const struct job_spec *spec, const char **why);

/** @brief Creates a job. @param spec owned by the job from then on */
struct job *job_create(const char *id, const char *queue,
		       struct job_spec *spec);

/** @brief Frees a job. @param job may be NULL */
void job_destroy(struct job *job);

/** @brief Returns whether tasks of a job that has failed may still be at work,
 *  and may be stopped only within their disruption budget, so that the next
 *  owner needs its definition. */
bool job_outlives_end(const struct job *job);

/** @brief Frees the specification and occurrences of a job that has ended. */
void job_trim(struct job *job);

/**
 * @brief Begins the next occurrence of a job.
 * @param now_ms local time
 * @param now_unix_ms Unix time
 * @return the occurrence, owned by the job
 */
struct job_occurrence *job_occurrence_begin(struct job *job, uint64_t now_ms,
					    uint64_t now_unix_ms);

/** @brief Returns the Unix time at which an occurrence of a scheduled job is
 *  due. */
uint64_t job_due_unix_ms(const struct job_spec *spec, uint32_t occurrence);

/** @brief Returns the number of tasks of one occurrence. */
uint64_t job_spec_task_count(const struct job_spec *spec);

/** @brief Returns the Unix time at which the next occurrence is due, UINT64_MAX
 *  for none. */
uint64_t job_next_due_unix_ms(const struct job *job);

/** @brief Returns whether the next occurrence is due and may begin: the live
 *  occurrences of a job have at most JOB_TASKS_MAX tasks together. */
bool job_next_may_begin(const struct job *job, uint64_t now_unix_ms);

/** @brief Finds an occurrence that has not ended. @return NULL if not found */
struct job_occurrence *job_occurrence_find(const struct job *job,
					   uint32_t number);

/** @brief Frees an occurrence whose tasks are all done. */
void job_occurrence_end(struct job_occurrence *occurrence);

/** @brief Returns whether all dependencies of the group's step are done. */
bool job_group_is_ready(const struct job_group *group);

/** @brief Sets a task's state and updates the counters of its group. */
void job_task_set_state(struct job_task *task, enum job_task_state state);

/**
 * @brief Counts a failed run once; ends may arrive repeatedly and in any order.
 * @return false if the run had already been counted
 */
bool job_task_count_failure(struct job_task *task, uint32_t run);

/**
 * @brief Returns the number of failed runs of a task. For a gang these are the
 *        failed runs of all members, which share their run numbers.
 */
uint32_t job_task_failures(const struct job_task *task);

/** @brief Returns the evidence against a task, creating it if there is none. */
struct suspect *job_task_suspect(struct job_task *task);

/** @brief Replaces a task's checkpoint by a copy; empty or NULL keeps it. */
void job_task_set_checkpoint(struct job_task *task, const char *checkpoint);

/** @brief Returns the stable name of a cause, for logs and metrics. */
const char *job_requeue_cause_name(enum job_requeue_cause cause);

/** Size of a buffer for a task's name. */
#define JOB_TASK_NAME_BYTES 64

/**
 * @brief Formats a task's name as JOB.OCCURRENCE.STEP.INDEX.
 * @param out buffer of JOB_TASK_NAME_BYTES
 */
void job_task_name(const struct job_task *task, char *out);

/** Parts of a task's name. */
struct job_task_id {
	char job[JOB_ID_LEN + 1];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
};

/** @brief Parses a task's name. @return false if it is malformed */
bool job_task_id_parse(const char *text, struct job_task_id *out);

/**
 * @brief Returns the duration of the critical path by the expected durations.
 * @param include_done whether to count steps that are done
 */
uint32_t job_critical_path_ms(const struct job_occurrence *occurrence,
			      bool include_done);

/** @brief Returns whether an identity is JOB_ID_LEN hexadecimal digits. */
bool job_id_is_valid(const char *id);

#endif
