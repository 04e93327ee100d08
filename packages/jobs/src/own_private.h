/**
 * @file own_private.h
 * @brief What the files of the owner share.
 *
 * Calls go one way: own.c calls the others; own_report.c, own_plan.c and
 * own_fleet.c call own_task.c, which asks for a plan by own_plan_soon().
 */
#ifndef OWN_PRIVATE_H
#define OWN_PRIVATE_H

#include "weak_ref.h"
#include "cmt.h"
#include "lrn.h"
#include "own.h"
#include "trd.h"
#include "wrk.h"

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
	uint64_t ends[JPT_END_ALONE + 1];
	uint64_t tasks_lost;
	uint64_t tasks_adopted;
	uint64_t strays;
	uint64_t stood_still;
	uint64_t reports;
	uint64_t moves;
	uint64_t maintenances;
};

struct own_fleet;

struct own_owner {
	struct own_config config;
	const struct own_ops *ops;
	void *data;
	struct jcf_catalogue *catalogue;
	struct wrk_env env;
	struct cmt_log *log;
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
	/** id to struct jtp_job */
	GHashTable *jobs;
	/** id to struct wrk_worker */
	GHashTable *workers;
	/** queue to struct lrn_state, what its tasks took */
	GHashTable *learnt;
	/** VM to struct hlt_state of its worker that ended last */
	GHashTable *vm_health;
	/** service to struct trd_state, the work that arrives for it, in
	 *  milli-core milliseconds */
	GHashTable *inflows;
	/** of struct jtp_occurrence, those that have not ended */
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

/* own_report.c: what workers report and how they take orders. */
extern const struct wrk_ops own_worker_ops;

/* own_task.c: jobs, their tasks and the places of these. */
bool own_job_is_live(const struct jtp_job *job);
void own_task_wait(struct own_owner *owner, struct jtp_task *task,
		   uint32_t pause_ms);
void own_task_done(struct own_owner *owner, struct jtp_task *task);
void own_gang_done(struct own_owner *owner, struct jtp_group *group);
void own_task_failed(struct own_owner *owner, struct wrk_worker *worker,
		     struct jtp_task *task, const struct jpt_end *end);
void own_duration_note(struct own_owner *owner, struct jtp_task *task);
void own_task_place(struct own_owner *owner, struct jtp_task *task,
		    struct wrk_worker *worker);
void own_task_unplace(struct own_owner *owner, struct jtp_task *task);
/** Sets the state of all live tasks that are in another one; returns how many.
 */
uint32_t own_tasks_restate(struct own_owner *owner, enum jtp_task_state from,
			   enum jtp_task_state to);
struct jtp_task *own_task_find(struct own_owner *owner, const char *name);
void own_occurrence_add(struct own_owner *owner, struct jtp_job *job);
void own_job_finish(struct own_owner *owner, struct jtp_job *job,
		    enum jtp_state state, const char *why);
void own_job_remove(struct own_owner *owner, struct jtp_job *job);
void own_task_stop(struct own_owner *owner, struct jtp_task *task,
		   const char *why);
const struct jcf_queue *own_queue_of(const struct own_owner *owner,
				     const struct jtp_job *job);

/* own_calls.c: calls of callers. */
void own_calls_committed(struct own_owner *owner, struct jtp_job *job);
void own_calls_end(struct own_owner *owner);
void own_calls_store_away(struct own_owner *owner);

/* own_records.c: what a new owner reads of the store. */
void own_records_read(struct own_owner *owner);
/* Repeats reads of the store that failed. */
void own_read_again(struct own_owner *owner, enum err_kind err);
void own_on_read_again(void *data);

/* own_roster.c: workers, known and listed. */
void own_roster_read(struct own_owner *owner);
void own_list_workers(struct own_owner *owner);
void own_health_keep(struct own_owner *owner, const struct wrk_worker *worker);
void own_roster_settle(struct own_owner *owner);
/* Notes whether a worker was met without proof of the ownership. */
void own_worker_met(const struct own_owner *owner, struct wrk_worker *worker);

/* own_plan.c: what starts where. */
void own_plan_soon(struct own_owner *owner);
void own_plan_run(struct own_owner *owner);

/* own_gang.c: stops members whose gang does not become whole. */
void own_gangs_check(struct own_owner *owner);

/* own_pools.c: notes work that has arrived for a service. */
void own_inflow_note(struct own_owner *owner, const char *service,
		     const struct jtp_occurrence *occurrence);

/* own_pace.c: tasks that fill beside tasks that serve. */
void own_pace_worker(struct own_owner *owner, struct wrk_worker *worker);
bool own_pace_is_needed(const struct wrk_worker *worker);

/* own_fleet.c: moves and maintenance of VMs. */
struct own_fleet *own_fleet_create(struct own_owner *owner);
void own_fleet_destroy(struct own_fleet *fleet);
/* Time until the next VM is back that was ordered, UINT32_MAX for none. */
uint32_t own_fleet_due_in_ms(const struct own_fleet *fleet);

#endif
