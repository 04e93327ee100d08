/**
 * @file platform_client.h
 * @brief The platform: key-value service, VM list and VM actions.
 *
 * Prefix: platform_. The calls go through one table of function pointers,
 * filled by an adapter for each wire protocol. All calls are asynchronous: the
 * callback is called once, later, from the loop. A write that ended in
 * ERR_TIMEOUT, ERR_CUT or ERR_UNAVAILABLE may have taken effect; read back.
 */
#ifndef PLATFORM_H
#define PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "loop.h"
#include "http_client.h"

/** Prefix of head, placement number and manager, read by every process. */
#define PLATFORM_PREFIX_HEARTBEAT "/sassafrascart/pulse/"
/** Key of the head, which is the newest roll. */
#define PLATFORM_KEY_HEAD "/sassafrascart/pulse/head"
/** Key that repeats the number of the newest placement. */
#define PLATFORM_KEY_PLACEMENT_NUMBER "/sassafrascart/pulse/placement"
/** Key with the identity of the manager, bound to the lease of its process. */
#define PLATFORM_KEY_MANAGER "/sassafrascart/pulse/manager"
/** Key of the placement of VMs in pools. */
#define PLATFORM_KEY_PLACEMENT "/sassafrascart/placement"
/** Prefix of published bundles, followed by the version. */
#define PLATFORM_PREFIX_BUNDLE "/sassafrascart/bundle/"
/** Prefix of the record of each roll, followed by its number. */
#define PLATFORM_PREFIX_ROLL "/sassafrascart/roll/"
/** Prefix of members, followed by the process's identity. */
#define PLATFORM_PREFIX_MEMBER "/sassafrascart/member/"
/** Prefix of recorded intents, followed by the intent's identity. */
#define PLATFORM_PREFIX_INTENT "/sassafrascart/intent/"
/** Prefix of idempotency-key claims, followed by the key's digest. */
#define PLATFORM_PREFIX_CLAIM "/sassafrascart/claim/"
/** Prefix of the records of maintenance waves, followed by the name. */
#define PLATFORM_PREFIX_WAVE "/sassafrascart/wave/"
/** Prefix of the recorded reasons of decisions, see plr.h. */
#define PLATFORM_PREFIX_DECISION "/sassafrascart/decision/"

/** Where the platform is and how it may be used. */
struct platform_config {
	/** dotted IPv4 address */
	const char *ip;
	uint16_t port;
	uint32_t timeout_ms;
	/** calls a second that this process may make, and the burst */
	uint32_t rate_per_s;
	uint32_t rate_burst;
};

/** A key with its value; valid only during the callback. */
struct platform_kv {
	const char *key;
	/** terminated by a zero byte that value_len does not count */
	const char *value;
	size_t value_len;
	int64_t create_revision;
	int64_t mod_revision;
	int64_t lease;
	/** of a watch: the key was deleted at mod_revision */
	bool deleted;
};

/** What a range or a transaction returned; valid during the callback. */
struct platform_result {
	int64_t revision;
	/** whether the transaction's comparisons held; true for a range */
	bool succeeded;
	/** found keys; after a failed comparison the compared keys */
	const struct platform_kv *kvs;
	size_t kv_count;
};

/** Which revision of a key a comparison looks at. */
enum platform_target {
	PLATFORM_TARGET_CREATE_REVISION,
	PLATFORM_TARGET_MOD_REVISION,
};

/** A comparison for equality; revision 0 means that the key is absent. */
struct platform_compare {
	const char *key;
	enum platform_target target;
	int64_t revision;
};

/** A write of a transaction; a NULL value deletes the key. */
struct platform_write {
	const char *key;
	const char *value;
	/** lease the key is bound to, 0 for none */
	int64_t lease;
};

/** A transaction: all writes happen when all comparisons hold. */
struct platform_txn {
	const struct platform_compare *compares;
	size_t compare_count;
	const struct platform_write *writes;
	size_t write_count;
};

/** State of a VM as the platform's lagging list gives it. */
enum platform_vm_state {
	PLATFORM_VM_LIVE,
	PLATFORM_VM_DRAINING,
	PLATFORM_VM_DOWN,
};

/** One VM of the platform's list; valid during the callback. */
struct platform_vm {
	const char *name;
	enum platform_vm_state state;
};

