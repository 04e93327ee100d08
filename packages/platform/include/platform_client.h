/**
 * @file platform_client.h
 * @brief Client of the platform: key-value store, leases, VM list and VM
 * actions.
 *
 * Prefix: platform_. Each wire protocol has an adapter, which is a table of
 * functions. All calls are asynchronous: the callback runs once, from the event
 * loop, after the call has returned. A write that fails with ERR_TIMEOUT,
 * ERR_CUT or ERR_UNAVAILABLE may have taken effect; read the key to find out.
 * A transaction that fails with ERR_INVALID was refused for what it contains,
 * as with a value that is too large, and has not taken effect.
 */
#ifndef PLATFORM_CLIENT_H
#define PLATFORM_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "http_client.h"
#include "loop.h"

/** Prefix of head, placement number and manager; every process polls it. */
#define PLATFORM_PREFIX_HEARTBEAT "/sassafrascart/pulse/"
/** Key of the head, which records the newest roll. A roll is the rollout of a
 * bundle. */
#define PLATFORM_KEY_HEAD "/sassafrascart/pulse/head"
/** Key with the number of the newest placement. */
#define PLATFORM_KEY_PLACEMENT_NUMBER "/sassafrascart/pulse/placement"
/** Key with the id of the elected manager, bound to the manager's lease. */
#define PLATFORM_KEY_MANAGER "/sassafrascart/pulse/manager"
/** Key of the placement, which assigns VMs to pools. */
#define PLATFORM_KEY_PLACEMENT "/sassafrascart/placement"
/** Prefix of published bundles, followed by the version. */
#define PLATFORM_PREFIX_BUNDLE "/sassafrascart/bundle/"
/** Prefix of the record of each roll, followed by its number. */
#define PLATFORM_PREFIX_ROLL "/sassafrascart/roll/"
/** Prefix of member records, followed by the id of the process. */
#define PLATFORM_PREFIX_MEMBER "/sassafrascart/member/"
/** Prefix of intents to maintain a VM, followed by the id of the intent. */
#define PLATFORM_PREFIX_INTENT "/sassafrascart/intent/"
/** Prefix of claims of idempotency keys, followed by the digest of the key. */
#define PLATFORM_PREFIX_CLAIM "/sassafrascart/claim/"
/** Prefix of maintenance wave records, followed by the name of the wave. */
#define PLATFORM_PREFIX_WAVE "/sassafrascart/wave/"
/** Prefix of decision records, see fleet_record.h. */
#define PLATFORM_PREFIX_DECISION "/sassafrascart/decision/"

/** Address, timeout and rate limit of a connection to the platform. */
struct platform_config {
	/** dotted IPv4 address */
	const char *ip;
	uint16_t port;
	uint32_t timeout_ms;
	/** calls per second that this process may make; a token bucket */
	uint32_t rate_per_s;
	uint32_t rate_burst;
};

/** A key with its value; valid only during the callback. */
struct platform_kv {
	const char *key;
	/** NUL-terminated; value_len excludes the terminator */
	const char *value;
	size_t value_len;
	int64_t create_revision;
	int64_t mod_revision;
	/** lease that the key is bound to, 0 for none */
	int64_t lease;
	/** watch only: the key was deleted at mod_revision */
	bool deleted;
};

/** Result of a range, watch or transaction; valid only during the callback. */
struct platform_result {
	int64_t revision;
	/** true if all comparisons of the transaction held; true for a range */
	bool succeeded;
	/** keys found; after a failed comparison the compared keys */
	const struct platform_kv *kvs;
	size_t kv_count;
};

/** Revision of a key that a comparison uses. */
enum platform_target {
	PLATFORM_TARGET_CREATE_REVISION,
	PLATFORM_TARGET_MOD_REVISION,
};

/** A test that a key has a revision; 0 means that the key does not exist. */
struct platform_compare {
	const char *key;
	enum platform_target target;
	int64_t revision;
};

/** A write of a transaction; a NULL value deletes the key. */
struct platform_write {
	const char *key;
	const char *value;
	/** lease to bind the key to, 0 for none */
	int64_t lease;
};

/** A transaction: applies all writes atomically if all comparisons hold. */
struct platform_txn {
	const struct platform_compare *compares;
	size_t compare_count;
	const struct platform_write *writes;
	size_t write_count;
};

/** State of a VM in the platform's list, which may be out of date. */
enum platform_vm_state {
	PLATFORM_VM_LIVE,
	PLATFORM_VM_DRAINING,
	PLATFORM_VM_DOWN,
};

/** A VM in the platform's list; valid only during the callback. */
struct platform_vm {
	const char *name;
	enum platform_vm_state state;
};

/** Maintenance actions on a VM, idempotent for the same intent. */
enum platform_action {
	PLATFORM_ACTION_DRAIN,
	PLATFORM_ACTION_REBOOT,
	PLATFORM_ACTION_RESUME,
};

/** Callback of a range, watch or transaction; result is NULL on error. */
typedef void (*platform_cb)(void *data, enum err_kind err,
			    const struct platform_result *result);
