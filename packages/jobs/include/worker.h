/**
 * @file worker.h
 * @brief A worker as the owner knows it: looks, orders, lease and fence.
 *
 * Prefix: worker_. The worker holds the truth of what runs; this object keeps
 * what was reported last and what was ordered since.
 *
 * An order without an answer may be carried out seconds later. It is resolved
 * by a look under a higher fencing token: once the worker has answered that
 * look, it refuses all orders with a lower one, so the order either shows in
 * the report or never will.
 */
#ifndef WORKER_H
#define WORKER_H

#include "loop.h"
#include "breaker.h"
#include "job.h"

/** Fencing tokens of one worker in one ownership, at most. */
#define WORKER_FENCE_SPAN 65536

struct worker;

/** An order whose call has ended. */
struct worker_order {
	char task[JOB_TASK_NAME_BYTES];
	uint32_t run;
	uint64_t fence;
};

/** What workers call. */
struct worker_ops {
	/** a report; look_fence is the token of its look */
	void (*on_report)(void *data, struct worker *worker,
			  const struct adapter_report *report,
			  uint64_t look_fence);
	/** a start was answered, refused or never sent */
	void (*on_started)(void *data, struct worker *worker,
			   const struct worker_order *order,
			   const struct adapter_reply *reply);
	/** the worker has started anew; what was ordered may be there or not,
	 *  and the next report tells */
	void (*on_restarted)(void *data, struct worker *worker);
	/** nothing that was ordered runs there any more */
	void (*on_ended)(void *data, struct worker *worker);
	/** the worker has seen the token of another owner */
	void (*on_deposed)(void *data);
};

/** What all workers of an owner share; outlives them. */
struct worker_env {
	struct loop *loop;
	const struct adapter_ops *platform;
	void *platform_self;
	/** base of this ownership's tokens */
	uint64_t fence_base;
	/** longest lease that workers grant */
	uint32_t lease_ms;
	const struct worker_ops *ops;
	void *data;
};

/** An end that was taken in and may be acknowledged once it is stored. */
struct worker_end {
	uint64_t number;
	/** mark of the commit log that covers it, see cmt.h */
	uint64_t commit_mark;
};

/** A worker; fields are read by the owner and written by this module but for
 *  those of the owner. */
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
	struct adapter_resources capacity;
	uint64_t started_unix_ms;
	bool draining;
	/** when it became known of */
	uint64_t discovered_ms;
	/** listed in the store when it was read last, and since when not */
	bool listed;
	uint64_t unlisted_since_ms;
	/** its first report under this ownership has arrived */
	bool has_reported;
	/** calls in a row that got no answer, and since when */
	uint32_t unanswered_calls;
	uint64_t unanswered_since_ms;
	/** no lease that was granted runs after this local time */
	uint64_t lease_expired_ms;
	/** a reading of its clock and the local time of it */
	uint64_t clock_ms;
	uint64_t clock_at_ms;
	uint64_t lease_until_ms;
	uint32_t fence_offset;
	/** until then an order without an answer may still be carried out */
	uint64_t late_orders_until_ms;
	/** ends: acknowledged, taken in, and those between */
	uint64_t acked;
	uint64_t ends_seen;
	GArray *ends;
	bool resolving;
	bool polling;
	uint64_t poll_serial;
	struct timer poll_timer;
	bool dropped;
	/** this incarnation has ended; its entry may still be listed */
	bool ended;

	/** owner: what is taken, and the tasks that are or may be there */
	struct adapter_resources used;
	GPtrArray *tasks;
	/** owner: written to the roster, so that a successor will look at it */
	bool in_roster;
	/** owner: no new tasks, for maintenance or a move */
	bool cordoned;
	/** owner: no new tasks before this time */
	uint64_t pause_until_ms;
	/** owner: health, told by how its tasks end */
	struct breaker health;
	/** owner: it has started anew, or became known, while the ownership was
	 *  not proved: it may not know the token of a successor */
	bool discovered_without_lease;
	/** name of its VM, NULL when not known */
	char *vm;
	/** owner: how long a look waits for an end, 0 for the longest */
	uint32_t poll_wait_ms;
};

/** @brief Creates a worker from its entry, with one reference. */
struct worker *worker_create(struct worker_env *env,
			     const struct adapter_entry *entry);

/** @brief Ends the use of a worker; calls in flight are forgotten. */
void worker_drop(struct worker *worker);

/** @brief Takes in a newer entry. */
void worker_update(struct worker *worker, const struct adapter_entry *entry);

/** @brief Sends an order to start; the task's run and fence are set before. */
void worker_task_start(struct worker *worker, struct job_task *task,
		       const char *spec, const char *ticket);

/** @brief Sends an order to stop; repeated until the worker has answered. */
void worker_task_stop(struct worker *worker, const struct job_task *task);

/** @brief Stops a run that is not in the table. */
void worker_run_stop(struct worker *worker, const char *task, uint32_t run);

/** @brief Sets the share at which a task works. */
void worker_task_set_speed(struct worker *worker, const struct job_task *task,
			   uint32_t percent);

/** @brief Plans the next look within a time, unless one is under way. */
void worker_poll_within(struct worker *worker, uint32_t delay_ms);

/** @brief Looks under a higher token, which settles orders without answer. */
void worker_resolve_orders(struct worker *worker);

/** @brief Ends up to the mark are stored: they may be acknowledged. */
void worker_ack_ends(struct worker *worker, uint64_t committed);

/**
 * @brief Takes an incarnation as ended: nothing that it held runs any more.
 * @param why constant reason for the log
 */
void worker_end_incarnation(struct worker *worker, const char *why);

/** @brief The token for orders to this worker now. */
uint64_t worker_fence(const struct worker *worker);

/** @brief Tells whether the worker answered its newest call. */
bool worker_is_reachable(const struct worker *worker);

/** @brief Tells whether a label is among the worker's. */
bool worker_has_label(const struct worker *worker, const char *label);

#endif
