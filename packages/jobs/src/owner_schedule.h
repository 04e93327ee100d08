/**
 * @file owner_schedule.h
 * @brief What the files that plan starts share.
 */
#ifndef OWNER_PLAN_H
#define OWNER_PLAN_H

#include "owner_private.h"
#include "pck.h"

/** One service's part of a pass. */
struct schedule_pool {
	const char *service;
	/** of struct wrk_worker * and struct pck_candidate, in step */
	GPtrArray *workers;
	GArray *candidates;
	/** there is a worker without a bad end of late */
	bool has_healthy;
	/** of struct jtp_occurrence * with tasks that wait */
	GPtrArray *pending;
};

/** @brief Takes a task's room from a candidate. */
void owner_candidate_reserve(struct pck_candidate *candidate,
			     const struct pck_need *need);

/** Runs that this owner orders are numbered above it. */
uint32_t owner_run_base(const struct owner *owner);

/** @brief Orders the next run of a task at a worker. */
void owner_task_start(struct owner *owner, struct jtp_task *task,
		      struct wrk_worker *worker);

/**
 * @brief Starts a gang, all members or none.
 * @return false if what becomes free should be kept for it
 */
bool owner_gang_start(struct owner *owner, struct schedule_pool *pool,
		      struct jtp_group *group, const struct pck_need *need,
		      uint64_t now_ms);

#endif
