/**
 * @file owner_private.h
 * @brief What the files of the owner share.
 *
 * Calls go one way: own.c calls the others; owner_report.c, own_plan.c and
 * own_fleet.c call own_task.c, which asks for a plan by own_plan_soon().
 */
#ifndef OWN_PRIVATE_H
#define OWN_PRIVATE_H

#include "weak_ref.h"
#include "commit_log.h"
#include "predictor.h"
#include "owner.h"
#include "trend.h"
#include "worker.h"

/** Key of the workers that may hold tasks, see own_roster.c. */
#define OWN_KEY_ROSTER "/sassafrascart/worker-roster"
/** Time between two looks for occurrences that fall due and jobs to forget. */
#define OWN_DUE_MS 50
/** Runs of one task that one owner may order; successors count from above. */
#define OWN_RUNS_PER_EPOCH 1000

/** Pause before a task that failed or was refused is started again; longer
 * after each failure, so that a worker that fails all has time to be seen. */
#define OWN_RESTART_MS 50
#define OWN_RESTART_MAX_MS 1000

/** Counters of the owner. */
struct own_counters {
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
	uint64_t tasks_adopted;
	uint64_t strays;
	uint64_t stood_still;
	uint64_t reports;
	uint64_t moves;
	uint64_t maintenances;
};

struct own_fleet;

struct owner {
	struct owner_config config;
	const struct owner_ops *ops;
	void *data;
	struct catalogue *catalogue;
	struct worker_env env;
	struct commit_log *log;
	uint64_t epoch;
	uint64_t began_ms;
	bool jobs_read;
	bool ends_read;
	bool progress_read;
	bool roster_read;
	bool workers_read;
	/** tasks of earlier owners whose place is not known are left */
	bool has_unknown;
	bool fenced;
	/** id to struct job */
	GHashTable *jobs;
	/** id to struct worker */
	GHashTable *workers;
	/** queue to struct predictor, what its tasks took */
	GHashTable *learnt;
	/** VM to struct breaker of its worker that ended last */
	GHashTable *vm_health;
	/** service to struct trend, the work that arrives for it, in
	 *  milli-core milliseconds */
	GHashTable *inflows;
	/** of struct job_occurrence, those that have not ended */
	GPtrArray *live;
	uint64_t reports;
	/** calls that wait, of struct own_wait */
	GQueue waits;
	struct own_fleet *fleet;
	struct own_counters counters;
	bool roster_dirty;
	bool listing;
	bool reading_records;
	bool reading_roster;
	struct timer plan_timer;
	struct timer list_timer;
	struct timer due_timer;
	struct timer depose_timer;
	struct timer read_timer;
	/** reads of the store in flight name the owner through a cell */
	struct weak_ref *cell;
};

/* owner_report.c: what workers report and how they take orders. */
extern const struct worker_ops own_worker_ops;

/* own_task.c: jobs, their tasks and the places of these. */
bool own_job_is_live(const struct job *job);
void own_task_wait(struct owner *owner, struct job_task *task,
		   uint32_t pause_ms);
void own_task_done(struct owner *owner, struct job_task *task);
void own_gang_done(struct owner *owner, struct job_group *group);
void own_task_failed(struct owner *owner, struct worker *worker,
		     struct job_task *task, const struct adapter_run_end *end);
void own_duration_note(struct owner *owner, struct job_task *task);
void own_task_place(struct owner *owner, struct job_task *task,
		    struct worker *worker);
void own_task_unplace(struct owner *owner, struct job_task *task);
/** Sets the state of all live tasks that are in another one; returns how many.
 */
uint32_t own_tasks_restate(struct owner *owner, enum job_task_state from,
			   enum job_task_state to);
struct job_task *own_task_find(struct owner *owner, const char *name);
void own_occurrence_add(struct owner *owner, struct job *job);
void own_job_finish(struct owner *owner, struct job *job, enum job_state state,
		    const char *why);
void own_job_remove(struct owner *owner, struct job *job);
void own_task_stop(struct owner *owner, struct job_task *task, const char *why);
const struct catalogue_queue *own_queue_of(const struct owner *owner,
					   const struct job *job);

/* own_calls.c: calls of callers. */
void own_calls_committed(struct owner *owner, struct job *job);
void own_calls_end(struct owner *owner);
void own_calls_store_away(struct owner *owner);

/* own_records.c: what a new owner reads of the store. */
void own_records_read(struct owner *owner);
/* Repeats reads of the store that failed. */
void own_read_again(struct owner *owner, enum err_kind err);
void own_on_read_again(void *data);

/* own_roster.c: workers, known and listed. */
void own_roster_read(struct owner *owner);
void own_list_workers(struct owner *owner);
void own_health_keep(struct owner *owner, const struct worker *worker);
void own_roster_settle(struct owner *owner);
/* Notes whether a worker was met without proof of the ownership. */
void own_worker_met(const struct owner *owner, struct worker *worker);

/* own_plan.c: what starts where. */
void own_plan_soon(struct owner *owner);
void own_plan_run(struct owner *owner);

/* own_gang.c: stops members whose gang does not become whole. */
void own_gangs_check(struct owner *owner);

/* own_pools.c: notes work that has arrived for a service. */
void own_inflow_note(struct owner *owner, const char *service,
		     const struct job_occurrence *occurrence);

/* own_pace.c: tasks that fill beside tasks that serve. */
void own_pace_worker(struct owner *owner, struct worker *worker);
bool own_pace_is_needed(const struct worker *worker);

/* own_fleet.c: moves and maintenance of VMs. */
struct own_fleet *own_fleet_create(struct owner *owner);
void own_fleet_destroy(struct own_fleet *fleet);
/* Time until the next VM is back that was ordered, UINT32_MAX for none. */
uint32_t own_fleet_due_in_ms(const struct own_fleet *fleet);

#endif
