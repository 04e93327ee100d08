/**
 * @file worker.h
 * @brief The owner's view of a worker: polls, orders, lease, fencing token.
 *
 * Prefix: worker_. The worker is authoritative for what it runs; this object
 * holds its last report and the orders sent since.
 *
 * An unanswered order may still be executed seconds later. A poll with a higher
 * fencing token resolves it: once the worker has answered that poll, it refuses
 * all orders with a lower token, so the order has either taken effect by the
 * time of the report or never will.
 */
#ifndef WORKER_H
#define WORKER_H

#include "loop.h"
#include "breaker.h"
#include "job.h"

/** Maximum number of fencing tokens per worker and ownership. */
#define WORKER_FENCE_SPAN 65536

struct worker;

/** An order whose call has ended. */
struct worker_order {
	char task[JOB_TASK_NAME_BYTES];
	uint32_t run;
	uint64_t fence;
};

/** A poll that was answered. */
struct worker_poll {
	/** its fencing token */
	uint64_t fence;
	/** its number; polls are numbered in the order in which they are sent
	 */
	uint64_t serial;
};

/** Why an incarnation, or the right of a worker to its tasks, has ended. */
enum worker_end_cause {
	/** it ended by itself: its VM is down or has another worker */
	WORKER_CRASHED,
	/** it ended by itself: another worker answers at its address */
	WORKER_REPLACED,
	/** its VM was moved, maintained or removed */
	WORKER_REMOVED,
	/** it does not answer, and its lease has expired */
	WORKER_LEASE_EXPIRED,
};

/** Callbacks of the workers. */
struct worker_ops {
	/** a poll returned a report */
	void (*on_report)(void *data, struct worker *worker,
			  const struct adapter_report *report,
			  const struct worker_poll *poll);
	/** the call that orders a start has ended, with or without an answer;
	 *  not called for a refusal that calls on_deposed */
	void (*on_started)(void *data, struct worker *worker,
			   const struct worker_order *order,
			   const struct adapter_reply *reply);
	/** the worker has restarted; orders sent to the earlier incarnation may
	 *  have reached the new one, which the next report shows */
	void (*on_restarted)(void *data, struct worker *worker);
	/** none of the worker's runs is left */
	void (*on_ended)(void *data, struct worker *worker,
			 enum worker_end_cause cause);
	/** a worker has seen the fencing token of another owner; shown_by is
	 *  its id, for the log */
	void (*on_deposed)(void *data, const char *shown_by);
	/** returns whether polls may renew leases */
	bool (*may_renew)(void *data);
};

/** Context shared by all workers of an owner; must outlive them. */
struct worker_env {
	struct loop *loop;
	const struct adapter_ops *platform;
	void *platform_self;
	/** lowest fencing token of this ownership */
	uint64_t fence_base;
	/** highest offset to it that any worker has reached; a worker that is
	 * forgotten and discovered again starts there, since it refuses the
	 * tokens below the one that it has seen */
	uint32_t fence_offset_max;
	/** maximum lease that workers accept */
	uint32_t lease_ms;
	/** local time read before the owner last looked whether it may start
	 *  tasks; the leases that starts grant count from it */
	uint64_t checked_ms;
	/** maximum time that a poll waits for an end */
	uint32_t poll_wait_max_ms;
	/** polls idle workers, too, one poll directly after the other */
	bool poll_idle;
	const struct worker_ops *ops;
	void *data;
};

/** A processed end, which is acknowledged once it is stored. */
struct worker_end {
	uint64_t number;
	/** change that records it, see commit_durable_mark() */
	uint64_t commit_mark;
};

/**
 * A worker. The owner may read all fields. It writes those marked "owner:", the
 * listing, and the ends that it processes; this module writes the others.
 */