/** Actions on a VM; each is safe to repeat under the same intent. */
enum platform_action {
	PLATFORM_ACTION_DRAIN,
	PLATFORM_ACTION_REBOOT,
	PLATFORM_ACTION_RESUME,
};

/** Ends a range, watch or transaction; result is NULL unless err is ERR_NONE.
 */
typedef void (*platform_cb)(void *data, enum err_kind err,
			    const struct platform_result *result);
/** Ends a lease call; ERR_NOT_FOUND when the lease has expired. */
typedef void (*platform_lease_cb)(void *data, enum err_kind err, int64_t lease,
				  uint32_t ttl_s);
/** Ends a listing of VMs. */
typedef void (*platform_vms_cb)(void *data, enum err_kind err,
				const struct platform_vm *vms, size_t count);
/** Ends an action. */
typedef void (*platform_action_cb)(void *data, enum err_kind err);

/** What an adapter provides. */
struct platform_ops {
	/** name used in settings */
	const char *name;
	enum err_kind (*create)(struct loop *loop,
				const struct platform_config *config,
				void **out);
	void (*destroy)(void *self);
	/** returns what was sent and received, owned by the adapter */
	const struct http_client_counts *(*counts)(const void *self);
	void (*range)(void *self, const char *key, bool prefix, platform_cb cb,
		      void *data);
	/** NULL where the platform has no watch that waits */
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

/** @brief Tells whether there is an adapter of a given name. */
bool platform_adapter_exists(const char *adapter);

/**
 * @brief Creates a connection through the adapter of a given name.
 * @return ERR_NONE, ERR_NOT_FOUND for an unknown adapter, ERR_INVALID for a
 *         bad address
 */
enum err_kind platform_create(struct loop *loop, const char *adapter,
			      const struct platform_config *config,
			      struct platform **out);

/**
 * @brief Creates a connection through a table that is not in the list.
 * @param ops must outlive the connection
 * @return as platform_create()
 */
enum err_kind platform_create_with_ops(struct loop *loop,
				       const struct platform_ops *ops,
				       const struct platform_config *config,
				       struct platform **out);

/**
 * @brief Frees the connection; open calls end without their callbacks.
 * @param platform may be NULL
 */
void platform_destroy(struct platform *platform);

/** @brief Reads one key, or all keys under a prefix. */
void platform_range(struct platform *platform, const char *key, bool prefix,
		    platform_cb cb, void *data);

/**
 * @brief Waits for changes of the keys under a prefix.
 *
 * Ends with the changes after a revision in order, none when the time is over.
 * The next watch continues from the result's revision. ERR_STALE means that
 * the platform no longer has that history: read the keys again. Only for
 * adapters with a watch.
 */
void platform_watch(struct platform *platform, const char *prefix,
		    int64_t after_revision, uint32_t wait_ms, platform_cb cb,
		    void *data);

/** @brief Runs a transaction. The arguments are copied. */
void platform_txn(struct platform *platform, const struct platform_txn *txn,
		  platform_cb cb, void *data);

/** @brief Grants a lease. */
void platform_lease_grant(struct platform *platform, uint32_t ttl_s,
			  platform_lease_cb cb, void *data);

/** @brief Renews a lease for its full duration. */
void platform_lease_keep_alive(struct platform *platform, int64_t lease,
			       platform_lease_cb cb, void *data);

/** @brief Ends a lease and deletes the keys bound to it. */
void platform_lease_revoke(struct platform *platform, int64_t lease,
			   platform_lease_cb cb, void *data);

/** @brief Reads the platform's list of VMs, which lags behind. */
void platform_vm_list(struct platform *platform, platform_vms_cb cb,
		      void *data);

/** @brief Acts on a VM under a recorded intent; safe to repeat. */
void platform_vm_action(struct platform *platform, const char *vm,
			enum platform_action action, const char *intent,
			platform_action_cb cb, void *data);

/** @brief Returns the word that the wire uses for an action. */
const char *platform_action_name(enum platform_action action);

/** @brief Returns how many calls were made and how many refused locally. */
void platform_call_counts(const struct platform *platform, uint64_t *calls,
			  uint64_t *rate_limited);

/** @brief Returns the bytes of all calls, owned by the connection. */
const struct http_client_counts *
platform_byte_counts(const struct platform *platform);

#endif
