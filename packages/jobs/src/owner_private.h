/**
 * @file owner_private.h
 * @brief What the files of the owner share.
 *
 * Calls go one way: own.c calls the others; owner_report.c, owner_plan.c and
 * owner_fleet.c call owner_task.c, which asks for a plan by
 * owner_schedule_request().
 */
#ifndef OWNER_PRIVATE_H
#define OWNER_PRIVATE_H

#include "cel.h"
#include "cmt.h"
#include "lrn.h"
#include "owner.h"
#include "trd.h"
#include "wrk.h"

/** Key of the workers that may hold tasks, see owner_roster.c. */
#define OWNER_KEY_ROSTER "/sassafrascart/worker-roster"
/** Time between two looks for occurrences that fall due and jobs to forget. */
#define OWNER_SWEEP_INTERVAL_MS 50
/** Runs of one task that one owner may order; successors count from above. */
#define OWNER_RUNS_PER_EPOCH 1000

/** Pause before a task that failed or was refused is started again; longer
 * after each failure, so that a worker that fails all has time to be seen. */
#define OWNER_RESTART_DELAY_MS 50
#define OWNER_RESTART_DELAY_MAX_MS 1000

/** Counters of the owner. */
struct owner_counters {
	uint64_t accepted;
	uint64_t refused;
	uint64_t succeeded;
	uint64_t failed;
	uint64_t cancelled;
	uint64_t starts;
	uint64_t starts_refused;
	uint64_t starts_unanswered;
	uint64_t ends[JPT_END_ALONE + 1];
	uint64_t tasks_lost;
	uint64_t tasks_adopted;
	uint64_t orphaned_runs;
	uint64_t stalled;
	uint64_t reports;
	uint64_t moves;
	uint64_t maintenances;
};

struct owner_fleet;

struct owner {
	struct owner_config config;
	const struct owner_ops *ops;
	void *data;
	struct jcf_catalogue *catalogue;
	struct wrk_env env;
	struct cmt_log *log;
	uint64_t epoch;
	uint64_t takeover_started_ms;
	bool jobs_read;
	bool ends_read;
	bool progress_read;
	bool roster_read;
	bool workers_read;
	/** tasks of earlier owners whose place is not known are left */
	bool has_unplaced_tasks;
	bool fenced;
	/** id to struct jtp_job */
	GHashTable *jobs;
	/** id to struct wrk_worker */
	GHashTable *workers;
	/** queue to struct lrn_state, what its tasks took */
	GHashTable *duration_estimates;
	/** VM to struct hlt_state of its worker that ended last */
	GHashTable *vm_health;
	/** service to struct trd_state, the work that arrives for it, in
	 *  milli-core milliseconds */
	GHashTable *demand_trends;
	/** of struct jtp_occurrence, those that have not ended */
	GPtrArray *live_occurrences;
	uint64_t report_serial;
	/** calls that wait, of struct pending_call */
	GQueue pending_calls;
	struct owner_fleet *fleet;
	struct owner_counters counters;
	bool roster_dirty;
	bool workers_list_in_flight;
	bool records_read_in_flight;
	bool roster_read_in_flight;
	struct tmr_entry schedule_timer;
	struct tmr_entry list_timer;
	struct tmr_entry sweep_timer;
	struct tmr_entry step_down_timer;
	struct tmr_entry read_retry_timer;
	/** reads of the store in flight name the owner through a cell */
	struct cel_cell *weak_ref;
};

/* owner_report.c: what workers report and how they take orders. */
extern const struct wrk_ops owner_worker_ops;

/* owner_task.c: jobs, their tasks and the places of these. */
bool owner_job_is_live(const struct jtp_job *job);
void owner_task_requeue(struct owner *owner, struct jtp_task *task,
			uint32_t pause_ms);
void owner_task_complete(struct owner *owner, struct jtp_task *task);
void owner_gang_complete(struct owner *owner, struct jtp_group *group);
void owner_task_handle_failure(struct owner *owner, struct wrk_worker *worker,
			       struct jtp_task *task,
			       const struct jpt_end *end);
void owner_task_record_duration(struct owner *owner, struct jtp_task *task);
void owner_task_assign(struct owner *owner, struct jtp_task *task,
		       struct wrk_worker *worker);
void owner_task_unassign(struct owner *owner, struct jtp_task *task);
/** Sets the state of all live tasks that are in another one; returns how many.
 */
uint32_t owner_tasks_change_state(struct owner *owner, enum jtp_task_state from,
				  enum jtp_task_state to);
struct jtp_task *owner_task_find_by_name(struct owner *owner, const char *name);
void owner_occurrence_add(struct owner *owner, struct jtp_job *job);
void owner_job_finish(struct owner *owner, struct jtp_job *job,
		      enum jtp_state state, const char *why);
void owner_job_remove(struct owner *owner, struct jtp_job *job);
void owner_task_stop(struct owner *owner, struct jtp_task *task,
		     const char *why);
const struct jcf_queue *owner_job_queue(const struct owner *owner,
					const struct jtp_job *job);

/* owner_calls.c: calls of callers. */
void owner_calls_answer_committed(struct owner *owner, struct jtp_job *job);
void owner_calls_abort(struct owner *owner);
void owner_calls_refuse_unsent(struct owner *owner);

/* owner_records.c: what a new owner reads of the store. */
void owner_records_load(struct owner *owner);
/* Repeats reads of the store that failed. */
void owner_read_retry_schedule(struct owner *owner, enum err_kind err);
void owner_on_read_retry(void *data);

/* owner_roster.c: workers, known and listed. */
void owner_roster_load(struct owner *owner);
void owner_workers_list(struct owner *owner);
void owner_vm_health_save(struct owner *owner, const struct wrk_worker *worker);
void owner_takeover_try_finish(struct owner *owner);
/* Notes whether a worker was met without proof of the ownership. */
void owner_worker_check_lease(const struct owner *owner,
			      struct wrk_worker *worker);

/* owner_plan.c: what starts where. */
void owner_schedule_request(struct owner *owner);
void owner_schedule_run(struct owner *owner);

/* owner_gang.c: stops members whose gang does not become whole. */
void owner_gangs_stop_overdue(struct owner *owner);

/* owner_pools.c: notes work that has arrived for a service. */
void owner_demand_record(struct owner *owner, const char *service,
			 const struct jtp_occurrence *occurrence);

/* owner_pace.c: tasks that fill beside tasks that serve. */
void owner_throttle_worker(struct owner *owner, struct wrk_worker *worker);
bool owner_throttle_is_needed(const struct wrk_worker *worker);

/* owner_fleet.c: moves and maintenance of VMs. */
struct owner_fleet *owner_fleet_create(struct owner *owner);
void owner_fleet_destroy(struct owner_fleet *fleet);
/* Time until the next VM is back that was ordered, UINT32_MAX for none. */
uint32_t owner_fleet_next_return_ms(const struct owner_fleet *fleet);

#endif