struct worker {
	struct worker_env *env;
	char *id;
	char ip[16];
	uint16_t port;
	char *service;
	char *availability_zone;
	/** NULL-terminated labels */
	char **labels;
	char *rack;
	struct resources capacity;
	/** Unix time at which the incarnation started, 0 if unknown; and that
	 *  of the incarnation whose entry the fields above are from */
	uint64_t started_unix_ms;
	uint64_t described_unix_ms;
	bool draining;
	/** local time at which the owner discovered the worker */
	uint64_t discovered_ms;
	/** whether the last read of the worker list contained it, and the local
	 *  time since which the list has not */
	bool listed;
	uint64_t unlisted_since_ms;
	/** an entry of the worker list has been read, not only the roster */
	bool has_entry;
	/** has reported to this owner; and its last report had as many ends as
	 *  fit, so there may be more */
	bool has_reported;
	bool has_more_ends;
	/** local time at which the newest poll that it answered was sent */
	uint64_t answered_poll_sent_ms;
	/** its last answer to a poll was a report, not a refusal */
	bool last_poll_reported;
	/** local time at which the newest poll that was not answered was sent
	 */
	uint64_t failed_poll_sent_ms;
	/** consecutive unanswered polls, and the local time of the first */
	uint32_t unanswered_calls;
	uint64_t unanswered_since_ms;
	/** local time until which it certainly ran before that */
	uint64_t ran_until_ms;
	/** local time at which every granted lease has certainly expired */
	uint64_t lease_expired_ms;
	/** last reading of the worker's steady clock, and its local time */
	uint64_t clock_ms;
	uint64_t clock_at_ms;
	/** end of the granted lease on the worker's clock */
	uint64_t lease_until_ms;
	/** added to fence_base for the current fencing token */
	uint32_t fence_offset;
	/** local time until which an unanswered order may be executed */
	uint64_t late_orders_until_ms;
	/** numbers of the last acknowledged and the last processed end, and the
	 *  struct worker_end in between */
	uint64_t acked;
	uint64_t ends_seen;
	GArray *ends;
	/** highest acknowledgement that was sent, and the local time of that */
	uint64_t ack_sent;
	uint64_t ack_sent_ms;
	/** highest acknowledgement that the worker has received */
	uint64_t acks_received;
	/** connection that carried the newest report, so that it reaches the
	 *  same incarnation or none, see struct adapter_poll; 0 for none */
	uint64_t connection;
	/** unanswered orders wait to be resolved by a poll */
	bool resolving;
	/** the next poll does not wait for an end */
	bool poll_at_once;
	/** a poll is in flight; poll_serial is that of the newest poll */
	bool polling;
	uint64_t poll_serial;
	/** serial of a poll that was repeated because its answer was late, and
	 * that may still be answered, 0 for none; whether that answer came
	 * while the repetition was in flight; and whether the repetition has
	 * failed
	 */
	uint64_t late_poll_serial;
	bool late_poll_answered;
	bool repeated_poll_failed;
	/** clock of the worker in its newest report */
	uint64_t report_clock_ms;
	struct timer late_timer;
	/** local time at which a new incarnation was last detected, 0 if never
	 */
	uint64_t restarted_ms;
	struct timer poll_timer;
	/** worker_drop() was called */
	bool dropped;
	/** this incarnation has ended, and local time of that; the worker is
	 *  polled until it answers or is dropped, since it may restart under
	 *  its identity at any time */
	bool ended;
	uint64_t ended_ms;
	/** what ended the last incarnation has been judged */
	bool end_judged;
	/** owner: an incarnation has ended by itself, which is judged once a
	 *  report shows which orders the next one has received; and the local
	 *  time until which it certainly ran, with its clock then */
	bool crash_pending;
	uint64_t crash_until_ms;
	uint64_t crash_clock_ms;
	/** it ran without a likely suspect when that was last observed */
	bool unsuspected;

	/** owner: reserved resources, and the tasks that run or may run here */
	struct resources used;
	GPtrArray *tasks;
	/** owner: has reported to it, and tells earlier owners of it */
	bool is_witness;
	/** owner: written to the roster, so that the next owner polls it */
	bool in_roster;
	/** owner: part of the newest roster, which may not be stored yet */
	bool in_sent_roster;
	/** owner: no voter in the rosters that it writes: it does not report,
	 *  or earlier owners that may still act do not know it */
	bool is_learner;
	/** owner: voter of the stored roster, and of the newest one */
	bool is_voter;
	bool is_sent_voter;
	/** owner: gets no new tasks, because of maintenance or a move */
	bool cordoned;
	/** owner: local time since which a task waits that has room nowhere
	 *  else meanwhile, 0 for none; and whether the last pass found one */
	uint64_t room_wanted_since_ms;
	bool room_is_wanted;
	/** owner: runs in the last report that the owner has no task for. They
	 * are being stopped and use resources that are not part of `used`, so
	 * the worker gets no new tasks. */
	uint32_t stray_runs;
	/** owner: what those runs use of their accounts, see
	 *  owner_accounts.c; NULL for nothing */
	GArray *stray_uses;
	/** owner: gets no new tasks before this local time */
	uint64_t pause_until_ms;
	/** owner: gets no new tasks before this local time but one that may
	 *  crash it */
	uint64_t reserved_until_ms;
	/** owner: health, derived from how its tasks end */
	struct breaker health;
	/** owner: restarted or discovered while the owner's lease was not
	 *  certainly valid, so it may not know the token of a newer owner */
	bool discovered_without_lease;
	/** name of its VM, NULL if unknown */
	char *vm;
	/** owner: local time since which it is listed but can get no task, 0
	 *  for none; and whether that has been logged */
	uint64_t out_of_touch_since_ms;
	bool out_of_touch_logged;
	/** owner: number of successive lists of VMs that lacked its VM */
	uint32_t vm_unlisted_count;
	/** owner: how long a poll waits for an end, 0 for the maximum */
	uint32_t poll_wait_ms;
};

