/**
 * @file slot.h
 * @brief Distribution of the backend servers' slots among gateway processes.
 *
 * Prefix: slot_. Each pool has one owner process, chosen by rendezvous hashing.
 * The processes hold slots of the pool's VMs under leases from the owner. A
 * holder reports its whole state with a sequence number; the owner answers with
 * a grant, the total slots of the holder. A holder accepts only grants for its
 * newest report, so a report tells the owner exactly what the holder may use,
 * even if messages are lost, repeated or late.
 *
 * A process uses one connection for each request in flight, so limiting slots
 * also limits the connections of a VM. While no owner answers, processes use
 * static shares, which add up to the VM's slots. Requests started before that
 * still occupy their slots, so a VM may run up to twice its slots until they
 * end; slot_vm.slots is therefore at most half of the VM's connections.
 */
#ifndef SLOT_H
#define SLOT_H

#include <stdbool.h>
#include <stdint.h>

/** Maximum number of VMs of a pool in one message. */
#define SLOT_VMS_MAX 256
/** Value of slot_grant.in_use_max without contention. */
#define SLOT_IN_USE_UNLIMITED UINT32_MAX
/** Delay after which an unanswered report is sent again. */
#define SLOT_REPORT_RETRY_MS 50
/** Minimum interval between reports of more demand or of surplus slots. */
#define SLOT_REPORT_MIN_INTERVAL_MS 5
/** Interval between reports while requests wait or spare slots run low. */
#define SLOT_WAITING_REPORT_MS 100
/** Interval between reports that only renew leases. */
#define SLOT_LEASE_RENEW_MS 500
/** Lease duration as counted by the holder, from sending the report. */
#define SLOT_HOLDER_LEASE_MS 1500
/** Lease duration as counted by the owner, from receiving the report. */
#define SLOT_OWNER_LEASE_MS 2000
/** Time that a holder waits for a grant before it uses its static share. */
#define SLOT_OWNER_TIMEOUT_MS 300
/** Maximum time that a new owner waits for all members' reports. */
#define SLOT_OWNER_RECOVERY_MS 2000
/** Time without requests after which idle slots are returned. */
#define SLOT_IDLE_TIMEOUT_MS 500
/** Maximum number of idle slots that a holder keeps for new requests. */
#define SLOT_SPARE_MAX 4

/** A VM of the pool, as a process sees it. */
struct slot_vm {
	/** hash of the VM's name */
	uint64_t key;
	/** slots that all processes together may use */
	uint32_t slots;
	/** requests of this process in flight on the VM */
	uint32_t in_use;
	/** whether this process would send new requests to it */
	bool ready;
};

/** A holder's slots of one VM. */
struct slot_holding {
	uint64_t vm;
	uint32_t held;
	/** the holder does not want to be granted slots of this VM */
	bool avoid;
};

/** A holder's report of its whole state to the owner. */
struct slot_report {
	uint64_t pool;
	uint64_t holder;
	/** incarnation of the holder's process */
	uint64_t incarnation;
	uint64_t sequence;
	uint32_t in_use;
	/** requests that wait for a slot */
	uint32_t waiting;
	/** additional idle slots that the holder would keep */
	uint32_t spare;
	uint32_t count;
	struct slot_holding holdings[SLOT_VMS_MAX];
};

