/**
 * @file owner_fleet.h
 * @brief What the files of the fleet share: VMs, their orders and waves.
 */
#ifndef OWNER_FLEET_H
#define OWNER_FLEET_H

#include "fol.h"
#include "owner_private.h"

/** Pace of the fleet's decisions. */
#define OWNER_FLEET_TICK_MS 100

/** What is being done with a VM. */
enum owner_vm_phase {
	OWNER_VM_STEADY,
	/** its worker gets no tasks until it has none */
	OWNER_VM_DRAINING,
	/** the order has been sent, its effect is not seen yet */
	OWNER_VM_OPERATING,
};

/** A VM of the platform's list. */
struct owner_vm {
	char *name;
	char *pool;
	enum jpt_vm_state state;
	bool listed;
	enum owner_vm_phase phase;
	uint64_t phase_started_ms;
	/** since when its worker has had no task, 0 if it has */
	uint64_t idle_since_ms;
	/** not taken for a wave before this, after it could not be emptied */
	uint64_t backoff_until_ms;
	/** a call is under way */
	bool call_in_flight;
	/** when a call ended without an answer, 0 for none */
	uint64_t unanswered_since_ms;
	/** worker that is or was there when it was to be emptied, owned */
	char *drained_worker;
	/** pool to move to, owned, or NULL for maintenance */
	char *target_pool;
	struct owner_wave *wave;
	/** worker that the list shows on it, owned, NULL for none */
	char *worker;
	/** a pool that refused it, owned */
	char *rejecting_pool;
	/** number of the intent to order it, 0 for none, and its last use */
	uint64_t intent_number;
	uint64_t intent_used_ms;
};

/** A maintenance wave that has not ended. */
struct owner_wave {
	uint64_t number;
	uint64_t deadline_ms;
	uint32_t max_parallel;
	/** names of VMs, those done included; owned */
	GPtrArray *vms;
	/** set of names that are done; owned */
	GHashTable *done_vms;
	bool progress_loaded;
	bool finished;
};

struct owner_fleet {
	struct owner *owner;
	struct fol_follower *waves_follower;
	/** number to struct owner_wave */
	GHashTable *waves;
	/** name to struct owner_vm */
	GHashTable *vms;
	/** VM to its newest worker that is not over; made anew each tick */
	GHashTable *worker_by_vm;
	bool list_in_flight;
	bool list_received;
	uint64_t list_received_ms;
	uint64_t list_requested_ms;
	/** set of names of VMs that an earlier owner may have given orders to
	 *  of late; read once, and malformed if unknown */
	GHashTable *prior_intents;
	bool intents_read;
	bool intents_read_in_flight;
	bool intents_malformed;
	/** newest intent, and those up to which are written and stored */
	uint64_t newest_intent;
	uint64_t written_intent;
	uint64_t stored_intent;
	/** numbers of the writes that are not stored yet */
	GQueue intent_writes;
	struct tmr_entry timer;
	struct cel_cell *weak_ref;
};

/* owner_fleet.c */
struct wrk_worker *owner_vm_worker(struct owner_fleet *fleet,
				   const struct owner_vm *vm);
void owner_vm_drain(struct owner_fleet *fleet, struct owner_vm *vm,
		    struct owner_wave *wave, const char *to_pool);

/* Goes on with the VMs that are being emptied or were ordered. */
void owner_vms_advance(struct owner_fleet *fleet);

/* owner_intents.c: the VMs that an owner gives orders to are written down
 * before, so that the next owner knows which are free of the gap between two
 * owners. */
void owner_intents_load(struct owner_fleet *fleet);
void owner_intents_write(struct owner_fleet *fleet);
/* Tells whether an order to a VM may be sent; else notes the intent. */
bool owner_intent_ensure_stored(struct owner_fleet *fleet, struct owner_vm *vm);
/* Tells whether the gap after orders of an earlier owner leaves a VM free. */
bool owner_intents_allow_operation(const struct owner_fleet *fleet,
				   const struct owner_vm *vm);
/* Tells whether the gap is over for all VMs. */
bool owner_takeover_gap_is_over(const struct owner_fleet *fleet);

/* owner_waves.c */
extern const struct fol_ops owner_waves_ops;
void owner_waves_advance(struct owner_fleet *fleet);
void owner_wave_mark_vm_done(struct owner_fleet *fleet, struct owner_vm *vm);
void owner_wave_free(gpointer data);

/* owner_pools.c */
void owner_pools_rebalance(struct owner_fleet *fleet);

#endif
