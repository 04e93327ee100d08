/**
 * @file adapter.h
 * @brief Interface of the job service to workers, VMs and the platform.
 *
 * Prefix: adapter_. An adapter implements struct adapter_ops for one platform.
 * Calls are asynchronous: the callback runs exactly once, later, from the event
 * loop. Strings passed to a call are copied; strings of an answer are valid
 * during the callback.
 */
#ifndef ADAPTER_H
#define ADAPTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "catalogue.h"
#include "resources.h"

/** An order to a worker or a VM that has no answer is carried out within this
 *  time after its call has ended, if at all. Until then its effect is unknown.
 */
#define ADAPTER_ORDER_LIFE_MS 12000

/** Address of a worker and the identity expected there. */
struct adapter_target {
	/** dotted IPv4 address */
	const char *ip;
	uint16_t port;
	/** identity of the worker */
	const char *id;
};

/** How a run ended. */
enum adapter_end_kind {
	ADAPTER_END_DONE,
	/** the task or its worker failed */
	ADAPTER_END_FAILED,
	ADAPTER_END_STOPPED,
	/** the worker's lease expired */
	ADAPTER_END_LEASE_EXPIRED,
	/** another member of its gang ended */
	ADAPTER_END_GANG_BROKEN,
	/** the other members of its gang did not start in time */
	ADAPTER_END_GANG_INCOMPLETE,
};

/** A run that a worker reports as running. */
struct adapter_run {
	const char *task;
	uint32_t run;
	/** newest checkpoint, empty for none */
	const char *checkpoint;
	/** percentage of full speed at which it runs, 0 to 100 */
	uint32_t speed_percent;
	/** tail latency in ms of a serving task, else used cpu in milli-CPU */
	uint32_t usage;
};

/** A run that a worker reports as ended and not yet acknowledged. */
struct adapter_run_end {
	/** sequence number of the end within the incarnation, from 1 */
	uint64_t number;
	const char *task;
	uint32_t run;
	enum adapter_end_kind kind;
	const char *checkpoint;
};

/** A worker's report in answer to a poll. */
struct adapter_report {
	/** the worker's steady clock at the time of the report */
	uint64_t clock_ms;
	/** Unix time at which this incarnation started, 0 if unknown */
	uint64_t started_unix_ms;
	const struct adapter_run *runs;
	size_t run_count;
	const struct adapter_run_end *ends;
	size_t end_count;
};

/** How a worker answered an order. */
enum adapter_verdict {
	ADAPTER_ACCEPTED,
	/** the worker has seen a higher fencing token */
	ADAPTER_REFUSED_FENCE,
	/** the run is not newer than one that was stopped or has ended */
	ADAPTER_REFUSED_STALE_RUN,
	/** the lease in the order has expired */
	ADAPTER_REFUSED_LEASE_EXPIRED,
	/** the task does not fit into the free capacity */
	ADAPTER_REFUSED_CAPACITY,
	/** the ticket is missing or invalid */
	ADAPTER_REFUSED_TICKET,
	/** the worker is unhealthy and did nothing */
	ADAPTER_REFUSED_BUSY,
	/** another incarnation answers at the address */
	ADAPTER_REFUSED_INCARNATION,
	/** the worker could not parse the order */
	ADAPTER_REFUSED_INVALID,
};

/** Result of a call to a worker. */
struct adapter_reply {
	/** ERR_NONE for an answer; ERR_CONNECT if nothing was sent; with any
	 *  other kind the order may be executed, even later */
	enum err_kind err;
	enum adapter_verdict verdict;
	/** reading of the worker's steady clock, 0 if unknown */
	uint64_t clock_ms;
	/** of a poll: the connection that carried the answer, 0 if it is closed
	 */
	uint64_t connection;
	/** report of an accepted poll, else NULL */
	const struct adapter_report *report;
};

/** Called with the result of a call to a worker. */
typedef void (*adapter_worker_cb)(void *data,
				  const struct adapter_reply *reply);

/** An order to start a task. */
struct adapter_start {
	const char *task;
	uint32_t run;
	const char *spec;
	/** end of the lease on the worker's clock; never shortens a lease */
	uint64_t lease_until_ms;
	uint64_t fence;
	/** NULL for none */
	const char *checkpoint;
	/** NULL for none */
	const char *ticket;
};

/**
 * A poll of a worker, which also renews its lease and acknowledges ends.
 *
 * A connection ends with the incarnation of the worker that accepted it. So a
 * poll over the connection of an earlier answer reaches the incarnation that
 * gave that answer, or none; any other poll may reach the next incarnation.
 */
struct adapter_poll {
	/** the only connection that may carry the poll, which fails with
	 *  ERR_CONNECT if it is closed; 0 for any */
	uint64_t connection;
	/** end of the lease on the worker's clock; 0 does not renew it */
	uint64_t lease_until_ms;
	uint64_t fence;
	/** the worker may forget ends up to this number */
	uint64_t acked_upto;
	/** long poll: how long the worker waits for an end before it answers */
	uint32_t wait_ms;
	/** use a new connection, the open ones may carry nothing any more */
	bool fresh_connection;
};

/** A worker's own entry in the store. */
struct adapter_entry {
	const char *id;
	char ip[16];
	uint16_t port;
	const char *service;
	const char *availability_zone;
	/** VM that the worker runs on, NULL if unknown */
	const char *vm;
	bool draining;
	struct resources capacity;
	/** NULL-terminated */
	const char **labels;
	/** rack of the worker, NULL if unknown */
	const char *rack;
	uint64_t clock_ms;
	uint64_t started_unix_ms;
};

