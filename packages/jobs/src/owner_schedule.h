/**
 * @file owner_schedule.h
 * @brief Shared by owner_schedule.c and owner_gang.c, which assign waiting
 *        tasks to workers.
 */
#ifndef OWNER_SCHEDULE_H
#define OWNER_SCHEDULE_H

#include "owner_private.h"
#include "binpack.h"

/** The workers and the waiting work of one service in a scheduling pass. */
struct schedule_pool {
	const char *service;
	/** struct worker * and struct binpack_candidate with equal indices
	 */
	GPtrArray *workers;
	GArray *candidates;
	/** at least one worker has no recent failure */
	bool has_healthy;
	/** struct job_occurrence * with tasks that wait to start */
	GPtrArray *pending;
};

/** @brief Subtracts a task's resources from a candidate's free resources. */
void owner_candidate_reserve(struct binpack_candidate *candidate,
			     const struct binpack_request *need);

/** @brief Returns the number above which all runs of this owner are numbered.
 */
uint32_t owner_run_base(const struct owner *owner);

/** @brief Starts the next run of a task on a worker. */
void owner_task_start(struct owner *owner, struct job_task *task,
		      struct worker *worker);

/**
 * @brief Starts the waiting members of a gang, all of them or none.
 * @return false if no later work of the pool may start in this pass, so that
 *         capacity that becomes free accumulates for the gang
 */
bool owner_gang_start(struct owner *owner, struct schedule_pool *pool,
		      struct job_group *group,
		      const struct binpack_request *need, uint64_t now_ms);

#endif
