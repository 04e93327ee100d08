/**
 * @file balancer.h
 * @brief Load balancing: selects the backend server for a request.
 *
 * Prefix: balancer_. Among the ready servers with a free slot, the one with the
 * fewest requests in flight is chosen; ties are broken round robin.
 */
#ifndef BALANCER_H
#define BALANCER_H

#include <stdbool.h>
#include <stdint.h>

#include "bundle.h"
#include "outlier.h"

/** A VM's backend server, as this process sees it. */
struct balancer_server {
	/** slots of the VM that this process may use now */
	uint32_t allowed_slots;
	/** slots of the VM that all processes together may use */
	uint32_t slots;
	uint32_t in_flight;
	/** pool that the VM serves, BUNDLE_INDEX_NONE for none */
	uint32_t pool;
	/** whether the placement sends new requests to it */
	bool serving;
	/** whether a signal that it is draining was received, see draining.h */
	bool draining;
	struct outlier_health health;
};

/** All backend servers, by the VM's index in the bundle. */
struct balancer {
	struct balancer_server *servers;
	uint32_t count;
	/** index at which the next search starts */
	uint32_t cursor;
};

/**
 * @brief Creates servers that belong to no pool, freed by balancer_destroy().
 */
struct balancer *balancer_create(uint32_t count);

/** @brief Frees all servers. @param balancer may be NULL */
void balancer_destroy(struct balancer *balancer);

/** @brief Returns whether a server takes new requests now. */
bool balancer_server_is_ready(const struct balancer_server *server,
			      uint64_t now_ms);

/**
 * @brief Chooses a server of a pool with a free slot.
 * @param balancer the servers
 * @param pool index of the pool
 * @param avoid VM not to be chosen, BUNDLE_INDEX_NONE for any
 * @param now_ms monotonic time
 * @return index of the VM, or BUNDLE_INDEX_NONE
 */
uint32_t balancer_choose(struct balancer *balancer, uint32_t pool,
			 uint32_t avoid, uint64_t now_ms);

/**
 * @brief Records the result of an attempt on a server, see outlier_record().
 * @return whether this call ejected the server
 */
bool balancer_record_result(struct balancer *balancer, uint32_t vm,
			    enum outlier_result result, uint64_t began_ms,
			    uint64_t now_ms, uint32_t seed);

/** @brief Returns whether a pool has a ready server besides one to avoid. */
bool balancer_has_other_ready(const struct balancer *balancer, uint32_t pool,
			      uint32_t avoid, uint64_t now_ms);

/**
 * @brief Returns the total slots of a pool's ready servers.
 *
 * A server on probation counts as one slot, as it takes one request at a time.
 */
uint32_t balancer_ready_slots(const struct balancer *balancer, uint32_t pool,
			      uint64_t now_ms);

#endif
