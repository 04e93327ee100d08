/**
 * @file hold.h
 * @brief Reasons for which a task that waits is not started, in one table.
 *
 * Prefix: hold_. No I/O. Each reason states who sets it, what ends it, and
 * whether it yields. A limit never yields: a rule would be broken. A preference
 * keeps a task off a worker that could run it, and yields after a time to a
 * task that no other worker fits.
 */
#ifndef HOLD_H
#define HOLD_H

#include <stdint.h>

/** Why a task is not started, or not on a worker. */
enum hold {
	HOLD_NONE,
	/* about the task */
	HOLD_QUEUE_REMOVED,
	HOLD_STORE_UNAVAILABLE,
	HOLD_ACCOUNT_LIMIT,
	HOLD_STEPS,
	HOLD_END_UNREPORTED,
	HOLD_BACKOFF,
	HOLD_EVIDENCE,
	HOLD_SUSPECT,
	HOLD_GANG_UNPLACEABLE,
	HOLD_GANG_WAITS,
	HOLD_PLANNED_ROOM,
	HOLD_NO_ROOM,
	/* about a worker, whatever the task */
	HOLD_WORKER_FENCE,
	HOLD_WORKER_UNVERIFIED,
	HOLD_WORKER_ENDED,
	HOLD_WORKER_UNREPORTED,
	HOLD_WORKER_OUTDATED,
	HOLD_WORKER_CAPACITY,
	HOLD_WORKER_DRAINS,
	HOLD_WORKER_SILENT,
	HOLD_WORKER_STRAYS,
	HOLD_WORKER_REFUSED,
	HOLD_WORKER_CORDONED,
	HOLD_WORKER_BREAKER,
	HOLD_WORKER_ISOLATES,
	/* about a task on a worker */
	HOLD_LABEL,
	HOLD_MEMORY,
	HOLD_ACCELERATORS,
	HOLD_CPU,
	HOLD_FAILED_THERE,
	HOLD_AVOIDED_VM,
	HOLD_RESERVED,
	HOLD_SUSPECTS_THERE,
	HOLD_PLANNED,
	HOLD_SPREAD,
	HOLD_COUNT
};

/** A row of the table. */
struct hold_row {
	/** the reason, in words for operators */
	const char *text;
	/** source file that sets it */
	const char *set_by;
	/** what ends it */
	const char *ends;
	/** longest time for which a preference holds back a task that no other
	 *  worker fits, 0 for a limit */
	uint32_t yields_after_ms;
};

/** @brief Returns the row of a reason. */
const struct hold_row *hold_row(enum hold hold);

#endif
