/**
 * @file binpack.h
 * @brief Chooses the worker for a task.
 *
 * Prefix: binpack_. Pure: the candidates carry all that counts. Among the
 * workers on which a task fits, the fullest is taken, so that wide tasks find
 * room later and idle VMs can be given away; a task whose data lies on a rack
 * goes there while anything fits there.
 */
#ifndef BINPACK_H
#define BINPACK_H

#include <stdbool.h>
#include <stdint.h>

/** A worker that may take the task. */
struct binpack_candidate {
	int64_t cpu_free_milli;
	int64_t memory_free_mb;
	int64_t accelerators_free;
	/** tasks of the same group there already */
	uint32_t same_group;
	/** has the label that the task asks for */
	bool has_label;
	/** stands on the rack of the task's data */
	bool on_data_rack;
	/** tasks there that serve users, and tasks there that fill */
	uint32_t latency_sensitive_tasks;
	uint32_t best_effort_tasks;
	/** higher for workers that failed or were slow lately */
	uint32_t penalty;
	/** takes one task only, to prove itself */
	bool single_task_only;
	/** its VM is about to leave the pool or to be maintained */
	bool disruption_expected;
};

/** What a task asks for. */
struct binpack_request {
	int64_t cpu_milli;
	int64_t memory_mb;
	int64_t accelerators;
	/** tasks of the group on one worker, at most; 0 for no limit */
	uint32_t max_per_worker;
	bool has_data_rack;
	/** serves users: away from fillers */
	bool latency_sensitive;
	/** fills: takes no processor room, away from those that serve */
	bool best_effort;
	/** has failed before: only workers without a bad end of late */
	bool has_failed;
	/** runs for long: away from VMs that leave soon */
	bool long_running;
};

/**
 * @brief Chooses a worker.
 * @return the index of the best candidate, or -1 when it fits on none
 */
int32_t binpack_choose(const struct binpack_candidate *candidates,
		       uint32_t count, const struct binpack_request *need);

#endif
