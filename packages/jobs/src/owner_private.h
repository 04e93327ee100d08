/**
 * @file owner_private.h
 * @brief State and functions shared by the files of the owner.
 *
 * Calls go one way: owner.c calls the other files; owner_report.c,
 * owner_schedule.c and owner_fleet.c call owner_task.c, which requests a
 * scheduling pass with owner_schedule_request().
 */
#ifndef OWNER_PRIVATE_H
#define OWNER_PRIVATE_H

#include "weak_ref.h"
#include "commit_log.h"
#include "predictor.h"
#include "owner.h"
#include "owner_lease_trace.h"
#include "trend.h"
#include "worker.h"

/** Store key of the workers that may hold tasks, see owner_roster.c. */
#define OWNER_KEY_ROSTER "/sassafrascart/worker-roster"
/** Interval at which due occurrences are begun, expired jobs are removed and
 * incomplete gangs are stopped. */
#define OWNER_SWEEP_INTERVAL_MS 50
/** Range of run numbers of one owner: a successor starts above it, so that its
 * runs are always the newer ones. */
#define OWNER_RUNS_PER_EPOCH 1000

/** Delay before a failed or refused task is started again. It doubles with each
 * failure, which leaves time to detect a worker that fails every task. */
#define OWNER_RESTART_DELAY_MS 50
#define OWNER_RESTART_DELAY_MAX_MS 1000

/** Totals since the owner was created, see owner_metrics_append(). */
struct owner_counters {
	uint64_t accepted;
	uint64_t refused;
	uint64_t succeeded;
	uint64_t failed;
	uint64_t cancelled;
	uint64_t starts;
	uint64_t starts_refused;
	uint64_t starts_unanswered;
	uint64_t ends[ADAPTER_END_GANG_INCOMPLETE + 1];
	uint64_t tasks_lost;
	/** tasks that were started again, by cause; see owner_trace.c */
	uint64_t restarts[JOB_REQUEUE_COUNT];
	uint64_t superseded_successes;
	/** see owner_lease_trace.c */
	uint64_t starts_without_lease;
	uint64_t renewals_without_lease;
	uint64_t renewals_withheld;
	uint64_t unknown_ends;
	/** workers that ended by themselves with tasks on them, and those
	 *  tasks */
	uint64_t worker_crashes;
	uint64_t tasks_lost_in_crashes;
	/** tasks that were suspected of a crash, cleared, and given up */
	uint64_t tasks_suspected;
	uint64_t tasks_cleared;
	uint64_t tasks_given_up;
	uint64_t tasks_adopted;
	uint64_t orphaned_runs;
	uint64_t stalled;
	/** workers that got no tasks for a while because theirs failed */
	uint64_t quarantines;
	uint64_t reports;
	/** plans of large tasks on workers, over all scheduling passes */
	uint64_t plans;
	uint64_t moves;
	uint64_t maintenances;
};

/** Work that waits for a pool. */
struct owner_backlog {
	/** CPU of its workers */
	int64_t pool_milli;
	/** work of the tasks that wait, but for those of jobs that are too late
	 *  to have any value, in milli-core milliseconds */
	double work;
};

struct owner_fleet;

