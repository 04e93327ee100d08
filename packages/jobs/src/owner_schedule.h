/**
 * @file owner_schedule.h
 * @brief Shared by the files that assign waiting tasks to workers:
 *        owner_schedule.c, owner_hold.c, owner_gang.c, owner_isolation.c,
 *        owner_lookahead.c and owner_backlog.c; and by owner_explain.c, which
 * tells what they would decide.
 */
#ifndef OWNER_SCHEDULE_H
#define OWNER_SCHEDULE_H

#include "owner_accounts.h"
#include "owner_private.h"
#include "binpack.h"
#include "urgency.h"

/** The workers and the waiting work of one service in a scheduling pass. */
struct schedule_pool {
	const char *service;
	/** struct worker * and struct binpack_candidate with equal indices
	 */
	GPtrArray *workers;
	GArray *candidates;
	/** struct worker * that get no task because theirs fail, which are not
	 *  among those above */
	GPtrArray *quarantined;
	/** struct worker * that get no task because of a move or maintenance,
	 *  neither */
	GPtrArray *cordoned;
	/** one of them takes a task in the next pass */
	bool quarantine_yields;
	/** workers with a suspect in isolation, which are not among those
	 *  above */
	uint32_t isolating;
	/** of these, those since the beginning of the pass, which are among
	 *  those above */
	uint32_t isolated_now;
	/** CPU of the workers that get tasks, and what was free at the
	 *  beginning of the pass */
	int64_t cpu_milli;
	int64_t cpu_free_milli;
	/** the same for those in quarantine or cordoned */
	int64_t held_milli;
	int64_t held_free_milli;
	/** memory of the workers that get tasks */
	int64_t memory_mb;
	/** large tasks that are planned on workers in this pass */
	uint32_t plans;
	/** room is reserved for a gang in this pass */
	bool has_gang;
	/** workers that are reserved for a suspect, and suspects that were not
	 *  placed in this pass */
	uint32_t reserved;
	uint32_t suspects_unplaced;
	/** struct job_occurrence * with tasks that wait to start */
	GPtrArray *pending;
	/** what accounts use of the pool, NULL if there are none */
	struct owner_shares *shares;
	/** work of the waiting tasks, see struct owner_backlog */
	double backlog;
	/** only accounts that have no more than their share may start tasks */
	bool shares_bind;
	/** a group was left because of that */
	bool left_by_share;
};

/** @brief Adds the work of an occurrence's waiting tasks to the backlog of its
 *  pool. */
void owner_backlog_add(struct schedule_pool *pool,
		       const struct job_occurrence *occurrence);

/** @brief Keeps the backlogs of pools with accounts, by which new work is
 *  admitted, after a scheduling pass. */
void owner_backlogs_update(struct owner *owner, GHashTable *pools);

/** @brief Returns what the urgency of an occurrence follows from. */
struct urgency_work
owner_occurrence_work(const struct job_occurrence *occurrence,
		      const struct catalogue_queue *queue);

/** @brief Returns a candidate that has the free capacity of a worker, and none
 *  of what ranks it among others. */
struct binpack_candidate owner_worker_candidate(const struct worker *worker);

/** @brief Returns why a worker gets no tasks, HOLD_NONE if it may get some. */
enum hold owner_worker_refusal(const struct owner *owner, struct worker *worker,
			       uint64_t now_ms);

/** @brief Returns what a task of a group needs and prefers. */
struct binpack_request owner_group_need(const struct job_group *group,
					uint64_t now_ms);

/** @brief Sets the fields of the candidates that depend on the group. */
void owner_candidates_set_group(struct schedule_pool *pool,
				const struct job_group *group,
				bool needs_ticket);

/**
 * @brief Returns a pool as a scheduling pass would find it now.
 * @param pools set to the table that owns it, freed with g_hash_table_unref()
 */
struct schedule_pool *owner_pool_view(struct owner *owner, GHashTable **pools,
				      const char *service);

/** @brief Subtracts a task's resources from a candidate's free resources. */
void owner_candidate_reserve(struct binpack_candidate *candidate,
			     const struct binpack_request *need);

/** @brief Returns the number above which all runs of this owner are numbered.
 */
uint32_t owner_run_base(const struct owner *owner);

/** @brief Starts the next run of a task on a worker. */
void owner_task_start(struct owner *owner, struct job_task *task,
		      struct worker *worker);

/** @brief Keeps new tasks off a worker, so that a suspect can be started there
 *  once the others are no likely suspects any more. @return false if it fits on
 *  no worker */
bool owner_isolation_reserve(struct schedule_pool *pool,
			     const struct binpack_request *need,
			     uint64_t now_ms);

/** @brief Returns whether a task should wait for a worker that it prefers, and
 *  if so, requests a scheduling pass for when it no longer should. */
bool owner_task_waits_for_preferred(struct owner *owner,
				    const struct schedule_pool *pool,
				    const struct job_task *task,
				    const struct binpack_request *need,
				    uint64_t now_ms);

/** @brief Sets what one task of a group needs beyond the others: if it has
 *  failed, it is at first not retried on a worker with recent failures. */
void owner_request_set_task(struct owner *owner,
			    const struct schedule_pool *pool,
			    const struct job_task *task,
			    struct binpack_request *need, uint64_t now_ms);

/** @brief Starts a waiting suspect on a worker apart from other suspects, or
 *  reserves a worker for it. @return false if it fits on no worker */
bool owner_suspect_start(struct owner *owner, struct schedule_pool *pool,
			 struct job_task *task, struct binpack_request need,
			 uint64_t now_ms);

/** @brief Returns whether what is kept free may be given to a group: it costs
 *  the pool little, or the group should run all the time. */
bool owner_holds_may_yield(const struct schedule_pool *pool,
			   const struct job_group *group);

/** @brief Returns whether a group that only fits into room that is planned for
 *  others may take it, and if not yet, requests a pass for when it may. */
bool owner_plans_yield(struct owner *owner, const struct schedule_pool *pool,
		       struct job_group *group, uint64_t now_ms);

/** @brief Records that cordoned workers have room for a task of a group that
 * has none elsewhere, if they may yield. */
void owner_cordoned_room_want(struct schedule_pool *pool,
			      const struct job_group *group,
			      const struct binpack_request *need,
			      uint64_t now_ms);

/** @brief Chooses a worker for a task of a group, -1 for none. A worker with
 *  room that is planned for others is chosen if it is the last one. */
int32_t owner_worker_choose(struct owner *owner, struct schedule_pool *pool,
			    struct job_group *group,
			    const struct binpack_request *need,
			    uint64_t now_ms);

/** @brief Reserves the room that a gang will have first for a limited time,
 *  less urgent tasks may use it until then. */
void owner_gang_reserve(struct owner *owner, struct schedule_pool *pool,
			struct job_group *group,
			const struct binpack_request *need, uint64_t now_ms);

/** @brief Plans the waiting tasks of a group on the workers on which they will
 *  fit first, if they are large, so that less urgent work of this pass does not
 *  delay them. See lookahead.h. */
void owner_lookahead_plan(struct owner *owner, struct schedule_pool *pool,
			  const struct job_group *group, uint64_t now_ms);

/** @brief Starts the waiting members of a gang, all of them or none. */
void owner_gang_start(struct owner *owner, struct schedule_pool *pool,
		      struct job_group *group,
		      const struct binpack_request *need, uint64_t now_ms);

#endif
