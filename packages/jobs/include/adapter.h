/**
 * @file adapter.h
 * @brief What the job service needs from outside, as function tables.
 *
 * Prefix: adapter_. An adapter fills the tables for one platform. Calls are
 * asynchronous: the callback runs once, later, from the loop. Strings given to
 * a call are copied; those of an answer are valid during the callback.
 */
#ifndef ADAPTER_H
#define ADAPTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "catalogue.h"

/** Where a worker is and which incarnation of it is meant. */
struct adapter_target {
	/** dotted IPv4 address */
	const char *ip;
	uint16_t port;
	/** identity of the worker */
	const char *id;
};

/** What a worker, a VM or a task has or needs. */
struct adapter_resources {
	int64_t cpu_milli;
	int64_t memory_mb;
	int64_t accelerators;
};

/** How a run ended. */
enum adapter_end_kind {
	ADAPTER_END_DONE,
	/** by the task's own fault or the worker's */
	ADAPTER_END_FAILED,
	ADAPTER_END_STOPPED,
	/** the worker's lease ran out */
	ADAPTER_END_LEASE_EXPIRED,
	/** another member of its gang ended */
	ADAPTER_END_GANG_BROKEN,
	/** the other members of its gang did not come in time */
	ADAPTER_END_GANG_INCOMPLETE,
};

/** A run that a worker lists as running. */
struct adapter_run {
	const char *task;
	uint32_t run;
	/** newest checkpoint, empty for none */
	const char *checkpoint;
	/** share at which it works, 0 to 100 */
	uint32_t speed_percent;
	/** of a serving task: tail latency in ms; else cpu in use, in milli */
	uint32_t usage;
};

/** A run that a worker lists as ended and not yet acknowledged. */
struct adapter_run_end {
	/** rises with each end in one incarnation, from 1 */
	uint64_t number;
	const char *task;
	uint32_t run;
	enum adapter_end_kind kind;
	const char *checkpoint;
};

/** What a worker reports when it is looked at. */
struct adapter_report {
	/** the worker's steady clock at the time of the report */
	uint64_t clock_ms;
	/** Unix time at which this incarnation started, 0 if not told */
	uint64_t started_unix_ms;
	const struct adapter_run *runs;
	size_t run_count;
	const struct adapter_run_end *ends;
	size_t end_count;
};

/** How a worker took an order that it answered. */
enum adapter_verdict {
	ADAPTER_ACCEPTED,
	/** a higher fencing token has been seen there */
	ADAPTER_REFUSED_FENCE,
	/** the run is not higher than one that was stopped or has ended */
	ADAPTER_REFUSED_STALE_RUN,
	/** the lease that the order carries is over */
	ADAPTER_REFUSED_LEASE_EXPIRED,
	/** it does not fit */
	ADAPTER_REFUSED_CAPACITY,
	/** the ticket is missing or not valid */
	ADAPTER_REFUSED_TICKET,
	/** unhealthy, nothing was done */
	ADAPTER_REFUSED_BUSY,
	/** another incarnation answers at that address */
	ADAPTER_REFUSED_INCARNATION,
	/** the worker could not make sense of the order */
	ADAPTER_REFUSED_INVALID,
};

/** The end of a call to a worker. */
struct adapter_reply {
	/** ERR_NONE for an answer; ERR_CONNECT when nothing was sent; any other
	 *  kind means that the order may be carried out, also later */
	enum err_kind err;
	enum adapter_verdict verdict;
	/** the worker's clock, 0 if not told */
	uint64_t clock_ms;
	/** of a look that was taken, else NULL */
	const struct adapter_report *report;
};

/** Ends a call to a worker. */
typedef void (*adapter_worker_cb)(void *data,
				  const struct adapter_reply *reply);

/** An order to start a task. */
struct adapter_start {
	const char *task;
	uint32_t run;
	const char *spec;
	/** end of the lease on the worker's clock; never shortens it */
	uint64_t lease_until_ms;
	uint64_t fence;
	/** NULL for none */
	const char *checkpoint;
	/** NULL for none */
	const char *ticket;
};

/** A look at a worker, which also renews its lease and acknowledges ends. */
struct adapter_poll {
	/** 0 leaves the lease as it is */
	uint64_t lease_until_ms;
	uint64_t fence;
	/** ends up to this number are forgotten by the worker */
	uint64_t acked_upto;
	/** how long the worker waits for an end before it answers */
	uint32_t wait_ms;
};

/** A worker as it describes itself in the store. */
struct adapter_entry {
	const char *id;
	char ip[16];
	uint16_t port;
	const char *service;
	const char *availability_zone;
	/** VM that the worker runs on, NULL if it does not say */
	const char *vm;
	bool draining;
	struct adapter_resources capacity;
	/** NULL-terminated */
	const char **labels;
	/** rack that it stands on, NULL if it does not say */
	const char *rack;
	uint64_t clock_ms;
	uint64_t started_unix_ms;
};

