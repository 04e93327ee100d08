/**
 * @file planner.h
 * @brief Planner: decides which rows of the placement change next, and why.
 *
 * Prefix: planner_. A VM moves from pool A to pool B in stages: serving in A,
 * draining, stopped, serving in B. It leaves the draining stage only once no
 * process can send it requests of A any more.
 */
#ifndef PLANNER_H
#define PLANNER_H

#include <glib.h>

#include "disruption.h"

/** Current state of a VM; the planner takes one for each VM of the bundle. */
struct planner_vm {
	/** there is evidence that it failed, see planner_vm_failed() */
	bool failed;
	/** for a draining VM: no process dispatches to it any more, and its
	 *  requests have ended or are past their deadlines */
	bool drained;
	/** its pool is sized by demand and it has not been in the pool for
	 *  the minimum stay, so it is not given up as surplus */
	bool within_min_stay;
};

/** Evidence for or against the failure of a VM. */
struct planner_failure_evidence {
	/** time for which the platform's VM list has shown it as down, 0 if
	 *  it does not */
	uint64_t down_ms;
	/** number of processes that eject it at present, by outlier
	 *  detection */
	uint32_t ejected_by;
	/** number of processes that were asked */
	uint32_t processes;
};

/** Input of the planner. */
struct planner_input {
	const struct bundle *bundle;
	/** number of VMs that each pool should have: the target of the bundle
	 *  unless the pool is sized by demand */
	const uint32_t *wanted;
	const struct planner_vm *vms;
	/** for each VM whether it is known to work, see disruption_check() */
	const bool *healthy;
	/** no process dispatches by an older placement any more, so every
	 *  process regards the VMs that are free here as free */
	bool settled;
};

/** A changed row. */
struct planner_change {
	uint32_t vm;
	struct placement_row before;
	struct placement_row after;
	/** the disruption budget was checked, with this verdict */
	bool budget_checked;
	struct disruption_verdict verdict;
};

/**
 * @brief Returns whether the evidence shows that a VM failed.
 *
 * The platform must have shown it as down for some time, or more than half of
 * the processes, and at least two, must have ejected it. The ejection by a
 * single process may be due to its own network link.
 *
 * @param after_ms time for which the platform must have shown it as down
 */
bool planner_vm_failed(const struct planner_failure_evidence *evidence,
		       uint64_t after_ms);

/**
 * @brief Changes a row and records the change.
 * @param placement modified in place; the row carries number + 1
 * @param changes array of struct planner_change, appended to
 * @param vm index of the VM
 * @param row the new row
 * @param verdict of the disruption budget, or NULL if it was not checked
 * @return false if the row was already changed in this plan; nothing is
 * changed then
 */
bool planner_row_set(struct placement *placement, GArray *changes, uint32_t vm,
		     const struct placement_row *row,
		     const struct disruption_verdict *verdict);

/**
 * @brief Changes all rows that can be changed now.
 *
 * VMs under maintenance (PLACEMENT_REASON_WAVE) are left in the stopped stage,
 * see maintenance.h.
 *
 * @param input not used after the call
 * @param placement modified in place; changed rows carry number + 1
 * @param changes array of struct planner_change, appended to
 */
void planner_run(const struct planner_input *input, struct placement *placement,
		 GArray *changes);

#endif
