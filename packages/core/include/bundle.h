/**
 * @file bundle.h
 * @brief The bundle: pools, VMs, routes, availability and maintenance.
 *
 * Prefix: bundle_. Plain data that the decision code reads. A bundle is never
 * modified after it has been parsed; it is shared by reference count.
 */
#ifndef BUNDLE_H
#define BUNDLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Index value that stands for "no such VM or pool". */
#define BUNDLE_INDEX_NONE UINT32_MAX

/** The largest failure domain whose loss a pool must survive. */
enum bundle_survive {
	BUNDLE_SURVIVE_NONE,
	BUNDLE_SURVIVE_RACK,
	BUNDLE_SURVIVE_ZONE,
};

/** How the idempotence of a route's requests is known. */
enum bundle_idempotence {
	/** by the method, as RFC 9110 section 9.2.2 defines it */
	BUNDLE_IDEMPOTENCE_METHOD,
	BUNDLE_IDEMPOTENCE_YES,
	BUNDLE_IDEMPOTENCE_NO,
};

/** A VM that may serve pools. */
struct bundle_vm {
	char *name;
	/** IPv4 address in dotted notation */
	char *ip;
	uint16_t port;
	char *availability_zone;
	char *rack;
	uint32_t slots;
	uint32_t connections;
};

/** A pool and the availability that it must keep. */
struct bundle_pool {
	char *name;
	/** VMs are taken from and returned to the spare pool */
	bool spare;
	/** indexes into bundle.vms, in order of preference */
	uint32_t *vms;
	uint32_t vm_count;
	/** VMs that the pool is to hold in normal operation */
	uint32_t target_vms;
	/** ready VMs that must remain at any moment */
	uint32_t floor_vms;
	enum bundle_survive survive;
	uint32_t queue_max_requests;
	uint64_t queue_max_bytes;
	uint32_t queue_max_wait_ms;
};

/** Maps a path prefix to a pool. */
struct bundle_route {
	char *path;
	uint32_t pool;
	enum bundle_idempotence idempotence;
	uint32_t deadline_ms;
};

/** A maintenance wave: the VMs of some pools, one after another. */
struct bundle_wave {
	char *name;
	/** minute of the UTC day at which the window opens and closes */
	uint32_t opens_minute;
	uint32_t closes_minute;
	/** indexes into bundle.pools */
	uint32_t *pools;
	uint32_t pool_count;
	/** VMs disrupted at the same time by this wave */
	uint32_t max_parallel;
	/** failures within the wave after which it halts */
	uint32_t max_failures;
};

/** Relative weights of the three costs. */
struct bundle_weights {
	uint32_t buffer;
	uint32_t moves;
	uint32_t roll_out;
};

/** A parsed bundle. */
struct bundle {
	uint64_t version;
	char *name;
	/** lower-case hexadecimal SHA-256 of the bundle's text */
	char *digest;
	struct bundle_vm *vms;
	uint32_t vm_count;
	struct bundle_pool *pools;
	uint32_t pool_count;
	struct bundle_route *routes;
	uint32_t route_count;
	struct bundle_wave *waves;
	uint32_t wave_count;
	struct bundle_weights weights;
	/** reference count, see bundle_ref() */
	uint32_t refs;
};

/**
 * @brief Creates an empty bundle with one reference.
 * @return the bundle, released by bundle_unref()
 */
struct bundle *bundle_create_empty(void);

/**
 * @brief Takes a reference.
 * @param bundle the bundle
 * @return the same bundle
 */
struct bundle *bundle_ref(struct bundle *bundle);

/**
 * @brief Drops a reference and frees the bundle with the last one.
 * @param bundle the bundle, or NULL
 */
void bundle_unref(struct bundle *bundle);

/**
 * @brief Finds a VM by name.
 * @return its index, or BUNDLE_INDEX_NONE
 */
uint32_t bundle_vm_find(const struct bundle *bundle, const char *name);

/**
 * @brief Finds a pool by name.
 * @return its index, or BUNDLE_INDEX_NONE
 */
uint32_t bundle_pool_find(const struct bundle *bundle, const char *name);

/**
 * @brief Tells whether a VM may serve a pool.
 */
bool bundle_pool_allows(const struct bundle_pool *pool, uint32_t vm);

/**
 * @brief Finds the route with the longest prefix that matches a path.
 *
 * A prefix matches whole path segments: "/draws" matches "/draws" and
 * "/draws/7" but not "/drawsheet".
 *
 * @param bundle the bundle
 * @param path the request's path without a query, not terminated
 * @param path_len length of the path in bytes
 * @return the route, owned by the bundle, or NULL
 */
const struct bundle_route *bundle_route_match(const struct bundle *bundle,
					      const char *path,
					      size_t path_len);

#endif