/** A worker that may run a step, with the ticket that its starts carry. */
struct adapter_ticket {
	const char *worker;
	const char *ticket;
};

/** Ends a call for advice; rows hold with ERR_NONE. */
typedef void (*adapter_advice_cb)(void *data, enum err_kind err,
				  const struct adapter_ticket *rows,
				  size_t count, uint32_t valid_ms);

/** Workers that one call for advice may name. */
#define ADAPTER_ADVICE_WORKERS_MAX 100

/** State of a VM that the system may move or maintain. */
enum adapter_vm_state {
	ADAPTER_VM_UP,
	ADAPTER_VM_MOVING,
	ADAPTER_VM_MAINTENANCE,
	ADAPTER_VM_DOWN,
};

/** A VM of the platform's list. */
struct adapter_vm {
	const char *name;
	const char *pool;
	enum adapter_vm_state state;
	const char *availability_zone;
	/** worker on it, NULL for none */
	const char *worker;
};

/** Ends a listing of VMs. */
typedef void (*adapter_vms_cb)(void *data, enum err_kind err,
			       const struct adapter_vm *vms, size_t count);

/** How the platform took a VM action. */
enum adapter_vm_verdict {
	ADAPTER_VM_ACCEPTED,
	ADAPTER_VM_REFUSED_FENCE,
	/** not up, or leaving */
	ADAPTER_VM_REFUSED_BUSY,
	/** not in that wave */
	ADAPTER_VM_REFUSED_WAVE,
	ADAPTER_VM_REFUSED_INVALID,
};

/** Ends a VM action; the verdict holds with ERR_NONE. */
typedef void (*adapter_vm_cb)(void *data, enum err_kind err,
			      enum adapter_vm_verdict verdict);

/** A maintenance wave that the operator asks for. */
struct adapter_wave {
	uint64_t number;
	/** NULL-terminated names of VMs */
	const char **vms;
	uint64_t duration_ms;
	/** VMs in maintenance at once, at most */
	uint32_t max_parallel;
};

/** Calls to workers and VMs; decoding of what others write in the store. */
struct adapter_ops {
	void (*start)(void *self, const struct adapter_target *target,
		      const struct adapter_start *order, uint32_t timeout_ms,
		      adapter_worker_cb cb, void *data);
	void (*stop)(void *self, const struct adapter_target *target,
		     const char *task, uint32_t run, uint64_t fence,
		     uint32_t timeout_ms, adapter_worker_cb cb, void *data);
	void (*poll)(void *self, const struct adapter_target *target,
		     const struct adapter_poll *look, uint32_t timeout_ms,
		     adapter_worker_cb cb, void *data);
	void (*set_speed)(void *self, const struct adapter_target *target,
			  const char *task, uint32_t run, uint32_t percent,
			  uint64_t fence, uint32_t timeout_ms,
			  adapter_worker_cb cb, void *data);
	/** asks which workers may run a step; NULL-terminated identities */
	void (*advise)(void *self, const char *step, const char *const *workers,
		       uint32_t timeout_ms, adapter_advice_cb cb, void *data);
	void (*vm_list)(void *self, uint32_t timeout_ms, adapter_vms_cb cb,
			void *data);
	void (*vm_move)(void *self, const char *vm, const char *pool,
			const char *holder, uint64_t fence, uint32_t timeout_ms,
			adapter_vm_cb cb, void *data);
	void (*vm_maintain)(void *self, const char *vm, uint64_t wave,
			    const char *holder, uint64_t fence,
			    uint32_t timeout_ms, adapter_vm_cb cb, void *data);

	/** key of the configuration */
	const char *config_key;
	/** prefixes of the workers' entries and of the operator's waves */
	const char *workers_prefix;
	const char *waves_prefix;
	/** returns a catalogue, or NULL for a value that cannot be read */
	struct catalogue *(*config_decode)(const char *value, size_t len);
	/**
	 * Decodes a worker's entry and hands it to a callback, whose argument
	 * is valid during it. Returns ERR_MALFORMED for what is not an entry.
	 */
	enum err_kind (*entry_decode)(
		const char *key, const char *value, size_t len,
		void (*cb)(void *data, const struct adapter_entry *entry),
		void *data);
	/** as entry_decode, for a wave */
	enum err_kind (*wave_decode)(
		const char *key, const char *value, size_t len,
		void (*cb)(void *data, const struct adapter_wave *wave),
		void *data);
	/** fills the key and value that tell the operator of a wave's state;
	 *  both are owned by the caller */
	void (*wave_status_encode)(uint64_t number, bool succeeded, char **key,
				   char **value);
};

/** @brief Returns the stable name of a verdict, for logs. */
const char *adapter_verdict_name(enum adapter_verdict verdict);

/** @brief Returns the stable name of the way a run ended, for logs. */
const char *adapter_end_name(enum adapter_end_kind kind);

#endif
