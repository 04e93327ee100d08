/**
 * @file owner_fleet.h
 * @brief State and functions shared by the files that manage VMs.
 *
 * An operation on a VM is either a move to another pool or a maintenance. Its
 * worker is drained first; then the operation is requested from the platform,
 * which restarts the VM. A maintenance wave is the operator's request to
 * maintain a set of VMs with a bound on how many are unavailable at once.
 */
#ifndef OWNER_FLEET_H
#define OWNER_FLEET_H

#include "watcher.h"
#include "owner_private.h"

/** Interval between decisions on VMs. */
#define OWNER_FLEET_TICK_MS 100

/** Timeout of a request about VMs. */
#define OWNER_VM_CALL_TIMEOUT_MS 800

/** Progress of an operation on a VM. */
enum owner_vm_phase {
	/** no operation is planned */
	OWNER_VM_STEADY,
	/** cordoned: its worker gets no new tasks; the present ones complete or
	 *  are stopped */
	OWNER_VM_DRAINING,
	/** the platform has accepted the operation; the VM is not back yet */
	OWNER_VM_OPERATING,
};

/** A VM in the platform's list. */
struct owner_vm {
	char *name;
	char *pool;
	enum adapter_vm_state state;
	/** CPU of its newest worker, 0 if it has had none */
	int64_t cpu_milli;
	/** number of successive lists that lacked it, 0 if the newest has it */
	uint32_t missing_lists;
	enum owner_vm_phase phase;
	uint64_t phase_started_ms;
	/** local time before which a refused request is not repeated */
	uint64_t request_not_before_ms;
	/** since when its worker has had no tasks, 0 if it has tasks */
	uint64_t idle_since_ms;
	/** not drained for a wave before this local time, which is set when a
	 *  drain times out */
	uint64_t backoff_until_ms;
	/** a request for an operation is in flight */
	bool call_in_flight;
	/** when a request failed with unknown effect, 0 for none */
	uint64_t unanswered_since_ms;
	/** worker that was on it when its drain began, owned, NULL for none */
	char *drained_worker;
	/** pool to move to, owned, NULL for maintenance */
	char *target_pool;
	/** wave that it is being maintained for, NULL for none */
	struct owner_wave *wave;
	/** worker on it according to the list, owned, NULL for none */
	char *worker;
	/** pool for which the platform rejected a move of it, owned */
	char *rejecting_pool;
	/** number of the intent that covers it, 0 for none, and when it was
	 *  last used, see owner_intents.c */
	uint64_t intent_number;
	uint64_t intent_used_ms;
	/** the intent says that a request may be under way */
	bool intent_open;
	/** local time until which an unanswered request may arrive */
	uint64_t request_may_arrive_until_ms;
};

/** A maintenance wave. */
struct owner_wave {
	uint64_t number;
	uint64_t deadline_ms;
	uint32_t max_parallel;
	/** names of all its VMs, owned */
	GPtrArray *vms;
	/** set of names of the VMs that are maintained, owned */
	GHashTable *done_vms;
	/** local time since when a VM is missing from the lists, by name */
	GHashTable *missing_since_ms;
	/** the progress made by earlier owners has been read */
	bool progress_loaded;
	bool progress_loading;
	bool finished;
};

struct owner_fleet {
	struct owner *owner;
	struct watcher *waves_watcher;
	/** number to struct owner_wave */
	GHashTable *waves;
	/** name to struct owner_vm */
	GHashTable *vms;
	/** name of a VM to the identity of its newest worker that has not
	 *  ended; see owner_vm_workers_update() */
	GHashTable *worker_id_by_vm;
	bool list_in_flight;
	/** at least one list of VMs has been received */
	bool list_received;
	uint64_t list_received_ms;
	uint64_t list_requested_ms;
	/** sets of names of VMs that an earlier owner has recently requested
	 *  operations for, and of those of them whose requests may still be
	 *  under way; read from the store once */
	GHashTable *prior_intents;
	GHashTable *prior_open_intents;
	bool intents_read;
	bool intents_read_in_flight;
	/** the stored intents are unreadable: any VM may be among them */
	bool intents_malformed;
	/** numbers of the newest intent, of the newest one handed to the commit
	 *  log and of the newest one in the store */
	uint64_t newest_intent;
	uint64_t written_intent;
	uint64_t stored_intent;
	/** intent numbers of the writes in flight, the oldest first */
	GQueue intent_writes;
	struct timer timer;
	struct weak_ref *weak_ref;
};

/* owner_fleet.c */
/* Assigns the known workers to their VMs anew. Called before VMs are acted on,
 * since workers come and go, and entries name another VM, at any time. */
void owner_vm_workers_update(struct owner_fleet *fleet);

/* Returns the worker of a VM as of the last update, NULL if it is gone. */
struct worker *owner_vm_worker(struct owner_fleet *fleet,
			       const struct owner_vm *vm);
void owner_vm_drain(struct owner_fleet *fleet, struct owner_vm *vm,
		    struct owner_wave *wave, const char *target_pool);

/* Advances the operations of all VMs that are drained or operated on. */
void owner_vms_advance(struct owner_fleet *fleet);

/* owner_vm_list.c: reads the list of VMs when it is due, and detects workers
 * that have ended according to it. */
void owner_vm_list_refresh(struct owner_fleet *fleet);

/* owner_intents.c: write-ahead intents. An owner stores the name of a VM before
 * it requests an operation on it, and again once the request was answered, so
 * that its successor knows which VMs have to wait: for the minimum interval
 * between requests of two owners, see jobs_config.vm_order_interval_ms, and
 * before that until an unanswered request can no longer arrive. */
void owner_intents_load(struct owner_fleet *fleet);
void owner_intents_write(struct owner_fleet *fleet);
/* Returns whether the intent for a VM is stored, so that an operation may be
 * requested; if it is not, it is added to the next write. */
bool owner_intent_ensure_stored(struct owner_fleet *fleet, struct owner_vm *vm);
/* Records how a request about a VM ended. */
void owner_intent_request_ended(struct owner_vm *vm, enum err_kind err);
/* Returns whether a request of an earlier owner about a VM may still arrive. */
bool owner_intents_may_be_under_way(const struct owner_fleet *fleet,
				    const char *vm);
/* Returns whether an operation on a VM respects the minimum interval after
 * requests of earlier owners. */
bool owner_intents_allow_operation(const struct owner_fleet *fleet,
				   const struct owner_vm *vm);
/* Returns whether the minimum interval has elapsed since the takeover, so that
 * all answered requests of earlier owners are visible in the list of VMs. */
bool owner_vm_order_interval_has_elapsed(const struct owner_fleet *fleet);

/* owner_waves.c */
extern const struct watcher_ops owner_waves_ops;
void owner_waves_advance(struct owner_fleet *fleet);
void owner_wave_mark_vm_done(struct owner_fleet *fleet, struct owner_vm *vm);
void owner_wave_free(gpointer data);

/* owner_pools.c */
void owner_pools_rebalance(struct owner_fleet *fleet);

#endif