/** The owner's answer to a report: the total slots of the holder. */
struct slot_grant {
	uint64_t pool;
	uint64_t holder;
	/** incarnation and sequence number of the answered report */
	uint64_t incarnation;
	uint64_t sequence;
	/** increases with each grant for the same report */
	uint32_t version;
	/** the owner is new or was paused, and only confirms the reported
	 *  slots */
	bool recovering;
	/** number of slots in use at which the holder may start no request */
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
 * @brief Creates a holder.
 *
 * Until slot_holder_set_members() is called, it is taken to be the only process
 * and may use all slots.
 *
 * @param pool key of the pool
 * @param self key of this process
 * @param spare_max maximum number of idle slots to keep, SLOT_SPARE_MAX or 0
 */
struct slot_holder *slot_holder_create(uint64_t pool, uint64_t self,
				       uint64_t incarnation,
				       uint32_t spare_max);

/** @brief Frees a holder. @param holder may be NULL */
void slot_holder_destroy(struct slot_holder *holder);

/** @brief Replaces the pool's VMs; leases of those that stay are kept. */
void slot_holder_set_vms(struct slot_holder *holder, const struct slot_vm *vms,
			 uint32_t count);

/**
 * @brief Returns the VMs; the caller keeps their in_use and ready up to date.
 */
struct slot_vm *slot_holder_vms(struct slot_holder *holder, uint32_t *count);

/**
 * @brief Replaces the members, among them this process unless it shuts down.
 *
 * After a change of the owner, the next poll reports to the new one at once.
 *
 * @param alone no other process can hold slots; members may be empty then
 */
void slot_holder_set_members(struct slot_holder *holder,
			     const uint64_t *members, uint32_t count,
			     bool alone, uint64_t now_ms);

/** @brief Returns the owner's key, 0 if this is the only process. */
uint64_t slot_holder_owner(const struct slot_holder *holder);

/**
 * @brief Fills a report if one is due.
 * @param waiting requests that wait because no slot was free
 * @return whether to send the report to the owner
 */
bool slot_holder_poll(struct slot_holder *holder, uint32_t waiting,
		      uint64_t now_ms, struct slot_report *report);

/** @brief Applies a grant. @return false if it is outdated and was ignored */
bool slot_holder_apply_grant(struct slot_holder *holder,
			     const struct slot_grant *grant, uint64_t now_ms);

/**
 * @brief Computes the slots of each VM that this process may use now.
 * @param allowed filled with one number for each VM
 */
void slot_holder_allowed_slots(struct slot_holder *holder, uint64_t now_ms,
			       uint32_t *allowed);

/** @brief Estimates the total slots that this process can rely on. */
uint32_t slot_holder_expected_slots(struct slot_holder *holder,
				    uint64_t now_ms);

/** @brief Returns whether the static share is in use. */
bool slot_holder_is_fallback(const struct slot_holder *holder, uint64_t now_ms);

/**
 * @brief Creates an owner.
 *
 * It grants no further slots until all members have reported those that they
 * hold, or until SLOT_OWNER_RECOVERY_MS have passed.
 */
struct slot_owner *slot_owner_create(uint64_t pool, uint64_t now_ms);

/** @brief Frees an owner. @param owner may be NULL */
void slot_owner_destroy(struct slot_owner *owner);

/** @brief Replaces the pool's VMs; leases of those that stay are kept. */
void slot_owner_set_vms(struct slot_owner *owner, const struct slot_vm *vms,
			uint32_t count);

/** @brief Returns the VMs; the caller keeps their ready up to date. */
struct slot_vm *slot_owner_vms(struct slot_owner *owner, uint32_t *count);

/**
 * @brief Replaces the processes whose reports a recovering owner waits for.
 *
 * This includes processes that are shutting down, as they hold slots until they
 * exit.
 */
void slot_owner_set_members(struct slot_owner *owner, const uint64_t *members,
			    uint32_t count);

/**
 * @brief Records a report; slot_owner_next_grant() then returns the answers.
 */
void slot_owner_record_report(struct slot_owner *owner,
			      const struct slot_report *report,
			      uint64_t now_ms);

/** @brief Expires leases that were not renewed and grants free slots. */
void slot_owner_tick(struct slot_owner *owner, uint64_t now_ms);

/** @brief Fills the next grant to send. @return false if there is none */
bool slot_owner_next_grant(struct slot_owner *owner, struct slot_grant *grant);

/** @brief Returns the slots of a VM that are granted to all holders. */
uint32_t slot_owner_granted_slots(const struct slot_owner *owner, uint64_t vm);

#endif
