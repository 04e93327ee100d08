/**
 * @file pck.h
 * @brief Chooses the worker for a task.
 *
 * Prefix: pck_. Pure: the candidates carry all that counts. Among the workers
 * on which a task fits, the fullest is taken, so that wide tasks find room
 * later and idle VMs can be given away; a task whose data lies on a rack goes
 * there while anything fits there.
 */
#ifndef PCK_H
#define PCK_H

#include <stdbool.h>
#include <stdint.h>

/** A worker that may take the task. */
struct pck_candidate {
	int64_t cpu_free_milli;
	int64_t memory_free_mb;
	int64_t accelerators_free;
	/** tasks of the same group there already */
	uint32_t same_group;
	/** has the label that the task asks for */
	bool labelled;
	/** stands on the rack of the task's data */
	bool on_data_rack;
	/** tasks there that serve users, and tasks there that fill */
	uint32_t serving;
	uint32_t fillers;
	/** higher for workers that failed or were slow lately */
	uint32_t penalty;
	/** takes one task only, to prove itself */
	bool takes_one;
	/** its VM is about to leave the pool or to be maintained */
	bool leaving_soon;
};

/** What a task asks for. */
struct pck_need {
	int64_t cpu_milli;
	int64_t memory_mb;
	int64_t accelerators;
	/** tasks of the group on one worker, at most; 0 for no limit */
	uint32_t most_per_worker;
	bool has_data_rack;
	/** serves users: away from fillers */
	bool serves;
	/** fills: takes no processor room, away from those that serve */
	bool fills;
	/** has failed before: only workers without a bad end of late */
	bool has_failed;
	/** runs for long: away from VMs that leave soon */
	bool lasts;
};

/**
 * @brief Chooses a worker.
 * @return the index of the best candidate, or -1 when it fits on none
 */
int32_t pck_choose(const struct pck_candidate *candidates, uint32_t count,
		   const struct pck_need *need);

#endif
