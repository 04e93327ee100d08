/**
 * @file planner.h
 * @brief The planner: which rows of the placement change next, and why.
 *
 * Prefix: planner_. A VM goes from pool to pool in stages: serving in A,
 * draining, stopped, serving in B. It leaves the draining stage only when no
 * process can send it requests of A any more.
 */
#ifndef PLANNER_H
#define PLANNER_H

#include <glib.h>

#include "disruption.h"

/** What is known of a VM, one for each VM of the bundle. */
struct planner_vm {
	/** evidence that it failed, see planner_vm_failed() */
	bool failed;
	/** for a draining row: no process dispatches to it any more, and the
	 *  requests that it had have ended or are past their deadlines */
	bool drained;
	/** demand chose its pool's size and does not move it yet */
	bool within_min_stay;
};

/** Evidence of a VM's failure. */
struct planner_failure_evidence {
	/** how long the platform's list has called it down, 0 for not */
	uint64_t down_ms;
	/** processes that ejected it at present, and processes asked */
	uint32_t ejected_by;
	uint32_t processes;
};

/** What the planner decides from. */
struct planner_input {
	const struct bundle *bundle;
	/** number of VMs that each pool is to have; targets of the bundle
	 *  unless a demand policy says otherwise */
	const uint32_t *wanted;
	const struct planner_vm *vms;
	/** for each VM whether it is known to work, see disruption_check() */
	const bool *healthy;
	/** no process dispatches on an older placement than the view, so that
	 *  VMs without a row are free everywhere */
	bool settled;
};

/** A changed row, with the budget that allowed it where one was asked. */
struct planner_change {
	uint32_t vm;
	struct placement_row before;
	struct placement_row after;
	bool budget_checked;
	struct disruption_verdict verdict;
};

/**
 * @brief Decides whether a VM failed.
 *
 * The platform must have called it down for a while, or more than half of at
 * least two processes must have ejected it: one process with a bad link
 * proves nothing.
 */
bool planner_vm_failed(const struct planner_failure_evidence *evidence,
		       uint64_t after_ms);

/**
 * @brief Changes a row once in a plan and records the change.
 * @param room the budget's verdict, or NULL when none was asked
 * @return false when the row was changed in this plan already
 */
bool planner_row_set(struct placement *view, GArray *changes, uint32_t vm,
		     const struct placement_row *row,
		     const struct disruption_verdict *room);

/**
 * @brief Changes the rows that may change now.
 *
 * Rows under maintenance (PLACEMENT_REASON_WAVE) are left in the stopped stage,
 * see wav.h.
 *
 * @param input what is known; not kept
 * @param view modified in place; changed rows carry number + 1
 * @param changes array of struct planner_change, appended to
 */
void planner_run(const struct planner_input *input, struct placement *view,
		 GArray *changes);

#endif
