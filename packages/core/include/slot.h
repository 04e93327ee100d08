/**
 * @file slot.h
 * @brief Sharing of the backend servers' slots between all entry processes.
 *
 * Prefix: slot_. Each pool has one owner process, chosen by rendezvous hashing.
 * The other processes hold slots of its VMs under leases. A holder reports its
 * whole state with a sequence number; the owner answers with the slots that
 * the holder has in total. A holder takes only grants that answer its newest
 * report, so that a report tells the owner exactly what the holder may use:
 * messages may be lost, repeated or late.
 *
 * A process uses one connection for each request in progress, so that the
 * connections of a VM are bounded as its slots are. With no owner that
 * answers, processes use static shares, which add up to the VM's slots;
 * requests started before still hold theirs, so that a VM may run up to twice
 * its slots until they end. slot_vm.slots is therefore at most half of the
 * VM's connections.
 */
#ifndef SLOT_H
#define SLOT_H

#include <stdbool.h>
#include <stdint.h>

/** VMs of a pool that one message can name. */
#define SLOT_VMS_MAX 256
/** Bound on the slots in use when there is no contention. */
#define SLOT_IN_USE_UNLIMITED UINT32_MAX
/** Pause before a report that has not been answered is sent anew. */
#define SLOT_REPORT_RETRY_MS 50
/** Least time between two reports about more demand. */
#define SLOT_REPORT_MIN_INTERVAL_MS 5
/** Time between reports while requests wait. */
#define SLOT_WAITING_REPORT_MS 100
/** Time between reports that only renew leases. */
#define SLOT_LEASE_RENEW_MS 500
/** Life of a lease as its holder counts it, from the report it answers. */
#define SLOT_HOLDER_LEASE_MS 1500
/** Life of a lease as the owner counts it. */
#define SLOT_OWNER_LEASE_MS 2000
/** Silence of the owner after which a holder uses its static share. */
#define SLOT_OWNER_TIMEOUT_MS 300
/** Time for which a new owner at most waits for all members' reports. */
#define SLOT_OWNER_RECOVERY_MS 2000
/** Idle slots are handed back when no request was in progress this long. */
#define SLOT_IDLE_TIMEOUT_MS 500
/** Idle slots that a holder keeps for requests to come. */
#define SLOT_SPARE_MAX 4

/** A VM of the pool as a process sees it. */
struct slot_vm {
	/** hash of the VM's name */
	uint64_t key;
	/** slots that all processes together may use */
	uint32_t slots;
	/** requests of this process in progress on the VM */
	uint32_t in_use;
	/** whether this process would send new work to it */
	bool ready;
};

/** A holder's slots of one VM. */
struct slot_holding {
	uint64_t vm;
	uint32_t held;
	/** the holder wants no slots of this VM */
	bool avoid;
};

/** The whole state of a holder. */
struct slot_report {
	uint64_t pool;
	uint64_t holder;
	/** start of the holder's process */
	uint64_t incarnation;
	uint64_t sequence;
	uint32_t in_use;
	/** requests that wait for a slot */
	uint32_t waiting;
	/** further idle slots that it would keep */
	uint32_t spare;
	uint32_t count;
	struct slot_holding holdings[SLOT_VMS_MAX];
};

/** What a holder has in total, in answer to a report. */
struct slot_grant {
	uint64_t pool;
	uint64_t holder;
	/** the holder's process and report that it answers */
	uint64_t incarnation;
	uint64_t sequence;
	/** grows with each grant for the same report */
	uint32_t version;
	/** the owner is new and only confirms what was reported */
	bool recovering;
	/** slots in use above which no further request is to start */
	uint32_t in_use_max;
	uint32_t count;
	struct slot_holding holdings[SLOT_VMS_MAX];
};

/** The holder's side of one pool, opaque. */
struct slot_holder;

/** The owner's side of one pool, opaque. */
struct slot_owner;

/** @brief Hashes the name of a pool, VM or member. */
uint64_t slot_key(const char *name);

/**
 * @brief Chooses the owner of a pool by rendezvous hashing.
 * @return index in members; count must not be 0
 */
uint32_t slot_owner_choose(uint64_t pool, const uint64_t *members,
			   uint32_t count);

