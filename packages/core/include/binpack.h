/**
 * @file binpack.h
 * @brief Chooses the worker for a task by bin packing.
 *
 * Prefix: binpack_. No I/O; the candidates carry all the data needed. Among
 * the workers that the task fits on, the one with the least free CPU is
 * preferred, so that large tasks find room later and idle VMs can be moved to
 * other pools, and workers on which no large task is planned go first. A task
 * whose data is stored in a rack is placed there if it
 * fits on any worker of that rack.
 */
#ifndef BINPACK_H
#define BINPACK_H

#include <stdbool.h>
#include <stdint.h>

#include "hold.h"
#include "lookahead.h"

/** A worker that the task may be placed on. */
struct binpack_candidate {
	int64_t cpu_free_milli;
	int64_t memory_free_mb;
	int64_t accelerators_free;
	/** what the worker has, whether or not it is free */
	struct resources capacity;
	/** tasks of the same group on the worker */
	uint32_t same_group;
	/** has the label that the task requires */
	bool has_label;
	/** is in the rack that stores the task's data */
	bool on_data_rack;
	/** latency-sensitive tasks on the worker */
	uint32_t latency_sensitive_tasks;
	/** best-effort tasks on the worker */
	uint32_t best_effort_tasks;
	/** higher for workers that recently failed or were slow */
	uint32_t penalty;
	/** takes a single task, since its circuit breaker is half-open; not
	 *  read by binpack_choose(), the job service enforces it */
	bool single_task_only;
	/** its VM will soon leave the pool or undergo maintenance */
	bool disruption_expected;
	/** hash of its VM, 0 if unknown */
	uint32_t vm;
	/** weighted number of the tasks that a crash would take with it */
	uint32_t crash_loss;
	/** has other tasks that would be suspects if it crashed soon */
	bool has_suspects;
	/** kept free of new tasks for one that may crash it */
	bool reserved;
	/** large task that will be started here */
	struct lookahead_plan plan;
};

/** Requirements and preferences of a task. */
struct binpack_request {
	int64_t cpu_milli;
	int64_t memory_mb;
	int64_t accelerators;
	/** limit on tasks of the group on one worker; 0 for none */
	uint32_t max_per_worker;
	bool has_data_rack;
	/** serves users; avoids workers with best-effort tasks */
	bool latency_sensitive;
	/** needs no free CPU; avoids workers with latency-sensitive tasks */
	bool best_effort;
	/** failed before; needs a worker without penalty */
	bool has_failed;
	/** avoids VMs with an expected disruption */
	bool long_running;
	/** may crash its worker; goes where the least is lost, to a reserved
	 *  worker as well */
	bool may_crash;
	/** VM that it avoids, as a hash; 0 for none */
	uint32_t avoided_vm;
	/** takes room that is planned for other tasks */
	bool ignores_plans;
	/** when it is expected to end */
	uint64_t ends_ms;
	/** needs a worker without suspects, so that a crash names the cause */
	bool apart_from_suspects;
};

/** @brief Returns what a task takes from its worker: no CPU if it is best
 *  effort. */
struct resources binpack_reserved(const struct binpack_request *request);

/** @brief Returns why a task does not fit a worker, HOLD_NONE if it does. */
enum hold binpack_refusal(const struct binpack_candidate *candidate,
			  const struct binpack_request *request);

/**
 * @brief Returns whether there is a worker that a task prefers and could run on
 *        if it were empty: one without penalty if the task has failed, one on
 *        another VM if it avoids one.
 *
 * Waiting for such a worker may be worthwhile; without one it never ends.
 */
bool binpack_has_preferred(const struct binpack_candidate *candidates,
			   uint32_t count,
			   const struct binpack_request *request);

/**
 * @brief Chooses a worker.
 * @return the index of the best candidate, or -1 if the task fits on none
 */
int32_t binpack_choose(const struct binpack_candidate *candidates,
		       uint32_t count, const struct binpack_request *request);

#endif