/** Callback of a lease call; ERR_NOT_FOUND if the lease has expired. */
typedef void (*platform_lease_cb)(void *data, enum err_kind err, int64_t lease,
				  uint32_t ttl_s);
/** Callback of platform_vm_list(). */
typedef void (*platform_vms_cb)(void *data, enum err_kind err,
				const struct platform_vm *vms, size_t count);
/** Callback of platform_vm_action(). */
typedef void (*platform_action_cb)(void *data, enum err_kind err);

/** Operations of an adapter. */
struct platform_ops {
	/** value of the setting platform-adapter */
	const char *name;
	enum err_kind (*create)(struct loop *loop,
				const struct platform_config *config,
				void **out);
	void (*destroy)(void *self);
	/** takes over an address and timeout for later calls; NULL if the
	 * adapter has a fixed address */
	void (*reconfigure)(void *self, const struct platform_config *config);
	/** returns the traffic counters, owned by the adapter */
	const struct http_client_counts *(*counts)(const void *self);
	void (*range)(void *self, const char *key, bool prefix, platform_cb cb,
		      void *data);
	/** NULL if the platform has no long-polling watch */
	void (*watch)(void *self, const char *prefix, int64_t after_revision,
		      uint32_t wait_ms, platform_cb cb, void *data);
	void (*txn)(void *self, const struct platform_txn *txn, platform_cb cb,
		    void *data);
	void (*lease_grant)(void *self, uint32_t ttl_s, platform_lease_cb cb,
			    void *data);
	void (*lease_keep_alive)(void *self, int64_t lease,
				 platform_lease_cb cb, void *data);
	void (*lease_revoke)(void *self, int64_t lease, platform_lease_cb cb,
			     void *data);
	void (*vm_list)(void *self, platform_vms_cb cb, void *data);
	void (*vm_action)(void *self, const char *vm,
			  enum platform_action action, const char *intent,
			  platform_action_cb cb, void *data);
};

/** A connection to the platform, opaque. */
struct platform;

/** @brief Returns whether there is an adapter with the given name. */
bool platform_adapter_exists(const char *adapter);

/**
 * @brief Creates a connection through the adapter with the given name.
 * @return ERR_NONE, ERR_NOT_FOUND for an unknown adapter, ERR_INVALID for a
 *         bad address
 */
enum err_kind platform_create(struct loop *loop, const char *adapter,
			      const struct platform_config *config,
			      struct platform **out);

/**
 * @brief Creates a connection through an adapter that is not built in.
 * @param ops must outlive the connection
 * @return as platform_create()
 */
enum err_kind platform_create_with_ops(struct loop *loop,
				       const struct platform_ops *ops,
				       const struct platform_config *config,
				       struct platform **out);

/**
 * @brief Frees the connection. Depending on the adapter, calls in flight end
 * without their callbacks or with ERR_CUT.
 * @param platform may be NULL
 */
void platform_destroy(struct platform *platform);

/** @brief Changes the rate limit, and for calls sent from now on the address
 * and timeout where the adapter supports it. */
void platform_reconfigure(struct platform *platform,
			  const struct platform_config *config);

/** @brief Reads one key, or all keys under a prefix. */
void platform_range(struct platform *platform, const char *key, bool prefix,
		    platform_cb cb, void *data);

/**
 * @brief Waits for changes to the keys under a prefix.
 *
 * The result has the changes after after_revision in order, or none after
 * wait_ms. Pass the revision of the result to the next watch. ERR_STALE means
 * that the platform has discarded this history: read the keys again. Requires
 * an adapter with a watch operation.
 */
void platform_watch(struct platform *platform, const char *prefix,
		    int64_t after_revision, uint32_t wait_ms, platform_cb cb,
		    void *data);

/** @brief Runs a transaction. The arguments are copied. */
void platform_txn(struct platform *platform, const struct platform_txn *txn,
		  platform_cb cb, void *data);

/** @brief Requests a new lease. */
void platform_lease_grant(struct platform *platform, uint32_t ttl_s,
			  platform_lease_cb cb, void *data);

/** @brief Renews a lease for its full time-to-live. */
void platform_lease_keep_alive(struct platform *platform, int64_t lease,
			       platform_lease_cb cb, void *data);

/** @brief Revokes a lease, which deletes the keys bound to it. */
void platform_lease_revoke(struct platform *platform, int64_t lease,
			   platform_lease_cb cb, void *data);

/** @brief Reads the platform's list of VMs, which may be out of date. */
void platform_vm_list(struct platform *platform, platform_vms_cb cb,
		      void *data);

/** @brief Requests an action on a VM; idempotent for the same intent. */
void platform_vm_action(struct platform *platform, const char *vm,
			enum platform_action action, const char *intent,
			platform_action_cb cb, void *data);

/** @brief Returns the name of an action in the protocol. */
const char *platform_action_name(enum platform_action action);

/** @brief Returns how many calls were sent and how many the local rate limit
 * rejected. */
void platform_call_counts(const struct platform *platform, uint64_t *calls,
			  uint64_t *rate_limited);

/** @brief Returns the traffic counters, owned by the connection. */
const struct http_client_counts *
platform_byte_counts(const struct platform *platform);

#endif
