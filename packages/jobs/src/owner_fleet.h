/**
 * @file owner_fleet.h
 * @brief What the files of the fleet share: VMs, their orders and waves.
 */
#ifndef OWN_FLEET_H
#define OWN_FLEET_H

#include "watcher.h"
#include "owner_private.h"

/** Pace of the fleet's decisions. */
#define OWN_FLEET_TICK_MS 100

/** What is being done with a VM. */
enum own_vm_phase {
	OWN_VM_SETTLED,
	/** its worker gets no tasks until it has none */
	OWN_VM_EMPTYING,
	/** the order has been sent, its effect is not seen yet */
	OWN_VM_ORDERED,
};

/** A VM of the platform's list. */
struct own_vm {
	char *name;
	char *pool;
	enum adapter_vm_state state;
	bool listed;
	enum own_vm_phase phase;
	uint64_t phase_since_ms;
	/** since when its worker has had no task, 0 if it has */
	uint64_t idle_since_ms;
	/** not taken for a wave before this, after it could not be emptied */
	uint64_t not_before_ms;
	/** a call is under way */
	bool calling;
	/** when a call ended without an answer, 0 for none */
	uint64_t unanswered_ms;
	/** worker that is or was there when it was to be emptied, owned */
	char *leaving_worker;
	/** pool to move to, owned, or NULL for maintenance */
	char *to_pool;
	struct own_wave *wave;
	/** worker that the list shows on it, owned, NULL for none */
	char *worker;
	/** a pool that refused it, owned */
	char *refused_pool;
	/** number of the intent to order it, 0 for none, and its last use */
	uint64_t intent;
	uint64_t intended_ms;
};

/** A maintenance wave that has not ended. */
struct own_wave {
	uint64_t number;
	uint64_t due_ms;
	uint32_t most;
	/** names of VMs, those done included; owned */
	GPtrArray *vms;
	/** set of names that are done; owned */
	GHashTable *done;
	bool told_running;
	bool finished;
};

struct own_fleet {
	struct owner *owner;
	struct watcher *waves_follower;
	/** number to struct own_wave */
	GHashTable *waves;
	/** name to struct own_vm */
	GHashTable *vms;
	/** VM to its newest worker that is not over; made anew each tick */
	GHashTable *worker_by_vm;
	bool listing;
	bool listed_once;
	uint64_t listed_ms;
	uint64_t asked_ms;
	/** set of names of VMs that an earlier owner may have given orders to
	 *  of late; read once, and malformed if unknown */
	GHashTable *ordered_before;
	bool intents_read;
	bool reading_intents;
	bool intents_unknown;
	/** newest intent, and those up to which are written and stored */
	uint64_t intents_number;
	uint64_t intents_written;
	uint64_t intents_stored;
	/** numbers of the writes that are not stored yet */
	GQueue intents_sent;
	struct timer timer;
	struct weak_ref *cell;
};

/* own_fleet.c */
struct worker *own_fleet_worker(struct own_fleet *fleet,
				const struct own_vm *vm);
void own_fleet_empty(struct own_fleet *fleet, struct own_vm *vm,
		     struct own_wave *wave, const char *to_pool);

/* Goes on with the VMs that are being emptied or were ordered. */
void own_fleet_vms_run(struct own_fleet *fleet);

/* own_intents.c: the VMs that an owner gives orders to are written down before,
 * so that the next owner knows which are free of the gap between two owners. */
void own_intents_read(struct own_fleet *fleet);
void own_intents_write(struct own_fleet *fleet);
/* Tells whether an order to a VM may be sent; else notes the intent. */
bool own_intent_is_stored(struct own_fleet *fleet, struct own_vm *vm);
/* Tells whether the gap after orders of an earlier owner leaves a VM free. */
bool own_intents_allow(const struct own_fleet *fleet, const struct own_vm *vm);
/* Tells whether the gap is over for all VMs. */
bool own_fleet_gap_is_over(const struct own_fleet *fleet);

/* own_waves.c */
extern const struct watcher_ops own_waves_ops;
void own_waves_run(struct own_fleet *fleet);
void own_wave_vm_done(struct own_fleet *fleet, struct own_vm *vm);
void own_wave_free(gpointer data);

/* own_pools.c */
void own_pools_run(struct own_fleet *fleet);

#endif