struct owner {
	struct owner_config config;
	const struct owner_ops *ops;
	void *data;
	struct catalogue *catalogue;
	struct worker_env env;
	struct commit_log *log;
	/** increases with each owner */
	uint64_t epoch;
	uint64_t takeover_started_ms;
	/** local time since which it has polled all workers that earlier owners
	 *  knew, 0 before, and at which the last of those that have reported
	 * did so for the first time: an earlier owner may hear of this one only
	 *  from that one */
	uint64_t polled_since_ms;
	uint64_t witness_reported_ms;
	/** local time at which a majority of the workers that earlier owners
	 *  knew had reported, 0 before */
	uint64_t majority_ms;
	/** no earlier owner acts any more */
	bool predecessors_excluded;
	/** the lack of that majority was logged */
	bool minority_logged;
	/** local time at which its lease was last seen valid */
	uint64_t lease_valid_ms;
	/** local time at which all workers are polled next because its lease is
	 *  not valid, 0 while it is */
	uint64_t verify_due_ms;
	/** local time since which the owner polls for that reason */
	uint64_t verifying_since_ms;
	/** local time since which there has always been a worker that answers
	 *  in time, 0 if there is none */
	uint64_t contact_since_ms;
	/** local time up to which all workers that answer have shown that no
	 *  successor had reached them */
	uint64_t unchallenged_until_ms;
	bool jobs_read;
	bool ends_read;
	bool progress_read;
	bool roster_read;
	/** newest revision of an entry that names no worker and was reported */
	int64_t odd_entries_revision;
	bool workers_read;
	/** an earlier owner may have started tasks on a worker that has not
	 *  reported yet, see JOB_TASK_UNKNOWN */
	bool has_unknown_tasks;
	/** suspects wait until the evidence against them is stored */
	bool suspects_wait;
	/** local time of the last start of a suspect in isolation */
	uint64_t isolation_begun_ms;
	/** service to struct suspect_background, the crashes of its workers */
	GHashTable *backgrounds;
	/** local time at which the workers without suspects were last counted
	 */
	uint64_t crash_observed_ms;
	/** number of the last crash of a worker */
	uint32_t last_crash;
	/** another owner exists: nothing may be changed any more */
	bool fenced;
	/** id to struct job */
	GHashTable *jobs;
	/** id to struct worker */
	GHashTable *workers;
	/** queue to struct predictor, the durations of its tasks */
	GHashTable *duration_estimates;
	/** VM to struct breaker of the last worker that ended on it */
	GHashTable *vm_health;
	/** service to struct trend, the rate of arriving work in milli-core
	 *  milliseconds */
	GHashTable *demand_trends;
	/** account to struct owner_account */
	GHashTable *accounts;
	/** service to struct owner_backlog, of the last scheduling pass */
	GHashTable *backlogs;
	/** struct job_occurrence * that have not ended */
	GPtrArray *live_occurrences;
	/** number of the report being processed */
	uint64_t report_serial;
	/** struct pending_call, calls that wait for the store */
	GQueue pending_calls;
	/** cancellations of jobs that are not known, see owner_cancels.c */
	struct owner_cancels *cancels;
	struct owner_fleet *fleet;
	struct owner_counters counters;
	struct owner_lease_trace *lease_trace;
	/** workers were added or removed since the roster was last written */
	bool roster_dirty;
	/** a roster is being written */
	bool roster_in_flight;
	/** number of voters of the stored roster, and of the newest one */
	uint32_t voters;
	uint32_t sent_voters;
	/** number of workers that the roster has no room for */
	uint32_t roster_left_out;
	/** listed workers that this owner has been out of touch with for long
	 */
	uint32_t workers_out_of_touch;
	bool workers_list_in_flight;
	/* local time at which the read in flight, and the last one that
	 * succeeded, was requested, 0 for none */
	uint64_t workers_list_requested_ms;
	uint64_t workers_listed_ms;
	/** consecutive reads of the worker list that failed, and the local time
	 *  of the first */
	uint32_t workers_list_failures;
	uint64_t workers_list_failed_ms;
	bool records_read_in_flight;
	bool roster_read_in_flight;
	struct timer schedule_timer;
	struct timer list_timer;
	struct timer sweep_timer;
	struct timer step_down_timer;
	struct timer read_retry_timer;
	/** reads of the store in flight refer to the owner through it, since
	 *  the owner may be freed before they complete */
	struct weak_ref *weak_ref;
};

/* owner_report.c: processes reports and answers of workers. */
extern const struct worker_ops owner_worker_ops;

/* owner_task.c: life cycle of jobs and tasks, assignment to workers. */
bool owner_job_is_live(const struct job *job);
void owner_task_requeue(struct owner *owner, struct job_task *task,
			uint32_t pause_ms, enum job_requeue_cause cause);
/* Requeues a task whose worker did not report how its run ended. */
void owner_task_requeue_lost(struct owner *owner, struct job_task *task,
			     enum job_requeue_cause cause);
/* Returns whether a waiting task may be started. If no worker has reported how
 * its last run ended, a successor may have read the end, or have ended the
 * worker itself; a valid lease proves that there is no successor. */
bool owner_task_may_start(const struct owner *owner,
			  const struct job_task *task);
void owner_task_complete(struct owner *owner, struct job_task *task);
/* Records that a worker has begun a run of a task: it has accepted the start,
 * or has reported the run or its end. That the start was sent does not show
 * it. */
void owner_task_mark_begun(struct owner *owner, const struct job_task *task);
void owner_gang_complete(struct owner *owner, struct job_group *group);
void owner_task_handle_failure(struct owner *owner, struct worker *worker,
			       struct job_task *task,
			       const struct adapter_run_end *end);