/** Reasons to poll a worker again, the first that applies. */
enum worker_poll_reason {
	/** idle: the next order shows whether it runs */
	WORKER_POLL_NONE,
	/** its incarnation has ended; it may restart under its identity at any
	 *  time, and neither its entry nor the list of VMs need show that */
	WORKER_POLL_ENDED,
	WORKER_POLL_REFUSED,
	WORKER_POLL_SILENT,
	/** the same while it may execute an unanswered order */
	WORKER_POLL_SILENT_LATE,
	WORKER_POLL_UNSTORED,
	/** it has tasks, or something that it has not reported yet */
	WORKER_POLL_BUSY,
	/** the same, without a connection that reaches its incarnation only */
	WORKER_POLL_CLOSED,
	/** idle, but its entry shows another start than its last report */
	WORKER_POLL_OUTDATED,
};

/** What one reason to poll a worker stands for. */
struct worker_poll_row {
	/** constant text for the log */
	const char *text;
	/** delay before the poll; 0 for WORKER_POLL_NONE, too */
	uint32_t delay_ms;
};

/**
 * @brief Returns how long a poll may wait at a worker.
 *
 * A lease that a poll renewed outlasts the wait of that poll and of the next
 * one, even if the connection of the second carries nothing any more.
 */
uint32_t worker_poll_wait_max_ms(uint32_t lease_ms);

/** @brief Creates a worker from its store entry and starts polling it. */
struct worker *worker_create(struct worker_env *env,
			     const struct adapter_entry *entry);

/** @brief Drops a worker and ignores the results of its calls in flight. */
void worker_drop(struct worker *worker);

/** @brief Updates a worker from a newer store entry. */
void worker_update(struct worker *worker, const struct adapter_entry *entry);

/** @brief Orders a worker to start a task. The caller sets the task's run;
 *  this function sets the task's fencing token. */
void worker_task_start(struct worker *worker, struct job_task *task,
		       const char *spec, const char *ticket);

/** @brief Orders a worker to stop a task. An unanswered order is not retried:
 *  the owner repeats the order while reports still list the run. */
void worker_task_stop(struct worker *worker, const struct job_task *task);

/** @brief Orders a worker to stop a run that the owner has no task for. */
void worker_run_stop(struct worker *worker, const char *task, uint32_t run);

/** @brief Limits a task to a percentage of its full speed. */
void worker_task_set_speed(struct worker *worker, const struct job_task *task,
			   uint32_t percent);

/** @brief Schedules the next poll within a delay, unless one is in flight or
 *  the incarnation has ended. */
void worker_poll_within(struct worker *worker, uint32_t delay_ms);

/** @brief Polls at once, and ignores the answer to a poll in flight, unless the
 *  incarnation has ended. */
void worker_poll_again(struct worker *worker);

/** @brief Polls with a higher fencing token to resolve unanswered orders. */
void worker_resolve_orders(struct worker *worker);

/** @brief Lets the worker's ends be acknowledged up to a durable mark. */
void worker_ack_ends(struct worker *worker, uint64_t durable_mark);

/**
 * @brief Declares the incarnation ended, with all of its runs.
 * @param why constant reason for the log
 */
void worker_end_incarnation(struct worker *worker, enum worker_end_cause cause,
			    const char *why);

/** @brief Returns whether the entry that was read last is of another
 * incarnation than the last report, which may have other labels and another
 * capacity. */
bool worker_entry_is_outdated(const struct worker *worker);

/**
 * @brief Returns why the worker is to be polled after its last answer, or the
 * lack of one. Nothing else decides that; orders, and entries of another
 * incarnation, bring the next poll forward.
 */
enum worker_poll_reason worker_poll_reason(const struct worker *worker);

/** @brief Returns what a reason to poll a worker stands for. */
const struct worker_poll_row *worker_poll_row(enum worker_poll_reason reason);

/** @brief Returns the current fencing token for orders to the worker. */
uint64_t worker_fence(const struct worker *worker);

/** @brief Returns whether the worker answered its newest poll. */
bool worker_is_reachable(const struct worker *worker);

/** @brief Returns whether the worker has a label; true for a NULL label. */
bool worker_has_label(const struct worker *worker, const char *label);

#endif
