/**
 * @file owner_schedule.h
 * @brief What the files that plan starts share.
 */
#ifndef OWN_PLAN_H
#define OWN_PLAN_H

#include "owner_private.h"
#include "binpack.h"

/** One service's part of a pass. */
struct plan_pool {
	const char *service;
	/** of struct worker * and struct binpack_candidate, in step */
	GPtrArray *workers;
	GArray *candidates;
	/** there is a worker without a bad end of late */
	bool has_clean;
	/** of struct job_occurrence * with tasks that wait */
	GPtrArray *work;
};

/** @brief Takes a task's room from a candidate. */
void own_candidate_take(struct binpack_candidate *candidate,
			const struct binpack_request *need);

/** Runs that this owner orders are numbered above it. */
uint32_t own_run_base(const struct owner *owner);

/** @brief Orders the next run of a task at a worker. */
void own_task_start(struct owner *owner, struct job_task *task,
		    struct worker *worker);

/**
 * @brief Starts a gang, all members or none.
 * @return false if what becomes free should be kept for it
 */
bool own_gang_start(struct owner *owner, struct plan_pool *pool,
		    struct job_group *group, const struct binpack_request *need,
		    uint64_t now_ms);

#endif
