/**
 * @file descriptor.h
 * @brief Divides a process's file descriptors among their users.
 *
 * Prefix: descriptor_. No I/O. Callers get a part; the rest is kept for the
 * process itself: its listeners, the platform, peers, workers and backend
 * servers.
 */
#ifndef DESCRIPTOR_H
#define DESCRIPTOR_H

#include <stdint.h>

/** What the connections beside those of callers are for. */
enum descriptor_use {
	/** connections to many workers, which outnumber those of callers */
	DESCRIPTOR_USE_WORKERS,
	/** about one connection to a backend server for each caller's */
	DESCRIPTOR_USE_BACKENDS,
};

/** Bounds on accepted connections. */
struct descriptor_plan {
	/** connections of callers */
	uint32_t caller_connections;
	/** connections to each of the process's other ports, for probes,
	 *  metrics and peers; of peers those that have sent no call yet */
	uint32_t probe_connections;
};

/**
 * @brief Returns how many descriptors remain for sockets.
 * @param process_max limit of the process (RLIMIT_NOFILE), 0 if unknown
 * @param vm_max limit of the VM, 0 if it sets none; a part of it is reserved
 *               for files
 */
uint32_t descriptor_sockets(uint64_t process_max, uint32_t vm_max);

/** @brief Returns the bounds for a number of sockets. */
struct descriptor_plan descriptor_plan(uint32_t sockets,
				       enum descriptor_use use);

#endif
