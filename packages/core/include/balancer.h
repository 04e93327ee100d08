/**
 * @file balancer.h
 * @brief Selection of the backend server that takes a request.
 *
 * Prefix: balancer_. Among the servers that may take new work the one with the
 * fewest requests in progress is chosen; ties go round robin.
 */
#ifndef BALANCER_H
#define BALANCER_H

#include <stdbool.h>
#include <stdint.h>

#include "bundle.h"
#include "outlier.h"

/** What this process knows of a backend server, one for each VM. */
struct balancer_server {
	/** slots of the VM that this process may use at present */
	uint32_t allowed_slots;
	/** slots of the VM that all processes together may use */
	uint32_t slots;
	uint32_t in_flight;
	/** pool that the VM serves, BUNDLE_INDEX_NONE for none */
	uint32_t pool;
	/** whether it takes new work as the placement says */
	bool serving;
	/** whether one of the leaving signals has been seen */
	bool draining;
	struct outlier_health health;
};

/** All backend servers, by the VM's index in the bundle. */
struct balancer {
	struct balancer_server *servers;
	uint32_t count;
	/** where the next search starts */
	uint32_t cursor;
};

/** @brief Creates a set of servers in no pool, freed by balancer_destroy(). */
struct balancer *balancer_create(uint32_t count);

/** @brief Frees a set. @param set may be NULL */
void balancer_destroy(struct balancer *set);

/** @brief Tells whether a server takes new work at this moment. */
bool balancer_server_is_ready(const struct balancer_server *server,
			      uint64_t now_ms);

/**
 * @brief Chooses a server of a pool with a free slot.
 * @param set the servers
 * @param pool index of the pool
 * @param avoid VM not to be chosen, BUNDLE_INDEX_NONE for any
 * @param now_ms monotonic time
 * @return index of the VM, or BUNDLE_INDEX_NONE
 */
uint32_t balancer_choose(struct balancer *set, uint32_t pool, uint32_t avoid,
			 uint64_t now_ms);

/**
 * @brief Records how an attempt on a server ended.
 * @return whether the server was ejected by this call
 */
bool balancer_record_result(struct balancer *set, uint32_t vm,
			    enum outlier_result evidence, uint64_t began_ms,
			    uint64_t now_ms, uint32_t seed);

/** @brief Tells whether a pool has a ready server other than one. */
bool balancer_has_other_ready(const struct balancer *set, uint32_t pool,
			      uint32_t avoid, uint64_t now_ms);

/** @brief Adds up the slots of a pool's ready servers. */
uint32_t balancer_ready_slots(const struct balancer *set, uint32_t pool,
			      uint64_t now_ms);

#endif