void owner_task_record_duration(struct owner *owner, struct job_task *task);
void owner_task_assign(struct owner *owner, struct job_task *task,
		       struct worker *worker);
void owner_task_unassign(struct owner *owner, struct job_task *task);
/* Makes all waiting tasks unknown, see JOB_TASK_UNKNOWN. */
void owner_tasks_set_unknown(struct owner *owner);
/* Makes all unknown tasks wait; returns their number. all_reported: no worker
 * is left that may tell a successor more about them. */
uint32_t owner_unknown_tasks_release(struct owner *owner, bool all_reported);
struct job_task *owner_task_find_by_name(struct owner *owner, const char *name);
void owner_occurrence_add(struct owner *owner, struct job *job);
void owner_job_finish(struct owner *owner, struct job *job,
		      enum job_state state, const char *why);
/* Stops all tasks of a failed job that its caller has cancelled. */
void owner_job_abandon(struct owner *owner, struct job *job);
/* Returns whether the disruption budget of a task holds although its job has
 * ended: a job that has failed was not cancelled by its caller. */
bool owner_task_may_outlive_job(const struct job_task *task);
/* Stops a task whose job has ended as soon as its disruption budget allows it,
 * which is asked again with each report. */
void owner_task_stop_ended(struct owner *owner, struct job_task *task);
void owner_job_remove(struct owner *owner, struct job *job);
/* Frees the details of jobs that have ended while a takeover was not settled.
 */
void owner_ended_jobs_trim(struct owner *owner);
void owner_task_stop(struct owner *owner, struct job_task *task,
		     const char *why);
/* Returns whether the step's disruption budget allows stopping the task. */
bool owner_task_disruption_is_allowed(const struct job_task *task);
/* Returns the queue of a job as the catalogue names it or, if a configuration
 * has dropped it, as the last one did that named it. NULL if neither is known,
 * which a job of an earlier version may not be. */
const struct catalogue_queue *owner_job_queue(const struct owner *owner,
					      const struct job *job);
/* Returns whether the catalogue names a service, or work under way needs it. */
bool owner_needs_service(const struct owner *owner, const char *service);
/* Keeps a queue, which the next catalogue lacks, for the jobs that are live. */
void owner_queue_drop(struct owner *owner, const struct catalogue_queue *queue);

/* owner_occurrence.c: occurrences of scheduled jobs. */
/* Begins those of a job that are due. */
void owner_occurrences_begin_due(struct owner *owner, struct job *job);
/* Returns the task that a worker reports, NULL if there is none. Begins its
 * occurrence if an earlier owner must have done so. */
struct job_task *owner_task_find_reported(struct owner *owner,
					  const char *name);

/* owner_trace.c: records in the log why a task is started more than once. */
/* Records why a task is requeued. If it is on no worker, an earlier cause
 * stays. worker: that of the run, NULL if it is on none. */
void owner_trace_requeue(const struct owner *owner, struct job_task *task,
			 const struct worker *worker,
			 enum job_requeue_cause cause);
/* Logs that a report lacks a task of its worker; returns the cause. */
enum job_requeue_cause owner_trace_missing(const struct owner *owner,
					   const struct worker *worker,
					   const struct job_task *task,
					   const struct worker_poll *poll,
					   bool never_started);
/* Logs and counts a start that repeats an earlier one. Called before the task
 * gets the number of its new run. */
void owner_trace_start(struct owner *owner, struct job_task *task,
		       const struct worker *worker, uint32_t run);
/* Logs and counts a success that is dropped because another run counts. */
void owner_trace_superseded(struct owner *owner, const struct worker *worker,
			    const struct job_task *task,
			    const struct adapter_run_end *end);
/* Logs and counts an end of a task that the owner does not have. */
void owner_trace_unknown_end(struct owner *owner, const struct worker *worker,
			     const struct adapter_run_end *end);
enum job_requeue_cause owner_trace_end_cause(enum adapter_end_kind kind);
enum job_requeue_cause owner_trace_worker_cause(enum worker_end_cause cause);

/* owner_calls.c: calls from callers. */
void owner_calls_answer_committed(struct owner *owner, struct job *job);
/** @brief Refuses all calls for a new job that is not and will not be stored,
 *  and removes it. */
void owner_calls_refuse_job(struct owner *owner, struct job *job,
			    const char *why);
void owner_calls_abort(struct owner *owner);
void owner_calls_refuse_unsent(struct owner *owner);

/* owner_cancels.c: cancellations of jobs that have not been submitted yet. They
 * are stored, so that the next owner has them. */
