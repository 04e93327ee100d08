/**
 * @file pln.h
 * @brief The planner: which rows of the placement change next, and why.
 *
 * Prefix: pln_. A VM goes from pool to pool in stages: serving in A,
 * draining, stopped, serving in B. It leaves the draining stage only when no
 * process can send it requests of A any more.
 */
#ifndef PLN_H
#define PLN_H

#include <glib.h>

#include "bud.h"

/** What is known of a VM, one for each VM of the bundle. */
struct pln_vm {
	/** evidence that it failed, see pln_vm_failed() */
	bool failed;
	/** for a draining row: no process dispatches to it any more, and the
	 *  requests that it had have ended or are past their deadlines */
	bool drained;
	/** demand chose its pool's size and does not move it yet */
	bool stays;
};

/** Evidence of a VM's failure. */
struct pln_evidence {
	/** how long the platform's list has called it down, 0 for not */
	uint64_t down_ms;
	/** processes that ejected it at present, and processes asked */
	uint32_t ejected_by;
	uint32_t processes;
};

/** What the planner decides from. */
struct pln_input {
	const struct bundle *bundle;
	/** number of VMs that each pool is to have; targets of the bundle
	 *  unless a demand policy says otherwise */
	const uint32_t *wanted;
	const struct pln_vm *vms;
	/** for each VM whether it is known to work, see bud_check() */
	const bool *fit;
	/** no process dispatches on an older placement than the view, so that
	 *  VMs without a row are free everywhere */
	bool settled;
};

/** A changed row, with the budget that allowed it where one was asked. */
struct pln_change {
	uint32_t vm;
	struct plc_row before;
	struct plc_row after;
	bool budget_asked;
	struct bud_room room;
};

/**
 * @brief Decides whether a VM failed.
 *
 * The platform must have called it down for a while, or more than half of at
 * least two processes must have ejected it: one process with a bad link
 * proves nothing.
 */
bool pln_vm_failed(const struct pln_evidence *evidence, uint64_t after_ms);

/**
 * @brief Changes a row once in a plan and records the change.
 * @param room the budget's verdict, or NULL when none was asked
 * @return false when the row was changed in this plan already
 */
bool pln_row_set(struct plc_view *view, GArray *changes, uint32_t vm,
		 const struct plc_row *row, const struct bud_room *room);

/**
 * @brief Changes the rows that may change now.
 *
 * Rows under maintenance (PLC_REASON_WAVE) are left in the stopped stage,
 * see wav.h.
 *
 * @param input what is known; not kept
 * @param view modified in place; changed rows carry number + 1
 * @param changes array of struct pln_change, appended to
 */
void pln_plan(const struct pln_input *input, struct plc_view *view,
	      GArray *changes);

#endif