/** Advice that a worker may run a step; starts on it carry the ticket. */
struct adapter_ticket {
	const char *worker;
	const char *ticket;
};

/** Called with the answer of the advice service; rows are valid with ERR_NONE.
 *  @param valid_ms time-to-live of the tickets */
typedef void (*adapter_advice_cb)(void *data, enum err_kind err,
				  const struct adapter_ticket *rows,
				  size_t count, uint32_t valid_ms);

/** Maximum number of workers in one call for advice. */
#define ADAPTER_ADVICE_WORKERS_MAX 100

/** State of a VM that the system may move or maintain. */
enum adapter_vm_state {
	ADAPTER_VM_UP,
	ADAPTER_VM_MOVING,
	ADAPTER_VM_MAINTENANCE,
	ADAPTER_VM_DOWN,
};

/** A VM in the platform's list. */
struct adapter_vm {
	const char *name;
	const char *pool;
	enum adapter_vm_state state;
	const char *availability_zone;
	/** identity of the worker on the VM, NULL for none */
	const char *worker;
};

/** Called with the list of VMs. */
typedef void (*adapter_vms_cb)(void *data, enum err_kind err,
			       const struct adapter_vm *vms, size_t count);

/** How the platform answered a VM action. */
enum adapter_vm_verdict {
	ADAPTER_VM_ACCEPTED,
	ADAPTER_VM_REFUSED_FENCE,
	/** the VM is not up, or is draining */
	ADAPTER_VM_REFUSED_BUSY,
	/** the VM is not in the maintenance wave */
	ADAPTER_VM_REFUSED_WAVE,
	ADAPTER_VM_REFUSED_INVALID,
};

/** Called with the result of a VM action; verdict is valid with ERR_NONE. */
typedef void (*adapter_vm_cb)(void *data, enum err_kind err,
			      enum adapter_vm_verdict verdict);

/** A maintenance wave requested by the operator. */
struct adapter_wave {
	uint64_t number;
	/** NULL-terminated names of VMs */
	const char **vms;
	uint64_t duration_ms;
	/** maximum number of VMs in maintenance at once */
	uint32_t max_parallel;
};

/** Calls to workers and VMs, and decoders for the platform's store entries. */
struct adapter_ops {
	/** orders a worker to start a run */
	void (*start)(void *self, const struct adapter_target *target,
		      const struct adapter_start *order, uint32_t timeout_ms,
		      adapter_worker_cb cb, void *data);
	/** orders a worker to stop a run */
	void (*stop)(void *self, const struct adapter_target *target,
		     const char *task, uint32_t run, uint64_t fence,
		     uint32_t timeout_ms, adapter_worker_cb cb, void *data);
	/** fetches a worker's report */
	void (*poll)(void *self, const struct adapter_target *target,
		     const struct adapter_poll *poll, uint32_t timeout_ms,
		     adapter_worker_cb cb, void *data);
	/** limits a run to a percentage of full speed */
	void (*set_speed)(void *self, const struct adapter_target *target,
			  const char *task, uint32_t run, uint32_t percent,
			  uint64_t fence, uint32_t timeout_ms,
			  adapter_worker_cb cb, void *data);
	/** asks which workers may run a step; workers is a NULL-terminated
	 *  array of identities */
	void (*advise)(void *self, const char *step, const char *const *workers,
		       uint32_t timeout_ms, adapter_advice_cb cb, void *data);
	void (*vm_list)(void *self, uint32_t timeout_ms, adapter_vms_cb cb,
			void *data);
	/** moves a VM to another pool; holder and fence identify the owner */
	void (*vm_move)(void *self, const char *vm, const char *pool,
			const char *holder, uint64_t fence, uint32_t timeout_ms,
			adapter_vm_cb cb, void *data);
	/** starts maintenance of a VM as part of a wave */
	void (*vm_maintain)(void *self, const char *vm, uint64_t wave,
			    const char *holder, uint64_t fence,
			    uint32_t timeout_ms, adapter_vm_cb cb, void *data);

	/** key of the configuration */
	const char *config_key;
	/** prefixes of the workers' entries and of the operator's waves */
	const char *workers_prefix;
	const char *waves_prefix;
	/** decodes the configuration; NULL if the value is malformed */
	struct catalogue *(*config_decode)(const char *value, size_t len);
	/**
	 * Decodes a worker's entry and passes it to a callback; the entry is
	 * valid during the callback. Returns ERR_NONE or ERR_MALFORMED.
	 */
	enum err_kind (*entry_decode)(
		const char *key, const char *value, size_t len,
		void (*cb)(void *data, const struct adapter_entry *entry),
		void *data);
	/** decodes a maintenance wave, in the manner of entry_decode */
	enum err_kind (*wave_decode)(
		const char *key, const char *value, size_t len,
		void (*cb)(void *data, const struct adapter_wave *wave),
		void *data);
	/** encodes the status of a wave for the operator; key and value are
	 *  owned by the caller */
	void (*wave_status_encode)(uint64_t number, bool succeeded, char **key,
				   char **value);
};

/** @brief Returns the stable name of a verdict, for logs. */
const char *adapter_verdict_name(enum adapter_verdict verdict);

/** @brief Returns the stable name of the kind of an end, for logs. */
const char *adapter_end_name(enum adapter_end_kind kind);

#endif