struct owner_cancels *owner_cancels_create(struct commit_log *log);
/* Called after the log has been destroyed. */
void owner_cancels_destroy(struct owner_cancels *cancels);
/* Records that a caller has cancelled a job that does not exist: its submission
 * may be on its way through a slow or paused process. Returns what stands for
 * it in the log, NULL if too many have not been stored yet. */
struct job *owner_cancels_add(struct owner_cancels *cancels,
			      const struct jobs_call *call, uint64_t now_ms);
/* Takes over a cancellation that an earlier owner has stored. */
void owner_cancels_restore(struct owner_cancels *cancels, struct job *job,
			   uint64_t now_ms);
/* Returns whether the job of a submission was cancelled before. */
bool owner_cancels_find(const struct owner_cancels *cancels,
			const struct jobs_call *call);
/* Removes cancellations older than keep_ms. */
void owner_cancels_expire(struct owner_cancels *cancels, uint64_t now_ms,
			  uint64_t keep_ms);

/* owner_recovery.c: loads the job records of earlier owners. */
void owner_records_load(struct owner *owner);
/* Schedules a retry after a failed read of the store. */
void owner_read_retry_schedule(struct owner *owner, enum err_kind err);
void owner_on_read_retry(void *data);

/* owner_roster.c: discovery of workers and the stored roster. */
void owner_roster_load(struct owner *owner);
void owner_workers_list(struct owner *owner);
/* Lets a worker vote that has reported to this owner for the first time. */
void owner_roster_on_first_report(struct owner *owner, struct worker *worker);
/* Returns whether a worker has certainly ended: it was replaced, or its entry
 * is gone for longer than that of a live worker can be. */
bool owner_worker_is_gone(const struct worker *worker, uint64_t now_ms);

/* Returns whether a worker may have less capacity than its entry says, and does
 * not guard it. */
bool owner_worker_capacity_is_uncertain(const struct owner *owner,
					const struct worker *worker,
					uint64_t now_ms);
/* Releases tasks of earlier owners once no worker can still hold them. */
void owner_takeover_try_finish(struct owner *owner);

/* owner_touch.c: workers that are listed but get no tasks, because the owner is
 * not in touch with the incarnation that the entry describes. */
/* Counts those that have been so for long, and logs each once. */
void owner_out_of_touch_report(struct owner *owner);

/* owner_ownership.c: what an owner does that cannot prove its ownership, and
 * for how long its successor has to expect it. */
/* Time until which the previous owner may act on its lease. The platform may
 * revoke the lease early and without notice; that owner then goes on until its
 * own record of the lease ends. */
uint64_t owner_previous_acts_until_ms(const struct owner *owner);
/* Time by which all leases that earlier owners granted have expired, UINT64_MAX
 * while that is not known. */
uint64_t owner_earlier_leases_expired_ms(const struct owner *owner);
/* Records whether a majority of the workers that earlier owners knew has
 * reported. An earlier owner without a valid lease needs the answers of half of
 * them, so one that has reported here refuses it. */
void owner_majority_update(struct owner *owner);
/* Records that a worker has reported, so that it refuses earlier owners. */
void owner_witness_record(struct owner *owner, struct worker *worker);
/* Records whether a worker was discovered, or has restarted, while the lease of
 * this owner was not valid. Such a worker gets no tasks, since it may not have
 * seen the fencing token of a successor yet. */
void owner_worker_check_ownership(const struct owner *owner,
				  struct worker *worker);
/* Returns whether the owner may start tasks and renew the leases of workers:
 * its lease is valid, or all workers that answer, and at least half of the
 * voters of the roster, have shown since it ended, and recently, that no
 * successor had reached them. One of them would not do: a successor may not
 * reach that one, and takes its leases for expired while this owner, which was
 * paused, has not heard from the others. */
bool owner_is_unchallenged(const struct owner *owner, uint64_t now_ms);
/* Returns whether a worker may get tasks although the lease of this owner may
 * not be valid: the owner is unchallenged, and the worker is among those that
 * have shown it. A worker that restarts after that accepts the orders of both
 * owners. */
bool owner_worker_is_verified(const struct owner *owner,
			      const struct worker *worker, uint64_t now_ms);
/* Returns whether the lease of this owner is valid, in words for the log. */
const char *owner_lease_name(const struct owner *owner);
/* Polls all workers in short intervals while the lease of this owner is not
 * valid: a worker that a successor has reached refuses the poll. */