/**
 * @brief Computes a member's static share of a VM's slots.
 *
 * The shares of all members add up to the slots.
 */
uint32_t slot_static_share(const struct slot_vm *vm, const uint64_t *members,
			   uint32_t count, uint64_t self);

/**
 * @brief Creates a holder that is alone and uses all slots.
 * @param pool key of the pool
 * @param self key of this process
 * @param spare_max idle slots to keep at most, SLOT_SPARE_MAX or 0
 */
struct slot_holder *slot_holder_create(uint64_t pool, uint64_t self,
				       uint64_t incarnation,
				       uint32_t spare_max);

/** @brief Frees a holder. @param holder may be NULL */
void slot_holder_destroy(struct slot_holder *holder);

/** @brief Replaces the pool's VMs; leases of those that stay are kept. */
void slot_holder_set_vms(struct slot_holder *holder, const struct slot_vm *vms,
			 uint32_t count);

/** @brief Returns the VMs, whose in_use and ready the caller updates. */
struct slot_vm *slot_holder_vms(struct slot_holder *holder, uint32_t *count);

/**
 * @brief Replaces the members, this process among them unless it leaves.
 *
 * After a change of the owner the next poll reports to the new one at once.
 *
 * @param alone no other process may hold slots; members may then be empty
 */
void slot_holder_set_members(struct slot_holder *holder,
			     const uint64_t *members, uint32_t count,
			     bool alone, uint64_t now_ms);

/** @brief Returns the owner's key, 0 when the process is alone. */
uint64_t slot_holder_owner(const struct slot_holder *holder);

/**
 * @brief Tells whether a report is due and fills it.
 * @param waiting requests that wait and found no slot
 * @return whether to send the report to the owner
 */
bool slot_holder_poll(struct slot_holder *holder, uint32_t waiting,
		      uint64_t now_ms, struct slot_report *report);

/** @brief Takes a grant. @return false when it is outdated and ignored */
bool slot_holder_apply_grant(struct slot_holder *holder,
			     const struct slot_grant *grant, uint64_t now_ms);

/**
 * @brief Computes the slots of each VM that this process may use now.
 * @param allowed filled, an item for each VM
 */
void slot_holder_allowed_slots(struct slot_holder *holder, uint64_t now_ms,
			       uint32_t *allowed);

/** @brief Estimates the slots that this process can count on. */
uint32_t slot_holder_expected_slots(struct slot_holder *holder,
				    uint64_t now_ms);

/** @brief Tells whether the static share is in use. */
bool slot_holder_is_fallback(const struct slot_holder *holder, uint64_t now_ms);

/** @brief Creates the owner's side, learning what others hold. */
struct slot_owner *slot_owner_create(uint64_t pool, uint64_t now_ms);

/** @brief Frees an owner. @param owner may be NULL */
void slot_owner_destroy(struct slot_owner *owner);

/** @brief Replaces the pool's VMs; leases of those that stay are kept. */
void slot_owner_set_vms(struct slot_owner *owner, const struct slot_vm *vms,
			uint32_t count);

/** @brief Returns the VMs, whose ready the caller updates. */
struct slot_vm *slot_owner_vms(struct slot_owner *owner, uint32_t *count);

/**
 * @brief Replaces the processes whose reports a learning owner awaits.
 *
 * Those that shut down are among them: they hold slots until they end.
 */
void slot_owner_set_members(struct slot_owner *owner, const uint64_t *members,
			    uint32_t count);

/** @brief Takes a report; slot_owner_next_grant() then tells what to answer. */
void slot_owner_record_report(struct slot_owner *owner,
			      const struct slot_report *report,
			      uint64_t now_ms);

/** @brief Ends leases that were not renewed and grants what is free. */
void slot_owner_tick(struct slot_owner *owner, uint64_t now_ms);

/** @brief Fills the next grant to be sent. @return false for none */
bool slot_owner_next_grant(struct slot_owner *owner, struct slot_grant *grant);

/** @brief Adds up the slots of a VM that are granted. */
uint32_t slot_owner_granted_slots(const struct slot_owner *owner, uint64_t vm);

#endif
