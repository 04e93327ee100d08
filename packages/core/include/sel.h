/**
 * @file sel.h
 * @brief Selection of the backend server that takes a request.
 *
 * Prefix: sel_. Among the servers that may take new work the one with the
 * fewest requests in progress is chosen; ties go round robin.
 */
#ifndef SEL_H
#define SEL_H

#include <stdbool.h>
#include <stdint.h>

#include "bnd.h"
#include "ejt.h"

/** What this process knows of a backend server, one for each VM. */
struct sel_server {
	/** slots of the VM that this process may use at present */
	uint32_t allowed_slots;
	/** slots of the VM that all processes together may use */
	uint32_t slots;
	uint32_t in_flight;
	/** pool that the VM serves, BND_NONE for none */
	uint32_t pool;
	/** whether it takes new work as the placement says */
	bool serving;
	/** whether one of the leaving signals has been seen */
	bool leaving;
	struct ejt_health health;
};

/** All backend servers, by the VM's index in the bundle. */
struct sel_set {
	struct sel_server *servers;
	uint32_t count;
	/** where the next search starts */
	uint32_t cursor;
};

/** @brief Creates a set of servers in no pool, freed by sel_set_destroy(). */
struct sel_set *sel_set_create(uint32_t count);

/** @brief Frees a set. @param set may be NULL */
void sel_set_destroy(struct sel_set *set);

/** @brief Tells whether a server takes new work at this moment. */
bool sel_is_ready(const struct sel_server *server, uint64_t now_ms);

/**
 * @brief Chooses a server of a pool with a free slot.
 * @param set the servers
 * @param pool index of the pool
 * @param avoid VM not to be chosen, BND_NONE for any
 * @param now_ms monotonic time
 * @return index of the VM, or BND_NONE
 */
uint32_t sel_choose(struct sel_set *set, uint32_t pool, uint32_t avoid,
		    uint64_t now_ms);

/**
 * @brief Records how an attempt on a server ended.
 * @return whether the server was ejected by this call
 */
bool sel_record(struct sel_set *set, uint32_t vm, enum ejt_evidence evidence,
		uint64_t began_ms, uint64_t now_ms, uint32_t seed);

/** @brief Tells whether a pool has a ready server other than one. */
bool sel_has_other(const struct sel_set *set, uint32_t pool, uint32_t avoid,
		   uint64_t now_ms);

/** @brief Adds up the slots of a pool's ready servers. */
uint32_t sel_pool_slots(const struct sel_set *set, uint32_t pool,
			uint64_t now_ms);

#endif