void owner_ownership_verify(struct owner *owner);

/* owner_schedule.c: assigns waiting tasks to workers. */
void owner_schedule_request(struct owner *owner);
/* Requests a pass within a delay; an earlier one that was requested stays. */
void owner_schedule_request_within(struct owner *owner, uint32_t delay_ms);
void owner_schedule_run(struct owner *owner);

/* owner_gang.c: stops the members of gangs that stay incomplete. */
void owner_gangs_stop_overdue(struct owner *owner);

/* owner_pools.c: records work that has arrived for a service. */
void owner_demand_record(struct owner *owner, const char *service,
			 const struct job_occurrence *occurrence);

/* owner_crash.c: which tasks were on a worker that has ended, and which of them
 * may have crashed it. */
/* Returns the jobs of tasks that are convicted of it, for
 * owner_crash_fail_jobs(). */
GPtrArray *owner_crash_process(struct owner *owner, const struct worker *worker,
			       enum worker_end_cause cause);
/* Records that a worker has restarted: its new incarnation may have received
 * the latest orders, which its first report shows. */
void owner_crash_defer(struct worker *worker);
/* Judges such an end by the report that is being processed, and fails the jobs
 * of tasks that are convicted. */
void owner_crash_judge_deferred(struct owner *owner, struct worker *worker);
/* Fails jobs that are live, and frees the array. */
void owner_crash_fail_jobs(struct owner *owner, GPtrArray *jobs);
/* Presumes a crash under each suspect that an earlier owner may have started
 * and that no worker has. */
void owner_crash_presume(struct owner *owner);
/* Counts the time that workers run without a suspect. */
void owner_crash_observe(struct owner *owner, uint64_t now_ms);
/* Clears a task that has run past its probation. */
void owner_crash_try_clear(struct owner *owner, struct job_task *task);
/* Returns whether the evidence of the last crash under a suspect is stored, so
 * that a successor knows of it if the next run crashes a worker as well. */
bool owner_crash_is_stored(const struct owner *owner,
			   const struct job_task *task);
/* Returns whether a worker has a suspect in isolation, and gets no further
 * tasks. */
bool owner_crash_has_isolated(const struct worker *worker, uint64_t now_ms);
/* Returns a hash of the worker's VM, 0 if it is unknown. */
uint32_t owner_vm_hash(const struct worker *worker);
/* Returns the weighted number of tasks that a crash of the worker loses, and
 * whether one of them would be a suspect. */
uint32_t owner_crash_loss(const struct worker *worker, uint64_t now_ms,
			  bool *has_suspects);

/* owner_health.c: which workers get tasks, judged by how their tasks end. */
/* Keeps the health of a worker that has ended for the next one on its VM. */
void owner_health_save(struct owner *owner, const struct worker *worker);
void owner_health_restore(const struct owner *owner, struct worker *worker);
/* Returns whether a worker may get tasks. One that comes out of quarantine gets
 * one task at a time. */
bool owner_health_allows_start(const struct worker *worker, uint64_t now_ms);
/* Lets a worker whose tasks fail take one more, for work that no other worker
 * has room for. Returns the time until it does, 0 if it does now. */
uint32_t owner_health_yield(struct worker *worker, uint32_t yields_after_ms,
			    uint64_t now_ms);
/* Returns whether a worker gets no further task until this one has ended or
 * succeeded. */
bool owner_health_awaits(const struct worker *worker,
			 const struct job_task *task, uint64_t now_ms);
/* Records a task that failed, or was moved because it stalled. */
void owner_health_record_failure(struct owner *owner, struct worker *worker);
void owner_health_record_success(struct worker *worker);
/* Records a success if a long-running task, which never ends with one, has been
 * at full speed for long enough on a worker that gets one task at a time. */
void owner_health_check_probe(struct worker *worker);

/* owner_throttle.c: throttles best-effort tasks that slow down
 * latency-sensitive tasks on the same worker. */
void owner_throttle_worker(struct owner *owner, struct worker *worker);
bool owner_throttle_is_needed(const struct worker *worker);

/* owner_fleet.c: moves and maintenance of VMs. */
struct owner_fleet *owner_fleet_create(struct owner *owner);
void owner_fleet_destroy(struct owner_fleet *fleet);
/* Time until the next VM returns from a move or maintenance, UINT32_MAX if
 * none is being moved or maintained. */
uint32_t owner_fleet_next_return_ms(const struct owner_fleet *fleet);

#endif
